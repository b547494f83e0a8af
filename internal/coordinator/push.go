package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/proto"
)

// wireOpKinds maps the kinds of table operations to those on the wire.
var wireOpKinds = map[fanout.OpKind]proto.OpKind{
	fanout.OpSetEntry:  proto.OpSetEntry,
	fanout.OpClear:     proto.OpClear,
	fanout.OpBind:      proto.OpBind,
	fanout.OpAdmission: proto.OpAdmission,
	fanout.OpExclude:   proto.OpExclude,
	fanout.OpRestore:   proto.OpRestore,
}

// queuePushes queues one push for each proxy for which the commands of a step changed something. If the step set no nonce,
// nonce is nil, and the pushes have none and are not acknowledged.
func (c *controller) queuePushes(now choice.Seconds, nonce *choice.SetNonce) {
	// Backends that the endpoint list took out of service before a restart are excluded, too. This instance of the module did
	// not run at that time, so it has no commands for them.
	messages, exclusionChanges := c.distributor.Flush(c.checkpoint.DrainedBackends)
	var wireNonce, barrier uint64
	if nonce != nil && len(messages) > 0 {
		wireNonce = c.checkpoint.NextNonce()
		barrier = c.checkpoint.DurabilityBarrier()
	}
	for _, message := range messages {
		push := &queuedPush{
			stream:    c.streamsByNumber[message.To.Proxy],
			step:      c.step,
			orderedAt: now,
			entries:   message.EntryCount,
			ops:       c.wireOps(message.Ops),
			urgent:    message.Urgent,
		}
		if nonce != nil {
			push.hasNonce = true
			push.nonce = nonce.Nonce
			push.wireNonce = wireNonce
			push.durabilityBarrier = barrier
			push.entries++ // the nonce counts as a table entry
		}
		c.pushQueue.add(push)
	}
	for _, change := range exclusionChanges {
		c.result.exclusionChanges = append(c.result.exclusionChanges,
			exclusionChange{backend: change.Backend, excluded: change.Excluded, proxies: change.Proxies, nonce: wireNonce})
	}
}

// sendQueued moves pushes from the queue to the result, as far as the push rate allows. All pushes wait until the first
// reservation of nonces is durable, because otherwise the same nonces would be used again after a crash; see
// checkpoint.Checkpointer.NoncesReady.
func (c *controller) sendQueued(now choice.Seconds) {
	for c.checkpoint.NoncesReady(now) {
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
			c.checkpoint.PushSent(stream.proxyName, push.wireNonce)
		}
		c.stats.Pushes++
		c.stats.Entries += push.entries
		c.result.pushes = append(c.result.pushes, outgoingPush{stream.id, proto.Push{
			Sequence:      stream.lastSequence,
			QueuedEntries: uint64(max(c.pushQueue.queuedEntries, 0)),
			HasNonce:      push.hasNonce,
			Nonce:         push.wireNonce,
			Ops:           push.ops,
		}})
	}
}

// wireOps converts table operations to those on the wire.
func (c *controller) wireOps(tableOps []fanout.TableOp) []proto.TableOp {
	ops := make([]proto.TableOp, 0, len(tableOps))
	for _, tableOp := range tableOps {
		ops = append(ops, c.wireOp(tableOp))
	}
	return ops
}

func (c *controller) wireOp(tableOp fanout.TableOp) proto.TableOp {
	wireOp := proto.TableOp{Kind: wireOpKinds[tableOp.Kind]}
	if tableOp.Kind != fanout.OpExclude && tableOp.Kind != fanout.OpRestore {
		wireOp.Table = uint64(tableOp.Table)
	}
	if tableOp.Kind == fanout.OpBind {
		wireOp.Methods = tableOp.Methods
	}
	for _, entry := range tableOp.Entries {
		wireOp.Entries = append(wireOp.Entries, c.wireEntry(entry))
	}
	for _, admission := range tableOp.Admissions {
		wireOp.Admissions = append(wireOp.Admissions,
			proto.Admission{Methods: admission.Methods, Level: admission.Level, Retry: uint64(admission.Retry)})
	}
	for _, backend := range tableOp.Backends {
		wireOp.Backends = append(wireOp.Backends, proto.BackendID(backend))
	}
	return wireOp
}

// wireEntry converts a table entry to that on the wire. Unless the entry removes the backend, it adds the backend's address,
// which the decision module does not know.
func (c *controller) wireEntry(entry fanout.TableEntry) proto.TableEntry {
	wireEntry := proto.TableEntry{Backend: proto.BackendID(entry.Backend), Weight: entry.Weight, Excluded: entry.Excluded}
	if listed := c.endpoints.backends[entry.Backend]; listed != nil && entry.Weight > 0 {
		wireEntry.Addr = listed.Addr
	}
	return wireEntry
}
