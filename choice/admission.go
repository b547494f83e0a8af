package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	admissionWindow        = 4.0  // seconds that arrivals are averaged over, and that an overload lasts at least
	evaluationInterval     = 1.0  // seconds
	overloadFailureShare   = 0.15 // share of failures, from the zone where it is lowest, of an overloaded backend
	overloadLatencyRatio   = 0.5  // or its mean latency, of the shortest soft deadline
	overloadedBackendShare = 0.5  // of the backends, how many are overloaded at once if the fleet is
	baselineAttempts       = 2.0  // attempts that a backend needs to count in the baseline of failures
	baselineWindow         = 6.0  // seconds within which it was reported on
	baselineDivisor        = 4    // the baseline is that of the best backends, one in so many
	minRateLimitShare      = 0.8  // of the best rate of answers
	admittedSuccessShare   = 0.85 // of what is answered in an overload, what is admitted, so that queues run off
	limitGrowthFactor      = 1.1  // factor of the limit's growth in a second after an overload
	limitGrowthBonus       = 0.3  // and what is added to it if no backend is overloaded
	loadFactorGain         = 0.2  // of each deviation, by how much the load factor follows
	successRateGain        = 0.3  // and the rate of answers
	admittedShareSteps     = 20   // admitted shares are multiples of its inverse
	minAdmittedShare       = 0.05
)

// normalRetry is the retry policy of a method outside of overloads. A retry after a mere timeout feeds the
// overload that it came from, so it has to be proven that the first attempt was not processed, or the request
// has a token that surely is remembered until the second attempt.
func (plan *Planner) normalRetry(method MethodSettings) RetryPolicy {
	remembered := plan.settings.TryWait*method.SoftDeadline.Or(1) < 0.9*method.Window.Or(0)
	deduplicated := method.Effect == "tokened" && method.Group == "all" && remembered
	switch {
	case method.MostTries == "once":
		return RetryNever
	case method.MostTries != "proven" && deduplicated:
		return RetryOnce
	default:
		return RetryIfUnprocessed
	}
}

// currentRetry returns the retry policies in force: in an overload retries feed it.
func (a *admission) currentRetry() []RetryPolicy {
	if !a.overloaded {
		return a.normalRetry
	}
	return slices.Repeat([]RetryPolicy{RetryNever}, len(a.normalRetry))
}

// evaluate tells an overload from failures of single backends, and sets what is admitted.
func (a *admission) evaluate() {
	plan, load := a.plan, a.measure()
	capacity := plan.openCapacity()
	a.updateBaseline()
	a.relativeLatency = load.weightedLatency / max(load.successRate, 1e-9)
	a.avoidedShare = load.avoidedAttempts / load.attempts
	a.updateLoadFactor()
	if capacity > 1e-6 { // answers reported while nothing is open, as after the list emptied, say nothing
		a.successRatePerWeight += successRateGain * (load.successRate/capacity - a.successRatePerWeight)
		a.peakSuccessRatePerWeight = max(a.peakSuccessRatePerWeight, a.successRatePerWeight)
	}
	if load.judgedBackends == 0 {
		return
	}
	a.updateLimit(load, capacity)
	a.firstReportAt = cmp.Or(a.firstReportAt, plan.now)
	a.updateOverloadUnlikely(load, capacity)
	a.admittedShares = a.shedLoad()
	for _, proxy := range plan.proxies {
		plan.send(proxy, admissionChanged{a.admittedShares, a.currentRetry()})
	}
}

