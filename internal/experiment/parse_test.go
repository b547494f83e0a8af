package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gingerfork/internal/scenario"
)

// A plan that would waste runs, or make none, is rejected as a whole, with every fault at its line.
func TestReadReportsFaults(t *testing.T) {
	for text, want := range map[string]string{
		"day evening\nfactor n 1 2":                                      "nothing uses the factor n",
		"day evening\nfactor n 1 1\nsay coordinators {n}":                "2: factor n has the value 1 twice",
		"day evening\nfactor n 1 2\nsay coordinators {n}\nseeds 1000000": "2000000 runs, 5000 at most",
		"day nowhere":                                     "nowhere",
		"seeds 3":                                         "it names no day",
		"day evening\nmeasure luck":                       "2: luck can't be measured; what can: falls",
		"day evening\nset proxies pick piar":              "did you mean pair?",
		"day evening\nset nothing pick pair":              "no such section",
		"day evening\nfactor x 10% lots\nload {x}":        `"lots" is no number above 0`,
		"day evening\nfactor n 1 0\nsay coordinators {n}": "arm n=0: evening:26: \"0\" is no whole number from 1 to 100",
		"day evening\nday deploy":                         "2: day stands here a second time, first at line 1",
		"day evening\nrun fast":                           "2: run is no word of a plan",
		"day evening\nsay coordinators {n}\nfactor n 1 2": "must stand before",
		"day evening\nseeds 3 5":                          "seeds takes a number",
	} {
		if _, err := Read("x.plan", text+"\n", scenario.File); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, wanted %q", text, err, want)
		}
	}
}

// The published plans, whose results docs/experiments quotes, can be read and make scenarios.
func TestReadPublishedPlans(t *testing.T) {
	plans, err := filepath.Glob("../../docs/experiments/*.plan")
	if err != nil || len(plans) < 5 {
		t.Fatal(plans, err)
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
