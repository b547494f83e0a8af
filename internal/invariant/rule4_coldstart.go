package invariant

import "gingerfork/internal/trace"

const (
	// coldAttemptSlack is how long attempts are kept beyond Limits.CollapseWindow, in seconds, as attempts take time to arrive at
	// the backend.
	coldAttemptSlack = 0.1
	// startTolerance is how long a backend's start time in the endpoint list may precede the one that the backend wrote to the trace, in
	// seconds.
	startTolerance = 1
)

// coldAttempt is an attempt that was sent to a cold backend, one whose process started cold less than Limits.WarmAfter ago.
type coldAttempt struct {
	time        float64
	proxy       string
	knewOfStart bool // the proxy's coordinator knew of the backend's latest start and had time to act on it
}

// recordColdAttempt keeps an attempt to a cold backend for the duration of Limits.CollapseWindow.
func (c *checker) recordColdAttempt(record trace.Record, p *proxy) {
	start, started := c.startTimes[record.Backend]
	if !started || record.Time >= start+c.limits.WarmAfter {
		return
	}
	knewOfStart := false
	if p.coordinator != "" {
		e := c.coordinator(p.coordinator).endpoints[record.Backend]
		hadTime := record.Time > e.startKnownSince+c.limits.DrainGrace || p.lastPushApplied > e.startKnownSince
		knewOfStart = e.start >= start-startTolerance && e.state == stateOpen && hadTime
	}
	attempts := c.coldAttempts[record.Backend]
	attempts = append(attempts, coldAttempt{record.Time, record.Party, knewOfStart})
	for len(attempts) > 0 && attempts[0].time < record.Time-c.limits.CollapseWindow-coldAttemptSlack {
		attempts = attempts[1:]
	}
	c.coldAttempts[record.Backend] = attempts
}

// checkCollapse applies rule 4 to the collapse of a cold backend. The collapse counts as caused by the coordinators if at least
// two thirds of the attempts within Limits.CollapseWindow plus coldAttemptSlack were sent with knowledge of the backend's start.
// The violation names the proxy that sent the most attempts.
func (c *checker) checkCollapse(record trace.Record) {
	c.report.Collapses++
	attempts, informedAttempts := c.coldAttempts[record.Backend], 0
	attemptsByProxy := map[string]int{}
	for _, a := range attempts {
		if a.knewOfStart {
			informedAttempts++
		}
		attemptsByProxy[a.proxy]++
	}
	if len(attempts) == 0 || 3*informedAttempts < 2*len(attempts) {
		return
	}
	topSender := ""
	for _, name := range c.proxyNames {
		if topSender == "" || attemptsByProxy[name] > attemptsByProxy[topSender] {
			topSender = name
		}
	}
	c.recordViolation(ruleColdBackend, topSender, "backend %d collapsed while cold; %d of %d attempts in the window were sent with knowledge of its start",
		record.Backend, informedAttempts, len(attempts))
}
