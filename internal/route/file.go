package route

import (
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// A file of routes has a line for each, in the order in which they are tried:
//
//	route FRONT to POOL as METHOD [when ROW [or ROW]... | unless ROW [or ROW]...]
//
// A ROW is one or more terms, all of which must hold: [not] path|method|hdr(NAME) str|beg|end|sub|found [any-case] =PATTERN...
// A term holds if any of its patterns does. Patterns begin with =, so that none is taken for a word.

// String is the route's line.
func (r Route) String() string {
	words := []string{"route", r.Frontend, "to", r.Pool, "as", r.Method}
	for i, row := range r.Alternatives {
		switch {
		case i > 0:
			words = append(words, "or")
		case r.Negate:
			words = append(words, "unless")
		default:
			words = append(words, "when")
		}
		for _, t := range row {
			if t.Negate {
				words = append(words, "not")
			}
			if t.Source == "hdr" {
				words = append(words, "hdr("+t.Header+")", t.Match)
			} else {
				words = append(words, t.Source, t.Match)
			}
			if t.IgnoreCase {
				words = append(words, "any-case")
			}
			for _, p := range t.Patterns {
				words = append(words, "="+p)
			}
		}
	}
	for i, w := range words {
		words[i] = bootstrap.Quote(w)
	}
	return strings.Join(words, " ")
}

// Read reads a file of routes. All faults are told, each with its line.
func Read(file, text string) (all []Route, faults bootstrap.Faults) {
	lines, faults := bootstrap.Lex(file, text)
	last := map[string]bootstrap.Line{} // by front: a route that holds always, behind which none is reached
	for _, l := range lines {
		r, err := parse(l.Words)
		if err != "" {
			faults = append(faults, l.Fault("%s", err))
			continue
		}
		if end, ended := last[r.Frontend]; ended {
			faults = append(faults, l.Fault("it is never reached: the route of line %d takes all that comes to %s", end.Number, r.Frontend))
			continue
		}
		if len(r.Alternatives) == 0 {
			last[r.Frontend] = l
		}
		all = append(all, r)
	}
	faults.Sort()
	return all, faults
}

func parse(w []string) (r Route, err string) {
	if len(w) < 6 || w[0] != "route" || w[2] != "to" || w[4] != "as" {
		return r, "a route is: route FRONT to POOL as METHOD [when|unless ...]"
	}
	r.Frontend, r.Pool, r.Method = w[1], w[3], w[5]
	if len(w) == 6 {
		return r, ""
	}
	if r.Negate = w[6] == "unless"; !r.Negate && w[6] != "when" {
		return r, w[6] + " is neither when nor unless"
	}
	var row []Term
	for w = w[7:]; ; {
		var t Term
		if t.Negate = len(w) > 0 && w[0] == "not"; t.Negate {
			w = w[1:]
		}
		if len(w) < 2 {
			return r, "a term is: [not] path|method|hdr(NAME) str|beg|end|sub|found [any-case] =PATTERN..."
		}
		t.Source, t.Match = w[0], w[1]
		if name, ok := strings.CutPrefix(w[0], "hdr("); ok {
			if t.Header, ok = strings.CutSuffix(name, ")"); !ok || t.Header != strings.ToLower(t.Header) {
				return r, w[0] + " is no header in lower case, such as hdr(host)"
			}
			t.Source = "hdr"
		} else if t.Source != "path" && t.Source != "method" {
			return r, w[0] + " is none of path, method, hdr(NAME)"
		}
		if !slices.Contains([]string{"str", "beg", "end", "sub", "found"}, t.Match) {
			return r, t.Match + " is none of str, beg, end, sub, found"
		}
		w = w[2:]
		if t.IgnoreCase = len(w) > 0 && w[0] == "any-case"; t.IgnoreCase {
			w = w[1:]
		}
		for ; len(w) > 0 && strings.HasPrefix(w[0], "="); w = w[1:] {
			t.Patterns = append(t.Patterns, w[0][1:])
		}
		if len(t.Patterns) == 0 && t.Match != "found" {
			return r, "a term without a pattern (patterns begin with =)"
		}
		row = append(row, t)
		if len(w) == 0 || w[0] == "or" {
			r.Alternatives, row = append(r.Alternatives, row), nil
			if len(w) == 0 {
				return r, ""
			}
			w = w[1:]
		}
	}
}
