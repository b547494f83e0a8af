package route

import (
	"strings"
	"testing"
)

// TestMethodsAreSafeIfAllRoutesAre checks that a method is safe only if each of its routes requires a safe HTTP method.
func TestMethodsAreSafeIfAllRoutesAre(t *testing.T) {
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
		t.Fatalf("faults %v, methods %v", faults, names)
	}
	for _, name := range names {
		if safe[name] != (name == "read") {
			t.Errorf("method %s: safe is %v", name, safe[name])
		}
	}
}
