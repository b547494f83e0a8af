package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

func testSettings(overrides map[string]any) map[string]any {
	settings := map[string]any{"listing": "asked", "ask_within": 10.0, "cold_share": 0.3, "warm_after": 10.0, "drain_grace": 2.0, "fall_multiple": 2.5,
		"channel_room": 20000.0, "channel_pace": 10000.0, "message_lines": 10.0, "messages": 30.0, "messages_span": 10.0, "push_time": 0.1,
		"push_time_worst": 0.3, "proxies": 4.0, "level_kind": "share", "report_period": 1.0, "probes": true, "try_wait": 0.8, "tick": 0.004,
		"zone": "a", "zones.n": 2.0, "zones.0": "a", "zones.1": "b", "method.n": 2.0, "method.0.name": "read", "method.0.effect": "idempotent",
		"method.0.soft_deadline": 1.0, "method.0.criticality": 1.0, "method.1.name": "submit", "method.1.effect": "non-idempotent",
		"method.1.soft_deadline": 1.0, "method.1.criticality": 2.0}
	for name, value := range overrides {
		settings[name] = value
	}
	return settings
}

// rig drives a Machine by hand: it plays the list service and any number of proxies, byte by byte if need be.
type harness struct {
	t            *testing.T
	machine      *Machine
	now          float64
	effects      statemachine.Effects
	endpointConn statemachine.Conn
	probes       map[statemachine.Conn]string
	readers      map[statemachine.Conn]*proto.Reader
	received     map[statemachine.Conn][]proto.Message
	closed       map[statemachine.Conn]bool
	version      uint64
	records      map[string][]byte // what is kept
	batch        uint64            // that the machine is yet to be told of as durable
	storeHangs   bool              // the disk does not answer
	logs         []string
}

func newHarness(t *testing.T, overrides map[string]any, kept *checkpoint.Kept) *harness {
	r := &harness{t: t, now: 1000, probes: map[statemachine.Conn]string{}, readers: map[statemachine.Conn]*proto.Reader{}, received: map[statemachine.Conn][]proto.Message{},
		closed: map[statemachine.Conn]bool{}, records: map[string][]byte{}}
	r.machine = NewMachine(Bootstrap{Name: "c0", Zone: "a", EndpointListAddr: "list", ModuleConfig: choice.Config{Seed: 1, Now: r.now, Settings: choice.DecodeSettings(testSettings(overrides))}, HandshakeTimeout: 5,
		ProxyIdleTimeout: 10, EndpointListIdleTimeout: 5, ProbeTimeout: 1, MaxStreams: 1000, MaxProbes: 4}, kept)
	return r
}

// step has the machine take inputs, and sorts what it says by connection.
func (r *harness) step(after float64, in ...statemachine.Input) {
	r.t.Helper()
	r.now += after
	r.effects.Reset()
	if r.batch > 0 && !r.storeHangs {
		in = append([]statemachine.Input{{Kind: statemachine.Persisted, Batch: r.batch}}, in...)
		r.batch = 0
	}
	r.machine.Step(r.now, in, &r.effects)
	if r.effects.Failure != "" {
		r.t.Fatal(r.effects.Failure)
	}
	for _, n := range r.effects.LogEntries {
		r.logs = append(r.logs, fmt.Sprint(n.Message, n.Attributes))
	}
	for _, p := range r.effects.Mutations {
		if r.records[p.Key] = p.Value; p.Value == nil {
			delete(r.records, p.Key)
		}
	}
	if r.effects.Batch > 0 {
		r.batch = r.effects.Batch
		r.effects.WakeBy(r.now + 0.001)
	}
	for _, a := range r.effects.Actions {
		switch a.Kind {
		case statemachine.ActionDial:
			if a.Addr == "list" {
				r.endpointConn = a.Conn
			} else {
				r.probes[a.Conn] = a.Addr
			}
		case statemachine.ActionWrite:
			if r.readers[a.Conn] == nil {
				r.readers[a.Conn] = &proto.Reader{}
				r.readers[a.Conn].Open()
			}
			r.readers[a.Conn].Feed(a.Data)
			for {
				m, err := r.readers[a.Conn].Next()
				if err != nil {
					r.t.Fatal(err)
				}
				if m == nil {
					break
				}
				r.received[a.Conn] = append(r.received[a.Conn], m)
			}
		default:
			r.closed[a.Conn] = true
		}
	}
}

