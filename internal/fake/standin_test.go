package fake

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gingerfork/internal/emulator"
	"gingerfork/internal/proto"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// herald welcomes proxies and pushes them one table.
type herald struct {
	ops     []proto.TableOp
	readers map[statemachine.Conn]*proto.Reader
	answers int
	hellos  int
	deaf    bool // says nothing more after the push
}

func (h *herald) Step(_ statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		if i.Kind == statemachine.ConnOpened {
			h.readers[i.Conn] = &proto.Reader{}
		}
		r := h.readers[i.Conn]
		if i.Kind != statemachine.ConnData || r == nil {
			continue
		}
		r.Feed(i.Data)
		for m, err := r.Next(); m != nil && err == nil; m, err = r.Next() {
			switch m.(type) {
			case proto.Hello:
				h.hellos++
				r.HandshakeDone()
				b := proto.Append(nil, proto.Welcome{Version: 1, Name: "c0", ReportPeriod: 1})
				out.Write(i.Conn, proto.Append(b, proto.Push{Sequence: 1, HasNonce: true, Nonce: 7, Ops: h.ops}))
			case proto.Acknowledgement:
				h.answers++
			case proto.Reports:
				if !h.deaf {
					out.Write(i.Conn, proto.Append(nil, proto.ReportsReceived{}))
				}
			}
		}
	}
}

// play runs a front end under one table with servers, and counts tries by server and ends by kind.
func play(t *testing.T, span float64, trade FrontEndConfig, h *herald, servers ...emulator.Config) (tries map[uint32]int, ends map[string]int, all []trace.Record) {
	t.Helper()
	w := simnet.New(1, 1e6, 0.0003, 0.0006)
	tries, ends = map[uint32]int{}, map[string]int{}
	w.Trace = func(r trace.Record) {
		all = append(all, r)
		switch r.Kind {
		case trace.AttemptSent:
			tries[r.Backend]++
		case trace.RPCFinished:
			ends[r.Text]++
		}
	}
	h.readers = map[statemachine.Conn]*proto.Reader{}
	w.AddNode("c0", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return h }, "c0")
	w.Start("c0")
	for _, s := range servers {
		name := fmt.Sprint("s", s.Backend)
		w.AddNode(name, "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return emulator.NewBackend(s) }, name)
		w.Start(name)
	}
	trade.Name, trade.Zone, trade.Coordinators, trade.ReportPeriod, trade.ConnectTimeout, trade.Seed = "f0", "a", []string{"c0"}, 1, 0.2, 3
	if trade.Methods == nil {
		trade.Methods = []MethodConfig{{Name: "m", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}}
	}
	w.AddNode("f0", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return NewFrontEnd(trade) })
	w.Start("f0")
	w.RunUntil(1e6 + span)
	return tries, ends, all
}

func bind(level *proto.Admission, weights ...float64) *herald {
	o := proto.TableOp{Kind: proto.OpBind}
	for i, w := range weights {
		o.Entries = append(o.Entries, proto.TableEntry{Backend: proto.BackendID(i + 1), Weight: w, Addr: fmt.Sprint("s", i+1)})
	}
	if level != nil {
		o.Admissions = []proto.Admission{*level}
	}
	return &herald{ops: []proto.TableOp{o}}
}

// server is one that carries so many RPCs a second on so many cores.
func server(ep proto.BackendID, capacity float64, cores, queue int) emulator.Config {
	return emulator.Config{
		Backend: ep, Cores: cores, Speed: 1, Work: []emulator.Work{{Mean: float64(cores) / capacity}}, QueueLimit: queue, Seed: uint64(ep),
		CancelPolicy: emulator.DropQueued,
	}
}

func quick(ep proto.BackendID) emulator.Config {
	return server(ep, 5000, 50, 100)
}

func TestPicks(t *testing.T) {
	for pick, most := range map[string]float64{"lottery": 0.03, "even": 0.002} {
		tries, ends, _ := play(t, 40, FrontEndConfig{Rate: 100, Policy: pick}, bind(nil, 1, 2, 5), quick(1), quick(2), quick(3))
		sum := float64(tries[1] + tries[2] + tries[3])
		for i, want := range []float64{1.0 / 8, 2.0 / 8, 5.0 / 8} {
			if got := float64(tries[uint32(i+1)]) / sum; math.Abs(got-want) > most {
				t.Errorf("%s: server %d has %.3f of the tries, %.3f by weight", pick, i+1, got, want)
			}
		}
		if ends["ok"] < 3000 || ends["aborted"] > 0 {
			t.Error(pick, ends)
		}
	}
	// Of two drawn, the one with fewer RPCs under way: one that is slow gets less than its weight.
	slow := server(1, 30, 20, 100)
	tries, _, _ := play(t, 40, FrontEndConfig{Rate: 60, Policy: "pair"}, bind(nil, 1, 1), slow, quick(2))
	if part := float64(tries[1]) / float64(tries[1]+tries[2]); part > 0.35 || part < 0.02 {
		t.Errorf("pair: the slow server has %.2f of the tries", part)
	}
}

