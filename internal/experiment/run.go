package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// Run is one day played.
type Run struct {
	Plan    string             `json:"plan"`
	Commit  string             `json:"commit"`
	Arm     Arm                `json:"arm"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Broken  []int              `json:"broken,omitempty"` // rules
	Seconds float64            `json:"seconds"`          // that it took
}

// measure is a figure of a run, and whether more of it is better.
type measure struct {
	sign float64
	unit string
	of   func(r scenario.Result, f *report.Report) float64
}

var measures = map[string]measure{
	"service":  {1, "", func(r scenario.Result, _ *report.Report) float64 { return r.Report.Service.Share() }},
	"worst10":  {1, "", func(_ scenario.Result, f *report.Report) float64 { return f.WorstTenSeconds }},
	"messages": {-1, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Pushes) }},
	"lines":    {-1, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Entries) }},
	"tries":    {-1, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Attempts) }},
	"falls":    {-1, "", func(r scenario.Result, _ *report.Report) float64 { return float64(r.Report.Collapses) }},
	"margin":   {-1, "of the limit", func(r scenario.Result, _ *report.Report) float64 { return nearest(r, 1, 2, 3, 4, 5) }},
	"margin1":  {-1, "of the limit", func(r scenario.Result, _ *report.Report) float64 { return nearest(r, 1) }},
	"margin3":  {-1, "of the limit", func(r scenario.Result, _ *report.Report) float64 { return nearest(r, 3) }},
	"margin4":  {-1, "of the limit", func(r scenario.Result, _ *report.Report) float64 { return nearest(r, 4) }},
	"margin5":  {-1, "of the limit", func(r scenario.Result, _ *report.Report) float64 { return nearest(r, 5) }},
	"latency-p50": {-1, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return latency(f, func(l report.Latency) float64 { return l.P50 })
	}},
	"latency-p99": {-1, "ms", func(_ scenario.Result, f *report.Report) float64 {
		return latency(f, func(l report.Latency) float64 { return l.P99 })
	}},
}

// Measures names what can be measured.
func Measures() []string { return slices.Sorted(maps.Keys(measures)) }

func nearest(r scenario.Result, rules ...int) (most float64) {
	for _, v := range r.Report.Rules {
		if slices.Contains(rules, v.Rule) {
			most = max(most, v.Closest)
		}
	}
	return most
}

// latency is the worst method's.
func latency(f *report.Report, of func(report.Latency) float64) (most float64) {
	for _, l := range f.Latencies {
		most = max(most, of(l))
	}
	return 1000 * most
}

// Play plays one day.
func (p *Plan) Play(a Arm, seed uint64) (Run, error) {
	begin := time.Now()
	d, err := p.Scenario(a, seed)
	if err != nil {
		return Run{}, err
	}
	got, err := scenario.PlayVirtual(d, scenario.Options{})
	if err != nil {
		return Run{}, err
	}
	if len(got.Failures) > 0 {
		return Run{}, fmt.Errorf("the program failed: %s", got.Failures[0])
	}
	f, err := report.Build(got.Records, d.Limits().Methods)
	if err != nil {
		return Run{}, fmt.Errorf("reckon the report: %w", err)
	}
	r := Run{Plan: p.Hash(), Arm: a, Seed: seed, Figures: map[string]float64{}}
	for _, m := range p.Measures {
		r.Figures[m] = measures[m].of(got, f)
	}
	for _, v := range got.Report.Rules {
		if v.Violations > 0 {
			r.Broken = append(r.Broken, v.Rule)
		}
	}
	r.Seconds = time.Since(begin).Seconds()
	return r, nil
}

// Progress tells how far it is.
type Progress struct {
	Done, Total, Resumed int // Kept were there from before
	Remaining            time.Duration
}

// RunsName is the file of finished runs, a JSON line each, in the order in which they finished.
const RunsName = "runs.jsonl"

// Execute plays what of the plan is not yet among dir's finished runs, on so many cores, and gives all runs in the plan's
// order. A run is in the file, synced, before it counts; after a kill what is there is not played again. Where the file can't
// be written it ends with what there is.
func (p *Plan) Execute(ctx context.Context, dir, commit string, workers int, tell func(Progress)) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make the folder for results: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, RunsName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the finished runs: %w", err)
	}
	defer func() { _ = file.Close() }() // a run was synced before it counted
	done, err := p.finished(file, commit)
	if err != nil {
		return nil, err
	}
	type job struct {
		arm  Arm
		seed uint64
	}
	var todo []job
	arms := p.Arms()
	for s := range p.Seeds { // all arms of a seed, then the next: a run that is cut short has whole pairs
		for _, a := range arms {
			j := job{a, p.First + uint64(s)}
			if _, there := done[key(j.arm, j.seed)]; !there {
				todo = append(todo, j)
			}
		}
	}
	kept := len(done)
	inner, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	jobs := make(chan job)
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	for range max(1, workers) {
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range jobs {
				r, err := p.Play(j.arm, j.seed)
				if err != nil {
					stop(fmt.Errorf("%s, seed %d: %w", p.ArmTitle(j.arm), j.seed, err))
					continue
				}
				r.Commit = commit
				mu.Lock()
				if err := add(file, r); err != nil {
					stop(fmt.Errorf("write a finished run (%d are kept): %w", len(done), err))
				} else {
					done[key(r.Arm, r.Seed)] = r
					n := len(done)
					tell(Progress{n, p.Runs(), kept, time.Duration(float64(time.Since(begin)) / float64(n-kept) * float64(p.Runs()-n))})
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range todo {
		select {
		case jobs <- j:
			continue
		case <-inner.Done():
		}
		break
	}
	close(jobs)
	all.Wait()
	if err := context.Cause(inner); err != nil && (ctx.Err() == nil || !errors.Is(err, ctx.Err())) {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("ended after %d of %d runs; they are kept, and the same command goes on", len(done), p.Runs())
	}
	runs := slices.Collect(maps.Values(done))
	at := map[string]int{}
	for i, a := range arms {
		at[key(a, 0)] = i
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(at[key(a.Arm, 0)], at[key(b.Arm, 0)]), cmp.Compare(a.Seed, b.Seed))
	})
	return runs, nil
}

func key(a Arm, seed uint64) string { return fmt.Sprintf("%q %d", []string(a), seed) }

// finished reads the runs of this very plan and program. A last line that a kill cut short is taken off, so that the next
// stands on its own.
func (p *Plan) finished(file *os.File, commit string) (map[string]Run, error) {
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	whole := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(whole)); err != nil {
		return nil, fmt.Errorf("cut the finished runs' last line: %w", err)
	}
	if _, err := file.Seek(int64(whole), io.SeekStart); err != nil {
		return nil, fmt.Errorf("read the finished runs: %w", err)
	}
	done := map[string]Run{}
	lines := bufio.NewScanner(bytes.NewReader(data[:whole]))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var r Run
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file.Name(), n, err)
		}
		if r.Plan == p.Hash() && r.Commit == commit && len(r.Arm) == len(p.Factors) {
			done[key(r.Arm, r.Seed)] = r
		}
	}
	return done, lines.Err()
}

// sink is what finished runs are written to.
type sink interface {
	io.WriteSeeker
	Sync() error
	Truncate(int64) error
}

// add writes a run as a line, or takes back what of it was written.
func add(file sink, r Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	at, err := file.Seek(0, io.SeekCurrent)
	if err != nil {
		return err
	}
	if _, err = file.Write(append(line, '\n')); err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Truncate(at)
		_, _ = file.Seek(at, io.SeekStart)
	}
	return err
}
