package coordinator

import (
	"slices"

	"gingerfork/choice"
)

// inFlightPush is a push that was sent and is not acknowledged yet.
type inFlightPush struct {
	wireNonce         uint64         // the nonce that the proxy was sent
	nonce             choice.Nonce   // the decision module's own nonce
	step              uint64         // number of the module's step that ordered the push
	durabilityBarrier uint64         // number of the batch that must be durable before the acknowledgement counts
	orderedAt         choice.Seconds // time of the step that ordered the push
}

// heldAcknowledgement is an acknowledgement that was received and not passed on to the decision module yet.
type heldAcknowledgement struct {
	step              uint64 // number of the module's step that ordered the push
	durabilityBarrier uint64 // number of the batch that must be durable before the acknowledgement is passed on
	acknowledgement   choice.PushAcknowledged
	stream            *proxyStream
}

// acknowledge accepts the acknowledgement of a nonce that is in flight on the given stream. Any other nonce is counted as
// stale and ignored: a proxy may acknowledge late, twice, or a push of an earlier stream.
func (c *controller) acknowledge(now choice.Seconds, stream *proxyStream, wireNonce uint64) {
	i := slices.IndexFunc(stream.inFlight, func(p inFlightPush) bool { return p.wireNonce == wireNonce })
	if i < 0 {
		c.stats.StaleAcknowledgements++
		return
	}
	push := stream.inFlight[i]
	// An acknowledgement covers all earlier pushes of the stream.
	stream.inFlight = slices.Delete(stream.inFlight, 0, i+1)
	c.checkpoint.PushAcknowledged(stream.proxyName, wireNonce)
	c.heldAcknowledgements = append(c.heldAcknowledgements, heldAcknowledgement{
		step:              push.step,
		durabilityBarrier: push.durabilityBarrier,
		acknowledgement:   choice.PushAcknowledged{Proxy: stream.proxy, Nonce: push.nonce, Delay: now - push.orderedAt},
		stream:            stream,
	})
}

// releaseAcknowledgements passes acknowledgements on to the decision module, which takes one as proof that all pushes of
// earlier steps have been sent. Exclusions overtake queued pushes, so an acknowledgement is held until that is true.
// An acknowledgement is also held until the drains that it covers are durable: a crash must not lose an exclusion that the
// module takes for completed.
func (c *controller) releaseAcknowledgements(now choice.Seconds) {
	oldestQueued, queued := c.pushQueue.oldestStep()
	stillHeld := c.heldAcknowledgements[:0]
	for _, held := range c.heldAcknowledgements {
		if queued && held.step > oldestQueued || !c.checkpoint.BarrierReached(now, held.durabilityBarrier) {
			stillHeld = append(stillHeld, held)
			continue
		}
		c.pendingEvents = append(c.pendingEvents, held.acknowledgement)
	}
	clear(c.heldAcknowledgements[len(stillHeld):])
	c.heldAcknowledgements = stillHeld
}
