package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gingerfork/internal/trace"
)

// The default scenario, evening, in virtual time: it passes, the JSON result can be parsed, and the trace can be read back.
func TestScenarioVirtual(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	code, out, errs := runCommand("scenario", "--virtual", "--json", "--trace", file)
	var result struct {
		Service float64
		Rules   []struct {
			Broken  int
			Nearest float64
		}
	}
	if err := json.Unmarshal([]byte(out), &result); code != exitOK || err != nil || len(result.Rules) != 5 || result.Service < 0.8 {
		t.Fatalf("exit code %d, error %v, output %q, error output %q", code, err, out, errs)
	}
	if records := readTraceFile(t, file); len(records) < 1000 {
		t.Fatalf("the trace has %d records, want at least 1000", len(records))
	}
}

// A scenario with faults on real sockets. Among them, the process of a coordinator is killed and started again.
func TestScenarioOnSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds of real time")
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "short.day")
	if err := os.WriteFile(file, []byte(`
day short
settings perth.conf
length 12s
coordinators 2
servers 4 zone dc-kewdale capacity 40
servers 3 zone dc-malaga capacity 40
frontends 2 zone dc-kewdale rate 8
frontends 2 zone dc-malaga rate 8
at 2s deploy servers 2 drain 2s down 1s every 1s
at 3s kill coordinators number 0 for 1s
at 5s stall coordinators number 1 for 1s
at 6s break streams 50%
at 7s cut zone dc-malaga for 1s
at 9s kill frontends 1 for 1s
`), 0o644); err != nil {
		t.Fatal(err)
	}
	code, out, errs := runCommand("scenario", file, "--artifacts", filepath.Join(dir, "artifacts"), "--trace", filepath.Join(dir, "trace"))
	if code != exitOK {
		logs, _ := filepath.Glob(filepath.Join(dir, "artifacts", "*.log"))
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			t.Logf("%s: %s", filepath.Base(l), text)
		}
		t.Fatalf("exit code %d, output %q, error output %q", code, out, errs)
	}
	count := map[string]int{}
	for _, r := range readTraceFile(t, filepath.Join(dir, "trace")) {
		count[r.Kind]++
	}
	if count[trace.CoordinatorStarted] != 3 || count[trace.ProxyJoined] < 7 || count[trace.EffectExecuted] < 100 || count[trace.BackendStarted] != 2 || count[trace.PushApplied] < 8 {
		t.Errorf("too few or wrong numbers of trace records by kind: %v", count)
	}
}
