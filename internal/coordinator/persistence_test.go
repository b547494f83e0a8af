package coordinator

import (
	"slices"
	"strings"
	"testing"

	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// An exclusion is sent at once, whatever the state of the store. Its acknowledgement counts once the exclusion is durable or
// the wait for that has timed out. It counts at once while the store is unavailable.
func TestExclusionDoesNotWaitForStore(t *testing.T) {
	harness := newHarness(t, nil, &checkpoint.State{})
	harness.serveEndpoints(6)
	harness.join(1, "f0")
	harness.advance(0.1)
	harness.acknowledgeFirst(0.01, 1)
	harness.advance(0.1)
	for i, store := range []string{"durable", "slow", "unavailable"} {
		harness.storeHangs = true
		harness.updateEndpoints(listEntry(i+1, proto.BackendDraining))
		if store == "unavailable" {
			harness.step(0, statemachine.Input{Kind: statemachine.PersistFailed, Text: "no space"})
		}
		harness.advance(0.02)
		pushes := harness.pushes(1)
		if !hasOp(pushes, proto.OpExclude, proto.BackendID(i+1)) {
			t.Fatalf("%s: the exclusion was not sent at once: %+v", store, pushes)
		}
		for _, push := range pushes {
			harness.step(0.001, data(1, proto.Acknowledgement{Nonce: push.Nonce}))
		}
		harness.advance(0.1)
		if counts := harness.acknowledgementsCount(); counts != (store == "unavailable") {
			t.Errorf("%s: the acknowledgement counts after 0.1 s: %v", store, counts)
		}
		switch store {
		case "durable":
			harness.storeHangs = false
			harness.advance(0.01)
		case "slow":
			harness.advanceWithinSteps(0.6, 200)
		}
		if !harness.acknowledgementsCount() {
			t.Errorf("%s: the acknowledgement still does not count", store)
		}
		harness.storeHangs = false
		harness.advance(0.1)
	}
	if !harness.logged(strings.Contains, "store unavailable") || !harness.logged(strings.Contains, "store recovered") {
		t.Errorf("the failure or the recovery of the store was not logged: %q", harness.logs)
	}
}

// acknowledgementsCount returns whether all acknowledgements count, so that none is held back from the decision module.
func (h *harness) acknowledgementsCount() bool {
	return len(h.machine.controller.heldAcknowledgements) == 0
}

// advanceWithinSteps advances and checks that the decision module took at most maxSteps steps.
func (h *harness) advanceWithinSteps(span float64, maxSteps int) {
	h.t.Helper()
	before := h.machine.Stats().Steps
	h.advance(span)
	if steps := h.machine.Stats().Steps - before; steps > maxSteps {
		h.t.Errorf("%d steps in %v s, want at most %d", steps, span, maxSteps)
	}
}

// No push is sent before the first reservation of nonces is durable. A store that hangs delays pushes by half a second.
func TestNoncesAreReservedBeforePushes(t *testing.T) {
	const firstNonce = 500
	for _, hangs := range []bool{false, true} {
		harness := newHarness(t, nil, &checkpoint.State{NonceLimit: firstNonce})
		harness.storeHangs = true
		harness.serveEndpoints(5)
		harness.machine.controller.checkpoint = checkpoint.New(harness.now, &checkpoint.State{NonceLimit: firstNonce})
		harness.join(1, "f0")
		harness.advance(0.1)
		if pushes := harness.pushes(1); len(pushes) != 0 {
			t.Fatalf("a push was sent before its nonce was reserved: %+v", pushes)
		}
		harness.storeHangs = hangs
		if hangs {
			harness.advance(0.5)
		} else {
			harness.advance(0.01)
		}
		if pushes := harness.pushes(1); len(pushes) != 1 || pushes[0].Nonce < firstNonce {
			t.Errorf("store hangs: %v: want one push with nonce %d or higher, got %+v", hangs, firstNonce, pushes)
		}
	}
}

// All backends left the endpoint list before the coordinator crashed, so that the new instance has no table. A proxy that
// joins again with its former tables must still be told which backends are excluded.
func TestDrainsSurviveRestartWithoutTable(t *testing.T) {
	harness := newHarness(t, nil, &checkpoint.State{})
	harness.serveEndpoints(2)
	harness.join(1, "f0")
	harness.advance(0.1)
	harness.updateEndpoints(listEntry(1, proto.BackendGone), listEntry(2, proto.BackendGone))
	harness.advance(0.1)
	restarted := newHarness(t, nil, harness.restartState())
	proxy := hello("f0")
	proxy.HasNoTables, proxy.TablesOf = false, "c0"
	restarted.step(0.01, opened(1), data(1, proxy))
	restarted.advance(0.1)
	pushes := restarted.pushes(1)
	bound := slices.ContainsFunc(pushes, func(push proto.Push) bool {
		return slices.ContainsFunc(push.Ops, func(op proto.TableOp) bool { return op.Kind == proto.OpBind })
	})
	if !bound && (!hasOp(pushes, proto.OpExclude, 1) || !hasOp(pushes, proto.OpExclude, 2)) {
		t.Fatalf("the proxy received neither a table nor the exclusions of both backends: %+v", pushes)
	}
}
