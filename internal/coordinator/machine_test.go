package coordinator

import (
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// A panic of the decision module is a failure with the panic's text, and no action of the step is carried out.
func TestModulePanicDiscardsStep(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(3)
	harness.join(1, "f0")
	harness.machine.controller.planner = nil
	harness.now++
	harness.effects.Reset()
	harness.machine.Step(harness.now, []statemachine.Input{opened(2), data(2, hello("f1"))}, &harness.effects)
	if !strings.Contains(harness.effects.Failure, "the decision module failed") || len(harness.effects.Actions) > 0 {
		t.Fatalf("want a failure and no actions, got failure %q and %d actions",
			harness.effects.Failure, len(harness.effects.Actions))
	}
}

// A command of an unknown type is a failure of the decision module, too.
func TestUnknownCommandIsAModuleFailure(t *testing.T) {
	harness := newHarness(t, nil, nil)
	err := harness.machine.controller.execute(nil)
	if err == nil || !strings.Contains(failureText(err), "the decision module failed") {
		t.Fatalf("got error %v, want a failure of the decision module", err)
	}
}

// A reload replaces the settings: proxies are rejected, are welcomed with the new settings when they join again, and are
// served from the endpoint list that the coordinator had before.
func TestReload(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "f0")
	harness.advance(0.1)
	bootstrap := harness.machine.bootstrap
	bootstrap.ModuleConfig.Settings = testSettings(map[string]any{"report_period": 3.0})
	bootstrap.ModuleConfig.Now = harness.now
	harness.machine.Reload(bootstrap)
	harness.step(0.01)
	mustContain(t, harness.rejectionReason(1), "join again")
	harness.join(2, "f0")
	harness.advance(0.1)
	welcome, ok := harness.received[2][0].(proto.Welcome)
	if !ok || welcome.ReportPeriod != 3 {
		t.Fatalf("want a welcome with the new report period, got %+v", harness.received[2][0])
	}
	if pushes := harness.pushes(2); len(pushes) != 1 || len(routableBackends(pushes)) < 3 {
		t.Fatalf("want one push with at least 3 backends, got %+v", pushes)
	}
}
