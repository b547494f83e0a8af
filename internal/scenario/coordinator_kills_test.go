package scenario

import "testing"

// Coordinators are killed twenty times during a deploy, each time with any part of the unsynced sectors of their stores lost:
// every one opens its store again, and the rules are kept.
func TestDeployWithCoordinatorKills(t *testing.T) {
	for seed := range uint64(4) {
		d := builtinScenario(t, "deploy")
		d.Seed = seed + 1
		d.AddCoordinatorKills(20)
		r, err := PlayVirtual(d, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if r.Report.Violated() || len(r.Failures) > 0 {
			t.Errorf("seed %d: %v %v", d.Seed, r.Report, r.Failures)
		}
	}
}
