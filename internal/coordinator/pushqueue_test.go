package coordinator

import (
	"fmt"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// If a drain comes while full tables wait at a low push rate, its exclusions are sent before the tables of other proxies, but
// each after the table of its own proxy.
func TestExclusionOvertakesQueuedPushes(t *testing.T) {
	const proxies = 20
	harness := newHarness(t, map[string]any{"channel_pace": 200.0, "messages": 0.0}, nil)
	harness.serveEndpoints(6)
	harness.joinMany(proxies)
	harness.advance(0.02)
	harness.updateEndpoints(listEntry(1, proto.BackendDraining))
	harness.step(0.005)
	waiting := 0
	for i := range proxies {
		if len(harness.received[statemachine.Conn(i+1)]) == 1 {
			waiting++
		}
	}
	if waiting < 10 {
		t.Fatalf("only %d of %d tables wait: the push rate is too high for this test", waiting, proxies)
	}
	harness.advance(0.5)
	if excluded, withoutPush := harness.excludedAndWithoutPush(proxies, 1); excluded == 0 || withoutPush == 0 {
		t.Errorf("%d proxies have the exclusion and %d have no push yet, want some of both", excluded, withoutPush)
	}
	harness.advance(6)
	for i := range proxies {
		pushes := harness.pushes(statemachine.Conn(i + 1))
		for j, push := range pushes {
			if push.Sequence != uint64(j+1) {
				t.Fatalf("proxy %d: got the push with sequence number %d, want %d", i, push.Sequence, j+1)
			}
		}
		if routableBackends(pushes)[1] {
			t.Errorf("proxy %d may still send to the draining backend", i)
		}
	}
}

// excludedAndWithoutPush counts the proxies that received the exclusion of a backend and those that received no push yet.
func (h *harness) excludedAndWithoutPush(proxies int, backend proto.BackendID) (excluded, withoutPush int) {
	for i := range proxies {
		var pushes []proto.Push
		for _, message := range h.received[statemachine.Conn(i+1)] {
			if push, ok := message.(proto.Push); ok {
				pushes = append(pushes, push)
			}
		}
		if hasOp(pushes, proto.OpExclude, backend) {
			excluded++
		}
		if len(pushes) == 0 {
			withoutPush++
		}
	}
	return excluded, withoutPush
}

// If 300 proxies join at the same time, the decision module takes only one step, all of them receive a table, and the size of
// the push queue stays within its limit.
func TestManyJoinsAtOnce(t *testing.T) {
	const proxies = 300
	harness := newHarness(t, map[string]any{"proxies": float64(proxies)}, nil)
	harness.serveEndpoints(40)
	before := harness.machine.Stats().Steps
	harness.joinMany(proxies)
	if steps := harness.machine.Stats().Steps - before; steps > 1 {
		t.Fatalf("%d steps of the decision module, want at most 1", steps)
	}
	harness.advance(2)
	for i := range proxies {
		pushes := harness.pushes(statemachine.Conn(i + 1))
		if len(pushes) == 0 || len(routableBackends(pushes)) < 3 {
			t.Fatalf("proxy %d has no table with at least 3 backends: %+v", i, pushes)
		}
	}
	if stats := harness.machine.Stats(); stats.MaxQueuedEntries > 20000 {
		t.Fatalf("up to %d table entries were queued, want at most 20000", stats.MaxQueuedEntries)
	}
}

// The decision module takes an acknowledgement as proof that all earlier pushes were sent. So the acknowledgement of a push
// that overtook others is held back until those were sent.
func TestAcknowledgementOfExclusionWaitsForOvertakenPushes(t *testing.T) {
	controller := newController(choice.Config{Now: 10, Settings: testSettings(map[string]any{"channel_pace": 100.0})}, nil)
	streams := make([]*proxyStream, 3)
	for i := range streams {
		mustHandle(t, controller, 10, proxyJoined{streamID(i + 1), hello(fmt.Sprint("f", i))})
		streams[i] = controller.streams[streamID(i+1)]
	}
	controller.pushQueue.nextSendAt = 20 // no push is sent before that time
	for i, stream := range streams {
		controller.pushQueue.add(&queuedPush{
			stream: stream, step: uint64(i + 1), entries: 10, hasNonce: true, nonce: choice.Nonce(i + 1),
			wireNonce: uint64(i + 1), urgent: i == 2,
		})
	}
	controller.result = stepResult{}
	controller.pushQueue.nextSendAt = 10.5
	controller.sendQueued(10.5)
	if len(controller.result.pushes) != 1 || controller.result.pushes[0].stream != 3 {
		t.Fatalf("want only the exclusion to be sent at first, got %+v", controller.result.pushes)
	}
	controller.pendingEvents = nil
	controller.acknowledge(10.6, streams[2], 3)
	controller.releaseAcknowledgements(10.6)
	if len(controller.pendingEvents) != 0 {
		t.Fatal("the acknowledgement was released while two overtaken pushes were queued")
	}
	controller.sendQueued(30)
	controller.sendQueued(31)
	controller.releaseAcknowledgements(31)
	if len(controller.pendingEvents) != 1 || controller.pushQueue.queuedEntries != 0 {
		t.Fatalf("%d acknowledgements released, %d table entries queued, want 1 and 0",
			len(controller.pendingEvents), controller.pushQueue.queuedEntries)
	}
}
