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
	zone                   []int     // index of the zone that the backend runs in
	weight                 []float64 // full weight, as in the endpoint list
	state                  []BackendState
	startedAt              []Seconds // when the backend's process started, as listed; 0: long ago
	firstListed            []Seconds // when this instance learned of the backend
	ringHash               []uint32  // place of the backend on the ring, see ring
	warmupFactor           []float64 // share of the full weight that slow start allows, see slowstart.go
	latencyFactor          []float64 // factor from 0 to 1 that reduces the effective weight of slow backends
	latencyFactorUpdatedAt []Seconds
	effectiveWeight        []float64   // weight × warmupFactor × latencyFactor, see computeEffectiveWeights
	assignedLoad           []float64   // load from the arcs assigned so far, in requests a second
	expectedLoad           []float64   // load from the tables, or that after its exclusion is withdrawn, in requests a second
	expectedZoneLoad       []float64   // part of expectedLoad that must stay in the backend's zone
	restoredZoneLoad       []float64   // expectedZoneLoad after the exclusions of all backends of the zone are withdrawn together
	overloadExcludedAt     []Seconds   // when the backend was last excluded because its load would make it collapse
	arcCount               []int       // number of arcs that include the backend
	excluded               []bool      // the backend's exclusion was sent and not withdrawn
	exclusionDueSince      []Seconds   // since when the backend's exclusion has to be sent; 0: it doesn't
	attempts               [][]float64 // decayed count of the attempts at the backend, as of lastReportAt
	failures               [][]float64 // decayed count of the failed attempts, as of lastReportAt
	meanLatency            [][]float64 // weighted mean latency of the successful attempts, in seconds
	lastReportAt           [][]Seconds // when the last report on the backend from the zone arrived
	ejectedUntil           [][]Seconds // end of the ejection; 0: not ejected; negative: the last ejection ended at minus this time
	consecutiveEjections   [][]int     // ejections without a longer time between them, see endEjections
	lastSuccessAt          []Seconds   // when a successful request or probe was last reported
	failedProbes           []int       // failed probes in a row
	nextProbeAt            []Seconds   // earliest time of the next probe
	returnedAt             []Seconds   // when the backend last became reachable again; 0: it always was
}

// backendActor is the actor of one backend.
type backendActor struct {
	mailbox
	planner *Planner
	index   int
}

// handle processes a message about the backend.
func (b *backendActor) handle(msg message) {
	planner, i := b.planner, b.index
	switch msg := msg.(type) {
	case Endpoint:
		b.applyEndpoint(msg)
	case AttemptReport:
		planner.recordAttempts(i, msg)
		b.applyReport(msg)
	case ProbeResult:
		b.applyProbe(msg)
	case tickElapsed:
		if warmupFactor := b.currentWarmupFactor(); warmupFactor != planner.warmupFactor[i] {
			planner.warmupFactor[i] = warmupFactor
			planner.send(planner.ring, reassignArcs{})
		}
		b.endEjections()
		b.adjustLatencyFactor()
		b.probeIfSilent()
	}
}

// applyUpdate sends each entry of an endpoint update to the actor of its backend. Backends that a full list no longer has are
// reported to their actors as gone.
func (planner *Planner) applyUpdate(update EndpointUpdate) {
	listed := map[int]bool{}
	for _, endpoint := range update.Endpoints {
		i := planner.slot(endpoint.Backend)
		listed[i] = true
		planner.send(planner.backends[i], endpoint)
	}
	for i, backend := range planner.backends {
		if update.Kind != UpdateDelta && !listed[i] && planner.state[i] != BackendGone {
			planner.send(backend, Endpoint{Backend: planner.id[i], State: BackendGone, StartedAt: planner.startedAt[i]})
		}
	}
}

// slot returns the index of a backend, and assigns a free one if the backend is not known yet.
func (planner *Planner) slot(backend BackendID) int {
	i, known := planner.indexOf[backend]
	if known {
		return i
	}
	if last := len(planner.freeSlots) - 1; last >= 0 {
		i, planner.freeSlots = planner.freeSlots[last], planner.freeSlots[:last]
	} else {
		i = len(planner.id)
		planner.addSlot()
	}
	planner.resetSlot(i, backend)
	return i
}

