package fake

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Listing is a server as the list service knows it.
type Endpoint struct {
	Backend     proto.BackendID
	State       proto.BackendState
	Kind        string
	Zone        string
	Cell        uint64
	Weight      float64
	Addr        string
	Started     statemachine.Seconds // of its process; 0: long ago
	Incarnation uint64
}

// List is a list service: numbered versions, whole lists and changes, watchers; and it can be late, stale, wrong, empty
// or out of order on command.
type EndpointService struct {
	all      map[proto.BackendID]Endpoint
	past     map[proto.BackendID]Endpoint // all that ever were, as last listed
	version  uint64
	history  []change // oldest first
	watchers map[statemachine.Conn]*watcher
	timers   timers
	late     statemachine.Seconds
	fail     bool
	stale    bool
	wrong    map[proto.BackendID]bool // the only servers that it shows; nil: the truth
	beat     statemachine.Seconds
	begun    bool
	out      *statemachine.Effects
	// Via tells at which address a watcher is to reach a server; nil: at its own.
	RewriteAddr func(watcher, addr string) string
}

type change struct {
	version uint64
	entry   Endpoint
}

type watcher struct {
	conn   statemachine.Conn
	reader proto.Reader
	name   string
	on     bool
	told   uint64 // version
}

const historyMost = 4096

// NewList makes a list service that shows these servers.
func NewEndpointService(all []Endpoint) *EndpointService {
	l := &EndpointService{all: map[proto.BackendID]Endpoint{}, past: map[proto.BackendID]Endpoint{}, version: 1, watchers: map[statemachine.Conn]*watcher{}}
	for _, e := range all {
		l.all[e.Backend], l.past[e.Backend] = e, e
	}
	return l
}

// Step implements machine.Machine.
func (l *EndpointService) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	l.out = out
	if !l.begun {
		l.begun = true
		out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Count: int64(l.version), Text: "full " + show(l.shown())})
	}
	l.timers.ring(now)
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			l.watchers[i.Conn] = &watcher{conn: i.Conn}
		case statemachine.ConnClosed:
			delete(l.watchers, i.Conn)
		case statemachine.OperatorCommand:
			l.told(now, i.Text)
		case statemachine.ConnData:
			if w := l.watchers[i.Conn]; w != nil {
				w.reader.Feed(i.Data)
				l.read(now, w)
			}
		}
	}
	if now >= l.beat {
		l.beat = now + 1
		for _, c := range sortedConns(l.watchers) {
			if w := l.watchers[c]; w.on {
				// An empty change of the version held: a sign of life.
				out.Write(w.conn, proto.Append(nil, proto.EndpointUpdate{Kind: proto.UpdateDelta, BaseVersion: w.told, Version: w.told}))
			}
		}
	}
	out.WakeBy(l.beat)
	l.timers.wake(out)
}

func sortedConns[T any](of map[statemachine.Conn]T) []statemachine.Conn {
	all := make([]statemachine.Conn, 0, len(of))
	for c := range of {
		all = append(all, c)
	}
	slices.Sort(all)
	return all
}

func (l *EndpointService) read(now statemachine.Seconds, w *watcher) {
	for l.watchers[w.conn] == w {
		msg, err := w.reader.Next()
		if err != nil {
			l.out.Write(w.conn, proto.Append(nil, proto.Reject{Reason: err.Error()}))
			l.out.Close(w.conn)
			delete(l.watchers, w.conn)
			return
		}
		switch m := msg.(type) {
		case nil:
			return
		case proto.Hello:
			w.name = m.Name
			w.reader.HandshakeDone()
			l.out.Write(w.conn, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: "list"}))
		case proto.WatchEndpoints:
			l.out.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: w.name})
			w.on = false
			if m.On {
				l.answer(now, w, m.SinceVersion)
			}
		case proto.FetchEndpoints:
			l.out.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: w.name})
			l.answer(now, w, 0)
		}
	}
}

// answer to a call: what changed since a version, or all of it.
func (l *EndpointService) answer(now statemachine.Seconds, w *watcher, since uint64) {
	if l.fail {
		l.out.Write(w.conn, proto.Append(nil, proto.EndpointUpdate{Kind: proto.UpdateFailed, Reason: "the list service is out of order"}))
		return
	}
	w.on, w.told = true, since
	known := since > 0 && since <= l.version && (since == l.version || len(l.history) > 0 && l.history[0].version <= since+1)
	if !known || l.wrong != nil {
		w.told = 0
	}
	l.deliver(now, w, true)
}