// run steps until a time has passed, whenever the machine asks for it.
func (r *harness) advance(span float64) {
	r.t.Helper()
	for end := r.now + span; r.now < end; {
		r.step(max(0.0001, min(r.effects.WakeAt, end)-r.now))
	}
}

// kept is what a restart finds.
func (r *harness) restartState() *checkpoint.Kept {
	r.t.Helper()
	k, err := checkpoint.Read(maps.All(r.records))
	if err != nil {
		r.t.Fatal(err)
	}
	return k
}

func data(c statemachine.Conn, all ...proto.Message) statemachine.Input {
	var b []byte
	for _, m := range all {
		b = proto.Append(b, m)
	}
	return statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: b}
}

func opened(c statemachine.Conn) statemachine.Input {
	return statemachine.Input{Kind: statemachine.ConnOpened, Conn: c}
}
func closed(c statemachine.Conn) statemachine.Input {
	return statemachine.Input{Kind: statemachine.ConnClosed, Conn: c}
}

func hello(name string) proto.Hello {
	return proto.Hello{Version: proto.Version, Role: proto.RoleProxy, Name: name, Zone: "a", Rate: 10, Fresh: true}
}

func listEntry(ep int, state proto.ServerState) proto.Entry {
	return proto.Entry{EP: proto.EP(ep), State: state, Zone: "a", Weight: 1, Old: true, Stamp: 1, Addr: fmt.Sprintf("s%d", ep)}
}

// listed answers the list's dial and shows the servers.
func (r *harness) serveEndpoints(n int) {
	r.t.Helper()
	r.advance(0.5)
	if r.endpointConn == 0 {
		r.t.Fatal("the list service was not dialled")
	}
	r.version++
	l := proto.List{Kind: proto.ListFull, Version: r.version}
	for i := range n {
		l.Entries = append(l.Entries, listEntry(i+1, proto.ServerOpen))
	}
	r.step(0.01, opened(r.endpointConn), data(r.endpointConn, proto.Welcome{Version: 1, Name: "list"}, l))
	r.advance(0.1)
}

func (r *harness) updateEndpoints(entries ...proto.Entry) {
	r.version++
	r.step(0.01, data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: r.version - 1, Version: r.version, Entries: entries}))
}

func (r *harness) join(c statemachine.Conn, name string) {
	r.step(0.01, opened(c), data(c, hello(name)))
}

// pushes takes what a connection was pushed since it was last asked.
func (r *harness) pushes(c statemachine.Conn) (all []proto.Push) {
	for _, m := range r.received[c] {
		if p, ok := m.(proto.Push); ok {
			all = append(all, p)
		}
	}
	r.received[c] = nil
	return all
}

func (r *harness) rejectionReason(c statemachine.Conn) string {
	for _, m := range r.received[c] {
		if x, ok := m.(proto.Refuse); ok && r.closed[c] {
			return x.Reason
		}
	}
	return ""
}

func hasOp(all []proto.Push, kind proto.OpKind, ep proto.EP) bool {
	return slices.ContainsFunc(all, func(p proto.Push) bool {
		return slices.ContainsFunc(p.Ops, func(o proto.Op) bool {
			return o.Kind == kind && (ep == 0 || slices.Contains(o.Withdrawn, ep) || len(o.Lines) == 1 && o.Lines[0].EP == ep)
		})
	})
}

