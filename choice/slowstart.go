package choice

import "math"

// A backend in slow start ("cold") has reduced capacity since its process started or became reachable again, and collapses
// under a load that it could serve later. Its warm-up factor is the share of its full weight that tables may give it; the
// factor is 1 after slow start ("warm").
const (
	slowStartSteps  = 4   // steps of the warm-up factor, each of which costs a push to each proxy
	coldLoadShare   = 0.6 // share of the load at which a cold backend collapses that may reach it in an overload
	maxAvoidedShare = 0.1 // share of attempts at backends that proxies avoid, above which their requests move to cold backends
)

// currentWarmupFactor returns a backend's present warm-up factor. It assumes the slowest warm-up that the settings allow and
// rises in a few steps, each to the capacity that the backend has at least when the step begins.
func (b *backendActor) currentWarmupFactor() float64 {
	duration, coldShare := b.planner.settings.WarmupDuration, b.planner.settings.ColdCapacityShare
	beganAt := max(b.planner.startedAt[b.index], b.planner.returnedAt[b.index])
	age := b.planner.now - beganAt
	if beganAt == 0 || age >= duration || duration <= 0 {
		return 1
	}
	return coldShare + (1-coldShare)*math.Floor(max(age, 0)/duration*slowStartSteps)/slowStartSteps
}

// requiredWarmupFactor returns the warm-up factor that a cold backend needs to be in the arcs, 0 if any may. In an overload,
// proxies that avoid failing backends, or that pick the less busy of two, move their requests from all backends that reject to
// a cold one, whatever its weight. The cold backend therefore stays out until it can take this load.
//
// entryRate is the mean rate of a table entry in requests a second. If an entry gets fewer than AvoidAfterFailures requests
// before reports of failures take effect, and few backends fail, proxies avoid no backend and no requests move until there is
// an overload.
func (planner *Planner) requiredWarmupFactor(entryRate float64) float64 {
	admission, avoidAfterFailures := planner.admission, planner.settings.AvoidAfterFailures
	arrivalRate, collapseMultiple := sum(admission.arrivalRates), planner.settings.CollapseLoadMultiple
	entryArrivalRate := arrivalRate / planner.ring.totalEntries
	fewAvoided := max(entryRate, entryArrivalRate)*admissionWindow < avoidAfterFailures && admission.avoidedShare < maxAvoidedShare
	// Picking the less busy of two backends moves requests only if one of them is busy. The estimated number of requests in flight
	// per table entry stands for the probability of that.
	busyShare := min(1, entryArrivalRate*admission.relativeLatency*admission.shortestSoftDeadline)
	movedPerWeight := arrivalRate * (1 + busyShare) / max(1e-9, planner.openCapacity())
	bearable := !admission.overloaded || movedPerWeight < coldLoadShare*collapseMultiple*admission.peakSuccessRatePerWeight
	if admission.overloadUnlikely || avoidAfterFailures <= 0 || fewAvoided && bearable {
		return 0
	}
	if admission.firstReportAt == 0 || planner.now <= admission.firstReportAt+admissionWindow {
		return 1 // this instance started too recently to know whether there is an overload
	}
	// The largest share of all requests that a cold backend may get, per unit of its full weight: as much as if it were warm.
	movedShare := 1 / planner.sumOpen(planner.fullWeight)
	if planner.settings.PickPolicy == "pair" {
		movedShare *= 2 // of two backends drawn at random, one with no requests in flight is always picked
	}
	coldWeight := planner.sumOpen(func(i int) float64 { return planner.weight[i] * math.Ceil(1-planner.warmupFactor[i]) })
	movedShare = min(movedShare, 1/max(1e-9, coldWeight)) // all cold backends together can't get more than all requests
	return arrivalRate * movedShare / (coldLoadShare * collapseMultiple * max(admission.peakSuccessRatePerWeight, 1e-9))
}

// overloadsColdBackend reports whether the arcs bring a cold backend more load than it can take while no warm one is listed.
// The capacity is estimated from the peak success rate, which is less than what a backend can do; the bound is therefore
// divided by coldLoadShare, so that a fleet that is entirely cold and has its usual load stays within it. The estimate is too
// low, and excludes backends without need, if the peak rate was measured at very little traffic.
func (planner *Planner) overloadsColdBackend(i int) bool {
	collapseRate := planner.settings.CollapseLoadMultiple * planner.warmupFactor[i] * planner.weight[i] *
		planner.admission.peakSuccessRatePerWeight
	bound := collapseRate / coldLoadShare * planner.ownShare()
	if planner.excluded[i] {
		bound /= 2 // hysteresis: an excluded backend is restored only at half the load that excludes it
	}
	// Only the listed start time counts here: a backend that was merely unreachable for a while has to stay in the tables.
	recentlyStarted := func(k int) bool {
		return planner.startedAt[k] > 0 && planner.now < planner.startedAt[k]+planner.settings.WarmupDuration
	}
	if !recentlyStarted(i) || planner.admission.peakSuccessRatePerWeight <= 0 || !(planner.expectedLoad[i] > bound) {
		return false
	}
	warmBackends := planner.sumOpen(func(k int) float64 {
		if recentlyStarted(k) {
			return 0
		}
		return 1
	})
	return warmBackends == 0
}

// excludeOverloadedCold excludes the open backends for which overloadsColdBackend holds and reports whether it excluded any. It
// is better that proxies reject requests than that a backend collapses and doesn't recover. Rule 1 of package
// invariant, that a proxy must have a usable table entry, allows this because it applies only while a warm backend is listed.
func (planner *Planner) excludeOverloadedCold() (changed bool) {
	for i := range planner.id {
		if planner.state[i] == BackendOpen && !planner.excluded[i] && planner.overloadsColdBackend(i) {
			planner.setExcluded(i, true)
			changed = true
		}
	}
	return changed
}
