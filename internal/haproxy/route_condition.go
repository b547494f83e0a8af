package haproxy

import (
	"slices"
	"strings"

	"gingerfork/internal/route"
)

// maxRows is the most rows that a route may have.
const maxRows = 100

var errTooManyRows = classify(ErrUnsupported, "it would take more than %d rows", maxRows)

// aclSet is the ACLs that a section has defined so far.
type aclSet struct {
	matches  map[string][]route.Term // the ACL holds if any of its matches does
	problems map[string]error        // of ACLs with a match that a route cannot express
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
			alternatives, err = acls.lookUp(word)
		}
		if err != nil {
			return nil, err
		}
		if conjunction, err = multiplyRows(conjunction, alternatives, negated); err != nil {
			return nil, err
		}
	}
	rows = append(rows, conjunction...)
	if slices.ContainsFunc(rows, func(row []route.Term) bool { return len(row) == 0 }) {
		return nil, classify(ErrSyntax, "a part of its condition is empty")
	}
	if len(rows) > maxRows {
		return nil, errTooManyRows
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

// lookUp returns the matches of a named ACL.
func (a aclSet) lookUp(name string) ([]route.Term, error) {
	switch {
	case a.problems[name] != nil:
		return nil, classify(ErrUnsupported, "ACL %s: %w", name, a.problems[name])
	case a.matches[name] != nil:
		return a.matches[name], nil
	case methodACLs[name] != nil:
		return []route.Term{{Source: fetchMethod, Match: matchExact, Patterns: methodACLs[name]}}, nil
	case name == "TRUE" || name == "FALSE":
		// No request has a header without a name, so that it is never found.
		return []route.Term{{Source: fetchHeader, Match: matchFound, Negate: name == "TRUE"}}, nil
	}
	return nil, classify(ErrUnsupported, "ACL %s has no like here", name)
}

// multiplyRows adds a disjunction of terms to each row, or, if it is negated, the negation of every term.
func multiplyRows(rows [][]route.Term, alternatives []route.Term, negated bool) ([][]route.Term, error) {
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
	if len(product) > maxRows {
		return nil, errTooManyRows
	}
	return product, nil
}
