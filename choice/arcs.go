package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

const (
	minArcSize          = 3    // backends in an arc
	meanArcSize         = 6.0  // backends in an arc, on average
	arcsPerBackend      = 2    // arcs that include each backend
	minResize           = 2    // backends by which the size of an arc moves at least
	minLoadFactor       = 1.1  // of its fair share, what a backend takes before arcs pass it over
	maxLoadFactor       = 1.5  // and at most, while answers are quick, so that arcs stay in their zone
	crossingPriceFactor = 3.5  // of the price of leaving the zone, by how much it may be above minLoadFactor
	boundStep           = 1.09 // factor by which the bound on load gives way where all backends are at it
	maxBoundGrowth      = 16
	reassignInterval    = 1.0  // seconds after which all arcs are assigned anew, as usage and bias drift
	reassignBatch       = 0.12 // of the joined proxies, how many join or leave before all arcs are assigned anew
)

// refresh brings the arcs up to date. A proxy that joins gets its arc over the load as assigned; all arcs are
// assigned anew at once when the list or health changed, and for joins and leaves once a batch of them is
// through: in a storm of joins an assignment for each would leave no time for anything else.
func (r *ring) refresh() (changed bool) {
	late := len(r.changed) > 0 && r.plan.now >= r.assignedAt+tickInterval
	if r.dirty || late || float64(len(r.changed)) > reassignBatch*float64(r.joined) {
		r.assignAll()
		return true
	}
	for _, proxy := range r.changed[r.handled:] {
		if proxy.joined && proxy.round != r.round { // else it joined again, and its arc is assigned
			r.assignOne(proxy)
			changed = true
		}
	}
	r.handled = len(r.changed)
	return changed
}

// assignAll assigns the arcs of all joined proxies anew.
func (r *ring) assignAll() {
	plan := r.plan
	r.dirty, r.assignedAt, r.changed, r.handled, r.round = false, plan.now, nil, 0, r.round+1
	r.survey()
	walks, usage, foreign := r.collectWalks()
	r.totalEntries = max(1, arcsPerBackend*float64(len(r.order)), meanArcSize*float64(len(walks)))
	r.entriesPerRate = r.totalEntries / usage
	r.requiredWarmth = plan.requiredWarmth(usage / r.totalEntries)
	assigned := r.prepareWalks(walks)
	// The bound follows the usage that arcs are sized for: beside current usage a zone would seem to have room
	// in a burst. It is no wider for there being several coordinators: a full zone is full for all of them.
	r.loadBound = (assigned + sum(foreign)) * plan.admission.loadFactor / r.capacity
	r.resetLoad()
	r.spreadForeignLoad(foreign)
	for _, walk := range walks {
		r.assignArc(walk)
	}
	r.coverRest(walks, func(zone int) float64 { return foreign[zone] / (usage + sum(foreign)) })
	for _, walk := range walks {
		r.addExpectedLoad(walk)
		r.setDesired(walk)
	}
}

