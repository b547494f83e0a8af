package experiment

import (
	"fmt"
	"time"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// Run is the outcome of one arm on one seed. The JSON keys are those of the file of finished runs.
type Run struct {
	Plan          string             `json:"plan"` // its hash
	Commit        string             `json:"commit"`
	Arm           Arm                `json:"arm"`
	Seed          uint64             `json:"seed"`
	Figures       map[string]float64 `json:"figures"`          // by measure
	ViolatedRules []int              `json:"broken,omitempty"` // the rules that were violated
	Seconds       float64            `json:"seconds"`          // of real time that the run took
}

// Play plays one arm on one seed.
func (p *Plan) Play(arm Arm, seed uint64) (Run, error) {
	start := time.Now()
	played, err := p.Scenario(arm, seed)
	if err != nil {
		return Run{}, err
	}
	result, err := scenario.PlayVirtual(played, scenario.Options{})
	if err != nil {
		return Run{}, err
	}
	if len(result.Failures) > 0 {
		return Run{}, fmt.Errorf("the program failed: %s", result.Failures[0])
	}
	figures, err := report.Build(result.Records, played.Limits().Methods)
	if err != nil {
		return Run{}, fmt.Errorf("build the report: %w", err)
	}
	run := Run{Plan: p.Hash(), Arm: arm, Seed: seed, Figures: map[string]float64{}}
	for _, name := range p.Measures {
		run.Figures[name] = measures[name].value(result, figures)
	}
	for _, rule := range result.Report.Rules {
		if rule.Violations > 0 {
			run.ViolatedRules = append(run.ViolatedRules, rule.Rule)
		}
	}
	run.Seconds = time.Since(start).Seconds()
	return run, nil
}
