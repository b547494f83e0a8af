package invariant

import "math"

// checkAvailability applies rule 1: a proxy that follows a coordinator must not be without a usable backend for longer than
// the limit while that coordinator lists an open, warm one. It examines the time until the given one.
func (c *checker) checkAvailability(name string, following *proxy, until float64) {
	if following.connectedTo() == "" {
		return
	}
	available := c.coordinator(following.coordinator).availableSince
	for m, uncovered := range following.uncoveredSince {
		from := max(uncovered, available, following.joinTime, following.pausedUntil)
		if math.IsInf(from, 1) || until <= from {
			continue
		}
		method := c.limits.Methods[m].Name
		c.measure(ruleBackendAvailable, (until-from)/c.limits.NoBackendLimit, "%s had no line for %s for %.2f s", name, method, until-from)
		if until-from > c.limits.NoBackendLimit && !following.violationCounted[m] {
			following.violationCounted[m] = true
			c.violate(ruleBackendAvailable, name, "no line for %s since %.3f, while %s lists an open warm server", method, from, following.coordinator)
		}
	}
}
