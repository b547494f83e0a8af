package choice

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// backendStates holds the state of the backends in parallel slices. A backend has the same index in all of them, which it keeps
// until its state is deleted. The second index of two-dimensional slices is the zone of the proxies that sent the reports.
type backendStates struct {
	id                     []BackendID
	zone                   []int     // index of its zone
	weight                 []float64 // as listed
	state                  []BackendState
	startedAt              []Seconds // when its process started, as listed; 0: long ago
	firstListed            []Seconds // when this instance learned of it
	ringHash               []uint32  // its place on the ring
	warmupFactor           []float64 // share of its full weight that slow start allows
	latencyFactor          []float64 // factor from 0 to 1 that reduces the effective weight of slow backends
	latencyFactorUpdatedAt []Seconds
	effectiveWeight        []float64   // weight × warmupFactor × latencyFactor, see computeEffectiveWeights
	assignedLoad           []float64   // load from the arcs assigned so far, in requests a second
	expectedLoad           []float64   // load from the tables, or that after its exclusion is withdrawn, in requests a second
	arcCount               []int       // arcs that include it
	excluded               []bool      // its exclusion was sent and not withdrawn
	exclusionDueSince      []Seconds   // since when its exclusion has to be sent; 0: it doesn't
	attempts               [][]float64 // decayed count, as of lastReportAt
	failures               [][]float64 // decayed count, as of lastReportAt
	meanLatency            [][]float64 // weighted mean of the successes, in seconds
	lastReportAt           [][]Seconds
	ejectedUntil           [][]Seconds // 0: not ejected; negative: the last ejection ended at minus this time
	consecutiveEjections   [][]int
	lastSuccessAt          []Seconds // when a successful request or probe was last reported
	failedProbes           []int     // consecutive
	nextProbeAt            []Seconds // earliest time of the next probe
	returnedAt             []Seconds // when it last became reachable again; 0: it always was
}

// backendActor is the actor of one backend.
type backendActor struct {
	mailbox
	plan  *Planner
	index int
}

// handle processes a message about the backend.
func (b *backendActor) handle(msg message) {
	plan, i := b.plan, b.index
	switch msg := msg.(type) {
	case Endpoint:
		b.applyEndpoint(msg)
	case AttemptReport:
		plan.recordAttempts(i, msg)
		b.applyReport(msg)
	case ProbeResult:
		b.applyProbe(msg)
	case tickElapsed:
		if warmupFactor := b.currentWarmupFactor(); warmupFactor != plan.warmupFactor[i] {
			plan.warmupFactor[i] = warmupFactor
			plan.send(plan.ring, reassignArcs{})
		}
		b.endEjections()
		b.adjustLatencyFactor()
		b.probeIfSilent()
	}
}

// applyUpdate sends each entry of an endpoint update to the actor of its backend. Backends that a full list no longer has are
// reported to their actors as gone.
func (plan *Planner) applyUpdate(update EndpointUpdate) {
	listed := map[int]bool{}
	for _, endpoint := range update.Endpoints {
		i := plan.slot(endpoint.Backend)
		listed[i] = true
		plan.send(plan.backends[i], endpoint)
	}
	for i, backend := range plan.backends {
		if update.Kind != UpdateDelta && !listed[i] && plan.state[i] != BackendGone {
			plan.send(backend, Endpoint{Backend: plan.id[i], State: BackendGone, StartedAt: plan.startedAt[i]})
		}
	}
}

// slot returns the index of a backend, and assigns a free one if the backend is not known yet.
func (plan *Planner) slot(backend BackendID) int {
	i, known := plan.indexOf[backend]
	if known {
		return i
	}
	if last := len(plan.freeSlots) - 1; last >= 0 {
		i, plan.freeSlots = plan.freeSlots[last], plan.freeSlots[:last]
	} else {
		i = len(plan.id)
		plan.addSlot()
	}
	plan.resetSlot(i, backend)
	return i
}

