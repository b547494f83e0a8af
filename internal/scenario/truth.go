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

// Glance is how often the emulated servers' true state is looked at, in seconds.
const SampleInterval = 0.25

// Truth is what the servers were really able to do, and did, by stretches of Glance seconds. Nobody who plays knows it.
type GroundTruth struct {
	Start       statemachine.Seconds
	Supply      []optimum.Supply
	Capacity    [][]float32 // by stretch and server: RPCs a second of the first method that it can do
	Utilization [][]float32 // and the share of its cores that is busy
	Queued      [][]float32 // and RPCs that wait there
}

// watch has the true state looked at until the day ends.
func (c *cast) watch(w *simnet.World, truth *GroundTruth) {
	truth.Start = w.Now()
	methods := len(c.day.Settings.Methods)
	zones := c.day.Zones()
	slot := 0
	var look func()
	look = func() {
		type pool struct {
			zone  string
			fails uint64
		}
		sums := map[pool]float64{}
		able, busy, waits := make([]float32, len(c.servers)), make([]float32, len(c.servers)), make([]float32, len(c.servers))
		for i, s := range c.servers {
			m, up := w.Machine(s.name).(*emulator.Server)
			if !up || s.cutOff > 0 {
				continue
			}
			p := pool{zone: s.zone}
			most := 0.0
			for k := range methods {
				if x := m.Able(w.Now(), k); x > 0 {
					most = max(most, x)
				} else {
					p.fails |= 1 << k
				}
			}
			sums[p] += most * SampleInterval
			_, waiting, share := m.Load()
			able[i], busy[i], waits[i] = float32(most), float32(share), float32(waiting)
		}
		truth.Capacity, truth.Utilization, truth.Queued = append(truth.Capacity, able), append(truth.Utilization, busy), append(truth.Queued, waits)
		for _, zone := range zones { // in this order, as sums over a map would differ from run to run
			for fails := range uint64(1) << min(methods, 8) {
				n := sums[pool{zone, fails}]
				if n <= 0 {
					continue
				}
				s := optimum.Supply{Slot: slot, Unsupported: fails, RPCs: n}
				if c.apart() {
					for _, z := range zones {
						if z == zone || c.zoneCut[z] == 0 && c.zoneCut[zone] == 0 {
							s.ReachableFrom = append(s.ReachableFrom, z)
						}
					}
				}
				truth.Supply = append(truth.Supply, s)
			}
		}
		slot++
		c.after(SampleInterval, look)
	}
	c.stage.At(truth.Start+SampleInterval/2, look)
}

func (c *cast) apart() bool {
	for _, n := range c.zoneCut {
		if n > 0 {
			return true
		}
	}
	return false
}

// Bound reckons the most service that the day allowed, from the servers' true state and from what was asked in a run.
func (d *Scenario) Bound(truth *GroundTruth, records []trace.Record) (optimum.Bound, error) {
	limits := d.Limits()
	methods := make([]optimum.Method, 0, len(limits.Methods))
	for i := range limits.Methods {
		soft := limits.Methods[i].SoftDeadline
		fit := 0.0
		for _, g := range d.Backends {
			work := g.Work
			work.Mean = float64(g.Workers) / g.Capacity
			fit = max(fit, work.Within(soft))
		}
		methods = append(methods, optimum.Method{
			Criticality: limits.Methods[i].Criticality, FeasibleShare: fit,
			ExtraSlots: int(math.Ceil(soft / SampleInterval)),
		})
	}
	zone := map[string]string{}
	for _, f := range newCast(d).fronts {
		zone[f.name] = f.zone
	}
	type key struct {
		slot, method int
		zone         string
	}
	count := map[key]float64{}
	var keys []key
	for _, r := range records {
		if r.Kind != trace.End {
			continue
		}
		k := key{max(0, int((r.T-r.X-truth.Start)/SampleInterval)), r.Method, zone[r.Who]}
		if count[k]++; count[k] == 1 {
			keys = append(keys, k)
		}
	}
	demand := make([]optimum.Demand, 0, len(keys))
	for _, k := range keys {
		demand = append(demand, optimum.Demand{Slot: k.slot, Zone: k.zone, Method: k.method, RPCs: count[k]})
	}
	slices.SortStableFunc(demand, func(x, y optimum.Demand) int { return x.Slot - y.Slot })
	return optimum.Solve(demand, truth.Supply, methods)
}
