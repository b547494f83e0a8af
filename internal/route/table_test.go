package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawRequest draws a request from few values, so that routes of drawRoutes often match it.
func drawRequest(t *rapid.T) Request {
	request := Request{
		Method: rapid.SampledFrom([]string{"a", "b", "A"}).Draw(t, "method"),
		Path:   rapid.StringMatching(`[abAB]{1,2}|[ab/]{0,2}`).Draw(t, "path"),
	}
	if rapid.Bool().Draw(t, "with host") {
		hosts := rapid.SliceOfN(rapid.StringMatching(`[abA]{0,2}`), 1, 2).Draw(t, "host")
		request.Headers = map[string][]string{"host": hosts}
	}
	return request
}

// firstMatch returns what Table.Lookup must find: the pool of the first route that matches, or "" if none does.
func firstMatch(routes []Route, frontend string, request Request) string {
	for _, route := range routes {
		if route.Frontend == frontend && route.Matches(request) {
			return route.Pool
		}
	}
	return ""
}

// TestLookupFindsFirstMatch checks that a lookup finds the same route as trying each route in order.
func TestLookupFindsFirstMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t)
		table := NewTable(routes)
		for range 30 {
			request := drawRequest(t)
			for _, frontend := range []string{"f", "g", "none"} {
				want := firstMatch(routes, frontend, request)
				if got, ok := table.Lookup(frontend, request); got.Pool != want || ok != (want != "") {
					t.Fatalf("Lookup(%q, %+v) = %q, %v, want %q\n%s", frontend, request, got.Pool, ok, want, formatFile(routes))
				}
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var routes []Route
			for i := range count {
				host := Term{Source: SourceHeader, Header: "host", Match: MatchExact, IgnoreCase: true, Patterns: []string{fmt.Sprint("school", i, ".example")}}
				routes = append(routes, Route{Frontend: "f", Pool: fmt.Sprint(i), Method: "m", Alternatives: [][]Term{{host}}})
			}
			table := NewTable(routes)
			host := fmt.Sprint("School", count-1, ".example")
			request := Request{Method: "GET", Path: "/", Headers: map[string][]string{"host": {host}}}
			b.ReportAllocs()
			for b.Loop() {
				if route, ok := table.Lookup("f", request); !ok || route.Pool != fmt.Sprint(count-1) {
					b.Fatal(route)
				}
			}
		})
	}
}