// addSlot adds an index to all slices.
func (plan *Planner) addSlot() {
	plan.backends = append(plan.backends, &backendActor{plan: plan, index: len(plan.id)})
	plan.id = append(plan.id, 0)
	plan.zone = append(plan.zone, 0)
	plan.weight = append(plan.weight, 0)
	plan.state = append(plan.state, BackendGone)
	plan.startedAt = append(plan.startedAt, 0)
	plan.firstListed = append(plan.firstListed, 0)
	plan.ringHash = append(plan.ringHash, 0)
	plan.warmupFactor = append(plan.warmupFactor, 0)
	plan.latencyFactor = append(plan.latencyFactor, 0)
	plan.latencyFactorUpdatedAt = append(plan.latencyFactorUpdatedAt, 0)
	plan.effectiveWeight = append(plan.effectiveWeight, 0)
	plan.assignedLoad = append(plan.assignedLoad, 0)
	plan.expectedLoad = append(plan.expectedLoad, 0)
	plan.arcCount = append(plan.arcCount, 0)
	plan.excluded = append(plan.excluded, false)
	plan.exclusionDueSince = append(plan.exclusionDueSince, 0)
	plan.attempts = append(plan.attempts, nil)
	plan.failures = append(plan.failures, nil)
	plan.meanLatency = append(plan.meanLatency, nil)
	plan.lastReportAt = append(plan.lastReportAt, nil)
	plan.ejectedUntil = append(plan.ejectedUntil, nil)
	plan.consecutiveEjections = append(plan.consecutiveEjections, nil)
	plan.lastSuccessAt = append(plan.lastSuccessAt, 0)
	plan.failedProbes = append(plan.failedProbes, 0)
	plan.nextProbeAt = append(plan.nextProbeAt, 0)
	plan.returnedAt = append(plan.returnedAt, 0)
	plan.goneSince = append(plan.goneSince, 0)
	plan.growZones(len(plan.id) - 1)
}

// resetSlot assigns an index to a new backend and initializes its state.
func (plan *Planner) resetSlot(i int, id BackendID) {
	plan.indexOf[id] = i
	plan.id[i], plan.zone[i], plan.weight[i] = id, 0, 1
	plan.state[i], plan.startedAt[i], plan.firstListed[i] = BackendGone, 0, plan.now
	plan.ringHash[i] = crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(id)))
	plan.warmupFactor[i], plan.latencyFactor[i], plan.latencyFactorUpdatedAt[i] = 1, 1, 0
	plan.assignedLoad[i], plan.expectedLoad[i], plan.arcCount[i] = 0, 0, 0
	plan.excluded[i], plan.exclusionDueSince[i] = false, 0
	plan.lastSuccessAt[i], plan.failedProbes[i], plan.nextProbeAt[i], plan.returnedAt[i] = 0, 0, 0, 0
	plan.goneSince[i] = 0
	for _, byZone := range [][][]float64{plan.attempts, plan.failures, plan.meanLatency, plan.lastReportAt, plan.ejectedUntil} {
		clear(byZone[i])
	}
	clear(plan.consecutiveEjections[i])
}

// growZones extends a backend's two-dimensional slices to all known zones.
func (plan *Planner) growZones(i int) {
	for len(plan.attempts[i]) < len(plan.zoneIndex) {
		plan.attempts[i], plan.failures[i] = append(plan.attempts[i], 0), append(plan.failures[i], 0)
		plan.meanLatency[i], plan.lastReportAt[i] = append(plan.meanLatency[i], 0), append(plan.lastReportAt[i], 0)
		plan.ejectedUntil[i], plan.consecutiveEjections[i] = append(plan.ejectedUntil[i], 0), append(plan.consecutiveEjections[i], 0)
	}
}

// zoneOf returns the index of a zone, and assigns one if the zone is not known yet.
func (plan *Planner) zoneOf(name Zone) int {
	zone, known := plan.zoneIndex[name]
	if !known {
		zone = len(plan.zoneIndex)
		plan.zoneIndex[name] = zone
		for i := range plan.id {
			plan.growZones(i)
		}
	}
	return zone
}

// releaseSlots deletes the state of proxies that left and of backends that are gone, once they have been so for BackendRetention and
// no table has the backend. Otherwise each deployment under new ids would make every step slower.
func (plan *Planner) releaseSlots() {
	plan.proxies = slices.DeleteFunc(plan.proxies, (*proxyActor).releaseIfExpired)
	for i, state := range plan.state {
		index, known := plan.indexOf[plan.id[i]]
		switch {
		case state != BackendGone || !known || index != i:
			plan.goneSince[i] = 0
		case plan.goneSince[i] == 0:
			plan.goneSince[i] = plan.now
		case plan.now >= plan.goneSince[i]+BackendRetention && !plan.referenced(i):
			plan.freeSlot(i)
		}
	}
}

