package choice

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// backendStates has what is known of the backends, as parallel slices under an index that a backend keeps while it is known.
// Those of two dimensions have a place for each zone from which it is reported on.
type backendStates struct {
	id                     []BackendID
	zone                   []int
	weight                 []float64 // as listed
	state                  []BackendState
	startedAt              []Seconds // of its process
	firstListed            []Seconds
	ringHash               []uint32
	warmupFactor           []float64 // share of its full weight that slow start allows
	latencyFactor          []float64 // share of its fair load that slow answers leave it
	latencyFactorUpdatedAt []Seconds
	effectiveWeight        []float64 // its weight, as far as it is warm and not biased against
	assignedLoad           []float64 // requests a second that the arcs assigned so far bring it
	expectedLoad           []float64 // requests a second that tables bring it, or would if it were restored
	arcCount               []int     // arcs that include it
	excluded               []bool
	exclusionDueSince      []Seconds   // since when an exclusion is to be sent; 0: none is
	attempts               [][]float64 // decayed, as failures
	failures               [][]float64
	meanLatency            [][]float64 // mean of the successes
	lastReportAt           [][]Seconds
	ejectedUntil           [][]Seconds // negative: the end of the last ejection
	consecutiveEjections   [][]int     // in a row
	lastSuccessAt          []Seconds
	failedProbes           []int // in a row
	nextProbeAt            []Seconds
	returnedAt             []Seconds // when it last became reachable again
}

// backendActor is the actor of one backend.
type backendActor struct {
	mailbox
	plan  *Planner
	index int
}

// handle takes what concerns one backend.
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
		if warmth := b.currentWarmupFactor(); warmth != plan.warmupFactor[i] {
			plan.warmupFactor[i] = warmth
			plan.send(plan.ring, reassignArcs{})
		}
		b.endEjections()
		b.adjustLatencyFactor()
		b.probeIfSilent()
	}
}

// applyUpdate sends an endpoint update to the actors of its backends, and to those that a full one no longer names.
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

// slot returns the index of a backend; one that is not known yet gets a free one.
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

// addSlot makes room for one backend more.
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

// resetSlot gives an index to a backend of which nothing is known yet.
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

// growZones makes room for zones that became known since.
func (plan *Planner) growZones(i int) {
	for len(plan.attempts[i]) < len(plan.zoneIndex) {
		plan.attempts[i], plan.failures[i] = append(plan.attempts[i], 0), append(plan.failures[i], 0)
		plan.meanLatency[i], plan.lastReportAt[i] = append(plan.meanLatency[i], 0), append(plan.lastReportAt[i], 0)
		plan.ejectedUntil[i], plan.consecutiveEjections[i] = append(plan.ejectedUntil[i], 0), append(plan.consecutiveEjections[i], 0)
	}
}

// zoneOf returns the index of a zone.
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

// releaseSlots frees the state of proxies that left and backends that are gone for so long that nothing names them any more.
// Otherwise each deploy under new ids would make every step slower.
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

// referenced tells whether a table holds, or is to hold, a backend.
func (plan *Planner) referenced(i int) bool {
	return slices.ContainsFunc(plan.proxies, func(proxy *proxyActor) bool { return proxy.references(i) })
}

func (plan *Planner) freeSlot(i int) {
	if plan.excluded[i] {
		plan.setExcluded(i, false)
	}
	delete(plan.indexOf, plan.id[i])
	plan.freeSlots = append(plan.freeSlots, i)
}

// resetHealth forgets what was held against a backend.
func (plan *Planner) resetHealth(i int) {
	plan.latencyFactor[i], plan.failedProbes[i] = 1, 0
	for zone := range plan.ejectedUntil[i] {
		plan.ejectedUntil[i][zone], plan.consecutiveEjections[i][zone] = 0, 0
		plan.attempts[i][zone], plan.failures[i][zone] = 0, 0
	}
}

// recordAttempts adds a report to the decayed ones of its backend and zone. In the mean latency an old success counts for less
// than a new one.
func (plan *Planner) recordAttempts(i int, report AttemptReport) {
	zone := plan.zoneOf(report.Zone)
	decay := math.Exp(-(plan.now - plan.lastReportAt[i][zone]) / healthWindow)
	plan.lastReportAt[i][zone], plan.newestReportAt = plan.now, plan.now
	successes := float64(report.Attempts - report.Failures)
	old := (plan.attempts[i][zone] - plan.failures[i][zone]) * decay * oldLatencyWeight
	if successes > 0 {
		latency := plan.meanLatency[i][zone]*old + report.MeanLatency*successes
		plan.meanLatency[i][zone] = latency / (old + successes)
		plan.lastSuccessAt[i] = plan.now
	}
	plan.attempts[i][zone] = plan.attempts[i][zone]*decay + float64(report.Attempts)
	plan.failures[i][zone] = plan.failures[i][zone]*decay + float64(report.Failures)
}

// failureShares returns, in ascending order, the shares of failures from a zone, of the backends with so many attempts and a
// report since a time.
func (plan *Planner) failureShares(zone int, attempts float64, since Seconds) []float64 {
	shares := []float64{}
	for i, byZone := range plan.attempts {
		if byZone[zone] >= attempts && plan.lastReportAt[i][zone] > since {
			shares = append(shares, plan.failures[i][zone]/byZone[zone])
		}
	}
	if len(shares) == 0 {
		return []float64{0}
	}
	slices.Sort(shares)
	return shares
}

// recentSuccesses returns how many successes of a backend were reported since a time, and their mean latency.
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

// sumOpen adds up a figure of the open backends.
func (plan *Planner) sumOpen(figure func(i int) float64) (total float64) {
	for i := range plan.id {
		if plan.state[i] == BackendOpen {
			total += figure(i)
		}
	}
	return total
}

func (plan *Planner) fullWeight(i int) float64 { return plan.weight[i] }

// openCapacity is the weight of the open and reachable backends, as far as they are warm.
func (plan *Planner) openCapacity() float64 {
	return 1e-9 + plan.sumOpen(func(i int) float64 {
		if plan.unreachable(i) {
			return 0
		}
		return plan.weight[i] * plan.warmupFactor[i]
	})
}
