package scenario

import (
	"context"
	"testing"

	"gingerfork/internal/invariant"
)

// TestIncidentsAgainstBaselines plays the incidents at a tenth of their size. The coordinators must keep all rules, stay below the
// bound and give better service than one table of all backends. At least one run with frozen tables must violate rule 3, which
// shows that the rule detects attempts to backends that are gone.
func TestIncidentsAgainstBaselines(t *testing.T) {
	var scenarios []*Scenario
	for i, name := range Incidents() {
		if testing.Short() && i%3 > 0 {
			continue
		}
		scenario := builtinScenario(t, name)
		scenario.Scale(0.1)
		scenarios = append(scenarios, scenario)
	}
	coordinated, allBackends, frozenViolations := 0.0, 0.0, 0
	err := Compare(context.Background(), scenarios, func(comparison Comparison) error {
		assertCoordinated(t, comparison)
		coordinated += comparison.Results[Coordinated].Report.Service.Share()
		allBackends += comparison.Results[AllBackends].Report.Service.Share()
		if violated(comparison.Results[FrozenTables].Report, 3) {
			frozenViolations++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	n := float64(len(scenarios))
	t.Logf("mean service %.3f, with one table of all backends %.3f", coordinated/n, allBackends/n)
	if coordinated <= allBackends || frozenViolations == 0 {
		t.Errorf("mean service %.3f, with one table of all backends %.3f; frozen tables violated rule 3 in %d scenarios", coordinated/n, allBackends/n, frozenViolations)
	}
}

// assertCoordinated fails the test if a state machine failed in any run, or if the coordinated run violates a rule or exceeds the
// bound.
func assertCoordinated(t *testing.T, comparison Comparison) {
	t.Helper()
	name := comparison.Scenario.Name
	for i, result := range comparison.Results {
		source := TableSource(i)
		if len(result.Failures) > 0 {
			t.Errorf("%s, %v: %v", name, source, result.Failures)
		}
		// The bound is computed from mean work, not from the actual work of each RPC, so a run may exceed it slightly by chance.
		if source == Coordinated && result.Report.Service.Share() > comparison.Bound.Share()+0.005 {
			t.Errorf("%s: service %.3f, above the bound of %.3f", name, result.Report.Service.Share(), comparison.Bound.Share())
		}
	}
	for _, verdict := range comparison.Results[Coordinated].Report.Rules {
		if verdict.Violations > 0 {
			t.Errorf("%s: rule %d at %.3f, %s: %s", name, verdict.Rule, verdict.FirstTime, verdict.Party, verdict.Reason)
		}
	}
}

func violated(report invariant.Report, rule int) bool { return report.Rules[rule-1].Violations > 0 }

// TestBoundOfScenarios checks the upper bound on the service: about 1 without faults, about half if all backends hang half of the
// time, and with a partition no more than what each side can serve by itself.
func TestBoundOfScenarios(t *testing.T) {
	boundShare := func(steps string, rate string) float64 {
		scenario := readScript(t, "day bound\nsettings perth.conf\nlength 20s\nseed 5\nservers 4 zone dc-kewdale capacity 30\nservers 4 zone dc-malaga capacity 30\n"+
			"frontends 3 zone dc-kewdale rate "+rate+"\nfrontends 3 zone dc-malaga rate 5\nmix 70% 30%\n"+steps)
		result, err := PlayVirtual(scenario, Options{SampleTruth: true})
		if err != nil {
			t.Fatal(err)
		}
		bound, err := scenario.Bound(result.Truth, result.Records)
		if err != nil {
			t.Fatal(err)
		}
		return bound.Share()
	}
	if share := boundShare("", "20"); share < 0.999 {
		t.Errorf("without faults the bound is %.3f", share)
	}
	if share := boundShare("at 5s hang servers all for 10s", "20"); share < 0.4 || share > 0.65 {
		t.Errorf("with all backends hanging half the time the bound is %.3f", share)
	}
	connected, partitioned := boundShare("", "70"), boundShare("at 0s cut zone dc-malaga", "70")
	if connected < 0.98 || partitioned > 0.75 {
		t.Errorf("one zone sends 210 RPCs per second and has a capacity of 120: bound %.3f, during a partition %.3f", connected, partitioned)
	}
}
