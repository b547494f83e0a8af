package coordinator

import (
	"testing"

	"gingerfork/internal/proto"
)

// Backends for which no attempts are reported are probed, with no more probes in flight than the limit allows. A probe
// without a reply ends with its timeout and makes room for the next one.
func TestProbes(t *testing.T) {
	harness := newHarness(t, map[string]any{"report_period": 0.2}, nil)
	harness.serveEndpoints(8)
	harness.join(1, "f0")
	harness.advance(0.1)
	harness.acknowledgeFirst(0, 1)
	maxInFlight := 0
	for range 60 { // attempts are reported for backend 1 only
		harness.step(0.1, data(1, proto.Reports{
			Span:     0.1,
			Usage:    []proto.UsageReport{{RPCs: 20}},
			Attempts: []proto.AttemptReport{{Backend: 1, Attempts: 20, MeanLatency: 0.01}},
		}))
		harness.advance(0.05)
		maxInFlight = max(maxInFlight, harness.machine.probesInFlight)
	}
	if len(harness.probes) < 8 || maxInFlight > 4 || maxInFlight == 0 {
		t.Fatalf("%d probes, at most %d in flight, want at least 8 probes and 1 to 4 in flight", len(harness.probes), maxInFlight)
	}
	for conn, addr := range harness.probes {
		if addr == "s1" {
			t.Errorf("the backend with reported attempts was probed on connection %d", conn)
		}
	}
}
