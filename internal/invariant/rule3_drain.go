package invariant

import "gingerfork/internal/trace"

// checkDrain applies rule 3: once the proxy's coordinator was notified that a backend drains or is gone, the proxy may send
// attempts to the backend for no longer than Limits.DrainGrace. That period begins anew when the proxy joins a coordinator.
func (c *checker) checkDrain(record trace.Record, sender *proxy) {
	if sender.connectedTo() == "" {
		return
	}
	notifiedTime, binding := c.drainNotified(record.Time, c.coordinator(sender.coordinator), record.Backend)
	if !binding {
		return
	}
	elapsed := record.Time - max(notifiedTime, sender.joinTime)
	c.recordClosest(ruleDrainRespected, elapsed/c.limits.DrainGrace, "%s sent an attempt to backend %d %.2f s after %s was notified of its drain or removal", record.Party, record.Backend, elapsed, sender.coordinator)
	if elapsed > c.limits.DrainGrace {
		c.recordViolation(ruleDrainRespected, record.Party, "attempt to backend %d %.3f s after %s was notified of its drain or removal", record.Backend, elapsed, sender.coordinator)
	}
}

// drainNotified returns when a coordinator was notified that a backend drains or is gone, and whether rule 3 applies to attempts
// that the coordinator's proxies send to that backend now.
func (c *checker) drainNotified(now float64, coord *coordinator, backend uint32) (notifiedTime float64, binding bool) {
	entry, known := coord.endpoints[backend]
	binding = known && (entry.state == stateDraining || entry.state == stateGone && !c.limits.OnlyDrainingBinds)
	binding = binding && (!coord.mustPoll || !coord.uncertainBackends[backend])
	if binding || !coord.mustPoll || now <= coord.pollTime+c.limits.PollInterval {
		return entry.stateTime, binding
	}
	// The coordinator did not poll in time, so it counts as notified of all that the service published at least a poll interval
	// ago.
	entry, known = c.endpoints[backend]
	if !known || entry.state == stateOpen {
		return entry.stateTime, false
	}
	return entry.stateTime + c.limits.PollInterval, entry.state == stateDraining || !c.limits.OnlyDrainingBinds
}
