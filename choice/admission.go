package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	admissionWindow        = 4.0  // seconds: time constant of arrival rates; an overload lasts this long after it was last found
	evaluationInterval     = 1.0  // seconds between two evaluations of the fleet's load
	overloadFailureShare   = 0.15 // a backend is overloaded if more than this share of its attempts fail, see measureBackend
	overloadLatencyRatio   = 0.5  // a backend is also overloaded if its mean latency is above this share of shortestSoftDeadline
	overloadedBackendShare = 0.5  // the fleet is overloaded if at least this share of its judged backends (see fleetLoad) is
	baselineAttempts       = 2.0  // decayed count of attempts that a backend needs to count for baselineFailureShare
	baselineWindow         = 6.0  // seconds for which a backend counts for baselineFailureShare after the last report on it
	baselineDivisor        = 4    // baselineFailureShare stands 1/4 up the ascending list of the backends' failure shares
	minRateLimitShare      = 0.8  // lower bound of the rate limit in an overload, as a share of the fleet's peak success rate
	admittedSuccessShare   = 0.85 // in an overload the rate limit falls to this share of the success rate, so that queues drain
	limitGrowthFactor      = 1.1  // the rate limit is multiplied by this at each evaluation that finds no overload
	limitGrowthBonus       = 0.3  // is added to limitGrowthFactor if no backend is overloaded, and less if some are
	loadFactorGain         = 0.2  // share of the way to its target that the load factor (see arcs.go) moves per evaluation
	successRateGain        = 0.3  // weight of the newest rate in successRatePerWeight, a moving average
	admittedShareSteps     = 20   // admitted shares are rounded to multiples of 1/20
	minAdmittedShare       = 0.05 // lower bound of a method's admitted share

	peakWindow               = 600.0 // seconds for which a peak of the success rate is remembered at least, and up to twice that
	maxMedianSuccessFactor   = 4.0   // a backend counts for the peak with at most this multiple of the backends' median rate per weight
	maxSuccessesPerRequest   = 1.5   // limit on the fleet's successes for each request; above 1, as the two are reported at different times
	plausibleCountFloor      = 100.0 // requests or attempts that any report may have
	plausibleRateFactor      = 4.0   // limit on the rate in a report, as a multiple of all known requests a second
	maxPlausibleReportPeriod = 10.0  // seconds: longest time since the last report that a report is taken to cover
)

// plausibleCount limits a count of requests or attempts in a report to what all proxies together can have sent since the last report
// of its kind. A count above that is wrong, or the usage has grown by a multiple within a report period; the limit then follows it
// within a few reports. What is left of a wrong count acts like one report of a burst.
func (a *admission) plausibleCount(count int, lastReportAt Seconds) int {
	planner, known := a.planner, max(a.knownRate, sum(a.arrivalRates))
	if known == 0 {
		return max(0, count) // there is nothing yet to compare it with
	}
	covered := min(planner.now-lastReportAt, maxPlausibleReportPeriod) + 2*planner.settings.ReportPeriod // reports may be late
	limit := int(plausibleCountFloor + plausibleRateFactor*known*covered)
	if count > limit {
		a.logImplausibleCount(count, limit)
	}
	return max(0, min(count, limit))
}

// plausibleReport limits the figures of a report. Its share of failures stays the same, and no success takes longer than a client
// waits.
func (a *admission) plausibleReport(report AttemptReport, lastReportAt Seconds) AttemptReport {
	attempts := a.plausibleCount(report.Attempts, lastReportAt)
	if attempts != report.Attempts {
		share := float64(report.Failures) / float64(report.Attempts)
		report.Failures = int(math.Round(share * float64(attempts)))
	}
	report.Attempts, report.Failures = attempts, max(0, min(report.Failures, attempts))
	report.MeanLatency = min(report.MeanLatency, a.longestDeadline)
	return report
}

