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

// Defaults and limits of a plan.
const (
	defaultFirstSeed = 1
	defaultSeeds     = 10
	maxSeeds         = 1 << 20
	maxRunsLimit     = 1 << 30
	maxFirstSeedBits = 62
	planSuffix       = ".plan"
)

var errSeedsSyntax = errors.New("seeds takes a number, optionally followed by: from N")

// parser holds the state of reading a plan.
type parser struct {
	plan       *Plan
	faults     bootstrap.Faults
	firstLines map[string]bootstrap.Line // first line of each keyword
}

// Read parses a plan; files returns scenario and settings files by name. It reports all faults. A plan is also rejected if runs
// would be wasted: if an arm has no valid scenario, or if a factor is not used.
func Read(file, text string, files func(string) ([]byte, error)) (*Plan, error) {
	lines, faults := bootstrap.Lex(file, text)
	planParser := &parser{
		plan:   &Plan{FirstSeed: defaultFirstSeed, Seeds: defaultSeeds, MaxRuns: defaultMaxRuns, Text: text},
		faults: faults, firstLines: map[string]bootstrap.Line{},
	}
	for _, line := range lines {
		planParser.parseLine(line)
	}
	planParser.setDefaultsAndCheck(file)
	if len(planParser.faults) > 0 {
		planParser.faults.Sort()
		return nil, planParser.faults
	}
	if err := planParser.plan.checkArms(file, files); err != nil {
		return nil, err
	}
	return planParser.plan, nil
}

// reportFault records a fault at a line.
func (p *parser) reportFault(line bootstrap.Line, format string, args ...any) {
	p.faults = append(p.faults, line.Fault(format, args...))
}

// parseLine checks that a line may occur here and parses it.
func (p *parser) parseLine(line bootstrap.Line) {
	keyword := line.Words[0]
	repeatable := slices.Contains([]string{"factor", "set", "say"}, keyword)
	if first, repeated := p.firstLines[keyword]; repeated && !repeatable {
		p.reportFault(line, "%s is repeated, first at line %d", keyword, first.Number)
		return
	}
	p.firstLines[keyword] = line
	if len(line.Words) < 2 {
		p.reportFault(line, "%s needs a value", keyword)
		return
	}
	if keyword == "set" && len(line.Words) < 4 {
		p.reportFault(line, "set takes a section, a keyword and its value")
		return
	}
	if err := p.parseKeyword(line); err != nil {
		p.reportFault(line, "%s: %v", keyword, err)
	}
	p.markUsedFactors(line)
}

// parseKeyword parses the values of a line by its keyword.
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
		plan.fleetMultiplier = value
	case "load":
		plan.loadMultiplier = value
	case "kills":
		plan.coordinatorKills = value
	default:
		p.reportFault(line, "unknown keyword %s; a plan has: experiment, day, factor, seeds, most, measure, set, say, scale, load, kills", line.Words[0])
	}
	return err
}

// parseFactor parses: factor NAME VALUE...
func (p *parser) parseFactor(line bootstrap.Line) {
	words := line.Words
	if len(words) < 3 {
		p.reportFault(line, "factor needs a name and at least one value")
		return
	}
	name, values := words[1], words[2:]
	if slices.ContainsFunc(p.plan.Factors, func(factor Factor) bool { return factor.Name == name }) {
		p.reportFault(line, "factor %s is defined twice", name)
		return
	}
	for i, value := range values {
		if slices.Contains(values[:i], value) {
			p.reportFault(line, "factor %s has the value %s twice", name, value)
		}
	}
	p.plan.Factors = append(p.plan.Factors, Factor{Name: name, Values: values})
}

// parseSeeds parses: seeds COUNT [from FIRST]
func (p *parser) parseSeeds(words []string) (err error) {
	if p.plan.Seeds, err = bootstrap.ParseInteger(words[1], 1, maxSeeds); err != nil {
		return err
	}
	if len(words) == 4 && words[2] == "from" {
		p.plan.FirstSeed, err = strconv.ParseUint(words[3], 10, maxFirstSeedBits)
		return err
	}
	if len(words) != 2 {
		return errSeedsSyntax
	}
	return nil
}

// parseMeasures parses: measure NAME...
func (p *parser) parseMeasures(line bootstrap.Line) {
	for _, name := range line.Words[1:] {
		if _, known := measures[name]; !known {
			p.reportFault(line, "unknown measure %s; known measures: %s", name, strings.Join(Measures(), ", "))
			continue
		}
		p.plan.Measures = append(p.plan.Measures, name)
	}
}

// markUsedFactors marks the factors whose placeholders occur in a line.
func (p *parser) markUsedFactors(line bootstrap.Line) {
	for i := range p.plan.Factors {
		factor := &p.plan.Factors[i]
		refers := func(word string) bool { return strings.Contains(word, placeholder(factor.Name)) }
		factor.used = factor.used || slices.ContainsFunc(line.Words, refers)
	}
}

// setDefaultsAndCheck sets what the plan leaves out, and checks the plan as a whole.
func (p *parser) setDefaultsAndCheck(file string) {
	plan, firstLine := p.plan, bootstrap.Line{File: file, Number: 1}
	if plan.ScenarioName == "" {
		p.reportFault(firstLine, "the plan names no scenario; add a line such as: day evening")
	}
	if plan.Name == "" {
		plan.Name = strings.TrimSuffix(file, planSuffix)
	}
	if len(plan.Measures) == 0 {
		plan.Measures = []string{"service", "messages", "margin"}
	}
	for _, factor := range plan.Factors {
		if !factor.used {
			p.reportFault(firstLine, "factor %s is not used; define it before a line that uses it, such as: say coordinators {%s}", factor.Name, factor.Name)
		}
	}
	if runs := plan.Runs(); runs > plan.MaxRuns && len(p.faults) == 0 {
		p.reportFault(firstLine, "the plan has %d runs, but at most %d are allowed; use fewer values or seeds, or raise the limit with: most %d", runs, plan.MaxRuns, runs)
	}
}

// checkArms creates the scenario of each arm, so that no run fails later because of its scenario. It keeps the content of the files
// that it reads, so that exactly this content is played and hashed.
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
		return nil, fmt.Errorf("%s was not read with the plan", name)
	}
	hash := xxhash.New()
	fmt.Fprintf(hash, "%q", p.Text)
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		fmt.Fprintf(hash, "%q %q", name, contents[name])
	}
	p.hash = fmt.Sprintf("%016x", hash.Sum64())
	return nil
}
