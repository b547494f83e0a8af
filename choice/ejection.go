package choice

import "math"

const (
	healthWindow           = 3.0  // time constant, in seconds, of the decaying counts of attempts and failures
	oldLatencyWeight       = 0.4  // weight of an earlier success in the mean latency, relative to a new one
	minAttempts            = 4.0  // decayed count of attempts, or for latency of successes, that is needed to judge a backend
	maxFailureShare        = 0.3  // a backend is ejected if its failure share minus baselineFailureShare is above this
	baseEjectionTime       = 5.0  // duration of the first ejection in seconds; it doubles with each further one, up to 4 times this
	maxEjectionLoadFactor  = 1.3  // limit on the load of the remaining backends, as a multiple of their peak success rate
	maxEjectedShare        = 0.65 // limit on the share of the open backends' full weight that is ejected at once for one zone
	probeInterval          = 1.0  // seconds between two probes of a backend
	slowLatencyRatio       = 0.3  // a backend is slow if its mean latency is above this share of the shortest soft deadline
	slowLatencyFleetFactor = 1.2  // a slow backend's mean latency is also above this multiple of the fleet's mean latency
	minLatencyFactor       = 0.4  // lower limit of the latency factor
	latencyFactorDecrease  = 0.85 // the latency factor of a slow backend is multiplied by this in each healthWindow
	latencyFactorIncrease  = 0.05 // added to the latency factor in each healthWindow once latency is below slowLatencyRatio
)

// applyReport updates a backend's health from a report. A successful request also clears its failed probes, because it is
// better evidence than a probe, which may wait in a full queue.
func (b *backendActor) applyReport(report AttemptReport) {
	if report.Attempts > report.Failures && !b.planner.unreachable(b.index) {
		b.planner.failedProbes[b.index] = 0
	}
	b.ejectOutlier()
}

// ejectOutlier ejects a backend with a high failure share from the arcs of each zone whose proxies see these failures. The
// limit is relative to the baseline, which is the failure share of the best quarter of the backends as seen from the zone with
// the fewest failures. So a group of backends that fail together is detected, even if it is most of the fleet. In an overload
// even the best backends reject requests, which raises the baseline.
func (b *backendActor) ejectOutlier() {
	planner, i := b.planner, b.index
	attempts, failures := sum(planner.attempts[i]), sum(planner.failures[i])
	limit := maxFailureShare + planner.admission.baselineFailureShare
	for zone, zoneAttempts := range planner.attempts[i] {
		zoneFailures := planner.failures[i][zone]
		failsInZone := zoneFailures >= maxFailureShare*zoneAttempts
		outlierOverall := attempts >= minAttempts && failures > limit*attempts && failsInZone
		outlierInZone := zoneAttempts >= minAttempts && zoneFailures > limit*zoneAttempts
		if planner.ejectedUntil[i][zone] > planner.now || !outlierOverall && !outlierInZone || !planner.canEject(zone, i) {
			continue
		}
		duration := min(baseEjectionTime*math.Exp2(float64(planner.consecutiveEjections[i][zone])), 4*baseEjectionTime)
		planner.ejectedUntil[i][zone] = planner.now + duration
		planner.consecutiveEjections[i][zone]++
		planner.send(planner.ring, reassignArcs{})
	}
}

// endEjections ends the ejections of a backend whose time has passed, and resets its count of ejections after a time without
// one.
func (b *backendActor) endEjections() {
	planner, i := b.planner, b.index
	for zone, until := range planner.ejectedUntil[i] {
		if until > 0 && until <= planner.now {
			// Reports from before the ejection must not eject the backend again.
			planner.ejectedUntil[i][zone], planner.attempts[i][zone], planner.failures[i][zone] = -until, 0, 0
			planner.send(planner.ring, reassignArcs{})
		} else if until < 0 && planner.now > 4*baseEjectionTime-until { // not sooner, because the backend may fail intermittently
			planner.ejectedUntil[i][zone], planner.consecutiveEjections[i][zone] = 0, 0
		}
	}
}

