package haproxy

import (
	"slices"
	"strconv"
	"strings"
)

// defaultVersion is the HAProxy version that version predicates compare with if Environment.Version is empty.
const defaultVersion = "3.0"

// maxConditionDepth is the maximum nesting of the condition of an .if or .elif line. It bounds the recursion of the parser.
const maxConditionDepth = 200

// conditionHolds evaluates the condition of an .if or .elif line. The operators are !, && and ||, in decreasing precedence, and
// parentheses.
func (e Environment) conditionHolds(text string) (bool, error) {
	if strings.TrimSpace(text) == "" {
		return false, nil // An empty condition is false.
	}
	p := &conditionParser{environment: e, rest: text}
	value, err := p.parseDisjunction()
	if err != nil {
		return value, err
	}
	if p.skipBlanks(); p.rest != "" {
		return value, classify(ErrSyntax, "%q is left over", p.rest)
	}
	return value, nil
}

// conditionParser evaluates a condition while it parses it, by recursive descent.
type conditionParser struct {
	environment Environment
	rest        string // the text that is not parsed yet
	depth       int    // number of nested terms that are being parsed
}

// skipBlanks skips blanks and tabs.
func (p *conditionParser) skipBlanks() { p.rest = strings.TrimLeft(p.rest, " \t") }

// accept reports whether the next word, after any blanks, is the given one, and skips it if so.
func (p *conditionParser) accept(word string) bool {
	p.skipBlanks()
	rest, found := strings.CutPrefix(p.rest, word)
	if found {
		p.rest = rest
	}
	return found
}

// parseDisjunction evaluates one or more conjunctions that are joined by ||.
func (p *conditionParser) parseDisjunction() (bool, error) {
	value, err := p.parseConjunction()
	for err == nil && p.accept("||") {
		var operand bool
		operand, err = p.parseConjunction()
		value = value || operand
	}
	return value, err
}

// parseConjunction evaluates one or more terms that are joined by &&.
func (p *conditionParser) parseConjunction() (bool, error) {
	value, err := p.parseTerm()
	for err == nil && p.accept("&&") {
		var operand bool
		operand, err = p.parseTerm()
		value = value && operand
	}
	return value, err
}

// parseTerm evaluates a negation, a condition in parentheses, a number or a predicate.
func (p *conditionParser) parseTerm() (bool, error) {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxConditionDepth {
		return false, classify(ErrSyntax, "a condition that is nested too deep")
	}
	switch {
	case p.accept("!"):
		value, err := p.parseTerm()
		return !value, err
	case p.accept("("):
		value, err := p.parseDisjunction()
		if err == nil && !p.accept(")") {
			err = classify(ErrSyntax, "a parenthesis is never closed")
		}
		return value, err
	}
	return p.parseNumberOrPredicate()
}

// parseNumberOrPredicate evaluates an integer, which is true unless it is 0, or a predicate with its arguments.
func (p *conditionParser) parseNumberOrPredicate() (bool, error) {
	p.skipBlanks()
	end := 0
	for end < len(p.rest) && isNameByte(p.rest[end]) {
		end++
	}
	name := p.rest[:end]
	p.rest = p.rest[end:]
	list, isPredicate := strings.CutPrefix(p.rest, "(")
	if !isPredicate {
		number, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			return false, classify(ErrSyntax, "%q is neither a number nor a predicate", name)
		}
		return number != 0, nil
	}
	list, rest, closed := strings.Cut(list, ")")
	if !closed {
		return false, classify(ErrSyntax, "%s( is never closed", name)
	}
	p.rest = rest
	arguments := strings.Split(list, ",")
	for i := range arguments {
		arguments[i] = strings.TrimSpace(arguments[i])
	}
	return p.environment.evaluatePredicate(name, arguments)
}

// predicateArgumentCounts has the number of arguments of each predicate that can be evaluated without a running HAProxy.
var predicateArgumentCounts = map[string]int{
	"defined": 1, "feature": 1, "streq": 2, "strneq": 2, "strstr": 2, "version_atleast": 1, "version_before": 1,
}

// evaluatePredicate evaluates a predicate of the given name.
func (e Environment) evaluatePredicate(name string, arguments []string) (bool, error) {
	expected, known := predicateArgumentCounts[name]
	switch {
	case !known:
		return false, classify(ErrUnsupported, "predicate %s can't be answered at an import", name)
	case len(arguments) != expected:
		return false, classify(ErrSyntax, "%s takes %d arguments, has %d", name, expected, len(arguments))
	}
	switch name {
	case "defined":
		_, defined := e.Variables[arguments[0]]
		return defined, nil
	case "feature":
		return slices.Contains(e.Features, arguments[0]), nil
	case "streq":
		return arguments[0] == arguments[1], nil
	case "strneq":
		return arguments[0] != arguments[1], nil
	case "strstr":
		return strings.Contains(arguments[0], arguments[1]), nil
	}
	before, err := e.versionBefore(arguments[0])
	return before == (name == "version_before"), err
}

// versionBefore reports whether the environment's HAProxy version is older than another.
func (e Environment) versionBefore(other string) (bool, error) {
	current := e.Version
	if current == "" {
		current = defaultVersion
	}
	currentParts, err := parseVersion(current)
	if err != nil {
		return false, err
	}
	otherParts, err := parseVersion(other)
	if err != nil {
		return false, err
	}
	return slices.Compare(currentParts[:], otherParts[:]) < 0, nil
}

// parseVersion parses a version such as 3.0.1 or 3.0-dev4. Missing numbers are 0; a suffix after a hyphen is ignored, and so are
// numbers after the third.
func parseVersion(text string) (version [3]int, err error) {
	text, _, _ = strings.Cut(text, "-")
	parts := strings.Split(text, ".")
	parts = parts[:min(len(parts), len(version))]
	for i, part := range parts {
		if version[i], err = strconv.Atoi(part); err != nil {
			return version, classify(ErrValue, "version %q is not as in 3.0.1", text)
		}
	}
	return version, nil
}
