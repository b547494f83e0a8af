// Package route selects the pool that serves a request, and the method of that pool under which the request counts. Routes are
// tried in order and test the path, the HTTP method and the headers of a request. Proxies read them from a file, whose format
// this package parses and writes; it does no I/O itself.
package route

import (
	"slices"
	"strings"
)

// The properties of a request that a Term can test, as written in the file.
const (
	SourcePath   = "path"
	SourceMethod = "method"
	SourceHeader = "hdr"
)

// The ways in which a Term compares a value with its patterns, as written in the file.
const (
	MatchExact    = "str"
	MatchPrefix   = "beg"
	MatchSuffix   = "end"
	MatchContains = "sub"
	MatchPresent  = "found" // the property exists, with any value
)

// Request holds the properties of an HTTP request that routes test.
type Request struct {
	Method  string
	Path    string
	Headers map[string][]string // names in lower case
}

// Term is a condition on one property of a request. It holds if any value of the property matches any of the patterns or, with
// Negate, if none does.
type Term struct {
	Negate     bool
	Source     string // one of SourcePath, SourceMethod and SourceHeader
	Header     string // header name in lower case, if Source is SourceHeader
	Match      string // one of the Match constants
	IgnoreCase bool
	Patterns   []string
}

// Route sends the requests of a front end that meet its condition to a pool.
type Route struct {
	Frontend string
	Pool     string
	Method   string // method of the pool under which the requests count
	// Alternatives is the condition in disjunctive normal form: a list of conjunctions of terms, of which one must hold or, with
	// Negate, none. A route without alternatives matches every request.
	Alternatives [][]Term
	Negate       bool
}

// Matches reports whether the route's condition holds for a request.
func (r Route) Matches(request Request) bool {
	if len(r.Alternatives) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Alternatives, request.meetsAll) != r.Negate
}

// meetsAll reports whether all terms of a conjunction hold for the request.
func (q Request) meetsAll(terms []Term) bool {
	return !slices.ContainsFunc(terms, func(term Term) bool { return !term.holds(q) })
}

// Safe reports whether the route is known to match only requests with an HTTP method that RFC 9110 (9.2.1) calls safe, so that a
// retry does no harm. A route that does not test the method can match requests with any method, so it is not safe.
func (r Route) Safe() bool {
	if r.Negate || len(r.Alternatives) == 0 {
		return false
	}
	for _, terms := range r.Alternatives {
		if !slices.ContainsFunc(terms, Term.requiresSafeMethod) {
			return false
		}
	}
	return true
}

// requiresSafeMethod reports whether the term holds only for requests with a safe HTTP method. A term that ignores case does not
// count: HTTP methods are case-sensitive, so it also matches unknown methods such as "get".
func (t Term) requiresSafeMethod() bool {
	if t.Source != SourceMethod || t.Negate || t.Match != MatchExact || t.IgnoreCase {
		return false
	}
	return !slices.ContainsFunc(t.Patterns, func(method string) bool {
		return !slices.Contains([]string{"GET", "HEAD", "OPTIONS", "TRACE"}, method)
	})
}

// values returns the values of the property that the term tests. Only a header can have several values or none.
func (t Term) values(request Request) []string {
	switch t.Source {
	case SourcePath:
		return []string{request.Path}
	case SourceMethod:
		return []string{request.Method}
	}
	return request.Headers[t.Header]
}

// holds reports whether the term holds for a request.
func (t Term) holds(request Request) bool {
	return slices.ContainsFunc(t.values(request), t.matches) != t.Negate
}

// matches reports whether a value matches any of the patterns, regardless of Negate.
func (t Term) matches(value string) bool {
	if t.Match == MatchPresent {
		return true
	}
	if t.IgnoreCase {
		value = strings.ToLower(value)
	}
	return slices.ContainsFunc(t.Patterns, func(pattern string) bool {
		if t.IgnoreCase {
			pattern = strings.ToLower(pattern)
		}
		switch t.Match {
		case MatchExact:
			return value == pattern
		case MatchPrefix:
			return strings.HasPrefix(value, pattern)
		case MatchSuffix:
			return strings.HasSuffix(value, pattern)
		case MatchContains:
			return strings.Contains(value, pattern)
		}
		return false
	})
}

// Methods returns the names of the methods that routes define for a pool, each once and in the order of the routes. The map safe
// tells for each name whether all routes with that method are safe (see Route.Safe).
func Methods(routes []Route, pool string) (names []string, safe map[string]bool) {
	safe = map[string]bool{}
	for _, route := range routes {
		if route.Pool != pool {
			continue
		}
		safeSoFar, seen := safe[route.Method]
		if !seen {
			names = append(names, route.Method)
			safeSoFar = true
		}
		safe[route.Method] = safeSoFar && route.Safe()
	}
	return names, safe
}
