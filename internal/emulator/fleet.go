package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Fleet is many emulated servers in one machine, each behind a door of its own, so that one loop carries hundreds. What
// happens to whole processes happens to members: words are NAME kill, NAME start, or NAME and a server's word; * is all.
type Fleet struct {
	members []*member
	byName  map[string]*member
	of      map[statemachine.Conn]*member
	due     fleetDue
	began   statemachine.Seconds
	tally   FleetStats
	second  statemachine.Seconds
	figures func(FleetStats)
}

// Tally is what a fleet did in about a second, and how it is.
type FleetStats struct {
	Elapsed                                 statemachine.Seconds // since its start
	Backends, Running, WarmingUp, Collapsed int                  // Down: fallen, of those that are up
	Capacity, CoreUsage                     float64              // RPCs a second that it could do, cores' share that is busy
	Queued                                  int                  // RPCs
	Executed                                int                  // RPCs begun
	OverloadRatio                           float64              // the nearest that a cold server came to falling, of its bound
	MaxDelay                                statemachine.Seconds // the most that anything was done after it was due
}

type member struct {
	name  string
	trade Config
	lives int
	s     *Backend // nil: down
	conns map[statemachine.Conn]bool
	wake  statemachine.Seconds
	at    int
	in    []statemachine.Input
}

type fleetDue []*member

func (d fleetDue) Len() int           { return len(d) }
func (d fleetDue) Less(i, j int) bool { return d[i].wake < d[j].wake }
func (d fleetDue) Swap(i, j int)      { d[i], d[j] = d[j], d[i]; d[i].at, d[j].at = i, j }
func (d *fleetDue) Push(x any)        { m := x.(*member); m.at = len(*d); *d = append(*d, m) }
func (d *fleetDue) Pop() any          { old := *d; x := old[len(old)-1]; *d = old[:len(old)-1]; return x }

// NewFleet makes an empty one; figures, if not nil, is given what it did each second, by the goroutine that steps it.
func NewFleet(figures func(FleetStats)) *Fleet {
	return &Fleet{byName: map[string]*member{}, of: map[statemachine.Conn]*member{}, figures: figures, second: statemachine.Never}
}

// Add adds a server before the fleet is first stepped; its door is the number of those added before it. Its processes
// after the first start cold.
func (f *Fleet) AddBackend(name string, t Config) {
	m := &member{name: name, trade: t, conns: map[statemachine.Conn]bool{}, wake: 0}
	f.members = append(f.members, m)
	f.byName[name] = m
	f.start(m)
	heap.Push(&f.due, m)
}

func (f *Fleet) start(m *member) {
	t := m.trade
	t.StartsCold = t.StartsCold || m.lives > 0
	t.Seed += uint64(m.lives)
	m.lives++
	m.s = NewBackend(t)
}

// Step implements machine.Machine.
func (f *Fleet) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	if f.began == 0 {
		f.began, f.second = now, now+1
	}
	var busy []*member
	give := func(m *member, i statemachine.Input) {
		if len(m.in) == 0 {
			busy = append(busy, m)
		}
		m.in = append(m.in, i)
	}
	for _, i := range in {
		switch i.Kind {
		case statemachine.OperatorCommand:
			f.told(now, i.Text, give, out)
		case statemachine.ConnOpened:
			m := f.members[i.Listener]
			if m.s == nil { // nobody listens there; a door can't be refused, so it is opened and shut
				out.Abort(i.Conn)
				continue
			}
			f.of[i.Conn], m.conns[i.Conn] = m, true
			i.Listener = 0
			give(m, i)
		default:
			m := f.of[i.Conn]
			if m == nil {
				continue
			}
			if i.Kind == statemachine.ConnClosed {
				delete(f.of, i.Conn)
				delete(m.conns, i.Conn)
			}
			give(m, i)
		}
	}
	for len(f.due) > 0 && f.due[0].wake <= now {
		f.step(now, f.due[0], out)
	}
	for _, m := range busy {
		if len(m.in) > 0 {
			f.step(now, m, out)
		}
	}
	if now >= f.second {
		f.second = now + 1
		f.tell(now)
	}
	out.WakeAt = min(f.second, f.due[0].wake)
}

