package platform

import (
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// endpointRegistry holds the endpoint list and maps the names of backends to the ids that the decision module uses.
type endpointRegistry struct {
	version               int64                       // version of the loaded list
	loaded                bool                        // a list was loaded
	consecutiveOlderLists int                         // lists received in a row with a lower version than the loaded one
	ids                   map[string]choice.BackendID // by name
	backends              map[choice.BackendID]*backend
	lastPruned            statemachine.Seconds // when prune last removed backends whose nameRetention has passed
}

// backend is a backend that is, or recently was, in the endpoint list.
type backend struct {
	name      string
	addr      string
	endpoint  choice.Endpoint      // as last listed
	removedAt statemachine.Seconds // when it was removed from the list; 0 if it is still listed
}

const (
	// nameRetention is how long a removed backend's name is kept, in seconds: a minute longer than the decision module may
	// still refer to the backend.
	nameRetention = choice.BackendRetention + 60
	pruneInterval = nameRetention / 16 // shortest time between two searches for names to forget, in seconds
	// olderListsUntilAccepted is the number of consecutive older lists after which discovery is assumed to have started over,
	// and a full list is accepted despite its version.
	olderListsUntilAccepted = 3
	defaultWeight           = 1 // of a backend without hostDocument.Share
)

// errOlderList reports a list with a lower version than the loaded one.
var errOlderList = errors.New("endpoint list is older than the loaded one")

func newEndpointRegistry() *endpointRegistry {
	return &endpointRegistry{ids: map[string]choice.BackendID{}, backends: map[choice.BackendID]*backend{}}
}

// backendID returns the id for a name, assigning one to a new name. The id is a hash of the name alone, so that it is the
// same at every coordinator and after every restart, since the hash ring uses it. If the hash is taken by another name, the
// name is hashed with a suffix that counts up until the id is free.
func (r *endpointRegistry) backendID(name string) choice.BackendID {
	if id, ok := r.ids[name]; ok {
		return id
	}
	sum := crc32.ChecksumIEEE([]byte(name))
	for k := 1; r.backends[choice.BackendID(sum)] != nil; k++ {
		sum = crc32.ChecksumIEEE([]byte(name + "/" + strconv.Itoa(k)))
	}
	r.ids[name] = choice.BackendID(sum)
	return choice.BackendID(sum)
}

// name returns the name of a backend, "" if it is unknown.
func (r *endpointRegistry) name(id choice.BackendID) string {
	if known := r.backends[id]; known != nil {
		return known.name
	}
	return ""
}

// update loads a list and returns the endpoint update for the decision module. A returned error wraps errOlderList.
func (r *endpointRegistry) update(now statemachine.Seconds, list *listDocument) (choice.EndpointUpdate, error) {
	version := int64(*list.Seq)
	if err := r.checkVersion(version, list.Whole); err != nil {
		return choice.EndpointUpdate{}, err
	}
	r.consecutiveOlderLists = 0
	update := choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: version}
	listed := map[choice.BackendID]bool{}
	for i := range *list.Hosts {
		changed := r.updateBackend(now, &(*list.Hosts)[i])
		if changed == nil {
			continue
		}
		listed[changed.endpoint.Backend] = true
		update.Endpoints = append(update.Endpoints, changed.endpoint)
	}
	if list.Whole {
		update.Kind = choice.UpdateFull
		r.removeUnlisted(now, listed)
	}
	r.version, r.loaded = version, true
	return update, nil
}

// checkVersion rejects a list that is older than the loaded one, since it comes from an instance of discovery that lags
// behind. After that the full list is requested; if the full list is still older after several requests, discovery must have
// started over, and the list is accepted.
func (r *endpointRegistry) checkVersion(version int64, whole bool) error {
	if !r.loaded || version >= r.version {
		return nil
	}
	r.consecutiveOlderLists++
	if whole && r.consecutiveOlderLists >= olderListsUntilAccepted {
		return nil
	}
	return fmt.Errorf("%w: got version %d, have version %d", errOlderList, version, r.version)
}

// updateBackend applies one host of a list. It returns nil for a host that has left and was never known.
func (r *endpointRegistry) updateBackend(now statemachine.Seconds, host *hostDocument) *backend {
	backendID := r.backendID(host.Host)
	updated := r.backends[backendID]
	if updated == nil {
		if host.Health == healthLeft {
			delete(r.ids, host.Host)
			return nil
		}
		updated = &backend{name: host.Host}
		r.backends[backendID] = updated
	}
	if host.Dial != "" {
		updated.addr = host.Dial
	}
	updated.removedAt = 0
	updated.endpoint = host.toEndpoint(backendID)
	if updated.endpoint.State == choice.BackendGone {
		updated.removedAt = now
	}
	return updated
}

// toEndpoint converts the host to the decision module's form.
func (h *hostDocument) toEndpoint(id choice.BackendID) choice.Endpoint {
	endpoint := choice.Endpoint{
		Backend: id, Kind: h.Class, Zone: choice.Zone(h.Site), Weight: defaultWeight, Cell: int(h.Block), StartedAt: h.BornMs / 1000,
	}
	if h.Share != nil {
		endpoint.Weight = *h.Share
	}
	switch h.Health {
	case healthActive:
		endpoint.State = choice.BackendOpen
	case healthLeaving:
		endpoint.State = choice.BackendDraining
	default:
		endpoint.State = choice.BackendGone
	}
	return endpoint
}

// removeUnlisted marks as gone the backends that are missing from a full list.
func (r *endpointRegistry) removeUnlisted(now statemachine.Seconds, listed map[choice.BackendID]bool) {
	for id, known := range r.backends {
		if !listed[id] && known.removedAt == 0 {
			known.removedAt, known.endpoint.State = now, choice.BackendGone
		}
	}
}

// cachedUpdate returns the loaded list, sorted by id, as the first update for a new instance of the decision module.
func (r *endpointRegistry) cachedUpdate() choice.EndpointUpdate {
	update := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: r.version}
	for _, known := range r.backends {
		if known.removedAt == 0 {
			update.Endpoints = append(update.Endpoints, known.endpoint)
		}
	}
	slices.SortFunc(update.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return update
}

// needsFullList returns whether the next request must be for the full list, because no list was loaded or the last one was
// older than the loaded one.
func (r *endpointRegistry) needsFullList() bool { return !r.loaded || r.consecutiveOlderLists > 0 }

// prune forgets the backends that were removed so long ago that nothing refers to them any more, and returns their ids. It
// does nothing if it last ran less than pruneInterval ago.
func (r *endpointRegistry) prune(now statemachine.Seconds) []choice.BackendID {
	if now < r.lastPruned+pruneInterval {
		return nil
	}
	r.lastPruned = now
	var forgotten []choice.BackendID
	for id, known := range r.backends {
		if known.removedAt > 0 && now > known.removedAt+nameRetention {
			delete(r.backends, id)
			delete(r.ids, known.name)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}
