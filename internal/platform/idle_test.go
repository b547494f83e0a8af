package platform

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// A collector that has lost its connection without a close and has connected again costs one file descriptor, not one for
// each loss. While no other speaks for its zone, or the other connection is not later, it stays.
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
			t.Fatalf("the only collector of its zone is closed at %v", now)
		}
	}
	join(130, 13, "a")
	closed := 0.0
	for now := 130.0; now < 160; now++ {
		actions := report(now, 13) + report(now+0.1, 12)
		if strings.Contains(actions, "abort 11;") {
			closed = now
		}
		if strings.Contains(actions, "abort 12;") || strings.Contains(actions, "abort 13;") {
			t.Errorf("one that reports is closed at %v", now)
		}
	}
	if closed == 0 || len(stepped.machine.collectors) != 2 {
		t.Errorf("the silent one was closed at %v, %d are kept", closed, len(stepped.machine.collectors))
	}
}
