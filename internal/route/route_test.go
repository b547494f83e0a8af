package route

import (
	"strings"
	"testing"
)

// A method is safe if all of its routes ask for a safe one.
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
		t.Fatal(faults, names)
	}
	for _, name := range names {
		if safe[name] != (name == "read") {
			t.Errorf("%s: safe %v", name, safe[name])
		}
	}
}
