package experiment

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/internal/scenario"
)

const smallPlan = `experiment small
day evening
factor n 1 2
factor pick lottery pair
seeds 3 from 5
measure service messages
set proxies pick {pick}
say coordinators {n}
say length 12s
`

func readPlan(t *testing.T, text string) *Plan {
	t.Helper()
	plan, err := Read("small.plan", text, scenario.File)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func readFile(t *testing.T, elements ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(elements...))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// The report of a plan is the same with one worker and with four.
func TestReportDoesNotDependOnWorkers(t *testing.T) {
	plan := readPlan(t, smallPlan)
	var reports []string
	for _, workers := range []int{1, 4} {
		dir := t.TempDir()
		runs, err := plan.Execute(context.Background(), dir, "c", workers, func(Progress) {})
		if err != nil || len(runs) != 12 {
			t.Fatalf("%d workers: %d runs and error %v, want 12 runs", workers, len(runs), err)
		}
		if err := plan.WriteReport(dir, runs); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, readFile(t, dir, "runs.csv")+readFile(t, dir, "report.md")+readFile(t, dir, "service.png"))
	}
	if reports[0] != reports[1] {
		t.Error("the reports with one worker and with four differ")
	}
}

// The settings that a plan changes and the lines that it adds take effect in the scenario of an arm.
func TestScenarioOfArm(t *testing.T) {
	armScenario, err := readPlan(t, smallPlan).Scenario(Arm{"2", "lottery"}, 9)
	if err != nil || armScenario.Coordinators != 2 || armScenario.Seed != 9 || armScenario.Settings.Values["pick"] != "lottery" || armScenario.Duration != 12 {
		t.Errorf("the scenario of the arm is %+v, error %v", armScenario, err)
	}
}

// executeInterrupted executes a plan until five runs are done, then truncates the last line of the file of finished runs as a crash
// might. It returns how many runs the file had before.
func executeInterrupted(t *testing.T, plan *Plan, dir string) (finished int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := plan.Execute(ctx, dir, "c", 1, func(progress Progress) {
		if progress.Done == 5 {
			cancel()
		}
	})
	if err == nil || !strings.Contains(err.Error(), "finished runs are kept") {
		t.Fatal(err)
	}
	lines := readFile(t, dir, RunsName)
	finished = strings.Count(lines, "\n")
	if finished < 5 || finished > 6 {
		t.Fatalf("%d runs in the file, want 5 or 6", finished)
	}
	if err := os.WriteFile(filepath.Join(dir, RunsName), []byte(lines[:len(lines)-20]), 0o644); err != nil {
		t.Fatal(err)
	}
	return finished
}

// After a crash, finished runs are not played again, but a run whose line was truncated is. The result is that of an execution
// without a crash. Runs of another plan or program are not reused.
func TestExecuteResumes(t *testing.T) {
	plan := readPlan(t, smallPlan)
	uninterrupted, err := plan.Execute(context.Background(), t.TempDir(), "c", 2, func(Progress) {})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	finished := executeInterrupted(t, plan, dir)
	resumed := -1
	runs, err := plan.Execute(context.Background(), dir, "c", 2, func(progress Progress) {
		if resumed < 0 {
			resumed = progress.Resumed
		}
	})
	if err != nil || resumed != finished-1 {
		t.Fatalf("%d runs of %d resumed: %v", resumed, finished, err)
	}
	for i := range runs {
		runs[i].Seconds, uninterrupted[i].Seconds = 0, 0
	}
	if diff := cmp.Diff(uninterrupted, runs); diff != "" {
		t.Errorf("the runs differ from those of an execution without a crash: %s", diff)
	}
	for _, other := range []struct{ text, commit string }{{smallPlan, "d"}, {smallPlan + "# another\n", "c"}} {
		requireNoneFinished(t, filepath.Join(dir, RunsName), readPlan(t, other.text), other.commit)
	}
}

// requireNoneFinished fails the test if runs in a file are accepted as those of the given plan and program.
func requireNoneFinished(t *testing.T, name string, plan *Plan, commit string) {
	t.Helper()
	file, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if runs, err := plan.readFinishedRuns(file, commit); err != nil || len(runs) > 0 {
		t.Errorf("%d runs of another plan or program were accepted: %v", len(runs), err)
	}
}
