package haproxy

import (
	"fmt"
	"strings"

	"gingerfork/internal/endpointfile"
)

// Servers are a pool's as a list takes them. Where there is one pool its name may be left out.
func (i Import) Servers(pool string) ([]endpointfile.Backend, error) {
	if len(i.Faults) > 0 {
		all := make([]string, 0, len(i.Faults))
		for _, f := range i.Faults {
			all = append(all, f.String())
		}
		return nil, fmt.Errorf("%s", strings.Join(all, "; "))
	}
	var names []string
	for _, p := range i.Pools {
		if names = append(names, p.Name); p.Name != pool && (pool != "" || len(i.Pools) > 1) {
			continue
		}
		numbers := p.Numbers()
		var all []endpointfile.Backend
		for _, s := range p.Listed() {
			all = append(all, endpointfile.Backend{ID: numbers[s.Name], Name: s.Name, Addr: s.Addr, Weight: float64(max(1, s.Weight)), Draining: s.State == Draining})
		}
		return all, nil
	}
	return nil, fmt.Errorf("no pool %q among %s", pool, strings.Join(names, ", "))
}
