package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// ring assigns arcs. The backends stand on a ring, ordered by the hashes of their ids, and each table holds the backends on one
// arc of it. The decisions are in arcs.go; this file holds the state and the arithmetic.
type ring struct {
	mailbox
	planner               *Planner
	dirty                 bool          // all arcs must be reassigned
	changedProxies        []*proxyActor // joined or left since all arcs were last assigned
	handledChanges        int           // number of leading entries of changedProxies that were handled
	assignmentRound       int           // counts the assignments of all arcs
	assignedAt            Seconds       // time of the last assignment of all arcs
	joinedProxies         int           // proxies that were joined at assignedAt
	requiredWarmupFactor  float64       // a backend with a lower warm-up factor is in no arc
	totalEntries          float64       // number of entries wanted in all tables together
	entriesPerRequestRate float64       // backends in an arc per request a second of the proxy
	meanWeight            float64       // mean full weight of the open backends
	capacity              float64       // sum of the effective weights of the reachable backends
	maxLoadPerWeight      float64       // bound on a backend's load, in requests a second per unit of effective weight
	otherCoordinatorsLoad []float64     // by backend: load from proxies of other coordinators, in requests a second
	openBackends          []int         // indexes of the open backends, in ring order
	openBackendsByZone    [][]int       // the same by zone of the backends
	lastWalk              []*arcWalk    // by backend: the walk that took it last
}

// arcWalk is the assignment of one arc, which follows the ring and takes backends.
type arcWalk struct {
	proxy            *proxyActor
	table            *proxyTable
	arc              []int   // backends taken so far
	weightLeft       float64 // weight still to take
	backendsLeft     float64 // backends still to take; one in slow start counts as its warm-up factor
	loadPerWeight    float64 // load that the arc brings a backend, in requests a second per unit of weight
	hasUsableBackend bool    // the arc has a backend that is not excluded
}

// handle records the events after which arcs must be reassigned.
func (r *ring) handle(msg message) {
	switch msg := msg.(type) {
	case reassignArcs:
		r.dirty = true
	case membershipChanged:
		r.changedProxies = append(r.changedProxies, msg.proxy)
	case tickElapsed:
		r.dirty = r.dirty || r.planner.now >= r.assignedAt+reassignInterval
	}
}

// ringOrder returns the open backends in ring order: by hash, then by id.
func (planner *Planner) ringOrder() (order []int) {
	for i := range planner.id {
		if planner.state[i] == BackendOpen {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(planner.ringHash[a], planner.ringHash[b]), cmp.Compare(planner.id[a], planner.id[b]))
	})
	return order
}

// clockwise yields the given backends, which are in ring order, once each, beginning with the first at or after the start hash.
func (r *ring) clockwise(backends []int, start uint32) iter.Seq[int] {
	return func(yield func(int) bool) {
		byHash := func(i int, hash uint32) int { return cmp.Compare(r.planner.ringHash[i], hash) }
		first, _ := slices.BinarySearchFunc(backends, start, byHash)
		for k := range backends {
			if !yield(backends[(first+k)%len(backends)]) {
				return
			}
		}
	}
}

// startCandidates returns the backends at which arcs of a zone's proxies may start: those of the zone, or all if it has none.
func (r *ring) startCandidates(zone int) []int {
	if len(r.openBackendsByZone[zone]) == 0 {
		return r.openBackends
	}
	return r.openBackendsByZone[zone]
}

// collectWalks returns a walk for each table of the joined proxies, the usage of those proxies and, by zone, the usage of the
// proxies that left, in requests a second. A proxy that left is assumed to have joined another coordinator and to load its zone
// still. Otherwise, when the network between zones fails and a coordinator keeps only the proxies of its own zone, it would
// direct half of their load to the other zone, whose backends would seem idle.
func (r *ring) collectWalks() (walks []*arcWalk, usage float64, otherUsage []float64) {
	// The usage starts above 0, because assignAllArcs divides by it.
	usage, otherUsage, r.joinedProxies = 1e-9, make([]float64, len(r.planner.zoneIndex)), 0
	for _, proxy := range r.planner.proxies {
		if !proxy.joined {
			otherUsage[proxy.zone] += proxy.usageRate()
			continue
		}
		r.joinedProxies++
		proxy.assignmentRound = r.assignmentRound
		usage += proxy.usageRate()
		for _, table := range proxy.tables {
			walks = append(walks, &arcWalk{proxy: proxy, table: table})
		}
	}
	return walks, usage, otherUsage
}

// assignProxyArcs assigns the arcs of one proxy and leaves those of the others as they are.
func (r *ring) assignProxyArcs(proxy *proxyActor) {
	proxy.assignmentRound = r.assignmentRound
	for _, table := range proxy.tables {
		walk := &arcWalk{proxy: proxy, table: table}
		r.prepareWalk(walk)
		r.assignArc(walk)
		r.addExpectedLoad(walk)
		r.setDesiredTable(walk)
	}
}

// resetLoad clears what an assignment of all arcs counts for each backend.
func (r *ring) resetLoad() {
	slots := len(r.planner.id)
	r.planner.assignedLoad, r.planner.expectedLoad = make([]float64, slots), make([]float64, slots)
	r.planner.expectedZoneLoad, r.planner.restoredZoneLoad = make([]float64, slots), make([]float64, slots)
	r.planner.arcCount, r.lastWalk = make([]int, slots), make([]*arcWalk, slots)
}

