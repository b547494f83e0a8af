package coordinator

import (
	"cmp"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
)

// minStartTime is the lowest start time of a backend that is passed to the decision module, which takes 0 for unknown.
const minStartTime choice.Seconds = 1e-6

// endpointList is the endpoint list as last received, with the backends' addresses. The checkpoint has a copy of it for the
// next start.
type endpointList struct {
	version  uint64 // version of the list, as the service numbers it
	received bool   // false until the first list, received or cached by the previous run
	backends map[choice.BackendID]*checkpoint.Endpoint
}

// endpointChange is what a frame of the endpoint list service changed.
type endpointChange struct {
	update  choice.EndpointUpdate // the change as told to the decision module
	changed []checkpoint.Endpoint // backends that are new or differ from before
	removed []choice.BackendID    // backends that left the list
}

// restoreEndpointList returns the list that the previous run saved, or an empty one if there is none.
func restoreEndpointList(saved *checkpoint.State) *endpointList {
	l := &endpointList{backends: map[choice.BackendID]*checkpoint.Endpoint{}}
	if saved == nil || !saved.HasEndpointList {
		return l
	}
	l.version, l.received = saved.ListVersion, true
	for backend, listed := range saved.Endpoints {
		l.backends[backend] = &listed
	}
	return l
}

// has returns whether a backend is on the list.
func (l *endpointList) has(backend choice.BackendID) bool { return l.backends[backend] != nil }

// watchVersion returns the version since which changes are requested; 0 requests the whole list.
func (l *endpointList) watchVersion() uint64 {
	if !l.received {
		return 0
	}
	return l.version
}

// cachedUpdate returns the whole list as the first event of a new instance of the decision module.
func (l *endpointList) cachedUpdate() choice.EndpointUpdate {
	update := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: int64(l.version)}
	for _, listed := range l.backends {
		update.Endpoints = append(update.Endpoints, listed.Entry)
	}
	slices.SortFunc(update.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return update
}

// apply checks a frame of the endpoint list service and applies it. If it returns an error, which is a *listEntryError or a
// *versionGapError, nothing has changed.
func (l *endpointList) apply(now choice.Seconds, frame proto.EndpointUpdate) (endpointChange, error) {
	if frame.Kind == proto.UpdateFailed {
		return endpointChange{update: choice.EndpointUpdate{Kind: choice.UpdateFailed}}, nil
	}
	if err := validateEntries(frame); err != nil {
		return endpointChange{}, err
	}
	if frame.Kind == proto.UpdateDelta {
		if l.received && frame.Version <= l.version {
			// The frame was delivered twice, or the service confirms that nothing changed.
			return endpointChange{update: choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(l.version)}}, nil
		}
		if !l.received || frame.BaseVersion != l.version {
			return endpointChange{}, &versionGapError{base: frame.BaseVersion, current: l.version}
		}
	}
	previous := l.previousEntries(frame)
	update := choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: int64(frame.Version)}
	if frame.Kind == proto.UpdateFull {
		update.Kind = choice.UpdateFull
		l.backends = make(map[choice.BackendID]*checkpoint.Endpoint, len(frame.Endpoints))
	}
	for _, entry := range frame.Endpoints {
		if endpoint, ok := l.applyEntry(now, entry, previous); ok {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	l.version, l.received = frame.Version, true
	changed, removed := l.compare(previous, update)
	return endpointChange{update: update, changed: changed, removed: removed}, nil
}

// validateEntries checks the entries of a frame, as far as that does not depend on the current list.
func validateEntries(frame proto.EndpointUpdate) error {
	seen := make(map[proto.BackendID]bool, len(frame.Endpoints))
	for _, entry := range frame.Endpoints {
		defect := noDefect
		switch {
		case seen[entry.Backend]:
			defect = duplicateBackend
		case entry.State != proto.BackendGone && entry.Addr == "":
			defect = missingAddress
		case entry.State == proto.BackendGone && frame.Kind == proto.UpdateFull:
			defect = removedInFullList
		}
		if defect != noDefect {
			return &listEntryError{version: frame.Version, backend: entry.Backend, defect: defect}
		}
		seen[entry.Backend] = true
	}
	return nil
}

// previousEntries returns the entries that a frame may replace: all of them for a full list, else those that it names.
func (l *endpointList) previousEntries(frame proto.EndpointUpdate) map[choice.BackendID]*checkpoint.Endpoint {
	if frame.Kind == proto.UpdateFull {
		return l.backends
	}
	previous := make(map[choice.BackendID]*checkpoint.Endpoint, len(frame.Endpoints))
	for _, entry := range frame.Endpoints {
		backend := choice.BackendID(entry.Backend)
		if listed := l.backends[backend]; listed != nil {
			previous[backend] = listed
		}
	}
	return previous
}

// applyEntry applies one entry and returns it in the form for the decision module. It returns false if the entry removes a
// backend that is not on the list.
func (l *endpointList) applyEntry(
	now choice.Seconds, entry proto.Endpoint, previous map[choice.BackendID]*checkpoint.Endpoint,
) (choice.Endpoint, bool) {
	backend := choice.BackendID(entry.Backend)
	if entry.State == proto.BackendGone {
		listed := l.backends[backend]
		if listed == nil {
			return choice.Endpoint{}, false
		}
		delete(l.backends, backend)
		removed := listed.Entry
		removed.State = choice.BackendGone
		return removed, true
	}
	listed := &checkpoint.Endpoint{Incarnation: entry.Incarnation, Addr: entry.Addr, Entry: choice.Endpoint{
		Backend: backend,
		Kind:    entry.Kind,
		Zone:    choice.Zone(entry.Zone),
		Weight:  entry.Weight,
		Cell:    int(entry.Cell),
		State:   choice.BackendOpen,
	}}
	if entry.State == proto.BackendDraining {
		listed.Entry.State = choice.BackendDraining
	}
	// The clocks of the list service and of this process may differ, so an entry has the age of the backend's process rather
	// than its start time. The start time is computed only once for each incarnation, because the decision module takes a
	// later start time for a restart.
	if before := previous[backend]; before != nil && before.Incarnation == entry.Incarnation {
		listed.Entry.StartedAt = before.Entry.StartedAt
	} else if !entry.StartedLongAgo {
		listed.Entry.StartedAt = max(now-entry.Age, minStartTime)
	}
	l.backends[backend] = listed
	return listed.Entry, true
}

// compare compares the list, to which the update is already applied, with the previous entries. It returns the entries that are
// new or differ, and the backends that left the list. If the update replaced the whole list, removed is sorted by backend ID;
// if it named only the changed backends, removed has the order of the update.
func (l *endpointList) compare(
	previous map[choice.BackendID]*checkpoint.Endpoint, update choice.EndpointUpdate,
) (changed []checkpoint.Endpoint, removed []choice.BackendID) {
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
