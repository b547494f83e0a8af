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

// sample returns the text of a file in the folder samples.
func sample(t testing.TB, name string) string {
	t.Helper()
	text, err := samples.ReadFile("samples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// read imports a text as file a.cfg, with some variables.
func read(text string) Import {
	return Read([]Source{{"a.cfg", text}}, Environment{Variables: map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""}})
}

// joinWords returns the arguments of a line, separated by |.
func joinWords(l Line) string { return strings.Join(l.Words(), "|") }

// formatServers returns name, address, weight and state of the listed servers of a pool.
func formatServers(p Pool) string {
	var servers []string
	for _, s := range p.ListedServers() {
		servers = append(servers, fmt.Sprintf("%s %s %d %s", s.Name, s.Addr, s.Weight, s.State))
	}
	return strings.Join(servers, "; ")
}

// expectation is the expected result of importing a sample, as stated in its comments.
type expectation struct {
	pools  []poolExpectation
	faults []string
}

// poolExpectation is the expected name, pick policy and servers of a pool; the servers are in the form of formatServers.
type poolExpectation struct{ name, pick, list string }

// parseExpectation parses the comments of a sample: "#! pool NAME PICK: LIST" and "#! refused :LINE: MESSAGE".
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

// TestSamples checks the import of each sample against its comments, and that the settings of its pools are valid.
func TestSamples(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil || len(files) < 20 {
		t.Fatalf("got %d samples, want at least 20; error %v", len(files), err)
	}
	for _, file := range files {
		text := sample(t, file.Name())
		got, want := read(text), parseExpectation(text)
		if len(want.pools)+len(want.faults) == 0 {
			t.Errorf("%s: no expected result in its comments", file.Name())
		}
		var faults []string
		for _, fault := range got.Faults {
			faults = append(faults, strings.TrimPrefix(fault.String(), "a.cfg"))
		}
		if strings.Join(faults, "\n") != strings.Join(want.faults, "\n") {
			t.Errorf("%s: got faults %q, want %q", file.Name(), faults, want.faults)
		}
		pools := map[string]Pool{}
		for _, pool := range got.Pools {
			pools[pool.Name] = pool
		}
		for _, expected := range want.pools {
			pool := pools[expected.name]
			if formatServers(pool) != expected.list || pool.Pick != expected.pick {
				t.Errorf("%s, pool %s: got pick %s, servers %s; want pick %s, servers %s", file.Name(), expected.name, pool.Pick, formatServers(pool), expected.pick, expected.list)
			}
			requireValidSettings(t, file.Name(), pool, got.Routes)
		}
	}
}

// requireValidSettings checks that the settings of a pool can be parsed without faults.
func requireValidSettings(t *testing.T, file string, pool Pool, routes []route.Route) {
	t.Helper()
	lines, faults := bootstrap.Lex("out.conf", pool.Settings(routes))
	if _, parseFaults := bootstrap.Parse("out.conf", lines); len(faults)+len(parseFaults) > 0 {
		t.Errorf("%s, pool %s: faults in its settings: %v %v", file, pool.Name, faults, parseFaults)
	}
}
