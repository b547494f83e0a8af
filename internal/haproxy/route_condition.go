package haproxy

import (
	"slices"
	"strings"

	"gingerfork/internal/route"
)

// maxConjunctions is the most rows that a route may have.
const maxConjunctions = 100

var errTooManyConjunctions = classify(ErrUnsupported, "it would take more than %d rows", maxConjunctions)

// aclSet is the ACLs that a section has defined so far.
type aclSet struct {
	termsByName    map[string][]route.Term // the ACL holds if any of its matches does
	problemsByName map[string]error        // of ACLs with a match that a route cannot express
}

// parseRouteCondition reads a condition as a disjunction of rows, each of which is a conjunction of terms. An ACL with
// several lines holds if any of them does, which multiplies the rows.
func parseRouteCondition(words []string, acls aclSet) ([][]route.Term, error) {
	var rows [][]route.Term
	conjunction := [][]route.Term{{}} // the rows of the conjunction that is being read
	for len(words) > 0 {
		var word string
		var negated bool
		word, negated, words = cutNegation(words)
		if word == "or" || word == "||" {
			rows = append(rows, conjunction...)
			conjunction = [][]route.Term{{}}
			continue
		}
		var alternatives []route.Term
		var err error
		if word == "{" {
			alternatives, words, err = parseAnonymousACL(words)
		} else {
			alternatives, err = acls.lookup(word)
		}
		if err != nil {
			return nil, err
		}
		if conjunction, err = distribute(conjunction, alternatives, negated); err != nil {
			return nil, err
		}
	}
	rows = append(rows, conjunction...)
	if slices.ContainsFunc(rows, func(row []route.Term) bool { return len(row) == 0 }) {
		return nil, classify(ErrSyntax, "a part of its condition is empty")
	}
	if len(rows) > maxConjunctions {
		return nil, errTooManyConjunctions
	}
	return rows, nil
}

// cutNegation returns the next word without the exclamation marks before it, which may stand apart from it.
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

// parseAnonymousACL reads a match up to its closing brace.
func parseAnonymousACL(words []string) (alternatives []route.Term, rest []string, err error) {
	end := slices.Index(words, "}")
	if end < 0 {
		return nil, nil, classify(ErrSyntax, "a brace is never closed")
	}
	term, err := parseMatch(words[:end])
	return []route.Term{term}, words[end+1:], err
}

// lookup returns the matches of a named ACL.
func (a aclSet) lookup(name string) ([]route.Term, error) {
	switch {
	case a.problemsByName[name] != nil:
		return nil, classify(ErrUnsupported, "ACL %s: %w", name, a.problemsByName[name])
	case a.termsByName[name] != nil:
		return a.termsByName[name], nil
	case methodACLs[name] != nil:
		return []route.Term{{Source: fetchMethod, Match: matchExact, Patterns: methodACLs[name]}}, nil
	case name == "TRUE" || name == "FALSE":
		// No request has a header without a name, so that it is never found.
		return []route.Term{{Source: fetchHeader, Match: matchFound, Negate: name == "TRUE"}}, nil
	}
	return nil, classify(ErrUnsupported, "ACL %s has no like here", name)
}

// distribute adds a disjunction of terms to each row, or, if it is negated, the negation of every term.
func distribute(rows [][]route.Term, alternatives []route.Term, negated bool) ([][]route.Term, error) {
	if negated {
		negations := slices.Clone(alternatives)
		for i := range negations {
			negations[i].Negate = !negations[i].Negate
		}
		for i := range rows {
			rows[i] = slices.Concat(rows[i], negations)
		}
		return rows, nil
	}
	product := make([][]route.Term, 0, len(rows)*len(alternatives))
	for _, row := range rows {
		for _, term := range alternatives {
			product = append(product, append(slices.Clone(row), term))
		}
	}
	if len(product) > maxConjunctions {
		return nil, errTooManyConjunctions
	}
	return product, nil
}
