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
	open    map[proto.EP]proto.Line
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
		name: name, list: list, methods: methods, period: period, conns: statemachine.Dialed, open: map[proto.EP]proto.Line{},
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
		p.out.Write(p.watch, proto.Append(hello, proto.Watch{On: true, Since: p.version}))
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
				p.reader.Open()
			case proto.List:
				if m.Kind == proto.ListError {
					p.out.Close(p.watch)
					lost()
					return
				}
				p.news(m)
			}
		}
	}
}

func (p *BaselineCoordinator) news(m proto.List) {
	var ops []proto.Op
	set := func(l proto.Line) {
		if was, held := p.open[l.EP]; was == l || !held && l.Weight == 0 {
			return
		}
		if l.Weight > 0 {
			p.open[l.EP] = l
		} else {
			delete(p.open, l.EP)
		}
		ops = append(ops, proto.Op{Kind: proto.OpLine, Table: 1, Lines: []proto.Line{l}})
	}
	shown := map[proto.EP]bool{}
	for _, e := range m.Entries {
		l := proto.Line{EP: e.EP, Addr: e.Addr}
		if e.State == proto.ServerOpen {
			l.Weight = e.Weight
		}
		shown[e.EP] = true
		set(l)
	}
	if m.Kind == proto.ListFull {
		for _, ep := range p.sorted() {
			if !shown[ep] {
				set(proto.Line{EP: ep})
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

func (p *BaselineCoordinator) sorted() (all []proto.EP) {
	for ep := range p.open {
		all = append(all, ep)
	}
	slices.Sort(all)
	return all
}

func (p *BaselineCoordinator) push(c statemachine.Conn, x *plainProxy, ops []proto.Op) {
	x.seq++
	p.out.Write(c, proto.Append(nil, proto.Push{Seq: x.seq, Ops: ops}))
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
			x.reader.Open()
			x.joined = true
			p.out.Write(c, proto.Append(nil, proto.Welcome{Version: proto.Version, Name: p.name, Period: p.period, Methods: p.methods}))
			bind := proto.Op{Kind: proto.OpBind, Table: 1}
			for _, ep := range p.sorted() {
				bind.Lines = append(bind.Lines, p.open[ep])
			}
			p.push(c, x, []proto.Op{bind})
		case proto.Sums:
			p.out.Write(c, proto.Append(nil, proto.Heard{}))
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
	lines   map[proto.EP]proto.Line
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
			e.in.Open()
			e.out.Open()
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
			out.Write(c, proto.Append(nil, proto.Push{Seq: 1, Ops: x.f.tables(m.Name)}))
		case proto.Sums:
			if frozen {
				out.Write(c, proto.Append(nil, proto.Heard{}))
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

func (f *TableFreezer) apply(proxy string, o proto.Op) {
	tables := f.held[proxy]
	if tables == nil {
		tables = map[uint64]*frozen{}
		f.held[proxy] = tables
	}
	t := tables[o.Table]
	line := func(l proto.Line) {
		if l.Weight == 0 {
			delete(t.lines, l.EP)
			return
		}
		t.lines[l.EP] = l
	}
	switch o.Kind {
	case proto.OpBind:
		t = &frozen{methods: o.Methods, lines: map[proto.EP]proto.Line{}}
		tables[o.Table] = t
		for _, l := range o.Lines {
			line(l)
		}
	case proto.OpLine:
		if t != nil {
			line(o.Lines[0])
		}
	case proto.OpClear:
		if t != nil {
			clear(t.lines)
		}
	}
}

// tables are the orders that give a proxy what it had, all that was shut or shed then let in again.
func (f *TableFreezer) tables(proxy string) (ops []proto.Op) {
	for _, n := range slices.Sorted(maps.Keys(f.held[proxy])) {
		t := f.held[proxy][n]
		o := proto.Op{Kind: proto.OpBind, Table: n, Methods: t.methods}
		for _, ep := range slices.Sorted(maps.Keys(t.lines)) {
			l := t.lines[ep]
			l.Shut = false
			o.Lines = append(o.Lines, l)
		}
		ops = append(ops, o)
	}
	return ops
}
