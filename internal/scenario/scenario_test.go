package scenario

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"gingerfork/internal/trace"
)

// TestBuiltinScenarios checks that each built-in scenario keeps all rules and reaches a service that a build without one of the
// countermeasures against the faults would not reach.
func TestBuiltinScenarios(t *testing.T) {
	for _, name := range Builtin() {
		result, err := PlayVirtual(builtinScenario(t, name), Options{})
		if err != nil {
			t.Fatal(name, err)
		}
		for _, verdict := range result.Report.Rules {
			if verdict.Violations > 0 {
				t.Errorf("%s: rule %d violated %d times, first at %.3f, %s: %s", name, verdict.Rule, verdict.Violations, verdict.FirstTime, verdict.Party, verdict.Reason)
			}
		}
		if len(result.Failures) > 0 || result.Report.Service.Share() < 0.85 || result.Report.Faults == 0 {
			t.Errorf("%s: service %.3f, faults %d, failures %v", name, result.Report.Service.Share(), result.Report.Faults, result.Failures)
		}
		t.Logf("%s: service %.3f of %d RPCs", name, result.Report.Service.Share(), result.Report.Service.RPCs)
	}
}

// TestVirtualTimeIsDeterministic checks that the same seed gives the same trace byte for byte, and another seed a different one.
func TestVirtualTimeIsDeterministic(t *testing.T) {
	play := func(seed uint64) []byte {
		scenario := readScript(t, RandomScript(11))
		scenario.Seed = seed
		result, err := PlayVirtual(scenario, Options{})
		if err != nil {
			t.Fatal(err)
		}
		var lines []byte
		for _, record := range result.Records {
			lines = record.Append(lines)
		}
		return lines
	}
	first, repeated, other := play(3), play(3), play(4)
	if !bytes.Equal(first, repeated) {
		t.Fatal("the same seed gave a different trace")
	}
	if bytes.Equal(first, other) || len(first) < 10000 {
		t.Fatalf("another seed gave the same trace, or the trace of %d bytes is too short", len(first))
	}
}

// TestProxyJoinsAfterTheEndpointListEmptied guards against a proxy that continues to send attempts to excluded backends: it joined
// while all backends were excluded, still had the tables of an earlier stream, and was not notified of the exclusions. The scenario
// search found this with seed 5480.
func TestProxyJoinsAfterTheEndpointListEmptied(t *testing.T) {
	result, err := PlayVirtual(readScript(t, `
settings perth.conf
length 8s
seed 481
servers 1 zone dc-kewdale capacity 30
servers 1 zone dc-malaga capacity 30
frontends 1 zone dc-kewdale rate 15
frontends 1 zone dc-malaga rate 6
at 3s kill coordinators 1 for 875ms
at 4s empty list for 2750ms
`), Options{})
	if err != nil || result.Report.Violated() {
		t.Fatalf("error %v, rules %v", err, result.Report.Rules)
	}
	notified := slices.ContainsFunc(result.Records, func(record trace.Record) bool {
		return record.Kind == trace.PushApplied && strings.HasPrefix(record.Text, "withdraw 1;withdraw 2")
	})
	if !notified {
		t.Fatal("no proxy was notified that all backends are excluded: the scenario no longer covers the case")
	}
}
