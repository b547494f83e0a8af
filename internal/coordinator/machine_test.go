package coordinator

import (
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// A panic of the decision module ends the instance with its text, and nothing of the step is carried out.
func TestModulePanicDiscardsStep(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(3)
	harness.join(1, "f0")
	harness.machine.controller.planner = nil
	harness.now++
	harness.effects.Reset()
	harness.machine.Step(harness.now, []statemachine.Input{opened(2), data(2, hello("f1"))}, &harness.effects)
	if !strings.Contains(harness.effects.Failure, "the decision module failed") || len(harness.effects.Actions) > 0 {
		t.Fatalf("%q, %d actions", harness.effects.Failure, len(harness.effects.Actions))
	}
}

// A command that is not known ends the instance, too.
func TestUnknownCommandIsAModuleFailure(t *testing.T) {
	harness := newHarness(t, nil, nil)
	err := harness.machine.controller.execute(nil)
	if err == nil || !strings.Contains(failureText(err), "the decision module failed") {
		t.Fatalf("got %v", err)
	}
}

// Other settings come into force with a new instance of the decision module; proxies join again, and nothing else is lost.
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
		t.Fatalf("the proxy is not served: %+v", pushes)
	}
}
