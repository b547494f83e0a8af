package simnet

import (
	"slices"

	"gingerfork/internal/statemachine"
)

// The latency of each transmission lies between these multiples of the link's mean.
const (
	minLatencyFactor  = 0.7
	latencyFactorSpan = 0.6
)

// LinkFault is what is wrong with a link between two nodes. The zero value is a link without a fault.
type LinkFault struct {
	Partitioned  bool                 // nothing passes in either direction; what is sent waits until the fault is removed
	Reset        bool                 // connections can't be opened, and open ones are reset
	ExtraLatency statemachine.Seconds // beside the link's own
	Bandwidth    float64              // of each connection and direction, in bytes a second; 0: unlimited
}

// add combines two faults of one link.
func (f LinkFault) add(other LinkFault) LinkFault {
	f.Partitioned = f.Partitioned || other.Partitioned
	f.Reset = f.Reset || other.Reset
	f.ExtraLatency += other.ExtraLatency
	if other.Bandwidth > 0 && (f.Bandwidth == 0 || other.Bandwidth < f.Bandwidth) {
		f.Bandwidth = other.Bandwidth
	}
	return f
}

type namedFault struct {
	name  string
	match func(a, b string) bool
	fault LinkFault
}

// AddLinkFault puts a fault, under a name, on all links between nodes whose names match in either order.
func (n *Network) AddLinkFault(name string, fault LinkFault, match func(a, b string) bool) {
	n.faults = append(n.faults, namedFault{name: name, match: match, fault: fault})
	if fault.Reset {
		n.ResetConnections(match)
	}
}

// RemoveLinkFault removes the faults of a name, and sends what waited for that.
func (n *Network) RemoveLinkFault(name string) {
	n.faults = slices.DeleteFunc(n.faults, func(f namedFault) bool { return f.name == name })
	for _, sender := range n.order {
		for _, end := range sender.sortedConns() {
			if len(end.held) == 0 || end.peer == nil || n.faultBetween(sender, end.peer.node).Partitioned {
				continue
			}
			held := end.held
			end.held = nil
			for _, waiting := range held {
				n.send(end, waiting)
			}
		}
	}
}

// ResetConnections resets all open connections between nodes whose names match.
func (n *Network) ResetConnections(match func(a, b string) bool) {
	for _, owner := range n.order {
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

// faultBetween returns all faults of a link, combined.
func (n *Network) faultBetween(a, b *node) (combined LinkFault) {
	for _, named := range n.faults {
		if named.match(a.name, b.name) || named.match(b.name, a.name) {
			combined = combined.add(named.fault)
		}
	}
	return combined
}

// latency draws the one-way latency of a transmission.
func (n *Network) latency(a, b *node) statemachine.Seconds {
	mean := n.sameZoneLatency
	if a.zone != b.zone {
		mean = n.crossZoneLatency
	}
	return mean * (minLatencyFactor + latencyFactorSpan*n.random.Float64())
}
