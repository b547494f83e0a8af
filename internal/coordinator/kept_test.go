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
type durableFact struct {
	logSize  int // bytes of the segment
	proxy    int
	backend  proto.EP
	nonce    uint64
	restored bool
}

// run is a coordinator over a store, whose every record is written and synced in its turn, and what was said of it.
type storeHarness struct {
	*harness
	folder *disk.Memory
	store  *store.Store
	facts  []durableFact
}

func newStoreHarness(t *testing.T, folder *disk.Memory, overrides map[string]any) *storeHarness {
	t.Helper()
	s, _, err := store.Open(store.Bootstrap{Folder: folder, ID: 1, LeastLog: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	kept, err := checkpoint.Read(s.Scan(""))
	if err != nil {
		t.Fatal(err)
	}
	return &storeHarness{harness: newHarness(t, overrides, kept), folder: folder, store: s}
}

func (r *storeHarness) segment() (name string, size int) {
	names, _ := r.folder.Names()
	name = slices.MaxFunc(slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".seg") }), strings.Compare)
	return name, len(r.folder.Bytes(name))
}

// go on for a time; each batch is durable before the machine hears so.
func (r *storeHarness) advanceDurably(span float64, in ...statemachine.Input) {
	r.t.Helper()
	r.storeHangs = true // this run tells it itself
	for end := r.now + span; ; {
		r.step(0, in...)
		in = nil
		if r.batch > 0 {
			var b store.Batch
			for _, p := range r.effects.Mutations {
				if p.Value == nil {
					b.Delete(p.Key)
				} else {
					b.Put(p.Key, p.Value)
				}
			}
			if err := r.store.Commit(&b); err != nil {
				r.t.Fatal(err)
			}
			in, r.batch = []statemachine.Input{{Kind: statemachine.Persisted, Batch: r.batch}}, 0
			r.now += 0.001
			continue
		}
		if r.now >= end {
			return
		}
		r.now += max(0.0001, min(r.effects.WakeAt, end)-r.now)
	}
}

// obey has the proxies answer, and notes what that makes true.
func (r *storeHarness) acknowledgeAll(proxies int) {
	r.t.Helper()
	for range 3 {
		for c := 1; c <= proxies; c++ {
			for _, p := range r.pushes(statemachine.Conn(c)) {
				_, at := r.segment()
				r.facts = append(r.facts, durableFact{logSize: at, nonce: p.Mark})
				r.advanceDurably(0.01, data(statemachine.Conn(c), proto.Answer{Mark: p.Mark}))
				for _, o := range p.Ops {
					if o.Kind == proto.OpWithdraw {
						_, at := r.segment()
						r.facts = append(r.facts, durableFact{logSize: at, proxy: c, backend: o.Withdrawn[0]})
					}
				}
			}
		}
		r.advanceDurably(0.05)
	}
}

func (r *storeHarness) applyEndpoints(entries ...proto.Entry) {
	r.t.Helper()
	r.version++
	_, at := r.segment()
	for _, e := range entries {
		if e.State == proto.ServerOpen {
			r.facts = append(r.facts, durableFact{logSize: at, backend: e.EP, restored: true})
		}
	}
	r.advanceDurably(0.05, data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: r.version - 1, Version: r.version, Entries: entries}))
}

const restartProxies = 3

// proofDay is a run of orders: drains, servers that go and come back, with what proxies answered.
func playRestartScenario(t *testing.T, folder *disk.Memory, compact bool) *storeHarness {
	r := newStoreHarness(t, folder, map[string]any{"messages": 0.0})
	r.advanceDurably(0.5)
	r.version++
	l := proto.List{Kind: proto.ListFull, Version: r.version}
	for i := range 8 {
		l.Entries = append(l.Entries, listEntry(i+1, proto.ServerOpen))
	}
	r.advanceDurably(0.1, opened(r.endpointConn), data(r.endpointConn, proto.Welcome{Version: 1, Name: "list"}, l))
	for c := 1; c <= restartProxies; c++ {
		r.advanceDurably(0.01, opened(statemachine.Conn(c)), data(statemachine.Conn(c), hello(fmt.Sprint("f", c))))
	}
	r.advanceDurably(0.2)
	r.acknowledgeAll(restartProxies)
	r.applyEndpoints(listEntry(1, proto.ServerDraining))
	r.acknowledgeAll(restartProxies)
	r.applyEndpoints(listEntry(2, proto.ServerDraining), listEntry(3, proto.ServerGone))
	r.acknowledgeAll(restartProxies)
	if compact {
		for more := true; more; {
			var err error
			if more, err = r.store.Compact(true); err != nil {
				t.Fatal(err)
			}
		}
		r.facts = append(r.facts, durableFact{}) // what was before is in the snapshot
		for i := range r.facts {
			r.facts[i].logSize = 0
		}
	}
	back := listEntry(1, proto.ServerOpen)
	back.Stamp = 2
	r.applyEndpoints(back)
	r.acknowledgeAll(restartProxies)
	r.applyEndpoints(listEntry(4, proto.ServerGone), listEntry(5, proto.ServerDraining))
	r.acknowledgeAll(restartProxies)
	r.advanceDurably(1.5)
	return r
}

