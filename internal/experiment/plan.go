// Package experiment plays a grid of days in virtual time, each arm on the same seeds, and says what differs: a plan, its
// runs, their statistics, and a page with plots. docs/model.md tells how far to trust it.
package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/scenario"
)

// Factor is something that is tried at several values.
type Factor struct {
	Name   string
	Values []string
	used   bool
}

// Plan is what is to be played: a base day, what is put in its place, over all values of all factors, on each seed.
type Plan struct {
	Name      string
	Day       string
	Factors   []Factor
	First     uint64 // seed
	Seeds     int
	Measures  []string
	Most      int // runs
	Text      string
	set       []bootstrap.Line // set SECTION KEYWORD VALUE...
	say       []bootstrap.Line // say WORD...
	scale     string
	load      string
	kills     string
	openFiles func(string) ([]byte, error)
	hash      string
}

// Arm is one choice of the factors' values.
type Arm []string

// mostRuns is what a plan may have unless it says `most`: an hour or so.
const mostRuns = 5000

// Hash names what is played: the plan, and the days and settings as they were when it was read. Results of another are not
// taken for this one's.
func (p *Plan) Hash() string { return p.hash }

// Read reads a plan; files gives days and settings by name. Every fault is told, and no plan is taken of which any run
// would be void: an arm that makes no day, a factor that nothing uses.
func Read(file, text string, files func(string) ([]byte, error)) (*Plan, error) {
	lines, faults := bootstrap.Lex(file, text)
	p := &Plan{First: 1, Seeds: 10, Most: mostRuns, Text: text, openFiles: files}
	seen := map[string]bootstrap.Line{}
	for _, l := range lines {
		w := l.Words
		fault := func(what string, args ...any) { faults = append(faults, l.Fault(what, args...)) }
		if was, twice := seen[w[0]]; twice && !slices.Contains([]string{"factor", "set", "say"}, w[0]) {
			fault("%s stands here a second time, first at line %d", w[0], was.Number)
			continue
		}
		seen[w[0]] = l
		if len(w) < 2 {
			fault("%s needs a value", w[0])
			continue
		}
		var err error
		switch w[0] {
		case "experiment":
			p.Name = w[1]
		case "day":
			p.Day = w[1]
		case "factor":
			switch {
			case len(w) < 3:
				fault("a factor has a name and values")
			case slices.ContainsFunc(p.Factors, func(f Factor) bool { return f.Name == w[1] }):
				fault("factor %s once more", w[1])
			default:
				for i, v := range w[2:] {
					if slices.Contains(w[2:2+i], v) {
						fault("factor %s has the value %s twice", w[1], v)
					}
				}
				p.Factors = append(p.Factors, Factor{Name: w[1], Values: w[2:]})
			}
		case "seeds":
			p.Seeds, err = bootstrap.ParseInteger(w[1], 1, 1<<20)
			if err == nil && len(w) == 4 && w[2] == "from" {
				p.First, err = strconv.ParseUint(w[3], 10, 62)
			} else if err == nil && len(w) != 2 {
				err = fmt.Errorf("seeds takes a number, and perhaps: from N")
			}
		case "most":
			p.Most, err = bootstrap.ParseInteger(w[1], 1, 1<<30)
		case "measure":
			for _, m := range w[1:] {
				if _, known := measures[m]; !known {
					fault("%s can't be measured; what can: %s", m, strings.Join(Measures(), ", "))
				} else {
					p.Measures = append(p.Measures, m)
				}
			}
		case "set":
			if len(w) < 4 {
				fault("set takes a section, a keyword and its value")
				continue
			}
			p.set = append(p.set, l)
		case "say":
			p.say = append(p.say, l)
		case "scale":
			p.scale = w[1]
		case "load":
			p.load = w[1]
		case "kills":
			p.kills = w[1]
		default:
			fault("%s is no word of a plan: experiment, day, factor, seeds, most, measure, set, say, scale, load, kills", w[0])
		}
		if err != nil {
			fault("%s: %v", w[0], err)
		}
		for i := range p.Factors {
			p.Factors[i].used = p.Factors[i].used || slices.ContainsFunc(w, func(x string) bool { return strings.Contains(x, "{"+p.Factors[i].Name+"}") })
		}
	}
	whole := bootstrap.Line{File: file, Number: 1}
	if p.Day == "" {
		faults = append(faults, whole.Fault("it names no day (such as: day evening)"))
	}
	if p.Name == "" {
		p.Name = strings.TrimSuffix(file, ".plan")
	}
	if len(p.Measures) == 0 {
		p.Measures = []string{"service", "messages", "margin"}
	}
	for _, f := range p.Factors {
		if !f.used {
			faults = append(faults, whole.Fault("nothing uses the factor %s (such as: say coordinators {%s}); it must stand before what uses it", f.Name, f.Name))
		}
	}
	if runs := p.Runs(); runs > p.Most && len(faults) == 0 {
		faults = append(faults, whole.Fault("%d runs, %d at most: fewer values or seeds, or say most %d and wait", runs, p.Most, runs))
	}
	if len(faults) > 0 {
		faults.Sort()
		return nil, faults
	}
	read := map[string]string{}
	p.openFiles = func(name string) ([]byte, error) {
		data, err := files(name)
		if err == nil {
			read[name] = string(data)
		}
		return data, err
	}
	for _, arm := range p.Arms() {
		if _, err := p.Scenario(arm, p.First); err != nil {
			return nil, fmt.Errorf("%s: arm %s: %w", file, p.ArmTitle(arm), err)
		}
	}
	p.openFiles = func(name string) ([]byte, error) { // what was read is what is played
		if data, known := read[name]; known {
			return []byte(data), nil
		}
		return nil, fmt.Errorf("%s was not there when the plan was read", name)
	}
	h := xxhash.New()
	fmt.Fprintf(h, "%q", text)
	for _, name := range slices.Sorted(maps.Keys(read)) {
		fmt.Fprintf(h, "%q %q", name, read[name])
	}
	p.hash = fmt.Sprintf("%016x", h.Sum64())
	return p, nil
}

