package haproxy

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is a difference in the listing of a server between two imports.
type Change struct {
	Pool, Server  string
	Before, After string // the server's listing, "" where it is not listed
}

// Diff returns the changes of the endpoint lists between two imports, sorted by pool and server.
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

// listings returns what the endpoint lists say of each server.
func (i Import) listings() map[serverKey]string {
	listings := map[serverKey]string{}
	for _, pool := range i.Pools {
		for _, server := range pool.ListedServers() {
			listings[serverKey{pool.Name, server.Name}] = fmt.Sprintf("weight %d addr %s state %s", server.listedWeight(), server.Addr, server.State)
		}
	}
	return listings
}
