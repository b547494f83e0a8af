package coordinator

import (
	"cmp"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
)

// minStartTime is the earliest time that a start may have, in seconds, as the decision module takes zero for unknown.
const minStartTime choice.Seconds = 1e-6

// endpointList is the endpoint list as last received: what is cached for the next start, with the backends' addresses.
type endpointList struct {
	version  uint64
	received bool // false until the first list
	backends map[choice.BackendID]*checkpoint.Server
}

// endpointChange is what a frame of the endpoint list service changed.
type endpointChange struct {
	update  choice.EndpointUpdate // for the decision module
	changed []checkpoint.Server   // backends that are new or differ from before
	removed []choice.BackendID    // backends that left the list
}

// restoreEndpointList returns the list that the previous run cached, or an empty one if there is none.
func restoreEndpointList(saved *checkpoint.Kept) *endpointList {
	l := &endpointList{backends: map[choice.BackendID]*checkpoint.Server{}}
	if saved == nil || !saved.Held {
		return l
	}
	l.version, l.received = saved.Version, true
	for backend, listed := range saved.Servers {
		l.backends[backend] = &listed
	}
	return l
}

func (l *endpointList) has(backend choice.BackendID) bool { return l.backends[backend] != nil }

// watchVersion returns the version from which changes are to be watched; 0 asks for the whole list.
func (l *endpointList) watchVersion() uint64 {
	if !l.received {
		return 0
	}
	return l.version
}

// cachedUpdate returns the cached list for the decision module's first step.
func (l *endpointList) cachedUpdate() choice.EndpointUpdate {
	update := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: int64(l.version)}
	for _, listed := range l.backends {
		update.Endpoints = append(update.Endpoints, listed.Entry)
	}
	slices.SortFunc(update.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return update
}

// apply checks a frame of the endpoint list service and applies it. A frame that is rejected changes nothing; the error is a
// *listEntryError or a *versionGapError.
func (l *endpointList) apply(now choice.Seconds, frame proto.List) (endpointChange, error) {
	if frame.Kind == proto.ListError {
		return endpointChange{update: choice.EndpointUpdate{Kind: choice.UpdateFailed}}, nil
	}
	if err := validateEntries(frame); err != nil {
		return endpointChange{}, err
	}
	if frame.Kind == proto.ListChanges {
		if l.received && frame.Version <= l.version {
			// It was delivered twice, or the service confirms that nothing changed.
			return endpointChange{update: choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(l.version)}}, nil
		}
		if !l.received || frame.Base != l.version {
			return endpointChange{}, &versionGapError{base: frame.Base, current: l.version}
		}
	}
	previous := l.previousEntries(frame)
	update := choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(frame.Version)}
	if frame.Kind == proto.ListFull {
		update.Kind = choice.UpdateFull
		l.backends = make(map[choice.BackendID]*checkpoint.Server, len(frame.Entries))
	}
	for _, entry := range frame.Entries {
		if endpoint, ok := l.applyEntry(now, entry, previous); ok {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	l.version, l.received = frame.Version, true
	changed, removed := l.compare(previous, update)
	return endpointChange{update: update, changed: changed, removed: removed}, nil
}

// validateEntries checks what does not depend on the list held so far.
func validateEntries(frame proto.List) error {
	seen := make(map[proto.EP]bool, len(frame.Entries))
	for _, entry := range frame.Entries {
		defect := noDefect
		switch {
		case seen[entry.EP]:
			defect = duplicateBackend
		case entry.State != proto.ServerGone && entry.Addr == "":
			defect = missingAddress
		case entry.State == proto.ServerGone && frame.Kind == proto.ListFull:
			defect = removedInFullList
		}
		if defect != noDefect {
			return &listEntryError{version: frame.Version, backend: entry.EP, defect: defect}
		}
		seen[entry.EP] = true
	}
	return nil
}

// previousEntries returns the entries that a frame may replace: all of them for a full list, else those that it names.
func (l *endpointList) previousEntries(frame proto.List) map[choice.BackendID]*checkpoint.Server {
	if frame.Kind == proto.ListFull {
		return l.backends
	}
	previous := make(map[choice.BackendID]*checkpoint.Server, len(frame.Entries))
	for _, entry := range frame.Entries {
		backend := choice.BackendID(entry.EP)
		if listed := l.backends[backend]; listed != nil {
			previous[backend] = listed
		}
	}
	return previous
}

// applyEntry applies one entry and returns it for the decision module. It returns false if the entry removes a backend that
// is not on the list.
func (l *endpointList) applyEntry(
	now choice.Seconds, entry proto.Entry, previous map[choice.BackendID]*checkpoint.Server,
) (choice.Endpoint, bool) {
	backend := choice.BackendID(entry.EP)
	if entry.State == proto.ServerGone {
		listed := l.backends[backend]
		if listed == nil {
			return choice.Endpoint{}, false
		}
		delete(l.backends, backend)
		removed := listed.Entry
		removed.State = choice.BackendGone
		return removed, true
	}
	listed := &checkpoint.Server{Stamp: entry.Stamp, Addr: entry.Addr, Entry: choice.Endpoint{
		Backend: backend,
		Kind:    entry.Kind,
		Zone:    choice.Zone(entry.Zone),
		Weight:  entry.Weight,
		Cell:    int(entry.Cell),
		State:   choice.BackendOpen,
	}}
	if entry.State == proto.ServerDraining {
		listed.Entry.State = choice.BackendDraining
	}
	// The clocks of the list service and of this process may differ, so an entry carries its process's age. The start time
	// is computed once for each incarnation, because the decision module takes a later start time for a restart.
	if before := previous[backend]; before != nil && before.Stamp == entry.Stamp {
		listed.Entry.StartedAt = before.Entry.StartedAt
	} else if !entry.Old {
		listed.Entry.StartedAt = max(now-entry.Age, minStartTime)
	}
	l.backends[backend] = listed
	return listed.Entry, true
}

// compare returns what an update changed of the previous entries: those that are new or differ, and those that left the
// list. For a full update the removed ones are sorted.
func (l *endpointList) compare(
	previous map[choice.BackendID]*checkpoint.Server, update choice.EndpointUpdate,
) (changed []checkpoint.Server, removed []choice.BackendID) {
	for _, endpoint := range update.Endpoints {
		current, before := l.backends[endpoint.Backend], previous[endpoint.Backend]
		switch {
		case current == nil:
			removed = append(removed, endpoint.Backend)
		case before == nil || *before != *current:
			changed = append(changed, *current)
		}
	}
	if update.Kind != choice.UpdateFull {
		return changed, removed
	}
	for backend := range previous {
		if l.backends[backend] == nil {
			removed = append(removed, backend)
		}
	}
	slices.Sort(removed)
	return changed, removed
}
