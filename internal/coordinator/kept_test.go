package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gingerfork/internal/checkpoint"
	"gingerfork/internal/disk"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// fact is something that held from when the log of the store had a length on: a server out of use and confirmed as such by
// a proxy, or in use again; a mark that left.
type fact struct {
	at    int // bytes of the segment
	proxy int
	ep    proto.EP
	mark  uint64
	back  bool
}

// run is a coordinator over a store, whose every record is written and synced in its turn, and what was said of it.
type storeRun struct {
	*rig
	folder *disk.Memory
	s      *store.Store
	facts  []fact
}

func newStoreRun(t *testing.T, folder *disk.Memory, more map[string]any) *storeRun {
	t.Helper()
	s, _, err := store.Open(store.Bootstrap{Folder: folder, ID: 1, LeastLog: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	kept, err := checkpoint.Read(s.Scan(""))
	if err != nil {
		t.Fatal(err)
	}
	return &storeRun{rig: newRig(t, more, kept), folder: folder, s: s}
}

func (r *storeRun) segment() (name string, size int) {
	names, _ := r.folder.Names()
	name = slices.MaxFunc(slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".seg") }), strings.Compare)
	return name, len(r.folder.Bytes(name))
}

// go on for a time; each batch is durable before the machine hears so.
func (r *storeRun) pass(span float64, in ...statemachine.Input) {
	r.t.Helper()
	r.stuck = true // this run tells it itself
	for end := r.now + span; ; {
		r.step(0, in...)
		in = nil
		if r.batch > 0 {
			var b store.Batch
			for _, p := range r.out.Mutations {
				if p.Value == nil {
					b.Delete(p.Key)
				} else {
					b.Put(p.Key, p.Value)
				}
			}
			if err := r.s.Commit(&b); err != nil {
				r.t.Fatal(err)
			}
			in, r.batch = []statemachine.Input{{Kind: statemachine.Persisted, Batch: r.batch}}, 0
			r.now += 0.001
			continue
		}
		if r.now >= end {
			return
		}
		r.now += max(0.0001, min(r.out.WakeAt, end)-r.now)
	}
}

// obey has the proxies answer, and notes what that makes true.
func (r *storeRun) obey(proxies int) {
	r.t.Helper()
	for range 3 {
		for c := 1; c <= proxies; c++ {
			for _, p := range r.pushes(statemachine.Conn(c)) {
				_, at := r.segment()
				r.facts = append(r.facts, fact{at: at, mark: p.Mark})
				r.pass(0.01, data(statemachine.Conn(c), proto.Answer{Mark: p.Mark}))
				for _, o := range p.Ops {
					if o.Kind == proto.OpWithdraw {
						_, at := r.segment()
						r.facts = append(r.facts, fact{at: at, proxy: c, ep: o.Withdrawn[0]})
					}
				}
			}
		}
		r.pass(0.05)
	}
}

func (r *storeRun) news(entries ...proto.Entry) {
	r.t.Helper()
	r.version++
	_, at := r.segment()
	for _, e := range entries {
		if e.State == proto.ServerOpen {
			r.facts = append(r.facts, fact{at: at, ep: e.EP, back: true})
		}
	}
	r.pass(0.05, data(r.list, proto.List{Kind: proto.ListChanges, Base: r.version - 1, Version: r.version, Entries: entries}))
}

const proofProxies = 3

// proofDay is a run of orders: drains, servers that go and come back, with what proxies answered.
func proofDay(t *testing.T, folder *disk.Memory, compact bool) *storeRun {
	r := newStoreRun(t, folder, map[string]any{"messages": 0.0})
	r.pass(0.5)
	r.version++
	l := proto.List{Kind: proto.ListFull, Version: r.version}
	for i := range 8 {
		l.Entries = append(l.Entries, entry(i+1, proto.ServerOpen))
	}
	r.pass(0.1, opened(r.list), data(r.list, proto.Welcome{Version: 1, Name: "list"}, l))
	for c := 1; c <= proofProxies; c++ {
		r.pass(0.01, opened(statemachine.Conn(c)), data(statemachine.Conn(c), hello(fmt.Sprint("f", c))))
	}
	r.pass(0.2)
	r.obey(proofProxies)
	r.news(entry(1, proto.ServerDraining))
	r.obey(proofProxies)
	r.news(entry(2, proto.ServerDraining), entry(3, proto.ServerGone))
	r.obey(proofProxies)
	if compact {
		for more := true; more; {
			var err error
			if more, err = r.s.Compact(true); err != nil {
				t.Fatal(err)
			}
		}
		r.facts = append(r.facts, fact{}) // what was before is in the snapshot
		for i := range r.facts {
			r.facts[i].at = 0
		}
	}
	back := entry(1, proto.ServerOpen)
	back.Stamp = 2
	r.news(back)
	r.obey(proofProxies)
	r.news(entry(4, proto.ServerGone), entry(5, proto.ServerDraining))
	r.obey(proofProxies)
	r.pass(1.5)
	return r
}

