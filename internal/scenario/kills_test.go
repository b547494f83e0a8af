package scenario

import "testing"

// Coordinators die outright twenty times in a deploy, with what their stores had not synced there or not by the sector: every
// one opens its store again, and the rules are kept.
func TestDeployWithKills(t *testing.T) {
	for seed := range uint64(4) {
		d := day(t, "deploy")
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
