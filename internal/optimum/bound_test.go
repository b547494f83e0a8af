package optimum

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01 {
		t.Errorf("%s: %.3f, %.3f wanted", name, got, want)
	}
}

func most(t *testing.T, d []Demand, s []Supply, m []Method) Bound {
	t.Helper()
	b, err := Solve(d, s, m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestPlainCases(t *testing.T) {
	m := []Method{{Criticality: 1, ExtraSlots: 1, FeasibleShare: 1}, {Criticality: 3, ExtraSlots: 0, FeasibleShare: 1}}
	b := most(t, []Demand{{0, "a", 0, 10}, {0, "a", 1, 5}}, []Supply{{Slot: 0, RPCs: 8}}, m)
	near(t, "the dear ones first", b.Achievable, 5*3+3)
	near(t, "asked", b.Offered, 25)
	b = most(t, []Demand{{0, "a", 0, 10}, {0, "a", 1, 5}}, []Supply{{Slot: 0, RPCs: 8}, {Slot: 1, RPCs: 4}, {Slot: 2, RPCs: 9}}, m)
	near(t, "what may wait waits, not longer than it may", b.Achievable, 5*3+7)
	b = most(t, []Demand{{0, "b", 0, 10}}, []Supply{{Slot: 0, ReachableFrom: []string{"a"}, RPCs: 8}, {Slot: 0, ReachableFrom: []string{"b"}, RPCs: 2}}, m)
	near(t, "a zone that is cut off", b.Achievable, 2)
	b = most(t, []Demand{{0, "a", 0, 10}}, []Supply{{Slot: 0, Unsupported: 1, RPCs: 8}, {Slot: 0, Unsupported: 2, RPCs: 3}}, m)
	near(t, "a method that fails", b.Achievable, 3)
	m[0].FeasibleShare = 0.5
	b = most(t, []Demand{{0, "a", 0, 10}}, []Supply{{Slot: 0, RPCs: 80}}, m)
	near(t, "what no server does in time", b.Achievable, 5)
	if _, err := Solve([]Demand{{0, "a", 2, 1}}, nil, m); err == nil {
		t.Error("a method that does not exist was taken")
	}
}

// Against trying all orders of small whole RPCs: with RPCs of size one and whole supplies, the best is found by search.
func TestBestAgainstSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"a", "b"}
		var methods []Method
		for range rapid.IntRange(1, 3).Draw(rt, "methods") {
			methods = append(methods, Method{float64(rapid.IntRange(1, 4).Draw(rt, "worth")), rapid.IntRange(0, 2).Draw(rt, "slots"), 1})
		}
		var d []Demand
		for range rapid.IntRange(1, 6).Draw(rt, "demands") {
			d = append(d, Demand{rapid.IntRange(0, 3).Draw(rt, "at"), rapid.SampledFrom(zones).Draw(rt, "zone"), rapid.IntRange(0, len(methods)-1).Draw(rt, "method"), 1})
		}
		var s []Supply
		for range rapid.IntRange(0, 4).Draw(rt, "supplies") {
			s = append(s, Supply{
				rapid.IntRange(0, 4).Draw(rt, "slot"), uint64(rapid.IntRange(0, 3).Draw(rt, "fails")),
				rapid.SampledFrom([][]string{nil, {"a"}, {"b"}}).Draw(rt, "only"), float64(rapid.IntRange(0, 2).Draw(rt, "n")),
			})
		}
		left := make([]float64, len(s))
		for i := range s {
			left[i] = s[i].RPCs
		}
		var best func(i int) float64
		best = func(i int) float64 {
			if i == len(d) {
				return 0
			}
			top := best(i + 1)
			m := methods[d[i].Method]
			for k, x := range s {
				if left[k] >= 1 && x.Slot >= d[i].Slot && x.Slot <= d[i].Slot+m.ExtraSlots && x.Unsupported>>d[i].Method&1 == 0 && (len(x.ReachableFrom) == 0 || slices.Contains(x.ReachableFrom, d[i].Zone)) {
					left[k]--
					top = max(top, m.Criticality+best(i+1))
					left[k]++
				}
			}
			return top
		}
		got, err := Solve(d, s, methods)
		if want := best(0); err != nil || math.Abs(got.Achievable-want) > 0.01 {
			rt.Fatalf("%v found, %v by search, %v", got.Achievable, want, err)
		}
	})
}
