package simnet

import (
	"cmp"
	"errors"
	"slices"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// NodeFactory makes the state machine of a node when its process starts. The files, by name, are those that the node's earlier
// incarnations saved.
type NodeFactory func(now statemachine.Seconds, files map[string][]byte) statemachine.Machine

// maxStepsPerInstant is the maximum number of steps of a node at one virtual time. On a real machine, a node that takes more
// steps would use a whole core.
const maxStepsPerInstant = 10000

var errBusyLoop = errors.New("busy loop: too many steps at one moment")

// node is a simulated machine with a disk and a process, which can be killed and started again.
type node struct {
	name    string
	zone    string
	factory NodeFactory
	files   map[string][]byte
	disk    *disk.Memory // nil: the node has never opened a store
	store   *store.Store // store that this incarnation of the process opened; nil: none

	incarnation  int // number of starts of the node's process; 0: never started
	up           bool
	machine      statemachine.Machine
	conns        map[statemachine.Conn]*connEnd
	lastAccepted statemachine.Conn // ID of the last accepted connection

	inbox      []statemachine.Input
	spareInbox []statemachine.Input // empty slice whose memory the next inbox reuses
	stepQueued bool                 // a step that handles the inbox is scheduled for the current time

	wakeAt statemachine.Seconds
	// scheduledWakeAt and scheduledIncarnation are the time and the incarnation of the last scheduled wake-up. Most steps ask for
	// the same time again, which then needs no second event.
	scheduledWakeAt      statemachine.Seconds
	scheduledIncarnation int
	pausedUntil          statemachine.Seconds
	lastStepAt           statemachine.Seconds
	stepsAtLastStepTime  int // number of the node's steps at the virtual time lastStepAt
}

// sortedConns returns the node's ends of its connections, sorted by connection ID.
func (n *node) sortedConns() []*connEnd {
	ends := make([]*connEnd, 0, len(n.conns))
	for _, end := range n.conns {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b *connEnd) int { return cmp.Compare(a.id, b.id) })
	return ends
}

// Start starts the process of a node. It does nothing if the process runs or the node does not exist.
func (n *Network) Start(name string) {
	node := n.nodes[name]
	if node == nil || node.up {
		return
	}
	node.incarnation++
	node.up = true
	node.inbox = nil
	node.wakeAt = statemachine.Never
	node.pausedUntil = 0
	node.lastAccepted = 0
	node.conns = map[statemachine.Conn]*connEnd{}
	node.machine = node.factory(n.now, node.files)
	n.step(node)
}

// Kill ends the process of a node. Its peers get resets on their connections, and data in transit may arrive in part. Peers behind
// a partition get a reset with their first write after it.
func (n *Network) Kill(name string) {
	node := n.running(name)
	if node == nil {
		return
	}
	node.up, node.machine, node.inbox = false, nil, nil
	if node.store != nil {
		n.crashDisk(node)
	}
	for _, end := range node.sortedConns() {
		end.closed = true
		if end.peer != nil && n.faultBetween(node, end.peer.node).Partitioned {
			end.resetNotDelivered = true
			continue
		}
		n.send(end, segment{closes: true, reason: reasonReset})
	}
	node.conns = nil
}

// Pause keeps a node from taking steps for a time span, like a process that the operating system does not schedule.
func (n *Network) Pause(name string, span statemachine.Seconds) {
	node := n.running(name)
	if node == nil {
		return
	}
	node.pausedUntil = max(node.pausedUntil, n.now+span)
	n.Schedule(node.pausedUntil, func() { n.step(node) })
}