// measureBackend adds what is reported of one backend, judged by the zone that fares best with it, as a cut
// between zones is no overload. A backend that rejects has a full queue, and what it answers has waited:
// failures beside quick answers are something else, which admitting less would not help.
func (a *admission) measureBackend(i int, load *fleetLoad) {
	plan, least := a.plan, math.Inf(1)
	queued := 0.0
	if a.relativeLatency > overloadLatencyRatio {
		queued = 1
	}
	for zone, attempts := range plan.attempts[i] {
		failures := plan.failures[i][zone]
		decay := math.Exp(-(plan.now - plan.lastReportAt[i][zone]) / healthWindow)
		rate := (attempts - failures) * decay / healthWindow
		load.weightedLatency += rate * plan.meanLatency[i][zone] / a.shortestSoftDeadline
		load.successRate += rate
		if attempts < minAttempts/2 || decay <= 0.2 {
			continue
		}
		load.attempts += attempts
		load.avoidedAttempts += attempts * math.Pow(failures/attempts, plan.settings.Strikes)
		byFailures := queued * failures / attempts / overloadFailureShare
		byLatency := plan.meanLatency[i][zone] / a.shortestSoftDeadline / overloadLatencyRatio
		least = min(least, max(byFailures, byLatency))
	}
	if !math.IsInf(least, 1) && plan.state[i] == BackendOpen {
		load.judgedBackends++
		load.overloadedBackends += math.Ceil(min(1, max(0, least-1)))
	}
}

// updateLoadFactor widens the bound on load while answers are quick, as far as it saves what leaving a zone
// costs: a zone with more than its share is the first to be overloaded by a burst.
func (a *admission) updateLoadFactor() {
	most := min(maxLoadFactor, minLoadFactor+crossZonePriceFactor*a.plan.settings.CrossingPrice)
	factor := minLoadFactor + (most-minLoadFactor)*min(1, max(0, 2-4*a.relativeLatency))
	a.loadFactor += loadFactorGain * (factor - a.loadFactor)
}

// updateLimit lowers the limit on admitted requests in an overload to what is answered, but not below most of
// what such a fleet has answered before, as reports are late. After an overload it raises the limit.
func (a *admission) updateLimit(load fleetLoad, capacity float64) {
	now := a.plan.now
	if load.overloadedBackends >= overloadedBackendShare*load.judgedBackends {
		a.overloaded, a.overloadedAt = true, now
		if now >= a.limitLoweredAt+admissionWindow/2 {
			floor := minRateLimitShare * a.peakSuccessRatePerWeight * capacity
			a.limitLoweredAt, a.rateLimit = now, max(min(a.rateLimit, load.successRate*admittedSuccessShare), floor)
		}
		return
	}
	a.overloaded = a.overloaded && now < a.overloadedAt+admissionWindow
	a.rateLimit *= limitGrowthFactor + limitGrowthBonus*max(0, 1-2*load.overloadedBackends/load.judgedBackends/overloadedBackendShare)
}

// updateOverloadUnlikely tells whether no overload is near, of which reports do not tell yet.
func (a *admission) updateOverloadUnlikely(load fleetLoad, capacity float64) {
	few := load.overloadedBackends < overloadedBackendShare/3*load.judgedBackends
	settled := a.plan.now > max(a.firstReportAt, a.lastDisconnectAt)+admissionWindow
	roomy := sum(a.arrivalRates) < a.peakSuccessRatePerWeight*capacity
	a.overloadUnlikely = !a.overloaded && few && a.relativeLatency < overloadLatencyRatio && settled && roomy
}

// shedLoad returns the admitted share of each method's requests; the lowest criticality is shed first.
func (a *admission) shedLoad() []float64 {
	shares, order := make([]float64, len(a.admittedShares)), make([]int, len(a.admittedShares))
	excess := -a.rateLimit
	for method := range shares {
		shares[method], order[method] = 1, method
		excess += a.arrivalRates[method]
	}
	if excess < -0.1*a.rateLimit {
		a.rateLimit = math.Inf(1)
	}
	if a.plan.settings.LevelKind == "none" {
		return shares
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(a.criticality[x], a.criticality[y]) })
	for len(order) > 0 && excess > 0 {
		group := a.sameCriticality(order)
		arrivals := 0.0
		for _, method := range group {
			arrivals += a.arrivalRates[method]
		}
		share := math.Round(max(minAdmittedShare, 1-excess/max(arrivals, 0.01))*admittedShareSteps) / admittedShareSteps
		for _, method := range group {
			shares[method] = share
		}
		excess -= (1 - minAdmittedShare) * arrivals
		order = order[len(group):]
	}
	return shares
}
