package haproxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

// routedConfig has a frontend with routes to five backends.
const routedConfig = `frontend www
    acl img path_end -i .png .jpg
    acl adm path_beg /admin
    acl adm hdr(host) -i admin.example
    acl write method POST PUT
    use_backend deny if adm !{ hdr(x-staff) -m found }
    use_backend admin if adm
    use_backend static if img METH_GET or { path /favicon.ico }
    use_backend writes unless !write
    default_backend tasks
backend deny
    server a h:1
backend admin
    server a h:1
backend static
    server a h:1
backend writes
    server a h:1
backend tasks
    server a h:1
`

// TestRoutes checks that the imported routes of a frontend send requests to the same backends as HAProxy would.
func TestRoutes(t *testing.T) {
	got := read(routedConfig)
	if len(got.Faults) > 0 || len(got.Routes) != 5 {
		t.Fatalf("got faults %v, routes %v, want 5 routes without faults", got.Faults, got.Routes)
	}
	for _, note := range got.Notes {
		if note.Class == Dropped {
			t.Errorf("not carried over: %s: %s", note.Text(), note.Reason)
		}
	}
	table := route.NewTable(got.Routes)
	headers := func(host string, others ...string) map[string][]string {
		headers := map[string][]string{"host": {host}}
		for _, name := range others {
			headers[name] = []string{"1"}
		}
		return headers
	}
	for _, test := range []struct {
		request route.Request
		want    string
	}{
		{route.Request{Method: "GET", Path: "/", Headers: headers("www.example")}, "tasks"},
		{route.Request{Method: "GET", Path: "/a.PNG", Headers: headers("www.example")}, "static"},
		{route.Request{Method: "HEAD", Path: "/a.jpg", Headers: nil}, "static"},
		{route.Request{Method: "POST", Path: "/a.jpg", Headers: nil}, "writes"},
		{route.Request{Method: "PUT", Path: "/favicon.ico", Headers: nil}, "static"},
		{route.Request{Method: "PUT", Path: "/x", Headers: nil}, "writes"},
		{route.Request{Method: "DELETE", Path: "/x.jpg", Headers: nil}, "tasks"},
		{route.Request{Method: "GET", Path: "/admin/a.png", Headers: headers("www.example")}, "deny"},
		{route.Request{Method: "GET", Path: "/admin/a.png", Headers: headers("www.example", "x-staff")}, "admin"},
		{route.Request{Method: "GET", Path: "/", Headers: headers("ADMIN.example")}, "deny"},
		{route.Request{Method: "GET", Path: "/Admin", Headers: headers("www.example")}, "tasks"},
	} {
		if picked, _ := table.Lookup("www", test.request); picked.Pool != test.want {
			t.Errorf("request %v goes to pool %q, want %q", test.request, picked.Pool, test.want)
		}
	}
}

// TestInexactRoutes checks that a route that cannot be expressed exactly is not carried over but reported, and so is each route
// after it in the same frontend: it would also match requests that are meant for the first one.
func TestInexactRoutes(t *testing.T) {
	for acl, why := range map[string]string{
		"path_reg ^/a": "path_reg has no like", "src 10.0.0.0/8": "src has no like", "path_beg -f /etc/paths": "flag -f has no like",
		"hdr(accept) -m sub html": "may hold several values", "path,lower -m beg /a": "has no like", "path -m reg x": "this match has no like", "method": "no patterns",
	} {
		got := read("frontend f\nacl early path /early\nacl x " + acl + "\nuse_backend p if early\nuse_backend p if x\nuse_backend p if early\ndefault_backend p\nbackend p\nserver a h:1\n")
		var reasons []string
		for _, note := range got.Notes {
			if note.Class == Dropped {
				reasons = append(reasons, fmt.Sprintf("%d %s", note.Line.Line, note.Reason))
			}
		}
		text := strings.Join(reasons, "; ")
		if len(got.Faults) > 0 || len(got.Routes) != 1 || !strings.Contains(text, why) || !strings.Contains(text, "6 the use_backend of line 5 stands before it") || !strings.Contains(text, "7 the use_backend of line 5") {
			t.Errorf("%s: got faults %v, %d routes, reasons %s", acl, got.Faults, len(got.Routes), text)
		}
	}
}

// drawnACL is the use of an ACL in a drawnCondition.
type drawnACL struct {
	name    string
	negated bool
}

// drawnCondition is a disjunction of conjunctions of ACLs. It evaluates itself, as a reference for the importer's parser.
type drawnCondition struct {
	prefixes     map[string][]string // the path prefixes that an ACL matches, by its name
	conjunctions [][]drawnACL
}

// holds reports whether the condition holds for a path.
func (c drawnCondition) holds(path string) bool {
	return slices.ContainsFunc(c.conjunctions, func(conjunction []drawnACL) bool {
		return !slices.ContainsFunc(conjunction, func(acl drawnACL) bool { return c.matches(acl.name, path) == acl.negated })
	})
}

