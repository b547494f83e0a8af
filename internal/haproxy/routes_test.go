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

const routed = `frontend www
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

// TestRoutes checks where requests go by the routes of a frontend.
func TestRoutes(t *testing.T) {
	got := read(routed)
	if len(got.Faults) > 0 || len(got.Routes) != 5 {
		t.Fatalf("%v %v", got.Faults, got.Routes)
	}
	for _, n := range got.Notes {
		if n.Class == Dropped {
			t.Errorf("not carried: %s: %s", n.Text(), n.Reason)
		}
	}
	table := route.NewTable(got.Routes)
	host := func(h string, more ...string) map[string][]string {
		m := map[string][]string{"host": {h}}
		for _, x := range more {
			m[x] = []string{"1"}
		}
		return m
	}
	for _, test := range []struct {
		request route.Request
		want    string
	}{
		{route.Request{Method: "GET", Path: "/", Headers: host("www.example")}, "tasks"},
		{route.Request{Method: "GET", Path: "/a.PNG", Headers: host("www.example")}, "static"},
		{route.Request{Method: "HEAD", Path: "/a.jpg", Headers: nil}, "static"},
		{route.Request{Method: "POST", Path: "/a.jpg", Headers: nil}, "writes"},
		{route.Request{Method: "PUT", Path: "/favicon.ico", Headers: nil}, "static"},
		{route.Request{Method: "PUT", Path: "/x", Headers: nil}, "writes"},
		{route.Request{Method: "DELETE", Path: "/x.jpg", Headers: nil}, "tasks"},
		{route.Request{Method: "GET", Path: "/admin/a.png", Headers: host("www.example")}, "deny"},
		{route.Request{Method: "GET", Path: "/admin/a.png", Headers: host("www.example", "x-staff")}, "admin"},
		{route.Request{Method: "GET", Path: "/", Headers: host("ADMIN.example")}, "deny"},
		{route.Request{Method: "GET", Path: "/Admin", Headers: host("www.example")}, "tasks"},
	} {
		if picked, _ := table.Lookup("www", test.request); picked.Pool != test.want {
			t.Errorf("%v goes to %q, %q wanted", test.request, picked.Pool, test.want)
		}
	}
}

// TestInexactRoutes checks that a route that cannot be expressed exactly is reported, and so is each route after it in its
// frontend, which would take the requests that are meant for it.
func TestInexactRoutes(t *testing.T) {
	for acl, why := range map[string]string{
		"path_reg ^/a": "path_reg has no like", "src 10.0.0.0/8": "src has no like", "path_beg -f /etc/paths": "flag -f has no like",
		"hdr(accept) -m sub html": "may hold several values", "path,lower -m beg /a": "has no like", "path -m reg x": "this match has no like", "method": "no patterns",
	} {
		got := read("frontend f\nacl early path /early\nacl x " + acl + "\nuse_backend p if early\nuse_backend p if x\nuse_backend p if early\ndefault_backend p\nbackend p\nserver a h:1\n")
		var all []string
		for _, n := range got.Notes {
			if n.Class == Dropped {
				all = append(all, fmt.Sprintf("%d %s", n.Line.Line, n.Reason))
			}
		}
		text := strings.Join(all, "; ")
		if len(got.Faults) > 0 || len(got.Routes) != 1 || !strings.Contains(text, why) || !strings.Contains(text, "6 the use_backend of line 5 stands before it") || !strings.Contains(text, "7 the use_backend of line 5") {
			t.Errorf("%s: %v; %d routes; %s", acl, got.Faults, len(got.Routes), text)
		}
	}
}

// drawnACL is a use of an ACL in a drawn condition.
type drawnACL struct {
	name    string
	negated bool
}

// drawnCondition is a condition as a disjunction of conjunctions, evaluated straight from the words that it was drawn with.
type drawnCondition struct {
	prefixes map[string][]string // of the paths that an ACL matches
	rows     [][]drawnACL
}

func (c drawnCondition) holds(path string) bool {
	return slices.ContainsFunc(c.rows, func(row []drawnACL) bool {
		return !slices.ContainsFunc(row, func(acl drawnACL) bool { return c.matches(acl.name, path) == acl.negated })
	})
}

func (c drawnCondition) matches(acl, path string) bool {
	return slices.ContainsFunc(c.prefixes[acl], func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// drawFrontend draws a frontend with one use_backend, its condition, and whether that begins with if or unless.
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
	keyword = rapid.SampledFrom([]string{"if", "unless"}).Draw(check, "how")
	fmt.Fprintf(&frontend, "use_backend p %s", keyword)
	for i := range rapid.IntRange(1, 3).Draw(check, "rows") {
		if i > 0 {
			frontend.WriteString(" ||")
		}
		var row []drawnACL
		for range rapid.IntRange(1, 3).Draw(check, "terms") {
			acl := drawnACL{rapid.SampledFrom(names).Draw(check, "acl"), rapid.Bool().Draw(check, "not")}
			row = append(row, acl)
			frontend.WriteString(map[bool]string{true: " !", false: " "}[acl.negated] + acl.name)
		}
		condition.rows = append(condition.rows, row)
	}
	return frontend.String() + "\n", condition, keyword
}

// TestRouteConditionAgainstReference checks the rows of a route against the condition that they were read from.
func TestRouteConditionAgainstReference(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		frontend, condition, keyword := drawFrontend(check)
		got := read(frontend + "backend p\nserver a h:1\n")
		if len(got.Routes) != 1 || len(got.Faults) > 0 {
			check.Fatalf("%s: %+v", frontend, got)
		}
		request := route.Request{Path: "/" + rapid.StringMatching("[xyz]{0,3}").Draw(check, "asked")}
		want := condition.holds(request.Path) == (keyword == "if")
		if got.Routes[0].Matches(request) != want {
			check.Fatalf("%s for %s: %v", frontend, request.Path, got.Routes[0])
		}
	})
}

// TestRoutesBecomeMethods checks that a pool has the methods of its routes, with the attempts that its retries permit, and
// that written routes are read back unchanged.
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
		t.Fatal(got.Faults, got.Routes)
	}
	var file strings.Builder
	for _, r := range got.Routes {
		fmt.Fprintln(&file, r)
	}
	again, faults := route.Read("routes", file.String())
	if diff := cmp.Diff(got.Routes, again); diff != "" || len(faults) > 0 {
		t.Error(faults, diff)
	}
	for i, want := range []string{
		"www-METH_GET-adm idempotent once; www-adm non-idempotent once; www-adm-2 non-idempotent once; both-path-a-b non-idempotent once",
		"www non-idempotent free", "both non-idempotent once",
	} {
		lines, faults := bootstrap.Lex("x", got.Pools[i].Settings(got.Routes))
		trade, more := bootstrap.Parse("x", lines)
		if len(faults)+len(more) > 0 {
			t.Fatal(faults, more)
		}
		b := trade.CoordinatorConfig(0)
		var all []string
		for m, name := range trade.Methods {
			method := b.Settings.Methods[m]
			all = append(all, name+" "+method.Effect+" "+method.RetryLimit)
		}
		if strings.Join(all, "; ") != want {
			t.Errorf("%s, %s wanted", strings.Join(all, "; "), want)
		}
	}
}

// TestTooManyRoutesForMethods checks that more routes to a pool than it may have methods make one method.
func TestTooManyRoutesForMethods(t *testing.T) {
	var text strings.Builder
	text.WriteString("frontend f\n")
	for i := range 70 {
		fmt.Fprintf(&text, "use_backend p if { path /%d }\n", i)
	}
	got := read(text.String() + "backend p\nserver a h:1\n")
	if names, _ := route.Methods(got.Routes, "p"); len(got.Routes) != 70 || len(names) != 1 || !strings.Contains(got.Pools[0].Settings(got.Routes), "method all\n") {
		t.Error(names, got.Faults)
	}
}
