package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// Names of scenarios on the command line.
const (
	defaultScenario   = "evening"
	incidentScenarios = "incidents" // stands for all twelve built-in incidents
)

var (
	errInterrupted       = errors.New("interrupted")
	errInvariantViolated = errors.New("an invariant was violated, or a state machine failed")
	errComparisonFailed  = errors.New("the coordinator violated an invariant, or a state machine failed")
)

type scenarioCmd struct {
	Names            []string `arg:"" optional:"" name:"days" help:"Built-in scenarios (evening, deploy, cut, fleet, or incidents for all twelve incidents) or scenario files; default: evening."`
	Virtual          bool     `help:"Run in virtual time over a simulated network, which is deterministic and takes seconds instead of minutes."`
	JSON             bool     `help:"Print the result as JSON lines."`
	Trace            string   `help:"Write the trace to this file, one record per line." placeholder:"FILE"`
	Plot             string   `aliases:"picture" help:"Plot RPCs, service and pushes per second to this PNG file, with the times of faults shaded." placeholder:"FILE"`
	Artifacts        string   `aliases:"keep" help:"Write the settings and logs of the coordinators to this folder and keep them." placeholder:"DIR"`
	CompareBaselines bool     `aliases:"beside" help:"Play each scenario in virtual time with the coordinator and with two baselines (all backends, frozen tables) on the same seed, and compute an upper bound of the service."`
	Scale            float64  `help:"Factor that multiplies the numbers of backends and proxies." default:"1" placeholder:"X"`
	Search           int      `help:"Play N random scenarios of two to four faults in virtual time, and minimize those that violate an invariant." placeholder:"N"`
	Crashes          int      `aliases:"kills" help:"Add N kills of a coordinator's process to the scenario's faults, at times drawn from the seed; each coordinator restarts after about a second." placeholder:"N"`
	Seed             uint64   `help:"Seed to use instead of the scenario's; for a search, the first seed." placeholder:"N"`
}

// Run plays the scenarios one after the other, or searches for scenarios that violate an invariant.
func (c scenarioCmd) Run(ctx context.Context, cli *program) error {
	if c.Search > 0 {
		return c.search(ctx, cli)
	}
	names := c.scenarioNames()
	if c.CompareBaselines {
		return c.compareBaselines(ctx, cli, names)
	}
	var failed []string
	for _, name := range names {
		played, err := c.readScenario(name)
		if err != nil {
			return err
		}
		passed, err := c.playAndReport(ctx, cli, played)
		if err != nil {
			return err
		}
		if !passed {
			failed = append(failed, played.Name)
		}
		if ctx.Err() != nil {
			return errInterrupted
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("an invariant was violated or a state machine failed in: %s", strings.Join(failed, ", "))
	}
	return nil
}

// scenarioNames returns the names of the scenarios to play, with "incidents" expanded.
func (c scenarioCmd) scenarioNames() []string {
	switch {
	case len(c.Names) == 0:
		return []string{defaultScenario}
	case len(c.Names) == 1 && c.Names[0] == incidentScenarios:
		return scenario.Incidents()
	default:
		return c.Names
	}
}

// readScenario reads a scenario and applies --seed, --scale and --crashes to it.
func (c scenarioCmd) readScenario(name string) (*scenario.Scenario, error) {
	loaded, err := readScenario(name)
	if err != nil {
		return nil, err
	}
	if c.Seed > 0 {
		loaded.Seed = c.Seed
	}
	if c.Scale != 1 && c.Scale > 0 {
		loaded.Scale(c.Scale)
	}
	if c.Crashes > 0 {
		loaded.AddCoordinatorKills(c.Crashes)
	}
	return loaded, nil
}

// playAndReport plays a scenario, prints the result and writes the trace and the plot if the flags request them. passed is
// true if all invariants held and no state machine failed.
func (c scenarioCmd) playAndReport(ctx context.Context, cli *program, played *scenario.Scenario) (passed bool, err error) {
	result, err := c.play(ctx, cli, played)
	if err != nil {
		return false, err
	}
	if c.Trace != "" {
		if err := writeTrace(c.Trace, result.Records); err != nil {
			return false, err
		}
	}
	figures, err := scenarioFigures(played, &result)
	if err != nil {
		return false, err
	}
	if c.Plot != "" {
		if err := plot(c.Plot, played.Name, figures); err != nil {
			return false, err
		}
	}
	if c.JSON {
		if err := printResultJSON(cli.out, &result, figures); err != nil {
			return false, err
		}
	} else {
		printResult(cli.out, &result, c.Virtual)
		figures.WriteText(cli.out)
	}
	return !result.Report.Violated() && len(result.Failures) == 0, nil
}

// scenarioFigures computes the report of a played scenario. If the true state of the backends was sampled, the report
// includes the state of the fleet and the upper bound of the service.
func scenarioFigures(played *scenario.Scenario, result *scenario.Result) (*report.Report, error) {
	figures, err := report.Build(result.Records, played.Limits().Methods)
	if err != nil {
		return nil, fmt.Errorf("compute the report: %w", err)
	}
	truth := result.Truth
	if truth == nil {
		return figures, nil
	}
	bound, err := played.Bound(truth, result.Records)
	if err != nil {
		return nil, fmt.Errorf("compute the upper bound of the service: %w", err)
	}
	figures.Fleet = &report.Fleet{SampleInterval: scenario.SampleInterval, Capacity: truth.Capacity, Utilization: truth.Utilization, Queued: truth.Queued, AchievableService: bound.Share()}
	return figures, nil
}

// play plays a scenario in virtual time, or on loopback sockets with coordinators that run as child processes.
func (c scenarioCmd) play(ctx context.Context, cli *program, played *scenario.Scenario) (scenario.Result, error) {
	if c.Virtual {
		return scenario.PlayVirtual(played, scenario.Options{SampleTruth: true})
	}
	dir := c.Artifacts
	if dir == "" {
		temporary, err := os.MkdirTemp("", "gingerfork-scenario-")
		if err != nil {
			return scenario.Result{}, fmt.Errorf("create a folder for the coordinators: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporary) }() // if this fails, the system cleans up its folder of temporary files
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return scenario.Result{}, fmt.Errorf("create the folder for artifacts: %w", err)
	}
	exe, err := os.Executable()
	if err != nil {
		return scenario.Result{}, fmt.Errorf("find the executable, to start coordinators: %w", err)
	}
	if !c.JSON {
		fmt.Fprintf(cli.out, "%s: %d coordinators, %d backends, %d front ends on loopback sockets, %.0f s\n", played.Name, played.Coordinators,
			sum(played.Backends, func(g scenario.BackendGroup) int { return g.Count }), sum(played.Proxies, func(g scenario.ProxyGroup) int { return g.Count }), played.Duration)
	}
	command := []string{exe, "--log-format", "json", "serve"}
	return scenario.PlaySockets(ctx, played, scenario.CoordinatorCommand{Command: command, Env: coordinatorEnv, Dir: dir})
}

// coordinatorEnv is added to the environment of the child processes that run coordinators. Tests set it to make the test
// binary run as the program.
var coordinatorEnv []string

// sum returns the sum of n over the items.
func sum[T any](items []T, n func(T) int) (total int) {
	for _, item := range items {
		total += n(item)
	}
	return total
}
