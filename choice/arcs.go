package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

const (
	minArcSize           = 3    // backends in an arc
	meanArcSize          = 6.0  // backends in an arc, on average
	minArcsPerBackend    = 2    // arcs that include each backend
	minArcSizeChange     = 2    // backends by which the size of an arc moves at least
	minLoadFactor        = 1.1  // of its fair share, what a backend takes before arcs pass it over
	maxLoadFactor        = 1.5  // and at most, while answers are quick, so that arcs stay in their zone
	crossZonePriceFactor = 3.5  // of the price of leaving the zone, by how much it may be above minLoadFactor
	boundGrowthFactor    = 1.09 // factor by which the bound on load gives way where all backends are at it
	maxBoundGrowthFactor = 16
	reassignInterval     = 1.0  // seconds after which all arcs are assigned anew, as usage and bias drift
	reassignBatchShare   = 0.12 // of the joined proxies, how many join or leave before all arcs are assigned anew
)

// refreshArcs brings the arcs up to date. A proxy that joins gets its arc over the load as assigned; all arcs are
// assigned anew at once when the list or health changed, and for joins and leaves once a batch of them is
// through: in a storm of joins an assignment for each would leave no time for anything else.
func (r *ring) refreshArcs() (changed bool) {
	late := len(r.changedProxies) > 0 && r.plan.now >= r.assignedAt+tickInterval
	if r.dirty || late || float64(len(r.changedProxies)) > reassignBatchShare*float64(r.joinedProxies) {
		r.assignAllArcs()
		return true
	}
	for _, proxy := range r.changedProxies[r.handledChanges:] {
		if proxy.joined && proxy.assignmentRound != r.assignmentRound { // else it joined again, and its arc is assigned
			r.assignProxyArcs(proxy)
			changed = true
		}
	}
	r.handledChanges = len(r.changedProxies)
	return changed
}

// assignAllArcs assigns the arcs of all joined proxies anew.
func (r *ring) assignAllArcs() {
	plan := r.plan
	r.dirty, r.assignedAt, r.changedProxies, r.handledChanges, r.assignmentRound = false, plan.now, nil, 0, r.assignmentRound+1
	r.computeEffectiveWeights()
	walks, usage, foreign := r.collectWalks()
	r.totalEntries = max(1, minArcsPerBackend*float64(len(r.openBackends)), meanArcSize*float64(len(walks)))
	r.entriesPerRequestRate = r.totalEntries / usage
	r.requiredWarmupFactor = plan.requiredWarmupFactor(usage / r.totalEntries)
	assigned := r.prepareWalks(walks)
	// The bound follows the usage that arcs are sized for: beside current usage a zone would seem to have room
	// in a burst. It is no wider for there being several coordinators: a full zone is full for all of them.
	r.maxLoadPerWeight = (assigned + sum(foreign)) * plan.admission.loadFactor / r.capacity
	r.resetLoad()
	r.spreadOtherCoordinatorsLoad(foreign)
	for _, walk := range walks {
		r.assignArc(walk)
	}
	r.ensureMinArcs(walks, func(zone int) float64 { return foreign[zone] / (usage + sum(foreign)) })
	for _, walk := range walks {
		r.addExpectedLoad(walk)
		r.setDesiredTable(walk)
	}
}

// computeEffectiveWeights lists the open backends in the order of the ring and sets the fair share of each.
func (r *ring) computeEffectiveWeights() {
	plan := r.plan
	r.openBackends = plan.ringOrder()
	r.openBackendsByZone = make([][]int, len(plan.zoneIndex))
	r.meanWeight = plan.sumOpen(plan.fullWeight) / float64(len(r.openBackends))
	// A cold backend has the mean bias: it has had no time to lose any.
	meanBias := plan.sumOpen(func(i int) float64 { return plan.latencyFactor[i] }) / float64(len(r.openBackends))
	r.capacity = 1e-9
	plan.effectiveWeight = make([]float64, len(plan.id))
	for _, i := range r.openBackends {
		r.openBackendsByZone[plan.zone[i]] = append(r.openBackendsByZone[plan.zone[i]], i)
		bias := min(plan.latencyFactor[i], meanBias+math.Floor(plan.warmupFactor[i]))
		plan.effectiveWeight[i] = plan.weight[i] * plan.warmupFactor[i] * bias
		if !plan.unreachable(i) {
			r.capacity += plan.effectiveWeight[i]
		}
		if plan.warmupFactor[i] < 1 { // what a zone takes above its share, to stay local, is not for cold backends
			plan.effectiveWeight[i] *= minLoadFactor / plan.admission.loadFactor
		}
	}
}

// prepareWalks sizes the arcs, those of the busiest proxies first, and returns the usage they are sized for.
func (r *ring) prepareWalks(walks []*arcWalk) (assigned float64) {
	slices.SortStableFunc(walks, func(a, b *arcWalk) int {
		return cmp.Compare(b.proxy.assignedRate, a.proxy.assignedRate)
	})
	if r.plan.admission.firstReportAt == 0 { // proxies still join one by one; starts chosen anew are more even
		r.plan.assignedLoad = make([]float64, len(r.plan.id))
	}
	assigned = 1e-9
	for _, walk := range walks {
		if r.prepareWalk(walk) {
			r.reserveLoad(walk)
		}
		if walk.table == walk.proxy.tables[0] {
			assigned += walk.proxy.assignedRate
		}
	}
	return assigned
}

