package fake

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// relayRun steps a relay and collects what it writes and closes.
type relayRun struct {
	relay  *Relay
	dialed statemachine.Conn
	writes []string
}

func (r *relayRun) step(now statemachine.Seconds, inputs ...statemachine.Input) {
	var out statemachine.Effects
	out.Reset()
	r.relay.Step(now, inputs, &out)
	for _, action := range out.Actions {
		switch action.Kind {
		case statemachine.ActionDial:
			r.dialed = action.Conn
		case statemachine.ActionWrite:
			r.writes = append(r.writes, string(action.Data))
		case statemachine.ActionClose:
			r.writes = append(r.writes, "close")
		}
	}
}

// A relay keeps the order of data, also when the latency changes, and holds data during a partition.
func TestRelay(t *testing.T) {
	run := &relayRun{relay: NewRelay("target")}
	send := func(text string) statemachine.Input {
		return statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: []byte(text)}
	}
	command := func(text string) statemachine.Input {
		return statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}
	}
	run.step(10, statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1}, send("a"))
	run.step(11, statemachine.Input{Kind: statemachine.ConnOpened, Conn: run.dialed}, send("b"))
	run.step(12, command("set 0 0 0 2 0"), send("c"))
	run.step(13, command("set 0 1 0 0 0"), send("d"))
	run.step(20, send("e"), statemachine.Input{Kind: statemachine.ConnClosed, Conn: 1})
	if got := strings.Join(run.writes, " "); got != "a b" {
		t.Fatalf("during the partition the target got %q", got)
	}
	run.step(21, command("set 0 0 0 0 0"))
	run.step(30)
	if got := strings.Join(run.writes, " "); got != "a b c d e close" {
		t.Fatalf("after the partition the target got %q", got)
	}
}
