// Package experiment plays variants of a scenario in virtual time and compares them. A plan defines factors and their values; each
// combination of values is an arm, and all arms are played on the same seeds. The results are statistics of the runs and a page
// with plots. docs/model.md describes how far they can be trusted.
package experiment

import (
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// Factor is a parameter of the plan that takes several values.
type Factor struct {
	Name   string
	Values []string
	used   bool // whether a line of the plan refers to the factor
}

// FileReader returns the content of a scenario or settings file by its name.
type FileReader func(name string) ([]byte, error)

// Plan defines what is played: a scenario with changes, for each combination of the factors' values and each seed. Texts of the
// plan may contain placeholders {FACTOR}.
type Plan struct {
	Name             string
	ScenarioName     string // name of the scenario's file, with or without its suffix; may contain placeholders
	Factors          []Factor
	FirstSeed        uint64
	Seeds            int // number of consecutive seeds
	Measures         []string
	MaxRuns          int              // limit of the number of runs
	Text             string           // content of the plan's file
	overrides        []bootstrap.Line // lines "set SECTION KEYWORD VALUE...", which change settings
	additions        []bootstrap.Line // lines "say WORD...", whose words are appended to the scenario as lines
	fleetMultiplier  string           // factor for Scenario.Scale, as text; may be empty
	loadMultiplier   string           // factor on the rate of the front ends, as text; may be empty
	coordinatorKills string           // number of coordinator kills at random times; may be empty
	readFile         FileReader
	hash             string
}

// Arm is a combination of the factors' values: one value for each factor, in the order of the factors.
type Arm []string

// defaultMaxRuns is the limit of the number of runs unless the plan has the keyword `most`. 5000 runs take about an hour.
const defaultMaxRuns = 5000

// maxCountedRuns limits the result of Plan.Runs, so that it can't overflow.
const maxCountedRuns = 1 << 40

// Hash returns a hash of the plan's text and of the scenario and settings files as they were when the plan was read. Runs with
// another hash are not reused.
func (p *Plan) Hash() string { return p.hash }

// Arms returns all arms; the value of the last factor changes fastest. The other arms are compared with the first one.
func (p *Plan) Arms() []Arm {
	arms := []Arm{{}}
	for _, factor := range p.Factors {
		var extended []Arm
		for _, arm := range arms {
			for _, value := range factor.Values {
				extended = append(extended, append(slices.Clone(arm), value))
			}
		}
		arms = extended
	}
	return arms
}

// Runs returns the number of runs of the plan, at most 1<<40.
func (p *Plan) Runs() int {
	runs := p.Seeds
	for _, factor := range p.Factors {
		if runs *= len(factor.Values); runs > maxCountedRuns {
			return maxCountedRuns
		}
	}
	return runs
}

// ArmTitle returns the name of an arm in reports and messages.
func (p *Plan) ArmTitle(arm Arm) string {
	values := make([]string, 0, len(p.Factors))
	for i, factor := range p.Factors {
		values = append(values, factor.Name+"="+arm[i])
	}
	if len(values) == 0 {
		return "as it is"
	}
	return strings.Join(values, " ")
}

// substitute replaces the placeholders in a word by the values of an arm.
func (p *Plan) substitute(arm Arm, word string) string {
	for i, factor := range p.Factors {
		word = strings.ReplaceAll(word, placeholder(factor.Name), arm[i])
	}
	return word
}

// placeholder returns the text that stands for a factor's value in a plan.
func placeholder(factor string) string { return "{" + factor + "}" }
