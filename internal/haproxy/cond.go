package haproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// Given is what the blocks' predicates and variables are answered from; the real environment is never looked at.
type Environment struct {
	Variables      map[string]string
	Version  string   // for version_atleast and version_before; "": 3.0
	Features []string // for feature
}

// Choose goes through a file's lines and keeps those that its blocks of .if, .elif, .else and .endif let stand (manual,
// 2.4). Messages of .notice, .warning and .alert in what stands are given as notes; .alert is a fault, as it stops
// HAProxy from starting.
func Choose(f File, g Environment) (lines []Line, left []Line, notes []Note, faults []Fault) {
	type block struct {
		at     Position
		on     bool // its lines stand
		done   bool // one of its branches stood
		outer  bool // what is around it stands
		closed bool // .else was seen
	}
	var open []block
	on := func() bool { return len(open) == 0 || open[len(open)-1].on }
	for _, l := range f.Lines {
		word := l.Word(0)
		fault := func(format string, args ...any) {
			faults = append(faults, Fault{l.Position, fmt.Sprintf(format, args...)})
		}
		rest := func() string { return strings.Join(l.Words()[1:], " ") }
		switch word {
		case ".if":
			b := block{at: l.Position, outer: on()}
			if b.outer {
				v, err := g.holds(rest())
				if err != nil {
					fault(".if: %v", err)
				}
				b.on = v && err == nil
				b.done = b.on || err != nil
			}
			open = append(open, b)
			notes = append(notes, Note{l, Carried, "a block's condition, answered at the import"})
		case ".elif", ".else", ".endif":
			notes = append(notes, Note{l, Carried, "a block's condition, answered at the import"})
			if len(open) == 0 {
				fault("%s without .if", word)
				continue
			}
			b := &open[len(open)-1]
			switch {
			case word == ".endif":
				open = open[:len(open)-1]
			case b.closed:
				fault("%s after .else", word)
			case word == ".else":
				b.on, b.done, b.closed = b.outer && !b.done, true, true
			default:
				b.on = false
				if b.outer && !b.done {
					v, err := g.holds(rest())
					if err != nil {
						fault(".elif: %v", err)
					}
					b.on = v && err == nil
					b.done = b.on || err != nil
				}
			}
		case ".notice", ".warning", ".diag":
			if on() {
				notes = append(notes, Note{l, Differs, "said here instead of at HAProxy's start"})
			} else {
				left = append(left, l)
			}
		case ".alert":
			if on() {
				fault(".alert: %s", rest())
			} else {
				left = append(left, l)
			}
		default:
			switch {
			case strings.HasPrefix(word, "."):
				fault("%s is no word of blocks", word)
			case on():
				lines = append(lines, l)
			default:
				left = append(left, l)
			}
		}
	}
	for _, b := range open {
		faults = append(faults, Fault{b.at, "an .if that is never closed"})
	}
	return lines, left, notes, faults
}

// holds answers a condition: terms with !, && before ||, parentheses.
func (g Environment) holds(text string) (bool, error) {
	p := &condition{g: g, s: text}
	if strings.TrimSpace(text) == "" {
		return false, nil // an empty condition is false
	}
	v, err := p.any()
	if err == nil {
		if p.skip(); p.s != "" {
			err = fmt.Errorf("%q is left over", p.s)
		}
	}
	return v, err
}

type condition struct {
	g     Environment
	s     string
	depth int
}

func (p *condition) skip() { p.s = strings.TrimLeft(p.s, " \t") }

func (p *condition) take(word string) bool {
	p.skip()
	rest, ok := strings.CutPrefix(p.s, word)
	if ok {
		p.s = rest
	}
	return ok
}

func (p *condition) any() (bool, error) {
	v, err := p.all()
	for err == nil && p.take("||") {
		var w bool
		w, err = p.all()
		v = v || w
	}
	return v, err
}

func (p *condition) all() (bool, error) {
	v, err := p.term()
	for err == nil && p.take("&&") {
		var w bool
		w, err = p.term()
		v = v && w
	}
	return v, err
}

func (p *condition) term() (bool, error) {
	if p.depth++; p.depth > 200 {
		return false, fmt.Errorf("a condition that is nested too deep")
	}
	defer func() { p.depth-- }()
	switch {
	case p.take("!"):
		v, err := p.term()
		return !v, err
	case p.take("("):
		v, err := p.any()
		if err == nil && !p.take(")") {
			err = fmt.Errorf("a parenthesis is never closed")
		}
		return v, err
	}
	p.skip()
	end := 0
	for end < len(p.s) && (p.s[end] == '_' || p.s[end]|32 >= 'a' && p.s[end]|32 <= 'z' || p.s[end] >= '0' && p.s[end] <= '9') {
		end++
	}
	name := p.s[:end]
	p.s = p.s[end:]
	if !strings.HasPrefix(p.s, "(") {
		n, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			return false, fmt.Errorf("%q is neither a number nor a predicate", name)
		}
		return n != 0, nil
	}
	end = strings.IndexByte(p.s, ')')
	if end < 0 {
		return false, fmt.Errorf("%s( is never closed", name)
	}
	var args []string
	for _, a := range strings.Split(p.s[1:end], ",") {
		args = append(args, strings.TrimSpace(a))
	}
	p.s = p.s[end+1:]
	return p.g.predicate(name, args)
}

func (g Environment) predicate(name string, args []string) (bool, error) {
	want := map[string]int{"defined": 1, "feature": 1, "streq": 2, "strneq": 2, "strstr": 2, "version_atleast": 1, "version_before": 1}
	n, known := want[name]
	switch {
	case !known:
		return false, fmt.Errorf("predicate %s can't be answered at an import", name)
	case len(args) != n:
		return false, fmt.Errorf("%s takes %d arguments, has %d", name, n, len(args))
	}
	switch name {
	case "defined":
		_, ok := g.Variables[args[0]]
		return ok, nil
	case "feature":
		for _, f := range g.Features {
			if f == args[0] {
				return true, nil
			}
		}
		return false, nil
	case "streq":
		return args[0] == args[1], nil
	case "strneq":
		return args[0] != args[1], nil
	case "strstr":
		return strings.Contains(args[0], args[1]), nil
	}
	have := g.Version
	if have == "" {
		have = "3.0"
	}
	a, err := version(have)
	if err != nil {
		return false, err
	}
	b, err := version(args[0])
	if err != nil {
		return false, err
	}
	older := false
	for i := range a {
		if a[i] != b[i] {
			older = a[i] < b[i]
			break
		}
	}
	return older == (name == "version_before"), nil
}

func version(s string) (v [3]int, err error) {
	s, _, _ = strings.Cut(s, "-")
	parts := strings.Split(s, ".")
	if len(parts) > 3 {
		parts = parts[:3]
	}
	for i, x := range parts {
		if v[i], err = strconv.Atoi(x); err != nil {
			return v, fmt.Errorf("version %q is not as in 3.0.1", s)
		}
	}
	return v, nil
}
