package haproxy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

// Numbers gives each listed server of a pool its number on our list: by its name, so that it keeps the number whatever is
// added or removed beside it. Where two names meet on one number, the one that sorts later takes the next.
func (p Pool) Numbers() map[string]uint32 {
	names := make([]string, 0, len(p.Servers))
	for _, s := range p.Servers {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	all, taken := map[string]uint32{}, map[uint32]bool{0: true}
	for _, name := range names {
		if _, twice := all[name]; twice {
			continue
		}
		n := uint32(xxhash.Sum64String(p.Name+"/"+name)) & math.MaxInt32
		for taken[n] {
			n = (n + 1) & math.MaxInt32
		}
		all[name], taken[n] = n, true
	}
	return all
}

// List writes a pool's servers, a line each: server NUMBER NAME weight W addr ADDRESS state open|draining.
func (p Pool) List() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# pool %q, from %q line %d\n", p.Name, p.File, p.Line)
	numbers := p.Numbers()
	for _, s := range p.Listed() {
		fmt.Fprintf(&b, "server %d %s weight %d addr %s state %s\n", numbers[s.Name], bootstrap.Quote(s.Name), max(1, s.Weight), bootstrap.Quote(s.Addr), s.State)
	}
	return b.String()
}

// Settings writes a pool's settings, which `gingerfork check` passes. What HAProxy's format does not say is marked as such,
// at a figure that is to be looked at before service.
//
// Its methods are what routes make of its requests; without routes they are all one. One whose routes take only what
// RFC 9110 calls safe is idempotent, of others that can't be known.
func (p Pool) Settings(routes []route.Route) string {
	warm, deadline := 10.0, 0.0
	said := "not in the import: how long your servers warm"
	for _, s := range p.Servers {
		if s.SlowStart > 0 {
			warm, said = max(warm, s.SlowStart), "the longest slowstart"
		}
	}
	what := "not in the import"
	if deadline = p.Deadline; deadline > 0 {
		what = "timeout server"
	} else {
		deadline = 30
	}
	deadline = min(max(deadline, 0.002), 3600)
	ms := func(s float64) string { return strconv.FormatFloat(math.Round(s*1000), 'f', -1, 64) + "ms" }
	return fmt.Sprintf(`# pool %q, from %q line %d
instance %s
    zone            imported      # not in the import
    listen          127.0.0.1:%d # not in the import
    list-service    127.0.0.1:%d # not in the import
    state           -

fleet
    zones           imported      # not in the import
    proxy-count     8             # not in the import
    warm-after      %s       # %s
    cold-share      30%%           # not in the import
    fall-multiple   3             # not in the import
    fall-window     1s            # not in the import
    drain-grace     2s            # not in the import
    bare-limit      3s            # not in the import

proxies
    pick            %s
    report-period   2s            # not in the import
    push-time       5ms           # not in the import
    push-time-worst 300ms         # not in the import

channel
    room            10000         # not in the import
    pace            10000         # not in the import
`, p.Name, p.File, p.Line, bootstrap.Quote(p.Name), 7400+2*p.at%50000, 7401+2*p.at%50000, ms(warm), said, p.Pick) + p.methods(routes, ms(min(1, deadline/2)), ms(deadline), what)
}

// allMethod is the one method of a pool whose requests routes don't tell apart.
const allMethod = "all"

func (p Pool) methods(routes []route.Route, soft, deadline, what string) string {
	names, safe := route.Methods(routes, p.Name)
	if len(names) == 0 {
		names = []string{allMethod}
	}
	tries, why := "free", "retries, retry-on"
	if p.Retries == 0 || p.once {
		tries = "once"
	}
	var b strings.Builder
	for _, name := range names {
		effect, said := "non-idempotent", "not in the import: what a second run does"
		if safe[name] {
			effect, said = "idempotent", "its routes take GET, HEAD, OPTIONS and TRACE alone"
		}
		fmt.Fprintf(&b, `
method %s
    effect          %s # %s
    tries           %s          # %s
    criticality     1             # not in the import
    soft-deadline   %s       # not in the import: when an answer is wanted
    deadline        %s       # %s
`, bootstrap.Quote(name), effect, said, tries, why, soft, deadline, what)
	}
	return b.String()
}

// Change is what differs for a server between two imports.
type Change struct {
	Pool, Server string
	Before, After      string // "": not listed
}

// Diff tells what changes on the list between two imports, by pool and server in the order of names.
func Diff(old, now Import) (all []Change) {
	show := func(i Import) map[[2]string]string {
		m := map[[2]string]string{}
		for _, p := range i.Pools {
			for _, s := range p.Listed() {
				m[[2]string{p.Name, s.Name}] = fmt.Sprintf("weight %d addr %s state %s", max(1, s.Weight), s.Addr, s.State)
			}
		}
		return m
	}
	was, is := show(old), show(now)
	for k, v := range was {
		if is[k] != v {
			all = append(all, Change{k[0], k[1], v, is[k]})
		}
	}
	for k, v := range is {
		if _, had := was[k]; !had {
			all = append(all, Change{k[0], k[1], "", v})
		}
	}
	slices.SortFunc(all, func(a, b Change) int {
		if a.Pool != b.Pool {
			return strings.Compare(a.Pool, b.Pool)
		}
		return strings.Compare(a.Server, b.Server)
	})
	return all
}
