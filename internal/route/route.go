// Package route decides which pool a request goes to, and as which of the pool's methods: ordered routes on path, HTTP method and
// headers, in a file that proxies read. The package does no I/O.
package route

import (
	"slices"
	"strings"
)

// The sources of the values that a Term looks at.
const (
	SourcePath   = "path"
	SourceMethod = "method"
	SourceHeader = "hdr"
)

// The ways in which a Term matches a value.
const (
	MatchExact    = "str"
	MatchPrefix   = "beg"
	MatchSuffix   = "end"
	MatchContains = "sub"
	MatchPresent  = "found" // there is a value, whatever it is
)

// Request is what routes look at.
type Request struct {
	Method  string
	Path    string
	Headers map[string][]string // names in lower case
}

// Term is a condition on one property of a request. It holds if one of the property's values matches one of the patterns.
type Term struct {
	Negate     bool
	Source     string // one of SourcePath, SourceMethod and SourceHeader
	Header     string // the name in lower case, for SourceHeader
	Match      string // one of MatchExact to MatchPresent
	IgnoreCase bool
	Patterns   []string
}

// Route sends requests of a front end to a pool.
type Route struct {
	Frontend string
	Pool     string
	Method   string // of the pool, as which its requests count
	// Alternatives are conditions of which one must hold, or none with Negate. Each is a conjunction of terms. A route without
	// alternatives always matches.
	Alternatives [][]Term
	Negate       bool
}

// Matches reports whether the route takes a request.
func (r Route) Matches(request Request) bool {
	if len(r.Alternatives) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Alternatives, request.meetsAll) != r.Negate
}

// meetsAll reports whether all terms of a conjunction hold.
func (q Request) meetsAll(terms []Term) bool {
	return !slices.ContainsFunc(terms, func(term Term) bool { return !term.holds(q) })
}

// Safe reports whether all requests of the route have a method that RFC 9110 (9.2.1) calls safe, so that a retry does no harm. A
// route that does not ask for the method may get any.
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

func (t Term) requiresSafeMethod() bool {
	if t.Source != SourceMethod || t.Negate || t.Match != MatchExact || t.IgnoreCase {
		return false
	}
	return !slices.ContainsFunc(t.Patterns, func(method string) bool {
		return !slices.Contains([]string{"GET", "HEAD", "OPTIONS", "TRACE"}, method)
	})
}

// values returns the values of a request that a term looks at.
func (t Term) values(request Request) []string {
	switch t.Source {
	case SourcePath:
		return []string{request.Path}
	case SourceMethod:
		return []string{request.Method}
	}
	return request.Headers[t.Header]
}

func (t Term) holds(request Request) bool {
	return slices.ContainsFunc(t.values(request), t.matches) != t.Negate
}

// matches reports whether a value matches one of the patterns.
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

// Methods returns the methods that routes define for a pool, each once and in the order of the routes, and whether all routes of
// a method are safe.
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
