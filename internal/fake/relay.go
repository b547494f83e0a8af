package fake

import (
	"fmt"
	"slices"

	"gingerfork/internal/statemachine"
)

// Relay forwards bytes between clients and targets, with one listener for each target. On command it injects network faults into
// the traffic of single listeners. It implements statemachine.Machine.
type Relay struct {
	targets    []string    // address of the target, by listener
	faults     []linkFault // by listener
	pairs      map[statemachine.Conn]*connPair
	lastDialed statemachine.Conn
	timers     timers
	out        *statemachine.Effects
}

// linkFault describes the faults of one listener's traffic. The zero value is no fault.
type linkFault struct {
	// partitioned holds traffic until the partition ends and then delivers it, as a network that recovers does.
	partitioned bool
	reset       bool                 // reset open and new connections
	latency     statemachine.Seconds // time that the relay adds to the delivery of data, one way
	bandwidth   float64              // bytes per second of each connection pair and direction; 0: unlimited
}

// The two ends of a connection pair.
const (
	clientEnd = 0
	targetEnd = 1
)

// connPair is a client's connection to the relay and the relay's connection to the target.
type connPair struct {
	listener     int
	ends         [2]statemachine.Conn
	established  bool
	pendingData  [][]byte                // data from the client, kept until the connection to the target is established
	heldSegments []segment               // segments held during a partition, sorted by sequence
	lastSequence int                     // sequence number of the pair's last segment
	nextSendAt   [2]statemachine.Seconds // by sending end: the earliest time at which the next segment may be sent on
}

// segment is data that one end sent, or the notice that its connection was closed.
type segment struct {
	sequence   int // from 1, counted for each connection pair; 0: not assigned yet
	sendingEnd int // clientEnd or targetEnd
	data       []byte
	closes     bool
}

// NewRelay returns a relay with a listener for each target address.
func NewRelay(targets ...string) *Relay {
	return &Relay{
		targets: targets, faults: make([]linkFault, len(targets)), pairs: map[statemachine.Conn]*connPair{},
		lastDialed: statemachine.DialedBit,
	}
}

// Step implements statemachine.Machine.
func (r *Relay) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	r.out = out
	r.timers.runDue(now)
	for _, input := range inputs {
		pair := r.pairs[input.Conn]
		switch {
		case input.Kind == statemachine.OperatorCommand:
			r.handleCommand(now, input.Text)
		case input.Kind == statemachine.ConnOpened && pair == nil:
			r.accept(input)
		case pair != nil:
			r.handlePairInput(now, pair, input)
		}
	}
	r.timers.requestWakeup(out)
}

// accept dials the target for a client's new connection, or resets the connection if the listener's fault says so.
func (r *Relay) accept(input statemachine.Input) {
	if r.faults[input.Listener].reset {
		r.out.Abort(input.Conn)
		return
	}
	r.lastDialed++
	pair := &connPair{listener: input.Listener, ends: [2]statemachine.Conn{input.Conn, r.lastDialed}}
	r.pairs[input.Conn] = pair
	r.pairs[r.lastDialed] = pair
	r.out.Dial(r.lastDialed, r.targets[input.Listener])
}

// handlePairInput handles an input on one of the two connections of a pair.
func (r *Relay) handlePairInput(now statemachine.Seconds, pair *connPair, input statemachine.Input) {
	sendingEnd := clientEnd
	if input.Conn == pair.ends[targetEnd] {
		sendingEnd = targetEnd
	}
	switch input.Kind {
	case statemachine.ConnOpened:
		pair.established = true
		for _, data := range pair.pendingData {
			r.forward(now, pair, segment{data: data})
		}
		pair.pendingData = nil
	case statemachine.ConnData:
		if sendingEnd == clientEnd && !pair.established {
			pair.pendingData = append(pair.pendingData, input.Data)
		} else {
			r.forward(now, pair, segment{sendingEnd: sendingEnd, data: input.Data})
		}
	case statemachine.ConnClosed:
		delete(r.pairs, input.Conn)
		r.forward(now, pair, segment{sendingEnd: sendingEnd, closes: true})
	}
}

