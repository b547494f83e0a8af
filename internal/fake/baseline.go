package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// Plain is a coordinator as many fleets run one, to compare with: every proxy has one table of all servers that the
// list shows as open, at their listed weights, and each change of the list goes to all at once. It watches nobody's
// health, knows of no warm-up, sets no levels, paces nothing.
type BaselineCoordinator struct {
	name    string
	list    string // its address
	methods []string
	period  float64
	conns   statemachine.Conn
	watch   statemachine.Conn // to the list service; 0: none
	reader  proto.Reader
	retry   statemachine.Seconds
	version uint64
	open    map[proto.BackendID]proto.TableEntry
	proxies map[statemachine.Conn]*plainProxy
	out     *statemachine.Effects
}

type plainProxy struct {
	reader proto.Reader
	joined bool
	seq    uint64
}

// NewPlain makes one.
func NewBaselineCoordinator(name, list string, methods []string, period float64) *BaselineCoordinator {
	return &BaselineCoordinator{
		name: name, list: list, methods: methods, period: period, conns: statemachine.Dialed, open: map[proto.BackendID]proto.TableEntry{},
		proxies: map[statemachine.Conn]*plainProxy{},
	}
}

// Step implements machine.Machine.
func (p *BaselineCoordinator) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	p.out = out
	for _, i := range in {
		switch {
		case i.Conn == p.watch && p.watch != 0:
			p.fromList(now, i)
		case i.Kind == statemachine.ConnOpened && i.Conn&statemachine.Dialed == 0:
			p.proxies[i.Conn] = &plainProxy{}
		case i.Kind == statemachine.ConnClosed:
			delete(p.proxies, i.Conn)
		case i.Kind == statemachine.ConnData:
			if x := p.proxies[i.Conn]; x != nil {
				x.reader.Feed(i.Data)
				p.fromProxy(i.Conn, x)
			}
		}
	}
	if p.watch == 0 && now >= p.retry {
		p.conns++
		p.watch, p.reader = p.conns, proto.Reader{}
		out.Dial(p.watch, p.list)
	}
	if p.watch == 0 {
		out.WakeBy(p.retry)
	}
}

func (p *BaselineCoordinator) fromList(now statemachine.Seconds, i statemachine.Input) {
	lost := func() {
		p.watch, p.retry = 0, now+0.5
	}
	switch i.Kind {
	case statemachine.ConnOpened:
		hello := proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleWatcher, Name: p.name})
		p.out.Write(p.watch, proto.Append(hello, proto.WatchEndpoints{On: true, SinceVersion: p.version}))
	case statemachine.ConnClosed:
		lost()
	case statemachine.ConnData:
		p.reader.Feed(i.Data)
		for {
			msg, err := p.reader.Next()
			if err != nil {
				p.out.Abort(p.watch)
				lost()
				return
			}
			switch m := msg.(type) {
			case nil:
				return
			case proto.Welcome:
				p.reader.HandshakeDone()
			case proto.EndpointUpdate:
				if m.Kind == proto.UpdateFailed {
					p.out.Close(p.watch)
					lost()
					return
				}
				p.news(m)
			}
		}
	}
}

func (p *BaselineCoordinator) news(m proto.EndpointUpdate) {
	var ops []proto.TableOp
	set := func(l proto.TableEntry) {
		if was, held := p.open[l.Backend]; was == l || !held && l.Weight == 0 {
			return
		}
		if l.Weight > 0 {
			p.open[l.Backend] = l
		} else {
			delete(p.open, l.Backend)
		}
		ops = append(ops, proto.TableOp{Kind: proto.OpSetEntry, Table: 1, Entries: []proto.TableEntry{l}})
	}
	shown := map[proto.BackendID]bool{}
	for _, e := range m.Endpoints {
		l := proto.TableEntry{Backend: e.Backend, Addr: e.Addr}
		if e.State == proto.BackendOpen {
			l.Weight = e.Weight
		}
		shown[e.Backend] = true
		set(l)
	}
	if m.Kind == proto.UpdateFull {
		for _, ep := range p.sorted() {
			if !shown[ep] {
				set(proto.TableEntry{Backend: ep})
			}
		}
	}
	p.version = m.Version
	if len(ops) == 0 {
		return
	}
	for _, c := range sortedConns(p.proxies) {
		if x := p.proxies[c]; x.joined {
			p.push(c, x, ops)
		}
	}
}

func (p *BaselineCoordinator) sorted() (all []proto.BackendID) {
	for ep := range p.open {
		all = append(all, ep)
	}
	slices.Sort(all)
	return all
}

func (p *BaselineCoordinator) push(c statemachine.Conn, x *plainProxy, ops []proto.TableOp) {
	x.seq++
	p.out.Write(c, proto.Append(nil, proto.Push{Sequence: x.seq, Ops: ops}))
}