// canEject reports whether a further backend may be ejected from the arcs of a zone. The remaining backends must not have to
// take much more than the peak success rate, so none is ejected in an overload. Only the load of this coordinator's proxies
// moves to them; that of other coordinators' proxies stays where it is.
func (planner *Planner) canEject(zone, candidate int) bool {
	openWeight := planner.sumOpen(planner.fullWeight)
	// The factor of a weight is 1 while the backend is ejected and 0 otherwise, because Ceil rounds any time left up to 1 or more.
	ejectedWeight := planner.weight[candidate] + planner.sumOpen(func(i int) float64 {
		return planner.weight[i] * max(0, min(1, math.Ceil(planner.ejectedUntil[i][zone]-planner.now)))
	})
	ownShare, admission := planner.ownShare(), planner.admission
	loadIncrease := ownShare*openWeight/max(openWeight-ejectedWeight, 1e-9) + 1 - ownShare
	arrivalRate, provenRate := sum(admission.arrivalRates), admission.peakSuccessRatePerWeight*openWeight
	recentlyStarted := planner.now < admission.firstReportAt+2*admissionWindow
	if admission.relativeLatency < overloadLatencyRatio && !admission.overloaded && recentlyStarted {
		// The peak success rate takes seconds to measure. Until then, low latency shows that the fleet serves all that arrives. It
		// shows no such thing later: when a network failure leaves half of the fleet with all the load, the latency of successes
		// stays low although other requests get no response.
		provenRate = max(provenRate, arrivalRate)
	}
	return ejectedWeight <= maxEjectedShare*openWeight && arrivalRate*loadIncrease <= maxEjectionLoadFactor*provenRate
}

// probeIfSilent probes a backend for which no success was reported for a time in which its load should have caused some. The
// lack of reports alone is no proof of a failure.
func (b *backendActor) probeIfSilent() {
	planner, i := b.planner, b.index
	silence := planner.newestReportAt - max(planner.lastSuccessAt[i], planner.firstListed[i])
	successExpected := silence*planner.assignedLoad[i] > minAttempts && !planner.admission.overloaded
	// The last report on a backend may be a report period older than the newest one on any; half a period is a margin.
	silent := silence > 1.5*planner.settings.ReportPeriod && successExpected
	due := planner.settings.ProbesAllowed && planner.state[i] == BackendOpen && planner.now >= planner.nextProbeAt[i]
	if due && (silent || planner.failedProbes[i] > 0) {
		planner.nextProbeAt[i] = planner.now + probeInterval
		planner.commands = append(planner.commands, ProbeBackend{planner.id[i]})
	}
}

// applyProbe updates a backend's reachability from the result of a probe. A backend that responds neither to requests nor to
// probes leaves all arcs until it responds, long before its requests time out or the endpoint list changes. It returns with
// slow start, because it may have restarted. If at least half of the open backends seem unreachable, this coordinator is
// assumed to be cut off from them, and none counts as unreachable.
func (b *backendActor) applyProbe(result ProbeResult) {
	planner, i := b.planner, b.index
	wasUnreachable, wasIsolated := planner.unreachable(i), planner.isolated
	switch {
	case result.OK:
		if planner.lastSuccessAt[i] = planner.now; wasUnreachable {
			planner.returnedAt[i] = planner.now
			planner.warmupFactor[i] = b.currentWarmupFactor()
		}
		planner.failedProbes[i] = 0
	case !result.Busy:
		planner.failedProbes[i]++
		planner.nextProbeAt[i] = planner.now
	}
	// 1 for a backend with fewer than two failed probes, -1 for the others.
	reachability := func(k int) float64 { return 1 - 2*min(1, float64(planner.failedProbes[k]/2)) }
	planner.isolated = planner.sumOpen(reachability) <= 0
	if wasUnreachable != planner.unreachable(i) || wasIsolated != planner.isolated {
		planner.send(planner.ring, reassignArcs{})
	}
}

// unreachable reports whether a backend failed its last two probes while most other backends are reachable.
func (planner *Planner) unreachable(i int) bool {
	return planner.failedProbes[i] >= 2 && !planner.isolated
}

// adjustLatencyFactor lowers the effective weight of a backend that responds more slowly than the fleet, because it has less
// capacity than its listed weight says or stalls. Its weight in tables stays as listed, but fewer arcs include it.
func (b *backendActor) adjustLatencyFactor() {
	planner, i := b.planner, b.index
	if planner.now < planner.latencyFactorUpdatedAt[i]+healthWindow {
		return
	}
	planner.latencyFactorUpdatedAt[i] = planner.now
	successes, latency := planner.recentSuccesses(i, planner.now-healthWindow)
	relativeLatency := latency / planner.admission.shortestSoftDeadline
	switch {
	case successes < minAttempts: // too few to judge by
	case relativeLatency > slowLatencyRatio:
		if relativeLatency > slowLatencyFleetFactor*planner.admission.relativeLatency {
			planner.latencyFactor[i] = max(minLatencyFactor, planner.latencyFactor[i]*latencyFactorDecrease)
		}
	default:
		planner.latencyFactor[i] = min(1, planner.latencyFactor[i]+latencyFactorIncrease)
	}
}