// forward sends a segment to the other end with the listener's latency and bandwidth, and never before an earlier segment of the
// same end. During a partition it holds the segment.
func (r *Relay) forward(now statemachine.Seconds, pair *connPair, sent segment) {
	if sent.sequence == 0 {
		pair.lastSequence++
		sent.sequence = pair.lastSequence
	}
	if r.mustHold(pair) {
		pair.hold(sent)
		return
	}
	fault := r.faults[pair.listener]
	sendAt := max(now+fault.latency, pair.nextSendAt[sent.sendingEnd])
	if fault.bandwidth > 0 {
		sendAt += float64(len(sent.data)) / fault.bandwidth
	}
	pair.nextSendAt[sent.sendingEnd] = sendAt
	if sendAt <= now {
		r.deliver(pair, sent)
		return
	}
	r.timers.schedule(sendAt, func(statemachine.Seconds) {
		if r.mustHold(pair) {
			pair.hold(sent)
			return
		}
		r.deliver(pair, sent)
	})
}

// mustHold reports whether a pair's segments must be held: during a partition, and while earlier segments are held.
func (r *Relay) mustHold(pair *connPair) bool {
	return r.faults[pair.listener].partitioned || len(pair.heldSegments) > 0
}

// hold keeps a segment until the partition ends. The order is that of the sequence numbers: a segment that was delayed by latency
// when the partition began precedes those that came during it.
func (p *connPair) hold(held segment) {
	index := len(p.heldSegments)
	for index > 0 && p.heldSegments[index-1].sequence > held.sequence {
		index--
	}
	p.heldSegments = slices.Insert(p.heldSegments, index, held)
}

// deliver writes a segment to the other end, or closes it. It does nothing if that end is closed.
func (r *Relay) deliver(pair *connPair, sent segment) {
	receiver := pair.ends[1-sent.sendingEnd]
	if r.pairs[receiver] != pair {
		return
	}
	if sent.closes {
		r.out.Close(receiver)
		delete(r.pairs, receiver)
		return
	}
	r.out.Write(receiver, sent.data)
}

// handleCommand executes a scenario's command: "set LISTENER PARTITIONED RESET LATENCY BANDWIDTH" sets a listener's fault, where
// PARTITIONED and RESET are 0 or 1, and "reset LISTENER" resets its open connections.
func (r *Relay) handleCommand(now statemachine.Seconds, text string) {
	var listener, partitioned, reset int
	var fault linkFault
	// The error is not needed: a text in another format has fewer scanned fields.
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

// setFault replaces the fault of a listener. Then it resets the listener's connections if the new fault says so, and forwards
// held segments unless the new fault is a partition.
func (r *Relay) setFault(now statemachine.Seconds, listener int, fault linkFault) {
	r.faults[listener] = fault
	if fault.reset {
		r.resetConns(listener)
	}
	if !fault.partitioned {
		r.releaseHeld(now, listener)
	}
}

// releaseHeld forwards the segments of a listener that were held during a partition.
func (r *Relay) releaseHeld(now statemachine.Seconds, listener int) {
	visited := map[*connPair]bool{}
	for _, conn := range sortedConns(r.pairs) {
		pair := r.pairs[conn]
		if pair == nil || pair.listener != listener || visited[pair] {
			continue
		}
		visited[pair] = true
		held := pair.heldSegments
		pair.heldSegments = nil
		for _, sent := range held {
			r.forward(now, pair, sent)
		}
	}
}

// resetConns resets all connections of a listener, at both ends.
func (r *Relay) resetConns(listener int) {
	for _, conn := range sortedConns(r.pairs) {
		if r.pairs[conn].listener == listener {
			r.out.Abort(conn)
			delete(r.pairs, conn)
		}
	}
}
