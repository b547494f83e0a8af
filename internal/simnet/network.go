// Package simnet is a deterministic network simulator: it runs state machines as nodes in virtual time, over simulated connections
// and disks. Two runs with the same seed are identical to the byte. The simulation covers what happens on real sockets: data
// arrives in pieces, links are slow, partitioned or reset, and a process is killed while its data is in transit.
package simnet

import (
	"fmt"
	"math/rand/v2"

	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Stream numbers of the random generators that are derived from a network's seed: the second word of the PCG seed.
const (
	networkStream = 1
	diskStream    = 2
)

// Network is a set of nodes, the links between them and a virtual clock.
type Network struct {
	// Trace, if set, is called with each trace record of a node.
	Trace func(trace.Record)
	// Log, if set, is called with each log entry of a node.
	Log func(at statemachine.Seconds, node string, entry statemachine.LogEntry)
	// Failures has a line of text for each failure of a node, with the virtual time, the node's name and the reason.
	Failures []string
	// Steps counts the steps of all nodes.
	Steps int
	// BytesSent counts the bytes that all nodes wrote to open connections.
	BytesSent int

	now    statemachine.Seconds
	random *rand.Rand
	// diskRandom is used for disks only, so that a run with stores draws the same random numbers for its network as a run without.
	diskRandom   *rand.Rand
	events       eventqueue.Queue[func()]
	nodes        map[string]*node
	nodesInOrder []*node // in the order in which the nodes were added
	listeners    map[string]listener
	faults       []namedFault
	// sameZoneLatency and crossZoneLatency are the mean one-way latencies of links within a zone and between zones.
	sameZoneLatency, crossZoneLatency statemachine.Seconds
	effects                           statemachine.Effects // effects of the step that is being carried out
}

// listener is one address that a node listens on.
type listener struct {
	node  *node
	index int // position among the node's addresses, from 0
}

// New returns a network without nodes. Its clock starts at now. The latencies are the one-way means of links within a zone and
// between zones.
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

// Schedule has a function called at a virtual time, or at the current one if that time has passed. Functions that are scheduled
// for the same time are called in the order of the Schedule calls.
func (n *Network) Schedule(at statemachine.Seconds, call func()) {
	n.events.Push(max(at, n.now), call)
}

// RunUntil runs everything that is scheduled up to and including a virtual time, and sets the clock to it.
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

// AddNode adds a node that listens on the given addresses. Its process does not run until Start is called.
func (n *Network) AddNode(name, zone string, factory NodeFactory, addresses ...string) {
	added := &node{name: name, zone: zone, factory: factory, files: map[string][]byte{}}
	n.nodes[name] = added
	n.nodesInOrder = append(n.nodesInOrder, added)
	for i, address := range addresses {
		n.listeners[address] = listener{node: added, index: i}
	}
}

// NodeNames returns the names of all nodes, in the order in which they were added.
func (n *Network) NodeNames() []string {
	names := make([]string, 0, len(n.nodesInOrder))
	for _, node := range n.nodesInOrder {
		names = append(names, node.name)
	}
	return names
}

// Running reports whether a node's process runs.
func (n *Network) Running(name string) bool { return n.running(name) != nil }

// running returns a node whose process runs; nil if it does not run or the node does not exist.
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

// Machine returns the state machine of a running node, or nil if the node does not run.
func (n *Network) Machine(name string) statemachine.Machine {
	if found := n.running(name); found != nil {
		return found.machine
	}
	return nil
}

// recordFailure adds a line to Failures.
func (n *Network) recordFailure(name string, reason any) {
	n.Failures = append(n.Failures, fmt.Sprintf("%.6f %s: %v", n.now, name, reason))
}
