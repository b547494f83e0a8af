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
	// maxHistory is how many changes are kept; when there are more, the older half goes.
	maxHistory = 4096
	// heartbeatPeriod is the time between two empty updates to a watcher.
	heartbeatPeriod statemachine.Seconds = 1
)

// Endpoint is a backend's entry in the endpoint list.
type Endpoint struct {
	Backend     proto.BackendID
	State       proto.BackendState
	Kind        string
	Zone        string
	Cell        uint64
	Weight      float64
	Addr        string
	StartedAt   statemachine.Seconds // of its process; 0: long ago
	Incarnation uint64
}

// EndpointService is a fake endpoint list service with numbered versions, full and incremental updates, and watchers. On
// command it is late, stale, wrong, empty or failing. It implements statemachine.Machine.
type EndpointService struct {
	// RewriteAddr gives the address at which a watcher is to reach a backend; nil: the backend's own.
	RewriteAddr func(watcher, addr string) string

	listed        map[proto.BackendID]Endpoint
	everListed    map[proto.BackendID]Endpoint // as last listed, those that are gone included
	version       uint64
	history       []endpointChange // oldest first
	watchers      map[statemachine.Conn]*watcher
	timers        timers
	nextHeartbeat statemachine.Seconds
	faults        endpointServiceFaults
	started       bool
	out           *statemachine.Effects
}

type endpointServiceFaults struct {
	delay   statemachine.Seconds     // of updates
	failing bool                     // every request fails
	stale   bool                     // watchers get no updates
	visible map[proto.BackendID]bool // the only backends that are shown; nil: all
}

type endpointChange struct {
	version  uint64
	endpoint Endpoint
}

type watcher struct {
	conn        statemachine.Conn
	reader      proto.Reader
	name        string
	watching    bool
	sentVersion uint64 // 0: none, or one that no longer holds
}

// NewEndpointService makes a service whose first version lists these endpoints.
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

// sendHeartbeats sends every watcher an empty incremental update of the version that it has.
func (s *EndpointService) sendHeartbeats() {
	for _, conn := range sortedConns(s.watchers) {
		if client := s.watchers[conn]; client.watching {
			s.out.Write(conn, proto.Append(nil, proto.EndpointUpdate{
				Kind: proto.UpdateDelta, BaseVersion: client.sentVersion, Version: client.sentVersion,
			}))
		}
	}
}

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

// answer sends what changed since a version if the history reaches back to it, else the full list.
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

func (s *EndpointService) historyReaches(since uint64) bool {
	if since == 0 || since > s.version {
		return false
	}
	return since == s.version || len(s.history) > 0 && s.history[0].version <= since+1
}

// notify sends a watcher an update if it lacks one and the service is not stale.
func (s *EndpointService) notify(now statemachine.Seconds, client *watcher) {
	if !s.faults.stale && client.sentVersion != s.version {
		s.sendUpdate(now, client)
	}
}

// sendUpdate sends a watcher what it lacks, or an empty update.
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
		update.Endpoints = append(update.Endpoints, s.encode(now, client, endpoint))
	}
	client.sentVersion = s.version
	s.out.Write(client.conn, proto.Append(nil, update))
	s.record(now, client.name, update.Kind, endpoints)
}

// changedSince lists the endpoints that changed after a version, each once, as it is now.
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

func (s *EndpointService) encode(now statemachine.Seconds, client *watcher, endpoint Endpoint) proto.Endpoint {
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

// visibleEndpoints are the listed endpoints that are shown, by backend.
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

func (s *EndpointService) recordFullList(now statemachine.Seconds) {
	s.record(now, "", proto.UpdateFull, s.visibleEndpoints())
}

// record writes an update to the trace. Without a watcher's name it is the truth that the invariant checker goes by.
func (s *EndpointService) record(now statemachine.Seconds, client string, kind proto.UpdateKind, endpoints []Endpoint) {
	prefix := "changes "
	if kind == proto.UpdateFull {
		prefix = "full "
	}
	s.out.Record(trace.Record{
		Time: now, Kind: trace.EndpointsDelivered, Coordinator: client, Count: int64(s.version), Text: prefix + describeEndpoints(endpoints),
	})
}

// describeEndpoints writes endpoints in the trace's format: number, state (o, d or g), start and zone.
func describeEndpoints(endpoints []Endpoint) string {
	descriptions := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		state := "god"[endpoint.State] // gone, open, draining
		descriptions = append(descriptions, fmt.Sprintf("%d:%c:%.3f:%s", endpoint.Backend, state, endpoint.StartedAt, endpoint.Zone))
	}
	return strings.Join(descriptions, " ")
}

// change makes a new version with an endpoint as it is from now on, and notifies the watchers.
func (s *EndpointService) change(now statemachine.Seconds, endpoint Endpoint) {
	s.version++
	s.everListed[endpoint.Backend] = endpoint
	if endpoint.State == proto.BackendGone {
		delete(s.listed, endpoint.Backend)
	} else {
		s.listed[endpoint.Backend] = endpoint
	}
	s.history = append(s.history, endpointChange{s.version, endpoint})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory/2:])
	}
	s.record(now, "", proto.UpdateDelta, []Endpoint{endpoint})
	s.notifyAll(now)
}

// notifyAll notifies the watchers, after the delay if there is one.
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

func (s *EndpointService) abortWatchers() {
	for _, conn := range sortedConns(s.watchers) {
		s.out.Abort(conn)
		delete(s.watchers, conn)
	}
}