func TestTriesAsOrdered(t *testing.T) {
	full := server(1, 1, 0, 0)           // pushes all back: proof
	hangs := server(1, 0.001, 100000, 9) // takes it and does not answer
	for name, c := range map[string]struct {
		first emulator.Config
		tries uint64
		again bool
	}{
		"once, after proof": {full, 0, false}, "proven, after proof": {full, 1, true}, "proven, without": {hangs, 1, false}, "again, without": {hangs, 2, true},
	} {
		_, ends, all := play(t, 20, FrontEndConfig{Rate: 10, Policy: "lottery", AttemptTimeout: 0.8}, bind(&proto.Admission{Level: 1, Retry: c.tries}, 1, 1), c.first, quick(2))
		again := 0
		for _, r := range all {
			if r.Kind == trace.AttemptSent && r.Count == 2 {
				again++
			}
			if r.Kind == trace.AttemptSent && r.Count > 2 {
				t.Fatalf("%s: a third try", name)
			}
		}
		if (again > 0) != c.again || c.again == (ends["aborted"]+ends["pushed back"] > 0) {
			t.Errorf("%s: %d tried again, %v", name, again, ends)
		}
	}
}

func TestLevelsStrikesAndSilence(t *testing.T) {
	_, ends, _ := play(t, 40, FrontEndConfig{Rate: 100, Policy: "even"}, bind(&proto.Admission{Level: 0.25}, 1), quick(1))
	if part := float64(ends["ok"]) / float64(ends["ok"]+ends["pushed back"]); math.Abs(part-0.25) > 0.03 {
		t.Errorf("a level of a quarter lets in %.3f", part)
	}
	_, ends, _ = play(t, 40, FrontEndConfig{Rate: 100, Policy: "even", AdmissionIsRate: true}, bind(&proto.Admission{Level: 20}, 1), quick(1))
	if n := ends["ok"]; n < 700 || n > 900 {
		t.Errorf("a level of 20 a second let in %d in 40 s", n)
	}
	full := server(1, 1, 0, 0)
	without, _, _ := play(t, 30, FrontEndConfig{Rate: 50, Policy: "lottery"}, bind(nil, 1, 1), full, quick(2))
	with, _, _ := play(t, 30, FrontEndConfig{Rate: 50, Policy: "lottery", FailureLimit: 3, AvoidFor: 5}, bind(nil, 1, 1), full, quick(2))
	if with[1]*5 > without[1] || with[1] < 6 {
		t.Errorf("with strikes %d tries at a server that pushes all back, %d without", with[1], without[1])
	}
	h := bind(nil, 1)
	h.deaf = true
	if play(t, 30, FrontEndConfig{Rate: 1, Policy: "even"}, h, quick(1)); h.hellos < 4 || h.answers != h.hellos {
		t.Errorf("%d hellos and %d answers to a coordinator that falls silent", h.hellos, h.answers)
	}
}

// Clients whose RPC failed come again as told: others than idempotent ones only after proof that theirs never ran.
func TestClientsComeAgain(t *testing.T) {
	for name, c := range map[string]struct {
		effect Repeatability
		first  emulator.Config
		again  bool
	}{
		"idempotent, hangs":      {Idempotent, server(1, 0.001, 100000, 9), true},
		"non-idempotent, hangs":  {NonIdempotent, server(1, 0.001, 100000, 9), false},
		"non-idempotent, pushed": {NonIdempotent, server(1, 1, 0, 0), true},
	} {
		methods := []MethodConfig{{Name: "m", Repeatability: c.effect, Criticality: 1, SoftDeadline: 0.3, Deadline: 0.5, Share: 1}}
		trade := FrontEndConfig{Rate: 10, Policy: "even", Methods: methods, ClientRetryChance: 1, ClientRetryBackoff: 0.1, ClientRetryLimit: 2}
		_, ends, _ := play(t, 30, trade, bind(nil, 1), c.first)
		trade.ClientRetryChance = 0
		_, once, _ := play(t, 30, trade, bind(nil, 1), c.first)
		all, alone := float64(ends["aborted"]+ends["pushed back"]), float64(once["aborted"]+once["pushed back"])
		if part := all / alone; c.again && (part < 2.7 || part > 3.3) || !c.again && (part < 0.8 || part > 1.25) {
			t.Errorf("%s: %.0f RPCs failed, %.0f where nobody comes again", name, all, alone)
		}
	}
}

