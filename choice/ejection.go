package choice

import "math"

const (
	healthWindow           = 3.0  // seconds over which attempts are averaged
	oldLatencyWeight       = 0.4  // weight of an older success beside a new one in the mean latency
	minAttempts            = 4.0  // attempts that a judgement needs
	maxFailureShare        = 0.3  // share of failures, beyond that of the best quarter, that ejects a backend
	baseEjectionTime       = 5.0  // seconds of the first ejection; doubled with each further one
	maxEjectionLoadFactor  = 1.3  // of the best rate of answers seen, what the remaining backends may have to take
	maxEjectedShare        = 0.65 // of the fleet, as seen from a zone, what may be ejected at once
	probeInterval          = 1.0  // seconds between two probes of a backend
	slowLatencyRatio       = 0.3  // of the shortest soft deadline, the mean latency above which load is moved away
	slowLatencyFleetFactor = 1.2  // and of the fleet's mean latency
	minLatencyFactor       = 0.4  // of its fair share, what bias leaves a backend
	latencyFactorDecrease  = 0.85 // factor by which bias falls; it rises by biasRecovery
	latencyFactorIncrease  = 0.05
)

// applyReport judges a backend by a report. Requests that succeed are better proof than a probe, which may
// wait in a full queue.
func (b *backendActor) applyReport(report AttemptReport) {
	if report.Attempts > report.Failures && !b.plan.unreachable(b.index) {
		b.plan.failedProbes[b.index] = 0
	}
	b.ejectOutlier()
}

// ejectOutlier ejects a backend that fails while others do not, for all zones or for the one from which it
// fails. It is compared with the best quarter of the backends, from the zone that fares best, so that a group
// that fails together is found, even most of the fleet; in an overload the best reject requests as well.
func (b *backendActor) ejectOutlier() {
	plan, i := b.plan, b.index
	attempts, failures := sum(plan.attempts[i]), sum(plan.failures[i])
	limit := maxFailureShare + plan.admission.baselineFailureShare
	for zone, zoneAttempts := range plan.attempts[i] {
		zoneFailures := plan.failures[i][zone]
		fails := zoneFailures >= maxFailureShare*zoneAttempts
		fromAll := attempts >= minAttempts && failures > limit*attempts && fails
		fromZone := zoneAttempts >= minAttempts && zoneFailures > limit*zoneAttempts
		if plan.ejectedUntil[i][zone] > plan.now || !fromAll && !fromZone || !plan.canEject(zone, i) {
			continue
		}
		span := min(baseEjectionTime*math.Exp2(float64(plan.consecutiveEjections[i][zone])), 4*baseEjectionTime)
		plan.ejectedUntil[i][zone] = plan.now + span
		plan.consecutiveEjections[i][zone]++
		plan.send(plan.ring, reassignArcs{})
	}
}

// endEjections lets an ejected backend return, and forgets its ejections when it has done well for long.
func (b *backendActor) endEjections() {
	plan, i := b.plan, b.index
	for zone, until := range plan.ejectedUntil[i] {
		if until > 0 && until <= plan.now {
			// Reports of the time before the ejection must not eject it again.
			plan.ejectedUntil[i][zone], plan.attempts[i][zone], plan.failures[i][zone] = -until, 0, 0
			plan.send(plan.ring, reassignArcs{})
		} else if until < 0 && plan.now > 4*baseEjectionTime-until {
			plan.ejectedUntil[i][zone], plan.consecutiveEjections[i][zone] = 0, 0 // not sooner: it may fail by turns
		}
	}
}

