package platform

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// steppedMachine is a machine that a test steps at times of its choice.
type steppedMachine struct {
	t       *testing.T
	machine *Machine
}

// newSteppedMachine returns a machine that has made its first step, at 100 s, and dialed discovery at here:1.
func newSteppedMachine(t *testing.T, change func(map[string]any)) *steppedMachine {
	t.Helper()
	values := testSettings(8, 1)
	if change != nil {
		change(values)
	}
	m, err := New(Bootstrap{
		Name: "c0", Discovery: "here:1", MaxConnections: 64, MaxProbes: 4, MaxResponseBytes: 1 << 20, HandshakeTimeout: 1,
		Module: choice.Config{Seed: 1, Now: 100, Settings: choice.DecodeSettings(values)},
	})
	if err != nil {
		t.Fatal(err)
	}
	stepped := &steppedMachine{t, m}
	if dials, _ := stepped.step(100); len(dials) != 1 {
		t.Fatalf("at its start it dials %v", dials)
	}
	return stepped
}

// step makes a step and returns the addresses that are dialed, and all actions as text.
func (s *steppedMachine) step(now statemachine.Seconds, in ...statemachine.Input) (dials []string, actions string) {
	out := &statemachine.Effects{}
	out.Reset()
	s.machine.Step(now, in, out)
	for _, action := range out.Actions {
		conn := action.Conn &^ statemachine.DialedBit
		switch action.Kind {
		case statemachine.ActionDial:
			dials = append(dials, action.Addr)
			actions += fmt.Sprintf("dial %s;", action.Addr)
		case statemachine.ActionWrite:
			actions += fmt.Sprintf("write %d %s;", conn, strings.SplitN(string(action.Data), "\r\n", 2)[0])
		case statemachine.ActionAbort:
			actions += fmt.Sprintf("abort %d;", conn)
		}
	}
	return dials, actions
}

// connect opens the connection that was dialed last.
func (s *steppedMachine) connect(now statemachine.Seconds) string {
	_, actions := s.step(now, statemachine.Input{Kind: statemachine.ConnOpened, Conn: s.machine.lastDialed})
	return actions
}

// respond has discovery respond on the connection that was dialed last.
func (s *steppedMachine) respond(now statemachine.Seconds, status int, body string) string {
	_, actions := s.step(now, statemachine.Input{
		Kind: statemachine.ConnData, Conn: s.machine.lastDialed,
		Data: fmt.Appendf(nil, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body),
	})
	return actions
}
