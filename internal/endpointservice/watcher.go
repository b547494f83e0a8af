package endpointservice

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// endpointKind is the kind of all endpoints that the service sends, as they come from an imported file.
const endpointKind = "imported"

// watcher is a client of the service. It gets updates once it has asked for them.
type watcher struct {
	conn     statemachine.Conn
	reader   proto.Reader
	watching bool   // the client wants updates
	version  uint64 // version of the list that the client has; 0: none
}

// watchersByConn returns the watchers in the order of their connections, so that runs are reproducible.
func (s *Service) watchersByConn() []*watcher {
	return slices.SortedFunc(maps.Values(s.watchers), func(a, b *watcher) int { return cmp.Compare(a.conn, b.conn) })
}

func (s *Service) send(client *watcher, message proto.Message) {
	s.effects.Write(client.conn, proto.Append(nil, message))
}

// publish adds a change to the history and sends an update to all watchers.
func (s *Service) publish(now statemachine.Seconds, endpoints []endpointfile.Endpoint) {
	s.history.add(change{version: s.list.Version(), endpoints: endpoints})
	for _, client := range s.watchersByConn() {
		if client.watching {
			s.sendUpdate(now, client)
		}
	}
}

// sendUpdate sends a watcher the changes since its version, or the whole list if the history does not have all of them.
func (s *Service) sendUpdate(now statemachine.Seconds, client *watcher) {
	version := s.list.Version()
	if version == 0 {
		return // before the first file, an empty list would make proxies drop their backends
	}
	update := proto.EndpointUpdate{Kind: proto.UpdateFull, BaseVersion: client.version, Version: version}
	var endpoints []endpointfile.Endpoint
	if s.history.covers(client.version, version) {
		update.Kind = proto.UpdateDelta
		endpoints = s.history.since(client.version)
	} else {
		endpoints = s.list.Endpoints()
	}
	for _, endpoint := range endpoints {
		update.Endpoints = append(update.Endpoints, s.endpointMessage(now, endpoint))
	}
	client.version = version
	s.send(client, update)
}

// endpointMessage returns an endpoint as a message of the protocol.
func (s *Service) endpointMessage(now statemachine.Seconds, endpoint endpointfile.Endpoint) proto.Endpoint {
	message := proto.Endpoint{
		Backend: endpoint.ID, State: proto.BackendOpen, Kind: endpointKind, Zone: s.zone, Weight: endpoint.Weight,
		StartedLongAgo: endpoint.StartTime == 0, Incarnation: endpoint.Incarnation, Addr: endpoint.Addr,
	}
	switch endpoint.State {
	case endpointfile.Draining:
		message.State = proto.BackendDraining
	case endpointfile.Gone:
		message.State = proto.BackendGone
	}
	if endpoint.StartTime > 0 {
		message.Age = max(0, now-endpoint.StartTime)
	}
	return message
}

// handleMessages handles the messages that a watcher has sent. A watcher that violates the protocol is sent a Reject and
// disconnected.
func (s *Service) handleMessages(now statemachine.Seconds, client *watcher) {
	for {
		message, err := client.reader.Next()
		if message == nil && err == nil {
			return
		}
		if err == nil {
			err = s.handleMessage(now, client, message)
		}
		if err != nil {
			s.send(client, proto.Reject{Reason: err.Error()})
			s.effects.Close(client.conn)
			delete(s.watchers, client.conn)
			return
		}
	}
}

// handleMessage handles one message of a watcher. It returns an error if watchers must not send such messages.
func (s *Service) handleMessage(now statemachine.Seconds, client *watcher, message proto.Message) error {
	switch message := message.(type) {
	case proto.Hello:
		client.reader.HandshakeDone()
		s.send(client, proto.Welcome{Version: proto.Version, Name: s.name})
	case proto.WatchEndpoints:
		client.watching = message.On
		if message.On {
			client.version = message.SinceVersion
			s.respond(now, client)
		}
	case proto.FetchEndpoints:
		client.version = 0
		s.respond(now, client)
	default:
		return fmt.Errorf("a %s to a list service", proto.WireName(message)) // the text is sent on the wire
	}
	return nil
}

// respond answers a request for the list with an update, or with a failure if no file has been applied yet.
func (s *Service) respond(now statemachine.Seconds, client *watcher) {
	if s.list.Version() == 0 {
		s.send(client, proto.EndpointUpdate{Kind: proto.UpdateFailed, Reason: "no file was taken yet"}) // the text is sent on the wire
		return
	}
	s.sendUpdate(now, client)
}