// The thin path: a proxy joins, gets its full table, answers, and a drain withdraws a server from it.
func TestDrainExcludesBackend(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.join(1, "f0")
	r.advance(0.1)
	p := r.pushes(1)
	if len(p) != 1 || !p[0].Marked || p[0].Seq != 1 || p[0].Ops[len(p[0].Ops)-1].Kind != proto.OpBind || len(p[0].Ops[len(p[0].Ops)-1].Lines) < 3 {
		t.Fatalf("%+v", p)
	}
	r.step(0.01, data(1, proto.Answer{Mark: p[0].Mark}))
	ep := p[0].Ops[len(p[0].Ops)-1].Lines[0].EP
	r.updateEndpoints(listEntry(int(ep), proto.ServerDraining))
	r.advance(0.1)
	if all := r.pushes(1); !hasOp(all, proto.OpWithdraw, ep) {
		t.Fatalf("server %d was not withdrawn: %+v", ep, all)
	}
	if !slices.ContainsFunc(r.logs, func(l string) bool { return strings.HasPrefix(l, "backend excluded[backend "+fmt.Sprint(ep)+" nonce 2") }) {
		t.Errorf("the log does not tell of it: %q", r.logs)
	}
	if f := r.machine.Stats(); f.Joins != 1 || f.StaleAcknowledgements != 0 || f.Pushes != 2 {
		t.Errorf("%+v", f)
	}
}

// An answer to a mark of an earlier stream, or to one never sent, is ignored; nothing breaks.
func TestStaleAndUnknownAcknowledgementsAreIgnored(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.join(1, "f0")
	r.advance(0.1)
	old := r.pushes(1)[0].Mark
	r.step(0.01, closed(1))
	r.join(2, "f0")
	r.advance(0.1)
	mark := r.pushes(2)[0].Mark
	r.step(0.01, data(2, proto.Answer{Mark: old}, proto.Answer{Mark: 4711}))
	if f := r.machine.Stats(); f.StaleAcknowledgements != 2 || r.closed[2] {
		t.Fatalf("%+v", f)
	}
	r.step(0.01, data(2, proto.Answer{Mark: mark}, proto.Answer{Mark: mark}))
	if f := r.machine.Stats(); f.StaleAcknowledgements != 3 || r.closed[2] {
		t.Fatalf("an answer counted twice: %+v", f)
	}
}

// A proxy that joins twice at once is followed on its newer stream only.
func TestSecondStreamOfAProxyReplacesTheFirst(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.step(0.01, opened(1), opened(2), data(1, hello("f0")), data(2, hello("f0")))
	r.advance(0.2)
	if got := r.rejectionReason(1); !strings.Contains(got, "joined again") {
		t.Fatalf("the older stream: %q", got)
	}
	if p := r.pushes(2); len(p) != 1 || r.closed[2] {
		t.Fatalf("the newer stream: %+v", p)
	}
	r.step(0.1, closed(1)) // its end comes late, and must not end the newer
	r.updateEndpoints(listEntry(1, proto.ServerDraining), listEntry(2, proto.ServerDraining))
	r.advance(0.2)
	if !hasOp(r.pushes(2), proto.OpWithdraw, 0) {
		t.Fatal("the newer stream is not followed")
	}
}

// A proxy that never answers gets its table again, whole, and no other push in between.
func TestUnacknowledgedPushIsFollowedByFullTable(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.join(1, "f0")
	r.advance(0.1)
	first := len(r.pushes(1))
	r.updateEndpoints(proto.Entry{EP: 9, State: proto.ServerOpen, Zone: "a", Weight: 1, Old: true, Stamp: 1, Addr: "s9"})
	r.step(0.05)
	if first != 1 || len(r.pushes(1)) != 0 {
		t.Fatal("a push went out beside the one in flight")
	}
	for i := range 12 {
		r.advance(0.5)
		r.step(0, data(1, proto.Sums{Over: 1}))
		if p := r.pushes(1); hasOp(p, proto.OpBind, 0) {
			return
		} else if len(p) > 0 {
			t.Fatalf("%d: an ordinary push with one in flight: %+v", i, p)
		}
	}
	t.Fatal("no full table again")
}

