package route

import (
	"fmt"
	"slices"
	"strings"
)

// syntaxError is a constant error about the syntax of a line.
type syntaxError string

func (e syntaxError) Error() string { return string(e) }

const (
	errRouteSyntax syntaxError = "invalid route, expected: route FRONTEND to POOL as METHOD [when|unless ...]"
	errTermSyntax  syntaxError = "invalid term, expected: [not] path|method|hdr(NAME) str|beg|end|sub|found [any-case] =PATTERN..."
	errNoPattern   syntaxError = "term has no pattern (patterns begin with =)"
)

// routeWordCount is the number of words of a route without a condition.
const routeWordCount = 6

// parse parses the words of a line as a route.
func parse(words []string) (Route, error) {
	if len(words) < routeWordCount || words[0] != wordRoute || words[2] != wordTo || words[4] != wordAs {
		return Route{}, errRouteSyntax
	}
	route := Route{Frontend: words[1], Pool: words[3], Method: words[5]}
	if len(words) == routeWordCount {
		return route, nil
	}
	switch condition := words[routeWordCount]; condition {
	case wordWhen:
	case wordUnless:
		route.Negate = true
	default:
		return Route{}, fmt.Errorf("expected when or unless, found %q", condition)
	}
	var err error
	route.Alternatives, err = parseAlternatives(words[routeWordCount+1:])
	if err != nil {
		return Route{}, err
	}
	return route, nil
}

// parseAlternatives parses the alternatives of a condition, which are separated by the word or.
func parseAlternatives(words []string) (alternatives [][]Term, err error) {
	var terms []Term
	for {
		var term Term
		term, words, err = parseTerm(words)
		if err != nil {
			return nil, err
		}
		terms = append(terms, term)
		if len(words) > 0 && words[0] != wordOr {
			continue
		}
		alternatives, terms = append(alternatives, terms), nil
		if len(words) == 0 {
			return alternatives, nil
		}
		words = words[1:]
	}
}

// parseTerm parses the term at the beginning of words, and returns the words after it.
func parseTerm(words []string) (term Term, rest []string, err error) {
	term.Negate, words = cutWord(words, wordNot)
	if len(words) < 2 {
		return term, nil, errTermSyntax
	}
	if term.Source, term.Header, err = parseSource(words[0]); err != nil {
		return term, nil, err
	}
	term.Match = words[1]
	if !slices.Contains([]string{MatchExact, MatchPrefix, MatchSuffix, MatchContains, MatchPresent}, term.Match) {
		return term, nil, fmt.Errorf("unknown match %q, expected str, beg, end, sub or found", term.Match)
	}
	term.IgnoreCase, words = cutWord(words[2:], wordIgnoreCase)
	for len(words) > 0 && strings.HasPrefix(words[0], patternPrefix) {
		term.Patterns = append(term.Patterns, strings.TrimPrefix(words[0], patternPrefix))
		words = words[1:]
	}
	if len(term.Patterns) == 0 && term.Match != MatchPresent {
		return term, nil, errNoPattern
	}
	return term, words, nil
}

// cutWord reports whether the first of words is the given word, and returns the words without it.
func cutWord(words []string, word string) (found bool, rest []string) {
	if len(words) > 0 && words[0] == word {
		return true, words[1:]
	}
	return false, words
}

// parseSource parses the property that a term tests. The header is empty unless the source is SourceHeader.
func parseSource(word string) (source, header string, err error) {
	if name, ok := strings.CutPrefix(word, headerPrefix); ok {
		header, ok = strings.CutSuffix(name, headerSuffix)
		if !ok || header != strings.ToLower(header) {
			return "", "", fmt.Errorf("%q is not a header name in lower case, such as hdr(host)", word)
		}
		return SourceHeader, header, nil
	}
	if word != SourcePath && word != SourceMethod {
		return "", "", fmt.Errorf("unknown source %q, expected path, method or hdr(NAME)", word)
	}
	return word, "", nil
}