// prepareWalk sets what an arc has to take. It reports whether the arc has a new start.
func (r *ring) prepareWalk(walk *arcWalk) (started bool) {
	size := float64(walk.proxy.resizeArc(r.entriesPerRequestRate, len(r.openBackends)))
	walk.weightLeft, walk.backendsLeft = size*r.meanWeight, min(size, minArcSize)
	walk.loadPerWeight = walk.proxy.assignedRate / size / r.meanWeight
	if walk.proxy.hasStart && r.plan.admission.firstReportAt != 0 || len(r.openBackends) == 0 {
		return false
	}
	r.chooseStart(walk.proxy)
	return true
}

// resizeArc sets the size of an arc from the proxy's part of the usage; it moves by minResize or not at all.
func (p *proxyActor) resizeArc(entriesPerRate float64, backends int) int {
	size := min(max(minArcSize, int(math.Round(p.usageRate()*entriesPerRate))), backends)
	moved := size-p.arcSize >= minArcSizeChange || p.arcSize-size >= minArcSizeChange
	if p.arcSize == 0 || moved || p.arcSize > backends {
		p.arcSize, p.assignedRate = size, p.usageRate()
	}
	return p.arcSize
}

// chooseStart gives a proxy its place on the ring, where the load is least. It keeps it, so that an arc moves
// for reasons of its own or its backends' only.
func (r *ring) chooseStart(proxy *proxyActor) {
	least := slices.MinFunc(r.startCandidates(proxy.zone), func(a, b int) int {
		return cmp.Compare(r.plan.relativeLoad(a), r.plan.relativeLoad(b))
	})
	proxy.arcStart, proxy.hasStart = r.plan.ringHash[least], true
}

// assignArc takes backends for one arc.
func (r *ring) assignArc(walk *arcWalk) {
	// Where all are at the bound it gives way by small steps, so that the excess is spread evenly.
	limit := r.maxLoadPerWeight
	for limit == r.maxLoadPerWeight || walk.weightLeft > 0 && limit < maxBoundGrowthFactor*r.maxLoadPerWeight {
		r.takeBackends(walk, limit, r.eligible)
		limit *= boundGrowthFactor
	}
	// Health never leaves an arc empty: an unfit backend still is better than none, warm ones first.
	for _, warmth := range []float64{1, 0} {
		if !walk.hasUsableBackend {
			r.takeBackends(walk, math.Inf(1), func(i, _ int) bool { return r.plan.warmupFactor[i] >= warmth })
		}
	}
}

// takeBackends follows the ring until the arc is full. As in consistent hashing with bounded loads, a backend
// that has its share of the usage is passed over; so is one that is not fit. A cold one counts less, so that
// an arc has enough warm weight beside it.
func (r *ring) takeBackends(walk *arcWalk, bound float64, fit func(i, zone int) bool) {
	plan := r.plan
	for i := range r.candidates(walk) {
		weight := plan.warmupFactor[i] * plan.weight[i]
		if walk.weightLeft < weight/2 && walk.backendsLeft < 0.5 {
			return
		}
		load := r.otherCoordinatorsLoad[i] + plan.assignedLoad[i] + walk.loadPerWeight*weight
		if r.lastWalk[i] == walk || !(load <= bound*plan.effectiveWeight[i]) || !fit(i, walk.proxy.zone) {
			continue
		}
		r.lastWalk[i], walk.arc = walk, append(walk.arc, i)
		plan.assignedLoad[i] += walk.loadPerWeight * weight
		plan.arcCount[i]++
		if !plan.excluded[i] {
			walk.hasUsableBackend = true
			walk.weightLeft -= weight
			walk.backendsLeft -= plan.warmupFactor[i]
		}
	}
}

// candidates yields backends in the order in which an arc takes them: from its start on, its zone's first.
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
			if r.plan.zone[i] != zone && !yield(i) {
				return
			}
		}
	}
}

// eligible tells whether health lets the arcs of a zone include a backend.
func (r *ring) eligible(i, zone int) bool {
	plan := r.plan
	healthy := plan.ejectedUntil[i][zone] <= plan.now && !plan.unreachable(i)
	return healthy && plan.warmupFactor[i] >= min(r.requiredWarmupFactor, 1)
}

// ensureMinArcs gives backends in too few arcs to those that come to them soonest on the ring, but for those of a
// zone whose proxies are mostly other coordinators'.
func (r *ring) ensureMinArcs(walks []*arcWalk, foreignPart func(zone int) float64) {
	plan := r.plan
	for _, i := range r.openBackends {
		if foreignPart(plan.zone[i]) > 1/float64(2*len(plan.zoneIndex)) {
			continue
		}
		for range max(0, minArcsPerBackend-plan.arcCount[i]) {
			if walk := r.nearestWalk(walks, i); walk != nil {
				walk.arc = append(walk.arc, i)
				plan.arcCount[i]++
			}
		}
	}
}