// reserveLoad adds the load that an arc is expected to bring the backends after its start point, so that the next arc starts
// elsewhere.
func (r *ring) reserveLoad(walk *arcWalk) {
	backendsLeft := walk.proxy.arcSize
	for i := range r.clockwise(r.startCandidates(walk.proxy.zone), walk.proxy.arcStart) {
		if backendsLeft--; backendsLeft >= 0 {
			r.planner.assignedLoad[i] += walk.loadPerWeight * r.planner.weight[i] * r.planner.warmupFactor[i]
		}
	}
}

// spreadOtherCoordinatorsLoad distributes the usage of other coordinators' proxies, given by zone, over the backends of each
// zone in proportion to their effective weights.
func (r *ring) spreadOtherCoordinatorsLoad(otherUsage []float64) {
	r.otherCoordinatorsLoad = make([]float64, len(r.planner.id))
	for zone, backends := range r.openBackendsByZone {
		totalWeight := 1e-9 // not 0, because it is a divisor
		for _, i := range backends {
			totalWeight += r.planner.effectiveWeight[i]
		}
		for _, i := range backends {
			r.otherCoordinatorsLoad[i] = otherUsage[zone] * r.planner.effectiveWeight[i] / totalWeight
		}
	}
}

// otherZoneDistance is added to the distance of a backend in another zone. Hashes have 32 bits, so it is farther than any
// distance on the ring.
const otherZoneDistance = 1 << 32

// nearestWalk returns the walk whose start point is nearest before a backend on the ring and that may take it, or nil if none
// may.
func (r *ring) nearestWalk(walks []*arcWalk, i int) (nearest *arcWalk) {
	least := uint64(math.MaxUint64)
	for _, walk := range walks {
		zone := walk.proxy.zone
		distance := uint64(r.planner.ringHash[i] - walk.proxy.arcStart)
		if r.planner.zone[i] != zone {
			distance += otherZoneDistance
		}
		reached := distance < otherZoneDistance || !walk.table.zoneLocal
		if distance < least && reached && r.eligible(i, zone) && !slices.Contains(walk.arc, i) {
			nearest, least = walk, distance
		}
	}
	return nearest
}

// addExpectedLoad adds the load that an arc brings each of its backends. For an excluded backend this is the load after its
// exclusion is withdrawn.
func (r *ring) addExpectedLoad(walk *arcWalk) {
	planner, rate := r.planner, walk.proxy.tableRate(walk.table)
	usableWeight := r.arcWeight(walk, func(i int) bool { return !planner.excluded[i] })
	if walk.table.zoneLocal {
		r.addExpectedZoneLoad(walk, usableWeight)
		return
	}
	for _, i := range walk.arc {
		totalWeight := usableWeight
		if planner.excluded[i] {
			totalWeight += r.entryWeight(i)
		}
		planner.expectedLoad[i] += rate * r.entryWeight(i) / totalWeight
	}
}

// addExpectedZoneLoad does so for an arc that is limited to its zone. Once an exclusion is withdrawn there, the load is shared
// with the healthy backends only, because such an arc has others just while it lacks these.
func (r *ring) addExpectedZoneLoad(walk *arcWalk, usableWeight float64) {
	planner, rate := r.planner, walk.proxy.tableRate(walk.table)
	healthy := func(i int) bool { return planner.healthy(i, walk.proxy.zone) }
	healthyWeight := r.arcWeight(walk, healthy)
	healthyUsableWeight := r.arcWeight(walk, func(i int) bool { return !planner.excluded[i] && healthy(i) })
	for _, i := range walk.arc {
		totalWeight := usableWeight
		if planner.excluded[i] {
			totalWeight = healthyUsableWeight + r.entryWeight(i)
		}
		load := rate * r.entryWeight(i) / totalWeight
		planner.expectedLoad[i] += load
		planner.expectedZoneLoad[i] += load
		planner.restoredZoneLoad[i] += rate * r.entryWeight(i) / max(healthyWeight, r.entryWeight(i))
	}
}

// arcWeight returns the total weight of an arc's backends for which the condition holds.
func (r *ring) arcWeight(walk *arcWalk, condition func(i int) bool) (total float64) {
	for _, i := range walk.arc {
		if condition(i) {
			total += r.entryWeight(i)
		}
	}
	return total
}

// entryWeight returns the weight of a backend in tables.
func (r *ring) entryWeight(i int) float64 { return r.planner.warmupFactor[i] * r.planner.weight[i] }

// setDesiredTable makes the backends of an arc the desired entries of its table, and has the proxy checked for a push if they
// changed.
func (r *ring) setDesiredTable(walk *arcWalk) {
	planner, before := r.planner, walk.table.desired
	slices.Sort(walk.arc)
	walk.table.desired = make([]tableEntry, len(walk.arc))
	for k, i := range walk.arc {
		walk.table.desired[k] = tableEntry{i, planner.weight[i] * planner.warmupFactor[i], planner.warmupFactor[i]}
	}
	if !slices.Equal(before, walk.table.desired) {
		planner.markDirty(walk.proxy)
	}
}

// relativeLoad returns the load that the arcs bring a backend, in requests a second per unit of effective weight.
func (planner *Planner) relativeLoad(i int) float64 {
	return planner.assignedLoad[i] / planner.effectiveWeight[i]
}
