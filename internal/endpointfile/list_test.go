package endpointfile

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var terms = Settings{DrainPeriod: 10, MaxLossShare: 0.5}

func servers(n int, weight float64) (all []Backend) {
	for i := range n {
		all = append(all, Backend{uint32(i + 1), fmt.Sprint("s", i), fmt.Sprintf("h:%d", i), weight, false})
	}
	return all
}

func offer(t *testing.T, f *List, now Seconds, s []Backend) []Endpoint {
	t.Helper()
	changed, err := f.Apply(now, s)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func TestPlainChanges(t *testing.T) {
	f := New(terms)
	if c := offer(t, f, 0, servers(4, 1)); len(c) != 4 || c[0].StartTime != 0 {
		t.Fatalf("the first file changed %v", c)
	}
	if c := offer(t, f, 1, servers(4, 1)); len(c) != 0 || f.Version() != 1 {
		t.Fatalf("the same file again changed %v", c)
	}
	s := servers(4, 1)
	s[2].Weight = 7
	if c := offer(t, f, 2, s); len(c) != 1 || c[0].Weight != 7 || c[0].Incarnation != 1 || c[0].StartTime != 0 {
		t.Fatalf("a weight changed %v", c)
	}
	s[1].Addr = "other:1"
	if c := offer(t, f, 3, s); len(c) != 1 || c[0].Incarnation != 2 || c[0].StartTime != 3 {
		t.Fatalf("another address changed %v", c)
	}
	c := offer(t, f, 4, s[:3])
	if len(c) != 1 || c[0].State != Draining || c[0].RemovalTime != 14 {
		t.Fatalf("a server that left changed %v", c)
	}
	if at, ok := f.NextRemoval(); !ok || at != 14 || len(f.RemoveDrained(13.9)) != 0 {
		t.Fatal("it left before its drain was over")
	}
	// A flap: back in the file before its drain is over, it is the same process.
	if c := offer(t, f, 6, s); len(c) != 1 || c[0].State != Open || c[0].Incarnation != 1 || c[0].StartTime != 0 {
		t.Fatalf("a server that came back changed %v", c)
	}
	offer(t, f, 7, s[:3])
	if c := f.RemoveDrained(17); len(c) != 1 || c[0].State != Gone || len(f.Endpoints()) != 3 {
		t.Fatalf("after its drain: %v", c)
	}
	if c := offer(t, f, 18, s); len(c) != 1 || c[0].StartTime != 18 {
		t.Fatalf("a server that is new beside others must be cold: %v", c)
	}
}

// A file cut short loses most servers: it is held back, and what stood stands. Offered again it is meant. Anything else
// in between asks anew.
func TestFileThatLosesMost(t *testing.T) {
	f := New(terms)
	offer(t, f, 0, servers(10, 1))
	for _, n := range []int{0, 4} {
		if _, err := f.Apply(1, servers(n, 1)); err == nil {
			t.Fatalf("a file of %d of 10 servers was taken", n)
		}
	}
	if len(f.RemoveDrained(1e9)) > 0 || f.Version() != 1 {
		t.Fatal("what was held back changed something")
	}
	offer(t, f, 2, servers(10, 2))
	if _, err := f.Apply(3, servers(4, 1)); err == nil || !strings.Contains(err.Error(), "6 of 10") {
		t.Fatalf("after another file: %v", err)
	}
	if c := offer(t, f, 4, servers(4, 1)); len(c) != 10 {
		t.Fatalf("offered again it changed %v", c)
	}
	if _, err := f.Apply(5, append(servers(4, 1), Backend{2, "x", "h", 1, false})); err == nil {
		t.Error("one number twice was taken")
	}
}

// Any series of files, drains and restarts: nothing leaves the list without a whole drain, what is taken is what the file
// says, and a list that was written down and read again goes on as the one that was not.
func TestRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, now := New(terms), 100.0
		since := map[uint32]Seconds{} // drained or not in use since
		state := map[uint32]State{}
		see := func(all []Endpoint) {
			for _, e := range all {
				was, known := state[e.ID]
				switch {
				case e.State == Gone && (!known || was != Draining || now < since[e.ID]+terms.DrainPeriod):
					rt.Fatalf("server %d left after %v s of drain", e.ID, now-since[e.ID])
				case e.State == Draining && (!known || was != Draining || e.RemovalTime > 0 && e.RemovalTime == now+terms.DrainPeriod):
					since[e.ID] = now
				}
				state[e.ID] = e.State
			}
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 8).Draw(rt, "wait")
			see(f.RemoveDrained(now))
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				data, err := f.Encode()
				if err != nil {
					rt.Fatal(err)
				}
				again, err := Decode(terms, data)
				if err != nil || !reflect.DeepEqual(again.Endpoints(), f.Endpoints()) || again.Version() != f.Version() {
					rt.Fatalf("read again: %v, %v, %v wanted", err, again, f.Endpoints())
				}
				f = again
			}
			var file []Backend
			for _, s := range servers(6, 1) {
				if rapid.IntRange(0, 3).Draw(rt, "in") > 0 {
					s.Weight = float64(rapid.IntRange(1, 3).Draw(rt, "weight"))
					s.Draining = rapid.IntRange(0, 4).Draw(rt, "draining") == 0
					file = append(file, s)
				}
			}
			before, version := f.Endpoints(), f.Version()
			changed, err := f.Apply(now, file)
			if err != nil {
				if !reflect.DeepEqual(before, f.Endpoints()) || f.Version() != version {
					rt.Fatal("a file that was held back changed the list")
				}
				continue
			}
			if (len(changed) > 0) != (f.Version() == version+1) {
				rt.Fatalf("%d changes took the version from %d to %d", len(changed), version, f.Version())
			}
			see(changed)
			in := map[uint32]Backend{}
			for _, s := range file {
				in[s.ID] = s
			}
			for _, e := range f.Endpoints() {
				s, named := in[e.ID]
				if named && (e.Backend != s || (e.State == Draining) != s.Draining || e.RemovalTime != 0) || !named && e.State != Draining {
					rt.Fatalf("the file says %v (%v), the list %v", s, named, e)
				}
			}
		}
	})
}

func TestDecodeRefuses(t *testing.T) {
	for _, bad := range []string{"", "{", `{"Format":2}`, `{"Format":1,"Entries":[{"Number":1,"Weight":0}]}`, `{"Format":1,"Entries":[{"Number":1,"Weight":1},{"Number":1,"Weight":1}]}`} {
		if _, err := Decode(terms, []byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
