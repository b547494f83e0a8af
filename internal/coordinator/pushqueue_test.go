package coordinator

import (
	"fmt"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// The exclusion for a drain that comes while full tables wait at a low push rate goes ahead, behind its proxy's own table.
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
		t.Fatalf("only %d of %d tables wait: the push rate is too high for the test", waiting, proxies)
	}
	harness.advance(0.5)
	if excluded, empty := harness.excludedAndWithoutPush(proxies, 1); excluded == 0 || empty == 0 {
		t.Errorf("%d proxies have the exclusion while %d have no table, want some of both", excluded, empty)
	}
	harness.advance(6)
	for i := range proxies {
		pushes := harness.pushes(statemachine.Conn(i + 1))
		for j, push := range pushes {
			if push.Sequence != uint64(j+1) {
				t.Fatalf("proxy %d: push %d comes as number %d", i, push.Sequence, j+1)
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

// Three hundred joins at the same time take one step of the decision module; their tables keep to the push rate and limits.
func TestManyJoinsAtOnce(t *testing.T) {
	const proxies = 300
	harness := newHarness(t, map[string]any{"proxies": float64(proxies)}, nil)
	harness.serveEndpoints(40)
	before := harness.machine.Stats().Steps
	harness.joinMany(proxies)
	if steps := harness.machine.Stats().Steps - before; steps > 1 {
		t.Fatalf("%d steps of the decision module", steps)
	}
	harness.advance(2)
	for i := range proxies {
		pushes := harness.pushes(statemachine.Conn(i + 1))
		if len(pushes) == 0 || len(routableBackends(pushes)) < 3 {
			t.Fatalf("proxy %d has no table: %+v", i, pushes)
		}
	}
	if stats := harness.machine.Stats(); stats.MaxQueuedEntries > 20000 {
		t.Fatalf("%d table entries waited", stats.MaxQueuedEntries)
	}
}

// The acknowledgement of a push that went ahead must not tell the decision module that the pushes it overtook were sent.
func TestAcknowledgementOfExclusionWaitsForOvertakenPushes(t *testing.T) {
	controller := newController(choice.Config{Now: 10, Settings: testSettings(map[string]any{"channel_pace": 100.0})}, nil)
	streams := make([]*proxyStream, 3)
	for i := range streams {
		mustHandle(t, controller, 10, proxyJoined{streamID(i + 1), hello(fmt.Sprint("f", i))})
		streams[i] = controller.streams[streamID(i+1)]
	}
	controller.pushQueue.nextSendAt = 20 // nothing is sent before
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
		t.Fatalf("the exclusion is not sent first: %+v", controller.result.pushes)
	}
	controller.pendingEvents = nil
	controller.acknowledge(10.6, streams[2], 3)
	controller.releaseAcknowledgements(10.6)
	if len(controller.pendingEvents) != 0 {
		t.Fatal("the acknowledgement was released with two overtaken pushes in the queue")
	}
	controller.sendQueued(30)
	controller.sendQueued(31)
	controller.releaseAcknowledgements(31)
	if len(controller.pendingEvents) != 1 || controller.pushQueue.queuedEntries != 0 {
		t.Fatalf("%d acknowledgements released, %d table entries queued",
			len(controller.pendingEvents), controller.pushQueue.queuedEntries)
	}
}
