package coordinator

import (
	"testing"

	"gingerfork/internal/proto"
)

// An acknowledgement of a nonce that was sent on an earlier stream, or never sent, or acknowledged before, is ignored.
func TestStaleAndUnknownAcknowledgementsAreIgnored(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "f0")
	harness.advance(0.1)
	staleNonce := harness.pushes(1)[0].Nonce
	harness.step(0.01, closed(1))
	harness.join(2, "f0")
	harness.advance(0.1)
	nonce := harness.pushes(2)[0].Nonce
	harness.step(0.01, data(2, proto.Acknowledgement{Nonce: staleNonce}, proto.Acknowledgement{Nonce: 4711}))
	if stats := harness.machine.Stats(); stats.StaleAcknowledgements != 2 || harness.closed[2] {
		t.Fatalf("want 2 stale acknowledgements and an open stream, got %+v, closed: %v", stats, harness.closed[2])
	}
	harness.step(0.01, data(2, proto.Acknowledgement{Nonce: nonce}, proto.Acknowledgement{Nonce: nonce}))
	if stats := harness.machine.Stats(); stats.StaleAcknowledgements != 3 || harness.closed[2] {
		t.Fatalf("want 3 stale acknowledgements and an open stream, got %+v, closed: %v", stats, harness.closed[2])
	}
}

// An acknowledgement covers the earlier pushes of its stream, but no later ones.
func TestAcknowledgementCoversEarlierPushes(t *testing.T) {
	harness := newHarness(t, nil, nil)
	c := harness.machine.controller
	harness.join(1, "f0")
	stream := c.streams[1]
	stream.inFlight = []inFlightPush{{wireNonce: 7}, {wireNonce: 8}, {wireNonce: 9}}
	c.acknowledge(harness.now, stream, 8)
	if len(stream.inFlight) != 1 || stream.inFlight[0].wireNonce != 9 {
		t.Fatalf("want only nonce 9 in flight, got %+v", stream.inFlight)
	}
	c.acknowledge(harness.now, stream, 7)
	if stats := harness.machine.Stats(); stats.StaleAcknowledgements != 1 {
		t.Fatalf("want 1 stale acknowledgement, got %+v", stats)
	}
}
