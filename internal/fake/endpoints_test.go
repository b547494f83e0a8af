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

// step steps the service and returns the updates that it sent, without heartbeats.
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

// command steps the service with commands and returns the updates that it sent.
func (r *endpointServiceRun) command(texts ...string) []proto.EndpointUpdate {
	var inputs []statemachine.Input
	for _, text := range texts {
		inputs = append(inputs, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
	return r.step(inputs...)
}

// watch requests the updates since a version and returns those that the service sent.
func (r *endpointServiceRun) watch(since uint64) []proto.EndpointUpdate {
	return r.step(statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(nil, proto.WatchEndpoints{On: true, SinceVersion: since})})
}

// startEndpointService starts a service and connects the watcher, which has not requested updates yet.
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

// A watcher gets the changes since its version, each endpoint once, or the full list if the service does not know the version.
func TestEndpointUpdates(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	if updates := run.watch(0); !isOneUpdate(updates, proto.UpdateFull, 2) {
		t.Fatal("the first watch did not give the full list:", updates)
	}
	updates := run.command("state 1 draining")
	if !isOneUpdate(updates, proto.UpdateDelta, 1) || updates[0].BaseVersion != 1 || updates[0].Version != 2 || updates[0].Endpoints[0].State != proto.BackendDraining {
		t.Fatal("a change of state did not give one incremental update from version 1 to 2:", updates)
	}
	if updates := run.command("stale on", "state 1 gone", "restart 1"); len(updates) != 0 {
		t.Fatal("updates while stale:", updates)
	}
	updates = run.command("stale off")
	if !isOneUpdate(updates, proto.UpdateDelta, 1) {
		t.Fatal("want one incremental update with one endpoint:", updates)
	}
	if endpoint := updates[0].Endpoints[0]; endpoint.State != proto.BackendOpen || endpoint.StartedLongAgo || endpoint.Incarnation != 2 {
		t.Fatal("the update does not have the last state of the endpoint:", updates)
	}
	if updates := run.watch(2); len(updates) != 1 || updates[0].BaseVersion != 2 || updates[0].Version != 4 {
		t.Fatal("want one update from version 2 to 4:", updates)
	}
	if updates := run.watch(9); len(updates) != 1 || updates[0].Kind != proto.UpdateFull {
		t.Fatal("a watch from a version that never existed did not give the full list:", updates)
	}
}

// The commands show and fail take effect at once, also after an endpoint restarted while the list was stale.
func TestEndpointServiceFaults(t *testing.T) {
	run := startEndpointService(twoEndpoints())
	run.watch(0)
	run.command("state 1 draining")
	run.command("stale on")
	run.command("state 1 gone")
	run.command("restart 1") // leaves a history in which an endpoint restarted while the list was stale
	run.command("stale off")
	if updates := run.command("show none"); !isOneUpdate(updates, proto.UpdateFull, 0) {
		t.Fatal("after show none, want one empty full list:", updates)
	}
	if updates := run.command("show all"); len(updates) != 1 || len(updates[0].Endpoints) != 2 {
		t.Fatal("after show all, want one update with both endpoints:", updates)
	}
	if updates := run.command("fail on"); len(updates) != 0 || len(run.service.watchers) != 0 {
		t.Fatal("after fail on, want no update and no watcher:", updates)
	}
}
