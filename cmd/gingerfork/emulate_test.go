package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
)

// freePort returns a port that is free together with the n ports after it.
func freePort(t *testing.T, n int) int {
	t.Helper()
	for port := 21000; port < 32000; port += n + 1 {
		var held []net.Listener
		for i := range n + 1 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			l.Close()
		}
		if len(held) == n+1 {
			return port
		}
	}
	t.Skip("no free ports")
	return 0
}

// quietScenario is the text of a scenario with four backends and no faults.
const quietScenario = "day quiet\nsettings perth.conf\nlength 5s\nservers 4 capacity 100 reports 50ms noise 10% memory 10 saves 20%\nfrontends 1\nmix 70% 30%\n"

// Two processes each emulate one half of a fleet under open-loop load. Most RPCs are answered, and both print their
// statistics and the steps of the scenario.
func TestEmulateAndLoad(t *testing.T) {
	port := freePort(t, 4)
	scenarioFile := tempFile(t, "quiet.day", quietScenario+"at 2s hang servers 1 for 1s\n")
	var parts sync.WaitGroup
	outs := make([]string, 2)
	for k := range 2 {
		parts.Add(1)
		go func() {
			defer parts.Done()
			code, out, err := runCommand("emulate", scenarioFile, "--port", fmt.Sprint(port), "--part", fmt.Sprintf("%d/2", k+1))
			if outs[k] = out; code != exitOK {
				// On a machine that is busy with other tests the emulation may fall behind its schedule; it must then report VOID.
				if !strings.Contains(err, "VOID") {
					t.Errorf("part %d: exit code %d, error output %q", k+1, code, err)
				}
			}
		}()
	}
	args := []string{
		"load", "--settings", tempFile(t, "perth.conf", perthSettings(t)), "--rate", "60", "--proxies", "4", "--duration", "3s", "--json",
		"--swing", "20%", "--swing-period", "3s", "--burst", "150%", "--burst-interval", "1s", "--burst-duration", "200ms", "--keys", "50", "--retry-chance", "50%", "--mix", "60%", "--mix", "40%",
	}
	for i := range 4 {
		args = append(args, "--backend", fmt.Sprintf("127.0.0.1:%d", port+1+i))
	}
	_, out, errOut := runCommand(args...)
	parts.Wait()
	var result struct {
		Seconds []struct{ InTime, Late, PushedBack, Aborted int }
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatalf("result of the load: %v; output %q, error output %q", err, out, errOut)
	}
	answered, finished := 0, 0
	for _, s := range result.Seconds {
		answered += s.InTime + s.Late
		finished += s.InTime + s.Late + s.PushedBack + s.Aborted
	}
	if finished < 100 || answered < finished/2 {
		t.Errorf("%d of %d RPCs answered, want at least half of at least 100", answered, finished)
	}
	for k, o := range outs {
		if !strings.Contains(o, "2 of 2 backends up") || !strings.Contains(o, "hang servers 1") {
			t.Errorf("part %d printed %s, want its number of backends and the hang", k+1, o)
		}
	}
}

// Invalid flags and scenarios are rejected with an error of one line that names the cause.
func TestEmulateAndLoadRejectInvalidFlags(t *testing.T) {
	conf := tempFile(t, "perth.conf", perthSettings(t))
	for _, testCase := range []struct {
		args []string
		want string
	}{
		{[]string{"emulate", tempFile(t, "cut.day", quietScenario+"at 1s cut zone dc-malaga for 1s\n")}, "cut.day:7: cut zone can't be emulated"},
		{[]string{"emulate", tempFile(t, "s.day", quietScenario+"at 1s flap servers 1 by 1s for 2s with silence\n")}, "s.day:7: flap servers"},
		{[]string{"emulate", tempFile(t, "p.day", quietScenario), "--part", "3/2"}, "part 3 of 2 does not exist"},
		{[]string{"emulate", tempFile(t, "p.day", quietScenario), "--part", "one"}, "is not K/N"},
		{[]string{"emulate", tempFile(t, "p.day", quietScenario), "--port", "65534"}, "do not fit into the ports"},
		{[]string{"emulate", tempFile(t, "w.day", strings.Replace(quietScenario, "noise 10%", "noise ten", 1))}, "w.day:4: noise"},
		{[]string{"load", "--settings", conf}, "either coordinators or backends"},
		{[]string{"load", "--settings", conf, "--backend", "127.0.0.1:1", "--swing", "x"}, "swing"},
		{[]string{"load", "--settings", conf, "--backend", "127.0.0.1:1", "--mix", "50%"}, "mix has 1 shares, the settings have 2 methods"},
		{[]string{"load", "--settings", conf, "--backend", "127.0.0.1:1", "--keys", "5", "--zipf-exponent", "99"}, "exponent"},
	} {
		code, out, err := runCommand(testCase.args...)
		if code == exitOK || !strings.Contains(err, testCase.want) || strings.Count(strings.TrimSpace(err), "\n") > 0 {
			t.Errorf("%v: exit code %d, output %q, error output %q, want a failure and one line with %q", testCase.args, code, out, err, testCase.want)
		}
	}
}
