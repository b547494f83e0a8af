package haproxy

import (
	"slices"
	"strings"

	"gingerfork/internal/route"
)

// maxConjunctions is the maximum number of conjunctions in the condition of a route. Messages call them rows.
const maxConjunctions = 100

var errTooManyConjunctions = classify(ErrUnsupported, "it would take more than %d rows", maxConjunctions)

// aclSet holds the ACLs that a section has defined so far.
type aclSet struct {
	termsByName    map[string][]route.Term // by the ACL's name: its terms, of which one must hold for the ACL to hold
	problemsByName map[string]error        // by the ACL's name: why a route cannot express a match of the ACL
}

// parseRouteCondition returns the disjunctive normal form of a condition: a list of conjunctions of terms, of which one must hold.
// An ACL that is defined by several lines holds if any of them does, which multiplies the number of conjunctions.
func parseRouteCondition(words []string, acls aclSet) ([][]route.Term, error) {
	var conjunctions [][]route.Term
	current := [][]route.Term{{}} // equivalent to the words since the last or
	for len(words) > 0 {
		var word string
		var negated bool
		word, negated, words = cutNegation(words)
		if word == "or" || word == "||" {
			conjunctions = append(conjunctions, current...)
			current = [][]route.Term{{}}
			continue
		}
		var terms []route.Term
		var err error
		if word == "{" {
			terms, words, err = parseAnonymousACL(words)
		} else {
			terms, err = acls.lookup(word)
		}
		if err != nil {
			return nil, err
		}
		if current, err = distribute(current, terms, negated); err != nil {
			return nil, err
		}
	}
	conjunctions = append(conjunctions, current...)
	if slices.ContainsFunc(conjunctions, func(terms []route.Term) bool { return len(terms) == 0 }) {
		return nil, classify(ErrSyntax, "a part of its condition is empty")
	}
	if len(conjunctions) > maxConjunctions {
		return nil, errTooManyConjunctions
	}
	return conjunctions, nil
}

// cutNegation returns the next word without the exclamation marks before it, which may be separate words, and whether they negate
// it: two of them cancel out.
func cutNegation(words []string) (word string, negated bool, rest []string) {
	word, rest = words[0], words[1:]
	for strings.HasPrefix(word, "!") {
		negated, word = !negated, word[1:]
		if word == "" && len(rest) > 0 {
			word, rest = rest[0], rest[1:]
		}
	}
	return word, negated, rest
}

// parseAnonymousACL parses the match of an anonymous ACL, whose opening brace precedes words. It returns the words after the
// closing brace.
func parseAnonymousACL(words []string) (terms []route.Term, rest []string, err error) {
	end := slices.Index(words, "}")
	if end < 0 {
		return nil, nil, classify(ErrSyntax, "a brace is never closed")
	}
	term, err := parseMatch(words[:end])
	return []route.Term{term}, words[end+1:], err
}

// lookup returns the terms of a named ACL, which holds if any of them does.
func (a aclSet) lookup(name string) ([]route.Term, error) {
	switch {
	case a.problemsByName[name] != nil:
		return nil, classify(ErrUnsupported, "ACL %s: %w", name, a.problemsByName[name])
	case a.termsByName[name] != nil:
		return a.termsByName[name], nil
	case methodACLs[name] != nil:
		return []route.Term{{Source: fetchMethod, Match: matchExact, Patterns: methodACLs[name]}}, nil
	case name == "TRUE" || name == "FALSE":
		// A header with an empty name is never found, because no request has one.
		return []route.Term{{Source: fetchHeader, Match: matchFound, Negate: name == "TRUE"}}, nil
	}
	return nil, classify(ErrUnsupported, "ACL %s has no like here", name)
}

// distribute returns the disjunctive normal form of a condition: one of the conjunctions holds, and also one of the terms or, if
// negated, none of the terms. It may modify the slice of conjunctions.
func distribute(conjunctions [][]route.Term, terms []route.Term, negated bool) ([][]route.Term, error) {
	if negated {
		negations := slices.Clone(terms)
		for i := range negations {
			negations[i].Negate = !negations[i].Negate
		}
		for i := range conjunctions {
			conjunctions[i] = slices.Concat(conjunctions[i], negations)
		}
		return conjunctions, nil
	}
	product := make([][]route.Term, 0, len(conjunctions)*len(terms))
	for _, conjunction := range conjunctions {
		for _, term := range terms {
			product = append(product, append(slices.Clone(conjunction), term))
		}
	}
	if len(product) > maxConjunctions {
		return nil, errTooManyConjunctions
	}
	return product, nil
}
