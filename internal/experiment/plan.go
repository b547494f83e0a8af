// Package experiment plays a grid of scenarios in virtual time, each combination of the factors on the same seeds, and says what
// differs: a plan, its runs, their statistics, and a page with plots. docs/model.md says how far to trust it.
package experiment

import (
	"slices"
	"strings"

	"gingerfork/internal/bootstrap"
)

// Factor is a setting that is tried at several values.
type Factor struct {
	Name   string
	Values []string
	used   bool // a line of the plan refers to it
}

// FileReader returns the content of a scenario or of a settings file by its name.
type FileReader func(name string) ([]byte, error)

// Plan is what is to be played: a scenario and changes to it, for all combinations of the factors' values, on each seed.
type Plan struct {
	Name         string
	ScenarioName string // the name of the scenario
	Factors      []Factor
	FirstSeed    uint64 // seed
	Seeds        int
	Measures     []string
	MaxRuns      int // runs that the plan may have
	Text         string
	overrides    []bootstrap.Line // set SECTION KEYWORD VALUE...
	additions    []bootstrap.Line // say WORD...: lines that are appended to the scenario
	scale        string           // of the fleet's size
	load         string           // of the front ends' rate
	kills        string           // of coordinators, at random times
	readFile     FileReader
	hash         string
}

// Arm is one combination of the factors' values, in the order of the factors.
type Arm []string

// defaultMaxRuns is how many runs a plan may have unless it says `most`: an hour or so.
const defaultMaxRuns = 5000

// tooManyRuns is where the number of runs is no longer counted.
const tooManyRuns = 1 << 40

// Hash identifies what is played: the plan, and the scenarios and settings as they were when it was read. Results with another
// hash are not taken for this plan's.
func (p *Plan) Hash() string { return p.hash }

// Arms returns all combinations; the values of the last factor change fastest. The first is the one that others are compared with.
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
		if runs *= len(factor.Values); runs > tooManyRuns {
			return tooManyRuns
		}
	}
	return runs
}

// ArmTitle returns the name of an arm for people.
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

// substitute puts the values of an arm in place of the factors' names in braces.
func (p *Plan) substitute(arm Arm, word string) string {
	for i, factor := range p.Factors {
		word = strings.ReplaceAll(word, placeholder(factor.Name), arm[i])
	}
	return word
}

func placeholder(factor string) string { return "{" + factor + "}" }
