package haproxy

import (
	"fmt"
	"slices"
	"strings"
)

// Request is what a route looks at.
type Request struct {
	Method, Path string
	Headers      map[string][]string // names in lower case
}

// Term looks at one thing of a request.
type Term struct {
	Not      bool
	Fetch    string // path, method or hdr
	Header   string // in lower case, for hdr
	How      string // str, beg, end, sub or found
	Fold     bool   // regardless of case
	Patterns []string
}

// Route sends requests of a frontend to a pool, if any of its rows of terms holds (or none does, by unless). Without
// rows it holds always. Routes are looked at in their order.
type Route struct {
	Place
	From, To string
	Unless   bool
	Any      [][]Term
}

// Holds tells whether a request is the route's.
func (r Route) Holds(q Request) bool {
	if len(r.Any) == 0 {
		return true
	}
	any := slices.ContainsFunc(r.Any, func(row []Term) bool {
		return !slices.ContainsFunc(row, func(t Term) bool { return !t.holds(q) })
	})
	return any != r.Unless
}

func (t Term) holds(q Request) bool {
	var values []string
	switch t.Fetch {
	case "path":
		values = []string{q.Path}
	case "method":
		values = []string{q.Method}
	default:
		values = q.Headers[t.Header]
	}
	hit := t.How == "found" && len(values) > 0
	for _, v := range values {
		for _, p := range t.Patterns {
			if t.Fold {
				v, p = strings.ToLower(v), strings.ToLower(p)
			}
			switch t.How {
			case "str":
				hit = hit || v == p
			case "beg":
				hit = hit || strings.HasPrefix(v, p)
			case "end":
				hit = hit || strings.HasSuffix(v, p)
			case "sub":
				hit = hit || strings.Contains(v, p)
			}
		}
	}
	return hit != t.Not
}

// criterion reads what an ACL looks at: a fetch with its flags and patterns. Only what can be said exactly is taken.
func criterion(words []string) (t Term, err error) {
	if len(words) == 0 {
		return t, fmt.Errorf("it looks at nothing")
	}
	name, arg, hasArg := strings.Cut(words[0], "(")
	if hasArg {
		if arg, hasArg = strings.CutSuffix(arg, ")"); !hasArg || strings.ContainsAny(arg, "(),") {
			return t, fmt.Errorf("%s is more than a fetch", words[0])
		}
	}
	base, how, suffixed := strings.Cut(name, "_")
	t.How = "str"
	if suffixed {
		if t.How = how; !slices.Contains([]string{"beg", "end", "sub"}, how) {
			return t, fmt.Errorf("%s has no like here", name)
		}
	}
	switch {
	case (base == "path" || base == "method") && !hasArg && (base == "path" || !suffixed):
		t.Fetch = base
	case (base == "hdr" || name == "req.hdr") && hasArg && arg != "":
		t.Fetch, t.Header = "hdr", strings.ToLower(arg)
	default:
		return t, fmt.Errorf("%s has no like here", words[0])
	}
	rest := words[1:]
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") {
		flag := rest[0]
		rest = rest[1:]
		switch flag {
		case "-i":
			t.Fold = true
		case "-n":
		case "-m":
			if len(rest) == 0 || !slices.Contains([]string{"str", "beg", "end", "sub", "found"}, rest[0]) {
				return t, fmt.Errorf("this match has no like here")
			}
			t.How, rest = rest[0], rest[1:]
		case "--":
			t.Patterns = append(t.Patterns, rest...)
			rest = nil
		default:
			return t, fmt.Errorf("flag %s has no like here", flag)
		}
	}
	t.Patterns = append(t.Patterns, rest...)
	if len(t.Patterns) == 0 && t.How != "found" {
		return t, fmt.Errorf("it has no patterns")
	}
	if t.Fetch == "method" && t.How != "str" {
		return t, fmt.Errorf("methods are matched whole")
	}
	// hdr looks at each part of a header that commas divide, which we do not: whether it is there is the same for all, the
	// rest only for names that hold one value.
	if t.Fetch == "hdr" && t.How != "found" && !slices.Contains(single, t.Header) {
		return t, fmt.Errorf("header %s may hold several values, which are not taken apart here", t.Header)
	}
	return t, nil
}

// single are headers that hold one value.
var single = []string{"host", "authorization", "content-type", "content-length", "origin"}

// methods that ACLs name without a definition (manual, 7.4).
var methodACL = map[string][]string{"METH_CONNECT": {"CONNECT"}, "METH_DELETE": {"DELETE"}, "METH_GET": {"GET", "HEAD"}, "METH_HEAD": {"HEAD"},
	"METH_OPTIONS": {"OPTIONS"}, "METH_POST": {"POST"}, "METH_PUT": {"PUT"}, "METH_TRACE": {"TRACE"}}

