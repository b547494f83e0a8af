package scenario

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"gingerfork/internal/trace"
)

// Each built-in scenario keeps all rules, with a service that a build without one of the remedies would not reach.
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

// The same seed gives the same trace to the byte, another seed another one.
func TestVirtualTimeIsDeterministic(t *testing.T) {
	play := func(seed uint64) []byte {
		d := readScript(t, RandomScript(11))
		d.Seed = seed
		r, err := PlayVirtual(d, Options{})
		if err != nil {
			t.Fatal(err)
		}
		var b []byte
		for _, x := range r.Records {
			b = x.Append(b)
		}
		return b
	}
	one, same, other := play(3), play(3), play(4)
	if !bytes.Equal(one, same) {
		t.Fatal("the same seed gave another trace")
	}
	if bytes.Equal(one, other) || len(one) < 10000 {
		t.Fatalf("another seed gave the same trace of %d bytes", len(one))
	}
}

// A proxy that joins while all backends are excluded holds tables of an earlier stream, and must be notified of the exclusions.
// Found by search (seed 5480): it continued to send.
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
		t.Fatal(err, result.Report.Rules)
	}
	notified := slices.ContainsFunc(result.Records, func(record trace.Record) bool {
		return record.Kind == trace.PushApplied && strings.HasPrefix(record.Text, "withdraw 1;withdraw 2")
	})
	if !notified {
		t.Fatal("no proxy was notified that all backends are excluded: the scenario no longer covers the case")
	}
}
