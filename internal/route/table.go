package route

import (
	"maps"
	"slices"
	"strings"
)

// Table finds the first route that matches a request. It indexes routes by the exact values that they require: with ten thousand
// routes by host or path, a lookup tries only the routes that require a value of the request, and those that cannot be indexed.
type Table struct {
	frontends map[string]*index
}

// index holds the routes of one front end.
type index struct {
	routes    []Route
	unindexed []int            // positions in routes of those that do not require an exact value
	byValue   map[string][]int // positions in routes of the others, by Term.key of each value that they require
	sources   []Term           // the properties whose values are keys of byValue, as terms without patterns
}

// NewTable builds a table of routes. The routes of each front end keep their order.
func NewTable(routes []Route) *Table {
	table := &Table{frontends: map[string]*index{}}
	for _, route := range routes {
		entry := table.frontends[route.Frontend]
		if entry == nil {
			entry = &index{byValue: map[string][]int{}}
			table.frontends[route.Frontend] = entry
		}
		entry.add(route)
	}
	return table
}

// Frontends returns the names of the front ends, sorted.
func (t *Table) Frontends() []string {
	return slices.Sorted(maps.Keys(t.frontends))
}

// Lookup returns the first route of a front end that matches a request, or false if none does.
func (t *Table) Lookup(frontend string, request Request) (Route, bool) {
	entry := t.frontends[frontend]
	if entry == nil {
		return Route{}, false
	}
	return entry.lookup(request)
}

// add appends a route, and indexes it if each of its alternatives requires an exact value.
func (x *index) add(route Route) {
	position := len(x.routes)
	x.routes = append(x.routes, route)
	terms, ok := exactTerms(route)
	if !ok {
		x.unindexed = append(x.unindexed, position)
		return
	}
	for _, term := range terms {
		x.addSource(term)
		for _, pattern := range term.Patterns {
			key := term.key(pattern)
			if !slices.Contains(x.byValue[key], position) {
				x.byValue[key] = append(x.byValue[key], position)
			}
		}
	}
}

// addSource adds the property that a term tests to the properties that lookups search by.
func (x *index) addSource(term Term) {
	known := slices.ContainsFunc(x.sources, func(source Term) bool { return source.Source == term.Source && source.Header == term.Header })
	if !known {
		x.sources = append(x.sources, Term{Source: term.Source, Header: term.Header})
	}
}

// lookup returns the first route that matches a request, or false if none does.
func (x *index) lookup(request Request) (Route, bool) {
	best := x.firstIndexed(request)
	for _, position := range x.unindexed {
		if position >= best {
			break
		}
		if x.routes[position].Matches(request) {
			best = position
		}
	}
	if best == len(x.routes) {
		return Route{}, false
	}
	return x.routes[best], true
}

// firstIndexed returns the position of the first indexed route that matches a request, or the number of routes if none does.
func (x *index) firstIndexed(request Request) int {
	best := len(x.routes)
	for _, source := range x.sources {
		for _, value := range source.values(request) {
			for _, position := range x.byValue[source.key(value)] {
				if position < best && x.routes[position].Matches(request) {
					best = position
				}
			}
		}
	}
	return best
}

// exactTerms returns, for each alternative of a route, a term that requires an exact value, by which the route can be indexed. It
// returns false if an alternative has no such term. Terms on the HTTP method are not used, as there are too few methods for an
// index to tell routes apart.
func exactTerms(route Route) (terms []Term, ok bool) {
	if route.Negate || len(route.Alternatives) == 0 {
		return nil, false
	}
	for _, alternative := range route.Alternatives {
		i := slices.IndexFunc(alternative, func(term Term) bool {
			return term.Match == MatchExact && !term.Negate && term.Source != SourceMethod
		})
		if i < 0 {
			return nil, false
		}
		terms = append(terms, alternative[i])
	}
	return terms, true
}

// key returns the index key of a value of the property that the term tests. Keys ignore case even if the term does not, because
// a lookup calls Route.Matches for each route that it finds.
func (t Term) key(value string) string {
	return t.Source + "\x00" + t.Header + "\x00" + strings.ToLower(value)
}
