package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawTerm draws a term that often tests an exact value, as Table indexes only such terms.
func drawTerm(rapidT *rapid.T) Term {
	pattern := rapid.StringMatching(`[ab]{1,2}|[ab/"' #=\\]{0,3}`)
	term := Term{
		Negate:     rapid.IntRange(0, 4).Draw(rapidT, "not") == 4,
		Source:     rapid.SampledFrom([]string{SourcePath, SourceMethod, SourceHeader}).Draw(rapidT, "source"),
		Match:      rapid.SampledFrom([]string{"str", "str", "str", "str", "beg", "end", "sub", "found"}).Draw(rapidT, "match"),
		IgnoreCase: rapid.Bool().Draw(rapidT, "ignore case"),
	}
	if term.Source == SourceHeader {
		term.Header = "host"
	}
	term.Patterns = rapid.SliceOfN(pattern, 1, 2).Draw(rapidT, "patterns")
	return term
}

func drawRoutes(t *rapid.T) (routes []Route) {
	for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
		frontend := rapid.SampledFrom([]string{"f", "g"}).Draw(t, "frontend")
		route := Route{Frontend: frontend, Pool: fmt.Sprint("p", i), Method: fmt.Sprint("m", i%3)}
		route.Negate = rapid.IntRange(0, 7).Draw(t, "unless") == 7
		for range rapid.IntRange(1, 3).Draw(t, "alternatives") {
			var terms []Term
			for range rapid.IntRange(1, 2).Draw(t, "terms") {
				terms = append(terms, drawTerm(t))
			}
			route.Alternatives = append(route.Alternatives, terms)
		}
		routes = append(routes, route)
	}
	return routes
}

// formatFile returns the text of a route file.
func formatFile(routes []Route) string {
	var file strings.Builder
	for _, route := range routes {
		fmt.Fprintln(&file, route)
	}
	return file.String()
}

// TestReadReturnsWhatStringWrote checks that Read returns the same routes that Route.String wrote.
func TestReadReturnsWhatStringWrote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t)
		file := formatFile(routes)
		read, faults := Read("routes", file)
		if len(faults) > 0 || cmp.Diff(read, routes) != "" {
			t.Fatalf("file:\n%s\nfaults %v\ndiff of the routes:\n%s", file, faults, cmp.Diff(read, routes))
		}
	})
}

// TestReadReportsFaults checks that a faulty line causes exactly one fault with the expected message.
func TestReadReportsFaults(t *testing.T) {
	for text, want := range map[string]string{
		"rout f to p as m":                                "invalid route, expected",
		"route f to p as m whenever path str =/":          `expected when or unless, found "whenever"`,
		"route f to p as m when":                          "invalid term, expected",
		"route f to p as m when path str =/ or":           "invalid term, expected",
		"route f to p as m when path str":                 "term has no pattern",
		"route f to p as m when cookie str =a":            `unknown source "cookie"`,
		"route f to p as m when hdr(Host) str =a":         "not a header name in lower case",
		"route f to p as m when path reg =a":              `unknown match "reg"`,
		"route f to p as m when path str =a b":            "invalid term, expected",
		"route f to p as m\nroute f to q as m":            `line 3 matches all requests of front end "f"`,
		"route f to p as m when path str \"=a":            "quote",
		"route f to p as m when path str =a or or path a": `unknown source "or"`,
	} {
		_, faults := Read("r", "# comment\n\n"+text+"\nroute other to p as m\n")
		if len(faults) != 1 || !strings.Contains(faults[0].Message, want) {
			t.Errorf("%s: faults %v, want one that contains %q", text, faults, want)
		}
	}
}
