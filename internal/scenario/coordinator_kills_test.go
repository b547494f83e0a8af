package scenario

import "testing"

// TestDeployWithCoordinatorKills kills coordinators twenty times during a deploy. Each kill loses a random part of the unsynced
// sectors of the coordinator's store. Every coordinator must open its store again, and all rules must be kept.
func TestDeployWithCoordinatorKills(t *testing.T) {
	for seed := range uint64(4) {
		scenario := builtinScenario(t, "deploy")
		scenario.Seed = seed + 1
		scenario.AddCoordinatorKills(20)
		result, err := PlayVirtual(scenario, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if result.Report.Violated() || len(result.Failures) > 0 {
			t.Errorf("seed %d: report %v, failures %v", scenario.Seed, result.Report, result.Failures)
		}
	}
}
