// Package endpointfile maintains an endpoint list that follows a file of backends. A backend that is new in the file is added,
// one that is no longer in the file drains before it is removed, and a changed weight changes only the weight of its endpoint. A
// file that would take too many backends out of use is rejected until it is applied twice in a row. The package does no I/O and
// does not read the clock. The state of the list can be encoded, so that after a restart between two files the backends that
// the later file omits still drain.
package endpointfile

import (
	"cmp"
	"maps"
	"slices"

	"gingerfork/internal/statemachine"
)

// Seconds is a time or a duration in seconds, in the time of the event loop.
type Seconds = statemachine.Seconds

// State is the state of an endpoint in the list.
type State uint8

// The states of an endpoint. Their values are part of the stored format.
const (
	Open     State = iota // gets new requests
	Draining              // gets no new requests
	Gone                  // removed from the list
)

// Backend is a backend as listed in a file. The JSON keys, and the order of the fields (see fingerprint), are part of the stored
// format.
type Backend struct {
	ID       uint32 `json:"Number"` // ID by which proxies identify the backend; derived from its name
	Name     string
	Addr     string
	Weight   float64
	Draining bool // the file says that the backend gets no new requests
}

// Endpoint is the entry of a backend in the endpoint list. The JSON keys are part of the stored format.
type Endpoint struct {
	Backend
	State       State
	Incarnation uint64  `json:"Stamp"` // increases when the name gets a new address, and so another process
	StartTime   Seconds `json:"Start"` // when the process started; 0: long ago or unknown
	RemovalTime Seconds `json:"Until"` // when an endpoint that is no longer in the file is removed; 0: it is in the file
}

// Settings are the operator's settings.
type Settings struct {
	DrainPeriod  Seconds // seconds from the first file in which a backend is missing until the backend's endpoint is removed
	MaxLossShare float64 // a file that takes a larger share of the open endpoints out of use has to be applied twice
}

// List is an endpoint list that follows a file. It is not safe for concurrent use.
type List struct {
	settings            Settings
	version             uint64
	endpoints           map[uint32]*Endpoint
	rejectedFingerprint string // fingerprint of the last file that was rejected with a LossError; empty once a file was accepted
}

// New returns an empty list.
func New(settings Settings) *List {
	return &List{settings: settings, endpoints: map[uint32]*Endpoint{}}
}

// Version returns the number of changes of the list so far. Endpoints that change together count as one change.
func (l *List) Version() uint64 { return l.version }

// Endpoints returns all endpoints in the order of their IDs, nil if there are none.
func (l *List) Endpoints() []Endpoint {
	ids := l.ids()
	endpoints := slices.Grow([]Endpoint(nil), len(ids)) // nil if empty, since an empty list is stored as null
	for _, id := range ids {
		endpoints = append(endpoints, *l.endpoints[id])
	}
	return endpoints
}

// ids returns the IDs of all endpoints in ascending order.
func (l *List) ids() []uint32 { return slices.Sorted(maps.Keys(l.endpoints)) }