// canEject tells whether one backend more may be ejected: the others must not have to carry much more than
// backends have been seen to, so none is ejected in an overload. Load of other coordinators' proxies stays.
func (plan *Planner) canEject(zone, candidate int) bool {
	open := plan.sumOpen(plan.fullWeight)
	out := plan.weight[candidate] + plan.sumOpen(func(i int) float64 {
		return plan.weight[i] * max(0, min(1, math.Ceil(plan.ejectedUntil[i][zone]-plan.now)))
	})
	ours, admission := plan.ownShare(), plan.admission
	strain := ours*open/max(open-out, 1e-9) + 1 - ours
	arrivals, carried := sum(admission.arrivalRates), admission.peakSuccessRatePerWeight*open
	young := plan.now < admission.firstReportAt+2*admissionWindow
	if admission.relativeLatency < overloadLatencyRatio && !admission.overloaded && young {
		// The best rate takes seconds to be learned; until then quick answers show that what arrives is carried.
		// Not later: where a cut fills half of the fleet, quick answers say nothing of those that never come.
		carried = max(carried, arrivals)
	}
	return out <= maxEjectedShare*open && arrivals*strain <= maxEjectionLoadFactor*carried
}

// probeIfSilent probes a backend of which no success is reported while others' are: silence is no proof.
func (b *backendActor) probeIfSilent() {
	plan, i := b.plan, b.index
	quiet := plan.newestReportAt - max(plan.lastSuccessAt[i], plan.firstListed[i])
	expected := quiet*plan.assignedLoad[i] > minAttempts && !plan.admission.overloaded
	silent := quiet > 1.5*plan.settings.ReportPeriod && expected
	due := plan.settings.Probes && plan.state[i] == BackendOpen && plan.now >= plan.nextProbeAt[i]
	if due && (silent || plan.failedProbes[i] > 0) {
		plan.nextProbeAt[i] = plan.now + probeInterval
		plan.commands = append(plan.commands, ProbeBackend{plan.id[i]})
	}
}

// applyProbe takes a backend that answers neither requests nor probes out of all arcs until it answers one,
// long before its requests time out or the list says so. It returns by slow start, as it may have restarted.
// When most seem unreachable, it is we who are cut off.
func (b *backendActor) applyProbe(result ProbeResult) {
	plan, i := b.plan, b.index
	wasUnreachable, wasIsolated := plan.unreachable(i), plan.isolated
	switch {
	case result.OK:
		if plan.lastSuccessAt[i] = plan.now; wasUnreachable {
			plan.returnedAt[i] = plan.now
			plan.warmupFactor[i] = b.currentWarmupFactor()
		}
		plan.failedProbes[i] = 0
	case !result.Busy:
		plan.failedProbes[i]++
		plan.nextProbeAt[i] = plan.now
	}
	reachable := func(k int) float64 { return 1 - 2*min(1, float64(plan.failedProbes[k]/2)) }
	plan.isolated = plan.sumOpen(reachable) <= 0
	if wasUnreachable != plan.unreachable(i) || wasIsolated != plan.isolated {
		plan.send(plan.ring, reassignArcs{})
	}
}

// unreachable tells whether a backend has answered neither of two probes while most others have.
func (plan *Planner) unreachable(i int) bool { return plan.failedProbes[i] >= 2 && !plan.isolated }

// adjustLatencyFactor lowers the share of the load that arcs bring a backend whose answers take too long while most do
// not: it is slower than listed, or stalls. Its weight stays as listed; fewer arcs include it.
func (b *backendActor) adjustLatencyFactor() {
	plan, i := b.plan, b.index
	if plan.now < plan.latencyFactorUpdatedAt[i]+healthWindow {
		return
	}
	plan.latencyFactorUpdatedAt[i] = plan.now
	successes, latency := plan.recentSuccesses(i, plan.now-healthWindow)
	relative := latency / plan.admission.shortestSoftDeadline
	switch {
	case successes < minAttempts:
	case relative > slowLatencyRatio:
		if relative > slowLatencyFleetFactor*plan.admission.relativeLatency {
			plan.latencyFactor[i] = max(minLatencyFactor, plan.latencyFactor[i]*latencyFactorDecrease)
		}
	default:
		plan.latencyFactor[i] = min(1, plan.latencyFactor[i]+latencyFactorIncrease)
	}
}
