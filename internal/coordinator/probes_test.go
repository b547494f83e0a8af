package coordinator

import (
	"testing"

	"gingerfork/internal/proto"
)

// Backends of which no attempts are reported are probed, within the limit; a probe without reply ends by its timeout.
func TestProbes(t *testing.T) {
	harness := newHarness(t, map[string]any{"report_period": 0.2}, nil)
	harness.serveEndpoints(8)
	harness.join(1, "f0")
	harness.advance(0.1)
	harness.acknowledgeFirst(0, 1)
	maxInFlight := 0
	for range 60 { // only backend 1 answers
		harness.step(0.1, data(1, proto.Reports{
			Span: 0.1, Usage: []proto.UsageReport{{RPCs: 20}}, Attempts: []proto.AttemptReport{{Backend: 1, Attempts: 20, MeanLatency: 0.01}},
		}))
		harness.advance(0.05)
		maxInFlight = max(maxInFlight, harness.machine.probesInFlight)
	}
	if len(harness.probes) < 8 || maxInFlight > 4 || maxInFlight == 0 {
		t.Fatalf("%d probes, %d at the same time", len(harness.probes), maxInFlight)
	}
	for conn, addr := range harness.probes {
		if addr == "s1" {
			t.Errorf("the backend that answers was probed on connection %d", conn)
		}
	}
}