// The users' own proof: the store's log cut at every byte, the coordinator started on what is left, with nobody to ask for
// a newer list. No order that was acknowledged before is lost: no proxy may send to a server that it had confirmed as out
// of use. None is repeated: no withdrawal that a proxy had confirmed is sent to it once more, and no mark given twice.
func TestStoreCutAtEveryByte(t *testing.T) {
	for _, compact := range []bool{false, true} {
		folder := disk.NewMemory()
		r := proofDay(t, folder, compact)
		if n := len(r.facts); n < 20 {
			t.Fatalf("%d facts", n)
		}
		name, size := r.segment()
		log := slices.Clone(folder.Bytes(name))
		kept := 0
		for cut := 40; cut <= size; cut++ {
			left := folder.Copy()
			left.Put(name, slices.Clone(log[:cut]))
			out, given := map[proto.EP]map[int]bool{}, uint64(0)
			for _, f := range r.facts {
				switch {
				case f.at > cut:
				case f.mark > 0:
					given = max(given, f.mark)
				case f.back:
					delete(out, f.ep)
				case f.ep > 0:
					if out[f.ep] == nil {
						out[f.ep] = map[int]bool{}
					}
					out[f.ep][f.proxy] = true
				}
			}
			next := newStoreRun(t, left, map[string]any{"messages": 0.0})
			for c := 1; c <= proofProxies; c++ {
				h := hello(fmt.Sprint("f", c))
				h.Fresh, h.Holds, h.Mark = false, "c0", given
				next.pass(0.01, opened(statemachine.Conn(c)), data(statemachine.Conn(c), h))
			}
			next.pass(0.3)
			for c := 1; c <= proofProxies; c++ {
				pushes := next.pushes(statemachine.Conn(c))
				may := holds(pushes)
				for ep, by := range out {
					if may[ep] {
						t.Fatalf("cut at %d of %d: proxy %d may send to server %d, which is out of use", cut, size, c, ep)
					}
					if by[c] {
						kept++
						if has(pushes, proto.OpWithdraw, ep) {
							t.Fatalf("cut at %d: proxy %d is told again to withdraw %d", cut, c, ep)
						}
					}
				}
				for _, p := range pushes {
					if p.Marked && p.Mark <= given {
						t.Fatalf("cut at %d: mark %d, though %d was given before", cut, p.Mark, given)
					}
				}
			}
		}
		t.Logf("%d bytes, %d facts, %d times an order was to be known", size, len(r.facts), kept)
		if kept < 1000 {
			t.Error("hardly any order was put to the test")
		}
	}
}

// A withdrawal leaves at once, whatever the disk does; its answer counts when it is durable, or when that has taken too
// long; with a store out of order nothing waits.
func TestWithdrawalWaitsForNoDisk(t *testing.T) {
	r := newRig(t, nil, &checkpoint.Kept{})
	r.listed(6)
	r.join(1, "f0")
	r.run(0.1)
	r.step(0.01, data(1, proto.Answer{Mark: r.pushes(1)[0].Mark}))
	r.run(0.1)
	counted := func() bool { return len(r.m.core.answers) == 0 }
	for i, want := range []string{"durable", "slow", "out of order"} {
		r.stuck = true
		r.change(entry(i+1, proto.ServerDraining))
		if want == "out of order" {
			r.step(0, statemachine.Input{Kind: statemachine.PersistFailed, Text: "no space"})
		}
		r.run(0.02)
		p := r.pushes(1)
		if !has(p, proto.OpWithdraw, proto.EP(i+1)) {
			t.Fatalf("%s: the withdrawal waited: %+v", want, p)
		}
		for _, x := range p {
			r.step(0.001, data(1, proto.Answer{Mark: x.Mark}))
		}
		r.run(0.1)
		if counted() != (want == "out of order") {
			t.Errorf("%s: counted %v", want, counted())
		}
		switch want {
		case "durable":
			r.stuck = false
			r.run(0.01)
		case "slow":
			steps := r.m.Stats().Steps
			r.run(0.6)
			if steps = r.m.Stats().Steps - steps; steps > 200 {
				t.Errorf("%d steps while the disk hung", steps)
			}
		}
		if !counted() {
			t.Errorf("%s: the answer still does not count", want)
		}
		r.stuck = false
		r.run(0.1)
	}
	if !slices.ContainsFunc(r.logs, func(l string) bool { return strings.Contains(l, "the store is out of order") }) ||
		!slices.ContainsFunc(r.logs, func(l string) bool { return strings.Contains(l, "in order again") }) {
		t.Errorf("%q", r.logs)
	}
}

// Nothing that has a mark leaves before the first lot of marks is durable; a disk that hangs delays that by half a second.
func TestMarksAreSetAsideFirst(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		r := newRig(t, nil, &checkpoint.Kept{Marks: 500})
		r.stuck = true
		r.listed(5)
		began := r.now
		r.m.core.keep = checkpoint.New(began, &checkpoint.Kept{Marks: 500})
		r.join(1, "f0")
		r.run(0.1)
		if p := r.pushes(1); len(p) != 0 {
			t.Fatalf("it left: %+v", p)
		}
		if r.stuck = hangs; hangs {
			r.run(0.5)
		} else {
			r.run(0.01)
		}
		if p := r.pushes(1); len(p) != 1 || p[0].Mark < 500 {
			t.Errorf("hangs %v: %+v", hangs, p)
		}
	}
}

// All servers left the list, and the coordinator died: a proxy that comes back with the tables of before is told what is
// out of use, though there is no table to give it.
func TestDrainsAreKnownWithoutATable(t *testing.T) {
	r := newRig(t, nil, &checkpoint.Kept{})
	r.listed(2)
	r.join(1, "f0")
	r.run(0.1)
	r.change(entry(1, proto.ServerGone), entry(2, proto.ServerGone))
	r.run(0.1)
	next := newRig(t, nil, r.kept())
	h := hello("f0")
	h.Fresh, h.Holds = false, "c0"
	next.step(0.01, opened(1), data(1, h))
	next.run(0.1)
	all := next.pushes(1)
	bound := slices.ContainsFunc(all, func(p proto.Push) bool {
		return slices.ContainsFunc(p.Ops, func(o proto.Op) bool { return o.Kind == proto.OpBind })
	})
	if !bound && (!has(all, proto.OpWithdraw, 1) || !has(all, proto.OpWithdraw, 2)) {
		t.Fatalf("bound %v: %+v", bound, all)
	}
}
