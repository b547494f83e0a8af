package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
)

// roll is the list as last held: what is kept for the next start, and where each server is reached.
type roll struct {
	version uint64
	held    bool // a list was held at all
	entries map[choice.BackendID]*server
}

type server = checkpoint.Server

// news checks a list frame, takes it over and gives what the module is to hear of it. Nothing of a frame that is
// refused is taken over.
func (r *roll) news(now choice.Seconds, m proto.EndpointUpdate) (l *choice.EndpointUpdate, changed []server, gone []choice.BackendID, err error) {
	if m.Kind == proto.UpdateFailed {
		return &choice.EndpointUpdate{Kind: choice.UpdateFailed}, nil, nil, nil
	}
	seen := make(map[proto.BackendID]bool, len(m.Endpoints))
	for _, e := range m.Endpoints {
		switch {
		case seen[e.Backend]:
			return nil, nil, nil, fmt.Errorf("list version %d names server %d twice", m.Version, e.Backend)
		case e.State != proto.BackendGone && e.Addr == "":
			return nil, nil, nil, fmt.Errorf("list version %d gives no address for server %d", m.Version, e.Backend)
		case e.State == proto.BackendGone && m.Kind == proto.UpdateFull:
			return nil, nil, nil, fmt.Errorf("list version %d is whole, and names server %d as gone", m.Version, e.Backend)
		}
		seen[e.Backend] = true
	}
	if m.Kind == proto.UpdateDelta {
		if r.held && m.Version <= r.version {
			return &choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(r.version)}, nil, nil, nil // it came twice, or nothing is new
		}
		if !r.held || m.BaseVersion != r.version {
			return nil, nil, nil, fmt.Errorf("list changes from version %d, but version %d is held", m.BaseVersion, r.version)
		}
	}
	l = &choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(m.Version)}
	old := r.entries
	if m.Kind == proto.UpdateFull {
		l.Kind, r.entries = choice.UpdateFull, make(map[choice.BackendID]*server, len(m.Endpoints))
	} else { // what it had of the servers that the news names
		old = make(map[choice.BackendID]*server, len(m.Endpoints))
		for _, e := range m.Endpoints {
			if was := r.entries[choice.BackendID(e.Backend)]; was != nil {
				old[choice.BackendID(e.Backend)] = was
			}
		}
	}
	for _, e := range m.Endpoints {
		id := choice.BackendID(e.Backend)
		if e.State == proto.BackendGone {
			if was := r.entries[id]; was != nil {
				delete(r.entries, id)
				gone := was.Entry
				gone.State = choice.BackendGone
				l.Endpoints = append(l.Endpoints, gone)
			}
			continue
		}
		s := &server{Stamp: e.Incarnation, Addr: e.Addr, Entry: choice.Endpoint{Backend: id, Kind: e.Kind, Zone: choice.Zone(e.Zone),
			Weight: e.Weight, Cell: int(e.Cell), State: choice.BackendOpen}}
		if e.State == proto.BackendDraining {
			s.Entry.State = choice.BackendDraining
		}
		// The list's clock and ours need not agree: a start is told as an age, and reckoned once for each process,
		// as what looks like a later start is a restart to the module.
		if was := old[id]; was != nil && was.Stamp == e.Incarnation {
			s.Entry.StartedAt = was.Entry.StartedAt
		} else if !e.StartedLongAgo {
			s.Entry.StartedAt = max(now-e.Age, 1e-6)
		}
		r.entries[id] = s
		l.Endpoints = append(l.Endpoints, s.Entry)
	}
	r.version, r.held = m.Version, true
	changed, gone = r.changes(old, l)
	return l, changed, gone, nil
}

func (r *roll) sorted() []*server {
	all := make([]*server, 0, len(r.entries))
	for _, s := range r.entries {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.Entry.Backend, b.Entry.Backend) })
	return all
}

// changes tells what news made of the servers held before: those that are new or otherwise, and those that left.
func (r *roll) changes(old map[choice.BackendID]*server, l *choice.EndpointUpdate) (changed []server, gone []choice.BackendID) {
	for _, e := range l.Endpoints {
		is, was := r.entries[e.Backend], old[e.Backend]
		switch {
		case is == nil:
			gone = append(gone, e.Backend)
		case was == nil || *was != *is:
			changed = append(changed, *is)
		}
	}
	if l.Kind == choice.UpdateFull {
		for ep := range old {
			if r.entries[ep] == nil {
				gone = append(gone, ep)
			}
		}
		slices.Sort(gone)
	}
	return changed, gone
}

// kept is the list as the module hears of it at a start.
func (r *roll) kept() choice.EndpointUpdate {
	l := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: int64(r.version)}
	for _, s := range r.sorted() {
		l.Endpoints = append(l.Endpoints, s.Entry)
	}
	return l
}
