package simnet

import (
	"slices"

	"gingerfork/internal/statemachine"
)

const (
	// dialTimeout is how long a dial over a partitioned link goes on, in seconds, and dialRetryInterval how often it tries.
	dialTimeout       = 5
	dialRetryInterval = 0.5
	// splitProbability is how probable it is that a segment arrives in two pieces.
	splitProbability = 0.05
)

// Reasons for the end of a connection, as the nodes see them.
const (
	reasonReset       = "reset by the other side"
	reasonClosed      = "closed by the other side"
	reasonUnreachable = "can't be reached"
	reasonNoAnswer    = "no answer"
	reasonRefused     = "refused"
)

// connEnd is one node's end of a connection.
type connEnd struct {
	node        *node
	incarnation int // of the node
	id          statemachine.Conn
	peer        *connEnd // nil until the connection is accepted
	// nextArrival is the earliest time at which the next segment may arrive: segments keep their order.
	nextArrival statemachine.Seconds
	held        []segment // sent during a partition or in transit when it began, by number
	sent        int       // number of the last segment
	open        bool
	closed      bool
	resetLost   bool // the process died during a partition, so that the peer was not told
}

// segment is what one write sends, or the end of the connection.
type segment struct {
	number int // from 1, among those that the end sent
	data   []byte
	closes bool
	reason string // for the close
}

// alive tells whether the end is open, or being dialed, by a process that still runs.
func (e *connEnd) alive() bool {
	return !e.closed && e.node.up && e.node.incarnation == e.incarnation
}

// hold keeps a segment until a partition ends, in the order in which the segments were sent.
func (e *connEnd) hold(waiting segment) {
	at := len(e.held)
	for at > 0 && e.held[at-1].number > waiting.number {
		at--
	}
	e.held = slices.Insert(e.held, at, waiting)
}

func (n *Network) dial(dialer *node, conn statemachine.Conn, address string, deadline statemachine.Seconds) {
	end := dialer.conns[conn]
	if end == nil {
		end = &connEnd{node: dialer, incarnation: dialer.incarnation, id: conn}
		dialer.conns[conn] = end
	}
	target, known := n.listeners[address]
	if !known {
		n.failDial(end, reasonUnreachable)
		return
	}
	fault := n.faultBetween(dialer, target.node)
	if fault.Partitioned {
		if n.now >= deadline {
			n.failDial(end, reasonNoAnswer)
			return
		}
		n.Schedule(n.now+dialRetryInterval, func() {
			if end.alive() {
				n.dial(dialer, conn, address, deadline)
			}
		})
		return
	}
	trip := n.latency(dialer, target.node) + fault.ExtraLatency
	n.Schedule(n.now+trip, func() {
		switch {
		case !end.alive():
		case !target.node.up || fault.Reset:
			n.Schedule(n.now+trip, func() { n.failDial(end, reasonRefused) })
		default:
			n.accept(end, target, trip)
		}
	})
}

func (n *Network) failDial(end *connEnd, reason string) {
	if end.alive() {
		end.closed = true
		n.notifyClosed(end, reason)
	}
}

// accept opens a connection at the listening node, and one trip later at the dialing node.
func (n *Network) accept(dialed *connEnd, target listener, trip statemachine.Seconds) {
	target.node.accepted++
	accepted := &connEnd{
		node:        target.node,
		incarnation: target.node.incarnation,
		id:          target.node.accepted,
		peer:        dialed,
		open:        true,
		nextArrival: n.now + trip, // what it sends at once may not arrive before the connection is open there
	}
	dialed.peer = accepted
	target.node.conns[accepted.id] = accepted
	n.deliver(target.node, statemachine.Input{Kind: statemachine.ConnOpened, Conn: accepted.id, Listener: target.index})
	n.Schedule(n.now+trip, func() {
		if dialed.alive() {
			dialed.open = true
			n.deliver(dialed.node, statemachine.Input{Kind: statemachine.ConnOpened, Conn: dialed.id})
		} else if !accepted.closed && accepted.node.conns[accepted.id] == accepted {
			accepted.closed = true
			n.notifyClosed(accepted, reasonReset)
		}
	})
}

// closeEnd closes a connection from the end's side.
func (n *Network) closeEnd(end *connEnd, reason string) {
	end.closed = true
	delete(end.node.conns, end.id)
	if end.peer != nil {
		n.send(end, segment{closes: true, reason: reason})
	}
}

// notifyClosed removes a closed end and tells its node why it was closed.
func (n *Network) notifyClosed(end *connEnd, reason string) {
	delete(end.node.conns, end.id)
	n.deliver(end.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: end.id, Text: reason})
}

// send transmits a segment to the peer of an end.
func (n *Network) send(end *connEnd, sent segment) {
	peer := end.peer
	if peer == nil {
		return
	}
	fault := n.faultBetween(end.node, peer.node)
	if peer.resetLost && !fault.Partitioned && !end.closed {
		// The first write after the partition is answered by a reset, because the peer's process is gone.
		end.closed = true
		n.notifyClosed(end, reasonReset)
	}
	if !peer.alive() {
		return
	}
	if sent.number == 0 {
		end.sent++
		sent.number = end.sent
	}
	if fault.Partitioned || len(end.held) > 0 {
		end.hold(sent)
		return
	}
	arrival := n.now + n.latency(end.node, peer.node) + fault.ExtraLatency
	if fault.Bandwidth > 0 {
		arrival += float64(len(sent.data)) / fault.Bandwidth
	}
	end.nextArrival = max(end.nextArrival, arrival)
	n.Schedule(end.nextArrival, func() { n.arrive(end, sent) })
}

// arrive delivers a segment that an end sent, unless a partition began while it was in transit.
func (n *Network) arrive(end *connEnd, sent segment) {
	peer := end.peer
	if !peer.alive() {
		return
	}
	if n.faultBetween(end.node, peer.node).Partitioned || len(end.held) > 0 {
		end.hold(sent)
		return
	}
	if sent.closes {
		peer.closed = true
		n.notifyClosed(peer, sent.reason)
		return
	}
	data := sent.data
	if end.closed && end.incarnation != end.node.incarnation || !end.node.up {
		// The sender was killed while this was in transit: the rest of it is lost.
		received := int(n.random.Float64() * float64(len(data)+1))
		data = data[:received]
	}
	n.deliverData(peer, data)
}

// deliverData delivers data in one piece or, now and then, in two.
func (n *Network) deliverData(receiver *connEnd, data []byte) {
	if len(data) > 1 && n.random.Float64() < splitProbability {
		at := 1 + int(n.random.Float64()*float64(len(data)-1))
		n.deliver(receiver.node, statemachine.Input{Kind: statemachine.ConnData, Conn: receiver.id, Data: data[:at]})
		data = data[at:]
	}
	if len(data) > 0 {
		n.deliver(receiver.node, statemachine.Input{Kind: statemachine.ConnData, Conn: receiver.id, Data: data})
	}
}
