package eventloop

import "time"

// Stats are counts since the start of a loop.
type Stats struct {
	// Steps counts the steps of the machine, Inputs what they were handed.
	Steps, Inputs int
	// LongestStep is the duration of the longest step.
	LongestStep time.Duration
	// BusyTime is the duration of all steps together.
	BusyTime time.Duration
	// SlowReadersClosed counts connections that were reset because their peer did not read.
	SlowReadersClosed int
	// ConnectionFailures counts connections that could not be accepted or registered with an event loop.
	ConnectionFailures int
}

// Stats returns the counts since the start.
func (l *Loop) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.figures
}

// recordStep counts one step of the machine.
func (l *Loop) recordStep(inputs int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures.Steps++
	l.figures.Inputs += inputs
	l.figures.BusyTime += took
	l.figures.LongestStep = max(l.figures.LongestStep, took)
}

// recordSlowReader counts a connection that was reset because its peer did not read.
func (l *Loop) recordSlowReader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures.SlowReadersClosed++
}

// recordConnectionFailure counts a connection that failed at the given stage. Only the failures whose count is a power
// of two are logged, so that a lasting shortage of descriptors does not flood the log.
func (l *Loop) recordConnectionFailure(stage string, err error) {
	l.mu.Lock()
	l.figures.ConnectionFailures++
	failures := l.figures.ConnectionFailures
	l.mu.Unlock()
	if failures&(failures-1) == 0 {
		l.config.Log.Warn("connection could not be accepted", "stage", stage, "cause", err, "failures", failures)
	}
}
