package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"gingerfork/internal/scenario"
)

// Indexes of scenario.Comparison.Results: the run with the coordinator, the baseline in which each proxy uses all backends,
// and the baseline whose tables do not change after the start.
const (
	withCoordinator = iota
	withAllBackends
	withFrozenTables
)

// compareBaselines plays the scenarios and prints a line for each: the service with the coordinator and with each baseline,
// its upper bound, and the violated invariants.
func (c scenarioCmd) compareBaselines(ctx context.Context, cli *program, names []string) error {
	scenarios := make([]*scenario.Scenario, 0, len(names))
	for _, name := range names {
		loaded, err := c.readScenario(name)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, loaded)
	}
	if !c.JSON {
		fmt.Fprintf(cli.out, "%-28s %11s %11s %11s %11s  %s\n", "scenario", "coordinator", "all servers", "frozen", "bound", "violated rules (coordinator; all servers; frozen)")
	}
	failed := false
	err := scenario.Compare(ctx, scenarios, func(compared scenario.Comparison) error {
		failed = failed || comparisonFailed(&compared)
		return c.printComparison(cli, &compared)
	})
	if err != nil {
		return err
	}
	if failed {
		return errComparisonFailed
	}
	return nil
}

// comparisonFailed reports whether the coordinator violated an invariant, or a state machine failed in any of the runs.
// Violations by the baselines are only printed.
func comparisonFailed(compared *scenario.Comparison) bool {
	for i := range compared.Results {
		if len(compared.Results[i].Failures) > 0 {
			return true
		}
	}
	return compared.Results[withCoordinator].Report.Violated()
}

// printComparison prints the results of one scenario as a row of the table or as a line of JSON.
func (c scenarioCmd) printComparison(cli *program, compared *scenario.Comparison) error {
	violations := make([]string, 0, len(compared.Results))
	for i := range compared.Results {
		violations = append(violations, violatedRules(&compared.Results[i]))
	}
	coordinator := &compared.Results[withCoordinator].Report
	service := coordinator.Service.Share()
	allBackends := compared.Results[withAllBackends].Report.Service.Share()
	frozen := compared.Results[withFrozenTables].Report.Service.Share()
	bound := compared.Bound.Share()
	if c.JSON {
		return json.NewEncoder(cli.out).Encode(map[string]any{
			"day": compared.Scenario.Name, "seed": compared.Scenario.Seed, "coordinator": service,
			"all_servers": allBackends, "frozen": frozen, "bound": bound,
			"rules_broken": violations, "rpcs": coordinator.Service.RPCs, "messages": coordinator.Pushes, "lines": coordinator.Entries,
		})
	}
	fmt.Fprintf(cli.out, "%-28s %11.3f %11.3f %11.3f %11.3f  %s\n", compared.Scenario.Name, service, allBackends, frozen, bound, strings.Join(violations, "; "))
	return nil
}

// violatedRules returns the numbers of the violated invariants, separated by commas, or "none".
func violatedRules(result *scenario.Result) string {
	var rules []string
	for _, checked := range result.Report.Rules {
		if checked.Violations > 0 {
			rules = append(rules, fmt.Sprint(checked.Rule))
		}
	}
	if len(rules) == 0 {
		return "none"
	}
	return strings.Join(rules, ",")
}
