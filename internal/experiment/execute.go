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

// Progress is how far an execution is.
type Progress struct {
	Done      int // runs, those that were there before among them
	Total     int
	Resumed   int // runs that were there before
	Remaining time.Duration
}

// job is a run that is to be played.
type job struct {
	arm  Arm
	seed uint64
}

// execution plays the runs of a plan that are not finished yet.
type execution struct {
	plan       *Plan
	commit     string
	file       runsFile
	start      time.Time
	resumed    int
	onProgress func(Progress)
	fail       context.CancelCauseFunc

	mu   sync.Mutex     // guards file and runs
	runs map[string]Run // finished, by runKey
}

// Execute plays the runs of a plan that are not among the finished runs in a directory, on a number of workers, and returns all
// runs in the order of the plan. A run is in the file and synced before it counts, so that after a crash it is not played
// again. onProgress is called after each run, by one worker at a time. The execution ends with the first error, or with the
// context; the runs that are finished by then remain in the file.
func (p *Plan) Execute(ctx context.Context, dir, commit string, workers int, onProgress func(Progress)) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make the folder for results: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, RunsName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the finished runs: %w", err)
	}
	defer func() { _ = file.Close() }() // each run was synced before it counted
	runs, err := p.finished(file, commit)
	if err != nil {
		return nil, err
	}
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e := &execution{
		plan: p, commit: commit, file: file, start: time.Now(), resumed: len(runs), onProgress: onProgress, fail: cancel, runs: runs,
	}
	e.playAll(inner, workers)
	if err := context.Cause(inner); err != nil && (ctx.Err() == nil || !errors.Is(err, ctx.Err())) {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("ended after %d of %d runs; they are kept, and the same command goes on", len(runs), p.Runs())
	}
	return p.sorted(runs), nil
}

// playAll plays what is not finished yet, and waits for all workers.
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

// pending returns the runs that are not finished: all arms of a seed, then those of the next, so that an execution that ends
// early has complete pairs.
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

func (e *execution) play(next job) {
	run, err := e.plan.Play(next.arm, next.seed)
	if err != nil {
		e.fail(fmt.Errorf("%s, seed %d: %w", e.plan.ArmTitle(next.arm), next.seed, err))
		return
	}
	run.Commit = e.commit
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := appendRun(e.file, run); err != nil {
		e.fail(fmt.Errorf("write a finished run (%d are kept): %w", len(e.runs), err))
		return
	}
	e.runs[runKey(run.Arm, run.Seed)] = run
	e.onProgress(e.progress())
}

// progress expects each remaining run to take as long as those of this execution took.
func (e *execution) progress() Progress {
	done, total := len(e.runs), e.plan.Runs()
	perRun := float64(time.Since(e.start)) / float64(done-e.resumed)
	return Progress{Done: done, Total: total, Resumed: e.resumed, Remaining: time.Duration(perRun * float64(total-done))}
}

// sorted returns runs by arm, in the order of the plan, and by seed.
func (p *Plan) sorted(runs map[string]Run) []Run {
	position := map[string]int{}
	for i, arm := range p.Arms() {
		position[runKey(arm, 0)] = i
	}
	return slices.SortedFunc(maps.Values(runs), func(a, b Run) int {
		return cmp.Or(cmp.Compare(position[runKey(a.Arm, 0)], position[runKey(b.Arm, 0)]), cmp.Compare(a.Seed, b.Seed))
	})
}