// Apply updates the list to a file of backends and returns the endpoints that changed, in the order of their IDs. A file that
// is rejected changes no endpoint; the error is then ErrNoBackends, a *DuplicateError, a *WeightError or a *LossError.
func (l *List) Apply(now Seconds, backends []Backend) ([]Endpoint, error) {
	byID, err := indexByID(backends)
	if err != nil {
		return nil, err
	}
	if loss := l.checkLoss(byID); loss != nil {
		file := fingerprint(backends)
		if l.rejectedFingerprint != file {
			l.rejectedFingerprint = file
			return nil, loss
		}
	}
	l.rejectedFingerprint = ""
	changed := append(l.updateListed(now, backends), l.drainMissing(now, byID)...)
	if len(changed) > 0 {
		l.version++
	}
	slices.SortFunc(changed, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return changed, nil
}

// indexByID checks the backends of a file and returns them by ID. It fails if an ID is not unique, a weight is invalid or all
// backends are draining.
func indexByID(backends []Backend) (map[uint32]Backend, error) {
	byID := map[uint32]Backend{}
	inUse := 0
	for _, backend := range backends {
		if first, duplicate := byID[backend.ID]; duplicate {
			return nil, &DuplicateError{First: first.Name, Second: backend.Name, ID: backend.ID}
		}
		if !validWeight(backend.Weight) {
			return nil, &WeightError{Name: backend.Name, Weight: backend.Weight}
		}
		byID[backend.ID] = backend
		if !backend.Draining {
			inUse++
		}
	}
	if inUse == 0 {
		return nil, ErrNoBackends
	}
	return byID, nil
}

// validWeight reports whether a weight is above 0. NaN is invalid.
func validWeight(weight float64) bool { return weight > 0 }

// checkLoss returns an error if a file would take more open endpoints out of use than the settings allow, nil otherwise. An
// endpoint whose address changes is out of use, too, as its process is replaced.
func (l *List) checkLoss(byID map[uint32]Backend) *LossError {
	open, lost := 0, 0
	for _, endpoint := range l.endpoints {
		if endpoint.State != Open {
			continue
		}
		open++
		if backend, listed := byID[endpoint.ID]; !listed || backend.Draining || backend.Addr != endpoint.Addr {
			lost++
		}
	}
	if float64(lost) <= l.settings.MaxLossShare*float64(open) {
		return nil
	}
	return &LossError{Lost: lost, Open: open, MaxShare: l.settings.MaxLossShare}
}

// updateListed adds or updates the endpoint of each backend in a file, and returns the endpoints that changed.
func (l *List) updateListed(now Seconds, backends []Backend) (changed []Endpoint) {
	for _, backend := range backends {
		state := Open
		if backend.Draining {
			state = Draining
		}
		endpoint := l.endpoints[backend.ID]
		switch {
		case endpoint == nil:
			endpoint = &Endpoint{Backend: backend, State: state, Incarnation: 1}
			if len(l.endpoints) > 0 && l.version > 0 {
				endpoint.StartTime = now // a backend that is added to an existing list may just have started, and has to warm up
			}
			l.endpoints[backend.ID] = endpoint
		case endpoint.Addr != backend.Addr:
			// Another process has the name now: it starts without its predecessor's state, and has to warm up.
			*endpoint = Endpoint{Backend: backend, State: state, Incarnation: endpoint.Incarnation + 1, StartTime: now}
		case endpoint.Backend != backend || endpoint.State != state || endpoint.RemovalTime != 0:
			endpoint.Backend, endpoint.State, endpoint.RemovalTime = backend, state, 0
		default:
			continue
		}
		changed = append(changed, *endpoint)
	}
	return changed
}

// drainMissing starts to drain the endpoints that are not in a file, and returns those that changed.
func (l *List) drainMissing(now Seconds, byID map[uint32]Backend) (changed []Endpoint) {
	for _, id := range l.ids() {
		endpoint := l.endpoints[id]
		if _, listed := byID[id]; listed || endpoint.RemovalTime != 0 {
			continue
		}
		endpoint.State = Draining
		endpoint.RemovalTime = now + l.settings.DrainPeriod
		changed = append(changed, *endpoint)
	}
	return changed
}

// RemoveDrained removes the endpoints whose drain is over. It returns them with the state Gone, in the order of their IDs.
func (l *List) RemoveDrained(now Seconds) (removed []Endpoint) {
	for _, id := range l.ids() {
		endpoint := l.endpoints[id]
		if endpoint.RemovalTime <= 0 || endpoint.RemovalTime > now {
			continue
		}
		delete(l.endpoints, id)
		endpoint.State = Gone
		removed = append(removed, *endpoint)
	}
	if len(removed) > 0 {
		l.version++
	}
	return removed
}

// NextRemoval returns when the next endpoint is due for RemoveDrained; ok is false if all endpoints are in the file.
func (l *List) NextRemoval() (at Seconds, ok bool) {
	for _, endpoint := range l.endpoints {
		if endpoint.RemovalTime > 0 && (!ok || endpoint.RemovalTime < at) {
			at, ok = endpoint.RemovalTime, true
		}
	}
	return at, ok
}
