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
	version    int64
	loaded     bool // a list was loaded
	olderInRow int  // consecutive lists with a lower version than the loaded one
	ids        map[string]choice.BackendID
	backends   map[choice.BackendID]*backend
	lastPruned statemachine.Seconds
}

// backend is one backend of the endpoint list.
type backend struct {
	name      string
	addr      string
	endpoint  choice.Endpoint
	goneSince statemachine.Seconds // when it was removed from the list; 0 if it is listed
}

const (
	// nameRetention is how long the name of a removed backend is kept: longer than the module may still refer to it.
	nameRetention = choice.BackendRetention + 60
	pruneInterval = nameRetention / 16
	// trustedOlderLists is how many full lists in a row must be older before discovery is assumed to have started over.
	trustedOlderLists = 3
	defaultWeight     = 1
)

// errOlderList is the error of a list with a lower version than the loaded one.
var errOlderList = errors.New("endpoint list is older than the loaded one")

func newEndpointRegistry() *endpointRegistry {
	return &endpointRegistry{ids: map[string]choice.BackendID{}, backends: map[choice.BackendID]*backend{}}
}

// backendID returns the id for a name. It is a hash of the name alone, so that it is the same at every coordinator and
// after every restart, since the hash ring uses it. If two names collide, the one that comes later gets the next free id.
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

// update loads a list and returns the endpoint update for the decision module. The error is errOlderList, wrapped.
func (r *endpointRegistry) update(now statemachine.Seconds, list *listDocument) (choice.EndpointUpdate, error) {
	version := int64(*list.Seq)
	if err := r.checkVersion(version, list.Whole); err != nil {
		return choice.EndpointUpdate{}, err
	}
	r.olderInRow = 0
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

// checkVersion rejects a list that is older than the loaded one, which comes from an instance of discovery that lags
// behind. The next request asks for the full list, and if that stays older, discovery must have started over.
func (r *endpointRegistry) checkVersion(version int64, whole bool) error {
	if !r.loaded || version >= r.version {
		return nil
	}
	r.olderInRow++
	if whole && r.olderInRow >= trustedOlderLists {
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
	updated.goneSince = 0
	updated.endpoint = host.toEndpoint(backendID)
	if updated.endpoint.State == choice.BackendGone {
		updated.goneSince = now
	}
	return updated
}

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

// removeUnlisted marks the backends that a full list does not have as gone.
func (r *endpointRegistry) removeUnlisted(now statemachine.Seconds, listed map[choice.BackendID]bool) {
	for id, known := range r.backends {
		if !listed[id] && known.goneSince == 0 {
			known.goneSince, known.endpoint.State = now, choice.BackendGone
		}
	}
}

// cachedUpdate returns the loaded list as the update for a new instance of the decision module.
func (r *endpointRegistry) cachedUpdate() choice.EndpointUpdate {
	update := choice.EndpointUpdate{Kind: choice.UpdateCached, Version: r.version}
	for _, known := range r.backends {
		if known.goneSince == 0 {
			update.Endpoints = append(update.Endpoints, known.endpoint)
		}
	}
	slices.SortFunc(update.Endpoints, func(a, b choice.Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return update
}

// needsFullList returns whether changes alone are not sufficient.
func (r *endpointRegistry) needsFullList() bool { return !r.loaded || r.olderInRow > 0 }

// prune forgets backends that were removed so long ago that nothing refers to them, and returns their ids.
func (r *endpointRegistry) prune(now statemachine.Seconds) []choice.BackendID {
	if now < r.lastPruned+pruneInterval {
		return nil
	}
	r.lastPruned = now
	var forgotten []choice.BackendID
	for id, known := range r.backends {
		if known.goneSince > 0 && now > known.goneSince+nameRetention {
			delete(r.backends, id)
			delete(r.ids, known.name)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}
