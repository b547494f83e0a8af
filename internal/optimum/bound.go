// Package optimum reckons the most service that anybody could have given on a day: one who knows at every moment which
// servers work and how fast, reaches any of them that the network lets him reach, wastes nothing, and answers what is
// dear before what is cheap. No coordinator gets there, as news takes time; how far one stays below is what its design,
// late news and its own faults cost together.
//
// It is a flow: RPCs that came in a stretch of time, from a zone, of a method, may be answered in that stretch or a later
// one until their soft deadline; servers can do so many in each. The most criticality that can be answered in time is
// found for all levels of criticality at once: sets of RPCs that can be served together are independent sets of a matroid
// (a transversal one), on which taking the dearest first is best. So the best is the sum over the levels w1 > w2 > …
// of (w_i - w_{i+1}) times the largest flow of the RPCs with at least w_i.
package optimum

import (
	"fmt"
	"math"
	"slices"
)

// Demand is RPCs of a method that came from a zone within one stretch of time.
type Demand struct {
	Slot   int // which stretch
	Zone   string
	Method int
	RPCs   float64
}

// Supply is what some servers could do within one stretch.
type Supply struct {
	Slot          int
	Unsupported   uint64   // bits of the methods that they can't do
	ReachableFrom []string // the zones that reach them; none: all
	RPCs          float64  // RPCs
}

// Method is what a method's RPCs are worth, and how long their answer is of use.
type Method struct {
	Criticality   float64
	ExtraSlots    int     // stretches after its own in which an RPC may still be answered in time
	FeasibleShare float64 // the share that can be done in time at all, on an idle server at full speed
}

// Bound is the result.
type Bound struct {
	Offered    float64 // criticality
	Achievable float64 // of it that could be answered in time
}

// Share is the service that the bound allows.
func (b Bound) Share() float64 {
	if b.Offered == 0 {
		return 1
	}
	return b.Achievable / b.Offered
}

// unit is the RPCs that one step of the flow carries: it works on whole numbers, so that it ends.
const unit = 1e-3

// Most reckons the bound.
func Solve(demand []Demand, supply []Supply, methods []Method) (Bound, error) {
	var b Bound
	var levels []float64
	for _, d := range demand {
		if d.Method < 0 || d.Method >= len(methods) || d.RPCs < 0 || d.Slot < 0 {
			return b, fmt.Errorf("a demand for %v RPCs of method %d in stretch %d, of %d methods", d.RPCs, d.Method, d.Slot, len(methods))
		}
		c := methods[d.Method].Criticality
		b.Offered += c * d.RPCs
		if !slices.Contains(levels, c) {
			levels = append(levels, c)
		}
	}
	slices.Sort(levels)
	slices.Reverse(levels)
	for i, c := range levels {
		step := c
		if i+1 < len(levels) {
			step -= levels[i+1]
		}
		b.Achievable += step * flow(demand, supply, methods, c)
	}
	return b, nil
}

// flow is the most RPCs of at least a criticality that can be answered in time.
func flow(demand []Demand, supply []Supply, methods []Method, least float64) float64 {
	const source, sink = 0, 1
	g := &net{}
	g.grow(2)
	bySlot := map[int][]int{} // supplies
	node := make([]int, len(supply))
	for i, s := range supply {
		if s.RPCs <= 0 {
			continue
		}
		node[i] = g.grow(1)
		g.edge(node[i], sink, int64(math.Round(s.RPCs/unit)))
		bySlot[s.Slot] = append(bySlot[s.Slot], i)
	}
	for _, d := range demand {
		m := methods[d.Method]
		if m.Criticality < least || d.RPCs <= 0 {
			continue
		}
		from := g.grow(1)
		g.edge(source, from, int64(math.Round(d.RPCs*m.FeasibleShare/unit)))
		for slot := d.Slot; slot <= d.Slot+m.ExtraSlots; slot++ {
			for _, i := range bySlot[slot] {
				if s := supply[i]; s.Unsupported>>d.Method&1 == 0 && (len(s.ReachableFrom) == 0 || slices.Contains(s.ReachableFrom, d.Zone)) {
					g.edge(from, node[i], math.MaxInt64)
				}
			}
		}
	}
	return float64(g.most(source, sink)) * unit
}

// net is a network for Dinic's algorithm; edges are kept in pairs, each beside its way back.
type net struct {
	first []int32 // by node: its newest edge, -1: none
	next  []int32
	to    []int32
	room  []int64
	depth []int32
	at    []int32
}

// grow adds nodes and gives the first one's number.
func (g *net) grow(n int) int {
	for range n {
		g.first = append(g.first, -1)
	}
	return len(g.first) - n
}

func (g *net) edge(a, b int, room int64) {
	g.half(a, b, room)
	g.half(b, a, 0)
}

func (g *net) half(a, b int, room int64) {
	g.next = append(g.next, g.first[a])
	g.to = append(g.to, int32(b))
	g.room = append(g.room, room)
	g.first[a] = int32(len(g.to) - 1)
}

func (g *net) most(source, sink int) (sum int64) {
	g.depth, g.at = make([]int32, len(g.first)), make([]int32, len(g.first))
	for g.layers(source, sink) {
		copy(g.at, g.first)
		for {
			sent := g.push(int32(source), int32(sink), math.MaxInt64)
			if sent == 0 {
				break
			}
			sum += sent
		}
	}
	return sum
}

// layers numbers the nodes by how far they are from the source, and tells whether the sink can be reached.
func (g *net) layers(source, sink int) bool {
	for i := range g.depth {
		g.depth[i] = -1
	}
	g.depth[source] = 0
	row := []int32{int32(source)}
	for len(row) > 0 {
		x := row[0]
		row = row[1:]
		for e := g.first[x]; e >= 0; e = g.next[e] {
			if y := g.to[e]; g.room[e] > 0 && g.depth[y] < 0 {
				g.depth[y] = g.depth[x] + 1
				row = append(row, y)
			}
		}
	}
	return g.depth[sink] >= 0
}

func (g *net) push(x, sink int32, most int64) int64 {
	if x == sink {
		return most
	}
	for ; g.at[x] >= 0; g.at[x] = g.next[g.at[x]] {
		e := g.at[x]
		y := g.to[e]
		if g.room[e] == 0 || g.depth[y] != g.depth[x]+1 {
			continue
		}
		if sent := g.push(y, sink, min(most, g.room[e])); sent > 0 {
			g.room[e] -= sent
			if g.room[e^1] < math.MaxInt64-sent {
				g.room[e^1] += sent
			}
			return sent
		}
	}
	return 0
}