// SendCommand delivers an operator's command to a node. It does nothing if the node does not run.
func (n *Network) SendCommand(name, text string) {
	if receiver := n.running(name); receiver != nil {
		n.deliver(receiver, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
}

// deliver adds an input to a node's inbox. The inputs that come at the same virtual time before the queued step share that step.
func (n *Network) deliver(receiver *node, input statemachine.Input) {
	receiver.inbox = append(receiver.inbox, input)
	if receiver.stepQueued {
		return
	}
	receiver.stepQueued = true
	incarnation := receiver.incarnation
	n.Schedule(n.now, func() {
		if receiver.incarnation == incarnation {
			receiver.stepQueued = false
			n.step(receiver)
		}
	})
}

// step has a node handle its inbox and carries out the effects. While the node is paused, the inputs stay in the inbox.
func (n *Network) step(node *node) {
	if !node.up || n.now < node.pausedUntil {
		return
	}
	if node.countStep(n.now) > maxStepsPerInstant {
		n.recordFailure(node.name, errBusyLoop)
		n.Kill(node.name)
		return
	}
	inputs := node.inbox
	node.inbox, node.spareInbox = node.spareInbox[:0], nil
	effects := &n.effects
	effects.Reset()
	n.Steps++
	node.machine.Step(n.now, inputs, effects)
	clear(inputs)
	node.spareInbox = inputs
	n.emitLogAndTrace(node, effects)
	if effects.Failure != "" {
		n.recordFailure(node.name, effects.Failure)
		n.Kill(node.name)
		return
	}
	for name, data := range effects.Files {
		node.files[name] = data
	}
	n.persist(node, effects.Mutations, effects.Batch)
	for _, action := range effects.Actions {
		n.performAction(node, action)
	}
	if effects.Stop {
		n.Kill(node.name)
		return
	}
	n.scheduleWake(node, effects.WakeAt)
}

// countStep counts a step and returns how many steps the node has taken at this virtual time.
func (n *node) countStep(now statemachine.Seconds) int {
	if n.lastStepAt != now {
		n.lastStepAt, n.stepsAtLastStepTime = now, 0
	}
	n.stepsAtLastStepTime++
	return n.stepsAtLastStepTime
}

// emitLogAndTrace passes the log entries and trace records of a step to the network's Log and Trace.
func (n *Network) emitLogAndTrace(node *node, effects *statemachine.Effects) {
	if n.Log != nil {
		for _, entry := range effects.LogEntries {
			n.Log(n.now, node.name, entry)
		}
	}
	if n.Trace != nil {
		for _, record := range effects.Trace {
			n.Trace(record)
		}
	}
}

// scheduleWake schedules a step of the node at wakeAt. The step is left out if a later step asks for another time before then.
func (n *Network) scheduleWake(node *node, wakeAt statemachine.Seconds) {
	node.wakeAt = wakeAt
	incarnation := node.incarnation
	scheduled := node.scheduledWakeAt == wakeAt && node.scheduledIncarnation == incarnation
	if wakeAt >= statemachine.Never || scheduled {
		return
	}
	node.scheduledWakeAt, node.scheduledIncarnation = wakeAt, incarnation
	n.Schedule(wakeAt, func() {
		if node.scheduledWakeAt == wakeAt && node.scheduledIncarnation == incarnation {
			node.scheduledWakeAt = statemachine.Never
		}
		if node.incarnation == incarnation && node.wakeAt == wakeAt {
			n.step(node)
		}
	})
}

// performAction carries out an action of a node on one of its connections. Actions on unknown connections are ignored.
func (n *Network) performAction(node *node, action statemachine.Action) {
	if action.Kind == statemachine.ActionDial {
		n.dial(node, action.Conn, action.Addr, n.now+dialTimeoutSeconds)
		return
	}
	end := node.conns[action.Conn]
	if end == nil {
		return
	}
	switch action.Kind {
	case statemachine.ActionWrite:
		if end.open {
			n.BytesSent += len(action.Data)
			n.send(end, segment{data: action.Data})
		}
	case statemachine.ActionAbort:
		n.closeEnd(end, reasonReset)
	default:
		n.closeEnd(end, reasonClosed)
	}
}
