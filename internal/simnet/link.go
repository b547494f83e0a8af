package simnet

import (
	"slices"

	"gingerfork/internal/statemachine"
)

// The latency of a transmission is the link's mean times a uniformly random factor from minLatencyFactor (0.7) to
// minLatencyFactor + latencyFactorRange (1.3).
const (
	minLatencyFactor   = 0.7
	latencyFactorRange = 0.6
)

// LinkFault describes the faults of a link between two nodes. The zero value is a link without a fault.
type LinkFault struct {
	Partitioned  bool                 // no data passes in either direction; data that is sent is held until the fault is removed
	Reset        bool                 // connections can't be opened, and open ones are reset
	ExtraLatency statemachine.Seconds // latency in one direction, added to the link's own latency
	Bandwidth    float64              // bytes per second of each connection and direction; 0: unlimited
}

// add returns the combination of two faults of one link: the sum of the extra latencies and the lower bandwidth.
func (f LinkFault) add(other LinkFault) LinkFault {
	f.Partitioned = f.Partitioned || other.Partitioned
	f.Reset = f.Reset || other.Reset
	f.ExtraLatency += other.ExtraLatency
	if other.Bandwidth > 0 && (f.Bandwidth == 0 || other.Bandwidth < f.Bandwidth) {
		f.Bandwidth = other.Bandwidth
	}
	return f
}

// namedFault is a fault of all links between nodes whose names match.
type namedFault struct {
	name  string
	match func(a, b string) bool
	fault LinkFault
}

// AddLinkFault adds a fault to all links between nodes whose names match in either order. The name is for RemoveLinkFault.
func (n *Network) AddLinkFault(name string, fault LinkFault, match func(a, b string) bool) {
	n.faults = append(n.faults, namedFault{name: name, match: match, fault: fault})
	if fault.Reset {
		n.ResetConnections(match)
	}
}

// RemoveLinkFault removes all faults with the given name, and sends the held segments of links that are no longer partitioned.
func (n *Network) RemoveLinkFault(name string) {
	n.faults = slices.DeleteFunc(n.faults, func(f namedFault) bool { return f.name == name })
	for _, sender := range n.nodesInOrder {
		for _, end := range sender.sortedConns() {
			if len(end.heldSegments) == 0 || end.peer == nil || n.faultBetween(sender, end.peer.node).Partitioned {
				continue
			}
			held := end.heldSegments
			end.heldSegments = nil
			for _, waiting := range held {
				n.send(end, waiting)
			}
		}
	}
}

// ResetConnections resets all open connections between nodes whose names match.
func (n *Network) ResetConnections(match func(a, b string) bool) {
	for _, owner := range n.nodesInOrder {
		for _, end := range owner.sortedConns() {
			peer := end.peer
			if peer != nil && !end.closed && peer.node.up && match(owner.name, peer.node.name) {
				end.closed, peer.closed = true, true
				n.notifyClosed(end, reasonReset)
				n.notifyClosed(peer, reasonReset)
			}
		}
	}
}

// faultBetween returns the combination of all faults of a link.
func (n *Network) faultBetween(a, b *node) (combined LinkFault) {
	for _, named := range n.faults {
		if named.match(a.name, b.name) || named.match(b.name, a.name) {
			combined = combined.add(named.fault)
		}
	}
	return combined
}

// latency draws the one-way latency of one transmission between two nodes, without the extra latency of faults.
func (n *Network) latency(a, b *node) statemachine.Seconds {
	mean := n.sameZoneLatency
	if a.zone != b.zone {
		mean = n.crossZoneLatency
	}
	return mean * (minLatencyFactor + latencyFactorRange*n.random.Float64())
}
