// Package optimum computes an upper bound on the service that any coordinator could have given in a scenario: one that
// knows at every moment which backends work and how fast, reaches all that the network allows, wastes no capacity, and
// serves RPCs of high criticality first. No coordinator reaches it, as information takes time; the distance is the joint
// cost of its design, of delayed information and of its own faults.
//
// The bound is a maximum flow. RPCs that arrived in a time slot, from a zone, for a method, may be answered in that slot or
// a later one until their soft deadline; backends can answer so many in each slot. The largest criticality that can be
// answered in time is found for all levels of criticality at once: sets of RPCs that can be served together are the
// independent sets of a transversal matroid, on which the greedy choice by weight is optimal. So the optimum is the sum
// over the levels w1 > w2 > … of (w_i - w_{i+1}) times the maximum flow of the RPCs with at least w_i.
package optimum

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrBadDemand is wrapped by the error of a demand with a method, slot or number that cannot be.
var ErrBadDemand = errors.New("invalid demand")

// Demand is a number of RPCs of a method that arrived from a zone within one time slot.
type Demand struct {
	Slot   int
	Zone   string
	Method int
	RPCs   float64
}

// Supply is what some backends could do within one time slot.
type Supply struct {
	Slot          int
	Unsupported   uint64   // bit set of the methods that they cannot serve
	ReachableFrom []string // zones that reach them; none: all
	RPCs          float64
}

// serves tells whether RPCs of a demand can be answered by the supply, as far as method and zone go.
func (s Supply) serves(demand Demand) bool {
	if s.Unsupported>>demand.Method&1 != 0 {
		return false
	}
	return len(s.ReachableFrom) == 0 || slices.Contains(s.ReachableFrom, demand.Zone)
}

// Method is the weight of a method's RPCs, and how long an answer is of use.
type Method struct {
	Criticality   float64
	ExtraSlots    int     // slots after its own in which an RPC may still be answered in time
	FeasibleShare float64 // share that an idle backend at full speed can answer in time
}

// Bound is the result, in sums of criticality.
type Bound struct {
	Offered    float64
	Achievable float64 // part of Offered that could be answered in time
}

// Share is the service that the bound allows; 1 where nothing was offered.
func (b Bound) Share() float64 {
	if b.Offered == 0 {
		return 1
	}
	return b.Achievable / b.Offered
}

// rpcsPerFlowUnit is the number of RPCs that one unit of flow stands for. The flow is in integers, so that it terminates.
const rpcsPerFlowUnit = 1e-3

func toFlowUnits(rpcs float64) int64 { return int64(math.Round(rpcs / rpcsPerFlowUnit)) }

// Solve computes the bound. It fails with ErrBadDemand for a demand that names no method of methods, or that has a negative
// slot or number.
func Solve(demand []Demand, supply []Supply, methods []Method) (Bound, error) {
	var bound Bound
	var levels []float64
	for _, d := range demand {
		if d.Method < 0 || d.Method >= len(methods) || d.RPCs < 0 || d.Slot < 0 {
			return bound, fmt.Errorf("%w: %v RPCs of method %d in slot %d, of %d methods", ErrBadDemand, d.RPCs, d.Method, d.Slot, len(methods))
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

// achievableRPCs is the largest number of RPCs of at least a criticality that can be answered in time.
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
