package haproxy

import (
	"strings"

	"gingerfork/internal/endpointfile"
)

// Servers returns the servers of a pool as the endpoint list takes them. The pool's name may be empty if there is only one.
// The error is a FaultsError if the files have faults, and ErrNoPool if there is no such pool.
func (i Import) Servers(poolName string) ([]endpointfile.Backend, error) {
	if len(i.Faults) > 0 {
		return nil, FaultsError(i.Faults)
	}
	names := make([]string, 0, len(i.Pools))
	for _, pool := range i.Pools {
		names = append(names, pool.Name)
		if pool.Name == poolName || poolName == "" && len(i.Pools) == 1 {
			return pool.listedServers(), nil
		}
	}
	return nil, classify(ErrNoPool, "no pool %q among %s", poolName, strings.Join(names, ", "))
}

func (p Pool) listedServers() []endpointfile.Backend {
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

// listedWeight is the server's weight on the endpoint list, where a draining server has a weight as well.
func (s Server) listedWeight() int { return max(1, s.Weight) }
