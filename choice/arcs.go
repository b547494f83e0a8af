package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// A load factor is a ratio: the highest load that arcs may bring a backend, divided by its proportional share of the total
// load. Shares are proportional to effective weights.
const (
	minArcSize           = 3    // fewest backends in an arc
	meanArcSize          = 6.0  // backends in an arc on average, or more if minArcsPerBackend requires it
	minArcsPerBackend    = 2    // fewest arcs that include each backend
	minArcSizeChange     = 2    // backends; an arc is not resized by fewer
	minLoadFactor        = 1.1  // load factor while latency is high
	maxLoadFactor        = 1.5  // limit on the load factor while latency is low, which keeps more requests in their zone
	crossZonePriceFactor = 3.5  // limit on the load factor, as its excess over minLoadFactor per unit of CrossZonePrice
	boundGrowthFactor    = 1.09 // ratio of successive bounds on a backend's load that are tried for an arc that is not full
	maxBoundGrowthFactor = 16   // limit on the bound, as a multiple of maxLoadPerWeight; an arc not full then stays so
	reassignInterval     = 1.0  // seconds between assignments of all arcs, because proxies' usage and latency factors drift
	reassignBatchShare   = 0.12 // all arcs are reassigned once more than this share of the joined proxies joined or left
)

// refreshArcs brings the arcs up to date and reports whether it assigned any. All arcs are reassigned at once after a change of
// the endpoint list or of a backend's health. A proxy that joins gets an arc that takes the load of the present arcs into
// account; all arcs are reassigned only after many joins and leaves (see reassignBatchShare) or after a tick. Reassigning all for
// each join would take all the time when many proxies join at once.
func (r *ring) refreshArcs() (changed bool) {
	overdue := len(r.changedProxies) > 0 && r.planner.now >= r.assignedAt+tickInterval
	if r.dirty || overdue || float64(len(r.changedProxies)) > reassignBatchShare*float64(r.joinedProxies) {
		r.assignAllArcs()
		return true
	}
	for _, proxy := range r.changedProxies[r.handledChanges:] {
		if proxy.joined && proxy.assignmentRound != r.assignmentRound { // if equal, its arcs were assigned for an earlier join
			r.assignProxyArcs(proxy)
			changed = true
		}
	}
	r.handledChanges = len(r.changedProxies)
	return changed
}

// assignAllArcs reassigns the arcs of all joined proxies.
func (r *ring) assignAllArcs() {
	planner := r.planner
	r.dirty, r.assignedAt, r.changedProxies, r.handledChanges, r.assignmentRound = false, planner.now, nil, 0, r.assignmentRound+1
	r.computeEffectiveWeights()
	walks, usage, otherUsage := r.collectWalks()
	r.totalEntries = max(1, minArcsPerBackend*float64(len(r.openBackends)), meanArcSize*float64(len(walks)))
	r.entriesPerRequestRate = r.totalEntries / usage
	r.requiredWarmupFactor = planner.requiredWarmupFactor(usage / r.totalEntries)
	assignedRate := r.prepareWalks(walks)
	// The bound is based on the usage that the arcs were sized for. With the current usage, a burst would raise the bound and
	// make a zone seem to have spare capacity. The bound is the same with several coordinators, because a zone that is full is
	// full for all of them.
	r.maxLoadPerWeight = (assignedRate + sum(otherUsage)) * planner.admission.loadFactor / r.capacity
	r.resetLoad()
	r.spreadOtherCoordinatorsLoad(otherUsage)
	for _, walk := range walks {
		r.assignArc(walk)
	}
	r.ensureMinArcs(walks, func(zone int) float64 { return otherUsage[zone] / (usage + sum(otherUsage)) })
	for _, walk := range walks {
		r.addExpectedLoad(walk)
		r.setDesiredTable(walk)
	}
}

