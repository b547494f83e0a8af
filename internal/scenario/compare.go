package scenario

import (
	"context"
	"fmt"
	"sync"

	"gingerfork/internal/optimum"
)

// TableSource determines the tables of proxies in a run.
type TableSource uint8

// The table sources.
const (
	Coordinated  TableSource = iota // tables from coordinators, as in production
	AllBackends                     // one table of all open backends in the endpoint list, from a simple baseline coordinator
	FrozenTables                    // tables from coordinators, which do not change any more from FreezeDelay seconds after the start on
	tableSourceCount
)

// String returns the name that reports print.
func (s TableSource) String() string {
	return [...]string{"coordinator", "all servers", "frozen", "?"}[min(s, tableSourceCount)]
}

// FreezeDelay is the time in seconds from the start of the scenario until FrozenTables freezes the tables.
const FreezeDelay = 4.0

// Comparison holds the results of a scenario with each table source on the same seed, and an upper bound on the service.
type Comparison struct {
	Scenario *Scenario
	Results  [tableSourceCount]Result
	Bound    optimum.Bound
}

// pendingComparison is a comparison some of whose runs have not ended yet.
type pendingComparison struct {
	Comparison
	errs          [tableSourceCount]error // by table source
	remainingRuns sync.WaitGroup
}

// comparisonRun is one run of a comparison.
type comparisonRun struct {
	comparison *pendingComparison
	source     TableSource
}

// Compare plays scenarios in virtual time with each table source, on all cores. It calls done with the comparison of each
// scenario in order, until the first error, which it returns after all runs have ended.
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

// dispatchRuns sends all runs to the workers. Runs that are left at the end of ctx fail with its error.
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

// deliverInOrder waits for each comparison in order and calls done with it, until the first error.
func deliverInOrder(all []*pendingComparison, done func(Comparison) error) error {
	var firstErr error
	for _, comparison := range all {
		comparison.remainingRuns.Wait()
		for _, err := range comparison.errs {
			if firstErr == nil {
				firstErr = err
			}
		}
		if firstErr == nil {
			firstErr = done(comparison.Comparison)
		}
	}
	return firstErr
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
	result.Records = nil // to save memory: a run has some hundred thousand records
	r.comparison.Results[r.source] = result
}
