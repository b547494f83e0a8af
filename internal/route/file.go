package route

import (
	"strings"

	"gingerfork/internal/bootstrap"
)

// The words of a file of routes, which has a line for each route, in the order in which they are tried:
//
//	route FRONT to POOL as METHOD [when ROW [or ROW]... | unless ROW [or ROW]...]
//
// A ROW is one or more terms, all of which must hold: [not] path|method|hdr(NAME) str|beg|end|sub|found [any-case] =PATTERN...
// A term holds if any of its patterns matches. Patterns begin with =, so that none is taken for a word.
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

// String returns the line of the route in a file.
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

// Read reads a file of routes. It returns all faults, each with its line.
func Read(file, text string) (routes []Route, faults bootstrap.Faults) {
	lines, faults := bootstrap.Lex(file, text)
	catchAll := map[string]bootstrap.Line{} // by front end: the route that always matches, behind which none is reached
	for _, line := range lines {
		route, err := parse(line.Words)
		if err != nil {
			faults = append(faults, line.Fault("%s", err))
			continue
		}
		if earlier, ok := catchAll[route.Frontend]; ok {
			faults = append(faults, line.Fault("it is never reached: the route of line %d takes all that comes to %s", earlier.Number, route.Frontend))
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