func TestColdServerFallsOver(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		falls bool
	}{{20, false}, {60, true}} {
		cold := server(1, 60, 10, 200)
		cold.StartsCold, cold.ColdSpeed, cold.WarmupTime, cold.OverloadMultiple, cold.OverloadWindow = true, 0.25, 20, 2.5, 1
		_, ends, all := play(t, 10, FrontEndConfig{Rate: c.rate, Policy: "even"}, bind(nil, 1), cold)
		fell := 0
		for _, r := range all {
			if r.Kind == trace.BackendCollapsed {
				fell++
			}
		}
		if (fell == 1) != c.falls || fell > 1 || c.falls && ends["ok"] > 100 {
			t.Errorf("at %v RPCs a second, %d falls, %v", c.rate, fell, ends)
		}
		warm := cold
		warm.StartsCold = false
		if _, ends, _ = play(t, 10, FrontEndConfig{Rate: c.rate, Policy: "even"}, bind(nil, 1), warm); ends["aborted"] > 0 {
			t.Errorf("a warm one fell at %v: %v", c.rate, ends)
		}
	}
}

// Repeats of a token run once, wherever they come.
func TestStoreDropsRepeats(t *testing.T) {
	store := &emulator.KeyStore{Window: 5}
	hangs := server(1, 2, 50, 100)
	hangs.KeyStore = store
	other := quick(2)
	other.KeyStore = store
	methods := []MethodConfig{{Name: "save", Repeatability: IdempotentWithKey, Criticality: 1, SoftDeadline: 0.3, Deadline: 2, Share: 1}}
	_, _, all := play(t, 20, FrontEndConfig{Rate: 20, Policy: "lottery", AttemptTimeout: 0.8, Methods: methods}, bind(&proto.Admission{Level: 1, Retry: 2}, 1, 1), hangs, other)
	runs, again := map[uint64]int{}, 0
	for _, r := range all {
		if r.Kind == trace.EffectExecuted {
			runs[r.RPCID]++
		}
		if r.Kind == trace.AttemptSent && r.Count == 2 {
			again++
		}
	}
	for rpc, n := range runs {
		if n > 1 {
			t.Fatalf("RPC %d ran %d times", rpc, n)
		}
	}
	if again < 20 {
		t.Fatalf("only %d repeats: the test lost its cause", again)
	}
}

// The list service tells what changed since a version, all where it can't, and nothing twice.
func TestListAnswers(t *testing.T) {
	l := NewEndpointService([]Endpoint{{Backend: 1, State: proto.BackendOpen, Addr: "s1", Incarnation: 1}, {Backend: 2, State: proto.BackendOpen, Addr: "s2", Incarnation: 1}})
	var got []proto.EndpointUpdate
	var r proto.Reader
	r.HandshakeDone()
	now := 10.0
	step := func(in ...statemachine.Input) []proto.EndpointUpdate {
		now += 0.01
		var out statemachine.Effects
		out.Reset()
		l.Step(now, in, &out)
		got = nil
		for _, a := range out.Actions {
			r.Feed(a.Data)
			for m, _ := r.Next(); m != nil; m, _ = r.Next() {
				if x, ok := m.(proto.EndpointUpdate); ok && (x.Kind != proto.UpdateDelta || len(x.Endpoints) > 0) {
					got = append(got, x)
				}
			}
		}
		return got
	}
	say := func(text string) statemachine.Input {
		return statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}
	}
	ask := func(since uint64) statemachine.Input {
		return statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(nil, proto.WatchEndpoints{On: true, SinceVersion: since})}
	}
	step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1}, statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleWatcher, Name: "c0"})})
	if all := step(ask(0)); len(all) != 1 || all[0].Kind != proto.UpdateFull || len(all[0].Endpoints) != 2 {
		t.Fatal(all)
	}
	if all := step(say("state 1 draining")); len(all) != 1 || all[0].Kind != proto.UpdateDelta || all[0].BaseVersion != 1 || all[0].Version != 2 || all[0].Endpoints[0].State != proto.BackendDraining {
		t.Fatal(all)
	}
	if all := step(say("stale on"), say("state 1 gone"), say("restart 1")); len(all) != 0 {
		t.Fatal("told while stale:", all)
	}
	if all := step(say("stale off")); len(all) != 1 || len(all[0].Endpoints) != 1 || all[0].Endpoints[0].State != proto.BackendOpen || all[0].Endpoints[0].StartedLongAgo || all[0].Endpoints[0].Incarnation != 2 {
		t.Fatal("not the last state of each, once:", all)
	}
	if all := step(ask(2)); len(all) != 1 || all[0].BaseVersion != 2 || all[0].Version != 4 {
		t.Fatal(all)
	}
	if all := step(ask(9)); len(all) != 1 || all[0].Kind != proto.UpdateFull {
		t.Fatal("a version it never had:", all)
	}
	if all := step(say("show none")); len(all) != 1 || all[0].Kind != proto.UpdateFull || len(all[0].Endpoints) != 0 {
		t.Fatal(all)
	}
	if all := step(say("show all")); len(all) != 1 || len(all[0].Endpoints) != 2 {
		t.Fatal(all)
	}
	if all := step(say("fail on")); len(all) != 0 || len(l.watchers) != 0 {
		t.Fatal(all)
	}
}