func (f *Fleet) step(now statemachine.Seconds, m *member, out *statemachine.Effects) {
	in := m.in
	m.in = nil
	if m.s == nil {
		m.wake = statemachine.Never
		heap.Fix(&f.due, m.at)
		return
	}
	if m.s.model != nil {
		if at := m.s.model.NextTimer(); !math.IsInf(at, 1) {
			f.tally.MaxDelay = max(f.tally.MaxDelay, now-at)
		}
	}
	acts, records := len(out.Actions), len(out.Trace)
	out.WakeAt = statemachine.Never
	m.s.Step(now, in, out)
	for _, a := range out.Actions[acts:] {
		if a.Kind == statemachine.ActionClose || a.Kind == statemachine.ActionAbort {
			delete(f.of, a.Conn)
			delete(m.conns, a.Conn)
		}
	}
	for _, r := range out.Trace[records:] {
		switch r.Kind {
		case trace.EffectExecuted:
			f.tally.Executed++
		case trace.LoadOffered:
			f.tally.OverloadRatio = max(f.tally.OverloadRatio, r.Value)
		}
	}
	m.wake = max(out.WakeAt, now+1e-6)
	heap.Fix(&f.due, m.at)
}

func (f *Fleet) told(now statemachine.Seconds, text string, give func(*member, statemachine.Input), out *statemachine.Effects) {
	name, word, _ := strings.Cut(text, " ")
	var all []*member
	if name == "*" {
		all = f.members
	} else if m := f.byName[name]; m != nil {
		all = []*member{m}
	} else {
		out.Log(2, "word not taken", "word", text, "cause", "there is no server "+name)
		return
	}
	for _, m := range all {
		switch {
		case word == "kill" && m.s != nil:
			m.s, m.in = nil, nil
			out.Record(trace.Record{Time: now, Kind: trace.BackendStopped, Backend: m.trade.Backend})
			var conns []statemachine.Conn
			for c := range m.conns {
				conns = append(conns, c)
			}
			slices.Sort(conns)
			for _, c := range conns {
				out.Abort(c)
				delete(f.of, c)
			}
			clear(m.conns)
		case word == "start" && m.s == nil:
			f.start(m)
			m.wake = now
			heap.Fix(&f.due, m.at)
		case word == "kill" || word == "start":
		case m.s != nil:
			give(m, statemachine.Input{Kind: statemachine.OperatorCommand, Text: word})
		}
	}
}

// tell reckons the second's figures.
func (f *Fleet) tell(now statemachine.Seconds) {
	t := f.tally
	t.Elapsed, t.Backends = now-f.began, len(f.members)
	cores, used := 0, 0.0
	for _, m := range f.members {
		if m.s == nil || m.s.model == nil {
			continue
		}
		t.Running++
		if m.s.model.fallen {
			t.Collapsed++
			continue
		}
		if m.s.model.WarmupFactor(now) < 1 {
			t.WarmingUp++
		}
		t.Capacity += m.s.model.Capacity(now, 0)
		_, waiting, share := m.s.model.Load()
		t.Queued += waiting
		cores += m.trade.Cores
		used += share * float64(m.trade.Cores)
	}
	if cores > 0 {
		t.CoreUsage = used / float64(cores)
	}
	f.tally = FleetStats{}
	if f.figures != nil {
		f.figures(t)
	}
}

func (t FleetStats) String() string {
	return fmt.Sprintf("%4.0f s: %d of %d servers up, %d cold, %d fallen; able %.0f RPCs/s, ran %d; cores %.0f%% busy, %d waiting; late %.1f ms",
		t.Elapsed, t.Running, t.Backends, t.WarmingUp, t.Collapsed, t.Capacity, t.Executed, 100*t.CoreUsage, t.Queued, 1e3*t.MaxDelay)
}

// Sum adds the figures of another part of the fleet for the same second.
func (t FleetStats) Add(o FleetStats) FleetStats {
	if t.Backends+o.Backends > 0 {
		t.CoreUsage = (t.CoreUsage*float64(t.Backends) + o.CoreUsage*float64(o.Backends)) / float64(t.Backends+o.Backends)
	}
	t.Elapsed = max(t.Elapsed, o.Elapsed)
	t.Backends, t.Running, t.WarmingUp, t.Collapsed = t.Backends+o.Backends, t.Running+o.Running, t.WarmingUp+o.WarmingUp, t.Collapsed+o.Collapsed
	t.Capacity, t.Queued, t.Executed = t.Capacity+o.Capacity, t.Queued+o.Queued, t.Executed+o.Executed
	t.OverloadRatio, t.MaxDelay = max(t.OverloadRatio, o.OverloadRatio), max(t.MaxDelay, o.MaxDelay)
	return t
}

var _ statemachine.Machine = (*Fleet)(nil)