// computeEffectiveWeights lists the open backends in ring order and sets the effective weight of each, and their total
// capacity.
func (r *ring) computeEffectiveWeights() {
	planner := r.planner
	r.openBackends = planner.ringOrder()
	r.openBackendsByZone = make([][]int, len(planner.zoneIndex))
	r.meanWeight = planner.sumOpen(planner.fullWeight) / float64(len(r.openBackends))
	// A backend in slow start gets at most the mean latency factor, because its own has had no time to fall. The rounded-down
	// warmupFactor is 0 in slow start and 1 after it.
	meanLatencyFactor := planner.sumOpen(func(i int) float64 { return planner.latencyFactor[i] }) / float64(len(r.openBackends))
	r.capacity = 1e-9 // not 0, because the load bound is divided by it
	planner.effectiveWeight = make([]float64, len(planner.id))
	for _, i := range r.openBackends {
		r.openBackendsByZone[planner.zone[i]] = append(r.openBackendsByZone[planner.zone[i]], i)
		latencyFactor := min(planner.latencyFactor[i], meanLatencyFactor+math.Floor(planner.warmupFactor[i]))
		planner.effectiveWeight[i] = planner.weight[i] * planner.warmupFactor[i] * latencyFactor
		if !planner.unreachable(i) {
			r.capacity += planner.effectiveWeight[i]
		}
		if planner.warmupFactor[i] < 1 {
			// The load factor rises to keep requests in their zone; a backend in slow start must not get that extra load.
			planner.effectiveWeight[i] *= minLoadFactor / planner.admission.loadFactor
		}
	}
}

// prepareWalks sorts the walks by the usage of their proxies, the highest first, sizes their arcs and chooses missing start
// points. It returns the total usage that the arcs are sized for, in requests a second.
func (r *ring) prepareWalks(walks []*arcWalk) (assignedRate float64) {
	slices.SortStableFunc(walks, func(a, b *arcWalk) int {
		return cmp.Compare(b.proxy.assignedRate, a.proxy.assignedRate)
	})
	if r.planner.admission.firstReportAt == 0 {
		// Before the first attempt reports the proxies are still joining one by one. All start points are chosen again, which
		// spreads them more evenly.
		r.planner.assignedLoad = make([]float64, len(r.planner.id))
	}
	assignedRate = 1e-9 // not 0: with a load bound of 0 the loop in assignArc would not end
	for _, walk := range walks {
		if r.prepareWalk(walk) {
			r.reserveLoad(walk)
		}
		if walk.table == walk.proxy.tables[0] { // counts each proxy once
			assignedRate += walk.proxy.assignedRate
		}
	}
	return assignedRate
}

// prepareWalk sets the weight and the number of backends that an arc has to take. It reports whether the arc got a new start
// point.
func (r *ring) prepareWalk(walk *arcWalk) (startChosen bool) {
	size := float64(walk.proxy.resizeArc(r.entriesPerRequestRate, len(r.openBackends)))
	walk.weightLeft, walk.backendsLeft = size*r.meanWeight, min(size, minArcSize)
	walk.loadPerWeight = walk.proxy.assignedRate / size / r.meanWeight
	if walk.proxy.hasStart && r.planner.admission.firstReportAt != 0 || len(r.openBackends) == 0 {
		return false
	}
	r.chooseStart(walk.proxy)
	return true
}

// resizeArc sets the size of a proxy's arcs in proportion to its usage, and returns it. Changes by less than minArcSizeChange
// are ignored, unless there are fewer backends than the arc has.
func (p *proxyActor) resizeArc(entriesPerRequestRate float64, backends int) int {
	size := min(max(minArcSize, int(math.Round(p.usageRate()*entriesPerRequestRate))), backends)
	changed := size-p.arcSize >= minArcSizeChange || p.arcSize-size >= minArcSizeChange
	if p.arcSize == 0 || changed || p.arcSize > backends {
		p.arcSize, p.assignedRate = size, p.usageRate()
	}
	return p.arcSize
}

// chooseStart starts a proxy's arcs at the backend with the lowest relative load. The proxy keeps this start point, so that its
// arc changes only with its own usage or with the backends on the arc.
func (r *ring) chooseStart(proxy *proxyActor) {
	least := slices.MinFunc(r.startCandidates(proxy.zone), func(a, b int) int {
		return cmp.Compare(r.planner.relativeLoad(a), r.planner.relativeLoad(b))
	})
	proxy.arcStart, proxy.hasStart = r.planner.ringHash[least], true
}

