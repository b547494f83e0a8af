package haproxy

import (
	"embed"
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

//go:embed samples
var samples embed.FS

func sample(t testing.TB, name string) string {
	t.Helper()
	text, err := samples.ReadFile("samples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// read imports a text as a.cfg.
func read(text string) Import {
	return Read([]Source{{"a.cfg", text}}, Environment{Variables: map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""}})
}

func texts(l Line) string { return strings.Join(l.Words(), "|") }

// listed is a pool's endpoint list in short.
func listed(p Pool) string {
	var all []string
	for _, s := range p.ListedServers() {
		all = append(all, fmt.Sprintf("%s %s %d %s", s.Name, s.Addr, s.Weight, s.State))
	}
	return strings.Join(all, "; ")
}

// expectation is what a sample says in its comments is to come of it.
type expectation struct {
	pools  []poolExpectation
	faults []string
}

type poolExpectation struct{ name, pick, list string }

// parseExpectation reads the comments of a sample: "#! pool NAME PICK: LIST" and "#! refused :LINE: MESSAGE".
func parseExpectation(text string) (want expectation) {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if fault, found := strings.CutPrefix(line, "#! refused "); found {
			want.faults = append(want.faults, fault)
		} else if pool, found := strings.CutPrefix(line, "#! pool "); found {
			head, list, _ := strings.Cut(pool, ": ")
			name, pick, _ := strings.Cut(head, " ")
			want.pools = append(want.pools, poolExpectation{name, pick, list})
		}
	}
	return want
}

// TestSamples checks each sample against its comments, and that the settings of its pools are valid.
func TestSamples(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d samples, %v", len(files), err)
	}
	for _, file := range files {
		text := sample(t, file.Name())
		got, want := read(text), parseExpectation(text)
		if len(want.pools)+len(want.faults) == 0 {
			t.Errorf("%s: it does not say what is to come of it", file.Name())
		}
		var faults []string
		for _, fault := range got.Faults {
			faults = append(faults, strings.TrimPrefix(fault.String(), "a.cfg"))
		}
		if strings.Join(faults, "\n") != strings.Join(want.faults, "\n") {
			t.Errorf("%s: faults %q, %q wanted", file.Name(), faults, want.faults)
		}
		pools := map[string]Pool{}
		for _, pool := range got.Pools {
			pools[pool.Name] = pool
		}
		for _, expected := range want.pools {
			pool := pools[expected.name]
			if listed(pool) != expected.list || pool.Pick != expected.pick {
				t.Errorf("%s, pool %s: %s, %s; %s, %s wanted", file.Name(), expected.name, pool.Pick, listed(pool), expected.pick, expected.list)
			}
			requireValidSettings(t, file.Name(), pool, got.Routes)
		}
	}
}

func requireValidSettings(t *testing.T, file string, pool Pool, routes []route.Route) {
	t.Helper()
	lines, faults := bootstrap.Lex("out.conf", pool.Settings(routes))
	if _, more := bootstrap.Parse("out.conf", lines); len(faults)+len(more) > 0 {
		t.Errorf("%s, pool %s: its settings are at fault: %v %v", file, pool.Name, faults, more)
	}
}
