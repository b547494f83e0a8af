package scenario

import (
	"math"
	"slices"

	"gingerfork/internal/emulator"
	"gingerfork/internal/optimum"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// SampleInterval is how often the emulated backends' true state is sampled, in seconds.
const SampleInterval = 0.25

// maxTrackedMethods limits the sets of failing methods that addSupply goes through to those of the first eight methods, as the
// number of sets doubles with each method. Backends that fail a later method add no supply.
const maxTrackedMethods = 8

// GroundTruth is the true state of the backends in time slots of SampleInterval seconds. No participant of the scenario knows it.
type GroundTruth struct {
	Start       statemachine.Seconds
	Supply      []optimum.Supply
	Capacity    [][]float32 // by slot and backend: RPCs per second that the backend can execute
	Utilization [][]float32 // by slot and backend: share of the backend's cores that is busy
	Queued      [][]float32 // by slot and backend: RPCs that are queued there
}

// supplyPool identifies the backends of a zone that fail the same methods.
type supplyPool struct {
	zone        string
	unsupported uint64 // bit set of methods
}

// sampler samples the backends' true state in a simulated network, once per time slot.
type sampler struct {
	*player
	network *simnet.Network
	truth   *GroundTruth
	slot    int
}

// sampleBackends schedules the samples of the backends, in the middle of each time slot until the scenario ends.
func (p *player) sampleBackends(network *simnet.Network, truth *GroundTruth) {
	truth.Start = network.Now()
	s := &sampler{player: p, network: network, truth: truth}
	p.env.Schedule(truth.Start+SampleInterval/2, s.sample)
}

func (s *sampler) sample() {
	count := len(s.backends)
	capacity, utilization, queued := make([]float32, count), make([]float32, count), make([]float32, count)
	rpcsByPool := map[supplyPool]float64{}
	for i, backend := range s.backends {
		machine, running := s.network.Machine(backend.name).(*emulator.Backend)
		if !running || backend.partitions > 0 {
			continue
		}
		maxCapacity, unsupported := s.backendCapacity(machine)
		rpcsByPool[supplyPool{backend.zone, unsupported}] += maxCapacity * SampleInterval
		_, queuedRPCs, coreUsage := machine.Load()
		capacity[i], utilization[i], queued[i] = float32(maxCapacity), float32(coreUsage), float32(queuedRPCs)
	}
	truth := s.truth
	truth.Capacity = append(truth.Capacity, capacity)
	truth.Utilization = append(truth.Utilization, utilization)
	truth.Queued = append(truth.Queued, queued)
	s.addSupply(rpcsByPool)
	s.slot++
	s.scheduleAfter(SampleInterval, s.sample)
}

// backendCapacity returns how many RPCs per second a backend can execute of its fastest method, and the set of the methods that
// it fails.
func (s *sampler) backendCapacity(machine *emulator.Backend) (maxCapacity float64, unsupported uint64) {
	for method := range s.scenario.Settings.Methods {
		if capacity := machine.Capacity(s.network.Now(), method); capacity > 0 {
			maxCapacity = max(maxCapacity, capacity)
		} else {
			unsupported |= 1 << method
		}
	}
	return maxCapacity, unsupported
}

// addSupply adds the supplies of the present slot, in an order that does not depend on the map, so that runs are reproducible.
func (s *sampler) addSupply(rpcsByPool map[supplyPool]float64) {
	methods := min(len(s.scenario.Settings.Methods), maxTrackedMethods)
	for _, zone := range s.scenario.Zones() {
		for unsupported := range uint64(1) << methods {
			rpcs := rpcsByPool[supplyPool{zone, unsupported}]
			if rpcs <= 0 {
				continue
			}
			s.truth.Supply = append(s.truth.Supply, optimum.Supply{
				Slot: s.slot, Unsupported: unsupported, RPCs: rpcs, ReachableFrom: s.reachableFrom(zone),
			})
		}
	}
}

// reachableFrom returns the zones that can reach the backends of a zone; nil: all of them, as no zone is partitioned.
func (s *sampler) reachableFrom(zone string) []string {
	if !s.anyZonePartitioned() {
		return nil
	}
	var zones []string
	for _, other := range s.scenario.Zones() {
		if other == zone || s.zonePartitions[other] == 0 && s.zonePartitions[zone] == 0 {
			zones = append(zones, other)
		}
	}
	return zones
}

func (s *sampler) anyZonePartitioned() bool {
	for _, partitions := range s.zonePartitions {
		if partitions > 0 {
			return true
		}
	}
	return false
}

// Bound computes an upper bound on the service that was possible in a run, from the backends' true state and from the RPCs in
// the trace.
func (s *Scenario) Bound(truth *GroundTruth, records []trace.Record) (optimum.Bound, error) {
	return optimum.Solve(s.demand(truth.Start, records), truth.Supply, s.optimumMethods())
}

// optimumMethods returns the methods with the share of their RPCs that the fastest group of backends can answer in time when
// idle.
func (s *Scenario) optimumMethods() []optimum.Method {
	limits := s.Limits()
	methods := make([]optimum.Method, 0, len(limits.Methods))
	for _, method := range limits.Methods {
		feasibleShare := 0.0
		for _, group := range s.Backends {
			work := group.Work
			work.Mean = float64(group.Workers) / group.Capacity
			feasibleShare = max(feasibleShare, work.CDF(method.SoftDeadline))
		}
		methods = append(methods, optimum.Method{
			Criticality: method.Criticality, FeasibleShare: feasibleShare,
			ExtraSlots: int(math.Ceil(method.SoftDeadline / SampleInterval)),
		})
	}
	return methods
}

// demandKey identifies RPCs that are counted together.
type demandKey struct {
	slot, method int
	zone         string
}

// demand counts the RPCs in a trace by the slot in which they arrived, by zone and by method, and returns the counts sorted by
// slot.
func (s *Scenario) demand(start statemachine.Seconds, records []trace.Record) []optimum.Demand {
	proxies := newParticipants(s).byName
	counts := map[demandKey]float64{}
	var keys []demandKey
	for _, record := range records {
		if record.Kind != trace.RPCFinished {
			continue
		}
		arrival := record.Time - record.Value
		key := demandKey{slot: max(0, int((arrival-start)/SampleInterval)), method: record.Method}
		if proxy := proxies[record.Party]; proxy != nil {
			key.zone = proxy.zone
		}
		counts[key]++
		if counts[key] == 1 {
			keys = append(keys, key)
		}
	}
	demand := make([]optimum.Demand, 0, len(keys))
	for _, key := range keys {
		demand = append(demand, optimum.Demand{Slot: key.slot, Zone: key.zone, Method: key.method, RPCs: counts[key]})
	}
	slices.SortStableFunc(demand, func(a, b optimum.Demand) int { return a.Slot - b.Slot })
	return demand
}