// A drain that is told while a full table waits in a slow channel goes ahead, with the table before it.
func TestExclusionOvertakesQueuedPushes(t *testing.T) {
	r := newHarness(t, map[string]any{"channel_pace": 200.0, "messages": 0.0}, nil)
	r.serveEndpoints(6)
	var in []statemachine.Input
	for c := range statemachine.Conn(20) {
		in = append(in, opened(c+1), data(c+1, hello(fmt.Sprint("f", c))))
	}
	r.step(0.01, in...)
	r.advance(0.02)
	r.updateEndpoints(listEntry(1, proto.ServerDraining))
	r.step(0.005)
	waiting := 0
	for c := range statemachine.Conn(20) {
		if len(r.received[c+1]) == 1 {
			waiting++
		}
	}
	if waiting < 10 {
		t.Fatalf("only %d of 20 tables wait: the channel is not slow enough for the test", waiting)
	}
	r.advance(6)
	for c := range statemachine.Conn(20) {
		all := r.pushes(c + 1)
		for i, p := range all {
			if p.Seq != uint64(i+1) {
				t.Fatalf("proxy %d: push %d comes as number %d", c, p.Seq, i+1)
			}
		}
		if routableBackends(all)[1] {
			t.Errorf("proxy %d may still send to the drained server", c)
		}
	}
}

// holds is what a proxy may send to after its pushes.
func routableBackends(all []proto.Push) map[proto.EP]bool {
	weighted, excluded := map[proto.EP]bool{}, map[proto.EP]bool{}
	for _, p := range all {
		for _, o := range p.Ops {
			if o.Kind == proto.OpBind {
				weighted, excluded = map[proto.EP]bool{}, map[proto.EP]bool{}
			}
			for _, l := range o.Lines {
				weighted[l.EP], excluded[l.EP] = l.Weight > 0, l.Shut
			}
			for _, ep := range o.Withdrawn {
				excluded[ep] = o.Kind != proto.OpReadmit
			}
		}
	}
	for ep := range excluded {
		weighted[ep] = weighted[ep] && !excluded[ep]
	}
	return weighted
}

// An answer to a message that went ahead must not tell the module that those it passed have left.
func TestAcknowledgementOfExclusionWaitsForOvertakenPushes(t *testing.T) {
	core := newController(choice.Config{Now: 10, Settings: choice.DecodeSettings(testSettings(map[string]any{"channel_pace": 100.0}))}, nil)
	streams := make([]*proxyStream, 3)
	for i := range streams {
		mustHandle(t, core, 10, []event{proxyJoined{streamID(i + 1), hello(fmt.Sprint("f", i))}})
		streams[i] = core.streams[streamID(i+1)]
	}
	core.pushQueue.nextSendAt = 20 // it is busy
	for i, s := range streams {
		core.pushQueue.add(&queuedPush{stream: s, step: uint64(i + 1), entries: 10, hasNonce: true, nonce: choice.Nonce(i + 1), wireNonce: uint64(i + 1), urgent: i == 2})
	}
	core.result = stepResult{}
	core.pushQueue.nextSendAt = 10.5
	core.sendQueued(10.5)
	if len(core.result.pushes) != 1 || core.result.pushes[0].stream != 3 {
		t.Fatalf("the withdrawal does not go first: %+v", core.result.pushes)
	}
	core.pendingEvents = nil
	core.acknowledge(10.6, streams[2], 3)
	core.releaseAcknowledgements(10.6)
	if len(core.pendingEvents) != 0 {
		t.Fatal("the answer went by two messages that still wait")
	}
	core.sendQueued(30)
	core.sendQueued(31)
	core.releaseAcknowledgements(31)
	if len(core.pendingEvents) != 1 || core.pushQueue.queuedEntries != 0 {
		t.Fatalf("%d answers, %d lines wait", len(core.pendingEvents), core.pushQueue.queuedEntries)
	}
}

