package invariant

import "gingerfork/internal/trace"

// checkDrain applies rule 3: no attempt goes to a backend for longer than the grace after the proxy's coordinator was notified
// that it drains or is gone.
func (c *checker) checkDrain(record trace.Record, sender *proxy) {
	if sender.connectedTo() == "" {
		return
	}
	notifiedTime, binding := c.drainNotified(record.Time, c.coordinator(sender.coordinator), record.Backend)
	if !binding {
		return
	}
	elapsed := record.Time - max(notifiedTime, sender.joinTime)
	c.measure(ruleDrainRespected, elapsed/c.limits.DrainGrace, "%s sent to server %d %.2f s after %s was told", record.Party, record.Backend, elapsed, sender.coordinator)
	if elapsed > c.limits.DrainGrace {
		c.violate(ruleDrainRespected, record.Party, "sent to server %d %.3f s after %s was told that it drains or is gone", record.Backend, elapsed, sender.coordinator)
	}
}

// drainNotified gives the time at which a coordinator was notified that a backend drains or is gone, and whether that binds its
// proxies.
func (c *checker) drainNotified(now float64, coord *coordinator, backend uint32) (notifiedTime float64, binding bool) {
	entry, known := coord.endpoints[backend]
	binding = known && (entry.state == stateDraining || entry.state == stateGone && !c.limits.OnlyDrainingBinds)
	binding = binding && (!coord.mustPoll || !coord.uncertain[backend])
	if binding || !coord.mustPoll || now <= coord.pollTime+c.limits.PollInterval {
		return entry.stateTime, binding
	}
	// The coordinator does not poll as it must, and so counts as notified of what was published that long ago.
	entry, known = c.endpoints[backend]
	if !known || entry.state == stateOpen {
		return entry.stateTime, false
	}
	return entry.stateTime + c.limits.PollInterval, entry.state == stateDraining || !c.limits.OnlyDrainingBinds
}
