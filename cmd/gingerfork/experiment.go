package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/experiment"
	"gingerfork/internal/scenario"
)

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" help:"Play a plan's grid in virtual time and report. Example: gingerfork experiment run coordinators.plan -o results"`
	Compare experimentCompareCmd `cmd:"" help:"Play a day with two settings files on the same seeds. Example: gingerfork experiment compare now.conf then.conf --day evening"`
}

type experimentRunCmd struct {
	Plan    string `arg:"" help:"The plan."`
	Out     string `short:"o" help:"Where runs and report go; runs that are there already are not played again." default:"results" placeholder:"DIR"`
	Workers int    `help:"Runs at once; 0: one a core." default:"0"`
}

// files opens what a plan names: beside it, or what comes with the program.
func files(beside string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(beside), name))
		if err != nil {
			if own, e := scenario.File(name); e == nil {
				return own, nil
			}
			return nil, fmt.Errorf("%s is neither beside the plan nor among what comes with the program", name)
		}
		return data, nil
	}
}

func (c experimentRunCmd) Run(ctx context.Context, p *program) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return badError{fmt.Errorf("read the plan: %w", err)}
	}
	plan, err := experiment.Read(c.Plan, string(text), files(c.Plan))
	if err != nil {
		return badError{err}
	}
	return play(ctx, p, plan, c.Out, c.Workers)
}

func play(ctx context.Context, p *program, plan *experiment.Plan, dir string, workers int) error {
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	commit, err := build()
	if err != nil {
		return err
	}
	line := newLive(p.out)
	var mu sync.Mutex
	shown := time.Time{}
	runs, err := plan.Execute(ctx, dir, commit, workers, func(x experiment.Progress) {
		mu.Lock()
		defer mu.Unlock()
		plain := time.Since(shown) > 10*time.Second
		if plain {
			shown = time.Now()
		}
		bar := strings.Repeat("#", 30*x.Done/x.Total)
		line.show(fmt.Sprintf("[%-30s] %d of %d runs, %d from before, about %v left", bar, x.Done, x.Total, x.Resumed, x.Remaining.Round(time.Second)), plain)
	})
	line.end()
	if err != nil {
		return badError{err}
	}
	if err := plan.WriteReport(dir, runs); err != nil {
		return err
	}
	for _, r := range plan.Rows(runs) {
		text := fmt.Sprintf("%-40s %-12s %.4g (%.4g to %.4g)", plan.ArmTitle(r.Arm), r.Measure, r.Mean.Mean, r.Mean.Low, r.Mean.High)
		if r.Verdict != "" {
			text += fmt.Sprintf("  %+.4g: %s", r.Difference.Mean, r.Verdict)
			if r.SeedsNeeded > 0 {
				text += fmt.Sprintf(" (about %d seeds would)", r.SeedsNeeded)
			}
		}
		if r.RunsWithViolations > 0 {
			text += fmt.Sprintf("  a rule broke in %d runs", r.RunsWithViolations)
		}
		fmt.Fprintln(p.out, text)
	}
	fmt.Fprintf(p.out, "%s: report.md, runs.csv and plots\n", dir)
	return nil
}

// build names the program that plays: its commit, or a checksum of itself where it carries none or was built of changed
// files. Runs of another are not taken for its own.
func build() (string, error) {
	if info, ok := debug.ReadBuildInfo(); ok {
		commit, changed := "", false
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				commit = s.Value
			case "vcs.modified":
				changed = s.Value == "true"
			}
		}
		if commit != "" && !changed {
			return commit, nil
		}
	}
	exe, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find this program, to name it in results: %w", err)
	}
	f, err := os.Open(exe)
	if err != nil {
		return "", fmt.Errorf("read this program, to name it in results: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("read this program, to name it in results: %w", err)
	}
	return fmt.Sprintf("build-%016x", h.Sum64()), nil
}

type experimentCompareCmd struct {
	Old     string   `arg:"" help:"The settings as they are."`
	New     string   `arg:"" help:"The settings to try."`
	Day     string   `help:"The day." default:"evening"`
	Seeds   int      `help:"On so many seeds." default:"20"`
	Measure []string `help:"What to measure." default:"service,worst10,messages,margin"`
	Out     string   `short:"o" help:"Where runs and report go." default:"results" placeholder:"DIR"`
}

func (c experimentCompareCmd) Run(ctx context.Context, p *program) error {
	day, err := files(c.Old)(c.Day + ".day")
	if err != nil {
		if day, err = os.ReadFile(c.Day); err != nil {
			return badError{fmt.Errorf("read the day: %w", err)}
		}
	}
	open := files(c.Old)
	texts := map[string]string{"old": c.Old, "new": c.New}
	text := fmt.Sprintf("experiment %s\nday the-day\nfactor settings old new\nseeds %d\nmeasure %s\nsay settings {settings}\n", bootstrap.Quote(c.Old+" against "+c.New), c.Seeds, strings.Join(c.Measure, " "))
	plan, err := experiment.Read("compare", text, func(name string) ([]byte, error) {
		if name == "the-day.day" {
			return day, nil
		}
		if file, ok := texts[name]; ok {
			return os.ReadFile(file)
		}
		return open(name)
	})
	if err != nil {
		return badError{err}
	}
	return play(ctx, p, plan, c.Out, 0)
}
