package haproxy

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gingerfork/internal/bootstrap"
)

// ServerNumbers returns the number of each server on the endpoint list, by server name. A number is a hash of the pool's and the
// server's name, so that a server keeps its number when other servers are added or removed. Where two hashes collide, the server
// whose name sorts later takes the next free number. Number 0 is not used.
func (p Pool) ServerNumbers() map[string]uint32 {
	names := make([]string, 0, len(p.Servers))
	for _, server := range p.Servers {
		names = append(names, server.Name)
	}
	slices.Sort(names)
	numbers, taken := map[string]uint32{}, map[uint32]bool{0: true}
	for _, name := range slices.Compact(names) {
		number := uint32(xxhash.Sum64String(p.Name+"/"+name)) & math.MaxInt32
		for taken[number] {
			number = (number + 1) & math.MaxInt32
		}
		numbers[name], taken[number] = number, true
	}
	return numbers
}

// EndpointList returns the pool's endpoint list. After a comment it has one line for each listed server:
//
//	server NUMBER NAME weight WEIGHT addr ADDRESS state open|draining
func (p Pool) EndpointList() string {
	var list strings.Builder
	fmt.Fprintf(&list, "# pool %q, from %q line %d\n", p.Name, p.File, p.Line)
	numbers := p.ServerNumbers()
	for _, server := range p.ListedServers() {
		fmt.Fprintf(&list, "server %d %s weight %d addr %s state %s\n",
			numbers[server.Name], bootstrap.Quote(server.Name), server.listedWeight(), bootstrap.Quote(server.Addr), server.State)
	}
	return list.String()
}
