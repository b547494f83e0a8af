package experiment

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gingerfork/internal/bootstrap"
)

// What a plan may ask for at most, and what it gets if it does not ask.
const (
	defaultFirstSeed = 1
	defaultSeeds     = 10
	maxSeeds         = 1 << 20
	maxRunsLimit     = 1 << 30
	firstSeedBits    = 62
	planSuffix       = ".plan"
)

var errSeedsSyntax = errors.New("seeds takes a number, and perhaps: from N")

// parser reads the lines of a plan.
type parser struct {
	plan   *Plan
	faults bootstrap.Faults
	seen   map[string]bootstrap.Line // the first line that begins with a word
}

// Read reads a plan; files returns scenarios and settings by name. All faults are reported, and a plan is rejected if any of its
// runs would be void: an arm without a valid scenario, a factor that nothing uses.
func Read(file, text string, files func(string) ([]byte, error)) (*Plan, error) {
	lines, faults := bootstrap.Lex(file, text)
	reader := &parser{
		plan:   &Plan{FirstSeed: defaultFirstSeed, Seeds: defaultSeeds, MaxRuns: defaultMaxRuns, Text: text},
		faults: faults, seen: map[string]bootstrap.Line{},
	}
	for _, line := range lines {
		reader.parseLine(line)
	}
	reader.finish(file)
	if len(reader.faults) > 0 {
		reader.faults.Sort()
		return nil, reader.faults
	}
	if err := reader.plan.checkArms(file, files); err != nil {
		return nil, err
	}
	return reader.plan, nil
}

func (p *parser) fault(line bootstrap.Line, format string, args ...any) {
	p.faults = append(p.faults, line.Fault(format, args...))
}

func (p *parser) parseLine(line bootstrap.Line) {
	keyword := line.Words[0]
	repeatable := slices.Contains([]string{"factor", "set", "say"}, keyword)
	if first, repeated := p.seen[keyword]; repeated && !repeatable {
		p.fault(line, "%s stands here a second time, first at line %d", keyword, first.Number)
		return
	}
	p.seen[keyword] = line
	if len(line.Words) < 2 {
		p.fault(line, "%s needs a value", keyword)
		return
	}
	if keyword == "set" && len(line.Words) < 4 {
		p.fault(line, "set takes a section, a keyword and its value")
		return
	}
	if err := p.parseKeyword(line); err != nil {
		p.fault(line, "%s: %v", keyword, err)
	}
	p.markUsedFactors(line)
}

func (p *parser) parseKeyword(line bootstrap.Line) (err error) {
	plan, value := p.plan, line.Words[1]
	switch line.Words[0] {
	case "experiment":
		plan.Name = value
	case "day":
		plan.ScenarioName = value
	case "factor":
		p.parseFactor(line)
	case "seeds":
		err = p.parseSeeds(line.Words)
	case "most":
		plan.MaxRuns, err = bootstrap.ParseInteger(value, 1, maxRunsLimit)
	case "measure":
		p.parseMeasures(line)
	case "set":
		plan.overrides = append(plan.overrides, line)
	case "say":
		plan.additions = append(plan.additions, line)
	case "scale":
		plan.scale = value
	case "load":
		plan.load = value
	case "kills":
		plan.kills = value
	default:
		p.fault(line, "%s is no word of a plan: experiment, day, factor, seeds, most, measure, set, say, scale, load, kills", line.Words[0])
	}
	return err
}

func (p *parser) parseFactor(line bootstrap.Line) {
	words := line.Words
	if len(words) < 3 {
		p.fault(line, "a factor has a name and values")
		return
	}
	name, values := words[1], words[2:]
	if slices.ContainsFunc(p.plan.Factors, func(factor Factor) bool { return factor.Name == name }) {
		p.fault(line, "factor %s once more", name)
		return
	}
	for i, value := range values {
		if slices.Contains(values[:i], value) {
			p.fault(line, "factor %s has the value %s twice", name, value)
		}
	}
	p.plan.Factors = append(p.plan.Factors, Factor{Name: name, Values: values})
}

func (p *parser) parseSeeds(words []string) (err error) {
	if p.plan.Seeds, err = bootstrap.ParseInteger(words[1], 1, maxSeeds); err != nil {
		return err
	}
	if len(words) == 4 && words[2] == "from" {
		p.plan.FirstSeed, err = strconv.ParseUint(words[3], 10, firstSeedBits)
		return err
	}
	if len(words) != 2 {
		return errSeedsSyntax
	}
	return nil
}

func (p *parser) parseMeasures(line bootstrap.Line) {
	for _, name := range line.Words[1:] {
		if _, known := measures[name]; !known {
			p.fault(line, "%s can't be measured; what can: %s", name, strings.Join(Measures(), ", "))
			continue
		}
		p.plan.Measures = append(p.plan.Measures, name)
	}
}

func (p *parser) markUsedFactors(line bootstrap.Line) {
	for i := range p.plan.Factors {
		factor := &p.plan.Factors[i]
		refers := func(word string) bool { return strings.Contains(word, placeholder(factor.Name)) }
		factor.used = factor.used || slices.ContainsFunc(line.Words, refers)
	}
}

// finish fills in what the plan does not say, and checks the plan as a whole.
func (p *parser) finish(file string) {
	plan, whole := p.plan, bootstrap.Line{File: file, Number: 1}
	if plan.ScenarioName == "" {
		p.fault(whole, "it names no day (such as: day evening)")
	}
	if plan.Name == "" {
		plan.Name = strings.TrimSuffix(file, planSuffix)
	}
	if len(plan.Measures) == 0 {
		plan.Measures = []string{"service", "messages", "margin"}
	}
	for _, factor := range plan.Factors {
		if !factor.used {
			p.fault(whole, "nothing uses the factor %s (such as: say coordinators {%s}); it must stand before what uses it", factor.Name, factor.Name)
		}
	}
	if runs := plan.Runs(); runs > plan.MaxRuns && len(p.faults) == 0 {
		p.fault(whole, "%d runs, %d at most: fewer values or seeds, or say most %d and wait", runs, plan.MaxRuns, runs)
	}
}

// checkArms makes the scenario of each arm, so that none fails later, and keeps the files that this reads: what was read is what
// is played, and what the hash stands for.
func (p *Plan) checkArms(file string, files FileReader) error {
	contents := map[string]string{}
	p.readFile = func(name string) ([]byte, error) {
		data, err := files(name)
		if err == nil {
			contents[name] = string(data)
		}
		return data, err
	}
	for _, arm := range p.Arms() {
		if _, err := p.Scenario(arm, p.FirstSeed); err != nil {
			return fmt.Errorf("%s: arm %s: %w", file, p.ArmTitle(arm), err)
		}
	}
	p.readFile = func(name string) ([]byte, error) {
		if data, known := contents[name]; known {
			return []byte(data), nil
		}
		return nil, fmt.Errorf("%s was not there when the plan was read", name)
	}
	hash := xxhash.New()
	fmt.Fprintf(hash, "%q", p.Text)
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		fmt.Fprintf(hash, "%q %q", name, contents[name])
	}
	p.hash = fmt.Sprintf("%016x", hash.Sum64())
	return nil
}