// normalRetry returns the retry policy of a method outside of overloads. Retries after timeouts add to the overload that caused
// the timeouts. So a retry needs proof that the first attempt was not processed, or a token that all backends surely still
// remember at the second attempt.
func (planner *Planner) normalRetry(method MethodSettings) RetryPolicy {
	// 0.9 is a margin: the retry must arrive before the token is forgotten.
	remembered := planner.settings.AttemptTimeoutShare*method.SoftDeadline.Or(1) < 0.9*method.TokenWindow.Or(0)
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

// currentRetry returns the present retry policy of each method. In an overload there are no retries, because they add to it.
func (a *admission) currentRetry() []RetryPolicy {
	if !a.overloaded {
		return a.normalRetry
	}
	return slices.Repeat([]RetryPolicy{RetryNever}, len(a.normalRetry))
}

// evaluate measures the load of the fleet, distinguishes an overload from failures of single backends, and sets the admitted
// share and retry policy of each method.
func (a *admission) evaluate() {
	planner, load := a.planner, a.measure()
	capacity := planner.openCapacity()
	a.updateBaseline()
	a.relativeLatency = load.weightedLatency / max(load.successRate, 1e-9) // 1e-9 prevents a division by 0
	a.avoidedShare = load.avoidedAttempts / load.attempts
	a.updateLoadFactor()
	a.updatePeak(load.provenSuccessRate, capacity)
	if load.judgedBackends == 0 {
		return
	}
	a.updateLimit(load, capacity)
	a.firstReportAt = cmp.Or(a.firstReportAt, planner.now)
	a.updateOverloadUnlikely(load, capacity)
	a.admittedShares = a.shedLoad()
	for _, proxy := range planner.proxies {
		planner.send(proxy, admissionChanged{a.admittedShares, a.currentRetry()})
	}
}

// updatePeak updates the peak success rate per weight. Decisions rely on it as what backends can surely serve, so no single report
// may set it: a backend counts with at most a multiple of what is usual for the others, the fleet with at most what was
// requested, and a peak is forgotten after a while.
func (a *admission) updatePeak(successRate, capacity float64) {
	if a.planner.now >= a.peakWindowEnd {
		a.peakWindowEnd = a.planner.now + peakWindow
		a.formerWindowPeak, a.windowPeak = a.windowPeak, 0
	}
	if capacity > 1e-6 { // successes reported while no backend is open, such as after an empty list, have no meaningful rate
		successRate = min(successRate, maxSuccessesPerRequest*max(a.knownRate, sum(a.arrivalRates)))
		a.successRatePerWeight += successRateGain * (successRate/capacity - a.successRatePerWeight)
		a.windowPeak = max(a.windowPeak, a.successRatePerWeight)
	}
	a.peakSuccessRatePerWeight = max(a.windowPeak, a.formerWindowPeak)
}

// addProvenSuccesses sums up the successes of the backends that openCapacity counts, each limited to maxMedianSuccessFactor times the
// median of those that were reported on within baselineWindow, in proportion to their weights.
func (a *admission) addProvenSuccesses(load *fleetLoad) {
	planner := a.planner
	var ratesPerWeight []float64
	for i, successRate := range load.successRates {
		recent := slices.ContainsFunc(planner.lastReportAt[i], func(at Seconds) bool { return at > planner.now-baselineWindow })
		if recent && successRate > 0 && planner.countsAsCapacity(i) {
			ratesPerWeight = append(ratesPerWeight, successRate/planner.weight[i]/planner.warmupFactor[i])
		}
	}
	if len(ratesPerWeight) == 0 {
		return
	}
	slices.Sort(ratesPerWeight)
	limit := maxMedianSuccessFactor * ratesPerWeight[(len(ratesPerWeight)-1)/2]
	for i, successRate := range load.successRates {
		if planner.countsAsCapacity(i) {
			load.provenSuccessRate += min(successRate, limit*planner.weight[i]*planner.warmupFactor[i])
		}
	}
}

// measureBackend adds the reports on one backend to the load of the fleet. Whether the backend is overloaded is judged from the
// zone where it does best, because a network failure between zones is no overload. A backend that rejects requests in an
// overload has a full queue, so the requests that succeed are slow. Failures while the fleet's latency is low have another
// cause, against which admitting fewer requests would not help; they don't count.
func (a *admission) measureBackend(i int, load *fleetLoad) {
	planner, overloadRatio := a.planner, math.Inf(1) // above 1: overloaded
	failureWeight := 0.0
	if a.relativeLatency > overloadLatencyRatio {
		failureWeight = 1
	}
	for zone, attempts := range planner.attempts[i] {
		failures := planner.failures[i][zone]
		decay := math.Exp(-(planner.now - planner.lastReportAt[i][zone]) / healthWindow)
		successRate := (attempts - failures) * decay / healthWindow
		load.weightedLatency += successRate * planner.meanLatency[i][zone] / a.shortestSoftDeadline
		load.successRate += successRate
		load.successRates[i] += successRate
		if attempts < minAttempts/2 || decay <= 0.2 { // too few attempts, or too long ago, to judge the backend by
			continue
		}
		load.attempts += attempts
		load.avoidedAttempts += attempts * math.Pow(failures/attempts, planner.settings.AvoidAfterFailures)
		byFailures := failureWeight * failures / attempts / overloadFailureShare
		byLatency := planner.meanLatency[i][zone] / a.shortestSoftDeadline / overloadLatencyRatio
		overloadRatio = min(overloadRatio, max(byFailures, byLatency))
	}
	if !math.IsInf(overloadRatio, 1) && planner.state[i] == BackendOpen {
		load.judgedBackends++
		load.overloadedBackends += math.Ceil(min(1, max(0, overloadRatio-1))) // adds 1 if overloadRatio is above 1
	}
}

// updateLoadFactor raises the load factor while latency is low, which saves the cost of requests that leave their zone. The
// factor rises only in proportion to that cost, because a zone with more than its share of the load is the first that a burst
// overloads.
func (a *admission) updateLoadFactor() {
	limit := min(maxLoadFactor, minLoadFactor+crossZonePriceFactor*a.planner.settings.CrossZonePrice)
	// The target is the limit up to a relative latency of 1/4, and falls to minLoadFactor at 1/2.
	target := minLoadFactor + (limit-minLoadFactor)*min(1, max(0, 2-4*a.relativeLatency))
	a.loadFactor += loadFactorGain * (target - a.loadFactor)
}

// updateLimit detects an overload of the fleet and sets the rate limit. In an overload it lowers the limit to most of the
// success rate, but not below minRateLimitShare of the peak success rate of a fleet of this capacity, because reports arrive
// late. After an overload it raises the limit.
func (a *admission) updateLimit(load fleetLoad, capacity float64) {
	now := a.planner.now
	if load.overloadedBackends >= overloadedBackendShare*load.judgedBackends {
		a.overloaded, a.overloadedAt = true, now
		if now >= a.limitLoweredAt+admissionWindow/2 { // lowered at most once in this time
			floor := minRateLimitShare * a.peakSuccessRatePerWeight * capacity
			a.limitLoweredAt, a.rateLimit = now, max(min(a.rateLimit, load.successRate*admittedSuccessShare), floor)
		}
		return
	}
	a.overloaded = a.overloaded && now < a.overloadedAt+admissionWindow
	// The bonus is 0 once the share of overloaded backends is half of overloadedBackendShare or more.
	a.rateLimit *= limitGrowthFactor + limitGrowthBonus*max(0, 1-2*load.overloadedBackends/load.judgedBackends/overloadedBackendShare)
}

// updateOverloadUnlikely sets whether an overload that the reports don't show yet is unlikely.
func (a *admission) updateOverloadUnlikely(load fleetLoad, capacity float64) {
	fewOverloaded := load.overloadedBackends < overloadedBackendShare/3*load.judgedBackends
	settled := a.planner.now > max(a.firstReportAt, a.lastDisconnectAt)+admissionWindow
	spareCapacity := sum(a.arrivalRates) < a.peakSuccessRatePerWeight*capacity
	a.overloadUnlikely = !a.overloaded && fewOverloaded && a.relativeLatency < overloadLatencyRatio && settled && spareCapacity
}

// shedLoad returns the share of each method's requests that is admitted. It sheds the arrivals above the rate limit, those of
// methods with the lowest criticality first.
func (a *admission) shedLoad() []float64 {
	shares, order := make([]float64, len(a.admittedShares)), make([]int, len(a.admittedShares))
	excess := -a.rateLimit
	for method := range shares {
		shares[method], order[method] = 1, method
		excess += a.arrivalRates[method]
	}
	if excess < -0.1*a.rateLimit { // arrivals are more than 10% below the limit, which is no longer needed
		a.rateLimit = math.Inf(1)
	}
	if a.planner.settings.LevelKind == "none" {
		return shares
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(a.criticality[x], a.criticality[y]) })
	for len(order) > 0 && excess > 0 {
		group := a.sameCriticality(order)
		arrivalRate := 0.0
		for _, method := range group {
			arrivalRate += a.arrivalRates[method]
		}
		// The rate is at least 0.01, so that a group without arrivals causes no division by 0.
		share := math.Round(max(minAdmittedShare, 1-excess/max(arrivalRate, 0.01))*admittedShareSteps) / admittedShareSteps
		for _, method := range group {
			shares[method] = share
		}
		excess -= (1 - minAdmittedShare) * arrivalRate
		order = order[len(group):]
	}
	return shares
}