// addSlot adds an index to all slices.
func (planner *Planner) addSlot() {
	planner.backends = append(planner.backends, &backendActor{planner: planner, index: len(planner.id)})
	planner.id = append(planner.id, 0)
	planner.zone = append(planner.zone, 0)
	planner.weight = append(planner.weight, 0)
	planner.state = append(planner.state, BackendGone)
	planner.startedAt = append(planner.startedAt, 0)
	planner.firstListed = append(planner.firstListed, 0)
	planner.ringHash = append(planner.ringHash, 0)
	planner.warmupFactor = append(planner.warmupFactor, 0)
	planner.latencyFactor = append(planner.latencyFactor, 0)
	planner.latencyFactorUpdatedAt = append(planner.latencyFactorUpdatedAt, 0)
	planner.effectiveWeight = append(planner.effectiveWeight, 0)
	planner.assignedLoad = append(planner.assignedLoad, 0)
	planner.expectedLoad = append(planner.expectedLoad, 0)
	planner.expectedZoneLoad = append(planner.expectedZoneLoad, 0)
	planner.restoredZoneLoad = append(planner.restoredZoneLoad, 0)
	planner.overloadExcludedAt = append(planner.overloadExcludedAt, 0)
	planner.arcCount = append(planner.arcCount, 0)
	planner.excluded = append(planner.excluded, false)
	planner.exclusionDueSince = append(planner.exclusionDueSince, 0)
	planner.attempts = append(planner.attempts, nil)
	planner.failures = append(planner.failures, nil)
	planner.meanLatency = append(planner.meanLatency, nil)
	planner.lastReportAt = append(planner.lastReportAt, nil)
	planner.ejectedUntil = append(planner.ejectedUntil, nil)
	planner.consecutiveEjections = append(planner.consecutiveEjections, nil)
	planner.lastSuccessAt = append(planner.lastSuccessAt, 0)
	planner.failedProbes = append(planner.failedProbes, 0)
	planner.nextProbeAt = append(planner.nextProbeAt, 0)
	planner.returnedAt = append(planner.returnedAt, 0)
	planner.goneSince = append(planner.goneSince, 0)
	planner.growZones(len(planner.id) - 1)
}

// resetSlot assigns an index to a new backend and initializes its state.
func (planner *Planner) resetSlot(i int, id BackendID) {
	planner.indexOf[id] = i
	planner.id[i], planner.zone[i], planner.weight[i] = id, 0, 1
	planner.state[i], planner.startedAt[i], planner.firstListed[i] = BackendGone, 0, planner.now
	planner.ringHash[i] = crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(id)))
	planner.warmupFactor[i], planner.latencyFactor[i], planner.latencyFactorUpdatedAt[i] = 1, 1, 0
	planner.assignedLoad[i], planner.expectedLoad[i], planner.arcCount[i] = 0, 0, 0
	planner.expectedZoneLoad[i], planner.restoredZoneLoad[i], planner.overloadExcludedAt[i] = 0, 0, 0
	planner.excluded[i], planner.exclusionDueSince[i] = false, 0
	planner.lastSuccessAt[i], planner.failedProbes[i], planner.nextProbeAt[i], planner.returnedAt[i] = 0, 0, 0, 0
	planner.goneSince[i] = 0
	for _, byZone := range [][][]float64{
		planner.attempts, planner.failures, planner.meanLatency, planner.lastReportAt, planner.ejectedUntil,
	} {
		clear(byZone[i])
	}
	clear(planner.consecutiveEjections[i])
}

// growZones extends a backend's two-dimensional slices to all known zones.
func (planner *Planner) growZones(i int) {
	for len(planner.attempts[i]) < len(planner.zoneIndex) {
		planner.attempts[i], planner.failures[i] = append(planner.attempts[i], 0), append(planner.failures[i], 0)
		planner.meanLatency[i], planner.lastReportAt[i] = append(planner.meanLatency[i], 0), append(planner.lastReportAt[i], 0)
		planner.ejectedUntil[i], planner.consecutiveEjections[i] = append(planner.ejectedUntil[i], 0), append(planner.consecutiveEjections[i], 0)
	}
}

// zoneOf returns the index of a zone, and assigns one if the zone is not known yet.
func (planner *Planner) zoneOf(name Zone) int {
	zone, known := planner.zoneIndex[name]
	if !known {
		zone = len(planner.zoneIndex)
		planner.zoneIndex[name] = zone
		for i := range planner.id {
			planner.growZones(i)
		}
	}
	return zone
}

// releaseSlots deletes the state of proxies that left and of backends that are gone, once they have been so for
// BackendRetention and no table has the backend. Otherwise each deployment under new ids would make every step slower.
func (planner *Planner) releaseSlots() {
	planner.proxies = slices.DeleteFunc(planner.proxies, (*proxyActor).releaseIfExpired)
	for i, state := range planner.state {
		index, known := planner.indexOf[planner.id[i]]
		switch {
		case state != BackendGone || !known || index != i:
			planner.goneSince[i] = 0
		case planner.goneSince[i] == 0:
			planner.goneSince[i] = planner.now
		case planner.now >= planner.goneSince[i]+BackendRetention && !planner.referenced(i):
			planner.freeSlot(i)
		}
	}
}

