package optimum

import "math"

const (
	// unlimited is the capacity of an edge that does not bound the flow.
	unlimited = math.MaxInt64
	// noEdge ends a list of edges.
	noEdge = -1
	// unreached is the level of a node that cannot be reached from the source.
	unreached = -1
)

// flowGraph is a flow network for Dinic's maximum flow algorithm. The edges of a node are a linked list. Each edge is stored
// next to its reverse edge: the reverse of edge e is e^1.
type flowGraph struct {
	firstEdge []int32 // by node: the first edge of its list, or noEdge
	nextEdge  []int32 // by edge: the next edge in the list of the same node, or noEdge
	target    []int32 // by edge: the node to which it leads
	residual  []int64 // by edge: capacity that the flow does not use yet
	level     []int32 // by node: distance from the source in edges, or unreached
	cursor    []int32 // by node: the first edge that may still lead to the sink with the current levels
}

// addNode adds a node and returns its number.
func (g *flowGraph) addNode() int {
	g.firstEdge = append(g.firstEdge, noEdge)
	return len(g.firstEdge) - 1
}

// addEdge adds an edge and its reverse edge, which has no capacity until there is a flow along the edge.
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

// maxFlow returns the maximum flow from source to sink. It reduces the residual capacities, so it can be called only once.
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

// assignLevels sets the level of each node by a breadth-first search, and reports whether the sink can be reached.
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

// augment sends a flow of at most limit from node to sink along one path of increasing levels. It returns the flow, 0 if there
// is no such path.
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
