package fake

import (
	"fmt"
	"slices"

	"gingerfork/internal/statemachine"
)

// Relay forwards bytes between clients and targets, with a listener for each target, and injects network faults on
// command, into each listener's traffic by itself. It implements statemachine.Machine.
type Relay struct {
	targets    []string    // by listener
	faults     []linkFault // by listener
	tunnels    map[statemachine.Conn]*tunnel
	lastDialed statemachine.Conn
	timers     timers
	out        *statemachine.Effects
}

// linkFault is what hinders the traffic of one listener.
type linkFault struct {
	partitioned bool // holds the traffic back until the partition ends, as a network that comes back does
	reset       bool // resets existing and new connections
	latency     statemachine.Seconds
	bandwidth   float64 // bytes a second of each tunnel and direction; 0: unbounded
}

// The two ends of a tunnel.
const (
	clientEnd = 0
	targetEnd = 1
)

// tunnel is a client's connection and the one to the target.
type tunnel struct {
	listener    int
	ends        [2]statemachine.Conn
	established bool
	beforeDial  [][]byte  // from the client, until the target is connected
	held        []segment // during a partition
	lastNumber  int
	freeAt      [2]statemachine.Seconds // by sending end, when the next bytes may leave
}

// segment is bytes from one end, or that end's close.
type segment struct {
	number int // the order within its tunnel, from 1 on
	from   int // the sending end
	data   []byte
	closed bool
}

// NewRelay makes a relay with a listener for each target address.
func NewRelay(targets ...string) *Relay {
	return &Relay{
		targets: targets, faults: make([]linkFault, len(targets)), tunnels: map[statemachine.Conn]*tunnel{},
		lastDialed: statemachine.DialedBit,
	}
}

// Step implements statemachine.Machine.
func (r *Relay) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	r.out = out
	r.timers.runDue(now)
	for _, input := range inputs {
		existing := r.tunnels[input.Conn]
		switch {
		case input.Kind == statemachine.OperatorCommand:
			r.handleCommand(now, input.Text)
		case input.Kind == statemachine.ConnOpened && existing == nil:
			r.accept(input)
		case existing != nil:
			r.handleTunnelInput(now, existing, input)
		}
	}
	r.timers.requestWakeup(out)
}

func (r *Relay) accept(input statemachine.Input) {
	if r.faults[input.Listener].reset {
		r.out.Abort(input.Conn)
		return
	}
	r.lastDialed++
	opened := &tunnel{listener: input.Listener, ends: [2]statemachine.Conn{input.Conn, r.lastDialed}}
	r.tunnels[input.Conn] = opened
	r.tunnels[r.lastDialed] = opened
	r.out.Dial(r.lastDialed, r.targets[input.Listener])
}

func (r *Relay) handleTunnelInput(now statemachine.Seconds, through *tunnel, input statemachine.Input) {
	from := clientEnd
	if input.Conn == through.ends[targetEnd] {
		from = targetEnd
	}
	switch input.Kind {
	case statemachine.ConnOpened:
		through.established = true
		for _, data := range through.beforeDial {
			r.forward(now, through, segment{data: data})
		}
		through.beforeDial = nil
	case statemachine.ConnData:
		if from == clientEnd && !through.established {
			through.beforeDial = append(through.beforeDial, input.Data)
		} else {
			r.forward(now, through, segment{from: from, data: input.Data})
		}
	case statemachine.ConnClosed:
		delete(r.tunnels, input.Conn)
		r.forward(now, through, segment{from: from, closed: true})
	}
}

// forward sends a segment on with the listener's latency and bandwidth, and never before an earlier one.
func (r *Relay) forward(now statemachine.Seconds, through *tunnel, sent segment) {
	if sent.number == 0 {
		through.lastNumber++
		sent.number = through.lastNumber
	}
	if r.holdsBack(through) {
		through.hold(sent)
		return
	}
	fault := r.faults[through.listener]
	sendAt := max(now+fault.latency, through.freeAt[sent.from])
	if fault.bandwidth > 0 {
		sendAt += float64(len(sent.data)) / fault.bandwidth
	}
	through.freeAt[sent.from] = sendAt
	if sendAt <= now {
		r.deliver(through, sent)
		return
	}
	r.timers.schedule(sendAt, func(statemachine.Seconds) {
		if r.holdsBack(through) {
			through.hold(sent)
			return
		}
		r.deliver(through, sent)
	})
}

// holdsBack tells whether a tunnel's traffic must wait for the end of a partition.
func (r *Relay) holdsBack(through *tunnel) bool {
	return r.faults[through.listener].partitioned || len(through.held) > 0
}

// hold keeps a segment for later. One that was delayed when a partition began goes before those that came during it.
func (t *tunnel) hold(sent segment) {
	index := len(t.held)
	for index > 0 && t.held[index-1].number > sent.number {
		index--
	}
	t.held = slices.Insert(t.held, index, sent)
}

func (r *Relay) deliver(through *tunnel, sent segment) {
	receiver := through.ends[1-sent.from]
	if r.tunnels[receiver] != through {
		return
	}
	if sent.closed {
		r.out.Close(receiver)
		delete(r.tunnels, receiver)
		return
	}
	r.out.Write(receiver, sent.data)
}

// handleCommand carries out a scenario's command: set LISTENER PARTITIONED RESET LATENCY BANDWIDTH (flags as 0 and 1), or
// reset LISTENER.
func (r *Relay) handleCommand(now statemachine.Seconds, text string) {
	var listener, partitioned, reset int
	var fault linkFault
	// A text that does not fit the format is tried as the next one: the count of fields says so as well as the error.
	fields, _ := fmt.Sscanf(text, "set %d %d %d %g %g", &listener, &partitioned, &reset, &fault.latency, &fault.bandwidth)
	if fields == 5 && listener < len(r.targets) {
		fault.partitioned = partitioned == 1
		fault.reset = reset == 1
		r.setFault(now, listener, fault)
		return
	}
	if fields, _ := fmt.Sscanf(text, "reset %d", &listener); fields == 1 {
		r.resetConns(listener)
		return
	}
	logUnknownCommand(r.out, text)
}

func (r *Relay) setFault(now statemachine.Seconds, listener int, fault linkFault) {
	r.faults[listener] = fault
	if fault.reset {
		r.resetConns(listener)
	}
	if !fault.partitioned {
		r.release(now, listener)
	}
}

// release forwards what a partition held back.
func (r *Relay) release(now statemachine.Seconds, listener int) {
	released := map[*tunnel]bool{}
	for _, conn := range sortedConns(r.tunnels) {
		through := r.tunnels[conn]
		if through == nil || through.listener != listener || released[through] {
			continue
		}
		released[through] = true
		held := through.held
		through.held = nil
		for _, sent := range held {
			r.forward(now, through, sent)
		}
	}
}

func (r *Relay) resetConns(listener int) {
	for _, conn := range sortedConns(r.tunnels) {
		if r.tunnels[conn].listener == listener {
			r.out.Abort(conn)
			delete(r.tunnels, conn)
		}
	}
}
