package simnet

import (
	"cmp"
	"errors"
	"slices"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// NodeFactory makes the state machine of a node at a start; files are what the node's earlier incarnations saved.
type NodeFactory func(now statemachine.Seconds, files map[string][]byte) statemachine.Machine

// maxStepsAtOnce is how many steps a node may take at one moment. A node that takes more would use a whole core on a real machine.
const maxStepsAtOnce = 10000

var errBusyLoop = errors.New("busy loop: too many steps at one moment")

type node struct {
	name    string
	zone    string
	factory NodeFactory
	files   map[string][]byte
	disk    *disk.Memory // nil: the node has not opened a store yet
	store   *store.Store // of this incarnation; nil: it has opened none

	incarnation int // counts starts; 0: never started
	up          bool
	machine     statemachine.Machine
	conns       map[statemachine.Conn]*connEnd
	accepted    statemachine.Conn // last ID of an accepted connection

	inbox      []statemachine.Input
	spareInbox []statemachine.Input // reused for the next inbox
	stepQueued bool                 // a step for the inbox is scheduled for this moment

	wakeAt statemachine.Seconds
	// scheduledWake and scheduledIncarnation tell for which time a wake-up was scheduled last: most steps ask for the same again.
	scheduledWake        statemachine.Seconds
	scheduledIncarnation int
	pausedUntil          statemachine.Seconds
	lastStep             statemachine.Seconds
	stepsAtOnce          int // at the moment of lastStep
}

// sortedConns returns the node's connections by their IDs.
func (n *node) sortedConns() []*connEnd {
	ends := make([]*connEnd, 0, len(n.conns))
	for _, end := range n.conns {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b *connEnd) int { return cmp.Compare(a.id, b.id) })
	return ends
}

// Start starts the process of a node that does not run.
func (n *Network) Start(name string) {
	started := n.nodes[name]
	if started == nil || started.up {
		return
	}
	started.incarnation++
	started.up = true
	started.inbox = nil
	started.wakeAt = statemachine.Never
	started.pausedUntil = 0
	started.accepted = 0
	started.conns = map[statemachine.Conn]*connEnd{}
	started.machine = started.factory(n.now, started.files)
	n.step(started)
}

// Kill ends the process of a node. Its peers see their connections reset, some in the middle of what was sent.
func (n *Network) Kill(name string) {
	killed := n.running(name)
	if killed == nil {
		return
	}
	killed.up, killed.machine, killed.inbox = false, nil, nil
	if killed.store != nil {
		n.crashDisk(killed)
	}
	for _, end := range killed.sortedConns() {
		end.closed = true
		if end.peer != nil && n.faultBetween(killed, end.peer.node).Partitioned {
			end.resetLost = true
			continue
		}
		n.send(end, segment{closes: true, reason: reasonReset})
	}
	killed.conns = nil
}

// Pause keeps a node from taking steps for a while, like a process that is not scheduled.
func (n *Network) Pause(name string, span statemachine.Seconds) {
	paused := n.running(name)
	if paused == nil {
		return
	}
	paused.pausedUntil = max(paused.pausedUntil, n.now+span)
	n.Schedule(paused.pausedUntil, func() { n.step(paused) })
}

// SendCommand gives a running node a command of the operator.
func (n *Network) SendCommand(name, text string) {
	if receiver := n.running(name); receiver != nil {
		n.deliver(receiver, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
}

// deliver gives a node an input. All inputs of one moment are those of one step.
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

// step gives a node its inputs and carries out the effects.
func (n *Network) step(stepping *node) {
	if !stepping.up || n.now < stepping.pausedUntil {
		return
	}
	if stepping.countStep(n.now) > maxStepsAtOnce {
		n.fail(stepping.name, errBusyLoop)
		n.Kill(stepping.name)
		return
	}
	inputs := stepping.inbox
	stepping.inbox, stepping.spareInbox = stepping.spareInbox[:0], nil
	effects := &n.effects
	effects.Reset()
	n.Steps++
	stepping.machine.Step(n.now, inputs, effects)
	clear(inputs)
	stepping.spareInbox = inputs
	n.report(stepping, effects)
	if effects.Failure != "" {
		n.fail(stepping.name, effects.Failure)
		n.Kill(stepping.name)
		return
	}
	for name, data := range effects.Files {
		stepping.files[name] = data
	}
	n.persist(stepping, effects.Mutations, effects.Batch)
	for _, action := range effects.Actions {
		n.act(stepping, action)
	}
	if effects.Stop {
		n.Kill(stepping.name)
		return
	}
	n.scheduleWake(stepping, effects.WakeAt)
}

// countStep counts a step and returns how many there were at this moment.
func (n *node) countStep(now statemachine.Seconds) int {
	if n.lastStep != now {
		n.lastStep, n.stepsAtOnce = now, 0
	}
	n.stepsAtOnce++
	return n.stepsAtOnce
}

// report passes on what a step logged and traced.
func (n *Network) report(stepped *node, effects *statemachine.Effects) {
	if n.Log != nil {
		for _, entry := range effects.LogEntries {
			n.Log(n.now, stepped.name, entry)
		}
	}
	if n.Trace != nil {
		for _, record := range effects.Trace {
			n.Trace(record)
		}
	}
}

// scheduleWake has the node take a step at a time, unless a later step has asked for another time by then.
func (n *Network) scheduleWake(sleeper *node, wakeAt statemachine.Seconds) {
	sleeper.wakeAt = wakeAt
	incarnation := sleeper.incarnation
	scheduled := sleeper.scheduledWake == wakeAt && sleeper.scheduledIncarnation == incarnation
	if wakeAt >= statemachine.Never || scheduled {
		return
	}
	sleeper.scheduledWake, sleeper.scheduledIncarnation = wakeAt, incarnation
	n.Schedule(wakeAt, func() {
		if sleeper.scheduledWake == wakeAt && sleeper.scheduledIncarnation == incarnation {
			sleeper.scheduledWake = statemachine.Never
		}
		if sleeper.incarnation == incarnation && sleeper.wakeAt == wakeAt {
			n.step(sleeper)
		}
	})
}

// act carries out an action on a connection.
func (n *Network) act(actor *node, action statemachine.Action) {
	if action.Kind == statemachine.ActionDial {
		n.dial(actor, action.Conn, action.Addr, n.now+dialTimeout)
		return
	}
	end := actor.conns[action.Conn]
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
