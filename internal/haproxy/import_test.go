package haproxy

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestForbiddenNames checks that a name or an address which would become other lines of the written files is refused.
func TestForbiddenNames(t *testing.T) {
	for text, want := range map[string]string{
		"backend \"a\\nproxies\"\nserver s 1.1.1.1:1\n":                         `a.cfg:1: "\n" is not permitted in the name of a backend`,
		"backend a\nserver \"s \\n\" 1.1.1.1:1\n":                               `a.cfg:2: server s`,
		"backend a\nserver s \"unix@/a\\nserver 2\"\n":                          "a.cfg:2: server s: its address has a control character",
		"backend 'a b'\nserver s 1.1.1.1:1\nlisten ../up\nserver s 1.1.1.1:1\n": `a.cfg:1: " " is not permitted in the name of a backend`,
	} {
		got := read(text)
		if len(got.Faults) == 0 || !strings.HasPrefix(got.Faults[0].String(), want) {
			t.Errorf("%q: %v, %s wanted", text, got.Faults, want)
		}
	}
}

// TestFaults checks that each fault is reported once, at its line.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"backend a\nserver x 1.1.1.1:1\nserver x 1.1.1.2:1":                    "a.cfg:3: server x is listed twice in a, first at line 2",
		"backend a\nserver-template x 2 h:1\nserver x2 1.1.1.2:1":              "a.cfg:3: server x2 is listed twice",
		"backend a\nserver x 1.1.1.1:1 id 5\nserver y 1.1.1.2:1 id 5":          "a.cfg:3: id 5 of server y",
		"backend a\nserver x 1.1.1.1:1 weight 0":                               "a.cfg:1: the weights of a sum to nothing",
		"backend a\nserver x 1.1.1.1:1 disabled":                               "a.cfg:1: a has no server in use",
		"backend a\nmode tcp":                                                  "a.cfg:1: a has no servers",
		"frontend f\nuse_backend b if TRUE":                                    "a.cfg:2: use_backend b: there is no such backend",
		"backend a\nserver x 1.1.1.1:1 track y\nserver y 1.1.1.1:1 track x":    "a.cfg:2: server x tracks itself in a circle",
		"backend a\nserver x 1.1.1.1:1 track b/y":                              "a.cfg:2: server x tracks b/y, which does not exist",
		"backend a\nserver x 1.1.1.1:1\nuse-server x if nope":                  "a.cfg:3: ACL nope is used and not defined",
		"defaults d from d\nbackend a\nserver x 1.1.1.1:1":                     "a.cfg:1: defaults d follow themselves",
		"backend a\nserver x 1.1.1.1":                                          "a.cfg:2: server x: 1.1.1.1 has no port",
		"backend a\nserver x 1.1.1.1:1 weight 257":                             `a.cfg:2: weight: "257" is no whole number from 0 to 256`,
		"backend a\nserver x 1.1.1.1:1 slowstart soon":                         "a.cfg:2: slowstart:",
		"backend a\nserver x 1.1.1.1:1 weight":                                 "a.cfg:2: weight needs a value",
		".if 1\nbackend a\nserver x 1.1.1.1:1":                                 "a.cfg:1: an .if that is never closed",
		".if what(1)\n.endif\nbackend a\nserver x 1.1.1.1:1":                   "a.cfg:1: .if: predicate what",
		".alert no\nbackend a\nserver x 1.1.1.1:1":                             "a.cfg:1: .alert: no",
		"backend a\nserver x 1.1.1.1:1\nstick-table type ip size 1q expire 5m": `a.cfg:3: stick-table size: "1q" is no size`,
		"backend a\nserver x 1.1.1.1:1\nstick-table type ip size 1m expire 5x": `a.cfg:3: stick-table expire: "5x" is no time`,
		"server x 1.1.1.1:1":                                                   "a.cfg:1: server before any section",
		"frontend f\nserver x 1.1.1.1:1":                                       "a.cfg:2: server in a frontend section",
		"backend a\nserver x 1.1.1.1:1\nbackend a\nserver x 1.1.1.1:1":         "a.cfg:3: backend a is at line 1 already",
		"backend a\nserver x 1.1.1.1:+1":                                       "a.cfg:2: server x: a port relative",
		"backend a\nserver x 1.1.1.1:1-3":                                      "a.cfg:2: server x: a server has one port",
	} {
		got := read(text)
		if len(got.Faults) != 1 || !strings.HasPrefix(got.Faults[0].String(), want) {
			t.Errorf("%q: %v, %s wanted", text, got.Faults, want)
		}
	}
}

