package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/proto"
)

// wireOpKinds translates the kinds of table operations for the wire.
var wireOpKinds = map[fanout.OpKind]proto.OpKind{
	fanout.OpSetEntry:  proto.OpLine,
	fanout.OpClear:     proto.OpClear,
	fanout.OpBind:      proto.OpBind,
	fanout.OpAdmission: proto.OpLevel,
	fanout.OpExclude:   proto.OpWithdraw,
	fanout.OpRestore:   proto.OpReadmit,
}

// queuePushes queues what the commands of a step changed for each proxy. The nonce is nil if the step set none; then the
// pushes carry no nonce and are not acknowledged.
func (c *controller) queuePushes(now choice.Seconds, nonce *choice.SetNonce) {
	// Backends that the endpoint list took out of use before a restart are excluded too. The module did not run at that
	// time, so it has no command for them.
	messages, exclusionChanges := c.distributor.Flush(c.checkpoint.Drained)
	var wireNonce, barrier uint64
	if nonce != nil && len(messages) > 0 {
		wireNonce = c.checkpoint.Mark()
		barrier = c.checkpoint.Needs()
	}
	for _, message := range messages {
		push := &queuedPush{
			stream:    c.streamsByNumber[message.To.Proxy],
			step:      c.step,
			orderedAt: now,
			entries:   message.Lines,
			ops:       c.wireOps(message.Ops),
			urgent:    message.Urgent,
		}
		if nonce != nil {
			push.hasNonce = true
			push.nonce = nonce.Nonce
			push.wireNonce = wireNonce
			push.durabilityBarrier = barrier
			push.entries++ // the nonce is charged like a table entry
		}
		c.pushQueue.add(push)
	}
	for _, change := range exclusionChanges {
		c.result.exclusionChanges = append(c.result.exclusionChanges,
			exclusionChange{backend: change.Backend, excluded: change.Excluded, proxies: change.Proxies, nonce: wireNonce})
	}
}

// sendQueued moves pushes from the queue into the result, as far as their rate allows. Pushes wait for the first batch of
// nonces to be durable: after a crash the same nonces would be given out again.
func (c *controller) sendQueued(now choice.Seconds) {
	for c.checkpoint.Open(now) {
		push := c.pushQueue.nextPush(now)
		if push == nil {
			return
		}
		stream := push.stream
		stream.lastSequence++
		if push.hasNonce {
			stream.inFlight = append(stream.inFlight, inFlightPush{
				wireNonce:         push.wireNonce,
				nonce:             push.nonce,
				step:              push.step,
				durabilityBarrier: push.durabilityBarrier,
				orderedAt:         push.orderedAt,
			})
			c.checkpoint.Sent(stream.proxyName, push.wireNonce)
		}
		c.stats.Pushes++
		c.stats.Entries += push.entries
		c.result.pushes = append(c.result.pushes, outgoingPush{stream.id, proto.Push{
			Seq:     stream.lastSequence,
			Waiting: uint64(max(c.pushQueue.queuedEntries, 0)),
			Marked:  push.hasNonce,
			Mark:    push.wireNonce,
			Ops:     push.ops,
		}})
	}
}

// wireOps translates table operations for the wire.
func (c *controller) wireOps(tableOps []fanout.TableOp) []proto.Op {
	ops := make([]proto.Op, 0, len(tableOps))
	for _, tableOp := range tableOps {
		ops = append(ops, c.wireOp(tableOp))
	}
	return ops
}

func (c *controller) wireOp(tableOp fanout.TableOp) proto.Op {
	wireOp := proto.Op{Kind: wireOpKinds[tableOp.Kind]}
	if tableOp.Kind != fanout.OpExclude && tableOp.Kind != fanout.OpRestore {
		wireOp.Table = uint64(tableOp.Table)
	}
	if tableOp.Kind == fanout.OpBind {
		wireOp.Methods = tableOp.Methods
	}
	for _, entry := range tableOp.Entries {
		wireOp.Lines = append(wireOp.Lines, c.wireEntry(entry))
	}
	for _, admission := range tableOp.Admissions {
		wireOp.Levels = append(wireOp.Levels,
			proto.Level{Methods: admission.Methods, Level: admission.Level, Tries: uint64(admission.Retry)})
	}
	for _, backend := range tableOp.Backends {
		wireOp.Withdrawn = append(wireOp.Withdrawn, proto.EP(backend))
	}
	return wireOp
}

// wireEntry adds the backend's address, which the decision module does not know, unless the entry removes the backend.
func (c *controller) wireEntry(entry fanout.TableEntry) proto.Line {
	wire := proto.Line{EP: proto.EP(entry.Backend), Weight: entry.Weight, Shut: entry.Excluded}
	if listed := c.endpoints.backends[entry.Backend]; listed != nil && entry.Weight > 0 {
		wire.Addr = listed.Addr
	}
	return wire
}
