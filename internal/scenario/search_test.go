package scenario

import (
	"context"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// knownViolations are violations, by seed, that random scripts cause through decisions of the decision module.
// docs/incidents/rehearsed.md explains them.
var knownViolations = map[uint64]string{3467: "rule 4"}

// TestSearchFindsNoNewViolation checks that 250 random scripts, or 50 in short mode, cause only known violations.
func TestSearchFindsNoNewViolation(t *testing.T) {
	count := 250
	if testing.Short() {
		count = 50
	}
	err := Search(context.Background(), 1, count, func(finding Finding) {
		if knownViolations[finding.Seed] != finding.Violation {
			t.Errorf("seed %d: %s %v\n%s", finding.Seed, finding.Violation, finding.Result.Failures, finding.Script)
		}
	}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
}

// failingMachine is a coordinator that reports a failure of the decision module after 200 steps.
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

// TestFailuresAndMinimizing checks that a failing state machine is reported, and that a minimized script still causes the same
// violation.
func TestFailuresAndMinimizing(t *testing.T) {
	result, err := PlayVirtual(readScript(t, tamperScript), Options{WrapCoordinator: func(_ string, m statemachine.Machine) statemachine.Machine { return &failingMachine{inner: m} }})
	if err != nil || len(result.Failures) == 0 || !strings.Contains(result.Failures[0], "c0: the module failed") {
		t.Fatalf("error %v, failures %v", err, result.Failures)
	}
	for seed, violation := range knownViolations {
		script := RandomScript(seed)
		minimized, minimizedResult := Minimize(script, violation, Result{})
		if len(minimized) > len(script) || !minimizedResult.Report.Violated() {
			t.Errorf("seed %d: minimized to %s", seed, minimized)
		}
		repeated, _, err := playScript(minimized)
		if err != nil || repeated != violation {
			t.Errorf("seed %d: its minimized script gives %q, %v", seed, repeated, err)
		}
		break
	}
}
