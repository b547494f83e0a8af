// Package simnet is a deterministic network simulator: it runs state machines as nodes in virtual time, over simulated connections
// and disks. With the same seed a run is the same to the byte. Nodes meet what they would meet on sockets: data arrives in pieces,
// links are slow, partitioned or reset, and a process dies in the middle of what it sends.
package simnet

import (
	"fmt"
	"math/rand/v2"

	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Streams of the random generators that are derived from a network's seed.
const (
	networkStream = 1
	diskStream    = 2
)

// Network is a set of nodes, the links between them and the virtual clock.
type Network struct {
	// Trace, if set, is called with each record that a node traces.
	Trace func(trace.Record)
	// Log, if set, is called with each entry that a node logs.
	Log func(at statemachine.Seconds, node string, entry statemachine.LogEntry)
	// Failures has a line of text for each node that failed, with the time and the node's name.
	Failures []string
	// Steps counts the steps of all nodes.
	Steps int
	// BytesSent counts the bytes that all nodes wrote to connections.
	BytesSent int

	now    statemachine.Seconds
	random *rand.Rand
	// diskRandom is for disks only, so that a run with stores draws the same numbers for its network as one without.
	diskRandom *rand.Rand
	events     eventqueue.Queue[func()]
	nodes      map[string]*node
	order      []*node // in the order in which they were added
	listeners  map[string]listener
	faults     []namedFault
	// sameZoneLatency and crossZoneLatency are the mean one-way latencies of links within a zone and between zones.
	sameZoneLatency, crossZoneLatency statemachine.Seconds
	effects                           statemachine.Effects // of the current step
}

// listener is an address that a node listens on.
type listener struct {
	node  *node
	index int // among the node's addresses
}

// New makes a network without nodes. Its clock starts at now; links have the given mean latencies within a zone and between zones.
func New(seed uint64, now, sameZoneLatency, crossZoneLatency statemachine.Seconds) *Network {
	return &Network{
		now:              now,
		random:           rand.New(rand.NewPCG(seed, networkStream)),
		diskRandom:       rand.New(rand.NewPCG(seed, diskStream)),
		nodes:            map[string]*node{},
		listeners:        map[string]listener{},
		sameZoneLatency:  sameZoneLatency,
		crossZoneLatency: crossZoneLatency,
	}
}

// Now returns the virtual time.
func (n *Network) Now() statemachine.Seconds { return n.now }

// Schedule calls a function at a time, or as soon as possible if that has passed.
func (n *Network) Schedule(at statemachine.Seconds, call func()) {
	n.events.Push(max(at, n.now), call)
}

// RunUntil runs all that is scheduled up to a time.
func (n *Network) RunUntil(end statemachine.Seconds) {
	for {
		at, ok := n.events.NextTime()
		if !ok || at > end {
			break
		}
		n.now = at
		call := n.events.Pop()
		call()
	}
	n.now = end
}

// AddNode adds a node that listens on the given addresses. It does not run before Start.
func (n *Network) AddNode(name, zone string, factory NodeFactory, addresses ...string) {
	added := &node{name: name, zone: zone, factory: factory, files: map[string][]byte{}}
	n.nodes[name] = added
	n.order = append(n.order, added)
	for i, address := range addresses {
		n.listeners[address] = listener{node: added, index: i}
	}
}

// NodeNames returns the names of all nodes, in the order in which they were added.
func (n *Network) NodeNames() []string {
	names := make([]string, 0, len(n.order))
	for _, node := range n.order {
		names = append(names, node.name)
	}
	return names
}

// Running tells whether a node runs.
func (n *Network) Running(name string) bool { return n.running(name) != nil }

// running returns nil for a node that does not run or does not exist.
func (n *Network) running(name string) *node {
	found := n.nodes[name]
	if found == nil || !found.up {
		return nil
	}
	return found
}

// ZoneOf returns the zone of a node, or "" for one that does not exist.
func (n *Network) ZoneOf(name string) string {
	if found := n.nodes[name]; found != nil {
		return found.zone
	}
	return ""
}

// Machine returns the state machine of a running node, or nil if it does not run.
func (n *Network) Machine(name string) statemachine.Machine {
	if found := n.running(name); found != nil {
		return found.machine
	}
	return nil
}

// fail records why a node failed.
func (n *Network) fail(name string, reason any) {
	n.Failures = append(n.Failures, fmt.Sprintf("%.6f %s: %v", n.now, name, reason))
}