// Arms are all choices, the last factor's values going round fastest. The first is the one that others are held against.
func (p *Plan) Arms() []Arm {
	all := []Arm{{}}
	for _, f := range p.Factors {
		var next []Arm
		for _, a := range all {
			for _, v := range f.Values {
				next = append(next, append(slices.Clone(a), v))
			}
		}
		all = next
	}
	return all
}

// Runs is how many runs the plan has.
func (p *Plan) Runs() int {
	n := p.Seeds
	for _, f := range p.Factors {
		if n *= len(f.Values); n > 1<<40 {
			return 1 << 40
		}
	}
	return n
}

// Title names an arm.
func (p *Plan) ArmTitle(a Arm) string {
	all := make([]string, 0, len(p.Factors))
	for i, f := range p.Factors {
		all = append(all, f.Name+"="+a[i])
	}
	if len(all) == 0 {
		return "as it is"
	}
	return strings.Join(all, " ")
}

// fill puts an arm's values into a word.
func (p *Plan) fill(a Arm, w string) string {
	for i, f := range p.Factors {
		w = strings.ReplaceAll(w, "{"+f.Name+"}", a[i])
	}
	return w
}

// Make makes the day that an arm plays on a seed.
func (p *Plan) Scenario(a Arm, seed uint64) (*scenario.Scenario, error) {
	name := p.fill(a, p.Day)
	text, err := p.openFiles(name + ".day")
	if err != nil {
		if text, err = p.openFiles(name); err != nil {
			return nil, fmt.Errorf("day %s: %w", name, err)
		}
	}
	var b strings.Builder
	b.Write(text)
	for _, l := range p.say {
		b.WriteString("\n")
		for i, w := range l.Words[1:] {
			if i > 0 {
				b.WriteString(" ")
			}
			b.WriteString(bootstrap.Quote(p.fill(a, w)))
		}
	}
	d, err := scenario.Read(name, b.String()+"\n", func(file string) ([]byte, error) {
		data, err := p.openFiles(file)
		if err != nil {
			return nil, err
		}
		return p.altered(a, string(data))
	})
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	number := func(text string, def float64) float64 {
		if text == "" || err != nil {
			return def
		}
		text = p.fill(a, text)
		v, e := bootstrap.ParseShare(text)
		if !strings.HasSuffix(text, "%") {
			v, e = bootstrap.ParseNumber(text)
		} else if e != nil { // above 100%
			v, e = strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
			v /= 100
		}
		if e != nil || v <= 0 {
			err = fmt.Errorf("%q is no number above 0", text)
		}
		return v
	}
	scale, load := number(p.scale, 1), number(p.load, 1)
	kills := 0
	if err == nil && p.kills != "" {
		kills, err = bootstrap.ParseInteger(p.fill(a, p.kills), 0, 100000)
	}
	if err != nil {
		return nil, err
	}
	if scale != 1 {
		d.Scale(scale)
	}
	for i := range d.Proxies {
		d.Proxies[i].Rate *= load
	}
	d.AddCoordinatorKills(kills)
	return d, nil
}

// altered is a settings file with the plan's settings in place of its own.
func (p *Plan) altered(a Arm, text string) ([]byte, error) {
	lines := strings.Split(text, "\n")
	for _, l := range p.set {
		section, keyword := l.Words[1], l.Words[2]
		words := make([]string, 0, len(l.Words)-2)
		for _, w := range l.Words[2:] {
			words = append(words, bootstrap.Quote(p.fill(a, w)))
		}
		at, in := -1, false // the section's head, until the keyword is found
		for i, text := range lines {
			w := strings.Fields(text)
			if len(w) == 0 || strings.HasPrefix(w[0], "#") {
				continue
			}
			if bootstrap.IsSection(w[0]) {
				// A method's section is named as method:NAME; method alone is each of them.
				in = w[0] == section || len(w) > 1 && w[0]+":"+w[1] == section
				if in && at < 0 {
					at = i
				}
				continue
			}
			if in && w[0] == keyword {
				lines[i], at = "    "+strings.Join(words, " "), -2
			}
		}
		switch at {
		case -1:
			return nil, fmt.Errorf("set %s %s: the settings have no such section", section, keyword)
		case -2:
		default:
			lines = slices.Insert(lines, at+1, "    "+strings.Join(words, " "))
		}
	}
	return []byte(strings.Join(lines, "\n")), nil
}
