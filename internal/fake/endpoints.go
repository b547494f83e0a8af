package fake

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

const (
	// maxHistoryLength is the maximum number of changes of the list that are kept to answer watchers with changes. When there are
	// more, only the newer half of them is kept.
	maxHistoryLength = 4096
	// heartbeatPeriod is the time between two heartbeats, which are empty updates, to a watcher.
	heartbeatPeriod statemachine.Seconds = 1
)

// Endpoint is a backend's entry in the endpoint list.
type Endpoint struct {
	Backend     proto.BackendID
	State       proto.BackendState
	Kind        string
	Zone        string
	Cell        uint64 // group of backends that may fail together
	Weight      float64
	Addr        string
	StartedAt   statemachine.Seconds // start time of the backend's process; 0: long ago
	Incarnation uint64               // changes with each start of the backend's process
}

// EndpointService is a fake endpoint list service with numbered versions, full and incremental updates, and watchers. On command
// its updates are late, stale, incomplete, empty or failing. It implements statemachine.Machine.
type EndpointService struct {
	// RewriteAddr returns the address at which a watcher reaches a backend, such as that of a relay. nil: the backend's own address.
	RewriteAddr func(watcher, addr string) string

	listed        map[proto.BackendID]Endpoint
	everListed    map[proto.BackendID]Endpoint // last entry of every backend, including those that are gone
	version       uint64
	history       []endpointChange // oldest first
	watchers      map[statemachine.Conn]*watcher
	timers        timers
	nextHeartbeat statemachine.Seconds
	faults        endpointServiceFaults
	started       bool
	out           *statemachine.Effects
}

// endpointServiceFaults are the faults that commands inject.
type endpointServiceFaults struct {
	delay   statemachine.Seconds     // time from a change of the list until the watchers are sent updates
	failing bool                     // every request is answered with a failure
	stale   bool                     // watchers get no updates after a change
	visible map[proto.BackendID]bool // the listed backends that the service shows to watchers; nil: all
}

// endpointChange is an endpoint as it was after the change that made a version of the list.
type endpointChange struct {
	version  uint64
	endpoint Endpoint
}

// watcher is a connected client of the service.
type watcher struct {
	conn        statemachine.Conn
	reader      proto.Reader
	name        string
	watching    bool   // the client has asked for the list and gets updates
	sentVersion uint64 // last version of the list that the client was sent; 0: none, or the client needs a full list
}

// NewEndpointService returns a service whose first version lists the given endpoints.
func NewEndpointService(endpoints []Endpoint) *EndpointService {
	service := &EndpointService{
		listed: map[proto.BackendID]Endpoint{}, everListed: map[proto.BackendID]Endpoint{}, version: 1,
		watchers: map[statemachine.Conn]*watcher{},
	}
	for _, endpoint := range endpoints {
		service.listed[endpoint.Backend] = endpoint
		service.everListed[endpoint.Backend] = endpoint
	}
	return service
}

// Step implements statemachine.Machine.
func (s *EndpointService) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	s.out = out
	if !s.started {
		s.started = true
		s.recordFullList(now)
	}
	s.timers.runDue(now)
	for _, input := range inputs {
		s.handleInput(now, input)
	}
	if now >= s.nextHeartbeat {
		s.nextHeartbeat = now + heartbeatPeriod
		s.sendHeartbeats()
	}
	out.WakeBy(s.nextHeartbeat)
	s.timers.requestWakeup(out)
}

func (s *EndpointService) handleInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		s.watchers[input.Conn] = &watcher{conn: input.Conn}
	case statemachine.ConnClosed:
		delete(s.watchers, input.Conn)
	case statemachine.OperatorCommand:
		s.handleCommand(now, input.Text)
	case statemachine.ConnData:
		if client := s.watchers[input.Conn]; client != nil {
			client.reader.Feed(input.Data)
			s.readRequests(now, client)
		}
	}
}

