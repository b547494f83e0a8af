package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// A proxy joins, receives its full table and acknowledges it. Then a backend of the table drains, and the proxy is sent its
// exclusion.
func TestDrainExcludesBackend(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "f0")
	harness.advance(0.1)
	pushes := harness.pushes(1)
	if len(pushes) != 1 || !pushes[0].HasNonce || pushes[0].Sequence != 1 {
		t.Fatalf("want one first push with a nonce, got %+v", pushes)
	}
	lastOp := pushes[0].Ops[len(pushes[0].Ops)-1]
	if lastOp.Kind != proto.OpBind || len(lastOp.Entries) < 3 {
		t.Fatalf("want a full table of 3 entries or more, got %+v", pushes)
	}
	harness.step(0.01, data(1, proto.Acknowledgement{Nonce: pushes[0].Nonce}))
	backend := lastOp.Entries[0].Backend
	harness.updateEndpoints(listEntry(int(backend), proto.BackendDraining))
	harness.advance(0.1)
	if pushes := harness.pushes(1); !hasOp(pushes, proto.OpExclude, backend) {
		t.Fatalf("backend %d was not excluded: %+v", backend, pushes)
	}
	if !harness.logged(strings.HasPrefix, fmt.Sprintf("backend excluded[backend %d nonce 2", backend)) {
		t.Errorf("the exclusion was not logged: %q", harness.logs)
	}
	if stats := harness.machine.Stats(); stats.Joins != 1 || stats.StaleAcknowledgements != 0 || stats.Pushes != 2 {
		t.Errorf("want 1 join, 2 pushes and no stale acknowledgement, got %+v", stats)
	}
}

// A proxy that does not acknowledge a push is sent its full table again, and no other push before that.
func TestUnacknowledgedPushIsFollowedByFullTable(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "f0")
	harness.advance(0.1)
	first := len(harness.pushes(1))
	harness.updateEndpoints(listEntry(9, proto.BackendOpen))
	harness.step(0.05)
	if first != 1 || len(harness.pushes(1)) != 0 {
		t.Fatal("want one push and no second one while it is in flight")
	}
	for i := range 12 {
		harness.advance(0.5)
		harness.step(0, data(1, proto.Reports{Span: 1}))
		pushes := harness.pushes(1)
		if hasOp(pushes, proto.OpBind, 0) {
			return
		}
		if len(pushes) > 0 {
			t.Fatalf("round %d: a push without a full table was sent while one was in flight: %+v", i, pushes)
		}
	}
	t.Fatal("the full table was not sent again")
}

// After 5 s without a step, as when the process stalls and the clock jumps, all late events are handled at once. No proxy is
// rejected, the drain among them takes effect, and no proxy is sent more pushes than the limits allow.
func TestStallWithClockJump(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(6)
	harness.join(1, "f0")
	harness.join(2, "f1")
	harness.advance(0.1)
	harness.acknowledgeFirst(0, 1, 2)
	var late []statemachine.Input
	for range 5 {
		late = append(late, data(1, proto.Reports{Span: 1}), data(2, proto.Reports{Span: 1}))
	}
	late = append(late, harness.endpointChanges(listEntry(1, proto.BackendDraining)))
	harness.step(5, late...)
	if harness.closed[1] || harness.closed[2] {
		t.Fatal("a proxy that sent reports during the stall was rejected")
	}
	harness.advance(0.05)
	first, second := harness.pushes(1), harness.pushes(2)
	if len(first) > 2 || len(second) > 2 {
		t.Fatalf("more than two pushes to one proxy: %+v %+v", first, second)
	}
	if routableBackends(first)[1] || !hasOp(append(first, second...), proto.OpExclude, 1) {
		t.Fatalf("the draining backend was not excluded: %+v %+v", first, second)
	}
}
