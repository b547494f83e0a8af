package eventloop

import "time"

// Stats are statistics of a loop since its start.
type Stats struct {
	// Steps is the number of steps of the machine, Inputs the number of inputs passed to them.
	Steps, Inputs int
	// LongestStep is the duration of the longest step.
	LongestStep time.Duration
	// BusyTime is the total duration of all steps.
	BusyTime time.Duration
	// SlowReadersClosed is the number of connections that were reset because their peer did not read.
	SlowReadersClosed int
	// ReadPauses is how often reading from a connection was paused, because its input waited for the machine or its peer didn't
	// read the answers.
	ReadPauses int
	// ConnectionFailures is the number of connections that could not be accepted or read from.
	ConnectionFailures int
}

// Stats returns the statistics since the start.
func (l *Loop) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// recordStep adds one step of the machine to the statistics.
func (l *Loop) recordStep(inputs int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Steps++
	l.stats.Inputs += inputs
	l.stats.BusyTime += took
	l.stats.LongestStep = max(l.stats.LongestStep, took)
}

// recordSlowReader counts a connection that was reset because its peer did not read.
func (l *Loop) recordSlowReader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.SlowReadersClosed++
}

// recordConnectionFailure counts a connection that could not be accepted or read from, as stage says. A failure is logged
// only if the count is a power of two, so that a lasting shortage of descriptors does not flood the log.
func (l *Loop) recordConnectionFailure(stage string, err error) {
	l.mu.Lock()
	l.stats.ConnectionFailures++
	failures := l.stats.ConnectionFailures
	l.mu.Unlock()
	if failures&(failures-1) == 0 {
		l.config.Log.Warn("connection could not be accepted", "stage", stage, "cause", err, "failures", failures)
	}
}