// survey lists the open backends in the order of the ring and sets the fair share of each.
func (r *ring) survey() {
	plan := r.plan
	r.order = plan.ringOrder()
	r.byZone = make([][]int, len(plan.zoneIndex))
	r.meanWeight = plan.sumOpen(plan.fullWeight) / float64(len(r.order))
	// A cold backend has the mean bias: it has had no time to lose any.
	meanBias := plan.sumOpen(func(i int) float64 { return plan.bias[i] }) / float64(len(r.order))
	r.capacity = 1e-9
	plan.fairShare = make([]float64, len(plan.id))
	for _, i := range r.order {
		r.byZone[plan.zone[i]] = append(r.byZone[plan.zone[i]], i)
		bias := min(plan.bias[i], meanBias+math.Floor(plan.warmth[i]))
		plan.fairShare[i] = plan.weight[i] * plan.warmth[i] * bias
		if !plan.unreachable(i) {
			r.capacity += plan.fairShare[i]
		}
		if plan.warmth[i] < 1 { // what a zone takes above its share, to stay local, is not for cold backends
			plan.fairShare[i] *= minLoadFactor / plan.admission.loadFactor
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
	size := float64(walk.proxy.resizeArc(r.entriesPerRate, len(r.order)))
	walk.weightLeft, walk.backendsLeft = size*r.meanWeight, min(size, minArcSize)
	walk.loadPerWeight = walk.proxy.assignedRate / size / r.meanWeight
	if walk.proxy.hasStart && r.plan.admission.firstReportAt != 0 || len(r.order) == 0 {
		return false
	}
	r.chooseStart(walk.proxy)
	return true
}

// resizeArc sets the size of an arc from the proxy's part of the usage; it moves by minResize or not at all.
func (p *proxyActor) resizeArc(entriesPerRate float64, backends int) int {
	size := min(max(minArcSize, int(math.Round(p.rate()*entriesPerRate))), backends)
	moved := size-p.arcSize >= minResize || p.arcSize-size >= minResize
	if p.arcSize == 0 || moved || p.arcSize > backends {
		p.arcSize, p.assignedRate = size, p.rate()
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
	limit := r.loadBound
	for limit == r.loadBound || walk.weightLeft > 0 && limit < maxBoundGrowth*r.loadBound {
		r.takeBackends(walk, limit, r.eligible)
		limit *= boundStep
	}
	// Health never leaves an arc empty: an unfit backend still is better than none, warm ones first.
	for _, warmth := range []float64{1, 0} {
		if !walk.usable {
			r.takeBackends(walk, math.Inf(1), func(i, _ int) bool { return r.plan.warmth[i] >= warmth })
		}
	}
}

// takeBackends follows the ring until the arc is full. As in consistent hashing with bounded loads, a backend
// that has its share of the usage is passed over; so is one that is not fit. A cold one counts less, so that
// an arc has enough warm weight beside it.
func (r *ring) takeBackends(walk *arcWalk, bound float64, fit func(i, zone int) bool) {
	plan := r.plan
	for i := range r.candidates(walk) {
		weight := plan.warmth[i] * plan.weight[i]
		if walk.weightLeft < weight/2 && walk.backendsLeft < 0.5 {
			return
		}
		load := r.foreignLoad[i] + plan.assignedLoad[i] + walk.loadPerWeight*weight
		if r.lastWalk[i] == walk || !(load <= bound*plan.fairShare[i]) || !fit(i, walk.proxy.zone) {
			continue
		}
		r.lastWalk[i], walk.arc = walk, append(walk.arc, i)
		plan.assignedLoad[i] += walk.loadPerWeight * weight
		plan.arcCount[i]++
		if !plan.excluded[i] {
			walk.usable = true
			walk.weightLeft -= weight
			walk.backendsLeft -= plan.warmth[i]
		}
	}
}

// candidates yields backends in the order in which an arc takes them: from its start on, its zone's first.
func (r *ring) candidates(walk *arcWalk) iter.Seq[int] {
	return func(yield func(int) bool) {
		start, zone := walk.proxy.arcStart, walk.proxy.zone
		for i := range r.clockwise(r.byZone[zone], start) {
			if !yield(i) {
				return
			}
		}
		if walk.table.zoneLocal {
			return
		}
		for i := range r.clockwise(r.order, start) {
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
	return healthy && plan.warmth[i] >= min(r.requiredWarmth, 1)
}

// coverRest gives backends in too few arcs to those that come to them soonest on the ring, but for those of a
// zone whose proxies are mostly other coordinators'.
func (r *ring) coverRest(walks []*arcWalk, foreignPart func(zone int) float64) {
	plan := r.plan
	for _, i := range r.order {
		if foreignPart(plan.zone[i]) > 1/float64(2*len(plan.zoneIndex)) {
			continue
		}
		for range max(0, arcsPerBackend-plan.arcCount[i]) {
			if walk := r.nearestWalk(walks, i); walk != nil {
				walk.arc = append(walk.arc, i)
				plan.arcCount[i]++
			}
		}
	}
}