// deliver sends a watcher what it lacks.
func (l *EndpointService) deliver(now statemachine.Seconds, w *watcher, called bool) {
	if l.stale && !called || l.watchers[w.conn] != w || w.told == l.version && !called {
		return
	}
	m := proto.EndpointUpdate{Kind: proto.UpdateFull, BaseVersion: w.told, Version: l.version}
	var entries []Endpoint
	if w.told == 0 || l.wrong != nil {
		entries = l.shown()
	} else {
		m.Kind = proto.UpdateDelta
		last := map[proto.BackendID]int{}
		for _, c := range l.history {
			if c.version > w.told {
				if at, ok := last[c.entry.Backend]; ok {
					entries[at] = c.entry
				} else {
					last[c.entry.Backend] = len(entries)
					entries = append(entries, c.entry)
				}
			}
		}
	}
	for _, e := range entries {
		x := proto.Endpoint{
			Backend: e.Backend, State: e.State, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, StartedLongAgo: e.Started == 0,
			Incarnation: e.Incarnation, Addr: e.Addr,
		}
		if l.RewriteAddr != nil {
			x.Addr = l.RewriteAddr(w.name, e.Addr)
		}
		if e.Started > 0 {
			x.Age = max(0, now-e.Started)
		}
		m.Endpoints = append(m.Endpoints, x)
	}
	w.told = l.version
	l.out.Write(w.conn, proto.Append(nil, m))
	kind := "changes "
	if m.Kind == proto.UpdateFull {
		kind = "full "
	}
	l.out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Coordinator: w.name, Count: int64(l.version), Text: kind + show(entries)})
}

func (l *EndpointService) shown() (all []Endpoint) {
	for _, e := range l.all {
		if l.wrong == nil || l.wrong[e.Backend] {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.Backend, b.Backend) })
	return all
}

// show writes entries for the trace: number, state (o, d or g), start, zone.
func show(all []Endpoint) string {
	var b strings.Builder
	for _, e := range all {
		fmt.Fprintf(&b, "%d:%c:%.3f:%s ", e.Backend, "god"[e.State], e.Started, e.Zone)
	}
	return strings.TrimSuffix(b.String(), " ")
}

// change makes a new version, and tells the watchers once it is late enough.
func (l *EndpointService) change(now statemachine.Seconds, entries ...Endpoint) {
	l.version++
	for _, e := range entries {
		l.past[e.Backend] = e
		if e.State == proto.BackendGone {
			delete(l.all, e.Backend)
		} else {
			l.all[e.Backend] = e
		}
		l.history = append(l.history, change{l.version, e})
	}
	if len(l.history) > historyMost {
		l.history = slices.Clone(l.history[len(l.history)-historyMost/2:])
	}
	l.out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Count: int64(l.version), Text: "changes " + show(entries)})
	l.spread(now)
}

func (l *EndpointService) spread(now statemachine.Seconds) {
	tell := func(now statemachine.Seconds) {
		for _, c := range sortedConns(l.watchers) {
			if w := l.watchers[c]; w.on {
				l.deliver(now, w, false)
			}
		}
	}
	if l.late > 0 {
		l.timers.at(now+l.late, tell)
	} else {
		tell(now)
	}
}

// told takes a script's word:
//
//	state EP open|draining|gone   restart EP ADDR   add EP ZONE KIND CELL WEIGHT ADDR   weight EP W
//	late SECONDS   fail on|off   stale on|off   show all|none|EP…   break
func (l *EndpointService) told(now statemachine.Seconds, text string) {
	word, rest, _ := strings.Cut(text, " ")
	args := strings.Fields(rest)
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	number := func(i int) float64 { v, _ := strconv.ParseFloat(arg(i), 64); return v }
	e, known := l.all[proto.BackendID(number(0))]
	switch word {
	case "state":
		if !known {
			return
		}
		e.State = map[string]proto.BackendState{"open": proto.BackendOpen, "draining": proto.BackendDraining, "gone": proto.BackendGone}[arg(1)]
		l.change(now, e)
	case "weight":
		if e.Weight = number(1); known {
			l.change(now, e)
		}
	case "restart":
		if e, known = l.past[proto.BackendID(number(0))]; known {
			e.State, e.Started, e.Incarnation = proto.BackendOpen, now, e.Incarnation+1
			if arg(1) != "" {
				e.Addr = arg(1)
			}
			l.change(now, e)
		}
	case "add":
		cell, _ := strconv.ParseUint(arg(3), 10, 64)
		l.change(now, Endpoint{
			Backend: proto.BackendID(number(0)), State: proto.BackendOpen, Zone: arg(1), Kind: arg(2), Cell: cell,
			Weight: number(4), Addr: arg(5), Started: now, Incarnation: l.version + 1,
		})
	case "late":
		l.late = number(0)
	case "fail":
		if l.fail = arg(0) == "on"; l.fail {
			l.drop(now)
		}
	case "stale":
		if l.stale = arg(0) == "on"; !l.stale {
			l.spread(now)
		}
	case "show":
		l.wrong = nil
		if arg(0) != "all" {
			l.wrong = map[proto.BackendID]bool{}
			for i := range args {
				l.wrong[proto.BackendID(number(i))] = true
			}
		}
		l.version++
		for _, w := range l.watchers {
			w.told = 0
		}
		l.out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Count: int64(l.version), Text: "full " + show(l.shown())})
		l.spread(now)
	case "break":
		l.drop(now)
	default:
		l.out.Log(2, "unknown word", "word", text)
	}
}

func (l *EndpointService) drop(statemachine.Seconds) {
	for _, c := range sortedConns(l.watchers) {
		l.out.Abort(c)
		delete(l.watchers, c)
	}
}
