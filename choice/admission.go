package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	admissionWindow      = 4.0  // seconds that arrivals are averaged over, and that an overload lasts at least
	evaluationInterval   = 1.0  // seconds
	overloadFailureShare = 0.15 // share of failures, from the zone where it is lowest, of an overloaded backend
	overloadLatency      = 0.5  // or its mean latency, of the shortest soft deadline
	overloadedPart       = 0.5  // of the backends, how many are overloaded at once if the fleet is
	baselineAttempts     = 2.0  // attempts that a backend needs to count in the baseline of failures
	baselineWindow       = 6.0  // seconds within which it was reported on
	baselineDivisor      = 4    // the baseline is that of the best backends, one in so many
	minRateLimit         = 0.8  // of the best rate of answers
	answeredPart         = 0.85 // of what is answered in an overload, what is admitted, so that queues run off
	limitGrowth          = 1.1  // factor of the limit's growth in a second after an overload
	limitGrowthCalm      = 0.3  // and what is added to it if no backend is overloaded
	loadFactorGain       = 0.2  // of each deviation, by how much the load factor follows
	answerRateGain       = 0.3  // and the rate of answers
	shareSteps           = 20   // admitted shares are multiples of its inverse
	minShare             = 0.05
)

// normalRetry is the retry policy of a method outside of overloads. A retry after a mere timeout feeds the
// overload that it came from, so it has to be proven that the first attempt was not processed, or the request
// has a token that surely is remembered until the second attempt.
func (plan *Planner) normalRetry(method MethodSettings) RetryPolicy {
	remembered := plan.settings.TryWait*method.SoftDeadline.Or(1) < 0.9*method.TokenWindow.Or(0)
	deduplicated := method.Effect == "tokened" && method.Group == "all" && remembered
	switch {
	case method.RetryLimit == "once":
		return RetryNever
	case method.RetryLimit != "proven" && deduplicated:
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
	a.relativeLatency = load.latency / max(load.answers, 1e-9)
	a.struckShare = load.struck / load.attempts
	a.updateLoadFactor()
	if capacity > 1e-6 { // answers reported while nothing is open, as after the list emptied, say nothing
		a.answerRate += answerRateGain * (load.answers/capacity - a.answerRate)
		a.bestAnswerRate = max(a.bestAnswerRate, a.answerRate)
	}
	if load.judged == 0 {
		return
	}
	a.updateLimit(load, capacity)
	a.firstReportAt = cmp.Or(a.firstReportAt, plan.now)
	a.updateCalm(load, capacity)
	a.admitted = a.shedLoad()
	for _, proxy := range plan.proxies {
		plan.send(proxy, admissionChanged{a.admitted, a.currentRetry()})
	}
}

// measureBackend adds what is reported of one backend, judged by the zone that fares best with it, as a cut
// between zones is no overload. A backend that rejects has a full queue, and what it answers has waited:
// failures beside quick answers are something else, which admitting less would not help.
func (a *admission) measureBackend(i int, load *fleetLoad) {
	plan, least := a.plan, math.Inf(1)
	queued := 0.0
	if a.relativeLatency > overloadLatency {
		queued = 1
	}
	for zone, attempts := range plan.attempts[i] {
		failures := plan.failures[i][zone]
		decay := math.Exp(-(plan.now - plan.lastReport[i][zone]) / healthWindow)
		rate := (attempts - failures) * decay / healthWindow
		load.latency += rate * plan.latency[i][zone] / a.softDeadline
		load.answers += rate
		if attempts < minAttempts/2 || decay <= 0.2 {
			continue
		}
		load.attempts += attempts
		load.struck += attempts * math.Pow(failures/attempts, plan.settings.Strikes)
		byFailures := queued * failures / attempts / overloadFailureShare
		byLatency := plan.latency[i][zone] / a.softDeadline / overloadLatency
		least = min(least, max(byFailures, byLatency))
	}
	if !math.IsInf(least, 1) && plan.state[i] == BackendOpen {
		load.judged++
		load.overloaded += math.Ceil(min(1, max(0, least-1)))
	}
}

// updateLoadFactor widens the bound on load while answers are quick, as far as it saves what leaving a zone
// costs: a zone with more than its share is the first to be overloaded by a burst.
func (a *admission) updateLoadFactor() {
	most := min(maxLoadFactor, minLoadFactor+crossingPriceFactor*a.plan.settings.CrossingPrice)
	factor := minLoadFactor + (most-minLoadFactor)*min(1, max(0, 2-4*a.relativeLatency))
	a.loadFactor += loadFactorGain * (factor - a.loadFactor)
}

// updateLimit lowers the limit on admitted requests in an overload to what is answered, but not below most of
// what such a fleet has answered before, as reports are late. After an overload it raises the limit.
func (a *admission) updateLimit(load fleetLoad, capacity float64) {
	now := a.plan.now
	if load.overloaded >= overloadedPart*load.judged {
		a.overloaded, a.overloadedAt = true, now
		if now >= a.limitLoweredAt+admissionWindow/2 {
			floor := minRateLimit * a.bestAnswerRate * capacity
			a.limitLoweredAt, a.rateLimit = now, max(min(a.rateLimit, load.answers*answeredPart), floor)
		}
		return
	}
	a.overloaded = a.overloaded && now < a.overloadedAt+admissionWindow
	a.rateLimit *= limitGrowth + limitGrowthCalm*max(0, 1-2*load.overloaded/load.judged/overloadedPart)
}

// updateCalm tells whether no overload is near, of which reports do not tell yet.
func (a *admission) updateCalm(load fleetLoad, capacity float64) {
	few := load.overloaded < overloadedPart/3*load.judged
	settled := a.plan.now > max(a.firstReportAt, a.lastDisconnect)+admissionWindow
	roomy := sum(a.arrivals) < a.bestAnswerRate*capacity
	a.calm = !a.overloaded && few && a.relativeLatency < overloadLatency && settled && roomy
}

// shedLoad returns the admitted share of each method's requests; the lowest criticality is shed first.
func (a *admission) shedLoad() []float64 {
	shares, order := make([]float64, len(a.admitted)), make([]int, len(a.admitted))
	excess := -a.rateLimit
	for method := range shares {
		shares[method], order[method] = 1, method
		excess += a.arrivals[method]
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
			arrivals += a.arrivals[method]
		}
		share := math.Round(max(minShare, 1-excess/max(arrivals, 0.01))*shareSteps) / shareSteps
		for _, method := range group {
			shares[method] = share
		}
		excess -= (1 - minShare) * arrivals
		order = order[len(group):]
	}
	return shares
}
