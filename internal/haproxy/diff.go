package haproxy

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is a difference between two imports in the endpoint list entry of a server.
type Change struct {
	Pool, Server  string
	Before, After string // the entry without the server's number and name, "" if the server is not listed
}

// Diff returns the differences between the endpoint lists of two imports, sorted by pool and server.
func Diff(before, after Import) (changes []Change) {
	old, current := before.listings(), after.listings()
	for key, listing := range old {
		if current[key] != listing {
			changes = append(changes, Change{key.pool, key.server, listing, current[key]})
		}
	}
	for key, listing := range current {
		if _, existed := old[key]; !existed {
			changes = append(changes, Change{key.pool, key.server, "", listing})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server))
	})
	return changes
}

// listings returns the endpoint list entry of each listed server, without its number and name.
func (i Import) listings() map[serverKey]string {
	listings := map[serverKey]string{}
	for _, pool := range i.Pools {
		for _, server := range pool.ListedServers() {
			listings[serverKey{pool.Name, server.Name}] = fmt.Sprintf("weight %d addr %s state %s", server.listedWeight(), server.Addr, server.State)
		}
	}
	return listings
}
