package invariant

import "math"

// checkAvailability applies rule 1 up to a time: a proxy that is connected to a coordinator must not lack a usable backend for
// longer than Limits.NoBackendLimit while that coordinator lists an open, warm one. Time before the proxy joined, or during a
// pause of its process, does not count. Each period in which a method lacks a usable backend counts as one violation at most.
func (c *checker) checkAvailability(name string, state *proxy, until float64) {
	if state.connectedTo() == "" {
		return
	}
	availableSince := c.coordinator(state.coordinator).availableSince
	for m, noBackendSince := range state.noBackendSince {
		from := max(noBackendSince, availableSince, state.joinTime, state.pausedUntil)
		if math.IsInf(from, 1) || until <= from {
			continue
		}
		method := c.limits.Methods[m].Name
		c.recordClosest(ruleBackendAvailable, (until-from)/c.limits.NoBackendLimit, "%s had no usable backend for method %s for %.2f s", name, method, until-from)
		if until-from > c.limits.NoBackendLimit && !state.noBackendCounted[m] {
			state.noBackendCounted[m] = true
			c.recordViolation(ruleBackendAvailable, name, "no usable backend for method %s since %.3f, while %s lists an open, warm one", method, from, state.coordinator)
		}
	}
}