// referenced reports whether a table has, or should have, an entry for a backend.
func (planner *Planner) referenced(i int) bool {
	return slices.ContainsFunc(planner.proxies, func(proxy *proxyActor) bool { return proxy.references(i) })
}

// freeSlot withdraws a backend's exclusion and makes its index available for another backend.
func (planner *Planner) freeSlot(i int) {
	if planner.excluded[i] {
		planner.setExcluded(i, false)
	}
	delete(planner.indexOf, planner.id[i])
	planner.freeSlots = append(planner.freeSlots, i)
}

// resetHealth resets a backend's latency factor, failed probes, ejections and counts of attempts to those of a new backend.
func (planner *Planner) resetHealth(i int) {
	planner.latencyFactor[i], planner.failedProbes[i] = 1, 0
	for zone := range planner.ejectedUntil[i] {
		planner.ejectedUntil[i][zone], planner.consecutiveEjections[i][zone] = 0, 0
		planner.attempts[i][zone], planner.failures[i][zone] = 0, 0
	}
}

// recordAttempts adds a report to the decaying counts of its backend and zone, and to the mean latency, where earlier successes
// are weighted by oldLatencyWeight.
func (planner *Planner) recordAttempts(i int, report AttemptReport) {
	zone := planner.zoneOf(report.Zone)
	report = planner.admission.plausibleReport(report, planner.lastReportAt[i][zone])
	decay := math.Exp(-(planner.now - planner.lastReportAt[i][zone]) / healthWindow)
	planner.lastReportAt[i][zone], planner.newestReportAt = planner.now, planner.now
	successes := float64(report.Attempts - report.Failures)
	oldSuccesses := (planner.attempts[i][zone] - planner.failures[i][zone]) * decay * oldLatencyWeight
	if successes > 0 {
		latencySum := planner.meanLatency[i][zone]*oldSuccesses + report.MeanLatency*successes
		planner.meanLatency[i][zone] = latencySum / (oldSuccesses + successes)
		planner.lastSuccessAt[i] = planner.now
	}
	planner.attempts[i][zone] = planner.attempts[i][zone]*decay + float64(report.Attempts)
	planner.failures[i][zone] = planner.failures[i][zone]*decay + float64(report.Failures)
}

// failureShares returns the failure shares of the backends as seen from a zone, in ascending order. It includes backends with
// at least minCount attempts and a report after the given time, and returns a single 0 if there are none.
func (planner *Planner) failureShares(zone int, minCount float64, since Seconds) []float64 {
	shares := []float64{}
	for i, byZone := range planner.attempts {
		if byZone[zone] >= minCount && planner.lastReportAt[i][zone] > since {
			shares = append(shares, planner.failures[i][zone]/byZone[zone])
		}
	}
	if len(shares) == 0 {
		return []float64{0}
	}
	slices.Sort(shares)
	return shares
}

// recentSuccesses returns the decayed count of a backend's successes, from zones that reported on it after the given time, and
// their mean latency.
func (planner *Planner) recentSuccesses(i int, since Seconds) (successes float64, latency Seconds) {
	for zone, attempts := range planner.attempts[i] {
		if planner.lastReportAt[i][zone] > since {
			failures := planner.failures[i][zone]
			successes = successes + attempts - failures
			latency += (attempts - failures) * planner.meanLatency[i][zone]
		}
	}
	return successes, latency / max(successes, 1e-9)
}

// sumOpen returns the sum of a value over the open backends.
func (planner *Planner) sumOpen(value func(i int) float64) (total float64) {
	for i := range planner.id {
		if planner.state[i] == BackendOpen {
			total += value(i)
		}
	}
	return total
}

// fullWeight returns a backend's weight as listed, without its warm-up factor.
func (planner *Planner) fullWeight(i int) float64 { return planner.weight[i] }

// openCapacity returns the sum of weight × warmupFactor over the open and reachable backends. The added 1e-9 keeps
// it above 0, because callers divide by it.
func (planner *Planner) openCapacity() float64 {
	return 1e-9 + planner.sumOpen(func(i int) float64 {
		if !planner.countsAsCapacity(i) {
			return 0
		}
		return planner.weight[i] * planner.warmupFactor[i]
	})
}

// countsAsCapacity reports whether openCapacity counts a backend.
func (planner *Planner) countsAsCapacity(i int) bool {
	return planner.state[i] == BackendOpen && !planner.unreachable(i)
}