// TestDefaults checks that anonymous defaults change in mid-file, that from names defaults, and that a section's own lines
// override what it inherits.
func TestDefaults(t *testing.T) {
	got := read("defaults\ndefault-server weight 5\nbackend a\nserver x 1.1.1.1:1\ndefaults base\ndefault-server weight 7 disabled\nbackend b\nserver x 1.1.1.1:1 enabled\n" +
		"defaults more from base\nbalance leastconn\nbackend c from more\ndefault-server no-disabled\nserver x 1.1.1.1:1 weight 9\nserver y 1.1.1.1:2\n")
	want := []string{"x 1.1.1.1:1 5 open", "x 1.1.1.1:1 7 open", "x 1.1.1.1:1 9 open; y 1.1.1.1:2 7 open"}
	for i, p := range got.Pools {
		if listed(p) != want[i] {
			t.Errorf("%s: %s, %s wanted", p.Name, listed(p), want[i])
		}
	}
	if len(got.Pools) != 3 || len(got.Faults) > 0 || got.Pools[2].Pick != "pair" {
		t.Errorf("%+v", got)
	}
}

// requireAllReported checks that each word of each line is in a note, or its line has a fault.
func requireAllReported(check interface{ Fatalf(string, ...any) }, got Import) {
	reported := map[Position]bool{}
	for _, note := range got.Notes {
		position := note.Line.Position
		for _, token := range note.Line.Tokens {
			position.Column = token.Column
			reported[position] = true
		}
	}
	faulty := map[Position]bool{}
	for _, fault := range got.Faults {
		faulty[Position{fault.File, fault.Line, 0}] = true
	}
	for _, file := range got.Files {
		for _, line := range file.Lines {
			for _, token := range line.Tokens {
				if !reported[Position{file.Name, line.Line, token.Column}] && !faulty[Position{file.Name, line.Line, 0}] {
					check.Fatalf("%s: nothing is reported of %q", line.Position, token.Text)
				}
			}
		}
	}
}

// TestEveryWordIsReported checks samples and mutations of them.
func TestEveryWordIsReported(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range files {
		requireAllReported(t, read(sample(t, f.Name())))
		if f.Name() != "many.cfg" { // long, and of one kind
			names = append(names, f.Name())
		}
	}
	rapid.Check(t, func(check *rapid.T) {
		text := sample(t, rapid.SampledFrom(names).Draw(check, "file"))
		for range rapid.IntRange(1, 6).Draw(check, "mutations") {
			at := rapid.IntRange(0, len(text)).Draw(check, "at")
			end := min(len(text), at+rapid.IntRange(0, 12).Draw(check, "length"))
			text = text[:at] + rapid.StringOf(rapid.SampledFrom([]rune("ab1 \n\t\"'\\${}#.:[]!"))).Draw(check, "in") + text[end:]
		}
		got := read(text)
		requireAllReported(check, got)
		if back := got.Files[0].Text(); back != text {
			check.Fatalf("written back %q", back)
		}
	})
}

