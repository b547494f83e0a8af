package haproxy

import (
	"slices"
	"strings"
	"unicode"

	"gingerfork/internal/route"
)

// The fetches and matches of route terms, which HAProxy has under the same names.
const (
	fetchPath   = "path"
	fetchMethod = "method"
	fetchHeader = "hdr"

	matchExact = "str"
	matchBegin = "beg"
	matchEnd   = "end"
	matchPart  = "sub"
	matchFound = "found"
)

// singleValueHeaders hold one value. HAProxy takes other headers apart at their commas, which routes do not.
var singleValueHeaders = []string{"host", "authorization", "content-type", "content-length", "origin"}

// parseMatch reads the match of an ACL: a fetch with its flags and patterns. Only a match that a route can express exactly
// is accepted.
func parseMatch(words []string) (route.Term, error) {
	if len(words) == 0 {
		return route.Term{}, classify(ErrSyntax, "it looks at nothing")
	}
	term, err := parseFetch(words[0])
	if err != nil {
		return route.Term{}, err
	}
	patterns, err := parseMatchFlags(&term, words[1:])
	if err != nil {
		return route.Term{}, err
	}
	term.Patterns = patterns
	return term, checkMatch(term)
}

// parseFetch reads a fetch such as path_beg or hdr(host).
func parseFetch(word string) (term route.Term, err error) {
	name, argument, hasArgument := strings.Cut(word, "(")
	if hasArgument {
		var closed bool
		argument, closed = strings.CutSuffix(argument, ")")
		if !closed || strings.ContainsAny(argument, "(),") {
			return term, classify(ErrUnsupported, "%s is more than a fetch", word)
		}
	}
	base, match, hasMatch := strings.Cut(name, "_")
	term.Match = matchExact
	if hasMatch {
		if !slices.Contains([]string{matchBegin, matchEnd, matchPart}, match) {
			return term, unsupportedError(name)
		}
		term.Match = match
	}
	switch {
	case base == fetchPath && !hasArgument, base == fetchMethod && !hasArgument && !hasMatch:
		term.Source = base
	case (base == fetchHeader || name == "req.hdr") && hasArgument && argument != "":
		term.Source, term.Header = fetchHeader, strings.ToLower(argument)
	default:
		return term, unsupportedError(word)
	}
	return term, nil
}

func unsupportedError(word string) error {
	return classify(ErrUnsupported, "%s has no like here", word)
}

// parseMatchFlags applies the flags of a match and returns the patterns behind them.
func parseMatchFlags(term *route.Term, words []string) (patterns []string, err error) {
	for len(words) > 0 && strings.HasPrefix(words[0], "-") {
		flag := words[0]
		words = words[1:]
		switch flag {
		case "-i":
			term.IgnoreCase = true
		case "-n": // It keeps names from being resolved, which routes never do.
		case "-m":
			if len(words) == 0 || !slices.Contains([]string{matchExact, matchBegin, matchEnd, matchPart, matchFound}, words[0]) {
				return nil, classify(ErrUnsupported, "this match has no like here")
			}
			term.Match, words = words[0], words[1:]
		case "--":
			return append(patterns, words...), nil
		default:
			return nil, classify(ErrUnsupported, "flag %s has no like here", flag)
		}
	}
	return append(patterns, words...), nil
}

func checkMatch(term route.Term) error {
	hasControl := func(pattern string) bool { return strings.ContainsFunc(pattern, unicode.IsControl) }
	switch {
	case len(term.Patterns) == 0 && term.Match != matchFound:
		return classify(ErrSyntax, "it has no patterns")
	case term.Source == fetchMethod && term.Match != matchExact:
		return classify(ErrUnsupported, "methods are matched whole")
	case slices.ContainsFunc(term.Patterns, hasControl):
		return classify(ErrUnsupported, "a pattern has a control character")
	case term.Source == fetchHeader && term.Match != matchFound && !slices.Contains(singleValueHeaders, term.Header):
		return classify(ErrUnsupported, "header %s may hold several values, which are not taken apart here", term.Header)
	}
	return nil
}