// sendHeartbeats sends every watcher an empty incremental update from the version that the watcher has to the same version.
func (s *EndpointService) sendHeartbeats() {
	for _, conn := range sortedConns(s.watchers) {
		if client := s.watchers[conn]; client.watching {
			s.out.Write(conn, proto.Append(nil, proto.EndpointUpdate{
				Kind: proto.UpdateDelta, BaseVersion: client.sentVersion, Version: client.sentVersion,
			}))
		}
	}
}

// readRequests handles the complete messages that a client sent. An invalid one is rejected and ends the connection.
func (s *EndpointService) readRequests(now statemachine.Seconds, client *watcher) {
	for s.watchers[client.conn] == client {
		message, err := client.reader.Next()
		if err != nil {
			s.out.Write(client.conn, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			s.out.Close(client.conn)
			delete(s.watchers, client.conn)
			return
		}
		switch message := message.(type) {
		case nil:
			return
		case proto.Hello:
			client.name = message.Name
			client.reader.HandshakeDone()
			s.out.Write(client.conn, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: "list"}))
		case proto.WatchEndpoints:
			s.out.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: client.name})
			client.watching = false
			if message.On {
				s.answer(now, client, message.SinceVersion)
			}
		case proto.FetchEndpoints:
			s.out.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: client.name})
			s.answer(now, client, 0)
		}
	}
}

// answer sends a client the changes since a version if the history reaches back to it, else the full list. From then on the client
// gets updates. While requests fail, the answer is a failure.
func (s *EndpointService) answer(now statemachine.Seconds, client *watcher, since uint64) {
	if s.faults.failing {
		s.out.Write(client.conn, proto.Append(nil, proto.EndpointUpdate{
			Kind: proto.UpdateFailed, Reason: "the list service is out of order",
		}))
		return
	}
	client.watching = true
	client.sentVersion = since
	if !s.historyReaches(since) || s.faults.visible != nil {
		client.sentVersion = 0
	}
	s.sendUpdate(now, client)
}

// historyReaches reports whether the history has all changes after a version.
func (s *EndpointService) historyReaches(since uint64) bool {
	if since == 0 || since > s.version {
		return false
	}
	return since == s.version || len(s.history) > 0 && s.history[0].version <= since+1
}

// notify sends a watcher an update if the watcher lacks the current version and the injected fault stale is off.
func (s *EndpointService) notify(now statemachine.Seconds, client *watcher) {
	if !s.faults.stale && client.sentVersion != s.version {
		s.sendUpdate(now, client)
	}
}

// sendUpdate sends a watcher the changes since its version, which may be none, or the full list.
func (s *EndpointService) sendUpdate(now statemachine.Seconds, client *watcher) {
	update := proto.EndpointUpdate{Kind: proto.UpdateFull, BaseVersion: client.sentVersion, Version: s.version}
	var endpoints []Endpoint
	if client.sentVersion == 0 || s.faults.visible != nil {
		endpoints = s.visibleEndpoints()
	} else {
		update.Kind = proto.UpdateDelta
		endpoints = s.changedSince(client.sentVersion)
	}
	for _, endpoint := range endpoints {
		update.Endpoints = append(update.Endpoints, s.toProto(now, client, endpoint))
	}
	client.sentVersion = s.version
	s.out.Write(client.conn, proto.Append(nil, update))
	s.record(now, client.name, update.Kind, endpoints)
}

// changedSince returns the endpoints that changed after a version, each once and in its current state.
func (s *EndpointService) changedSince(version uint64) []Endpoint {
	var changed []Endpoint
	positions := map[proto.BackendID]int{}
	for _, change := range s.history {
		if change.version <= version {
			continue
		}
		if position, repeated := positions[change.endpoint.Backend]; repeated {
			changed[position] = change.endpoint
			continue
		}
		positions[change.endpoint.Backend] = len(changed)
		changed = append(changed, change.endpoint)
	}
	return changed
}

