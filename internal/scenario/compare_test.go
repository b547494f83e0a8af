package scenario

import (
	"context"
	"testing"

	"gingerfork/internal/invariant"
)

// The incidents, at a tenth of their size: coordinators keep all rules and stay below the bound, and the comparison shows that
// frozen tables send to backends that are gone.
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
	t.Logf("service %.3f, with one table of all servers %.3f", coordinated/n, allBackends/n)
	if coordinated <= allBackends || frozenViolations == 0 {
		t.Errorf("service %.3f beside %.3f; frozen tables violated rule 3 in %d scenarios", coordinated/n, allBackends/n, frozenViolations)
	}
}

// assertCoordinated fails the test for failed state machines, and for a coordinated run that violates a rule or exceeds the
// bound.
func assertCoordinated(t *testing.T, comparison Comparison) {
	t.Helper()
	name := comparison.Scenario.Name
	for i, result := range comparison.Results {
		source := TableSource(i)
		if len(result.Failures) > 0 {
			t.Errorf("%s, %v: %v", name, source, result.Failures)
		}
		// The bound knows the backends' state, not how long each RPC takes: chance may favour a run by a little.
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

func violated(r invariant.Report, rule int) bool { return r.Rules[rule-1].Violations > 0 }

// The bound of a scenario without faults is all that can be answered in time; with all backends hanging half of the time,
// about half; with a partition, what each side can serve.
func TestBoundOfScenarios(t *testing.T) {
	share := func(steps string, rate string) float64 {
		d := readScript(t, "day bound\nsettings perth.conf\nlength 20s\nseed 5\nservers 4 zone dc-kewdale capacity 30\nservers 4 zone dc-malaga capacity 30\n"+
			"frontends 3 zone dc-kewdale rate "+rate+"\nfrontends 3 zone dc-malaga rate 5\nmix 70% 30%\n"+steps)
		r, err := PlayVirtual(d, Options{SampleTruth: true})
		if err != nil {
			t.Fatal(err)
		}
		b, err := d.Bound(r.Truth, r.Records)
		if err != nil {
			t.Fatal(err)
		}
		return b.Share()
	}
	if s := share("", "20"); s < 0.999 {
		t.Errorf("without faults the bound is %.3f", s)
	}
	if s := share("at 5s hang servers all for 10s", "20"); s < 0.4 || s > 0.65 {
		t.Errorf("with all backends hanging half the time the bound is %.3f", s)
	}
	whole, partitioned := share("", "70"), share("at 0s cut zone dc-malaga", "70")
	if whole < 0.98 || partitioned > 0.75 {
		t.Errorf("one side offers 210 RPCs a second to a capacity of 120: bound %.3f, and %.3f behind a partition", whole, partitioned)
	}
}
