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
func (r *endpointServiceRun) step(inputs ...statemachine.Input) []proto.EndpointUpdate {
	r.now += 0.01
	var out statemachine.Effects
	out.Reset()
	r.service.Step(r.now, inputs, &out)
	var updates []proto.EndpointUpdate
	for _, action := range out.Actions {
		r.reader.Feed(action.Data)
		for message, _ := r.reader.Next(); message != nil; message, _ = r.reader.Next() {
			update, ok := message.(proto.EndpointUpdate)
			if ok && (update.Kind != proto.UpdateDelta || len(update.Endpoints) > 0) {
				updates = append(updates, update)
			}
		}
	}
	return updates
}

// command steps the service with commands.
func (r *endpointServiceRun) command(texts ...string) []proto.EndpointUpdate {
	var inputs []statemachine.Input
	for _, text := range texts {
		inputs = append(inputs, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
	return r.step(inputs...)
}

// watch asks for the updates since a version.
func (r *endpointServiceRun) watch(since uint64) []proto.EndpointUpdate {
	return r.step(statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(nil, proto.WatchEndpoints{On: true, SinceVersion: since})})
}

func startEndpointService(endpoints []Endpoint) *endpointServiceRun {
	run := &endpointServiceRun{service: NewEndpointService(endpoints), now: 10}
	run.reader.HandshakeDone()
	hello := proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleWatcher, Name: "c0"})
	run.step(
		statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1},
		statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: hello},
	)
	return run
}

func twoEndpoints() []Endpoint {
	return []Endpoint{
		{Backend: 1, State: proto.BackendOpen, Addr: "s1", Incarnation: 1},
		{Backend: 2, State: proto.BackendOpen, Addr: "s2", Incarnation: 1},
	}
}

func isOneUpdate(updates []proto.EndpointUpdate, kind proto.UpdateKind, entries int) bool {
	return len(updates) == 1 && updates[0].Kind == kind && len(updates[0].Endpoints) == entries
}

// A watcher gets what changed since its version, the full list if the service can't tell, and nothing twice.
func TestEndpointUpdates(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	if updates := run.watch(0); !isOneUpdate(updates, proto.UpdateFull, 2) {
		t.Fatal(updates)
	}
	updates := run.command("state 1 draining")
	if !isOneUpdate(updates, proto.UpdateDelta, 1) || updates[0].BaseVersion != 1 || updates[0].Version != 2 || updates[0].Endpoints[0].State != proto.BackendDraining {
		t.Fatal(updates)
	}
	if updates := run.command("stale on", "state 1 gone", "restart 1"); len(updates) != 0 {
		t.Fatal("updates while stale:", updates)
	}
	updates = run.command("stale off")
	if !isOneUpdate(updates, proto.UpdateDelta, 1) {
		t.Fatal("not the last state of each endpoint, once:", updates)
	}
	if endpoint := updates[0].Endpoints[0]; endpoint.State != proto.BackendOpen || endpoint.StartedLongAgo || endpoint.Incarnation != 2 {
		t.Fatal("not the last state of each endpoint, once:", updates)
	}
	if updates := run.watch(2); len(updates) != 1 || updates[0].BaseVersion != 2 || updates[0].Version != 4 {
		t.Fatal(updates)
	}
	if updates := run.watch(9); len(updates) != 1 || updates[0].Kind != proto.UpdateFull {
		t.Fatal("for a version that never was:", updates)
	}
}

func TestEndpointServiceFaults(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	run.watch(0)
	run.command("state 1 draining")
	run.command("stale on")
	run.command("state 1 gone")
	run.command("restart 1") // the history is that of an endpoint that restarted while the list was stale
	run.command("stale off")
	if updates := run.command("show none"); !isOneUpdate(updates, proto.UpdateFull, 0) {
		t.Fatal(updates)
	}
	if updates := run.command("show all"); len(updates) != 1 || len(updates[0].Endpoints) != 2 {
		t.Fatal(updates)
	}
	if updates := run.command("fail on"); len(updates) != 0 || len(run.service.watchers) != 0 {
		t.Fatal(updates)
	}
}
