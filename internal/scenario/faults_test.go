package scenario

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/emulator"
	"gingerfork/internal/trace"
)

// TestZoneReturnsColdUnderHighLoad restarts all backends of a zone cold at once, under high load. Slow start must keep rule 4;
// without it four of sixteen seeds violated the rule at full size.
func TestZoneReturnsColdUnderHighLoad(t *testing.T) {
	for seed := range uint64(4) {
		scenario := builtinScenario(t, "01-return-into-a-rush")
		scenario.Scale(0.3)
		scenario.Seed = seed + 1
		result := playCleanly(t, fmt.Sprint("seed ", seed+1), scenario, Options{})
		if result.Report.Collapses > 0 || result.Report.Service.Share() < 0.8 {
			t.Errorf("seed %d: %d backends collapsed, service %.3f", seed+1, result.Report.Collapses, result.Report.Service.Share())
		}
	}
}

// TestFaultsKeepTheRules plays single faults. Each must keep all rules and a minimum of service, and the trace must show that the
// fault had its effect.
func TestFaultsKeepTheRules(t *testing.T) {
	for name, test := range map[string]struct {
		script      string
		minService  float64
		checkEffect func(result Result) string // returns which effect is missing; "": none
	}{
		"restart in place under the same id, connections held": {"at 8s kill servers number 3 for 50ms\n", 0.97, restartedInPlace},
		"drain during a hang":                    {"at 6s hang servers number 2,3 for 8s\nat 8s deploy servers number 2,3 drain 3s down 1s every 1s\n", 0.9, drainedDuringHang},
		"a hang longer than the deadline":        {"at 8s hang servers 30% for 6s\n", 0.8, endedAtDeadline},
		"a long pause of a coordinator":          {"at 8s stall coordinators number 0 for 15s\n", 0.95, proxiesMovedAway},
		"a machine without power sends no reset": {"at 8s silence servers 3 for 8s\n", 0.85, noResetOnPowerLoss},
		"each flap mode": {"at 6s flap servers number 0 by 1s for 8s with crash\nat 6s flap servers number 1 by 1s for 8s with silence\n" +
			"at 6s flap servers number 2 by 1s for 8s with hang\nat 6s flap servers number 3 by 1s for 8s with fast\n", 0.8, flappedInEachMode},
	} {
		result := playCleanly(t, name, readScript(t, "day faults\n"+fleetOfTwelve+test.script), Options{})
		if share := result.Report.Service.Share(); share < test.minService {
			t.Errorf("%s: service %.3f", name, share)
		}
		if missing := test.checkEffect(result); missing != "" {
			t.Errorf("%s: %s", name, missing)
		}
	}
}

// restartedInPlace checks that backend 4 started once more under the same number, and executed RPCs after that.
func restartedInPlace(result Result) string {
	starts, executions := 0, 0
	for _, record := range result.Records {
		if record.Kind == trace.BackendStarted && record.Backend == 4 {
			starts++
		} else if record.Kind == trace.EffectExecuted && record.Backend == 4 && starts > 0 {
			executions++
		}
	}
	if starts != 1 || executions < 20 {
		return fmt.Sprintf("%d starts, %d RPCs executed after that", starts, executions)
	}
	return ""
}

// drainedDuringHang checks that the processes of both backends that were drained while they hung have ended.
func drainedDuringHang(result Result) string {
	stopped := 0
	for _, record := range result.Records {
		if record.Kind == trace.BackendStopped && (record.Backend == 3 || record.Backend == 4) {
			stopped++
		}
	}
	if stopped != 2 {
		return fmt.Sprintf("%d of 2 backends stopped", stopped)
	}
	return ""
}

// endedAtDeadline checks that RPCs were aborted, and none of them later than the deadline of 2.5 s.
func endedAtDeadline(result Result) string {
	aborted, longest := 0, 0.0
	for _, record := range result.Records {
		if record.Kind == trace.RPCFinished && record.Text == "aborted" {
			aborted++
			longest = max(longest, record.Value)
		}
	}
	if aborted == 0 || longest > 2.5+0.01 {
		return fmt.Sprintf("%d RPCs aborted, the slowest after %.3f s, with a deadline of 2.5 s", aborted, longest)
	}
	return ""
}

