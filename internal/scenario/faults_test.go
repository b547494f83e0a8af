package scenario

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/emulator"
	"gingerfork/internal/trace"
)

// All backends of a zone return cold at once, under high load. Slow start keeps rule 4; without it four of sixteen seeds
// violated it at full size.
func TestZoneReturnsColdUnderHighLoad(t *testing.T) {
	for seed := range uint64(4) {
		d := builtinScenario(t, "01-return-into-a-rush")
		d.Scale(0.3)
		d.Seed = seed + 1
		r := playCleanly(t, fmt.Sprint("seed ", seed+1), d, Options{})
		if r.Report.Collapses > 0 || r.Report.Service.Share() < 0.8 {
			t.Errorf("seed %d: %d collapsed, service %.3f", seed+1, r.Report.Collapses, r.Report.Service.Share())
		}
	}
}

// Each fault keeps the rules, and is seen to have happened.
func TestFaultsKeepTheRules(t *testing.T) {
	for name, test := range map[string]struct {
		script  string
		service float64
		seen    func(result Result) string // what is missing; "": nothing
	}{
		"restart in place under the same id, connections held": {"at 8s kill servers number 3 for 50ms\n", 0.97, restartedInPlace},
		"drain during a hang":              {"at 6s hang servers number 2,3 for 8s\nat 8s deploy servers number 2,3 drain 3s down 1s every 1s\n", 0.9, drainedDuringHang},
		"a pause longer than the deadline": {"at 8s hang servers 30% for 6s\n", 0.8, endedAtDeadline},
		"a coordinator's time jumps":       {"at 8s stall coordinators number 0 for 15s\n", 0.95, proxiesMovedAway},
		"a lost machine sends no reset":    {"at 8s silence servers 3 for 8s\n", 0.85, silenceIsNoReset},
		"each flap mode": {"at 6s flap servers number 0 by 1s for 8s with crash\nat 6s flap servers number 1 by 1s for 8s with silence\n" +
			"at 6s flap servers number 2 by 1s for 8s with hang\nat 6s flap servers number 3 by 1s for 8s with fast\n", 0.8, flappedInEachMode},
	} {
		result := playCleanly(t, name, readScript(t, "day faults\n"+fleetOfTwelve+test.script), Options{})
		if s := result.Report.Service.Share(); s < test.service {
			t.Errorf("%s: service %.3f", name, s)
		}
		if what := test.seen(result); what != "" {
			t.Errorf("%s: %s", name, what)
		}
	}
}

// restartedInPlace tells what is missing of a restart under the same identity: one start, and RPCs after it.
func restartedInPlace(result Result) string {
	starts, after := 0, 0
	for _, record := range result.Records {
		if record.Kind == trace.BackendStarted && record.Backend == 4 {
			starts++
		} else if record.Kind == trace.EffectExecuted && record.Backend == 4 && starts > 0 {
			after++
		}
	}
	if starts != 1 || after < 20 {
		return fmt.Sprintf("%d starts, %d RPCs after", starts, after)
	}
	return ""
}

// drainedDuringHang tells whether both backends that were drained while they hung ended.
func drainedDuringHang(result Result) string {
	gone := 0
	for _, record := range result.Records {
		if record.Kind == trace.BackendStopped && (record.Backend == 3 || record.Backend == 4) {
			gone++
		}
	}
	if gone != 2 {
		return fmt.Sprintf("%d of 2 ended", gone)
	}
	return ""
}

// endedAtDeadline tells whether RPCs were aborted, and none later than the deadline of 2.5 s.
func endedAtDeadline(result Result) string {
	late, worst := 0, 0.0
	for _, record := range result.Records {
		if record.Kind == trace.RPCFinished && record.Text == "aborted" {
			late++
			worst = max(worst, record.Value)
		}
	}
	if late == 0 || worst > 2.5+0.01 {
		return fmt.Sprintf("%d aborted, the last answer after %.3f s of a deadline of 2.5", late, worst)
	}
	return ""
}

// proxiesMovedAway tells whether the proxies of a paused coordinator joined another one.
func proxiesMovedAway(result Result) string {
	joins := 0
	for _, record := range result.Records {
		if record.Kind == trace.ProxyJoined {
			joins++
		}
	}
	if joins < 18 {
		return fmt.Sprintf("%d joins: its proxies did not move", joins)
	}
	return ""
}