// A relay keeps the order, holds what a cut stops, and is late when told.
func TestRelay(t *testing.T) {
	r := NewRelay("there")
	now := 10.0
	var wrote []string
	var to statemachine.Conn
	out := statemachine.Effects{}
	step := func(at float64, in ...statemachine.Input) {
		now = at
		out.Reset()
		r.Step(now, in, &out)
		for _, a := range out.Actions {
			switch a.Kind {
			case statemachine.ActionDial:
				to = a.Conn
			case statemachine.ActionWrite:
				wrote = append(wrote, string(a.Data))
			case statemachine.ActionClose:
				wrote = append(wrote, "end")
			}
		}
	}
	send := func(text string) statemachine.Input {
		return statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: []byte(text)}
	}
	word := func(text string) statemachine.Input {
		return statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}
	}
	step(10, statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1}, send("a"))
	step(11, statemachine.Input{Kind: statemachine.ConnOpened, Conn: to}, send("b"))
	step(12, word("set 0 0 0 2 0"), send("c"))
	step(13, word("set 0 1 0 0 0"), send("d"))
	step(20, send("e"), statemachine.Input{Kind: statemachine.ConnClosed, Conn: 1})
	if got := strings.Join(wrote, " "); got != "a b" {
		t.Fatalf("through a cut went %q", got)
	}
	step(21, word("set 0 0 0 0 0"))
	step(30)
	if got := strings.Join(wrote, " "); got != "a b c d e end" {
		t.Fatalf("after the cut went %q", got)
	}
}

// A crowd's members are stepped when something is theirs, and keep to themselves.
func TestCrowd(t *testing.T) {
	c := NewMultiplexer()
	for i := range 3 {
		c.Add(fmt.Sprint("s", i), emulator.NewBackend(quick(proto.BackendID(i+1))), 1)
	}
	var out statemachine.Effects
	out.Reset()
	hello := proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleClient, Name: "x"})
	c.Step(1, []statemachine.Input{
		{Kind: statemachine.ConnOpened, Conn: 5, Listener: 2},
		{Kind: statemachine.ConnOpened, Conn: 6, Listener: 0},
		{Kind: statemachine.ConnData, Conn: 5, Data: hello},
		{Kind: statemachine.OperatorCommand, Text: "s0 drain"},
		{Kind: statemachine.ConnData, Conn: 6, Data: proto.Append(hello, proto.RPC{ID: 1, TimeLeft: 1})},
	}, &out)
	var names []string
	for _, a := range out.Actions {
		var r proto.Reader
		r.HandshakeDone()
		r.Feed(a.Data)
		for m, _ := r.Next(); m != nil; m, _ = r.Next() {
			names = append(names, fmt.Sprint(a.Conn, m))
		}
	}
	if got := strings.Join(names, "; "); !strings.Contains(got, "5 {1 server-3 0 []}") || !strings.Contains(got, "6 {1 server-1 0 []}") || !strings.Contains(got, "6 {1 pushed back false 0}") {
		t.Fatal(got)
	}
	if c.members[1].wake < statemachine.Never && c.members[1].next != 0 {
		t.Fatal("a member that nothing came for was opened")
	}
}