// matches reports whether an ACL matches a path.
func (c drawnCondition) matches(acl, path string) bool {
	return slices.ContainsFunc(c.prefixes[acl], func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// drawFrontend draws a frontend with one use_backend line. It returns the text, the condition of the line, and the keyword if or
// unless before the condition.
func drawFrontend(check *rapid.T) (text string, condition drawnCondition, keyword string) {
	names := []string{"a", "b", "c"}
	condition.prefixes = map[string][]string{}
	var frontend strings.Builder
	frontend.WriteString("frontend f\n")
	for _, name := range names {
		for range rapid.IntRange(1, 3).Draw(check, "lines") {
			prefix := "/" + rapid.StringMatching("[xy]{1,2}").Draw(check, "path")
			condition.prefixes[name] = append(condition.prefixes[name], prefix)
			fmt.Fprintf(&frontend, "acl %s path_beg %s\n", name, prefix)
		}
	}
	keyword = rapid.SampledFrom([]string{"if", "unless"}).Draw(check, "keyword")
	fmt.Fprintf(&frontend, "use_backend p %s", keyword)
	for i := range rapid.IntRange(1, 3).Draw(check, "conjunctions") {
		if i > 0 {
			frontend.WriteString(" ||")
		}
		var conjunction []drawnACL
		for range rapid.IntRange(1, 3).Draw(check, "terms") {
			acl := drawnACL{rapid.SampledFrom(names).Draw(check, "acl"), rapid.Bool().Draw(check, "not")}
			conjunction = append(conjunction, acl)
			frontend.WriteString(map[bool]string{true: " !", false: " "}[acl.negated] + acl.name)
		}
		condition.conjunctions = append(condition.conjunctions, conjunction)
	}
	return frontend.String() + "\n", condition, keyword
}

// TestRouteConditionAgainstReference checks that an imported route matches a request exactly if the condition that was drawn for
// it holds.
func TestRouteConditionAgainstReference(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		frontend, condition, keyword := drawFrontend(check)
		got := read(frontend + "backend p\nserver a h:1\n")
		if len(got.Routes) != 1 || len(got.Faults) > 0 {
			check.Fatalf("%s: got %+v, want one route without faults", frontend, got)
		}
		request := route.Request{Path: "/" + rapid.StringMatching("[xyz]{0,3}").Draw(check, "request path")}
		want := condition.holds(request.Path) == (keyword == "if")
		if got.Routes[0].Matches(request) != want {
			check.Fatalf("%s: path %s, route %v: Matches is %v, want %v", frontend, request.Path, got.Routes[0], !want, want)
		}
	})
}

// TestRoutesBecomeMethods checks that the settings of a pool have the methods of its routes, with the attempts that its retries
// permit, and that routes are read back unchanged from a route file.
func TestRoutesBecomeMethods(t *testing.T) {
	got := read(`defaults
    retries 0
frontend www
    acl adm path_beg /admin
    use_backend web if METH_GET !adm
    use_backend web if adm
    use_backend web if adm
    use_backend other
    default_backend web
backend web
    server a h:1
backend other
    retries 2
    retry-on conn-failure response-timeout
    server a h:1
listen both
    retry-on empty-response
    use_backend web if { path "/a b" '/"=' }
    server a h:1
`)
	if len(got.Faults) > 0 || len(got.Routes) != 6 {
		t.Fatalf("got faults %v, routes %v, want 6 routes without faults", got.Faults, got.Routes)
	}
	var file strings.Builder
	for _, r := range got.Routes {
		fmt.Fprintln(&file, r)
	}
	readBack, faults := route.Read("routes", file.String())
	if diff := cmp.Diff(got.Routes, readBack); diff != "" || len(faults) > 0 {
		t.Errorf("reading the route file: faults %v, diff\n%s", faults, diff)
	}
	for i, want := range []string{
		"www-METH_GET-adm idempotent once; www-adm non-idempotent once; www-adm-2 non-idempotent once; both-path-a-b non-idempotent once",
		"www non-idempotent free", "both non-idempotent once",
	} {
		lines, faults := bootstrap.Lex("x", got.Pools[i].Settings(got.Routes))
		settings, parseFaults := bootstrap.Parse("x", lines)
		if len(faults)+len(parseFaults) > 0 {
			t.Fatalf("faults in the settings of pool %s: %v %v", got.Pools[i].Name, faults, parseFaults)
		}
		config := settings.CoordinatorConfig(0)
		var methods []string
		for m, name := range settings.Methods {
			method := config.Settings.Methods[m]
			methods = append(methods, name+" "+method.Effect+" "+method.RetryLimit)
		}
		if strings.Join(methods, "; ") != want {
			t.Errorf("pool %s: got methods %s, want %s", got.Pools[i].Name, strings.Join(methods, "; "), want)
		}
	}
}

// TestTooManyRoutesForMethods checks that all requests of a pool become one method if its routes would give it too many methods.
func TestTooManyRoutesForMethods(t *testing.T) {
	var text strings.Builder
	text.WriteString("frontend f\n")
	for i := range 70 {
		fmt.Fprintf(&text, "use_backend p if { path /%d }\n", i)
	}
	got := read(text.String() + "backend p\nserver a h:1\n")
	if names, _ := route.Methods(got.Routes, "p"); len(got.Routes) != 70 || len(names) != 1 || !strings.Contains(got.Pools[0].Settings(got.Routes), "method all\n") {
		t.Errorf("got %d routes, methods %v, faults %v, want 70 routes and only the method all", len(got.Routes), names, got.Faults)
	}
}
