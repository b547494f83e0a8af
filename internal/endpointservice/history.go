package endpointservice

import (
	"slices"

	"gingerfork/internal/endpointfile"
)

// maxHistory is the number of changes that the history holds at most. When it is exceeded, the older half is dropped, and
// watchers whose version is older get the whole list.
const maxHistory = 1000

// change is what one version of the list changed.
type change struct {
	version   uint64
	endpoints []endpointfile.Endpoint
}

// history is the recent changes of the list, oldest first.
type history []change

// add appends a change and drops old ones if there are too many.
func (h *history) add(c change) {
	*h = append(*h, c)
	if len(*h) > maxHistory {
		*h = slices.Clone((*h)[len(*h)-maxHistory/2:])
	}
}

// covers reports whether the history has all changes from one version to the current one.
func (h history) covers(version, current uint64) bool {
	if version == 0 {
		return false
	}
	if version == current {
		return true
	}
	return version < current && len(h) > 0 && h[0].version <= version+1
}

// since returns the endpoints that changed after a version, each once in its latest state, in the order of their first change.
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
