package endpointservice

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

var testSettings = endpointfile.Settings{DrainPeriod: 10, MaxLossShare: 0.5}

func makeBackends(count int, weight float64) (backends []endpointfile.Backend) {
	for i := range count {
		backends = append(backends, endpointfile.Backend{ID: uint32(i + 1), Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("h:%d", i), Weight: weight})
	}
	return backends
}

// harness steps a service explicitly and records descriptions of the messages that its watchers receive.
type harness struct {
	t        *testing.T
	service  *Service
	now      float64
	state    []byte // the last saved state file
	received map[statemachine.Conn][]string
	errors   []error // of rejected files
}

func newHarness(t *testing.T, state []byte, now float64) *harness {
	t.Helper()
	h := &harness{t: t, now: now, received: map[statemachine.Conn][]string{}, state: state}
	service, err := New("list", "z", testSettings, state, func(_ int, err error) {
		if err != nil {
			h.errors = append(h.errors, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	h.service = service
	return h
}

func (h *harness) step(after float64, inputs ...statemachine.Input) {
	h.t.Helper()
	h.now += after
	effects := &statemachine.Effects{}
	effects.Reset()
	h.service.Step(h.now, inputs, effects)
	if state, saved := effects.Files[StateFile]; saved {
		h.state = state
	}
	for _, action := range effects.Actions {
		h.receive(action)
	}
	if effects.WakeAt > h.now+1.01 {
		h.t.Fatal("the next heartbeat is more than a second away")
	}
}

// receive records what an action sends to a watcher. Heartbeats are left out.
func (h *harness) receive(action statemachine.Action) {
	if action.Kind != statemachine.ActionWrite {
		h.received[action.Conn] = append(h.received[action.Conn], "closed")
		return
	}
	var reader proto.Reader
	reader.HandshakeDone()
	reader.Feed(action.Data)
	for message, _ := reader.Next(); message != nil; message, _ = reader.Next() {
		switch message := message.(type) {
		case proto.EndpointUpdate:
			if message.Kind == proto.UpdateDelta && len(message.Endpoints) == 0 {
				continue // a heartbeat
			}
			h.received[action.Conn] = append(h.received[action.Conn], describeUpdate(message))
		case proto.Reject:
			h.received[action.Conn] = append(h.received[action.Conn], "rejected")
		}
	}
}

// describeUpdate describes an update as its kind, the base version and the version, and for each endpoint ID, state and weight.
func describeUpdate(update proto.EndpointUpdate) string {
	text := fmt.Sprintf("%s %d-%d", []string{"full", "delta", "failed"}[update.Kind], update.BaseVersion, update.Version)
	for _, endpoint := range update.Endpoints {
		text += fmt.Sprintf(" %d%s%g", endpoint.Backend, []string{"gone", "open", "draining"}[endpoint.State], endpoint.Weight)
	}
	return text
}

// connData returns the input in which a connection delivers messages.
func connData(conn statemachine.Conn, messages ...proto.Message) statemachine.Input {
	input := statemachine.Input{Kind: statemachine.ConnData, Conn: conn}
	for _, message := range messages {
		input.Data = proto.Append(input.Data, message)
	}
	return input
}

// watch opens a connection and asks for updates since a version.
func (h *harness) watch(conn statemachine.Conn, since uint64) {
	h.t.Helper()
	h.step(0, statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn},
		connData(conn, proto.Hello{Version: proto.Version, Role: proto.RoleWatcher, Name: "c0"}, proto.WatchEndpoints{On: true, SinceVersion: since}))
}

// requireReceived fails the test unless a watcher received exactly these messages since the last call.
func (h *harness) requireReceived(conn statemachine.Conn, messages ...string) {
	h.t.Helper()
	if got, want := strings.Join(h.received[conn], "; "), strings.Join(messages, "; "); got != want {
		h.t.Fatalf("received %q, wanted %q", got, want)
	}
	h.received[conn] = nil
}

// A changed file is sent as a delta: a changed weight is one endpoint, and a backend that is no longer in the file is first
// draining and then gone. A watcher with an older version gets the changes since then, one with an unknown version the whole
// list.
func TestWatchersGetDeltas(t *testing.T) {
	watched := newHarness(t, nil, 100)
	watched.watch(1, 0)
	watched.requireReceived(1, "failed 0-0")
	watched.service.Submit(makeBackends(3, 1))
	watched.step(0.1)
	watched.requireReceived(1, "full 0-1 1open1 2open1 3open1")
	backends := makeBackends(3, 1)
	backends[1].Weight = 5
	watched.service.Submit(backends)
	watched.step(1)
	watched.requireReceived(1, "delta 1-2 2open5")
	watched.service.Submit(backends[:2])
	watched.step(1)
	watched.requireReceived(1, "delta 2-3 3draining1")
	watched.watch(2, 1)
	watched.requireReceived(2, "delta 1-3 2open5 3draining1")
	watched.watch(3, 77)
	watched.requireReceived(3, "full 77-3 1open1 2open5 3draining1")
	watched.step(9.9)
	watched.requireReceived(1)
	watched.step(0.2)
	watched.requireReceived(1, "delta 3-4 3gone1")
	watched.step(0, connData(3, proto.FetchEndpoints{}), connData(2, proto.ReportsReceived{}))
	watched.requireReceived(3, "delta 3-4 3gone1", "full 0-4 1open1 2open5")
	watched.requireReceived(2, "delta 3-4 3gone1", "rejected", "closed")
}

// A restarted service drains the backends that were removed from the file while it was down, continues the drains of the
// process before it, and accepts a file that the process before it rejected.
func TestRestartBetweenFiles(t *testing.T) {
	first := newHarness(t, nil, 100)
	first.service.Submit(makeBackends(4, 1))
	first.step(0.1)

	second := newHarness(t, first.state, 200)
	second.watch(1, 1)
	second.requireReceived(1)
	second.service.Submit(makeBackends(3, 1))
	second.step(0.1)
	second.requireReceived(1, "delta 1-2 4draining1")

	third := newHarness(t, second.state, 205)
	third.watch(1, 0)
	third.requireReceived(1, "full 0-2 1open1 2open1 3open1 4draining1")
	third.service.Submit(makeBackends(1, 1)) // takes two of three open endpoints out of use
	third.step(0.1)
	third.requireReceived(1)
	var loss *endpointfile.LossError
	if len(third.errors) != 1 || !errors.As(third.errors[0], &loss) {
		t.Fatalf("got the errors %v, want one LossError", third.errors)
	}
	third.step(5.1)
	third.requireReceived(1, "delta 2-3 4gone1")

	fourth := newHarness(t, third.state, 300)
	fourth.service.Submit(makeBackends(1, 1))
	fourth.step(0.1)
	fourth.watch(1, 0)
	fourth.requireReceived(1, "full 0-4 1open1 2draining1 3draining1")
	if len(fourth.errors) > 0 {
		t.Fatal("applied a second time after a restart, the file was rejected again")
	}
}

func TestNewReportsCorruptState(t *testing.T) {
	if service, err := New("x", "z", testSettings, []byte("{"), nil); err == nil || service == nil {
		t.Error("a corrupt state file was accepted")
	}
}
