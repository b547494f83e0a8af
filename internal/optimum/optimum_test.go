package optimum

import (
	"errors"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// tolerance is the allowed difference between a bound and its expected value, since the flow is rounded to multiples of
// rpcsPerFlowUnit.
const tolerance = 0.01

// assertNear fails the test if a value differs from the expected one by more than tolerance.
func assertNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s: got %.3f, want %.3f", name, got, want)
	}
}

// solve calls Solve and fails the test on an error.
func solve(t *testing.T, demand []Demand, supply []Supply, methods []Method) Bound {
	t.Helper()
	bound, err := Solve(demand, supply, methods)
	if err != nil {
		t.Fatal(err)
	}
	return bound
}

func TestSolve(t *testing.T) {
	methods := []Method{{Criticality: 1, ExtraSlots: 1, FeasibleShare: 1}, {Criticality: 3, ExtraSlots: 0, FeasibleShare: 1}}
	halfFeasible := []Method{{Criticality: 1, ExtraSlots: 1, FeasibleShare: 0.5}, methods[1]}
	both := []Demand{{0, "a", 0, 10}, {0, "a", 1, 5}}
	for _, test := range []struct {
		name    string
		demand  []Demand
		supply  []Supply
		methods []Method
		want    float64
	}{
		{"critical RPCs first", both, []Supply{{Slot: 0, RPCs: 8}}, methods, 5*3 + 3},
		{"later slots until the deadline", both, []Supply{{Slot: 0, RPCs: 8}, {Slot: 1, RPCs: 4}, {Slot: 2, RPCs: 9}}, methods, 5*3 + 7},
		{"partitioned zone", []Demand{{0, "b", 0, 10}}, []Supply{{Slot: 0, ReachableFrom: []string{"a"}, RPCs: 8}, {Slot: 0, ReachableFrom: []string{"b"}, RPCs: 2}}, methods, 2},
		{"unsupported method", []Demand{{0, "a", 0, 10}}, []Supply{{Slot: 0, Unsupported: 1, RPCs: 8}, {Slot: 0, Unsupported: 2, RPCs: 3}}, methods, 3},
		{"infeasible share", []Demand{{0, "a", 0, 10}}, []Supply{{Slot: 0, RPCs: 80}}, halfFeasible, 5},
	} {
		assertNear(t, test.name, solve(t, test.demand, test.supply, test.methods).Achievable, test.want)
	}
	assertNear(t, "offered", solve(t, both, []Supply{{Slot: 0, RPCs: 8}}, methods).Offered, 25)
	if _, err := Solve([]Demand{{0, "a", 2, 1}}, nil, methods); !errors.Is(err, ErrBadDemand) {
		t.Errorf("a method that does not exist: got error %v, want %v", err, ErrBadDemand)
	}
}

// randomProblem draws demands of one RPC each and supplies of at most two RPCs each.
func randomProblem(draws *rapid.T) (demand []Demand, supply []Supply, methods []Method) {
	for range rapid.IntRange(1, 3).Draw(draws, "methods") {
		methods = append(methods, Method{
			Criticality: float64(rapid.IntRange(1, 4).Draw(draws, "criticality")), ExtraSlots: rapid.IntRange(0, 2).Draw(draws, "slots"),
			FeasibleShare: 1,
		})
	}
	for range rapid.IntRange(1, 6).Draw(draws, "demands") {
		demand = append(demand, Demand{
			Slot: rapid.IntRange(0, 3).Draw(draws, "slot of demand"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(draws, "zone"),
			Method: rapid.IntRange(0, len(methods)-1).Draw(draws, "method"), RPCs: 1,
		})
	}
	for range rapid.IntRange(0, 4).Draw(draws, "supplies") {
		supply = append(supply, Supply{
			Slot: rapid.IntRange(0, 4).Draw(draws, "slot"), Unsupported: uint64(rapid.IntRange(0, 3).Draw(draws, "unsupported")),
			ReachableFrom: rapid.SampledFrom([][]string{nil, {"a"}, {"b"}}).Draw(draws, "reachable from"),
			RPCs:          float64(rapid.IntRange(0, 2).Draw(draws, "RPCs")),
		})
	}
	return demand, supply, methods
}

// exhaustiveOptimum returns the largest total criticality of all assignments of RPCs to supplies. Each demand is one RPC.
func exhaustiveOptimum(demand []Demand, supply []Supply, methods []Method) float64 {
	remaining := make([]float64, len(supply))
	for i := range supply {
		remaining[i] = supply[i].RPCs
	}
	var best func(i int) float64
	best = func(i int) float64 {
		if i == len(demand) {
			return 0
		}
		largest := best(i + 1)
		rpc := demand[i]
		method := methods[rpc.Method]
		for k, s := range supply {
			reachable := len(s.ReachableFrom) == 0 || slices.Contains(s.ReachableFrom, rpc.Zone)
			inTime := s.Slot >= rpc.Slot && s.Slot <= rpc.Slot+method.ExtraSlots
			if remaining[k] >= 1 && inTime && reachable && s.Unsupported>>rpc.Method&1 == 0 {
				remaining[k]--
				largest = max(largest, method.Criticality+best(i+1))
				remaining[k]++
			}
		}
		return largest
	}
	return best(0)
}

// For random problems the bound is the optimum that an exhaustive search finds.
func TestSolveAgainstSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demand, supply, methods := randomProblem(rt)
		got, err := Solve(demand, supply, methods)
		if want := exhaustiveOptimum(demand, supply, methods); err != nil || math.Abs(got.Achievable-want) > tolerance {
			rt.Fatalf("got %v and error %v, want %v", got.Achievable, err, want)
		}
	})
}
