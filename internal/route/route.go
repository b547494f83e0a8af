// Package route says which pool a request goes to, and as which of the pool's methods: ordered routes on path, HTTP method
// and headers, in a file that proxies read. Nothing here does I/O.
package route

import (
	"maps"
	"slices"
	"strings"
)

// Request is what a route looks at.
type Request struct {
	Method, Path string
	Headers      map[string][]string // names in lower case
}

// Term looks at one thing of a request.
type Term struct {
	Negate     bool
	Source     string // path, method or hdr
	Header     string // in lower case, for hdr
	Match      string // str, beg, end, sub or found
	IgnoreCase bool   // regardless of case
	Patterns   []string
}

// Route sends requests of a front to a pool, if any of its rows of terms holds (or none does, by Unless). Without rows
// it holds always. Routes are looked at in their order.
type Route struct {
	Frontend, Pool string
	Method         string // the pool's method that its requests are
	Negate         bool
	Alternatives   [][]Term
}

// Holds tells whether a request is the route's.
func (r Route) Matches(q Request) bool {
	if len(r.Alternatives) == 0 {
		return true
	}
	matched := slices.ContainsFunc(r.Alternatives, func(row []Term) bool {
		return !slices.ContainsFunc(row, func(t Term) bool { return !t.holds(q) })
	})
	return matched != r.Negate
}

// Safe tells whether all of its requests have a method that RFC 9110 (9.2.1) calls safe, so that a second run does no
// harm. Of others nothing is known: a GET that the route does not ask for may be a POST.
func (r Route) Safe() bool {
	return !r.Negate && len(r.Alternatives) > 0 && !slices.ContainsFunc(r.Alternatives, func(row []Term) bool {
		return !slices.ContainsFunc(row, func(t Term) bool {
			return t.Source == "method" && !t.Negate && t.Match == "str" && !t.IgnoreCase && !slices.ContainsFunc(t.Patterns, func(p string) bool {
				return !slices.Contains([]string{"GET", "HEAD", "OPTIONS", "TRACE"}, p)
			})
		})
	})
}

func (t Term) values(q Request) []string {
	switch t.Source {
	case "path":
		return []string{q.Path}
	case "method":
		return []string{q.Method}
	}
	return q.Headers[t.Header]
}

func (t Term) holds(q Request) bool {
	values := t.values(q)
	hit := t.Match == "found" && len(values) > 0
	for _, v := range values {
		for _, p := range t.Patterns {
			if t.IgnoreCase {
				v, p = strings.ToLower(v), strings.ToLower(p)
			}
			switch t.Match {
			case "str":
				hit = hit || v == p
			case "beg":
				hit = hit || strings.HasPrefix(v, p)
			case "end":
				hit = hit || strings.HasSuffix(v, p)
			case "sub":
				hit = hit || strings.Contains(v, p)
			}
		}
	}
	return hit != t.Negate
}

// Table is routes made ready for many lookups. A front with ten thousand routes by host or by path is looked at in a
// few steps: only the routes that ask for the request's own value, and those that ask for no whole value, are tried.
type Table struct {
	fronts map[string]*front
}

type front struct {
	routes []Route
	open   []int            // that can't be told by a whole value
	keys   map[string][]int // routes by a value that one of their terms asks for as a whole
	looks  []Term           // the kinds of values that are asked for, without patterns
}

// NewTable makes a table; routes of a front keep their order.
func NewTable(routes []Route) *Table {
	t := &Table{map[string]*front{}}
	for _, r := range routes {
		f := t.fronts[r.Frontend]
		if f == nil {
			f = &front{keys: map[string][]int{}}
			t.fronts[r.Frontend] = f
		}
		f.add(r)
	}
	return t
}

// whole finds in each row a term by whose whole value the row can be found; false if any row has none.
func whole(r Route) (all []Term, ok bool) {
	if r.Negate || len(r.Alternatives) == 0 {
		return nil, false
	}
	for _, row := range r.Alternatives {
		at := slices.IndexFunc(row, func(t Term) bool { return t.Match == "str" && !t.Negate && t.Source != "method" })
		if at < 0 {
			return nil, false
		}
		all = append(all, row[at])
	}
	return all, true
}

// key is how a value is found. Case is folded for all: which routes hold is asked of them again.
func (t Term) key(v string) string { return t.Source + "\x00" + t.Header + "\x00" + strings.ToLower(v) }

func (f *front) add(r Route) {
	n := len(f.routes)
	f.routes = append(f.routes, r)
	terms, ok := whole(r)
	if !ok {
		f.open = append(f.open, n)
		return
	}
	for _, t := range terms {
		if !slices.ContainsFunc(f.looks, func(x Term) bool { return x.Source == t.Source && x.Header == t.Header }) {
			f.looks = append(f.looks, Term{Source: t.Source, Header: t.Header})
		}
		for _, p := range t.Patterns {
			if k := t.key(p); !slices.Contains(f.keys[k], n) {
				f.keys[k] = append(f.keys[k], n)
			}
		}
	}
}

// Pick gives the first route of a front that is the request's; false if none is.
func (t *Table) Lookup(from string, q Request) (Route, bool) {
	f := t.fronts[from]
	if f == nil {
		return Route{}, false
	}
	best := len(f.routes)
	for _, look := range f.looks {
		for _, v := range look.values(q) {
			for _, n := range f.keys[look.key(v)] {
				if n < best && f.routes[n].Matches(q) {
					best = n
				}
			}
		}
	}
	for _, n := range f.open {
		if n >= best {
			break
		}
		if f.routes[n].Matches(q) {
			best = n
		}
	}
	if best == len(f.routes) {
		return Route{}, false
	}
	return f.routes[best], true
}

// Methods gives the methods that routes make of a pool's requests, in their order, each once, and whether all of a
// method's routes are safe.
func Methods(routes []Route, pool string) (names []string, safe map[string]bool) {
	safe = map[string]bool{}
	for _, r := range routes {
		if r.Pool != pool {
			continue
		}
		if was, seen := safe[r.Method]; seen {
			safe[r.Method] = was && r.Safe()
			continue
		}
		names, safe[r.Method] = append(names, r.Method), r.Safe()
	}
	return names, safe
}

// Fronts names a table's fronts, in order.
func (t *Table) Fronts() []string {
	return slices.Sorted(maps.Keys(t.fronts))
}
