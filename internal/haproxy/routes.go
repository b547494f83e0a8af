package haproxy

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"gingerfork/internal/route"
)

// criterion reads what an ACL looks at: a fetch with its flags and patterns. Only what can be said exactly is taken.
func criterion(words []string) (t route.Term, err error) {
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
	t.Match = "str"
	if suffixed {
		if t.Match = how; !slices.Contains([]string{"beg", "end", "sub"}, how) {
			return t, fmt.Errorf("%s has no like here", name)
		}
	}
	switch {
	case (base == "path" || base == "method") && !hasArg && (base == "path" || !suffixed):
		t.Source = base
	case (base == "hdr" || name == "req.hdr") && hasArg && arg != "":
		t.Source, t.Header = "hdr", strings.ToLower(arg)
	default:
		return t, fmt.Errorf("%s has no like here", words[0])
	}
	rest := words[1:]
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") {
		flag := rest[0]
		rest = rest[1:]
		switch flag {
		case "-i":
			t.IgnoreCase = true
		case "-n":
		case "-m":
			if len(rest) == 0 || !slices.Contains([]string{"str", "beg", "end", "sub", "found"}, rest[0]) {
				return t, fmt.Errorf("this match has no like here")
			}
			t.Match, rest = rest[0], rest[1:]
		case "--":
			t.Patterns = append(t.Patterns, rest...)
			rest = nil
		default:
			return t, fmt.Errorf("flag %s has no like here", flag)
		}
	}
	t.Patterns = append(t.Patterns, rest...)
	if len(t.Patterns) == 0 && t.Match != "found" {
		return t, fmt.Errorf("it has no patterns")
	}
	if t.Source == "method" && t.Match != "str" {
		return t, fmt.Errorf("methods are matched whole")
	}
	if slices.ContainsFunc(t.Patterns, func(p string) bool { return strings.ContainsFunc(p, unicode.IsControl) }) {
		return t, fmt.Errorf("a pattern has a control character")
	}
	// hdr looks at each part of a header that commas divide, which we do not: whether it is there is the same for all, the
	// rest only for names that hold one value.
	if t.Source == "hdr" && t.Match != "found" && !slices.Contains(single, t.Header) {
		return t, fmt.Errorf("header %s may hold several values, which are not taken apart here", t.Header)
	}
	return t, nil
}

// single are headers that hold one value.
var single = []string{"host", "authorization", "content-type", "content-length", "origin"}

// methods that ACLs name without a definition (manual, 7.4).
var methodACL = map[string][]string{
	"METH_CONNECT": {"CONNECT"}, "METH_DELETE": {"DELETE"}, "METH_GET": {"GET", "HEAD"}, "METH_HEAD": {"HEAD"},
	"METH_OPTIONS": {"OPTIONS"}, "METH_POST": {"POST"}, "METH_PUT": {"PUT"}, "METH_TRACE": {"TRACE"},
}

// rows reads a condition as rows of terms. An ACL of several lines holds if any of them does, which multiplies rows; past
// a hundred it is not taken.
func rows(cond []string, acls map[string][]route.Term, bad map[string]error) (all [][]route.Term, err error) {
	all = [][]route.Term{}
	row := [][]route.Term{{}} // what the present row may be
	and := func(choices []route.Term, not bool) error {
		if not {
			for i := range row {
				for _, c := range choices { // none of them
					c.Negate = !c.Negate
					row[i] = append(slices.Clone(row[i]), c)
				}
			}
			return nil
		}
		var wider [][]route.Term
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
		var choices []route.Term
		switch {
		case word == "or" || word == "||":
			all, row = append(all, row...), [][]route.Term{{}}
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
			choices = []route.Term{t}
			i += end
		case acls[word] != nil && bad[word] == nil:
			choices = acls[word]
		case bad[word] != nil:
			return nil, fmt.Errorf("ACL %s: %w", word, bad[word])
		case methodACL[word] != nil:
			choices = []route.Term{{Source: "method", Match: "str", Patterns: methodACL[word]}}
		case word == "TRUE" || word == "FALSE":
			// A header that none has: never found.
			choices = []route.Term{{Source: "hdr", Header: "", Match: "found", Negate: word == "TRUE"}}
		default:
			return nil, fmt.Errorf("ACL %s has no like here", word)
		}
		if err := and(choices, not); err != nil {
			return nil, err
		}
	}
	if all = append(all, row...); slices.ContainsFunc(all, func(r []route.Term) bool { return len(r) == 0 }) {
		return nil, fmt.Errorf("a part of its condition is empty")
	}
	if len(all) > 100 {
		return nil, fmt.Errorf("it would take more than 100 rows")
	}
	return all, nil
}

// routes reads a frontend's routes in their order. From the first that can't be said exactly on none is: it stands before
// the others, so they would hold where it does.
func (m *importer) routes(s *section) (all []route.Route, of map[int]string) {
	acls, bad, of := map[string][]route.Term{}, map[string]error{}, map[int]string{}
	always := 0 // the line of a route without a condition: what stands behind it is never reached
	last, used := "", map[string]bool{s.name: true}
	var deflt *route.Route
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
			if last == "" && always > 0 {
				of[i] = fmt.Sprintf("it is never reached, for line %d takes all", always)
				continue
			}
			if last != "" {
				of[i] = last
				continue
			}
			r := route.Route{Frontend: s.name, Pool: l.Word(1), Method: s.name}
			if len(w) > 2 {
				r.Method = methodName(s.name, w[3:], used)
				r.Negate = w[2] == "unless"
				var err error
				if w[2] != "if" && w[2] != "unless" {
					err = fmt.Errorf("%s is neither if nor unless", w[2])
				} else {
					r.Alternatives, err = rows(w[3:], acls, bad)
				}
				if strings.Contains(r.Pool, "%[") {
					err = fmt.Errorf("its pool is reckoned for each request")
				}
				if err != nil {
					of[i] = err.Error()
					last = fmt.Sprintf("the use_backend of line %d stands before it and is not carried", l.Line)
					continue
				}
			}
			if all = append(all, r); len(r.Alternatives) == 0 {
				always = l.Line
			}
		case "default_backend":
			deflt = &route.Route{Frontend: s.name, Pool: l.Word(1), Method: s.name}
			if last != "" {
				of[i] = last
			}
		}
	}
	if deflt == nil && s.kind == "listen" && len(all) > 0 { // what none takes goes to its own servers
		deflt = &route.Route{Frontend: s.name, Pool: s.name, Method: s.name}
	}
	if always > 0 {
		return all, of
	}
	if deflt != nil && last == "" {
		all = append(all, *deflt)
	}
	return all, of
}

// methodName names the method that a route's requests are: the front and what its condition says, so that it stays when
// other routes come and go. What a front sends on without a condition is named as the front.
func methodName(front string, cond []string, used map[string]bool) string {
	var b strings.Builder
	b.WriteString(front)
	gap := true
	for _, c := range strings.Join(cond, " ") {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			if gap {
				b.WriteByte('-')
			}
			b.WriteRune(c)
			gap = false
		} else {
			gap = true
		}
		if b.Len() > 50 {
			break
		}
	}
	name := b.String()
	for n := 2; used[name]; n++ {
		name = fmt.Sprintf("%s-%d", b.String(), n)
	}
	used[name] = true
	return name
}
