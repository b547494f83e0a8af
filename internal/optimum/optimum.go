// Package optimum computes an upper bound on the service that any coordinator could have achieved in a scenario: that of a
// coordinator that knows at every moment which backends work and how fast, reaches every backend that the network allows,
// wastes no capacity, and serves RPCs of high criticality first. No real coordinator achieves it, since information is
// delayed. The gap is the combined cost of the coordinator's design, of delayed information and of the coordinator's own faults.
//
// The bound is computed by maximum flows. Time is divided into slots of the same length. RPCs that arrive in a slot from a zone
// for a method may be answered in that slot or a later one until their soft deadline, and backends can answer a limited number of RPCs in each slot. The sets of
// RPCs that can all be answered in time are the independent sets of a transversal matroid, on which the greedy choice by
// weight is optimal. So the largest total criticality that can be answered in time is the sum over the levels of criticality
// w_1 > w_2 > … of (w_i - w_{i+1}) times the maximum flow of the RPCs with a criticality of at least w_i; the weight after
// the last level is 0.
package optimum

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrBadDemand is wrapped by the errors of Solve. They are for a demand with an unknown method or a negative number.
var ErrBadDemand = errors.New("invalid demand")

// Demand is the number of RPCs of a method that arrived from a zone within a time slot.
type Demand struct {
	Slot   int
	Zone   string
	Method int // index of the method in the methods that Solve gets
	RPCs   float64
}

// Supply is the capacity of a group of backends within a time slot.
type Supply struct {
	Slot          int
	Unsupported   uint64   // bit set of the methods that the backends cannot serve
	ReachableFrom []string // zones from which the backends can be reached; empty: all
	RPCs          float64  // RPCs that the backends can answer within the slot
}

// serves reports whether the method and the zone of a demand allow the supply to answer its RPCs.
func (s Supply) serves(demand Demand) bool {
	if s.Unsupported>>demand.Method&1 != 0 {
		return false
	}
	return len(s.ReachableFrom) == 0 || slices.Contains(s.ReachableFrom, demand.Zone)
}

// Method has the weight of the RPCs of a method, and how late their answers may come.
type Method struct {
	Criticality   float64 // weight of an RPC
	ExtraSlots    int     // slots after the one of its arrival in which an RPC may still be answered in time
	FeasibleShare float64 // share of the RPCs that an idle backend at full speed can answer in time
}

// Bound is the result of Solve. Its values are sums of the criticality of RPCs.
type Bound struct {
	Offered    float64
	Achievable float64 // part of Offered that could be answered in time
}

// Share returns the achievable share of the offered criticality; 1 if nothing was offered.
func (b Bound) Share() float64 {
	if b.Offered == 0 {
		return 1
	}
	return b.Achievable / b.Offered
}

// rpcsPerFlowUnit is the number of RPCs that one unit of flow represents. Flows are integers so that the algorithm is sure to
// terminate.
const rpcsPerFlowUnit = 1e-3

// toFlowUnits converts a number of RPCs to units of flow.
func toFlowUnits(rpcs float64) int64 { return int64(math.Round(rpcs / rpcsPerFlowUnit)) }

// Solve computes the total criticality of the RPCs in demand, and an upper bound on the part of it that backends with the
// capacity in supply can answer in time, up to rounding to rpcsPerFlowUnit. A slot is one of the intervals of the same length into
// which the run is divided, numbered from 0. Solve returns an error that wraps ErrBadDemand if a demand has a method that is not an index of methods, a
// negative slot or a negative number of RPCs.
func Solve(demand []Demand, supply []Supply, methods []Method) (Bound, error) {
	var bound Bound
	var levels []float64
	for _, d := range demand {
		if d.Method < 0 || d.Method >= len(methods) || d.RPCs < 0 || d.Slot < 0 {
			return bound, fmt.Errorf("%w: %v RPCs of method %d in slot %d, with %d methods", ErrBadDemand, d.RPCs, d.Method, d.Slot, len(methods))
		}
		criticality := methods[d.Method].Criticality
		bound.Offered += criticality * d.RPCs
		if !slices.Contains(levels, criticality) {
			levels = append(levels, criticality)
		}
	}
	slices.Sort(levels)
	slices.Reverse(levels)
	for i, level := range levels {
		weight := level
		if i+1 < len(levels) {
			weight -= levels[i+1]
		}
		bound.Achievable += weight * achievableRPCs(demand, supply, methods, level)
	}
	return bound, nil
}

// achievableRPCs returns the largest number of RPCs with at least minCriticality that can be answered in time.
func achievableRPCs(demand []Demand, supply []Supply, methods []Method, minCriticality float64) float64 {
	graph := &flowGraph{}
	source, sink := graph.addNode(), graph.addNode()
	supplyNodes := make([]int, len(supply))
	suppliesBySlot := map[int][]int{}
	for i, s := range supply {
		if s.RPCs <= 0 {
			continue
		}
		supplyNodes[i] = graph.addNode()
		graph.addEdge(supplyNodes[i], sink, toFlowUnits(s.RPCs))
		suppliesBySlot[s.Slot] = append(suppliesBySlot[s.Slot], i)
	}
	for _, d := range demand {
		method := methods[d.Method]
		if method.Criticality < minCriticality || d.RPCs <= 0 {
			continue
		}
		demandNode := graph.addNode()
		graph.addEdge(source, demandNode, toFlowUnits(d.RPCs*method.FeasibleShare))
		for slot := d.Slot; slot <= d.Slot+method.ExtraSlots; slot++ {
			for _, i := range suppliesBySlot[slot] {
				if supply[i].serves(d) {
					graph.addEdge(demandNode, supplyNodes[i], unlimited)
				}
			}
		}
	}
	return float64(graph.maxFlow(source, sink)) * rpcsPerFlowUnit
}
