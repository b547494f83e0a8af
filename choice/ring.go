package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// ring assigns arcs: each table holds the backends on an arc of a ring of hashed backends. The decisions are in arcs.go; this
// file has its state and the arithmetic.
type ring struct {
	mailbox
	plan                  *Planner
	dirty                 bool          // all arcs are to be assigned anew
	changedProxies        []*proxyActor // that joined or left since the last assignment of all arcs
	handledChanges        int           // of those, how many were looked at
	assignmentRound       int           // number of the last assignment of all arcs
	assignedAt            Seconds
	joinedProxies         int       // proxies then
	requiredWarmupFactor  float64   // below which a cold backend is in no arc
	totalEntries          float64   // in all tables together
	entriesPerRequestRate float64   // backends in an arc for each request a second
	meanWeight            float64   // of an open backend
	capacity              float64   // fair shares of the reachable backends, added up
	maxLoadPerWeight      float64   // of its fair share, what arcs may bring a backend
	otherCoordinatorsLoad []float64 // what other coordinators' proxies bring each backend
	openBackends          []int     // the open backends, in the order of the ring
	openBackendsByZone    [][]int   // those of each zone
	lastWalk              []*arcWalk
}

// arcWalk is the assignment of one arc.
type arcWalk struct {
	proxy            *proxyActor
	table            *proxyTable
	arc              []int
	weightLeft       float64 // weight still to take
	backendsLeft     float64 // backends still to take, cold ones counted by their warmth
	loadPerWeight    float64 // requests a second
	hasUsableBackend bool    // it has a backend that is not excluded
}

// handle notes what makes the arcs outdated.
func (r *ring) handle(msg message) {
	switch msg := msg.(type) {
	case reassignArcs:
		r.dirty = true
	case membershipChanged:
		r.changedProxies = append(r.changedProxies, msg.proxy)
	case tickElapsed:
		r.dirty = r.dirty || r.plan.now >= r.assignedAt+reassignInterval
	}
}

// ringOrder returns the open backends in the order of the ring.
func (plan *Planner) ringOrder() (order []int) {
	for i := range plan.id {
		if plan.state[i] == BackendOpen {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(plan.ringHash[a], plan.ringHash[b]), cmp.Compare(plan.id[a], plan.id[b]))
	})
	return order
}

// clockwise goes once round part of the ring, from a place on it.
func (r *ring) clockwise(part []int, start uint32) iter.Seq[int] {
	return func(yield func(int) bool) {
		byHash := func(i int, hash uint32) int { return cmp.Compare(r.plan.ringHash[i], hash) }
		first, _ := slices.BinarySearchFunc(part, start, byHash)
		for k := range part {
			if !yield(part[(first+k)%len(part)]) {
				return
			}
		}
	}
}

// startCandidates returns the backends at which arcs of a zone may start: its own, or all if it has none.
func (r *ring) startCandidates(zone int) []int {
	if len(r.openBackendsByZone[zone]) == 0 {
		return r.openBackends
	}
	return r.openBackendsByZone[zone]
}

// collectWalks returns a walk for each table of the joined proxies, the usage of those proxies and, by zone, that of the others.
// A proxy that left is joined to another coordinator and still loads its zone. Without that, a coordinator that a cut leaves
// with the proxies of its own zone alone would send half of them across the cut, to backends that seem idle.
func (r *ring) collectWalks() (walks []*arcWalk, usage float64, foreign []float64) {
	usage, foreign, r.joinedProxies = 1e-9, make([]float64, len(r.plan.zoneIndex)), 0
	for _, proxy := range r.plan.proxies {
		if !proxy.joined {
			foreign[proxy.zone] += proxy.usageRate()
			continue
		}
		r.joinedProxies++
		proxy.assignmentRound = r.assignmentRound
		usage += proxy.usageRate()
		for _, table := range proxy.tables {
			walks = append(walks, &arcWalk{proxy: proxy, table: table})
		}
	}
	return walks, usage, foreign
}

// assignProxyArcs assigns the arcs of one proxy beside those of the others.
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

// resetLoad forgets what arcs bring the backends.
func (r *ring) resetLoad() {
	slots := len(r.plan.id)
	r.plan.assignedLoad, r.plan.expectedLoad = make([]float64, slots), make([]float64, slots)
	r.plan.arcCount, r.lastWalk = make([]int, slots), make([]*arcWalk, slots)
}

// reserveLoad counts what an arc will bring the backends from its start on, so that the next one starts elsewhere.
func (r *ring) reserveLoad(walk *arcWalk) {
	left := walk.proxy.arcSize
	for i := range r.clockwise(r.startCandidates(walk.proxy.zone), walk.proxy.arcStart) {
		if left--; left >= 0 {
			r.plan.assignedLoad[i] += walk.loadPerWeight * r.plan.weight[i] * r.plan.warmupFactor[i]
		}
	}
}

// spreadOtherCoordinatorsLoad spreads the usage of other coordinators' proxies over the backends of their zones.
func (r *ring) spreadOtherCoordinatorsLoad(foreign []float64) {
	r.otherCoordinatorsLoad = make([]float64, len(r.plan.id))
	for zone, backends := range r.openBackendsByZone {
		shares := 1e-9
		for _, i := range backends {
			shares += r.plan.effectiveWeight[i]
		}
		for _, i := range backends {
			r.otherCoordinatorsLoad[i] = foreign[zone] * r.plan.effectiveWeight[i] / shares
		}
	}
}

// otherZoneDistance is added to the distance of a backend in another zone: farther than once round the ring.
const otherZoneDistance = 1 << 32

// nearestWalk returns the walk that would come to a backend next, nil if none may take it.
func (r *ring) nearestWalk(walks []*arcWalk, i int) (nearest *arcWalk) {
	least := uint64(math.MaxUint64)
	for _, walk := range walks {
		zone := walk.proxy.zone
		distance := uint64(r.plan.ringHash[i] - walk.proxy.arcStart)
		if r.plan.zone[i] != zone {
			distance += otherZoneDistance
		}
		reached := distance < otherZoneDistance || !walk.table.zoneLocal
		if distance < least && reached && r.eligible(i, zone) && !slices.Contains(walk.arc, i) {
			nearest, least = walk, distance
		}
	}
	return nearest
}

// addExpectedLoad adds what an arc brings each of its backends, or would bring an excluded one if it were restored.
func (r *ring) addExpectedLoad(walk *arcWalk) {
	plan, usable := r.plan, 0.0
	weight := func(i int) float64 { return plan.warmupFactor[i] * plan.weight[i] }
	for _, i := range walk.arc {
		if !plan.excluded[i] {
			usable += weight(i)
		}
	}
	for _, i := range walk.arc {
		total := usable
		if plan.excluded[i] {
			total += weight(i)
		}
		plan.expectedLoad[i] += walk.proxy.assignedRate * weight(i) / total
	}
}

// setDesiredTable makes an arc what its table should hold.
func (r *ring) setDesiredTable(walk *arcWalk) {
	plan, before := r.plan, walk.table.desired
	slices.Sort(walk.arc)
	walk.table.desired = make([]tableEntry, len(walk.arc))
	for k, i := range walk.arc {
		walk.table.desired[k] = tableEntry{i, plan.weight[i] * plan.warmupFactor[i], plan.warmupFactor[i]}
	}
	if !slices.Equal(before, walk.table.desired) {
		plan.markDirty(walk.proxy)
	}
}

// relativeLoad is the load that arcs bring a backend, relative to its fair share.
func (plan *Planner) relativeLoad(i int) float64 {
	return plan.assignedLoad[i] / plan.effectiveWeight[i]
}
