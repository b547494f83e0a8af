package experiment

import (
	"fmt"
	"time"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// Run is the result of playing an arm on a seed. The JSON keys are those of the file of finished runs.
type Run struct {
	Plan          string             `json:"plan"`   // hash of the plan
	Commit        string             `json:"commit"` // identifies the program
	Arm           Arm                `json:"arm"`
	Seed          uint64             `json:"seed"`
	Figures       map[string]float64 `json:"figures"`          // values by measure
	ViolatedRules []int              `json:"broken,omitempty"` // numbers of the rules that were violated
	Seconds       float64            `json:"seconds"`          // real time that the run took
}

// Play plays an arm on a seed and computes the measures.
func (p *Plan) Play(arm Arm, seed uint64) (Run, error) {
	start := time.Now()
	armScenario, err := p.Scenario(arm, seed)
	if err != nil {
		return Run{}, err
	}
	result, err := scenario.PlayVirtual(armScenario, scenario.Options{})
	if err != nil {
		return Run{}, err
	}
	if len(result.Failures) > 0 {
		return Run{}, fmt.Errorf("a state machine failed: %s", result.Failures[0])
	}
	runReport, err := report.Build(result.Records, armScenario.Limits().Methods)
	if err != nil {
		return Run{}, fmt.Errorf("build the report: %w", err)
	}
	run := Run{Plan: p.Hash(), Arm: arm, Seed: seed, Figures: map[string]float64{}}
	for _, name := range p.Measures {
		run.Figures[name] = measures[name].compute(result, runReport)
	}
	for _, rule := range result.Report.Rules {
		if rule.Violations > 0 {
			run.ViolatedRules = append(run.ViolatedRules, rule.Rule)
		}
	}
	run.Seconds = time.Since(start).Seconds()
	return run, nil
}