// referenced reports whether a table has, or should have, an entry for a backend.
func (plan *Planner) referenced(i int) bool {
	return slices.ContainsFunc(plan.proxies, func(proxy *proxyActor) bool { return proxy.references(i) })
}

// freeSlot withdraws a backend's exclusion and makes its index available for another backend.
func (plan *Planner) freeSlot(i int) {
	if plan.excluded[i] {
		plan.setExcluded(i, false)
	}
	delete(plan.indexOf, plan.id[i])
	plan.freeSlots = append(plan.freeSlots, i)
}

// resetHealth resets a backend's latency factor, failed probes, ejections and counts of attempts to those of a new backend.
func (plan *Planner) resetHealth(i int) {
	plan.latencyFactor[i], plan.failedProbes[i] = 1, 0
	for zone := range plan.ejectedUntil[i] {
		plan.ejectedUntil[i][zone], plan.consecutiveEjections[i][zone] = 0, 0
		plan.attempts[i][zone], plan.failures[i][zone] = 0, 0
	}
}

// recordAttempts adds a report to the decaying counts of its backend and zone, and to the mean latency, where earlier successes are
// weighted by oldLatencyWeight.
func (plan *Planner) recordAttempts(i int, report AttemptReport) {
	zone := plan.zoneOf(report.Zone)
	decay := math.Exp(-(plan.now - plan.lastReportAt[i][zone]) / healthWindow)
	plan.lastReportAt[i][zone], plan.newestReportAt = plan.now, plan.now
	successes := float64(report.Attempts - report.Failures)
	oldSuccesses := (plan.attempts[i][zone] - plan.failures[i][zone]) * decay * oldLatencyWeight
	if successes > 0 {
		latencySum := plan.meanLatency[i][zone]*oldSuccesses + report.MeanLatency*successes
		plan.meanLatency[i][zone] = latencySum / (oldSuccesses + successes)
		plan.lastSuccessAt[i] = plan.now
	}
	plan.attempts[i][zone] = plan.attempts[i][zone]*decay + float64(report.Attempts)
	plan.failures[i][zone] = plan.failures[i][zone]*decay + float64(report.Failures)
}

// failureShares returns the failure shares of the backends as seen from a zone, in ascending order. It includes backends with at
// least minCount attempts and a report after the given time, and returns a single 0 if there are none.
func (plan *Planner) failureShares(zone int, minCount float64, since Seconds) []float64 {
	shares := []float64{}
	for i, byZone := range plan.attempts {
		if byZone[zone] >= minCount && plan.lastReportAt[i][zone] > since {
			shares = append(shares, plan.failures[i][zone]/byZone[zone])
		}
	}
	if len(shares) == 0 {
		return []float64{0}
	}
	slices.Sort(shares)
	return shares
}

// recentSuccesses returns the decayed count of a backend's successes, from zones that reported on it after the given time, and their
// mean latency.
func (plan *Planner) recentSuccesses(i int, since Seconds) (successes float64, latency Seconds) {
	for zone, attempts := range plan.attempts[i] {
		if plan.lastReportAt[i][zone] > since {
			failures := plan.failures[i][zone]
			successes = successes + attempts - failures
			latency += (attempts - failures) * plan.meanLatency[i][zone]
		}
	}
	return successes, latency / max(successes, 1e-9)
}

// sumOpen returns the sum of a value over the open backends.
func (plan *Planner) sumOpen(value func(i int) float64) (total float64) {
	for i := range plan.id {
		if plan.state[i] == BackendOpen {
			total += value(i)
		}
	}
	return total
}

// fullWeight returns a backend's weight as listed, without its warm-up factor.
func (plan *Planner) fullWeight(i int) float64 { return plan.weight[i] }

// openCapacity returns the sum of weight × warmupFactor over the open and reachable backends.
func (plan *Planner) openCapacity() float64 {
	return 1e-9 + plan.sumOpen(func(i int) float64 {
		if plan.unreachable(i) {
			return 0
		}
		return plan.weight[i] * plan.warmupFactor[i]
	})
}
