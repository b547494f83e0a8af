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

// maxTrackedMethods bounds the sets of failing methods that samples tell apart: those of the first eight methods.
const maxTrackedMethods = 8

// GroundTruth is what the backends were able to do, and did, by slots of SampleInterval seconds. No participant knows it.
type GroundTruth struct {
	Start       statemachine.Seconds
	Supply      []optimum.Supply
	Capacity    [][]float32 // by slot and backend: RPCs a second that it can do
	Utilization [][]float32 // share of its cores that is busy
	Queued      [][]float32 // RPCs that wait there
}

// supplyPool is the backends of a zone that fail the same methods.
type supplyPool struct {
	zone        string
	unsupported uint64
}

// sampler samples the backends' true state in a simulated network.
type sampler struct {
	*player
	network *simnet.Network
	truth   *GroundTruth
	slot    int
}

// sampleBackends samples the backends until the scenario ends, from the middle of the first slot on.
func (p *player) sampleBackends(network *simnet.Network, truth *GroundTruth) {
	truth.Start = network.Now()
	s := &sampler{player: p, network: network, truth: truth}
	p.env.Schedule(truth.Start+SampleInterval/2, s.sample)
}

func (s *sampler) sample() {
	count := len(s.backends)
	capacity, utilization, queued := make([]float32, count), make([]float32, count), make([]float32, count)
	pools := map[supplyPool]float64{}
	for i, backend := range s.backends {
		server, running := s.network.Machine(backend.name).(*emulator.Backend)
		if !running || backend.partitions > 0 {
			continue
		}
		largest, unsupported := s.backendCapacity(server)
		pools[supplyPool{backend.zone, unsupported}] += largest * SampleInterval
		_, waiting, busy := server.Load()
		capacity[i], utilization[i], queued[i] = float32(largest), float32(busy), float32(waiting)
	}
	truth := s.truth
	truth.Capacity = append(truth.Capacity, capacity)
	truth.Utilization = append(truth.Utilization, utilization)
	truth.Queued = append(truth.Queued, queued)
	s.addSupply(pools)
	s.slot++
	s.scheduleAfter(SampleInterval, s.sample)
}

// backendCapacity is the RPCs a second that a backend can do of its fastest method, and the set of those that it fails.
func (s *sampler) backendCapacity(server *emulator.Backend) (largest float64, unsupported uint64) {
	for method := range s.scenario.Settings.Methods {
		if able := server.Capacity(s.network.Now(), method); able > 0 {
			largest = max(largest, able)
		} else {
			unsupported |= 1 << method
		}
	}
	return largest, unsupported
}

// addSupply adds the slot's supplies in a fixed order, as the order of a map would make runs differ.
func (s *sampler) addSupply(pools map[supplyPool]float64) {
	methods := min(len(s.scenario.Settings.Methods), maxTrackedMethods)
	for _, zone := range s.scenario.Zones() {
		for unsupported := range uint64(1) << methods {
			rpcs := pools[supplyPool{zone, unsupported}]
			if rpcs <= 0 {
				continue
			}
			s.truth.Supply = append(s.truth.Supply, optimum.Supply{
				Slot: s.slot, Unsupported: unsupported, RPCs: rpcs, ReachableFrom: s.reachableFrom(zone),
			})
		}
	}
}

// reachableFrom are the zones that reach a zone's backends; nil: all, as nothing is partitioned.
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

// Bound computes an upper bound on the service that the scenario allowed, from the backends' true state and from the RPCs that
// a run recorded.
func (s *Scenario) Bound(truth *GroundTruth, records []trace.Record) (optimum.Bound, error) {
	return optimum.Solve(s.demand(truth.Start, records), truth.Supply, s.optimumMethods())
}

// optimumMethods are the methods with the share of their RPCs that the fastest backends can answer in time.
func (s *Scenario) optimumMethods() []optimum.Method {
	limits := s.Limits()
	methods := make([]optimum.Method, 0, len(limits.Methods))
	for _, method := range limits.Methods {
		feasible := 0.0
		for _, group := range s.Backends {
			work := group.Work
			work.Mean = float64(group.Workers) / group.Capacity
			feasible = max(feasible, work.CDF(method.SoftDeadline))
		}
		methods = append(methods, optimum.Method{
			Criticality: method.Criticality, FeasibleShare: feasible,
			ExtraSlots: int(math.Ceil(method.SoftDeadline / SampleInterval)),
		})
	}
	return methods
}

// demandKey is what RPCs of one demand have in common.
type demandKey struct {
	slot, method int
	zone         string
}

// demand counts the RPCs of a run by the slot in which they arrived, their zone and method, in the order of slots.
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
