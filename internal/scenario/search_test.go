package scenario

import (
	"context"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// knownViolations are the seeds whose scripts violate a rule by a decision of the module; docs/incidents/rehearsed.md tells why.
var knownViolations = map[uint64]string{248: "rule 4"}

// Some hundreds of random scripts violate nothing but what is known.
func TestSearchFindsNoNewViolation(t *testing.T) {
	n := 250
	if testing.Short() {
		n = 50
	}
	err := Search(context.Background(), 1, n, func(f Finding) {
		if knownViolations[f.Seed] != f.Violation {
			t.Errorf("seed %d: %s %v\n%s", f.Seed, f.Violation, f.Result.Failures, f.Script)
		}
	}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
}

// failingMachine reports a failure of the decision module after a number of steps.
type failingMachine struct {
	inner statemachine.Machine
	steps int
}

func (f *failingMachine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	f.inner.Step(now, in, out)
	if f.steps++; f.steps > 200 {
		out.Reset()
		out.Failure = "the module failed"
	}
}

// A failing state machine is reported, and minimizing keeps the violation.
func TestFailuresAndMinimizing(t *testing.T) {
	r, err := PlayVirtual(readScript(t, tamperScript), Options{WrapCoordinator: func(_ string, m statemachine.Machine) statemachine.Machine { return &failingMachine{inner: m} }})
	if err != nil || len(r.Failures) == 0 || !strings.Contains(r.Failures[0], "c0: the module failed") {
		t.Fatal(err, r.Failures)
	}
	for seed, what := range knownViolations {
		text := RandomScript(seed)
		short, res := Minimize(text, what, Result{})
		if len(short) > len(text) || !res.Report.Violated() {
			t.Errorf("seed %d: minimized to %s", seed, short)
		}
		again, _, err := judge(short)
		if err != nil || again != what {
			t.Errorf("seed %d: its minimized script gives %q, %v", seed, again, err)
		}
		break
	}
}
