package coordinator

import (
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// Usage is handed over at once; in one row with tries it waited behind them while they gathered, and levels began so
// much later. Found on an emulated fleet.
func TestUsageReportsDoNotWaitForAttemptReports(t *testing.T) {
	k := newReportAggregator(choice.Config{Now: 100, Settings: choice.DecodeSettings(map[string]any{"intake": 0.0, "report_period": 2.0})})
	known := func(choice.BackendID) bool { return true }
	sums := proto.Sums{Over: 1, Tries: []proto.Tries{{EP: 1, Tries: 4}}, Usage: []proto.Usage{{Method: 0, RPCs: 5}}}
	k.add(100, &proxyStream{zone: "a"}, sums, known, 1)
	first := k.due(100)
	if len(first) != 1 {
		t.Fatalf("%d events at once", len(first))
	}
	if _, usage := first[0].(choice.UsageReport); !usage {
		t.Fatalf("first came %T", first[0])
	}
	if later := k.due(101); len(later) != 1 {
		t.Fatalf("%d events once the tries had gathered", len(later))
	}
	k.add(102, &proxyStream{zone: "a", proxy: 7}, sums, known, 1)
	k.forgetProxy(7)
	if rest := k.due(110); len(rest) != 1 {
		t.Fatalf("%d events of a proxy that was forgotten and a server that was not", len(rest))
	}
}