// toProto converts an endpoint to the protocol's form, with the address that the watcher is to use.
func (s *EndpointService) toProto(now statemachine.Seconds, client *watcher, endpoint Endpoint) proto.Endpoint {
	entry := proto.Endpoint{
		Backend: endpoint.Backend, State: endpoint.State, Kind: endpoint.Kind, Zone: endpoint.Zone, Cell: endpoint.Cell,
		Weight: endpoint.Weight, StartedLongAgo: endpoint.StartedAt == 0, Incarnation: endpoint.Incarnation, Addr: endpoint.Addr,
	}
	if s.RewriteAddr != nil {
		entry.Addr = s.RewriteAddr(client.name, endpoint.Addr)
	}
	if endpoint.StartedAt > 0 {
		entry.Age = max(0, now-endpoint.StartedAt)
	}
	return entry
}

// visibleEndpoints returns the listed endpoints that are visible, sorted by backend.
func (s *EndpointService) visibleEndpoints() []Endpoint {
	var visible []Endpoint
	for backend, endpoint := range s.listed {
		if s.faults.visible == nil || s.faults.visible[backend] {
			visible = append(visible, endpoint)
		}
	}
	slices.SortFunc(visible, func(a, b Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return visible
}

// recordFullList writes the visible list to the trace, as the list that is now true.
func (s *EndpointService) recordFullList(now statemachine.Seconds) {
	s.record(now, "", proto.UpdateFull, s.visibleEndpoints())
}

// record writes an update to the trace. A record without a client's name is the actual list, with which the invariant checker
// compares.
func (s *EndpointService) record(now statemachine.Seconds, client string, kind proto.UpdateKind, endpoints []Endpoint) {
	prefix := "changes "
	if kind == proto.UpdateFull {
		prefix = "full "
	}
	s.out.Record(trace.Record{
		Time: now, Kind: trace.EndpointsDelivered, Coordinator: client, Count: int64(s.version), Text: prefix + describeEndpoints(endpoints),
	})
}

// describeEndpoints formats endpoints as in the trace: backend number, state (o, d or g), start time of the process and zone.
func describeEndpoints(endpoints []Endpoint) string {
	descriptions := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		state := "god"[endpoint.State] // gone, open, draining
		descriptions = append(descriptions, fmt.Sprintf("%d:%c:%.3f:%s", endpoint.Backend, state, endpoint.StartedAt, endpoint.Zone))
	}
	return strings.Join(descriptions, " ")
}

// change makes a new version in which an endpoint is replaced, and notifies the watchers.
func (s *EndpointService) change(now statemachine.Seconds, endpoint Endpoint) {
	s.version++
	s.everListed[endpoint.Backend] = endpoint
	if endpoint.State == proto.BackendGone {
		delete(s.listed, endpoint.Backend)
	} else {
		s.listed[endpoint.Backend] = endpoint
	}
	s.history = append(s.history, endpointChange{s.version, endpoint})
	if len(s.history) > maxHistoryLength {
		s.history = slices.Clone(s.history[len(s.history)-maxHistoryLength/2:])
	}
	s.record(now, "", proto.UpdateDelta, []Endpoint{endpoint})
	s.notifyAll(now)
}

// notifyAll sends all watchers the updates that they lack, after the injected delay if there is one.
func (s *EndpointService) notifyAll(now statemachine.Seconds) {
	notifyWatchers := func(now statemachine.Seconds) {
		for _, conn := range sortedConns(s.watchers) {
			if client := s.watchers[conn]; client.watching {
				s.notify(now, client)
			}
		}
	}
	if s.faults.delay > 0 {
		s.timers.schedule(now+s.faults.delay, notifyWatchers)
	} else {
		notifyWatchers(now)
	}
}

// abortWatchers resets the connections of all clients.
func (s *EndpointService) abortWatchers() {
	for _, conn := range sortedConns(s.watchers) {
		s.out.Abort(conn)
		delete(s.watchers, conn)
	}
}