// The list fails during a restart: the kept list serves at once, and the list service is asked again until it answers.
func TestRestartServesCachedListWhileListServiceFails(t *testing.T) {
	r := newHarness(t, nil, &checkpoint.Kept{})
	r.serveEndpoints(5)
	r = newHarness(t, nil, r.restartState())
	r.join(1, "f0")
	r.advance(0.1)
	if p := r.pushes(1); len(p) != 1 || len(routableBackends(p)) < 3 {
		t.Fatalf("a proxy is not served from the kept list: %+v", p)
	}
	asked := 0
	for range 6 {
		if was := r.endpointConn; was != 0 {
			asked++
			r.endpointConn = 0
			r.step(0.01, statemachine.Input{Kind: statemachine.ConnClosed, Conn: was, Text: "refused"})
		}
		r.advance(3)
		r.step(0, data(1, proto.Sums{Over: 1}))
	}
	if asked < 3 {
		t.Fatalf("asked %d times in 18 s", asked)
	}
}

// Frames that are malformed, out of order or against the handshake close their stream with one reason, and no other.
func TestRejectedStreamsLeaveOthersAlone(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.join(1, "good")
	r.advance(0.1)
	r.pushes(1)
	for i, c := range []struct {
		in   []byte
		want string
	}{
		{[]byte{0xff, 0, 0, 0, 1}, "a frame of"},
		{proto.Append(nil, proto.Answer{Mark: 1}), "out of order"},
		{proto.Append(nil, proto.Hello{Version: 9, Name: "x", Zone: "a"}), "version 9"},
		{proto.Append(nil, proto.Hello{Version: 1, Name: "x y", Zone: "a"}), "name"},
		{proto.Append(nil, proto.Hello{Version: 1, Name: "x", Zone: "mars"}), "zone \"mars\""},
		{proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleWatcher, Name: "x", Zone: "a"}), "not served here"},
		{proto.Append(proto.Append(nil, hello("x")), hello("x")), "out of order"},
		{proto.Append(proto.Append(nil, hello("x")), proto.Push{}), "out of order"},
		{proto.Append(proto.Append(nil, hello("x")), proto.RPC{}), "out of order"},
	} {
		conn := statemachine.Conn(10 + i)
		r.step(0.01, opened(conn))
		for _, b := range c.in { // a byte at a time
			r.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte{b}})
		}
		if got := r.rejectionReason(conn); !strings.Contains(got, c.want) {
			t.Errorf("%d: refused with %q, want %q", i, got, c.want)
		}
		if n := len(r.machine.sessions); n != 2 {
			t.Fatalf("%d: %d sessions, the list's and the good proxy's expected", i, n)
		}
	}
	r.updateEndpoints(listEntry(1, proto.ServerDraining))
	r.advance(1)
	if r.closed[1] || !hasOp(r.pushes(1), proto.OpWithdraw, 1) {
		t.Fatal("the good proxy suffered")
	}
	// A stranger that says nothing, and a proxy whose link died without a word.
	r.step(0, opened(50))
	for range 24 {
		r.advance(0.5)
		r.step(0, data(1, proto.Sums{Over: 0.5}))
		r.step(0, data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: r.version, Version: r.version}))
	}
	if got := r.rejectionReason(50); !strings.Contains(got, "no hello") || r.closed[1] {
		t.Fatalf("a silent stranger: %q", got)
	}
	r.advance(11)
	if got := r.rejectionReason(1); !strings.Contains(got, "silent") {
		t.Fatalf("a silent proxy: %q", got)
	}
}

