package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func draw(t *rapid.T) (routes []Route) {
	text := rapid.StringMatching(`[ab]{1,2}|[ab/"' #=\\]{0,3}`)
	for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
		r := Route{Frontend: rapid.SampledFrom([]string{"f", "g"}).Draw(t, "front"), Pool: fmt.Sprint("p", i), Method: fmt.Sprint("m", i%3)}
		r.Negate = rapid.IntRange(0, 7).Draw(t, "unless") == 7
		for range rapid.IntRange(1, 3).Draw(t, "rows") {
			var row []Term
			for range rapid.IntRange(1, 2).Draw(t, "terms") {
				x := Term{
					Negate: rapid.IntRange(0, 4).Draw(t, "not") == 4, Source: rapid.SampledFrom([]string{"path", "method", "hdr"}).Draw(t, "fetch"),
					Match: rapid.SampledFrom([]string{"str", "str", "str", "str", "beg", "end", "sub", "found"}).Draw(t, "how"), IgnoreCase: rapid.Bool().Draw(t, "fold"),
				}
				if x.Source == "hdr" {
					x.Header = "host"
				}
				x.Patterns = rapid.SliceOfN(text, 1, 2).Draw(t, "patterns")
				row = append(row, x)
			}
			r.Alternatives = append(r.Alternatives, row)
		}
		routes = append(routes, r)
	}
	return routes
}

// What is written is read as it was, and the table finds what a look at each route in turn does.
func TestWrittenAndReadAndLookedUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := draw(t)
		var file strings.Builder
		for _, r := range routes {
			fmt.Fprintln(&file, r)
		}
		got, faults := Read("routes", file.String())
		if len(faults) > 0 || cmp.Diff(got, routes) != "" {
			t.Fatalf("%s\n%v\n%s", file.String(), faults, cmp.Diff(got, routes))
		}
		table := NewTable(got)
		for range 30 {
			q := Request{Method: rapid.SampledFrom([]string{"a", "b", "A"}).Draw(t, "method"), Path: rapid.StringMatching(`[abAB]{1,2}|[ab/]{0,2}`).Draw(t, "path")}
			if rapid.Bool().Draw(t, "host?") {
				q.Headers = map[string][]string{"host": rapid.SliceOfN(rapid.StringMatching(`[abA]{0,2}`), 1, 2).Draw(t, "host")}
			}
			for _, front := range []string{"f", "g", "none"} {
				want := ""
				for _, r := range routes {
					if r.Frontend == front && r.Matches(q) {
						want = r.Pool
						break
					}
				}
				if r, _ := table.Lookup(front, q); r.Pool != want {
					t.Fatalf("%+v at %s: %q, %q wanted\n%s", q, front, r.Pool, want, file.String())
				}
			}
		}
	})
}

func TestBadFiles(t *testing.T) {
	for text, want := range map[string]string{
		"rout f to p as m":                                "a route is",
		"route f to p as m whenever path str =/":          "whenever is neither",
		"route f to p as m when":                          "a term is",
		"route f to p as m when path str =/ or":           "a term is",
		"route f to p as m when path str":                 "without a pattern",
		"route f to p as m when cookie str =a":            "cookie is none of",
		"route f to p as m when hdr(Host) str =a":         "no header in lower case",
		"route f to p as m when path reg =a":              "reg is none of",
		"route f to p as m when path str =a b":            "a term is",
		"route f to p as m\nroute f to q as m":            "line 1 takes all that comes to f",
		"route f to p as m when path str \"=a":            "quote",
		"route f to p as m when path str =a or or path a": "or is none of",
	} {
		if _, faults := Read("r", "# a file\n\n"+text+"\nroute other to p as m\n"); len(faults) != 1 || !strings.Contains(strings.ReplaceAll(faults[0].Message, "line 3", "line 1"), want) {
			t.Errorf("%s: %v, %s wanted", text, faults, want)
		}
	}
}

// A method is safe if all of its routes ask for a safe one.
func TestSafe(t *testing.T) {
	routes, faults := Read("r", `route f to p as read when method str =GET =HEAD path beg =/a or method str =OPTIONS
route f to p as mixed when method str =GET or path str =/x
route f to p as not when not method str =POST
route f to p as unless unless method str =GET
route f to p as twice when method str =GET
route f to p as folded when method str any-case =GET
route f to p as twice
`)
	names, safe := Methods(routes, "p")
	if len(faults) > 0 || strings.Join(names, " ") != "read mixed not unless twice folded" {
		t.Fatal(faults, names)
	}
	for _, n := range names {
		if safe[n] != (n == "read") {
			t.Errorf("%s: %v", n, safe[n])
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var routes []Route
			for i := range n {
				routes = append(routes, Route{Frontend: "f", Pool: fmt.Sprint(i), Method: "m", Alternatives: [][]Term{{{Source: "hdr", Header: "host", Match: "str", IgnoreCase: true, Patterns: []string{fmt.Sprint("school", i, ".example")}}}}})
			}
			table := NewTable(routes)
			q := Request{Method: "GET", Path: "/", Headers: map[string][]string{"host": {fmt.Sprint("School", n-1, ".example")}}}
			b.ReportAllocs()
			for b.Loop() {
				if r, ok := table.Lookup("f", q); !ok || r.Pool != fmt.Sprint(n-1) {
					b.Fatal(r)
				}
			}
		})
	}
}
