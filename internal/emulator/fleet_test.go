package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Reports tell the load as it was a while ago, and not quite; a server that makes none says so.
func TestLoadReports(t *testing.T) {
	play := func(late, noise float64, reports bool) (loads []float64) {
		trade := plain(1, Work{Mean: 0.1, Family: Constant})
		trade.ReportsLoad, trade.ReportDelay, trade.ReportNoise = reports, late, noise
		m := NewModel(trade, 0)
		m.Connect(1, "")
		for i := range uint64(20) { // twenty at once: the k-th answer leaves 20-k behind
			m.Submit(1, RPC{ID: i, TimeLeft: 100})
		}
		for now := 0.0; now < 3; now += 0.05 {
			for _, e := range m.Advance(now) {
				if r, ok := e.(Reply); ok {
					loads = append(loads, r.Load)
				}
			}
		}
		return loads
	}
	if l := play(0, 0, false); len(l) != 20 || l[0] >= 0 {
		t.Errorf("a server that reports nothing reported %v", l)
	}
	truth := play(0, 0, true)
	for k, x := range truth {
		if x != float64(19-k) {
			t.Fatalf("answer %d reported %v", k+1, x)
		}
	}
	late := play(0.5, 0, true)
	for k := 8; k < 20; k++ { // half a second is five answers ago
		if late[k] < truth[k]+4 || late[k] > truth[k]+6 {
			t.Errorf("answer %d reported %v; it was %v then and %v half a second before", k+1, late[k], truth[k], truth[k-5])
		}
	}
	off, same := 0.0, 0
	for k, x := range play(0, 0.5, true) {
		if off += x - truth[k]; x == truth[k] {
			same++
		}
	}
	if same > 2 || math.Abs(off) > 150 {
		t.Errorf("noise left %d of 20 as they were, and moved the sum of 190 by %.0f", same, off)
	}
}

// wire drives a fleet as a loop does, and keeps what it did.
type wire struct {
	f      *Fleet
	now    float64
	wake   float64
	killed map[statemachine.Conn]bool
	ok     int
	trace  []trace.Record
	notes  []string
}

func (w *wire) step(in ...statemachine.Input) {
	out := &statemachine.Effects{}
	out.Reset()
	w.f.Step(w.now, in, out)
	w.wake = out.WakeAt
	for _, a := range out.Actions {
		if a.Kind == statemachine.ActionAbort {
			w.killed[a.Conn] = true
		}
		if a.Kind != statemachine.ActionWrite {
			continue
		}
		var r proto.Reader
		r.HandshakeDone()
		r.Feed(a.Data)
		for m, _ := r.Next(); m != nil; m, _ = r.Next() {
			if x, is := m.(proto.Reply); is && x.Status == proto.StatusOK {
				w.ok++
			}
		}
	}
	w.trace = append(w.trace, out.Trace...)
	for _, n := range out.LogEntries {
		w.notes = append(w.notes, fmt.Sprint(n.Message, n.Attributes))
	}
}

func (w *wire) run(until float64) {
	for w.wake < until {
		w.now = max(w.now, w.wake)
		w.step()
	}
	w.now = until
}