// proxiesMovedAway checks that the proxies of a paused coordinator joined another one.
func proxiesMovedAway(result Result) string {
	joins := 0
	for _, record := range result.Records {
		if record.Kind == trace.ProxyJoined {
			joins++
		}
	}
	if joins < 18 {
		return fmt.Sprintf("%d joins: the proxies of the paused coordinator did not join the other one", joins)
	}
	return ""
}

// noResetOnPowerLoss checks that an RPC waited about until its deadline, as no reset came.
func noResetOnPowerLoss(result Result) string {
	for _, record := range result.Records {
		if record.Kind == trace.RPCFinished && record.Text == "aborted" && record.Value > 1.9 {
			return ""
		}
	}
	return "no RPC waited until its deadline"
}

// flappedInEachMode checks that backends were restarted in exactly the modes that end their processes.
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

// TestRetriesOutsideTheIdempotencyScope checks that rule 2 detects a retry that reaches a backend which does not know the
// idempotency key and so takes effect twice. This happens if the settings claim that all backends share their keys, but each has
// its own. With settings that are true, nothing takes effect twice.
func TestRetriesOutsideTheIdempotencyScope(t *testing.T) {
	conf, err := File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	play := func(group, scope string) Result {
		text := strings.Replace(string(conf), "effect          non-idempotent", "effect          tokened\n    window          20s\n    group           "+group, 1)
		scenario, err := Read("tokens.day", "day tokens\n"+fleetOfTwelve+"tokens "+scope+"\nclients again 90% after 100ms at-most 4\nat 5s hang servers 40% for 4s\nat 12s part servers all by 30% for 8s\n",
			func(string) ([]byte, error) { return []byte(text), nil })
		if err != nil {
			t.Fatal(err)
		}
		result, err := PlayVirtual(scenario, Options{})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	if result := play("all", "server"); result.Report.Rules[1].Violations == 0 {
		t.Error("rule 2 was not violated with settings that claim a wider idempotency scope than the backends have")
	}
	if result := play("all", "all"); result.Report.Rules[1].Violations > 0 {
		t.Errorf("with one store for all backends: %s", result.Report.Rules[1].Reason)
	}
}

// TestCollapseDuringADrain overloads a cold backend that drains. It must reject new RPCs until it collapses, and do nothing after
// that.
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
		t.Errorf("collapse reported: %v, %d RPCs rejected before it; model collapsed: %v, or it had effects after that", collapsed, rejected, model.HasCollapsed())
	}
}

// TestBackendPolicyByReport checks that proxies which choose backends by load reports send less to slow backends than proxies
// which choose by a weighted lottery.
func TestBackendPolicyByReport(t *testing.T) {
	slowShare := func(policy string) float64 {
		result := playCleanly(t, policy, readScript(t, "day report\nsettings perth.conf\nlength 20s\nseed 4\nservers 6 zone dc-kewdale capacity 60 workers 4 reports 100ms noise 10%\n"+
			"frontends 6 zone dc-kewdale rate 20 pick "+policy+"\nmix 70% 30%\nat 0s slow servers number 0,1 by 3\n"), Options{})
		slow, all := 0.0, 0.0
		for _, record := range result.Records {
			if record.Kind == trace.AttemptSent && record.Time > result.Records[0].Time+3 {
				if all++; record.Backend <= 2 {
					slow++
				}
			}
		}
		return slow / all
	}
	if report, lottery := slowShare("report"), slowShare("lottery"); report > 0.8*lottery {
		t.Errorf("two slow backends of six get a share of %.3f by reports, %.3f by lottery", report, lottery)
	} else {
		t.Logf("two slow backends of six get a share of %.3f by reports, %.3f by lottery", report, lottery)
	}
}
