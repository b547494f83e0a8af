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
	// experimentProgressInterval is the time between two progress lines of an experiment when the output is not a terminal.
	experimentProgressInterval = 10 * time.Second
	progressBarWidth           = 30 // characters
)

type experimentCmd struct {
	Run     experimentRunCmd     `cmd:"" help:"Run all scenarios of an experiment plan in virtual time and write a report. Example: gingerfork experiment run coordinators.plan -o results"`
	Compare experimentCompareCmd `cmd:"" help:"Run a scenario with two settings files on the same seeds and compare the results. Example: gingerfork experiment compare now.conf then.conf --scenario evening"`
}

type experimentRunCmd struct {
	Plan    string `arg:"" help:"File of the experiment plan."`
	Out     string `short:"o" help:"Folder for the runs and the report; runs that it already holds are not repeated." default:"results" placeholder:"DIR"`
	Workers int    `help:"Number of concurrent runs; 0: one per core." default:"0"`
}

// planFileReader returns a function that reads a file that a plan names: from the plan's folder or, if it is not there, from
// the built-in files.
func planFileReader(plan string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(plan), name))
		if err == nil {
			return data, nil
		}
		if builtin, err := scenario.File(name); err == nil {
			return builtin, nil
		}
		return nil, fmt.Errorf("%s is neither in the plan's folder nor a built-in file", name)
	}
}

// Run executes the plan and writes its report.
func (c experimentRunCmd) Run(ctx context.Context, cli *program) error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return fmt.Errorf("read the plan: %w", err)
	}
	plan, err := experiment.Read(c.Plan, string(text), planFileReader(c.Plan))
	if err != nil {
		return err
	}
	return executePlan(ctx, cli, plan, c.Out, c.Workers)
}

// executePlan executes the runs of a plan whose results are not in dir yet, writes the report to dir and prints a summary.
// With workers 0 it executes one run per core at once.
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
				text += fmt.Sprintf(" (about %d seeds needed)", row.SeedsNeeded)
			}
		}
		if row.RunsWithViolations > 0 {
			text += fmt.Sprintf("  an invariant was violated in %d runs", row.RunsWithViolations)
		}
		fmt.Fprintln(cli.out, text)
	}
	fmt.Fprintf(cli.out, "wrote report.md, runs.csv and plots to %s\n", dir)
	return nil
}

// experimentProgress shows how many runs are finished. It is safe for concurrent use.
type experimentProgress struct {
	mu            sync.Mutex // guards line and lastPlainLine
	line          *progressLine
	lastPlainLine time.Time // time of the last line that was printed without a terminal
}

// show shows a progress bar with the numbers of finished, planned and reused runs and the estimated remaining time.
func (p *experimentProgress) show(progress experiment.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plain := time.Since(p.lastPlainLine) > experimentProgressInterval
	if plain {
		p.lastPlainLine = time.Now()
	}
	bar := strings.Repeat("#", progressBarWidth*progress.Done/progress.Total)
	text := fmt.Sprintf("[%-*s] %d of %d runs, %d reused, about %v left", progressBarWidth, bar, progress.Done, progress.Total, progress.Resumed,
		progress.Remaining.Round(time.Second))
	p.line.show(text, plain)
}

// buildID identifies this build of the program: by its commit or, if it has none or was built from modified files, by a
// checksum of the executable. Results of another build are not reused.
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
		return "", fmt.Errorf("find the executable, to identify the build: %w", err)
	}
	f, err := os.Open(exe)
	if err != nil {
		return "", fmt.Errorf("open the executable, to identify the build: %w", err)
	}
	defer func() { _ = f.Close() }() // no error matters: the file was only read
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("read the executable, to identify the build: %w", err)
	}
	return fmt.Sprintf("build-%016x", h.Sum64()), nil
}

type experimentCompareCmd struct {
	Old      string   `arg:"" help:"Settings file to compare against."`
	New      string   `arg:"" help:"Settings file to try."`
	Scenario string   `aliases:"day" help:"Scenario to run: a built-in one or a file." default:"evening"`
	Seeds    int      `help:"Number of seeds." default:"20"`
	Measure  []string `help:"Measures to compare." default:"service,worst10,messages,margin"`
	Out      string   `short:"o" help:"Folder for the runs and the report." default:"results" placeholder:"DIR"`
}

// Names of the scenario and the settings in the plan of a comparison.
const (
	comparedScenario = "the-day"
	oldSettings      = "old"
	newSettings      = "new"
)

// Run runs the scenario with both settings files and writes the report.
func (c experimentCompareCmd) Run(ctx context.Context, cli *program) error {
	open := planFileReader(c.Old)
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

// planText returns the text of an experiment plan that compares the two settings files.
func (c experimentCompareCmd) planText() string {
	return fmt.Sprintf("experiment %s\nday %s\nfactor settings %s %s\nseeds %d\nmeasure %s\nsay settings {settings}\n",
		bootstrap.Quote(c.Old+" against "+c.New), comparedScenario, oldSettings, newSettings, c.Seeds, strings.Join(c.Measure, " "))
}
