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

const (
	// experimentProgressInterval is the time after which a progress line is printed where there is no terminal.
	experimentProgressInterval = 10 * time.Second
	progressBarWidth           = 30
)

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" help:"Play a plan's grid of scenarios in virtual time and report. Example: gingerfork experiment run coordinators.plan -o results"`
	Compare experimentCompareCmd `cmd:"" help:"Play a scenario with two settings files on the same seeds. Example: gingerfork experiment compare now.conf then.conf --scenario evening"`
}

type experimentRunCmd struct {
	Plan    string `arg:"" help:"The plan."`
	Out     string `short:"o" help:"Where runs and report go; runs that are there already are not played again." default:"results" placeholder:"DIR"`
	Workers int    `help:"Runs at once; 0: one a core." default:"0"`
}

// filesBeside returns a function that reads the files that a plan names: from the plan's folder, or else the built-in ones.
func filesBeside(plan string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(plan), name))
		if err == nil {
			return data, nil
		}
		if builtin, err := scenario.File(name); err == nil {
			return builtin, nil
		}
		return nil, fmt.Errorf("%s is neither beside the plan nor among what comes with the program", name)
	}
}

// Run executes the plan.
func (c experimentRunCmd) Run(ctx context.Context, cli *program) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return fmt.Errorf("read the plan: %w", err)
	}
	plan, err := experiment.Read(c.Plan, string(text), filesBeside(c.Plan))
	if err != nil {
		return err
	}
	return executePlan(ctx, cli, plan, c.Out, c.Workers)
}

// executePlan plays the runs of a plan that dir does not hold yet, and writes the report there.
func executePlan(ctx context.Context, cli *program, plan *experiment.Plan, dir string, workers int) error {
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	commit, err := buildID()
	if err != nil {
		return err
	}
	progress := &experimentProgress{line: newProgressLine(cli.out)}
	runs, err := plan.Execute(ctx, dir, commit, workers, progress.show)
	progress.line.end()
	if err != nil {
		return err
	}
	if err := plan.WriteReport(dir, runs); err != nil {
		return err
	}
	for _, row := range plan.Rows(runs) {
		text := fmt.Sprintf("%-40s %-12s %.4g (%.4g to %.4g)", plan.ArmTitle(row.Arm), row.Measure, row.Mean.Mean, row.Mean.Low, row.Mean.High)
		if row.Verdict != "" {
			text += fmt.Sprintf("  %+.4g: %s", row.Difference.Mean, row.Verdict)
			if row.SeedsNeeded > 0 {
				text += fmt.Sprintf(" (about %d seeds would)", row.SeedsNeeded)
			}
		}
		if row.RunsWithViolations > 0 {
			text += fmt.Sprintf("  a rule broke in %d runs", row.RunsWithViolations)
		}
		fmt.Fprintln(cli.out, text)
	}
	fmt.Fprintf(cli.out, "%s: report.md, runs.csv and plots\n", dir)
	return nil
}

// experimentProgress shows how many runs are done. It is safe for concurrent use.
type experimentProgress struct {
	mu      sync.Mutex
	line    *progressLine
	printed time.Time // when the last plain line was printed
}

func (p *experimentProgress) show(progress experiment.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plain := time.Since(p.printed) > experimentProgressInterval
	if plain {
		p.printed = time.Now()
	}
	bar := strings.Repeat("#", progressBarWidth*progress.Done/progress.Total)
	text := fmt.Sprintf("[%-*s] %d of %d runs, %d from before, about %v left", progressBarWidth, bar, progress.Done, progress.Total, progress.Resumed,
		progress.Remaining.Round(time.Second))
	p.line.show(text, plain)
}

// buildID identifies this build: by its commit, or by a checksum of the executable if it has none or was built from modified
// files. Results of another build are not reused.
func buildID() (string, error) {
	if info, ok := debug.ReadBuildInfo(); ok {
		commit, modified := "", false
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				commit = s.Value
			case "vcs.modified":
				modified = s.Value == "true"
			}
		}
		if commit != "" && !modified {
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
	Old      string   `arg:"" help:"The settings as they are."`
	New      string   `arg:"" help:"The settings to try."`
	Scenario string   `aliases:"day" help:"The scenario." default:"evening"`
	Seeds    int      `help:"On so many seeds." default:"20"`
	Measure  []string `help:"What to measure." default:"service,worst10,messages,margin"`
	Out      string   `short:"o" help:"Where runs and report go." default:"results" placeholder:"DIR"`
}

// Names by which the plan of a comparison refers to its files.
const (
	comparedScenario = "the-day"
	oldSettings      = "old"
	newSettings      = "new"
)

// Run plays the scenario with both settings files.
func (c experimentCompareCmd) Run(ctx context.Context, cli *program) error {
	open := filesBeside(c.Old)
	scenarioText, err := open(c.Scenario + scenarioSuffix)
	if err != nil {
		if scenarioText, err = os.ReadFile(c.Scenario); err != nil {
			return fmt.Errorf("read the scenario: %w", err)
		}
	}
	plan, err := experiment.Read("compare", c.planText(), func(name string) ([]byte, error) {
		switch name {
		case comparedScenario + scenarioSuffix:
			return scenarioText, nil
		case oldSettings:
			return os.ReadFile(c.Old)
		case newSettings:
			return os.ReadFile(c.New)
		default:
			return open(name)
		}
	})
	if err != nil {
		return err
	}
	return executePlan(ctx, cli, plan, c.Out, 0)
}

// planText returns the plan of the comparison, as it would stand in a file.
func (c experimentCompareCmd) planText() string {
	return fmt.Sprintf("experiment %s\nday %s\nfactor settings %s %s\nseeds %d\nmeasure %s\nsay settings {settings}\n",
		bootstrap.Quote(c.Old+" against "+c.New), comparedScenario, oldSettings, newSettings, c.Seeds, strings.Join(c.Measure, " "))
}