// Members of a fleet live and die by themselves: one's end resets its own connections, a new life starts cold, and its
// door answers nobody meanwhile; bad words are said and change nothing.
func TestFleet(t *testing.T) {
	var last FleetStats
	f := NewFleet(func(x FleetStats) { last = x })
	for i := range 3 {
		trade := plain(2, Work{Mean: 0.02, Family: Constant})
		trade.Backend, trade.ColdSpeed, trade.WarmupTime, trade.OverloadMultiple, trade.OverloadWindow = uint32(i+1), 0.3, 5, 50, 1
		f.AddBackend(fmt.Sprint("s", i), trade)
	}
	w := &wire{f: f, now: 100, killed: map[statemachine.Conn]bool{}}
	hello := proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleClient, Name: "x"})
	open := func(c statemachine.Conn, door int) {
		w.step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: c, Listener: door}, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: hello})
	}
	ask := func(c statemachine.Conn, id uint64) {
		w.step(statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: proto.Append(nil, proto.RPC{ID: id, TimeLeft: 5})})
	}
	told := func(text string) { w.step(statemachine.Input{Kind: statemachine.OperatorCommand, Text: text}) }
	for c := range statemachine.Conn(3) {
		open(c+1, int(c))
		ask(c+1, uint64(c)+1)
	}
	w.run(101.5)
	if w.ok != 3 || last.Running != 3 || last.Executed != 3 || last.Capacity < 299 || last.Capacity > 301 {
		t.Fatalf("%d answered; %v", w.ok, last)
	}
	told("s1 kill")
	told("s1 kill") // twice is once
	if !w.killed[2] || w.killed[1] || w.killed[3] {
		t.Fatalf("the end of the second reset %v", w.killed)
	}
	open(7, 1)
	if !w.killed[7] {
		t.Error("a server that is down took a connection")
	}
	ask(2, 50)
	ask(1, 51)
	w.run(103.5)
	if w.ok != 4 || last.Running != 2 {
		t.Errorf("%d answered, %v", w.ok, last)
	}
	told("s1 start")
	open(8, 1)
	ask(8, 60)
	w.run(105.6)
	if w.ok != 5 || last.Running != 3 || last.WarmingUp != 1 || last.Capacity > 290 {
		t.Errorf("%d answered after its return, %v", w.ok, last)
	}
	told("s9 hang")
	told("s0 hung")
	told("* hang")
	ask(1, 70)
	w.run(107)
	if len(w.notes) != 2 || !strings.Contains(w.notes[0], "s9") || last.Capacity != 0 || w.ok != 5 {
		t.Errorf("notes %q, %v, %d answered", w.notes, last, w.ok)
	}
	told("* heal hang")
	w.run(108)
	if w.ok != 6 {
		t.Errorf("%d answered after the hang", w.ok)
	}
	gone := 0
	for _, r := range w.trace {
		if r.Kind == trace.BackendStopped {
			gone++
		}
	}
	if sum := last.Add(FleetStats{Elapsed: 3, Backends: 1, Running: 1, CoreUsage: 1, Executed: 2}); gone != 1 || sum.Backends != 4 || sum.Executed != last.Executed+2 {
		t.Errorf("%d ends told, sum %+v", gone, sum)
	}
}

// What falls behind says so: a fleet that is stepped late tells how late.
func TestFleetTellsThatItIsLate(t *testing.T) {
	worst := 0.0
	f := NewFleet(func(x FleetStats) { worst = max(worst, x.MaxDelay) })
	f.AddBackend("s0", plain(1, Work{Mean: 0.01, Family: Constant}))
	w := &wire{f: f, now: 10, killed: map[statemachine.Conn]bool{}}
	w.step(statemachine.Input{Kind: statemachine.ConnOpened, Conn: 1}, statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: proto.Append(
		proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleClient, Name: "x"}), proto.RPC{ID: 1, TimeLeft: 5})})
	w.now = 10.31 // due at 10.01
	w.step()
	w.now = 11.5
	w.step()
	if math.Abs(worst-0.3) > 0.01 {
		t.Errorf("it was 0.3 s late and says %.3f", worst)
	}
}

// The chance that an RPC's work fits into a time is the share of draws that do.
func TestWithin(t *testing.T) {
	for _, w := range []Work{{Mean: 0.1}, {Mean: 0.1, Family: Constant}, {Mean: 0.1, Family: Lognormal, Param: 1.5}, {Mean: 0.1, Family: Pareto, Param: 2.5}} {
		d := NewRandom(5)
		for _, most := range []float64{0.05, 0.09, 0.2, 0.6} {
			fit := 0.0
			const n = 50000
			for range n {
				if w.Sample(&d) <= most {
					fit++
				}
			}
			if math.Abs(fit/n-w.CDF(most)) > 0.012 {
				t.Errorf("%+v within %v: %.3f of draws, %.3f reckoned", w, most, fit/n, w.CDF(most))
			}
		}
	}
}
