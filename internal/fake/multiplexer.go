package fake

import (
	"strings"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/wakeup"
)

// minWakeDelay is the minimum time in seconds until the next step of a member that asks to be stepped again at once.
const minWakeDelay = 1e-6

// allMembers is the name in a command that addresses every member.
const allMembers = "*"

// Multiplexer runs many state machines, its members, as one, so that a single event loop can drive thousands of fakes. Its
// listeners are those of its members, in the order in which the members were added. The first word of a command is the name of
// the member that gets the rest, or * for all members. It implements statemachine.Machine.
type Multiplexer struct {
	members       []*member
	byName        map[string]*member
	listeners     []*member                        // the member that each listener belongs to
	firstListener map[*member]int                  // number, among the multiplexer's listeners, of each member's first listener
	conns         map[statemachine.Conn]memberConn // by the connection's number outside the multiplexer
	lastDialed    statemachine.Conn
	wakeups       wakeup.Queue[*member]
	memberOut     statemachine.Effects
}

// member is one of the machines that a multiplexer runs.
type member struct {
	name         string
	machine      statemachine.Machine
	conns        map[statemachine.Conn]statemachine.Conn // maps the member's number of a connection to the multiplexer's
	inputs       []statemachine.Input
	lastAccepted statemachine.Conn
	wakeup       *wakeup.Entry[*member]
}

// memberConn is a connection under the number that its member uses.
type memberConn struct {
	owner *member
	conn  statemachine.Conn
}

// NewMultiplexer returns a multiplexer without members.
func NewMultiplexer() *Multiplexer {
	return &Multiplexer{
		byName: map[string]*member{}, firstListener: map[*member]int{}, conns: map[statemachine.Conn]memberConn{},
		lastDialed: statemachine.DialedBit,
	}
}

// Add adds a member with the given number of listeners. It must not be called after the first step.
func (m *Multiplexer) Add(name string, machine statemachine.Machine, listeners int) {
	added := &member{name: name, machine: machine, conns: map[statemachine.Conn]statemachine.Conn{}}
	m.members = append(m.members, added)
	m.byName[name] = added
	m.firstListener[added] = len(m.listeners)
	for range listeners {
		m.listeners = append(m.listeners, added)
	}
	added.wakeup = m.wakeups.Add(added)
}

// Step implements statemachine.Machine. It steps only the members that have an input or whose wake-up time has come.
func (m *Multiplexer) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	var receivers []*member
	deliver := func(receiver *member, input statemachine.Input) {
		if len(receiver.inputs) == 0 {
			receivers = append(receivers, receiver)
		}
		receiver.inputs = append(receiver.inputs, input)
	}
	for _, input := range inputs {
		if input.Kind == statemachine.OperatorCommand {
			m.routeCommand(input.Text, deliver)
		} else {
			m.routeConnInput(input, deliver)
		}
	}
	for due, at, ok := m.wakeups.Next(); ok && at <= now; due, at, ok = m.wakeups.Next() {
		m.stepMember(now, due, out)
	}
	for _, receiver := range receivers {
		if len(receiver.inputs) > 0 {
			m.stepMember(now, receiver, out)
		}
	}
	if _, at, ok := m.wakeups.Next(); ok {
		out.WakeBy(at)
	}
}

// routeCommand delivers a command to the member that its first word names, or to all members.
func (m *Multiplexer) routeCommand(text string, deliver func(*member, statemachine.Input)) {
	name, command, _ := strings.Cut(text, " ")
	input := statemachine.Input{Kind: statemachine.OperatorCommand, Text: command}
	if receiver := m.byName[name]; receiver != nil {
		deliver(receiver, input)
	} else if name == allMembers {
		for _, receiver := range m.members {
			deliver(receiver, input)
		}
	}
}

// routeConnInput delivers an input to the owner of its connection, under the owner's numbers of the connection and the listener.
func (m *Multiplexer) routeConnInput(input statemachine.Input, deliver func(*member, statemachine.Input)) {
	local, known := m.conns[input.Conn]
	switch {
	case !known && input.Kind == statemachine.ConnOpened && input.Conn&statemachine.DialedBit == 0:
		owner := m.listeners[input.Listener]
		owner.lastAccepted++
		local = memberConn{owner, owner.lastAccepted}
		m.conns[input.Conn] = local
		owner.conns[local.conn] = input.Conn
		input.Listener -= m.firstListener[owner]
	case !known:
		return
	case input.Kind == statemachine.ConnClosed:
		delete(m.conns, input.Conn)
		delete(local.owner.conns, local.conn)
	}
	input.Conn = local.conn
	deliver(local.owner, input)
}

// stepMember steps a member with its queued inputs, passes its effects on and reschedules its wake-up.
func (m *Multiplexer) stepMember(now statemachine.Seconds, stepped *member, out *statemachine.Effects) {
	inputs := stepped.inputs
	stepped.inputs = nil
	m.memberOut.Reset()
	stepped.machine.Step(now, inputs, &m.memberOut)
	for _, action := range m.memberOut.Actions {
		m.forwardAction(stepped, action, out)
	}
	out.LogEntries = append(out.LogEntries, m.memberOut.LogEntries...)
	out.Trace = append(out.Trace, m.memberOut.Trace...)
	if m.memberOut.Failure != "" {
		out.Failure = stepped.name + ": " + m.memberOut.Failure
	}
	m.wakeups.Reschedule(stepped.wakeup, max(m.memberOut.WakeAt, now+minWakeDelay))
}

// forwardAction adds a member's action to the effects, under the multiplexer's number of the connection.
func (m *Multiplexer) forwardAction(from *member, action statemachine.Action, out *statemachine.Effects) {
	if action.Kind == statemachine.ActionDial {
		m.lastDialed++
		m.conns[m.lastDialed] = memberConn{from, action.Conn}
		from.conns[action.Conn] = m.lastDialed
		out.Dial(m.lastDialed, action.Addr)
		return
	}
	conn, known := from.conns[action.Conn]
	if !known {
		return
	}
	if action.Kind != statemachine.ActionWrite {
		delete(from.conns, action.Conn)
		delete(m.conns, conn)
	}
	action.Conn = conn
	out.Actions = append(out.Actions, action)
}
