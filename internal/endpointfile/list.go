// Package endpointfile keeps the endpoint list that follows a file of backends. A backend that is new in the file is added, one
// that is no longer in the file drains before it is removed, and a change of weight changes nothing else. A file that would take
// most backends out of use is rejected until the same file is applied a second time. The package does no I/O and reads no clock;
// its state can be encoded, so that a restart between two files still drains the backends that the later file omits.
package endpointfile

import (
	"cmp"
	"maps"
	"slices"

	"gingerfork/internal/statemachine"
)

// Seconds is a time or a duration in seconds, as the event loop counts it.
type Seconds = statemachine.Seconds

// State is the state of an endpoint in the list.
type State uint8

// The states of an endpoint. Their numbers are stored.
const (
	Open     State = iota // gets requests
	Draining              // gets no new requests
	Gone                  // removed from the list
)

// Backend is a backend as a file names it. The JSON keys are those of the stored list.
type Backend struct {
	ID       uint32 `json:"Number"` // by which proxies know it; it is derived from the name
	Name     string
	Addr     string
	Weight   float64
	Draining bool // the file says that it gets no new requests
}

// Endpoint is the entry of a backend in the endpoint list. The JSON keys are those of the stored list.
type Endpoint struct {
	Backend
	State       State
	Incarnation uint64  `json:"Stamp"` // increases when another process takes over the name
	StartTime   Seconds `json:"Start"` // of the process; 0: long ago, or unknown
	RemovalTime Seconds `json:"Until"` // when an endpoint that is not in the file leaves the list; 0: it is in the file
}

// Settings are what the operator sets.
type Settings struct {
	DrainPeriod  Seconds // from when a backend is missing in the file until its endpoint is removed
	MaxLossShare float64 // of the open endpoints, the share that one file may take out of use without being applied twice
}

// List is the endpoint list that follows a file.
type List struct {
	settings            Settings
	version             uint64
	endpoints           map[uint32]*Endpoint
	rejectedFingerprint string // the fingerprint of the file that was rejected last for its losses; empty after a file was applied
}

// New returns an empty list.
func New(settings Settings) *List {
	return &List{settings: settings, endpoints: map[uint32]*Endpoint{}}
}

// Version is the number of changes of the list so far.
func (l *List) Version() uint64 { return l.version }

// Endpoints returns all endpoints by ID, nil if there are none.
func (l *List) Endpoints() []Endpoint {
	ids := l.ids()
	endpoints := slices.Grow([]Endpoint(nil), len(ids)) // an empty list is stored as null
	for _, id := range ids {
		endpoints = append(endpoints, *l.endpoints[id])
	}
	return endpoints
}

func (l *List) ids() []uint32 { return slices.Sorted(maps.Keys(l.endpoints)) }

// Apply makes the list follow a file of backends and returns the endpoints that changed, by ID. A file that is rejected changes
// no endpoint: the error is ErrNoBackends, a *DuplicateError, a *WeightError or a *LossError.
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

// indexByID checks the backends of a file and returns them by ID.
func indexByID(backends []Backend) (map[uint32]Backend, error) {
	byID := map[uint32]Backend{}
	used := 0
	for _, backend := range backends {
		if first, duplicate := byID[backend.ID]; duplicate {
			return nil, &DuplicateError{First: first.Name, Second: backend.Name, ID: backend.ID}
		}
		if !validWeight(backend.Weight) {
			return nil, &WeightError{Name: backend.Name, Weight: backend.Weight}
		}
		byID[backend.ID] = backend
		if !backend.Draining {
			used++
		}
	}
	if used == 0 {
		return nil, ErrNoBackends
	}
	return byID, nil
}

// validWeight reports whether a weight is above zero; NaN is not.
func validWeight(weight float64) bool { return weight > 0 }

// checkLoss returns an error if a file would take more open endpoints out of use than the settings allow, nil otherwise.
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

// updateListed adds or updates the endpoint of each backend of a file, and returns those that changed.
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
				endpoint.StartTime = now // a backend that joins others may just have started, and has to warm up
			}
			l.endpoints[backend.ID] = endpoint
		case endpoint.Addr != backend.Addr:
			// Another process has the name now: it is not bound by what its predecessor did, and has to warm up.
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

// drainMissing starts the drain of each endpoint that is not in a file, and returns those that changed.
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

// RemoveDrained removes the endpoints whose drain is over and returns them in the state Gone, by ID.
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

// NextRemoval is when RemoveDrained has an endpoint to remove next; ok is false if no endpoint has left the file.
func (l *List) NextRemoval() (at Seconds, ok bool) {
	for _, endpoint := range l.endpoints {
		if endpoint.RemovalTime > 0 && (!ok || endpoint.RemovalTime < at) {
			at, ok = endpoint.RemovalTime, true
		}
	}
	return at, ok
}
