// Package endpointservice serves an endpoint list that follows a file of backends. Its clients, the watchers, are sent the changes
// since the version of the list that they have, or the whole list. The service is a state machine and does no I/O; its owner
// reads the files and submits their backends.
package endpointservice

import (
	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// StateFile is the name of the file in which the service stores its state for a restart.
const StateFile = "followed.json"

// heartbeatInterval is the time between empty updates in seconds. The protocol requires one per second.
const heartbeatInterval statemachine.Seconds = 1

// Service is an endpoint list service for backends of one zone. It implements statemachine.Machine.
type Service struct {
	name          string
	zone          string // zone of all backends of the list
	list          *endpointfile.List
	submitted     [][]endpointfile.Backend // backends of each submitted file that the next step is to apply
	onApplied     func(changed int, err error)
	watchers      map[statemachine.Conn]*watcher
	history       history
	nextHeartbeat statemachine.Seconds  // when the next heartbeat is due
	effects       *statemachine.Effects // effects of the current step
}

// New returns a service. state is the content of the StateFile of an earlier process, or nil. If it cannot be decoded, New returns
// both the error and a service with an empty list. onApplied may be nil; otherwise it is called during a step with the result of
// each submitted file: the number of endpoints that changed, or the reason why the file was rejected.
func New(name, zone string, settings endpointfile.Settings, state []byte, onApplied func(changed int, err error)) (*Service, error) {
	service := &Service{
		name: name, zone: zone, list: endpointfile.New(settings), onApplied: onApplied,
		watchers: map[statemachine.Conn]*watcher{},
	}
	if state == nil {
		return service, nil
	}
	list, err := endpointfile.Decode(settings, state)
	if err != nil {
		return service, err
	}
	service.list = list
	return service, nil
}

// Submit queues the backends of a file to be applied in the next step. It must not be called during a step.
func (s *Service) Submit(backends []endpointfile.Backend) {
	s.submitted = append(s.submitted, backends)
}

// Step implements statemachine.Machine.
func (s *Service) Step(now statemachine.Seconds, inputs []statemachine.Input, effects *statemachine.Effects) {
	s.effects = effects
	applied := s.applySubmitted(now)
	removed := s.removeDrained(now)
	if applied || removed {
		s.save()
	}
	for _, input := range inputs {
		s.handleInput(now, input)
	}
	s.sendHeartbeats(now)
	effects.WakeBy(s.nextHeartbeat)
	if at, ok := s.list.NextRemoval(); ok {
		effects.WakeBy(at)
	}
}

// applySubmitted applies the submitted files in order, and reports whether the state has to be saved.
func (s *Service) applySubmitted(now statemachine.Seconds) (changed bool) {
	for _, backends := range s.submitted {
		endpoints, err := s.list.Apply(now, backends)
		if len(endpoints) > 0 {
			s.publish(now, endpoints)
		}
		// The state also has the last rejected file, which is accepted if it is applied again, even after a restart.
		changed = changed || len(endpoints) > 0 || err != nil
		if s.onApplied != nil {
			s.onApplied(len(endpoints), err)
		}
	}
	s.submitted = s.submitted[:0]
	return changed
}

// removeDrained removes the endpoints whose drain is over, and reports whether there were any such endpoints.
func (s *Service) removeDrained(now statemachine.Seconds) bool {
	removed := s.list.RemoveDrained(now)
	if len(removed) == 0 {
		return false
	}
	s.publish(now, removed)
	return true
}

// save saves the state of the list to the StateFile.
func (s *Service) save() {
	data, err := s.list.Encode()
	if err != nil {
		s.effects.Log(statemachine.LogError, "endpoint list not saved", "cause", err.Error())
		return
	}
	s.effects.SaveFile(StateFile, data)
}

func (s *Service) handleInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		s.watchers[input.Conn] = &watcher{conn: input.Conn}
	case statemachine.ConnClosed:
		delete(s.watchers, input.Conn)
	case statemachine.ConnData:
		if client := s.watchers[input.Conn]; client != nil {
			client.reader.Feed(input.Data)
			s.handleMessages(now, client)
		}
	}
}

// sendHeartbeats sends each watcher an empty update when it is due. It shows the watcher that the service is alive.
func (s *Service) sendHeartbeats(now statemachine.Seconds) {
	if now < s.nextHeartbeat {
		return
	}
	s.nextHeartbeat = now + heartbeatInterval
	for _, client := range s.watchersByConn() {
		if client.watching {
			s.send(client, proto.EndpointUpdate{Kind: proto.UpdateDelta, BaseVersion: client.version, Version: client.version})
		}
	}
}
