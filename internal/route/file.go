package route

import (
	"strings"

	"gingerfork/internal/bootstrap"
)

// The keywords of a route file. The file has one line for each route, in the order in which routes are tried:
//
//	route FRONTEND to POOL as METHOD [when TERM... [or TERM...]... | unless TERM... [or TERM...]...]
//
// The word or separates alternatives. An alternative holds if all its terms hold. A route with when matches a request if any
// alternative holds, a route with unless if none does. A TERM is:
//
//	[not] path|method|hdr(NAME) str|beg|end|sub|found [any-case] =PATTERN...
//
// A term holds if any of its patterns matches, or with not if none does. Patterns begin with =, so that they cannot be mistaken
// for keywords.
const (
	wordRoute      = "route"
	wordTo         = "to"
	wordAs         = "as"
	wordWhen       = "when"
	wordUnless     = "unless"
	wordOr         = "or"
	wordNot        = "not"
	wordIgnoreCase = "any-case"
	headerPrefix   = "hdr("
	headerSuffix   = ")"
	patternPrefix  = "="
)

// String returns the route as a line of a route file, without the line end.
func (r Route) String() string {
	words := []string{wordRoute, r.Frontend, wordTo, r.Pool, wordAs, r.Method}
	for i, alternative := range r.Alternatives {
		switch {
		case i > 0:
			words = append(words, wordOr)
		case r.Negate:
			words = append(words, wordUnless)
		default:
			words = append(words, wordWhen)
		}
		for _, term := range alternative {
			words = append(words, term.words()...)
		}
	}
	for i, word := range words {
		words[i] = bootstrap.Quote(word)
	}
	return strings.Join(words, " ")
}

// words returns the unquoted words of the term in a route file.
func (t Term) words() (words []string) {
	if t.Negate {
		words = append(words, wordNot)
	}
	source := t.Source
	if source == SourceHeader {
		source = headerPrefix + t.Header + headerSuffix
	}
	words = append(words, source, t.Match)
	if t.IgnoreCase {
		words = append(words, wordIgnoreCase)
	}
	for _, pattern := range t.Patterns {
		words = append(words, patternPrefix+pattern)
	}
	return words
}

// Read parses the text of a route file. It returns all faults of the file, each with its line number.
func Read(file, text string) (routes []Route, faults bootstrap.Faults) {
	lines, faults := bootstrap.Lex(file, text)
	catchAll := map[string]bootstrap.Line{} // by front end: line of the front end's route without a condition, after which no route is reached
	for _, line := range lines {
		route, err := parse(line.Words)
		if err != nil {
			faults = append(faults, line.Fault("%s", err))
			continue
		}
		if earlier, ok := catchAll[route.Frontend]; ok {
			faults = append(faults, line.Fault("route is never reached: the route at line %d matches all requests of front end %q", earlier.Number, route.Frontend))
			continue
		}
		if len(route.Alternatives) == 0 {
			catchAll[route.Frontend] = line
		}
		routes = append(routes, route)
	}
	faults.Sort()
	return routes, faults
}
