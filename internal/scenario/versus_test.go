package scenario

import (
	"context"
	"testing"

	"gingerfork/internal/invariant"
)

// The incidents, at a tenth of their size: the coordinator keeps all rules, no way of serving gets past the bound, and
// the comparison sees what it is there to see: a frozen table is sent to servers that are gone.
func TestIncidentsBesideBaselines(t *testing.T) {
	var days []*Scenario
	for i, name := range Incidents() {
		if testing.Short() && i%3 > 0 {
			continue
		}
		d := day(t, name)
		d.Scale(0.1)
		days = append(days, d)
	}
	ours, plain, frozenBroke := 0.0, 0.0, 0
	err := Compare(context.Background(), days, func(v Comparison) error {
		for w, r := range v.Results {
			if len(r.Failures) > 0 {
				t.Errorf("%s, %v: %v", v.Scenario.Name, TableSource(w), r.Failures)
			}
			// The bound knows the servers' state, not how long each RPC will run: chance may favour a run by a little.
			if TableSource(w) == Coordinated && r.Report.Service.Share() > v.Bound.Share()+0.005 {
				t.Errorf("%s: service %.3f, above the bound of %.3f", v.Scenario.Name, r.Report.Service.Share(), v.Bound.Share())
			}
		}
		for _, x := range v.Results[Coordinated].Report.Rules {
			if x.Violations > 0 {
				t.Errorf("%s: rule %d at %.3f, %s: %s", v.Scenario.Name, x.Rule, x.FirstTime, x.Party, x.Reason)
			}
		}
		ours += v.Results[Coordinated].Report.Service.Share()
		plain += v.Results[AllBackends].Report.Service.Share()
		if broke(v.Results[FrozenTables].Report, 3) {
			frozenBroke++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	n := float64(len(days))
	t.Logf("service %.3f, with one table of all servers %.3f", ours/n, plain/n)
	if ours <= plain || frozenBroke == 0 {
		t.Errorf("service %.3f beside %.3f; rule 3 broke on %d frozen days", ours/n, plain/n, frozenBroke)
	}
}

func broke(r invariant.Report, rule int) bool { return r.Rules[rule-1].Violations > 0 }

// The bound of a quiet day is all that can be answered in time; of one whose servers all hang half the time, about half;
// of one cut in two, what each side can do.
func TestBoundOfDays(t *testing.T) {
	share := func(acts string, rate string) float64 {
		d := script(t, "day bound\nsettings perth.conf\nlength 20s\nseed 5\nservers 4 zone dc-kewdale capacity 30\nservers 4 zone dc-malaga capacity 30\n"+
			"frontends 3 zone dc-kewdale rate "+rate+"\nfrontends 3 zone dc-malaga rate 5\nmix 70% 30%\n"+acts)
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
		t.Errorf("a quiet day's bound is %.3f", s)
	}
	if s := share("at 5s hang servers all for 10s", "20"); s < 0.4 || s > 0.65 {
		t.Errorf("with all servers hanging half the time the bound is %.3f", s)
	}
	whole, cut := share("", "70"), share("at 0s cut zone dc-malaga", "70")
	if whole < 0.98 || cut > 0.75 {
		t.Errorf("one side asks for 210 a second of 120: %.3f, and %.3f when it is cut off", whole, cut)
	}
}