// assignArc chooses the backends of one arc.
func (r *ring) assignArc(walk *arcWalk) {
	// Where all backends are at the load bound, the bound rises in small steps, which spreads the excess evenly.
	limit := r.maxLoadPerWeight
	for limit == r.maxLoadPerWeight || walk.weightLeft > 0 && limit < maxBoundGrowthFactor*r.maxLoadPerWeight {
		r.takeBackends(walk, limit, r.eligible)
		limit *= boundGrowthFactor
	}
	// Health checks never leave an arc empty, because an unhealthy backend is better than none. Backends that are not in slow
	// start are tried first.
	for _, minWarmupFactor := range []float64{1, 0} {
		if !walk.hasUsableBackend {
			r.takeBackends(walk, math.Inf(1), func(i, _ int) bool { return r.planner.warmupFactor[i] >= minWarmupFactor })
		}
	}
}

// takeBackends follows the ring and adds backends until the arc is full. As in consistent hashing with bounded loads, it skips
// a backend whose load would exceed maxLoadPerWeight times its effective weight; it also skips those that acceptable rejects. A
// backend in slow start counts by its warm-up factor only, and an excluded one not at all, so that the arc has enough other
// capacity beside it.
func (r *ring) takeBackends(walk *arcWalk, maxLoadPerWeight float64, acceptable func(i, zone int) bool) {
	planner := r.planner
	for i := range r.candidates(walk) {
		weight := planner.warmupFactor[i] * planner.weight[i]
		if walk.weightLeft < weight/2 && walk.backendsLeft < 0.5 { // the arc is full, but for less than half a backend
			return
		}
		load := r.otherCoordinatorsLoad[i] + planner.assignedLoad[i] + walk.loadPerWeight*weight
		if r.lastWalk[i] == walk || !(load <= maxLoadPerWeight*planner.effectiveWeight[i]) || !acceptable(i, walk.proxy.zone) {
			continue
		}
		r.lastWalk[i], walk.arc = walk, append(walk.arc, i)
		planner.assignedLoad[i] += walk.loadPerWeight * weight
		planner.arcCount[i]++
		if !planner.excluded[i] {
			walk.hasUsableBackend = true
			walk.weightLeft -= weight
			walk.backendsLeft -= planner.warmupFactor[i]
		}
	}
}

// candidates yields backends in the order in which an arc takes them: clockwise from its start point, first those of the
// proxy's zone, then the others unless the table is limited to the zone.
func (r *ring) candidates(walk *arcWalk) iter.Seq[int] {
	return func(yield func(int) bool) {
		start, zone := walk.proxy.arcStart, walk.proxy.zone
		for i := range r.clockwise(r.openBackendsByZone[zone], start) {
			if !yield(i) {
				return
			}
		}
		if walk.table.zoneLocal {
			return
		}
		for i := range r.clockwise(r.openBackends, start) {
			if r.planner.zone[i] != zone && !yield(i) {
				return
			}
		}
	}
}

// eligible reports whether arcs of a zone may include a backend: it is healthy there and warmed up far enough.
func (r *ring) eligible(i, zone int) bool {
	return r.planner.healthy(i, zone) && r.planner.warmupFactor[i] >= min(r.requiredWarmupFactor, 1)
}

// healthy reports whether a backend is reachable and not ejected from the arcs of a zone.
func (planner *Planner) healthy(i, zone int) bool {
	return planner.ejectedUntil[i][zone] <= planner.now && !planner.unreachable(i)
}

// ensureMinArcs adds each backend that is in fewer than minArcsPerBackend arcs to the arcs that would reach it next on the
// ring. It skips the zones where the proxies of other coordinators have more than half of a zone's average share of all usage.
func (r *ring) ensureMinArcs(walks []*arcWalk, otherUsageShare func(zone int) float64) {
	planner := r.planner
	for _, i := range r.openBackends {
		if otherUsageShare(planner.zone[i]) > 1/float64(2*len(planner.zoneIndex)) {
			continue
		}
		for range max(0, minArcsPerBackend-planner.arcCount[i]) {
			if walk := r.nearestWalk(walks, i); walk != nil {
				walk.arc = append(walk.arc, i)
				planner.arcCount[i]++
			}
		}
	}
}
