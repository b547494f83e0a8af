package haproxy

import (
	"strings"

	"gingerfork/internal/endpointfile"
)

// Servers returns the listed servers of a pool as entries of an endpoint list. The pool's name may be empty if there is only one
// pool. The error is a FaultsError if the files have faults, and wraps ErrNoPool if there is no such pool.
func (i Import) Servers(poolName string) ([]endpointfile.Backend, error) {
	if len(i.Faults) > 0 {
		return nil, FaultsError(i.Faults)
	}
	names := make([]string, 0, len(i.Pools))
	for _, pool := range i.Pools {
		names = append(names, pool.Name)
		if pool.Name == poolName || poolName == "" && len(i.Pools) == 1 {
			return pool.endpointListBackends(), nil
		}
	}
	return nil, classify(ErrNoPool, "no pool %q among %s", poolName, strings.Join(names, ", "))
}

// endpointListBackends returns the listed servers of the pool as entries of an endpoint list.
func (p Pool) endpointListBackends() []endpointfile.Backend {
	numbers := p.ServerNumbers()
	listed := p.ListedServers()
	servers := make([]endpointfile.Backend, 0, len(listed))
	for _, server := range listed {
		servers = append(servers, endpointfile.Backend{
			ID:       numbers[server.Name],
			Name:     server.Name,
			Addr:     server.Addr,
			Weight:   float64(server.listedWeight()),
			Draining: server.State == Draining,
		})
	}
	return servers
}

// listedWeight returns the server's weight on the endpoint list. It is at least 1, because a draining server, whose weight in
// HAProxy is 0, has a weight on the list as well.
func (s Server) listedWeight() int { return max(1, s.Weight) }
