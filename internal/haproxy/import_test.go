package haproxy

import (
	"embed"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/internal/bootstrap"
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

func read(text string) Import {
	return Read([]Source{{"a.cfg", text}}, Environment{Variables: map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""}})
}

func texts(l Line) string { return strings.Join(l.Words(), "|") }

// Quotes, escapes, variables and comments, as the manual's 2.2 and 2.3 have them.
func TestLexer(t *testing.T) {
	for in, want := range map[string]string{
		`a b`:                              "a|b",
		`a\ b c#d e`:                       "a b|c",
		`a "b # 'c' \"d\"" e`:              `a|b # 'c' "d"|e`,
		`a 'b "c" \n $SITE'`:               `a|b "c" \n $SITE`,
		`a "$SITE" "${SITE}x" "${NO-d e}"`: "a|perth|perthx|d e",
		`a "${EMPTY-x}" ""`:                "a||",
		`a "x${LIST[*]}y" b`:               "a|xa|b|cy|b",
		`a $SITE`:                          "a|$SITE",
		`a \x41\x4 \# \.`:                  `a|A\x4|#|\.`,
		`a"b"'c'd`:                         "abcd",
		"  \t# only":                       "",
		`a "\$SITE" "5$"`:                  "a|$SITE|5$",
	} {
		f, faults := lexFile("a", in, map[string]string{"SITE": "perth", "LIST": "a b  c", "EMPTY": ""})
		got := ""
		if len(f.Lines) > 0 {
			got = texts(f.Lines[0])
		}
		if got != want || len(faults) > 0 {
			t.Errorf("%s: %q, %q wanted; %v", in, got, want, faults)
		}
	}
	for in, want := range map[string]string{
		`a "b`: "weak quote", `a 'b`: "strong quote", `a "${NO}"`: "variable NO is not given", `a "${SITE"`: "brace is never closed",
		`a "${}"`: "without a name", strings.Repeat("x ", 65): "65 arguments",
	} {
		if _, faults := lexFile("a", "fine\n"+in+"\nfine\n", map[string]string{"SITE": "x"}); len(faults) != 1 || !strings.Contains(faults[0].Message, want) || faults[0].Line != 2 {
			t.Errorf("%s: %v", in, faults)
		}
	}
}

func listed(p Pool) string {
	var all []string
	for _, s := range p.Listed() {
		all = append(all, fmt.Sprintf("%s %s %d %s", s.Name, s.Addr, s.Weight, s.State))
	}
	return strings.Join(all, "; ")
}

// A name or an address that would become other lines of what is written is refused.
func TestStrangeNames(t *testing.T) {
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

// Each sample says in its first lines what is to come of it: #! pool NAME PICK: its list, or #! refused :LINE: why.
func TestSamples(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d samples, %v", len(files), err)
	}
	for _, file := range files {
		text := sample(t, file.Name())
		got := read(text)
		var refused []string
		for _, f := range got.Faults {
			refused = append(refused, strings.TrimPrefix(f.String(), "a.cfg"))
		}
		pools := map[string]Pool{}
		for _, p := range got.Pools {
			pools[p.Name] = p
		}
		said := 0
		var want []string
		for l := range strings.Lines(text) {
			l = strings.TrimSpace(l)
			if rest, ok := strings.CutPrefix(l, "#! refused "); ok {
				want = append(want, rest)
				said++
			} else if rest, ok := strings.CutPrefix(l, "#! pool "); ok {
				said++
				head, list, _ := strings.Cut(rest, ": ")
				name, pick, _ := strings.Cut(head, " ")
				p := pools[name]
				if listed(p) != list || p.Pick != pick {
					t.Errorf("%s, pool %s: %s, %s; %s, %s wanted", file.Name(), name, p.Pick, listed(p), pick, list)
				}
				lines, faults := bootstrap.Lex("out.conf", p.Settings(got.Routes))
				if _, more := bootstrap.Parse("out.conf", lines); len(faults)+len(more) > 0 {
					t.Errorf("%s, pool %s: its settings are at fault: %v %v", file.Name(), name, faults, more)
				}
			}
		}
		if strings.Join(refused, "\n") != strings.Join(want, "\n") || said == 0 {
			t.Errorf("%s: refused %q, %q wanted", file.Name(), refused, want)
		}
	}
}

