package main

import (
	"context"
	"fmt"

	"gingerfork/internal/scenario"
)

// searchProgressScenarios is the number of scenarios after which a search prints its progress.
const searchProgressScenarios = 1000

// search plays random scenarios and prints those in which an invariant is violated or a state machine fails.
func (c scenarioCmd) search(ctx context.Context, cli *program) error {
	found := 0
	err := scenario.Search(ctx, max(c.Seed, 1), c.Search, func(finding scenario.Finding) {
		found++
		printFinding(cli, &finding)
	}, func(played int) {
		if played%searchProgressScenarios == 0 {
			fmt.Fprintf(cli.err, "%d of %d scenarios played\n", played, c.Search)
		}
	})
	if err != nil {
		return fmt.Errorf("search: %w", err)
	}
	fmt.Fprintf(cli.out, "%d scenarios played, %d violated an invariant or failed\n", c.Search, found)
	if found > 0 {
		return errInvariantViolated
	}
	return nil
}

// printFinding prints the violations and failures of a minimized scenario, and its text.
func printFinding(cli *program, finding *scenario.Finding) {
	fmt.Fprintf(cli.out, "seed %d: %s\n", finding.Seed, finding.Violation)
	for _, rule := range finding.Result.Report.Rules {
		if rule.Violations > 0 {
			fmt.Fprintf(cli.out, "  at %.3f, %s: %s\n", rule.FirstTime, rule.Party, rule.Reason)
		}
	}
	for _, failure := range finding.Result.Failures {
		fmt.Fprintf(cli.out, "  %s\n", failure)
	}
	fmt.Fprintf(cli.out, "%s\n", finding.Script)
}
