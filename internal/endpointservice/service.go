// Package endpointservice is a list service that follows files: what package follow decides goes to all who watch, as changes
// since the version that they hold, or as the whole list. It is a machine; whoever drives it hands it files as read.
package endpointservice

import (
	"fmt"
	"slices"

	"gingerfork/internal/endpointfile"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// Kept is the file that it keeps between starts.
const StateFile = "followed.json"

const (
	beatEvery   = 1.0 // seconds between signs of life, as the protocol has it
	historyMost = 1000
)

// Service is the list service.
type Service struct {
	name, zone string
	f          *endpointfile.List
	offers     [][]endpointfile.Backend
	told       func(changed int, err error)
	watchers   map[statemachine.Conn]*watcher
	history    []change // oldest first
	beat       statemachine.Seconds
	out        *statemachine.Effects
}

type change struct {
	version uint64
	entries []endpointfile.Endpoint
}

type watcher struct {
	conn   statemachine.Conn
	reader proto.Reader
	on     bool
	held   uint64
}

// New makes a service whose servers are all of a zone. kept is what its last life kept, nil if none did; what can't be
// read is an error, and the service starts with an empty list. told is called with what became of each offer.
func New(name, zone string, t endpointfile.Settings, kept []byte, told func(changed int, err error)) (*Service, error) {
	s := &Service{name: name, zone: zone, f: endpointfile.New(t), told: told, watchers: map[statemachine.Conn]*watcher{}}
	if kept == nil {
		return s, nil
	}
	f, err := endpointfile.Decode(t, kept)
	if err == nil {
		s.f = f
	}
	return s, err
}

// Offer hands it a file's servers; they are looked at in its next step. Only whoever drives it may call this.
func (s *Service) Submit(servers []endpointfile.Backend) { s.offers = append(s.offers, servers) }

// Step implements machine.Machine.
func (s *Service) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	s.out = out
	changed := false
	for _, o := range s.offers {
		entries, err := s.f.Apply(now, o)
		if len(entries) > 0 {
			s.spread(now, entries)
			changed = true
		}
		changed = changed || err != nil // what was held back is kept, too
		if s.told != nil {
			s.told(len(entries), err)
		}
	}
	s.offers = s.offers[:0]
	if gone := s.f.RemoveDrained(now); len(gone) > 0 {
		s.spread(now, gone)
		changed = true
	}
	if changed {
		if data, err := s.f.Encode(); err != nil {
			out.Log(3, "the list could not be kept", "cause", err.Error())
		} else {
			out.SaveFile(StateFile, data)
		}
	}
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			s.watchers[i.Conn] = &watcher{conn: i.Conn}
		case statemachine.ConnClosed:
			delete(s.watchers, i.Conn)
		case statemachine.ConnData:
			if w := s.watchers[i.Conn]; w != nil {
				w.reader.Feed(i.Data)
				s.read(now, w)
			}
		}
	}
	if now >= s.beat {
		s.beat = now + beatEvery
		for _, w := range s.ordered() {
			if w.on {
				out.Write(w.conn, proto.Append(nil, proto.EndpointUpdate{Kind: proto.UpdateDelta, BaseVersion: w.held, Version: w.held}))
			}
		}
	}
	out.WakeBy(s.beat)
	if at, ok := s.f.NextRemoval(); ok {
		out.WakeBy(at)
	}
}

func (s *Service) ordered() (all []*watcher) {
	for _, w := range s.watchers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *watcher) int {
		if a.conn < b.conn {
			return -1
		}
		return 1
	})
	return all
}

func (s *Service) spread(now statemachine.Seconds, entries []endpointfile.Endpoint) {
	s.history = append(s.history, change{s.f.Version(), entries})
	if len(s.history) > historyMost {
		s.history = slices.Clone(s.history[len(s.history)-historyMost/2:])
	}
	for _, w := range s.ordered() {
		if w.on {
			s.deliver(now, w)
		}
	}
}

// deliver sends a watcher what it lacks: changes if they are known from its version on, else the whole list.
func (s *Service) deliver(now statemachine.Seconds, w *watcher) {
	version := s.f.Version()
	if version == 0 {
		return // no file was taken yet: an empty list would be a lie
	}
	m := proto.EndpointUpdate{Kind: proto.UpdateDelta, BaseVersion: w.held, Version: version}
	known := w.held > 0 && (w.held == version || w.held < version && len(s.history) > 0 && s.history[0].version <= w.held+1)
	var entries []endpointfile.Endpoint
	if known {
		at := map[uint32]int{}
		for _, c := range s.history {
			if c.version <= w.held {
				continue
			}
			for _, e := range c.entries {
				if i, twice := at[e.ID]; twice {
					entries[i] = e
				} else {
					at[e.ID] = len(entries)
					entries = append(entries, e)
				}
			}
		}
	} else {
		m.Kind, entries = proto.UpdateFull, s.f.Endpoints()
	}
	for _, e := range entries {
		x := proto.Endpoint{Backend: e.ID, State: proto.BackendOpen, Kind: "imported", Zone: s.zone, Weight: e.Weight, StartedLongAgo: e.StartTime == 0, Incarnation: e.Incarnation, Addr: e.Addr}
		switch e.State {
		case endpointfile.Draining:
			x.State = proto.BackendDraining
		case endpointfile.Gone:
			x.State = proto.BackendGone
		}
		if e.StartTime > 0 {
			x.Age = max(0, now-e.StartTime)
		}
		m.Endpoints = append(m.Endpoints, x)
	}
	w.held = version
	s.out.Write(w.conn, proto.Append(nil, m))
}

func (s *Service) read(now statemachine.Seconds, w *watcher) {
	for s.watchers[w.conn] == w {
		msg, err := w.reader.Next()
		if err == nil {
			switch m := msg.(type) {
			case nil:
				return
			case proto.Hello:
				w.reader.HandshakeDone()
				s.out.Write(w.conn, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: s.name}))
			case proto.WatchEndpoints:
				if w.on = m.On; m.On {
					w.held = m.SinceVersion
					s.answer(now, w)
				}
			case proto.FetchEndpoints:
				w.held = 0
				s.answer(now, w)
			default:
				err = fmt.Errorf("a %s to a list service", proto.WireName(msg))
			}
		}
		if err != nil {
			s.out.Write(w.conn, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			s.out.Close(w.conn)
			delete(s.watchers, w.conn)
			return
		}
	}
}

// answer to a call; before any file was taken there is nothing to tell.
func (s *Service) answer(now statemachine.Seconds, w *watcher) {
	if s.f.Version() == 0 {
		s.out.Write(w.conn, proto.Append(nil, proto.EndpointUpdate{Kind: proto.UpdateFailed, Reason: "no file was taken yet"}))
		return
	}
	s.deliver(now, w)
}
