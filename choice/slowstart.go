package choice

import (
	"math"
	"slices"
)

// A backend in slow start ("cold") has reduced capacity since its process started or became reachable again, and collapses
// under a load that it could serve later. Its warm-up factor is the share of its full weight that tables may give it; the
// factor is 1 after slow start ("warm").
const (
	slowStartSteps       = 4   // steps of the warm-up factor, each of which costs a push to each proxy
	coldLoadShare        = 0.6 // share of the load at which a cold backend collapses that may reach it in an overload
	coldFleetHysteresis  = 0.5 // a backend of a cold fleet is restored at this share of the load that excludes it
	coldZoneHysteresis   = 0.8 // the same for a cold zone of a fleet with warm backends
	minOverloadExclusion = 2.0 // seconds from a backend's exclusion for overload until it may be restored
	maxAvoidedShare      = 0.1 // share of attempts at backends that proxies avoid, above which their requests move to cold backends
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

// recentlyStarted reports whether a backend is cold by the start time in the endpoint list. One that was merely unreachable for a
// while is not: it has to stay in the tables.
func (planner *Planner) recentlyStarted(i int) bool {
	return planner.startedAt[i] > 0 && planner.now < planner.startedAt[i]+planner.settings.WarmupDuration
}

// anyWarm reports whether an open backend for which the condition holds has not started recently.
func (planner *Planner) anyWarm(condition func(i int) bool) bool {
	for i, state := range planner.state {
		if state == BackendOpen && !planner.recentlyStarted(i) && condition(i) {
			return true
		}
	}
	return false
}

// warmTakesLoad reports whether each joined proxy can use a warm backend somewhere in the fleet: one that is reachable and not
// ejected for the proxy's zone. A warm backend that arcs avoid takes no load off the cold ones.
func (planner *Planner) warmTakesLoad() bool {
	for zone := range len(planner.zoneIndex) {
		inUse := slices.ContainsFunc(planner.proxies, func(proxy *proxyActor) bool { return proxy.joined && proxy.zone == zone })
		if inUse && !planner.anyWarm(func(i int) bool { return planner.healthy(i, zone) }) {
			return false
		}
	}
	return true
}

// collapseLoad returns the load of this instance's proxies, in requests a second, at which a cold backend may collapse. It is
// estimated from provenRatePerWeight, which is less than what a backend can do, and much less if it was measured at very little
// traffic.
func (planner *Planner) collapseLoad(i int) float64 {
	return planner.settings.CollapseLoadMultiple * planner.warmupFactor[i] * planner.weight[i] * planner.provenRatePerWeight() *
		planner.ownShare()
}

// provenRatePerWeight returns the requests a second that warm backends can surely serve per unit of weight: the peak success rate.
// Until this instance has measured one, it assumes that the backends of the zones that have warm ones can serve the usual requests
// of their zones' proxies, or all backends those of all proxies if no proxy of such a zone is joined. The joined proxies are taken
// for a fair sample.
func (planner *Planner) provenRatePerWeight() float64 {
	if peak := planner.admission.peakSuccessRatePerWeight; peak > 0 {
		return peak
	}
	hasWarm := make([]bool, len(planner.zoneIndex))
	for i, zone := range planner.zone {
		hasWarm[zone] = hasWarm[zone] || planner.state[i] == BackendOpen && !planner.recentlyStarted(i)
	}
	rate := planner.usualRatePerWeight(func(zone int) bool { return hasWarm[zone] })
	if rate == 0 {
		rate = planner.usualRatePerWeight(func(int) bool { return true })
	}
	return rate
}

// usualRatePerWeight returns the usual requests a second of the proxies in some zones, per unit of weight of the open backends
// there. It multiplies those of the joined proxies by the number of all proxies for each joined one.
func (planner *Planner) usualRatePerWeight(includes func(zone int) bool) float64 {
	usage := 0.0
	for _, proxy := range planner.proxies {
		if proxy.joined && includes(proxy.zone) {
			usage += proxy.usageRate()
		}
	}
	weight := planner.sumOpen(func(i int) float64 {
		if includes(planner.zone[i]) {
			return planner.weight[i]
		}
		return 0
	})
	return usage / max(planner.ownShare()*weight, 1e-9) // 1e-9 prevents a division by 0
}

// overloadsColdBackend reports whether the arcs bring a cold backend more load than it can take. In the fleet this matters only
// while no warm backend could take the load instead. Tables that are limited to the backend's zone can't move it elsewhere, so for
// them it matters even beside warm backends: a few warm ones take only their part of it. All load counts, that of the other tables
// too.
func (planner *Planner) overloadsColdBackend(i int) bool {
	measured := planner.admission.peakSuccessRatePerWeight > 0
	if !planner.recentlyStarted(i) || !measured && planner.expectedZoneLoad[i] == 0 {
		return false
	}
	// The fleet's limit is divided by coldLoadShare, so that a fleet that is entirely cold and has its usual load stays within it.
	fleetLimit, zoneLimit := planner.collapseLoad(i)/coldLoadShare, planner.collapseLoad(i)
	if planner.excluded[i] {
		fleetLimit, zoneLimit = fleetLimit*coldFleetHysteresis, zoneLimit*coldZoneHysteresis
	}
	if planner.expectedZoneLoad[i] > 0 && planner.anyWarm(inFleet) {
		return planner.expectedLoad[i] > zoneLimit
	}
	// Before any success was reported, a fleet that starts as a whole must not be shut.
	return measured && planner.expectedLoad[i] > fleetLimit && !planner.warmTakesLoad()
}

// inFleet is a condition for anyWarm that holds for all backends.
func inFleet(int) bool { return true }

// excludeOverloadedCold excludes the open backends for which overloadsColdBackend holds and reports whether it excluded any. It
// is better that proxies reject requests than that a backend collapses and doesn't recover. Rule 1 of package
// invariant, that a proxy must have a usable table entry, applies only while a warm backend is listed that the table may have;
// assignArc then adds that one, even if it is unhealthy.
func (planner *Planner) excludeOverloadedCold() (changed bool) {
	for i := range planner.id {
		if planner.state[i] == BackendOpen && !planner.excluded[i] && planner.overloadsColdBackend(i) {
			planner.overloadExcludedAt[i] = planner.now
			planner.setExcluded(i, true)
			changed = true
		}
	}
	return changed
}

// pausedAfterOverload reports whether a backend is warm or was not excluded for overload within minOverloadExclusion. Arcs get smaller
// when a backend is restored, and may then bring it more load than was expected; without a pause it would be excluded and restored
// in each step.
func (planner *Planner) pausedAfterOverload(i int) bool {
	return !planner.recentlyStarted(i) || planner.now >= planner.overloadExcludedAt[i]+minOverloadExclusion
}

// restoreColdZones withdraws the exclusions of all cold backends of a zone in one step, once they can take the load of the
// zone-local tables together. One by one, each would have to be able to take all of it.
func (planner *Planner) restoreColdZones() {
	groups := make([][]int, len(planner.zoneIndex))
	for i, zone := range planner.zone {
		if planner.excluded[i] && planner.state[i] == BackendOpen && planner.restoredZoneLoad[i] > 0 {
			groups[zone] = append(groups[zone], i)
		}
	}
	for _, group := range groups {
		if len(group) > 0 && planner.mayRestoreTogether(group) {
			for _, i := range group {
				planner.restore(i)
			}
		}
	}
}

// mayRestoreTogether reports whether the exclusions of a zone's backends may be withdrawn in one step: each proxy's table has
// all of them at weights that they may have, and none would get more load than it can take.
func (planner *Planner) mayRestoreTogether(group []int) bool {
	if !planner.anyWarm(inFleet) {
		return false // the load of the other tables counts as well, see overloadsColdBackend
	}
	for _, i := range group {
		load := planner.restoredZoneLoad[i] + planner.expectedLoad[i] - planner.expectedZoneLoad[i]
		overloaded := load > coldZoneHysteresis*planner.collapseLoad(i)
		if overloaded || !planner.pausedAfterOverload(i) || planner.sentTooHeavy(i) {
			return false
		}
	}
	return !slices.ContainsFunc(planner.proxies, (*proxyActor).lacksLocalEntry)
}
