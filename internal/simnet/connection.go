package simnet

import (
	"slices"

	"gingerfork/internal/statemachine"
)

const (
	// dialTimeoutSeconds is how long a dial over a partitioned link is retried before it fails.
	dialTimeoutSeconds = 5
	// dialRetryIntervalSeconds is the time between two tries of a dial over a partitioned link.
	dialRetryIntervalSeconds = 0.5
	// splitProbability is the probability that a segment, the data of one write, arrives in two pieces.
	splitProbability = 0.05
)

// Reasons why a connection ended or could not be opened, as the nodes get them in the text of a ConnClosed input.
const (
	reasonReset       = "reset by the other side"
	reasonClosed      = "closed by the other side"
	reasonUnreachable = "can't be reached"
	reasonNoAnswer    = "no answer"
	reasonRefused     = "refused"
)

// connEnd is one node's end of a connection. It belongs to one incarnation of the node's process, the time from one start of that
// process until it ends.
type connEnd struct {
	node        *node
	incarnation int // the node's incarnation that opened the end
	id          statemachine.Conn
	peer        *connEnd // nil until the connection is accepted
	// minNextArrival is the earliest time at which the next segment that this end sends may arrive, which keeps segments in order.
	minNextArrival    statemachine.Seconds
	heldSegments      []segment // segments sent during a partition or in transit when it began; sorted by sequence
	lastSequence      int       // sequence number of the last segment that this end sent
	open              bool
	closed            bool
	resetNotDelivered bool // the process was killed during a partition, so the peer received no reset
}

// segment is the data of one write, or the notice that the sender closed the connection.
type segment struct {
	sequence int // from 1, counted for each sending end; 0: not assigned yet
	data     []byte
	closes   bool
	reason   string // why the connection was closed; empty for data
}

// alive reports whether the end is open or being dialed, and the process that owns it still runs.
func (e *connEnd) alive() bool {
	return !e.closed && e.node.up && e.node.incarnation == e.incarnation
}

// hold keeps a segment until the partition ends. Held segments are sorted by the order in which they were sent.
func (e *connEnd) hold(waiting segment) {
	index := len(e.heldSegments)
	for index > 0 && e.heldSegments[index-1].sequence > waiting.sequence {
		index--
	}
	e.heldSegments = slices.Insert(e.heldSegments, index, waiting)
}

// dial opens a connection to an address. Over a partitioned link it tries again until the deadline.
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
		n.Schedule(n.now+dialRetryIntervalSeconds, func() {
			if end.alive() {
				n.dial(dialer, conn, address, deadline)
			}
		})
		return
	}
	oneWayDelay := n.latency(dialer, target.node) + fault.ExtraLatency
	n.Schedule(n.now+oneWayDelay, func() {
		switch {
		case !end.alive():
		case !target.node.up || fault.Reset:
			n.Schedule(n.now+oneWayDelay, func() { n.failDial(end, reasonRefused) })
		default:
			n.accept(end, target, oneWayDelay)
		}
	})
}

// failDial reports to the dialing node that its connection could not be opened.
func (n *Network) failDial(end *connEnd, reason string) {
	if end.alive() {
		end.closed = true
		n.notifyClosed(end, reason)
	}
}

// accept opens a connection: at the listening node at once, and at the dialing node after the one-way delay.
func (n *Network) accept(dialed *connEnd, target listener, oneWayDelay statemachine.Seconds) {
	target.node.lastAccepted++
	accepted := &connEnd{
		node:           target.node,
		incarnation:    target.node.incarnation,
		id:             target.node.lastAccepted,
		peer:           dialed,
		open:           true,
		minNextArrival: n.now + oneWayDelay, // data sent at once must not arrive before the dialing end is open
	}
	dialed.peer = accepted
	target.node.conns[accepted.id] = accepted
	n.deliver(target.node, statemachine.Input{Kind: statemachine.ConnOpened, Conn: accepted.id, Listener: target.index})
	n.Schedule(n.now+oneWayDelay, func() {
		if dialed.alive() {
			dialed.open = true
			n.deliver(dialed.node, statemachine.Input{Kind: statemachine.ConnOpened, Conn: dialed.id})
		} else if !accepted.closed && accepted.node.conns[accepted.id] == accepted {
			accepted.closed = true
			n.notifyClosed(accepted, reasonReset)
		}
	})
}

// closeEnd closes an end for its own node and sends the close, with its reason, to the peer.
func (n *Network) closeEnd(end *connEnd, reason string) {
	end.closed = true
	delete(end.node.conns, end.id)
	if end.peer != nil {
		n.send(end, segment{closes: true, reason: reason})
	}
}

// notifyClosed removes a closed end and tells its node why the connection was closed.
func (n *Network) notifyClosed(end *connEnd, reason string) {
	delete(end.node.conns, end.id)
	n.deliver(end.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: end.id, Text: reason})
}

// send transmits a segment to the peer of an end, or holds it while the link is partitioned.
func (n *Network) send(end *connEnd, sent segment) {
	peer := end.peer
	if peer == nil {
		return
	}
	fault := n.faultBetween(end.node, peer.node)
	if peer.resetNotDelivered && !fault.Partitioned && !end.closed {
		// The first write after a partition is answered with a reset if the peer's process was killed meanwhile.
		end.closed = true
		n.notifyClosed(end, reasonReset)
	}
	if !peer.alive() {
		return
	}
	if sent.sequence == 0 {
		end.lastSequence++
		sent.sequence = end.lastSequence
	}
	if fault.Partitioned || len(end.heldSegments) > 0 {
		end.hold(sent)
		return
	}
	arrival := n.now + n.latency(end.node, peer.node) + fault.ExtraLatency
	if fault.Bandwidth > 0 {
		arrival += float64(len(sent.data)) / fault.Bandwidth
	}
	end.minNextArrival = max(end.minNextArrival, arrival)
	n.Schedule(end.minNextArrival, func() { n.arrive(end, sent) })
}

// arrive delivers a segment that an end sent. It holds the segment if a partition began while the segment was in transit.
func (n *Network) arrive(end *connEnd, sent segment) {
	peer := end.peer
	if !peer.alive() {
		return
	}
	if n.faultBetween(end.node, peer.node).Partitioned || len(end.heldSegments) > 0 {
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
		// The sender was killed while the segment was in transit: only a random part of the data arrives.
		received := int(n.random.Float64() * float64(len(data)+1))
		data = data[:received]
	}
	n.deliverData(peer, data)
}

// deliverData delivers data in one piece or, with splitProbability, in two.
func (n *Network) deliverData(receiver *connEnd, data []byte) {
	if len(data) > 1 && n.random.Float64() < splitProbability {
		splitAt := 1 + int(n.random.Float64()*float64(len(data)-1))
		n.deliver(receiver.node, statemachine.Input{Kind: statemachine.ConnData, Conn: receiver.id, Data: data[:splitAt]})
		data = data[splitAt:]
	}
	if len(data) > 0 {
		n.deliver(receiver.node, statemachine.Input{Kind: statemachine.ConnData, Conn: receiver.id, Data: data})
	}
}
