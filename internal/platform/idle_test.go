package platform

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// A collector can lose its connection without closing it, and connect again. The old connection must then be closed, since
// otherwise each such loss would use up a file descriptor. An idle connection stays open if it is the only or the latest one
// of its zone.
func TestReplacedCollectorIsClosed(t *testing.T) {
	stepped := newSteppedMachine(t, nil)
	join := func(now statemachine.Seconds, conn statemachine.Conn, zone string) {
		stepped.step(now, statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn},
			statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte("telemetry zone=" + zone + "\r\n")})
	}
	report := func(now statemachine.Seconds, conn statemachine.Conn) string {
		_, actions := stepped.step(now, statemachine.Input{
			Kind: statemachine.ConnData, Conn: conn, Data: []byte("upstream_stats zone=a server=s tries=1 failed=0 mean_ms=1 span_ms=1\r\n"),
		})
		return actions
	}
	join(101, 11, "a")
	join(101, 12, "b")
	for now := 101.0; now < 130; now++ {
		if actions := report(now, 12); strings.Contains(actions, "abort 11;") {
			t.Fatalf("the only collector connection of zone a is closed at %v s", now)
		}
	}
	join(130, 13, "a")
	closedAt := 0.0
	for now := 130.0; now < 160; now++ {
		actions := report(now, 13) + report(now+0.1, 12)
		if strings.Contains(actions, "abort 11;") {
			closedAt = now
		}
		if strings.Contains(actions, "abort 12;") || strings.Contains(actions, "abort 13;") {
			t.Errorf("a collector connection on which reports come is closed at %v s", now)
		}
	}
	if closedAt == 0 || len(stepped.machine.collectors) != 2 {
		t.Errorf("the replaced collector connection was closed at %v s (0: never); %d collector connections are open, want 2", closedAt, len(stepped.machine.collectors))
	}
}