// A list frame that is not right is refused whole; the list stays as it was, and is asked for again.
func TestInvalidEndpointListsAreRejectedWhole(t *testing.T) {
	for name, l := range map[string]proto.List{
		"twice":    {Kind: proto.ListFull, Version: 9, Entries: []proto.Entry{listEntry(7, proto.ServerOpen), listEntry(7, proto.ServerOpen)}},
		"gap":      {Kind: proto.ListChanges, Base: 7, Version: 8, Entries: []proto.Entry{listEntry(7, proto.ServerOpen)}},
		"gone":     {Kind: proto.ListFull, Version: 9, Entries: []proto.Entry{listEntry(7, proto.ServerGone)}},
		"nowhere":  {Kind: proto.ListFull, Version: 9, Entries: []proto.Entry{{EP: 7, State: proto.ServerOpen}}},
		"half bad": {Kind: proto.ListChanges, Base: 1, Version: 2, Entries: []proto.Entry{listEntry(1, proto.ServerGone), {EP: 8, State: proto.ServerOpen}}},
	} {
		r := newHarness(t, nil, nil)
		r.serveEndpoints(3)
		was := r.endpointConn
		r.endpointConn = 0
		r.step(0.01, data(was, l))
		if !r.closed[was] || len(r.machine.controller.endpoints.backends) != 3 || r.machine.controller.endpoints.version != 1 {
			t.Errorf("%s: taken in part", name)
		}
		if r.advance(3); r.endpointConn == 0 {
			t.Errorf("%s: the list service is not asked again", name)
		}
	}
	r := newHarness(t, nil, nil)
	r.serveEndpoints(3)
	for range 3 { // the same version again changes nothing
		r.step(0.01, data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: 0, Version: 1, Entries: []proto.Entry{listEntry(1, proto.ServerDraining)}}))
	}
	if r.closed[r.endpointConn] || r.machine.controller.endpoints.backends[1].Entry.State != choice.BackendOpen {
		t.Error("a version that came twice applied twice")
	}
}

// Stalled for 5 s with the clock jumped, the coordinator goes on: late events at once, and no burst past the limits.
func TestStallWithClockJump(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(6)
	r.join(1, "f0")
	r.join(2, "f1")
	r.advance(0.1)
	r.step(0, data(1, proto.Answer{Mark: r.pushes(1)[0].Mark}), data(2, proto.Answer{Mark: r.pushes(2)[0].Mark}))
	var late []statemachine.Input
	for range 5 {
		late = append(late, data(1, proto.Sums{Over: 1}), data(2, proto.Sums{Over: 1}))
	}
	r.version++
	late = append(late, data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: r.version - 1, Version: r.version, Entries: []proto.Entry{listEntry(1, proto.ServerDraining)}}))
	r.step(5, late...)
	if r.closed[1] || r.closed[2] {
		t.Fatal("a proxy that was heard of in time was dropped")
	}
	r.advance(0.05)
	if a, b := r.pushes(1), r.pushes(2); len(a) > 2 || len(b) > 2 || routableBackends(a)[1] || !hasOp(append(a, b...), proto.OpWithdraw, 1) {
		t.Fatalf("%+v %+v", a, b)
	}
}

// Three hundred joins in one moment are one step's work, leave at the channel's pace and keep its limits.
func TestManyJoinsAtOnce(t *testing.T) {
	r := newHarness(t, map[string]any{"proxies": 300.0}, nil)
	r.serveEndpoints(40)
	steps := r.machine.Stats().Steps
	var in []statemachine.Input
	for c := range statemachine.Conn(300) {
		in = append(in, opened(c+1), data(c+1, hello(fmt.Sprint("f", c))))
	}
	r.step(0.01, in...)
	if got := r.machine.Stats().Steps - steps; got > 1 {
		t.Fatalf("%d steps of the module", got)
	}
	r.advance(2)
	last := 0.0
	for c := range statemachine.Conn(300) {
		p := r.pushes(c + 1)
		if len(p) == 0 || len(routableBackends(p)) < 3 {
			t.Fatalf("proxy %d has no table: %+v", c, p)
		}
		last = max(last, float64(p[0].Waiting))
	}
	if f := r.machine.Stats(); f.MaxQueuedEntries > 20000 {
		t.Fatalf("%d lines waited", f.MaxQueuedEntries)
	}
}

