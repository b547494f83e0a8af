package endpointservice

import (
	"fmt"

	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// tracedService adds to a service the trace records that the invariant checker needs, as the fake endpoint service writes them.
type tracedService struct {
	*Service
	sent     map[statemachine.Conn]*proto.Reader // messages sent by the service
	received map[statemachine.Conn]*proto.Reader // messages received by the service
	names    map[statemachine.Conn]string        // of the coordinators that are watchers
	version  uint64                              // of the list that was recorded last
}

func newTracedService(service *Service) *tracedService {
	return &tracedService{
		Service: service,
		sent:    map[statemachine.Conn]*proto.Reader{}, received: map[statemachine.Conn]*proto.Reader{},
		names: map[statemachine.Conn]string{},
	}
}

// Step steps the service and records the requests that it receives, the list and the updates that it sends.
func (s *tracedService) Step(now statemachine.Seconds, inputs []statemachine.Input, effects *statemachine.Effects) {
	for _, input := range inputs {
		s.recordRequests(now, input, effects)
	}
	s.Service.Step(now, inputs, effects)
	s.recordList(now, effects)
	for _, action := range effects.Actions {
		s.recordUpdates(now, action, effects)
	}
}

// recordRequests records the requests for the list.
func (s *tracedService) recordRequests(now statemachine.Seconds, input statemachine.Input, effects *statemachine.Effects) {
	switch input.Kind {
	case statemachine.ConnOpened:
		s.received[input.Conn], s.sent[input.Conn] = &proto.Reader{}, &proto.Reader{}
		s.received[input.Conn].HandshakeDone()
		s.sent[input.Conn].HandshakeDone()
	case statemachine.ConnData:
		reader := s.received[input.Conn]
		reader.Feed(input.Data)
		for message, _ := reader.Next(); message != nil; message, _ = reader.Next() {
			switch message := message.(type) {
			case proto.Hello:
				s.names[input.Conn] = message.Name
			case proto.WatchEndpoints, proto.FetchEndpoints:
				effects.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: s.names[input.Conn]})
			}
		}
	}
}

// recordList records each new version of the list, whether or not it is sent to a watcher.
func (s *tracedService) recordList(now statemachine.Seconds, effects *statemachine.Effects) {
	version := s.list.Version()
	if version == s.version {
		return
	}
	s.version = version
	text := "full"
	for _, endpoint := range s.list.Endpoints() {
		state := map[endpointfile.State]string{endpointfile.Open: "o", endpointfile.Draining: "d", endpointfile.Gone: "g"}[endpoint.State]
		text += fmt.Sprintf(" %d:%s:%.3f:%s", endpoint.ID, state, endpoint.StartTime, s.zone)
	}
	effects.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Count: int64(version), Text: text})
}

// recordUpdates records the updates that are sent to a coordinator, except for heartbeats and failures.
func (s *tracedService) recordUpdates(now statemachine.Seconds, action statemachine.Action, effects *statemachine.Effects) {
	reader := s.sent[action.Conn]
	if action.Kind != statemachine.ActionWrite || reader == nil {
		return
	}
	reader.Feed(action.Data)
	for message, _ := reader.Next(); message != nil; message, _ = reader.Next() {
		update, ok := message.(proto.EndpointUpdate)
		heartbeat := update.Kind == proto.UpdateDelta && len(update.Endpoints) == 0
		if !ok || update.Kind == proto.UpdateFailed || heartbeat {
			continue
		}
		effects.Record(trace.Record{
			Time: now, Kind: trace.EndpointsDelivered, Coordinator: s.names[action.Conn], Count: int64(update.Version), Text: updateTraceText(now, update),
		})
	}
}

// updateTraceText returns the text of the trace record of an update.
func updateTraceText(now statemachine.Seconds, update proto.EndpointUpdate) string {
	text := []string{"full", "changes"}[update.Kind]
	for _, endpoint := range update.Endpoints {
		start := now - endpoint.Age
		if endpoint.StartedLongAgo {
			start = 0
		}
		text += fmt.Sprintf(" %d:%c:%.3f:%s", endpoint.Backend, "god"[endpoint.State], start, endpoint.Zone)
	}
	return text
}