// rows reads a condition as rows of terms. An ACL of several lines holds if any of them does, which multiplies rows; past
// a hundred it is not taken.
func rows(cond []string, acls map[string][]Term, bad map[string]error) (all [][]Term, err error) {
	all = [][]Term{}
	row := [][]Term{{}} // what the present row may be
	and := func(choices []Term, not bool) error {
		if not {
			for i := range row {
				for _, c := range choices { // none of them
					c.Not = !c.Not
					row[i] = append(slices.Clone(row[i]), c)
				}
			}
			return nil
		}
		var wider [][]Term
		for _, r := range row {
			for _, c := range choices {
				wider = append(wider, append(slices.Clone(r), c))
			}
		}
		if row = wider; len(row) > 100 {
			return fmt.Errorf("it would take more than 100 rows")
		}
		return nil
	}
	for i := 0; i < len(cond); i++ {
		word := cond[i]
		not := false
		for strings.HasPrefix(word, "!") {
			not, word = !not, word[1:]
			if word == "" && i+1 < len(cond) {
				i++
				word = cond[i]
			}
		}
		var choices []Term
		switch {
		case word == "or" || word == "||":
			all, row = append(all, row...), [][]Term{{}}
			continue
		case word == "{":
			end := slices.Index(cond[i:], "}")
			if end < 0 {
				return nil, fmt.Errorf("a brace is never closed")
			}
			t, err := criterion(cond[i+1 : i+end])
			if err != nil {
				return nil, err
			}
			choices = []Term{t}
			i += end
		case acls[word] != nil && bad[word] == nil:
			choices = acls[word]
		case bad[word] != nil:
			return nil, fmt.Errorf("ACL %s: %w", word, bad[word])
		case methodACL[word] != nil:
			choices = []Term{{Fetch: "method", How: "str", Patterns: methodACL[word]}}
		case word == "TRUE" || word == "FALSE":
			// A header that none has: never found.
			choices = []Term{{Fetch: "hdr", Header: "", How: "found", Not: word == "TRUE"}}
		default:
			return nil, fmt.Errorf("ACL %s has no like here", word)
		}
		if err := and(choices, not); err != nil {
			return nil, err
		}
	}
	if all = append(all, row...); len(all) > 100 {
		return nil, fmt.Errorf("it would take more than 100 rows")
	}
	return all, nil
}

// routes reads a frontend's routes in their order. From the first that can't be said exactly on none is: it stands before
// the others, so they would hold where it does.
func (m *importer) routes(s *section) (all []Route, of map[int]string) {
	acls, bad, of := map[string][]Term{}, map[string]error{}, map[int]string{}
	last := ""
	var deflt *Route
	for i, l := range s.lines {
		w := l.Words()
		switch w[0] {
		case "acl":
			if len(w) < 3 {
				continue
			}
			t, err := criterion(w[2:])
			if err != nil {
				bad[w[1]] = err
				of[i] = err.Error()
				continue
			}
			acls[w[1]] = append(acls[w[1]], t)
		case "use_backend":
			if last != "" {
				of[i] = last
				continue
			}
			r := Route{Place: l.Place, From: s.name, To: l.Word(1)}
			if len(w) > 2 {
				r.Unless = w[2] == "unless"
				var err error
				if w[2] != "if" && w[2] != "unless" {
					err = fmt.Errorf("%s is neither if nor unless", w[2])
				} else {
					r.Any, err = rows(w[3:], acls, bad)
				}
				if strings.Contains(r.To, "%[") {
					err = fmt.Errorf("its pool is reckoned for each request")
				}
				if err != nil {
					of[i] = err.Error()
					last = fmt.Sprintf("the use_backend of line %d stands before it and is not carried", l.Line)
					continue
				}
			}
			all = append(all, r)
		case "default_backend":
			deflt = &Route{Place: l.Place, From: s.name, To: l.Word(1)}
			if last != "" {
				of[i] = last
			}
		}
	}
	if deflt != nil && last == "" {
		all = append(all, *deflt)
	}
	return all, of
}

// Pick is the pool that routes send a request to, "" if none does.
func Pick(routes []Route, from string, q Request) string {
	for _, r := range routes {
		if r.From == from && r.Holds(q) {
			return r.To
		}
	}
	return ""
}

// String is the route's line in a file of routes.
func (r Route) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s to %s", r.From, r.To)
	for i, row := range r.Any {
		switch {
		case i > 0:
			b.WriteString(" or")
		case r.Unless:
			b.WriteString(" unless")
		default:
			b.WriteString(" when")
		}
		for _, t := range row {
			if t.Not {
				b.WriteString(" not")
			}
			b.WriteString(" " + t.Fetch)
			if t.Fetch == "hdr" {
				b.WriteString("(" + t.Header + ")")
			}
			b.WriteString(" " + t.How)
			if t.Fold {
				b.WriteString(" any-case")
			}
			fmt.Fprintf(&b, " %q", t.Patterns)
		}
	}
	return b.String()
}
