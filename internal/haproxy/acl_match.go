package haproxy

import (
	"slices"
	"strings"
	"unicode"

	"gingerfork/internal/route"
)

// The sample fetches and match methods of HAProxy that routes support. They are spelled like the Source and Match constants of
// package route, so that terms are built from them without translation.
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

// singleValueHeaders are headers with a single value. HAProxy splits the values of other headers at commas and matches each part;
// routes do not, so that only the presence of other headers can be tested.
var singleValueHeaders = []string{"host", "authorization", "content-type", "content-length", "origin"}

// parseMatch parses the match of an ACL: a sample fetch with its flags and patterns. It returns an error for a match that a route
// cannot express exactly.
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

// parseFetch parses a sample fetch such as path_beg or hdr(host), and returns a term with its source, header and match.
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

// unsupportedError returns the error for a sample fetch that has no equivalent in routes.
func unsupportedError(word string) error {
	return classify(ErrUnsupported, "%s has no like here", word)
}

// parseMatchFlags applies the flags of a match to its term and returns the patterns that follow the flags.
func parseMatchFlags(term *route.Term, words []string) (patterns []string, err error) {
	for len(words) > 0 && strings.HasPrefix(words[0], "-") {
		flag := words[0]
		words = words[1:]
		switch flag {
		case "-i":
			term.IgnoreCase = true
		case "-n": // Forbids resolving names in patterns, which routes never do.
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

// checkMatch returns an error if a term has no patterns or cannot be expressed exactly by a route.
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
