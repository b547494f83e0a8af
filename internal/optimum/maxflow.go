package optimum

import "math"

const (
	// unlimited is the capacity of an edge that does not bound the flow.
	unlimited = math.MaxInt64
	noEdge    = -1
	unreached = -1
)

// flowGraph is a network for Dinic's algorithm. Edges are stored in pairs, each beside its reverse edge: e and e^1.
type flowGraph struct {
	firstEdge []int32 // by node, or noEdge
	nextEdge  []int32 // by edge: the next one of the same node, or noEdge
	target    []int32 // by edge
	residual  []int64 // by edge: capacity that is left
	level     []int32 // by node: distance from the source, or unreached
	cursor    []int32 // by node: first edge that may still lead to the sink in this phase
}

// addNode adds a node and returns its number.
func (g *flowGraph) addNode() int {
	g.firstEdge = append(g.firstEdge, noEdge)
	return len(g.firstEdge) - 1
}

// addEdge adds an edge and its reverse edge, which has no capacity of its own.
func (g *flowGraph) addEdge(from, to int, capacity int64) {
	g.addDirectedEdge(from, to, capacity)
	g.addDirectedEdge(to, from, 0)
}

func (g *flowGraph) addDirectedEdge(from, to int, capacity int64) {
	g.nextEdge = append(g.nextEdge, g.firstEdge[from])
	g.target = append(g.target, int32(to))
	g.residual = append(g.residual, capacity)
	g.firstEdge[from] = int32(len(g.target) - 1)
}

// maxFlow computes the maximum flow from source to sink, and uses up the residual capacities.
func (g *flowGraph) maxFlow(source, sink int) int64 {
	g.level, g.cursor = make([]int32, len(g.firstEdge)), make([]int32, len(g.firstEdge))
	total := int64(0)
	for g.assignLevels(source, sink) {
		copy(g.cursor, g.firstEdge)
		for {
			sent := g.augment(int32(source), int32(sink), unlimited)
			if sent == 0 {
				break
			}
			total += sent
		}
	}
	return total
}

// assignLevels sets each node's distance from the source, and tells whether the sink can be reached.
func (g *flowGraph) assignLevels(source, sink int) bool {
	for i := range g.level {
		g.level[i] = unreached
	}
	g.level[source] = 0
	queue := []int32{int32(source)}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for e := g.firstEdge[node]; e != noEdge; e = g.nextEdge[e] {
			to := g.target[e]
			if g.residual[e] > 0 && g.level[to] == unreached {
				g.level[to] = g.level[node] + 1
				queue = append(queue, to)
			}
		}
	}
	return g.level[sink] != unreached
}

// augment sends at most limit along one path of rising levels, and returns how much it sent.
func (g *flowGraph) augment(node, sink int32, limit int64) int64 {
	if node == sink {
		return limit
	}
	for ; g.cursor[node] != noEdge; g.cursor[node] = g.nextEdge[g.cursor[node]] {
		edge := g.cursor[node]
		to := g.target[edge]
		if g.residual[edge] == 0 || g.level[to] != g.level[node]+1 {
			continue
		}
		sent := g.augment(to, sink, min(limit, g.residual[edge]))
		if sent == 0 {
			continue
		}
		g.residual[edge] -= sent
		if reverse := edge ^ 1; g.residual[reverse] < unlimited-sent {
			g.residual[reverse] += sent
		}
		return sent
	}
	return 0
}