// What can't stand is refused, at its line, and what stands beside it is still read.
func TestRefused(t *testing.T) {
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

// Anonymous defaults change in mid-file, named ones are followed through from, a section's own lines come last.
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

// accounted tells whether each word of each line is in a note, or its line is at fault.
func accounted(t interface{ Fatalf(string, ...any) }, got Import) {
	type at struct {
		file string
		line int
		col  int
	}
	told := map[at]bool{}
	for _, n := range got.Notes {
		for _, k := range n.Line.Tokens {
			told[at{n.Line.File, n.Line.Line, k.Column}] = true
		}
	}
	for _, f := range got.Faults {
		told[at{f.File, f.Line, 0}] = true
	}
	for _, f := range got.Files {
		for _, l := range f.Lines {
			for _, k := range l.Tokens {
				if !told[at{f.Name, l.Line, k.Column}] && !told[at{f.Name, l.Line, 0}] {
					t.Fatalf("%s: nothing is said of %q", l.Position, k.Text)
				}
			}
		}
	}
}

func TestNothingVanishes(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range files {
		accounted(t, read(sample(t, f.Name())))
		if f.Name() != "many.cfg" { // long, and of one kind
			names = append(names, f.Name())
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		text := sample(t, rapid.SampledFrom(names).Draw(rt, "file"))
		for range rapid.IntRange(1, 6).Draw(rt, "mutations") {
			at := rapid.IntRange(0, len(text)).Draw(rt, "at")
			end := min(len(text), at+rapid.IntRange(0, 12).Draw(rt, "length"))
			text = text[:at] + rapid.StringOf(rapid.SampledFrom([]rune("ab1 \n\t\"'\\${}#.:[]!"))).Draw(rt, "in") + text[end:]
		}
		got := read(text)
		accounted(rt, got)
		if back := got.Files[0].Text(); back != text {
			rt.Fatalf("written back %q", back)
		}
	})
}

// Generated files import to the weights that they were made with, and the same text gives the same again.
func TestWeightsAsWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var b, want strings.Builder
		pools := rapid.IntRange(1, 5).Draw(rt, "pools")
		for p := range pools {
			fmt.Fprintf(&b, "backend p%d\n", p)
			for s := range rapid.IntRange(1, 8).Draw(rt, "servers") {
				w := rapid.IntRange(1, 256).Draw(rt, "weight")
				fmt.Fprintf(&b, "  server s%d 10.0.%d.%d:80 %s weight %d\n", s, p, s, rapid.SampledFrom([]string{"", "check", "check inter 5s", "maxconn 9"}).Draw(rt, "more"), w)
				fmt.Fprintf(&want, "%d/%d=%d ", p, s, w)
			}
		}
		one, two := read(b.String()), read(b.String())
		var got strings.Builder
		for p, x := range one.Pools {
			for s, y := range x.Servers {
				fmt.Fprintf(&got, "%d/%d=%d ", p, s, y.Weight)
			}
			if x.List() != two.Pools[p].List() || x.Settings(one.Routes) != two.Pools[p].Settings(two.Routes) {
				rt.Fatal("the same text was written otherwise")
			}
		}
		if got.String() != want.String() || len(one.Faults) > 0 {
			rt.Fatalf("%s, %s wanted; %v", got.String(), want.String(), one.Faults)
		}
	})
}

// What was imported, written as HAProxy has it and imported again, is the same list.
func TestImportIsStable(t *testing.T) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		one := read(sample(t, f.Name()))
		if len(one.Faults) > 0 {
			continue
		}
		var b strings.Builder
		for _, p := range one.Pools {
			fmt.Fprintf(&b, "backend %s\n", p.Name)
			for _, s := range p.Listed() {
				fmt.Fprintf(&b, "server %s %s weight %d\n", s.Name, s.Addr, s.Weight)
			}
		}
		two := read(b.String())
		if d := Diff(one, two); len(two.Faults) > 0 || len(d) > 0 || len(one.Pools) != len(two.Pools) {
			t.Errorf("%s: %v %v", f.Name(), two.Faults, d)
		}
		for i, p := range one.Pools {
			if a, b := p.Numbers(), two.Pools[i].Numbers(); a[p.Listed()[0].Name] != b[p.Listed()[0].Name] {
				t.Errorf("%s, pool %s: other numbers", f.Name(), p.Name)
			}
		}
	}
}

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
	if a, b := old.Pools[0].Numbers(), now.Pools[0].Numbers(); a["x"] != b["x"] || a["z"] != b["z"] {
		t.Error("servers that stayed have other numbers")
	}
}

func FuzzRead(f *testing.F) {
	for _, name := range []string{"webfarm.cfg", "backups.cfg", "blocks.cfg"} {
		f.Add(sample(f, name))
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := read(text)
		accounted(t, got)
		if got.Files[0].Text() != text {
			t.Fatal("it is not written back as it was")
		}
	})
}

// What is lexed and written again with every argument quoted is lexed to the same arguments.
func FuzzLex(f *testing.F) {
	files, err := samples.ReadDir("samples")
	if err != nil {
		f.Fatal(err)
	}
	for _, x := range files {
		if x.Name() != "many.cfg" {
			f.Add(sample(f, x.Name()))
		}
	}
	env := map[string]string{"SITE": "perth", "LIST": "a b", "EMPTY": ""}
	f.Fuzz(func(t *testing.T, text string) {
		file, _ := lexFile("a", text, env)
		if file.Text() != text {
			t.Fatal("it is not written back as it was")
		}
		for _, l := range file.Lines {
			var b strings.Builder
			for _, k := range l.Tokens {
				b.WriteString(` "` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, `$`, `\$`).Replace(k.Text) + `"`)
			}
			again, faults := lexFile("b", b.String(), env)
			if strings.ContainsAny(b.String(), "\n\r") {
				continue // a line end in an argument can only be written by an escape
			}
			if len(faults) > 0 || len(again.Lines) != 1 || texts(again.Lines[0]) != texts(l) {
				t.Fatalf("%q became %q: %v %v", l.Words(), b.String(), again.Lines, faults)
			}
		}
	})
}
