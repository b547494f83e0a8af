package invariant

import "gingerfork/internal/trace"

const (
	// coldAttemptSlack is how long beyond the collapse window, in seconds, attempts are kept: they need time to arrive.
	coldAttemptSlack = 0.1
	// startTolerance is by how many seconds a published start may precede the one that the backend wrote to the trace.
	startTolerance = 1
)

// coldAttempt is an attempt that was sent to a cold backend.
type coldAttempt struct {
	time        float64
	proxy       string
	knewOfStart bool // the proxy's coordinator had time to act on the backend's present start
}

// recordColdAttempt keeps an attempt to a cold backend for the length of the collapse window.
func (c *checker) recordColdAttempt(record trace.Record, p *proxy) {
	start, started := c.startTimes[record.Backend]
	if !started || record.Time >= start+c.limits.WarmAfter {
		return
	}
	knew := false
	if p.coordinator != "" {
		e := c.coordinator(p.coordinator).endpoints[record.Backend]
		hadTime := record.Time > e.startKnownSince+c.limits.DrainGrace || p.lastApply > e.startKnownSince
		knew = e.start >= start-startTolerance && e.state == stateOpen && hadTime
	}
	attempts := c.coldAttempts[record.Backend]
	attempts = append(attempts, coldAttempt{record.Time, record.Party, knew})
	for len(attempts) > 0 && attempts[0].time < record.Time-c.limits.CollapseWindow-coldAttemptSlack {
		attempts = attempts[1:]
	}
	c.coldAttempts[record.Backend] = attempts
}

// checkCollapse applies rule 4 to a cold backend that collapsed. The coordinators caused it if two thirds of the attempts in
// the window were sent with knowledge of the backend's start.
func (c *checker) checkCollapse(record trace.Record) {
	c.report.Collapses++
	attempts, knowing := c.coldAttempts[record.Backend], 0
	byProxy := map[string]int{}
	for _, a := range attempts {
		if a.knewOfStart {
			knowing++
		}
		byProxy[a.proxy]++
	}
	if len(attempts) == 0 || 3*knowing < 2*len(attempts) {
		return
	}
	largest := ""
	for _, name := range c.proxyNames {
		if largest == "" || byProxy[name] > byProxy[largest] {
			largest = name
		}
	}
	c.violate(ruleColdBackend, largest, "server %d fell over while cold; %d of %d RPCs in the window were sent with knowledge of its start",
		record.Backend, knowing, len(attempts))
}
