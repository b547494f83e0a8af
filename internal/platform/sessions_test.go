package platform

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// Collectors that stop within a long message must not take memory without bound: above a total those that hold the most are
// disconnected, and a sound one, which holds little, stays. Guards against issue 45 (a): at a limit of 32 MB, 900 of them took 43.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	test := newSteppedMachine(t, nil)
	test.machine.boot.MaxConnections, test.machine.boot.MaxRetainedBytes = 1000, 1<<20
	receive := func(conn statemachine.Conn, data string) string {
		_, actions := test.step(100.5, statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte(data)})
		return actions
	}
	const collectors = 400
	ended := 0
	for conn := range statemachine.Conn(collectors) {
		test.step(100.5, statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn + 1})
		actions := receive(conn+1, "telemetry zone=a\r\nupstream_stats zone=a ")
		if conn > 0 { // the first one is sound
			actions += receive(conn+1, strings.Repeat("a=1 ", 2500))
		}
		ended += strings.Count(actions, "abort")
		if strings.Contains(actions, "abort 1;") {
			t.Fatal("the sound collector is disconnected")
		}
	}
	retained := 0
	for _, peer := range test.machine.sessions {
		retained += peer.decoder.Retained()
	}
	if retained > test.machine.boot.MaxRetainedBytes || retained != test.machine.retainedBytes {
		t.Errorf("%d bytes are held, %d by the machine's count, at most %d wanted", retained, test.machine.retainedBytes, test.machine.boot.MaxRetainedBytes)
	}
	if ended == 0 || ended > collectors-50 {
		t.Errorf("%d of %d collectors are disconnected, some but not nearly all wanted", ended, collectors)
	}
	for conn := range statemachine.Conn(collectors) {
		test.step(100.6, statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn + 1, Text: "end"})
	}
	if left := test.machine.retainedBytes; left != 0 {
		t.Errorf("%d bytes are counted after all connections have ended", left)
	}
}