func (p *BaselineCoordinator) fromProxy(c statemachine.Conn, x *plainProxy) {
	for {
		msg, err := x.reader.Next()
		if err != nil {
			p.out.Abort(c)
			delete(p.proxies, c)
			return
		}
		switch msg.(type) {
		case nil:
			return
		case proto.Hello:
			x.reader.HandshakeDone()
			x.joined = true
			p.out.Write(c, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: p.name, ReportPeriod: p.period, Methods: p.methods}))
			bind := proto.TableOp{Kind: proto.OpBind, Table: 1}
			for _, ep := range p.sorted() {
				bind.Entries = append(bind.Entries, p.open[ep])
			}
			p.push(c, x, []proto.TableOp{bind})
		case proto.Reports:
			p.out.Write(c, proto.Append(nil, proto.ReportsReceived{}))
		}
	}
}

// Frost freezes what coordinators order, to compare with: from a time on, every proxy keeps the tables that it had then,
// for good. A coordinator's process that starts later, and a proxy that joins again, are given the same.
type TableFreezer struct {
	FreezeAt statemachine.Seconds
	held     map[string]map[uint64]*frozen // by proxy and table
	hello    []byte                        // the welcome, as the coordinators gave it
}

type frozen struct {
	methods uint64
	lines   map[proto.BackendID]proto.TableEntry
}

// Wrap puts a coordinator under the frost.
func (f *TableFreezer) Wrap(m statemachine.Machine) statemachine.Machine {
	if f.held == nil {
		f.held = map[string]map[uint64]*frozen{}
	}
	return &frosted{f: f, inner: m, ends: map[statemachine.Conn]*frostedEnd{}}
}

type frosted struct {
	f     *TableFreezer
	inner statemachine.Machine
	ends  map[statemachine.Conn]*frostedEnd
}

type frostedEnd struct {
	in, out proto.Reader
	name    string // of a proxy
}

// Step implements machine.Machine.
func (x *frosted) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	frozen := now >= x.f.FreezeAt
	for _, i := range in {
		switch {
		case i.Kind == statemachine.ConnOpened && i.Conn&statemachine.Dialed == 0:
			e := &frostedEnd{}
			e.in.HandshakeDone()
			e.out.HandshakeDone()
			x.ends[i.Conn] = e
		case i.Kind == statemachine.ConnClosed:
			delete(x.ends, i.Conn)
		case i.Kind == statemachine.ConnData && x.ends[i.Conn] != nil:
			x.read(i.Conn, x.ends[i.Conn], i.Data, frozen, out)
		}
	}
	if frozen {
		return
	}
	x.inner.Step(now, in, out)
	for _, a := range out.Actions {
		if e := x.ends[a.Conn]; e != nil && a.Kind == statemachine.ActionWrite {
			x.note(e, a.Data)
		}
	}
	out.WakeBy(x.f.FreezeAt)
}

func (x *frosted) read(c statemachine.Conn, e *frostedEnd, data []byte, frozen bool, out *statemachine.Effects) {
	e.in.Feed(data)
	for {
		msg, err := e.in.Next()
		if err != nil || msg == nil {
			return
		}
		switch m := msg.(type) {
		case proto.Hello:
			if m.Role != proto.RoleProxy {
				break
			}
			e.name = m.Name
			if !frozen || x.f.hello == nil {
				break
			}
			out.Write(c, slices.Clone(x.f.hello))
			out.Write(c, proto.Append(nil, proto.Push{Sequence: 1, Ops: x.f.tables(m.Name)}))
		case proto.Reports:
			if frozen {
				out.Write(c, proto.Append(nil, proto.ReportsReceived{}))
			}
		}
	}
}

// note keeps what the coordinator orders of a proxy.
func (x *frosted) note(e *frostedEnd, data []byte) {
	e.out.Feed(data)
	for {
		msg, err := e.out.Next()
		if err != nil || msg == nil {
			return
		}
		switch m := msg.(type) {
		case proto.Welcome:
			x.f.hello = proto.Append(nil, m)
		case proto.Push:
			for _, o := range m.Ops {
				x.f.apply(e.name, o)
			}
		}
	}
}

func (f *TableFreezer) apply(proxy string, o proto.TableOp) {
	tables := f.held[proxy]
	if tables == nil {
		tables = map[uint64]*frozen{}
		f.held[proxy] = tables
	}
	t := tables[o.Table]
	line := func(l proto.TableEntry) {
		if l.Weight == 0 {
			delete(t.lines, l.Backend)
			return
		}
		t.lines[l.Backend] = l
	}
	switch o.Kind {
	case proto.OpBind:
		t = &frozen{methods: o.Methods, lines: map[proto.BackendID]proto.TableEntry{}}
		tables[o.Table] = t
		for _, l := range o.Entries {
			line(l)
		}
	case proto.OpSetEntry:
		if t != nil {
			line(o.Entries[0])
		}
	case proto.OpClear:
		if t != nil {
			clear(t.lines)
		}
	}
}

// tables are the orders that give a proxy what it had, all that was shut or shed then let in again.
func (f *TableFreezer) tables(proxy string) (ops []proto.TableOp) {
	for _, n := range slices.Sorted(maps.Keys(f.held[proxy])) {
		t := f.held[proxy][n]
		o := proto.TableOp{Kind: proto.OpBind, Table: n, Methods: t.methods}
		for _, ep := range slices.Sorted(maps.Keys(t.lines)) {
			l := t.lines[ep]
			l.Excluded = false
			o.Entries = append(o.Entries, l)
		}
		ops = append(ops, o)
	}
	return ops
}
