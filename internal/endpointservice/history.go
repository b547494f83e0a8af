package endpointservice

import (
	"slices"

	"gingerfork/internal/endpointfile"
)

// maxHistory is the maximum number of changes in the history. When it is exceeded, all but the latest maxHistory/2 changes are
// dropped, and watchers with an older version get the whole list.
const maxHistory = 1000

// change has the endpoints that changed in one version of the list.
type change struct {
	version   uint64
	endpoints []endpointfile.Endpoint
}

// history has the recent changes of the list, oldest first.
type history []change

// add appends a change and drops old changes if there are more than maxHistory.
func (h *history) add(c change) {
	*h = append(*h, c)
	if len(*h) > maxHistory {
		*h = slices.Clone((*h)[len(*h)-maxHistory/2:])
	}
}

// covers reports whether the history has all changes between a version and the current one, so that a watcher with that version
// can be sent a delta. Version 0 is a watcher without a list.
func (h history) covers(version, current uint64) bool {
	if version == 0 {
		return false
	}
	if version == current {
		return true
	}
	return version < current && len(h) > 0 && h[0].version <= version+1
}

// since returns the endpoints that changed after a version. Each is returned once, in its latest state, and in the order of the
// first changes.
func (h history) since(version uint64) (endpoints []endpointfile.Endpoint) {
	positions := map[uint32]int{}
	for _, c := range h {
		if c.version <= version {
			continue
		}
		for _, endpoint := range c.endpoints {
			if i, seen := positions[endpoint.ID]; seen {
				endpoints[i] = endpoint
				continue
			}
			positions[endpoint.ID] = len(endpoints)
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}
