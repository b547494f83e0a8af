package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
)

// searchRandomStream is the second word of the seed by which scripts are generated, so that their random numbers differ from
// others of the same seed.
const searchRandomStream = 1

// machineFailureViolation is the violation of a run in which a state machine failed.
const machineFailureViolation = "defect"

// durationPlaceholder is replaced by a random duration in stepTemplates.
const durationPlaceholder = "%s"

// Finding is a generated script in whose run a rule was violated or a state machine failed.
type Finding struct {
	Seed      uint64
	Violation string // "rule N" or "defect"
	Script    string // minimized
	Result    Result
}

// stepTemplates are the steps that generated scripts consist of: all verbs except silence, each with all of its targets.
var stepTemplates = []string{
	"deploy servers 60% drain 3s down 1s every 1s",
	"deploy servers 30% drain 1s down 2s every 200ms",
	"kill coordinators 1 for %s",
	"kill coordinators all for %s",
	"stall coordinators 1 for %s",
	"kill frontends 40% for %s",
	"stall frontends 1 for %s",
	"kill servers 30% for %s",
	"vanish servers 2 for %s",
	"hang servers 2 for %s",
	"hang servers 50% for %s",
	"fast servers 2 for %s",
	"part servers 40% by 50% for %s",
	"method servers 3 by submit for %s",
	"from servers 60% by 0 for %s",
	"slow servers 30% by 4 for %s",
	"slow servers all by 2 for %s",
	"dear servers 40% by 8 for %s",
	"shake servers all by 200ms for %s",
	"conns servers 50% by 2 for %s",
	"pauses servers 40% by 300ms for %s",
	"flap servers 2 by 1500ms for %s",
	"slow streams by 4 for %s",
	"late streams by 1200ms for %s",
	"break streams 50%",
	"break streams all",
	"late list by 2s for %s",
	"stale list for %s",
	"empty list for %s",
	"one list for %s",
	"fail list for %s",
	"cut zone dc-malaga for %s",
	"cut zone dc-kewdale for %s",
	"cut servers 2 for %s",
	"cut list for %s",
	"lose zone dc-malaga for %s",
	"load frontends all by 160% for %s",
	"load frontends 1 by 400% for %s",
}

// RandomScript generates a script with two to four steps. It depends on nothing but the seed.
func RandomScript(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, searchRandomStream))
	var text strings.Builder
	fmt.Fprintf(&text, "day search-%d\nsettings perth.conf\nlength 30s\nseed %d\ncoordinators %d\n", seed, seed%1000+1, 1+random.IntN(3))
	fmt.Fprintf(&text, "servers %d zone dc-kewdale capacity 30\nservers %d zone dc-malaga capacity 30\n", 3+random.IntN(4), 2+random.IntN(4))
	fmt.Fprintf(&text, "frontends %d zone dc-kewdale rate %d\nfrontends %d zone dc-malaga rate %d\n",
		1+random.IntN(4), 6+random.IntN(12), 1+random.IntN(4), 6+random.IntN(12))
	fmt.Fprintf(&text, "mix 70%% 30%%\n")
	for range 2 + random.IntN(3) {
		template := stepTemplates[random.IntN(len(stepTemplates))]
		duration := fmt.Sprintf("%dms", 500+random.IntN(12)*500)
		fmt.Fprintf(&text, "at %dms %s\n", 2000+random.IntN(80)*250, strings.ReplaceAll(template, durationPlaceholder, duration))
	}
	return text.String()
}

// playScript plays a script in virtual time and returns its violation: "rule N" for the first violated rule, "defect" if a state
// machine failed, "" if there is none.
func playScript(script string) (violation string, result Result, err error) {
	scenario, err := Read("search.day", script, File)
	if err != nil {
		return "", Result{}, err
	}
	result, err = PlayVirtual(scenario, Options{})
	if err != nil {
		return "", result, err
	}
	if len(result.Failures) > 0 {
		return machineFailureViolation, result, nil
	}
	for _, verdict := range result.Report.Rules {
		if verdict.Violations > 0 {
			return ruleViolation(verdict.Rule), result, nil
		}
	}
	return "", result, nil
}

func ruleViolation(rule int) string { return fmt.Sprintf("rule %d", rule) }

// searchOutcome is the outcome of the script of one seed.
type searchOutcome struct {
	finding *Finding // nil: no violation
	err     error
}

// Search plays the random scripts of count seeds from the first one on, on all cores, and minimizes those with a violation. It
// calls found with each finding in the order of seeds, and played with the number of seeds done so far. The same seeds give the
// same findings. It returns the error of ctx if that ends first, else the first error of a seed.
func Search(ctx context.Context, first uint64, count int, found func(Finding), played func(int)) error {
	outcomes := make([]chan searchOutcome, count)
	for i := range outcomes {
		outcomes[i] = make(chan searchOutcome, 1)
	}
	indexes := make(chan int)
	var workers sync.WaitGroup
	defer workers.Wait()
	startWorkers(&workers, indexes, func(i int) { outcomes[i] <- searchSeed(first + uint64(i)) })
	workers.Add(1)
	go func() {
		defer workers.Done()
		defer close(indexes)
		sendIndexes(ctx, count, indexes)
	}()
	var firstErr error
	for i := range count {
		select {
		case outcome := <-outcomes[i]:
			if outcome.err != nil && firstErr == nil {
				firstErr = fmt.Errorf("seed %d: %w", first+uint64(i), outcome.err)
			}
			if outcome.finding != nil {
				found(*outcome.finding)
			}
			played(i + 1)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return firstErr
}

// sendIndexes sends the numbers from 0 to count-1 to a channel, until the end of ctx.
func sendIndexes(ctx context.Context, count int, indexes chan<- int) {
	for i := range count {
		select {
		case indexes <- i:
		case <-ctx.Done():
			return
		}
	}
}

// searchSeed plays the script of a seed, and minimizes it if there is a violation.
func searchSeed(seed uint64) searchOutcome {
	script := RandomScript(seed)
	violation, result, err := playScript(script)
	if err != nil || violation == "" {
		return searchOutcome{err: err}
	}
	script, result = Minimize(script, violation, result)
	return searchOutcome{finding: &Finding{Seed: seed, Violation: violation, Script: script, Result: result}}
}
