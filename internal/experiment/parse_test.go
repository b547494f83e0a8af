package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gingerfork/internal/scenario"
)

// A plan that would waste runs, or have none, is rejected, and each fault is reported with its line.
func TestReadReportsFaults(t *testing.T) {
	for text, want := range map[string]string{
		"day evening\nfactor n 1 2":                                      "factor n is not used",
		"day evening\nfactor n 1 1\nsay coordinators {n}":                "2: factor n has the value 1 twice",
		"day evening\nfactor n 1 2\nsay coordinators {n}\nseeds 1000000": "the plan has 2000000 runs, but at most 5000 are allowed",
		"day nowhere":                                     "nowhere",
		"seeds 3":                                         "the plan names no scenario",
		"day evening\nmeasure luck":                       "2: unknown measure luck; known measures: falls",
		"day evening\nset proxies pick piar":              "did you mean pair?",
		"day evening\nset nothing pick pair":              "no such section",
		"day evening\nfactor x 10% lots\nload {x}":        `"lots" is not a number above 0`,
		"day evening\nfactor n 1 0\nsay coordinators {n}": "arm n=0: evening:26: \"0\" is not a whole number from 1 to 100",
		"day evening\nday deploy":                         "2: day is repeated, first at line 1",
		"day evening\nrun fast":                           "2: unknown keyword run; a plan has",
		"day evening\nsay coordinators {n}\nfactor n 1 2": "define it before a line that uses it",
		"day evening\nseeds 3 5":                          "seeds takes a number",
	} {
		if _, err := Read("x.plan", text+"\n", scenario.File); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, wanted %q", text, err, want)
		}
	}
}

// The published plans, whose results are in docs/experiments, are valid, and so are the scenarios of their arms.
func TestReadPublishedPlans(t *testing.T) {
	plans, err := filepath.Glob("../../docs/experiments/*.plan")
	if err != nil || len(plans) < 5 {
		t.Fatalf("found the plans %v, error %v, want at least 5", plans, err)
	}
	for _, file := range plans {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read(file, string(text), func(name string) ([]byte, error) {
			if data, err := os.ReadFile(filepath.Join(filepath.Dir(file), name)); err == nil {
				return data, nil
			}
			return scenario.File(name)
		}); err != nil {
			t.Error(err)
		}
	}
}
