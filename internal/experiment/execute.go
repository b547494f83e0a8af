package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Progress tells how many runs of an execution are done, and how long the others will take.
type Progress struct {
	Done      int           // finished runs, including resumed ones
	Total     int           // runs of the plan
	Resumed   int           // runs that were found in the file of finished runs
	Remaining time.Duration // estimated real time until all runs are finished
}

// job identifies a run to be played.
type job struct {
	arm  Arm
	seed uint64
}

// execution is an execution of the runs of a plan that are not finished yet.
type execution struct {
	plan            *Plan
	commit          string
	runsFile        runsFile
	start           time.Time
	resumed         int
	onProgress      func(Progress)
	cancelWithCause context.CancelCauseFunc

	mu   sync.Mutex     // guards runsFile and runs
	runs map[string]Run // finished runs by runKey
}

// Execute plays the runs of a plan on the given number of workers, except those in the file of finished runs in the directory dir,
// and returns all runs in the order of the plan. Each run is written to the file and synced before it counts as finished, so that
// it is not played again after a crash. commit identifies the program; runs of another one are not reused. onProgress is called
// after each run, by one worker at a time. The execution ends with the first error or when the context is done; the runs that are
// finished by then remain in the file.
func (p *Plan) Execute(ctx context.Context, dir, commit string, workers int, onProgress func(Progress)) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the results folder: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, RunsName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the file of finished runs: %w", err)
	}
	defer func() { _ = file.Close() }() // an error does not matter: each run was synced when it was written
	runs, err := p.readFinishedRuns(file, commit)
	if err != nil {
		return nil, err
	}
	workersCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e := &execution{
		plan: p, commit: commit, runsFile: file, start: time.Now(), resumed: len(runs), onProgress: onProgress, cancelWithCause: cancel, runs: runs,
	}
	e.playAll(workersCtx, workers)
	if err := context.Cause(workersCtx); err != nil && (ctx.Err() == nil || !errors.Is(err, ctx.Err())) {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("interrupted after %d of %d runs; finished runs are kept, and the same command continues with the others", len(runs), p.Runs())
	}
	return p.sortRuns(runs), nil
}

// playAll plays the pending runs and waits for all workers.
func (e *execution) playAll(ctx context.Context, workers int) {
	pending := e.pending()
	jobs := make(chan job)
	var running sync.WaitGroup
	for range max(1, workers) {
		running.Add(1)
		go func() {
			defer running.Done()
			for next := range jobs {
				e.play(next)
			}
		}()
	}
	defer running.Wait()
	defer close(jobs)
	for _, next := range pending {
		select {
		case jobs <- next:
		case <-ctx.Done():
			return
		}
	}
}

// pending returns the runs that are not finished: all arms of a seed, then those of the next, so that an execution that ends early
// has runs of all arms for the same seeds, which can be compared.
func (e *execution) pending() (jobs []job) {
	arms := e.plan.Arms()
	for i := range e.plan.Seeds {
		for _, arm := range arms {
			next := job{arm: arm, seed: e.plan.FirstSeed + uint64(i)}
			if _, finished := e.runs[runKey(next.arm, next.seed)]; !finished {
				jobs = append(jobs, next)
			}
		}
	}
	return jobs
}

// play plays a run, appends it to the file and reports the progress. An error ends the execution.
func (e *execution) play(next job) {
	run, err := e.plan.Play(next.arm, next.seed)
	if err != nil {
		e.cancelWithCause(fmt.Errorf("%s, seed %d: %w", e.plan.ArmTitle(next.arm), next.seed, err))
		return
	}
	run.Commit = e.commit
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := appendRun(e.runsFile, run); err != nil {
		e.cancelWithCause(fmt.Errorf("write a finished run (%d others are kept): %w", len(e.runs), err))
		return
	}
	e.runs[runKey(run.Arm, run.Seed)] = run
	e.onProgress(e.progress())
}

// progress returns the progress. It estimates the remaining time from the mean time per run in this execution. The caller must
// hold mu.
func (e *execution) progress() Progress {
	done, total := len(e.runs), e.plan.Runs()
	nanosecondsPerRun := float64(time.Since(e.start)) / float64(done-e.resumed)
	return Progress{Done: done, Total: total, Resumed: e.resumed, Remaining: time.Duration(nanosecondsPerRun * float64(total-done))}
}

// sortRuns returns runs ordered by arm, as in the plan, and then by seed.
func (p *Plan) sortRuns(runs map[string]Run) []Run {
	armPositions := map[string]int{}
	for i, arm := range p.Arms() {
		armPositions[runKey(arm, 0)] = i
	}
	return slices.SortedFunc(maps.Values(runs), func(a, b Run) int {
		return cmp.Or(cmp.Compare(armPositions[runKey(a.Arm, 0)], armPositions[runKey(b.Arm, 0)]), cmp.Compare(a.Seed, b.Seed))
	})
}