// Sums reach the module gathered by zone, oldest first, no more lines a second than set, with the span they cover.
func TestReportsAreAggregatedAndRateLimited(t *testing.T) {
	k := newReportAggregator(choice.Config{Settings: choice.DecodeSettings(map[string]any{"intake": 10.0, "report_period": 1.0})})
	all := func(choice.BackendID) bool { return true }
	now := 100.0
	k.due(now)
	for p := range 20 {
		s := &proxyStream{proxy: choice.ProxyID(p), zone: "a"}
		k.add(now, s, proto.Sums{Over: 2, Usage: []proto.Usage{{Method: 0, RPCs: 3, Bad: 1}, {Method: 9, RPCs: 3}},
			Tries: []proto.Tries{{EP: 1, Tries: 4, Bad: 2, Delay: 0.1}, {EP: 2, Tries: 1, Delay: 0.2}}}, all, 2)
	}
	tries, usage, at := 0, 0, []float64{}
	for range 80 {
		now += 0.1
		for _, e := range k.due(now) {
			at = append(at, now)
			switch e := e.(type) {
			case choice.AttemptReport:
				if tries++; e.Backend == 1 && (e.Attempts != 80 || e.Failures != 40 || e.MeanLatency < 0.0999 || e.MeanLatency > 0.1001 || e.Span != 2) {
					t.Errorf("%+v", e)
				}
			case choice.UsageReport:
				if usage++; e.RPCs != 3 || e.Failures != 1 || e.Method != 0 {
					t.Errorf("%+v", e)
				}
			}
		}
	}
	if tries != 2 || usage != 20 {
		t.Fatalf("%d lines of tries, %d of usage", tries, usage)
	}
	for i := range at {
		if i >= 12 && at[i]-at[i-12] < 1 {
			t.Fatalf("12 lines within %.2f s, 10 a second let in", at[i]-at[i-12])
		}
	}
	// However late the module is, what waits is bounded by pairs.
	for range 1000 {
		k.add(now, &proxyStream{zone: "a"}, proto.Sums{Over: 1, Usage: []proto.Usage{{Method: 0, RPCs: 1}}, Tries: []proto.Tries{{EP: 1, Tries: 1}}}, all, 2)
	}
	if n := len(k.queue); n > 2 {
		t.Fatalf("%d lines wait for one server and one proxy", n)
	}
}

// Rounding must not make the intake ask for the same moment for ever. Found by a day that never ended.
func TestReportAggregatorDoesNotSpin(t *testing.T) {
	for _, rate := range []float64{3, 7, 500, 1e4 / 3} {
		k := newReportAggregator(choice.Config{Now: 1e6, Settings: choice.DecodeSettings(map[string]any{"intake": rate, "report_period": 2.0})})
		for p := range 50 {
			k.add(1e6, &proxyStream{proxy: choice.ProxyID(p)}, proto.Sums{Usage: []proto.Usage{{RPCs: 1}}}, nil, 1)
		}
		now, steps, handed := 1e6, 0, 0
		for at, any := now, true; any && steps < 200; at, any = k.nextAt() {
			now = max(now, at)
			handed += len(k.due(now))
			steps++
		}
		if handed != 50 {
			t.Errorf("at %v lines a second, %d of 50 lines after %d steps", rate, handed, steps)
		}
	}
}

// A proxy's number goes to another only once the module has forgotten the first.
func TestProxyNumbersAreReused(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(3)
	core := r.machine.controller
	for i := range 200 {
		c := statemachine.Conn(i + 1)
		r.join(c, fmt.Sprint("f", i))
		r.advance(0.02)
		r.step(100, closed(c), data(r.endpointConn, proto.List{Kind: proto.ListChanges, Base: r.version, Version: r.version}))
	}
	if len(core.streamsByNumber) > 20 || core.distributor.TableCount() > 20 || len(core.proxies) > 20 {
		t.Fatalf("%d numbers, %d tables and %d names for proxies that came one by one", len(core.streamsByNumber), core.distributor.TableCount(), len(core.proxies))
	}
}

// A panic of the module ends the instance with its text, and nothing of the step is carried out.
func TestModulePanicDiscardsStep(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(3)
	r.join(1, "f0")
	r.machine.controller.planner = nil
	r.now += 1
	r.effects.Reset()
	r.machine.Step(r.now, []statemachine.Input{opened(2), data(2, hello("f1"))}, &r.effects)
	if !strings.Contains(r.effects.Failure, "the decision module failed") || len(r.effects.Actions) > 0 {
		t.Fatalf("%q, %d acts", r.effects.Failure, len(r.effects.Actions))
	}
}

