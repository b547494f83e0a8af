package scenario

import (
	"context"
	"fmt"
	"sync"

	"gingerfork/internal/optimum"
)

// TableSource is how proxies get their tables in a run.
type TableSource uint8

// The table sources.
const (
	Coordinated  TableSource = iota // from coordinators, as in production
	AllBackends                     // one table of all backends in the endpoint list
	FrozenTables                    // the coordinators' tables as they were FreezeDelay seconds after the start
	tableSourceCount
)

// String returns the name that reports print.
func (s TableSource) String() string {
	return [...]string{"coordinator", "all servers", "frozen", "?"}[min(s, tableSourceCount)]
}

// FreezeDelay is when the tables of FrozenTables are frozen, in seconds after the start.
const FreezeDelay = 4.0

// Comparison is a scenario played with each table source on the same seed, beside what could have been reached.
type Comparison struct {
	Scenario *Scenario
	Results  [tableSourceCount]Result
	Bound    optimum.Bound
}

// pendingComparison is a comparison whose runs are still going on.
type pendingComparison struct {
	Comparison
	errs          [tableSourceCount]error
	remainingRuns sync.WaitGroup
}

// comparisonRun is one run of a comparison.
type comparisonRun struct {
	comparison *pendingComparison
	source     TableSource
}

// Compare plays scenarios in virtual time with each table source, on all cores. It calls done with each scenario in order,
// until the first error, which it returns when all runs have ended.
func Compare(ctx context.Context, scenarios []*Scenario, done func(Comparison) error) error {
	all := make([]*pendingComparison, len(scenarios))
	for i, scenario := range scenarios {
		all[i] = &pendingComparison{Comparison: Comparison{Scenario: scenario}}
		all[i].remainingRuns.Add(int(tableSourceCount))
	}
	runs := make(chan comparisonRun)
	var workers sync.WaitGroup
	defer workers.Wait()
	startWorkers(&workers, runs, comparisonRun.play)
	workers.Add(1)
	go func() {
		defer workers.Done()
		defer close(runs)
		dispatchRuns(ctx, all, runs)
	}()
	return deliverInOrder(all, done)
}

// dispatchRuns sends all runs to the workers; after the end of ctx they fail at once.
func dispatchRuns(ctx context.Context, all []*pendingComparison, runs chan<- comparisonRun) {
	for _, comparison := range all {
		for source := range tableSourceCount {
			if err := ctx.Err(); err != nil {
				comparison.errs[source] = err
				comparison.remainingRuns.Done()
				continue
			}
			runs <- comparisonRun{comparison, source}
		}
	}
}

// deliverInOrder waits for each comparison in order and passes it on, up to the first error.
func deliverInOrder(all []*pendingComparison, done func(Comparison) error) error {
	var first error
	for _, comparison := range all {
		comparison.remainingRuns.Wait()
		for _, err := range comparison.errs {
			if first == nil {
				first = err
			}
		}
		if first == nil {
			first = done(comparison.Comparison)
		}
	}
	return first
}

func (r comparisonRun) play() {
	defer r.comparison.remainingRuns.Done()
	scenario := r.comparison.Scenario
	result, err := PlayVirtual(scenario, Options{Tables: r.source, SampleTruth: r.source == Coordinated})
	if err == nil && r.source == Coordinated {
		r.comparison.Bound, err = scenario.Bound(result.Truth, result.Records)
	}
	if err != nil {
		r.comparison.errs[r.source] = fmt.Errorf("play %s, %v: %w", scenario.Name, r.source, err)
	}
	result.Records = nil // some hundred thousand each
	r.comparison.Results[r.source] = result
}