// silenceIsNoReset tells whether an RPC waited until its deadline, as no reset came.
func silenceIsNoReset(result Result) string {
	for _, record := range result.Records {
		if record.Kind == trace.RPCFinished && record.Text == "aborted" && record.Value > 1.9 {
			return ""
		}
	}
	return "no RPC waited until its deadline"
}

// flappedInEachMode tells whether just the modes that end the process started it again.
func flappedInEachMode(result Result) string {
	starts := map[uint32]int{}
	for _, record := range result.Records {
		if record.Kind == trace.BackendStarted {
			starts[record.Backend]++
		}
	}
	if starts[1] != 4 || starts[2] != 4 || starts[3]+starts[4] != 0 {
		return fmt.Sprint("starts ", starts)
	}
	return ""
}

// Retries that reach a backend which does not know the idempotency key take effect twice. The checker finds it where the
// settings claim that all backends share the keys and they do not, and finds none where the settings are true.
func TestRetriesOutsideTheIdempotencyScope(t *testing.T) {
	conf, err := File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	play := func(group, tokens string) Result {
		text := strings.Replace(string(conf), "effect          non-idempotent", "effect          tokened\n    window          20s\n    group           "+group, 1)
		d, err := Read("tokens.day", "day tokens\n"+fleetOfTwelve+"tokens "+tokens+"\nclients again 90% after 100ms at-most 4\nat 5s hang servers 40% for 4s\nat 12s part servers all by 30% for 8s\n",
			func(string) ([]byte, error) { return []byte(text), nil })
		if err != nil {
			t.Fatal(err)
		}
		r, err := PlayVirtual(d, Options{})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := play("all", "server"); r.Report.Rules[1].Violations == 0 {
		t.Error("wrong settings of the idempotency scope violated nothing")
	}
	if r := play("all", "all"); r.Report.Rules[1].Violations > 0 {
		t.Errorf("with one store for all backends: %s", r.Report.Rules[1].Reason)
	}
}

// A backend that collapses during its drain resets its connections; before that it rejects new RPCs.
func TestCollapseDuringADrain(t *testing.T) {
	model := emulator.NewModel(emulator.Config{
		Backend: 1, Cores: 1, Speed: 1, Work: []emulator.Work{{Mean: 0.1, Family: emulator.Constant}}, QueueLimit: 1000, StartsCold: true,
		ColdSpeed: 0.3, WarmupTime: 10, OverloadMultiple: 2, OverloadWindow: 1, Seed: 1,
	}, 0)
	model.Connect(1, "")
	for i := range uint64(4) {
		model.Submit(1, emulator.RPC{ID: i + 1, TimeLeft: 5})
	}
	model.Advance(0.1)
	model.Drain()
	collapsed, rejected := false, 0
	for i := range uint64(40) {
		model.Submit(1, emulator.RPC{ID: 100 + i, TimeLeft: 5})
		for _, e := range model.Advance(0.1 + float64(i)*0.01) {
			switch e := e.(type) {
			case emulator.Collapsed:
				collapsed = true
			case emulator.Reply:
				if e.Status == emulator.StatusRejected && !collapsed {
					rejected++
				}
			}
		}
	}
	if !collapsed || rejected == 0 || !model.HasCollapsed() || len(model.Advance(50)) > 0 {
		t.Errorf("collapsed: %v, %d rejected before, fallen or silent afterwards: no", collapsed, rejected)
	}
}

// Proxies that choose by load reports avoid slow backends, which a weighted lottery does not.
func TestBackendPolicyByReport(t *testing.T) {
	share := func(pick string) float64 {
		r := playCleanly(t, pick, readScript(t, "day report\nsettings perth.conf\nlength 20s\nseed 4\nservers 6 zone dc-kewdale capacity 60 workers 4 reports 100ms noise 10%\n"+
			"frontends 6 zone dc-kewdale rate 20 pick "+pick+"\nmix 70% 30%\nat 0s slow servers number 0,1 by 3\n"), Options{})
		slow, all := 0.0, 0.0
		for _, x := range r.Records {
			if x.Kind == trace.AttemptSent && x.Time > r.Records[0].Time+3 {
				if all++; x.Backend <= 2 {
					slow++
				}
			}
		}
		return slow / all
	}
	if report, lottery := share("report"), share("lottery"); report > 0.8*lottery {
		t.Errorf("two slow servers of six get %.3f by reports, %.3f by lot", report, lottery)
	} else {
		t.Logf("two slow servers of six get %.3f by reports, %.3f by lot", report, lottery)
	}
}
