package fake

import (
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// endpointServiceRun steps an endpoint service that has one watcher, on connection 1.
type endpointServiceRun struct {
	service *EndpointService
	reader  proto.Reader
	now     statemachine.Seconds
}

// step gives the updates that a step sent, heartbeats left out.
func (r *endpointServiceRun) step(inputs ...statemachine.Input) []proto.List {
	r.now += 0.01
	var out statemachine.Effects
	out.Reset()
	r.service.Step(r.now, inputs, &out)
	var updates []proto.List
	for _, action := range out.Actions {
		r.reader.Feed(action.Data)
		for message, _ := r.reader.Next(); message != nil; message, _ = r.reader.Next() {
			update, ok := message.(proto.List)
			if ok && (update.Kind != proto.ListChanges || len(update.Entries) > 0) {
				updates = append(updates, update)
			}
		}
	}
	return updates
}

// command steps the service with commands.
func (r *endpointServiceRun) command(texts ...string) []proto.List {
	var inputs []statemachine.Input
	for _, text := range texts {
		inputs = append(inputs, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
	return r.step(inputs...)
}

// watch asks for the updates since a version.
func (r *endpointServiceRun) watch(since uint64) []proto.List {
	return r.step(statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(nil, proto.Watch{On: true, Since: since})})
}

func startEndpointService(endpoints []Endpoint) *endpointServiceRun {
	run := &endpointServiceRun{service: NewEndpointService(endpoints), now: 10}
	run.reader.Open()
	hello := proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleWatcher, Name: "c0"})
	run.step(
		statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1},
		statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: hello},
	)
	return run
}

func twoEndpoints() []Endpoint {
	return []Endpoint{
		{Backend: 1, State: proto.ServerOpen, Addr: "s1", Incarnation: 1},
		{Backend: 2, State: proto.ServerOpen, Addr: "s2", Incarnation: 1},
	}
}

func isOneUpdate(updates []proto.List, kind proto.ListKind, entries int) bool {
	return len(updates) == 1 && updates[0].Kind == kind && len(updates[0].Entries) == entries
}

// A watcher gets what changed since its version, the full list if the service can't tell, and nothing twice.
func TestEndpointUpdates(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	if updates := run.watch(0); !isOneUpdate(updates, proto.ListFull, 2) {
		t.Fatal(updates)
	}
	updates := run.command("state 1 draining")
	if !isOneUpdate(updates, proto.ListChanges, 1) || updates[0].Base != 1 || updates[0].Version != 2 || updates[0].Entries[0].State != proto.ServerDraining {
		t.Fatal(updates)
	}
	if updates := run.command("stale on", "state 1 gone", "restart 1"); len(updates) != 0 {
		t.Fatal("updates while stale:", updates)
	}
	updates = run.command("stale off")
	if !isOneUpdate(updates, proto.ListChanges, 1) {
		t.Fatal("not the last state of each endpoint, once:", updates)
	}
	if endpoint := updates[0].Entries[0]; endpoint.State != proto.ServerOpen || endpoint.Old || endpoint.Stamp != 2 {
		t.Fatal("not the last state of each endpoint, once:", updates)
	}
	if updates := run.watch(2); len(updates) != 1 || updates[0].Base != 2 || updates[0].Version != 4 {
		t.Fatal(updates)
	}
	if updates := run.watch(9); len(updates) != 1 || updates[0].Kind != proto.ListFull {
		t.Fatal("for a version that never was:", updates)
	}
}

func TestEndpointServiceFaults(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	run.watch(0)
	run.command("state 1 draining")
	if updates := run.command("show none"); !isOneUpdate(updates, proto.ListFull, 0) {
		t.Fatal(updates)
	}
	if updates := run.command("show all"); len(updates) != 1 || len(updates[0].Entries) != 2 {
		t.Fatal(updates)
	}
	if updates := run.command("fail on"); len(updates) != 0 || len(run.service.watchers) != 0 {
		t.Fatal(updates)
	}
}