// Other settings come into force with a fresh instance of the module; proxies join again and nothing else is lost.
func TestReload(t *testing.T) {
	r := newHarness(t, nil, nil)
	r.serveEndpoints(4)
	r.join(1, "f0")
	r.advance(0.1)
	boot := r.machine.bootstrap
	boot.ModuleConfig.Settings = choice.DecodeSettings(testSettings(map[string]any{"report_period": 3.0}))
	boot.ModuleConfig.Now = r.now
	r.machine.Reload(boot)
	r.step(0.01)
	if got := r.rejectionReason(1); !strings.Contains(got, "join again") {
		t.Fatalf("the proxy was told %q", got)
	}
	r.join(2, "f0")
	r.advance(0.1)
	w, ok := r.received[2][0].(proto.Welcome)
	if p := r.pushes(2); !ok || w.Period != 3 || len(p) != 1 || len(routableBackends(p)) < 3 {
		t.Fatalf("%+v %+v", w, p)
	}
}

// Servers that owe answers are probed, within bounds; a probe that hangs ends by its time-out.
func TestProbes(t *testing.T) {
	r := newHarness(t, map[string]any{"report_period": 0.2}, nil)
	r.serveEndpoints(8)
	r.join(1, "f0")
	r.advance(0.1)
	r.step(0, data(1, proto.Answer{Mark: r.pushes(1)[0].Mark}))
	most := 0
	for range 60 { // only server 1 answers
		r.step(0.1, data(1, proto.Sums{Over: 0.1, Usage: []proto.Usage{{RPCs: 20}}, Tries: []proto.Tries{{EP: 1, Tries: 20, Delay: 0.01}}}))
		r.advance(0.05)
		most = max(most, r.machine.probesInFlight)
	}
	if len(r.probes) < 8 || most > 4 || most == 0 {
		t.Fatalf("%d probes, %d at once", len(r.probes), most)
	}
	for c, addr := range r.probes {
		if addr == "s1" {
			t.Errorf("the server that answers was probed on %d", c)
		}
	}
}

// Peers' notes come through within their bound; what can't go at once is lost, and harms nothing.
func TestPeerMessages(t *testing.T) {
	r := newHarness(t, map[string]any{"coordinators": 2.0, "self": 0.0}, nil)
	r.machine.bootstrap.Peers = map[choice.PeerID]string{1: "peer"}
	r.serveEndpoints(3)
	tell := func(data string) {
		r.effects.Reset()
		r.machine.execute(&stepContext{now: r.now, effects: &r.effects}, stepResult{peerMessages: []choice.SendToPeer{{To: -1, Data: []byte(data)}}})
	}
	tell("lost")
	if len(r.effects.Actions) != 1 || r.effects.Actions[0].Addr != "peer" {
		t.Fatalf("%+v", r.effects.Actions)
	}
	c := r.effects.Actions[0].Conn
	tell("lost too")
	r.step(0.01, opened(c), data(c, proto.Welcome{Version: 1, Name: "c1"}))
	tell(strings.Repeat("x", 300))
	if len(r.effects.Actions) != 0 {
		t.Fatalf("more than a note may hold was sent: %+v", r.effects.Actions)
	}
	if tell("\xff\x00!"); len(r.effects.Actions) != 1 {
		t.Fatalf("%+v", r.effects.Actions)
	}
	r.step(0.01, opened(7), data(7, proto.Hello{Version: 1, Role: proto.RolePeer, Name: "c1", Zone: "b"}, proto.PeerNote{From: 1, Data: "\xff\x00!"}))
	if r.closed[7] || r.machine.sessions[7].role != rolePeer {
		t.Fatal("a peer was not taken")
	}
	r.step(0.01, closed(c))
	if len(r.machine.peerSessions) != 0 {
		t.Fatal("a peer that is gone is kept")
	}
}