// The users' own proof: the store's log cut at every byte, the coordinator started on what is left, with nobody to ask for
// a newer list. No order that was acknowledged before is lost: no proxy may send to a server that it had confirmed as out
// of use. None is repeated: no withdrawal that a proxy had confirmed is sent to it once more, and no mark given twice.
func TestRestartFromStoreCutAtEveryByte(t *testing.T) {
	for _, compact := range []bool{false, true} {
		folder := disk.NewMemory()
		r := playRestartScenario(t, folder, compact)
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
				case f.logSize > cut:
				case f.nonce > 0:
					given = max(given, f.nonce)
				case f.restored:
					delete(out, f.backend)
				case f.backend > 0:
					if out[f.backend] == nil {
						out[f.backend] = map[int]bool{}
					}
					out[f.backend][f.proxy] = true
				}
			}
			next := newStoreHarness(t, left, map[string]any{"messages": 0.0})
			for c := 1; c <= restartProxies; c++ {
				h := hello(fmt.Sprint("f", c))
				h.Fresh, h.Holds, h.Mark = false, "c0", given
				next.advanceDurably(0.01, opened(statemachine.Conn(c)), data(statemachine.Conn(c), h))
			}
			next.advanceDurably(0.3)
			for c := 1; c <= restartProxies; c++ {
				pushes := next.pushes(statemachine.Conn(c))
				may := routableBackends(pushes)
				for ep, by := range out {
					if may[ep] {
						t.Fatalf("cut at %d of %d: proxy %d may send to server %d, which is out of use", cut, size, c, ep)
					}
					if by[c] {
						kept++
						if hasOp(pushes, proto.OpWithdraw, ep) {
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
func TestExclusionDoesNotWaitForStore(t *testing.T) {
	r := newHarness(t, nil, &checkpoint.Kept{})
	r.serveEndpoints(6)
	r.join(1, "f0")
	r.advance(0.1)
	r.step(0.01, data(1, proto.Answer{Mark: r.pushes(1)[0].Mark}))
	r.advance(0.1)
	counted := func() bool { return len(r.machine.controller.heldAcknowledgements) == 0 }
	for i, want := range []string{"durable", "slow", "out of order"} {
		r.storeHangs = true
		r.updateEndpoints(listEntry(i+1, proto.ServerDraining))
		if want == "out of order" {
			r.step(0, statemachine.Input{Kind: statemachine.PersistFailed, Text: "no space"})
		}
		r.advance(0.02)
		p := r.pushes(1)
		if !hasOp(p, proto.OpWithdraw, proto.EP(i+1)) {
			t.Fatalf("%s: the withdrawal waited: %+v", want, p)
		}
		for _, x := range p {
			r.step(0.001, data(1, proto.Answer{Mark: x.Mark}))
		}
		r.advance(0.1)
		if counted() != (want == "out of order") {
			t.Errorf("%s: counted %v", want, counted())
		}
		switch want {
		case "durable":
			r.storeHangs = false
			r.advance(0.01)
		case "slow":
			steps := r.machine.Stats().Steps
			r.advance(0.6)
			if steps = r.machine.Stats().Steps - steps; steps > 200 {
				t.Errorf("%d steps while the disk hung", steps)
			}
		}
		if !counted() {
			t.Errorf("%s: the answer still does not count", want)
		}
		r.storeHangs = false
		r.advance(0.1)
	}
	if !slices.ContainsFunc(r.logs, func(l string) bool { return strings.Contains(l, "store unavailable") }) ||
		!slices.ContainsFunc(r.logs, func(l string) bool { return strings.Contains(l, "store recovered") }) {
		t.Errorf("%q", r.logs)
	}
}

// Nothing that has a mark leaves before the first lot of marks is durable; a disk that hangs delays that by half a second.
func TestNoncesAreReservedBeforePushes(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		r := newHarness(t, nil, &checkpoint.Kept{Marks: 500})
		r.storeHangs = true
		r.serveEndpoints(5)
		began := r.now
		r.machine.controller.checkpoint = checkpoint.New(began, &checkpoint.Kept{Marks: 500})
		r.join(1, "f0")
		r.advance(0.1)
		if p := r.pushes(1); len(p) != 0 {
			t.Fatalf("it left: %+v", p)
		}
		if r.storeHangs = hangs; hangs {
			r.advance(0.5)
		} else {
			r.advance(0.01)
		}
		if p := r.pushes(1); len(p) != 1 || p[0].Mark < 500 {
			t.Errorf("hangs %v: %+v", hangs, p)
		}
	}
}

// All servers left the list, and the coordinator died: a proxy that comes back with the tables of before is told what is
// out of use, though there is no table to give it.
func TestDrainsSurviveRestartWithoutTable(t *testing.T) {
	r := newHarness(t, nil, &checkpoint.Kept{})
	r.serveEndpoints(2)
	r.join(1, "f0")
	r.advance(0.1)
	r.updateEndpoints(listEntry(1, proto.ServerGone), listEntry(2, proto.ServerGone))
	r.advance(0.1)
	next := newHarness(t, nil, r.restartState())
	h := hello("f0")
	h.Fresh, h.Holds = false, "c0"
	next.step(0.01, opened(1), data(1, h))
	next.advance(0.1)
	all := next.pushes(1)
	bound := slices.ContainsFunc(all, func(p proto.Push) bool {
		return slices.ContainsFunc(p.Ops, func(o proto.Op) bool { return o.Kind == proto.OpBind })
	})
	if !bound && (!hasOp(all, proto.OpWithdraw, 1) || !hasOp(all, proto.OpWithdraw, 2)) {
		t.Fatalf("bound %v: %+v", bound, all)
	}
}