// TestWeightsAreImported checks that generated files import to the weights that they were made with, and that the same text
// gives the same result again.
func TestWeightsAreImported(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		var file, want strings.Builder
		pools := rapid.IntRange(1, 5).Draw(check, "pools")
		for pool := range pools {
			fmt.Fprintf(&file, "backend p%d\n", pool)
			for server := range rapid.IntRange(1, 8).Draw(check, "servers") {
				weight := rapid.IntRange(1, 256).Draw(check, "weight")
				options := rapid.SampledFrom([]string{"", "check", "check inter 5s", "maxconn 9"}).Draw(check, "more")
				fmt.Fprintf(&file, "  server s%d 10.0.%d.%d:80 %s weight %d\n", server, pool, server, options, weight)
				fmt.Fprintf(&want, "%d/%d=%d ", pool, server, weight)
			}
		}
		one, two := read(file.String()), read(file.String())
		var got strings.Builder
		for i, pool := range one.Pools {
			for number, server := range pool.Servers {
				fmt.Fprintf(&got, "%d/%d=%d ", i, number, server.Weight)
			}
			if pool.EndpointList() != two.Pools[i].EndpointList() || pool.Settings(one.Routes) != two.Pools[i].Settings(two.Routes) {
				check.Fatal("the same text was written otherwise")
			}
		}
		if got.String() != want.String() || len(one.Faults) > 0 {
			check.Fatalf("%s, %s wanted; %v", got.String(), want.String(), one.Faults)
		}
	})
}

// TestImportIsStable checks that a list that is written as HAProxy configuration and imported again is the same.
func TestImportIsStable(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		one := read(sample(t, file.Name()))
		if len(one.Faults) > 0 {
			continue
		}
		var b strings.Builder
		for _, p := range one.Pools {
			fmt.Fprintf(&b, "backend %s\n", p.Name)
			for _, s := range p.ListedServers() {
				fmt.Fprintf(&b, "server %s %s weight %d\n", s.Name, s.Addr, s.Weight)
			}
		}
		two := read(b.String())
		if d := Diff(one, two); len(two.Faults) > 0 || len(d) > 0 || len(one.Pools) != len(two.Pools) {
			t.Errorf("%s: %v %v", file.Name(), two.Faults, d)
		}
		for i, p := range one.Pools {
			if a, b := p.ServerNumbers(), two.Pools[i].ServerNumbers(); a[p.ListedServers()[0].Name] != b[p.ListedServers()[0].Name] {
				t.Errorf("%s, pool %s: other numbers", file.Name(), p.Name)
			}
		}
	}
}

// TestDiff checks the changes between two imports, and that servers keep their numbers.
func TestDiff(t *testing.T) {
	old := read("backend a\nserver x 1.1.1.1:1 weight 2\nserver y 1.1.1.2:1\nserver z 1.1.1.3:1\n")
	now := read("backend a\nserver x 1.1.1.1:1 weight 3\nserver z 1.1.1.3:1\nserver n 1.1.1.4:1\nbackend b\nserver z 1.1.1.3:1\n")
	var all []string
	for _, c := range Diff(old, now) {
		all = append(all, fmt.Sprintf("%s/%s %q %q", c.Pool, c.Server, c.Before, c.After))
	}
	want := `a/n "" "weight 1 addr 1.1.1.4:1 state open"; a/x "weight 2 addr 1.1.1.1:1 state open" "weight 3 addr 1.1.1.1:1 state open"; a/y "weight 1 addr 1.1.1.2:1 state open" ""; b/z "" "weight 1 addr 1.1.1.3:1 state open"`
	if got := strings.Join(all, "; "); got != want {
		t.Errorf("%s\n%s wanted", got, want)
	}
	if a, b := old.Pools[0].ServerNumbers(), now.Pools[0].ServerNumbers(); a["x"] != b["x"] || a["z"] != b["z"] {
		t.Error("servers that stayed have other numbers")
	}
}

// FuzzRead checks that every word of any text is reported and that the file is kept as it was.
func FuzzRead(f *testing.F) {
	for _, name := range []string{"webfarm.cfg", "backups.cfg", "blocks.cfg"} {
		f.Add(sample(f, name))
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := read(text)
		requireAllReported(t, got)
		if got.Files[0].Text() != text {
			t.Fatal("it is not written back as it was")
		}
	})
}
