// Package platform is a coordinator as the operators' platform runs one: an instance of the decision module behind the
// platform's protocol. It is one more front beside package coordinator's, on the same loop and the same fan-out of
// orders. It does not pace what it sends, nor sum what it hears: the platform's channel and collectors do both, and the
// module reckons with theirs. docs/platform.md tells the rest.
package platform

import (
	"fmt"
	"math"
	"runtime/debug"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// Bootstrap is what a coordinator on the platform is started with.
type Bootstrap struct {
	Name      string
	Discovery string // address
	Module    choice.Config
	Known     []byte // the list as last held, in discovery's form; none: nothing was
	// MostConns is how many connections may stand at once; past it strangers make room for who comes.
	MostConns  int
	MostProbes int                  // at once
	MostAnswer int                  // bytes of an HTTP answer
	Handshake  statemachine.Seconds // within which a connection must have joined
}

type role uint8

const (
	stranger role = iota // it has not joined
	proxyRole
	collectorRole
	listRole
	probeRole
)

// session is one connection.
type session struct {
	conn   statemachine.Conn
	role   role
	opened statemachine.Seconds
	reader wire.Reader
	stream *stream
	probe  *probe
	zone   string               // a collector's
	heard  statemachine.Seconds // a collector's: when bytes last came
}

// Machine is the coordinator.
type Machine struct {
	boot       Bootstrap
	planner    *choice.Planner
	book       *fanout.Distributor
	roll       *roll
	list       caller
	probes     prober
	sessions   map[statemachine.Conn]*session
	strange    []*session // that have not joined, oldest first; others among them are passed over
	streams    []*stream  // by proxy, nil where none is joined
	collectors []*session // collectors, also some that are gone
	methods    []string
	zones      map[string]bool
	soft       statemachine.Seconds // the shortest soft deadline
	round      statemachine.Seconds
	dialled    statemachine.Conn

	events  []choice.Event
	alarm   statemachine.Seconds
	ring    choice.TimerID
	stepped statemachine.Seconds
	failed  statemachine.Seconds        // when the module last failed
	heard   statemachine.Seconds        // when bytes last came from anybody who was accepted
	looked  statemachine.Seconds        // when dead streams were last looked for
	stopped statemachine.Seconds        // until when we last stood still
	moved   *Bootstrap                  // what is to be in force from the next step on
	lost    map[string]int              // troubles by kind, so that a storm of them makes few lines in the log
	ill     map[choice.BackendID]string // servers that the module keeps out of arcs, and why, as last logged
	figures Figures
}

// Figures are counts since the start.
type Figures struct {
	Joins, Leaves, TakenOver         int
	Messages, Bytes                  int
	Steps, Orders                    int
	Refused, Evicted, Spoilt, Broken int
	Stale                            int // answers to marks not in flight
	IdledOut                         int // streams and collectors silent for too long
	Outdated                         int // results of probes whose server is another by now
	Failures                         int // of the module
	Panics                           int // at inputs
	Streams                          int // joined now
}

// Figures gives the counts.
func (m *Machine) Figures() Figures {
	f := m.figures
	for _, s := range m.streams {
		if s != nil {
			f.Streams++
		}
	}
	return f
}

// New makes a coordinator. A list that was held and can't be read is an error; the coordinator is usable without it.
func New(boot Bootstrap) (*Machine, error) {
	m := &Machine{boot: boot, roll: newRoll(), sessions: map[statemachine.Conn]*session{}, dialled: statemachine.Dialed, lost: map[string]int{},
		ill: map[choice.BackendID]string{}}
	m.list = caller{m: m, addr: boot.Discovery, answer: answer{most: boot.MostAnswer}}
	m.probes = prober{m: m}
	m.settle()
	var err error
	if len(boot.Known) > 0 {
		var l *list
		if l, err = parseList(boot.Known); err == nil {
			_, err = m.roll.news(boot.Module.Now, l)
		}
	}
	m.instance(boot.Module)
	return m, err
}

// settle takes over what the settings say of methods, zones and proxies.
func (m *Machine) settle() {
	b := m.boot.Module
	m.methods, m.zones, m.soft = nil, map[string]bool{}, math.Inf(1)
	for _, method := range b.Settings.Methods {
		m.methods = append(m.methods, method.Name)
		m.soft = min(m.soft, method.SoftDeadline.Or(1))
	}
	for _, zone := range b.Settings.Zones {
		m.zones[zone] = true
	}
	m.round = b.Settings.Tick.Or(0)
	m.streams = make([]*stream, min(max(int(b.Settings.Proxies.Or(0)), 0), 1<<16))
}

// instance begins with a fresh instance of the module: from the list as held, and the streams that stand.
func (m *Machine) instance(b choice.Config) {
	m.planner, m.book = choice.New(b), fanout.New()
	m.book.Methods = m.all(0)
	m.events, m.alarm, m.stepped = nil, b.Now, b.Now-m.round
	if m.roll.held {
		m.events = append(m.events, m.roll.kept())
	}
	for _, s := range m.streams {
		if s != nil {
			s.follower, s.marks = m.book.Join(s.proxy), nil
			m.events = append(m.events, choice.ProxyJoined{Proxy: s.proxy, Zone: s.zone, Rate: s.rate})
		}
	}
}

// Renew puts what was read anew in force with the next step. It must be called between steps.
func (m *Machine) Renew(boot Bootstrap) { m.moved = &boot }

// Step implements machine.Machine.
func (m *Machine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.renew(now, out)
	for _, i := range in {
		m.guarded(now, i, out)
	}
	m.survive(now, out, m.sweep)
	if due := now >= m.alarm; due || len(m.events) > 0 && now >= m.stepped+m.round {
		if due {
			m.events = append(m.events, choice.TimerFired{Timer: m.ring})
			m.alarm = now + 3600
		}
		m.survive(now, out, m.decide)
	}
	if len(m.events) > 0 {
		out.WakeBy(m.stepped + m.round)
	}
	out.WakeBy(m.alarm)
	m.forget(m.roll.tidy(now))
	// Whatever asks, the next step is not at this very moment: it would be asked for again and again.
	out.WakeAt = max(out.WakeAt, now+shortest)
}

// forget drops what streams were told of servers whose names are forgotten. A proxy goes on holding one as shut out, so should
// the name ever come back, it must be let back in.
func (m *Machine) forget(gone []choice.BackendID) {
	for _, s := range m.streams {
		for _, ep := range gone {
			if s != nil {
				s.pristine = s.pristine && !s.told[ep]
				delete(s.told, ep)
			}
		}
	}
}

const shortest statemachine.Seconds = 1e-4

// survive has something done that concerns all connections. Should it panic, a fresh instance of the module begins: the end of
// the process would leave every proxy alone.
func (m *Machine) survive(now statemachine.Seconds, out *statemachine.Effects, what func(statemachine.Seconds, *statemachine.Effects)) {
	defer func() {
		if r := recover(); r != nil {
			m.restart(now, fmt.Errorf("a step failed: %v\n%s", r, debug.Stack()), out)
		}
	}()
	what(now, out)
}

func (m *Machine) renew(now statemachine.Seconds, out *statemachine.Effects) {
	if m.moved == nil {
		return
	}
	boot := *m.moved
	m.moved = nil
	if boot.Discovery != m.boot.Discovery {
		out.Log(1, "discovery is elsewhere", "addr", boot.Discovery)
		m.boot.Discovery = boot.Discovery
		m.list.move(now, boot.Discovery, out)
	}
}

func (m *Machine) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	m.dialled++
	out.Dial(m.dialled, addr)
	return m.dialled
}

// guarded takes an input. Should one ever make us panic, it costs its own connection and not all the others theirs, which
// the end of the process would.
func (m *Machine) guarded(now statemachine.Seconds, i statemachine.Input, out *statemachine.Effects) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		m.figures.Panics++
		m.often(out, "panic", 3, "an input could not be taken, its connection ends", "conn", uint64(i.Conn), "cause", fmt.Sprint(r), "stack", string(debug.Stack()))
		s := m.sessions[i.Conn]
		if s == nil {
			return
		}
		delete(m.sessions, i.Conn)
		out.Abort(i.Conn)
		switch s.role {
		case proxyRole:
			for _, st := range m.streams { // not by the session, which may be what is broken
				if st != nil && st.session == s {
					m.leave(st)
				}
			}
		case listRole:
			m.list.conn, m.list.up = 0, false
			m.list.failed(now, "its answer could not be taken", out)
		case probeRole:
			m.probes.active = slices.DeleteFunc(m.probes.active, func(x *session) bool { return x == s })
		}
	}()
	m.input(now, i, out)
}

func (m *Machine) input(now statemachine.Seconds, i statemachine.Input, out *statemachine.Effects) {
	s := m.sessions[i.Conn]
	switch i.Kind {
	case statemachine.ConnOpened:
		switch {
		case s == nil && i.Conn&statemachine.Dialed == 0:
			m.accept(now, i.Conn, out)
		case s != nil && s.role == listRole:
			m.list.opened(now, out)
		case s != nil && s.role == probeRole:
			m.probes.opened(s, out)
		}
	case statemachine.ConnClosed:
		if s == nil {
			return
		}
		delete(m.sessions, s.conn)
		switch s.role {
		case listRole:
			m.list.data(now, nil, true, i.Text, out)
		case probeRole:
			if i.LocalFailure {
				m.probes.unasked(now, s, out)
			} else {
				m.probes.data(now, s, nil, true, out)
			}
		case proxyRole:
			m.leave(s.stream)
		}
	case statemachine.ConnData:
		if s == nil {
			return
		}
		switch s.role {
		case listRole:
			m.list.data(now, i.Data, false, "", out)
		case probeRole:
			m.probes.data(now, s, i.Data, false, out)
		default:
			if s.role == proxyRole {
				s.stream.heard = now
			}
			s.heard = now
			m.heard = now
			s.reader.Feed(i.Data)
			m.read(now, s, out)
		}
	}
}

// firstLine is longer than any message of one who has not joined; a line of one who has may be longer by far.
const (
	firstLine = 512
	lineMost  = 16 << 10
)

func (m *Machine) accept(now statemachine.Seconds, c statemachine.Conn, out *statemachine.Effects) {
	s := &session{conn: c, opened: now, reader: wire.Reader{Most: firstLine}}
	m.sessions[c] = s
	m.strange = append(m.strange, s)
	if len(m.sessions) <= m.boot.MostConns {
		return
	}
	// Whoever has joined stays; the stranger that had the longest time to do so makes room.
	if x := m.oldest(); x != nil {
		m.figures.Evicted++
		m.often(out, "evicted", 2, "connections are at their limit, a stranger made room", "limit", m.boot.MostConns)
		delete(m.sessions, x.conn)
		out.Abort(x.conn)
	}
}

// oldest is the stranger that came first, nil if there is none. Those before it, that joined or went, are forgotten: in a
// storm each newcomer would look through them all again.
func (m *Machine) oldest() *session {
	for i, s := range m.strange {
		if m.sessions[s.conn] == s && s.role == stranger {
			m.strange = m.strange[i:]
			return s
		}
	}
	m.strange = nil
	return nil
}

// sweep ends what takes too long.
func (m *Machine) sweep(now statemachine.Seconds, out *statemachine.Effects) {
	for s := m.oldest(); s != nil; s = m.oldest() {
		if now < s.opened+m.boot.Handshake {
			out.WakeBy(s.opened + m.boot.Handshake)
			break
		}
		m.refuse(s, "it did not join in time", out)
	}
	if now >= m.looked+1 {
		if now > m.looked+3 {
			m.stopped = now // we were: what came meanwhile is yet to be read
		}
		m.looked = now
		m.endIdle(now, out)
		m.endReplaced(now, out)
		m.tellHealth(out)
	}
	m.list.sweep(now, out)
	m.probes.sweep(now, out)
}

// idleTimeout is how long a stream may owe answers and say nothing at all: three periods of its usage reports, and far
// longer than any answer takes.
func (m *Machine) idleTimeout() statemachine.Seconds {
	return max(3*m.boot.Module.Settings.ReportPeriod.Or(1), 20*m.boot.Module.Settings.PushTimeWorst.Or(0.3), 6)
}

// endIdle ends streams whose other end is gone without a word, as after a cut or the loss of a machine: their proxies are
// elsewhere, and would be dealt tables, and sent the same ones again and again, for as long as TCP keeps the connection.
// Not when nobody is heard: then it is we who are cut off, or were stopped for a while. A proxy that lives all the same dials
// again and gets a whole table.
func (m *Machine) endIdle(now statemachine.Seconds, out *statemachine.Effects) {
	limit := m.idleTimeout()
	if now > m.heard+limit/4 {
		return
	}
	for _, s := range m.streams {
		if s == nil || len(s.marks) == 0 || now < max(s.asked, s.heard, m.stopped)+limit {
			continue
		}
		m.figures.IdledOut++
		m.often(out, "buried", 2, "a stream was silent and owed answers, it counts as left", "proxy", int(s.proxy), "silent", now-s.heard)
		delete(m.sessions, s.session.conn)
		out.Abort(s.session.conn)
		m.leave(s)
	}
}

// endReplaced ends collectors' connections that are silent while a later one of the same zone speaks: the collector was cut off
// without a word and is back, and nothing else would ever give the old descriptor back.
func (m *Machine) endReplaced(now statemachine.Seconds, out *statemachine.Effects) {
	m.collectors = slices.DeleteFunc(m.collectors, func(s *session) bool { return m.sessions[s.conn] != s })
	newest := map[string]*session{}
	for _, s := range m.collectors {
		if x := newest[s.zone]; x == nil || s.conn > x.conn {
			newest[s.zone] = s
		}
	}
	for _, s := range m.collectors {
		x := newest[s.zone]
		if x == s || x.heard <= s.heard || now < max(s.heard, m.stopped)+m.idleTimeout() {
			continue
		}
		m.figures.IdledOut++
		m.often(out, "replaced", 2, "a collector was silent while a later one of its zone spoke, its connection ends", "zone", s.zone, "silent", now-s.heard)
		delete(m.sessions, s.conn)
		out.Abort(s.conn)
	}
}

// mostTold bounds the lines about servers' health in a second; what is left out is told a second later if it still holds.
const mostTold = 8

// tellHealth logs which servers the module began, or ceased, to keep out of arcs, and the figures that it goes by: on call
// that is held against what the servers say of themselves. A module that fails here costs the lines, never the process.
func (m *Machine) tellHealth(out *statemachine.Effects) {
	defer func() {
		if r := recover(); r != nil {
			m.often(out, "health", 3, "what the module believes can't be told", "cause", fmt.Sprint(r))
		}
	}()
	was, lines := m.ill, 0
	m.ill = map[choice.BackendID]string{}
	for _, b := range m.planner.Estimates() {
		why := ""
		switch {
		case b.Unreachable:
			why = "it answers no probes"
		case b.Ejected:
			why = "its tries fail"
		}
		if why != was[b.Backend] && lines < mostTold {
			lines++
			text := "server kept out of arcs"
			if why == "" {
				text = "server may be in arcs again"
			}
			name := ""
			if s := m.roll.servers[b.Backend]; s != nil {
				name = s.name
			}
			out.Log(1, text, "backend", name, "why", why, "tries", short(b.AttemptRate), "bad", short(b.FailureShare), "delay", short(b.MeanLatency), "expected", short(b.ExpectedRate))
			was[b.Backend] = why
		}
		if w := was[b.Backend]; w != "" {
			m.ill[b.Backend] = w
		}
	}
}

// short keeps a figure fit for a log's line.
func short(v float64) float64 { return math.Round(v*1000) / 1000 }

// read takes the messages that are whole. One that makes no sense is dropped alone; bytes that can't be read end the
// connection.
func (m *Machine) read(now statemachine.Seconds, s *session, out *statemachine.Effects) {
	for m.sessions[s.conn] == s {
		msg, err := s.reader.Next()
		if err == nil && msg == nil {
			return
		}
		if err == nil {
			err = m.message(now, s, msg, out)
		}
		if err == nil {
			continue
		}
		if spoilt, ok := err.(*wire.Spoilt); ok && s.role != stranger {
			m.figures.Spoilt++
			m.often(out, "spoilt "+spoilt.Kind, 2, "a message was dropped", "conn", uint64(s.conn), "why", err.Error())
			continue
		}
		m.refuse(s, err.Error(), out)
		return
	}
}

// refuse says why and ends the connection; a stream has left with that.
func (m *Machine) refuse(s *session, why string, out *statemachine.Effects) {
	delete(m.sessions, s.conn)
	if s.role == stranger {
		m.figures.Refused++
		m.often(out, "refused", 1, "a connection was refused", "conn", uint64(s.conn), "why", why)
		out.Write(s.conn, wire.AppendReject(nil, why))
		out.Close(s.conn)
		return
	}
	m.figures.Broken++
	who := "a collector's"
	if s.role == proxyRole {
		who = fmt.Sprintf("proxy %d's", s.stream.proxy)
	}
	m.often(out, "broken", 2, "a connection carried what can't be read and was ended", "conn", uint64(s.conn), "whose", who, "why", why)
	out.Abort(s.conn)
	if s.role == proxyRole {
		m.leave(s.stream)
	}
}

// often logs a kind of trouble each time that its number has doubled.
func (m *Machine) often(out *statemachine.Effects, kind string, level int, text string, pairs ...any) {
	m.lost[kind]++
	if n := m.lost[kind]; n&(n-1) == 0 {
		out.Log(level, text, append(pairs, "times", n)...)
	}
}

func spoilt(kind, format string, args ...any) error {
	return &wire.Spoilt{Kind: kind, Why: fmt.Sprintf(format, args...)}
}

// message takes one message. A *line.Spoilt error costs that message, or the connection of one who has not joined.
func (m *Machine) message(now statemachine.Seconds, s *session, msg wire.Message, out *statemachine.Effects) error {
	if _, ok := msg.(wire.Beat); ok {
		out.Write(s.conn, wire.AppendBeat(nil))
		return nil
	}
	if s.role == stranger {
		switch x := msg.(type) {
		case wire.Collector:
			if !m.zones[x.Zone] {
				return spoilt("collector", "zone %.32q is not one of ours", x.Zone)
			}
			s.role, s.reader.Most, s.zone = collectorRole, lineMost, x.Zone
			m.collectors = append(m.collectors, s)
			out.Log(1, "collector joined", "zone", x.Zone)
			return nil
		case wire.Join:
			return m.join(now, s, x, out)
		}
		return spoilt("report", "it came before a joining")
	}
	switch x := msg.(type) {
	case wire.Answer:
		if s.role != proxyRole || x.Proxy != int(s.stream.proxy) {
			return spoilt("answer", "it is not from its proxy's stream")
		}
		m.answered(s.stream, x)
		return nil
	case wire.Usage:
		if s.role == proxyRole && x.Proxy != int(s.stream.proxy) {
			return spoilt("usage", "it is of another proxy")
		}
		method := slices.Index(m.methods, x.Method)
		if x.Proxy >= len(m.streams) || method < 0 {
			return spoilt("usage", "proxy %d or method %.32q does not exist", x.Proxy, x.Method)
		}
		// Of a proxy that left, or that is joined elsewhere, it is no business of ours.
		if m.streams[x.Proxy] != nil && x.RPCs+x.Bad > 0 {
			m.events = append(m.events, choice.UsageReport{Proxy: choice.ProxyID(x.Proxy), Method: choice.MethodID(method), RPCs: x.RPCs, Failures: x.Bad, Span: x.Over})
		}
		return nil
	case wire.Tries:
		ep, ok := m.roll.numbers[x.Server]
		switch {
		case s.role != collectorRole:
			return spoilt("tries", "they are not from a collector")
		case !m.zones[x.Zone] || !ok:
			return spoilt("tries", "zone %.32q or server %.32q does not exist", x.Zone, x.Server)
		}
		if x.Tries > 0 {
			m.events = append(m.events, choice.AttemptReport{Backend: ep, Zone: choice.Zone(x.Zone), Attempts: x.Tries, Failures: x.Bad, MeanLatency: x.Delay,
				Span: x.Over, Load: m.columns(x.Load)})
		}
		return nil
	}
	return spoilt("joining", "it is joined already")
}

// columns puts a load report's figures into the order of the settings' columns; one that is not told is 0.
func (m *Machine) columns(figures map[string]float64) (all []float64) {
	if len(figures) == 0 {
		return nil
	}
	for _, column := range m.boot.Module.Settings.FeedbackColumns {
		all = append(all, figures[column])
	}
	return all
}

func (m *Machine) join(now statemachine.Seconds, s *session, x wire.Join, out *statemachine.Effects) error {
	if x.Proxy >= len(m.streams) || !m.zones[x.Zone] {
		return spoilt("joining", "proxy %d or zone %.32q does not exist", x.Proxy, x.Zone)
	}
	if old := m.streams[x.Proxy]; old != nil {
		if s.conn < old.session.conn {
			// It was opened before the stream that stands, and its joining was late: the proxy gave it up for the other.
			return spoilt("joining", "proxy %d is joined by a later stream", x.Proxy)
		}
		// The older stream is a dead one whose end we have not seen; its late end must change nothing.
		m.figures.TakenOver++
		delete(m.sessions, old.session.conn)
		out.Abort(old.session.conn)
		m.leave(old)
	}
	st := &stream{session: s, proxy: choice.ProxyID(x.Proxy), zone: choice.Zone(x.Zone), rate: x.Rate, heard: now, told: map[choice.BackendID]bool{}, pristine: x.Fresh}
	st.follower = m.book.Join(st.proxy)
	s.role, s.stream, s.reader.Most = proxyRole, st, lineMost
	m.streams[x.Proxy] = st
	m.figures.Joins++
	m.events = append(m.events, choice.ProxyJoined{Proxy: st.proxy, Zone: st.zone, Rate: x.Rate, Fresh: x.Fresh})
	return nil
}

func (m *Machine) leave(s *stream) {
	if m.streams[s.proxy] != s {
		return
	}
	m.streams[s.proxy] = nil
	m.book.Leave(s.follower)
	m.figures.Leaves++
	m.events = append(m.events, choice.ProxyLeft{Proxy: s.proxy})
}

// answered checks that the mark is in flight on this very stream. An answer tells of all that was sent before, too.
func (m *Machine) answered(s *stream, x wire.Answer) {
	at := slices.Index(s.marks, choice.Nonce(x.Mark))
	if at < 0 {
		m.figures.Stale++
		return
	}
	s.marks = append(s.marks[:0], s.marks[at+1:]...)
	m.events = append(m.events, choice.PushAcknowledged{Proxy: s.proxy, Nonce: choice.Nonce(x.Mark), Delay: x.Delay})
}

// decide has the module take a step, and carries out what it orders.
func (m *Machine) decide(now statemachine.Seconds, out *statemachine.Effects) {
	events := m.events
	m.events = nil
	m.stepped = now
	m.figures.Steps++
	orders, err := m.ask(now, events)
	if err != nil {
		m.restart(now, err, out)
		return
	}
	m.figures.Orders += len(orders)
	var mark *choice.SetNonce
	for _, o := range orders {
		switch o := o.(type) {
		case choice.SetNonce:
			mark = &o
		case choice.WatchEndpoints:
			m.list.watch(now, out)
		case choice.FetchEndpoints:
			m.list.fetchAll(now, out)
		case choice.ProbeBackend:
			m.probes.order(o.Backend)
		case choice.SetTimer:
			// The module asks for one at a time and looks at the clock itself; the soonest serves them all.
			if o.At < m.alarm {
				m.alarm, m.ring = o.At, o.Timer
			}
		case choice.LogMessage:
			out.Log(1, o.Text)
		case choice.SendToPeer: // the platform's coordinators have no way to each other
		default:
			if !m.book.Apply(o) {
				m.often(out, "order", 3, "an order of unknown type", "type", fmt.Sprintf("%T", o))
			}
		}
	}
	if mark != nil && mark.All {
		for f := range m.book.Subscribers() {
			m.book.MarkDirty(f)
		}
	}
	messages, turns := m.book.Flush(nil)
	for _, x := range messages {
		s := m.streams[x.To.Proxy]
		if s == nil || s.follower != x.To {
			continue
		}
		var with *choice.Nonce
		if mark != nil {
			with = &mark.Nonce
			if len(s.marks) == 0 {
				s.asked = now
			}
			if s.marks = append(s.marks, *with); len(s.marks) > mostMarks {
				s.marks = append(s.marks[:0], s.marks[1:]...)
			}
		}
		b := wire.Append(nil, m.parts(s, x.Ops, with))
		m.figures.Messages++
		m.figures.Bytes += len(b)
		out.Write(s.session.conn, b)
	}
	for _, t := range turns {
		text := "server let in again"
		if t.Excluded {
			text = "server withdrawn"
		}
		name := ""
		if s := m.roll.servers[t.Backend]; s != nil {
			name = s.name
		}
		out.Log(1, text, "backend", name, "proxies", t.Proxies)
	}
	m.probes.next(now, out)
	m.probes.sweep(now, out)
	m.list.sweep(now, out)
}

// ask has the module take a step. That it fails must not end the process, which would leave every proxy alone.
func (m *Machine) ask(now statemachine.Seconds, events []choice.Event) (orders []choice.Command, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the decision module failed: %v\n%s", r, debug.Stack())
		}
	}()
	return m.planner.Step(now, events), nil
}

// restart puts a fresh instance in the failed one's place; proxies keep what they hold until it has given them theirs.
func (m *Machine) restart(now statemachine.Seconds, cause error, out *statemachine.Effects) {
	m.figures.Failures++
	m.often(out, "failure", 3, "a fresh instance of the module begins", "cause", cause.Error())
	b := m.boot.Module
	b.Seed, b.Now = b.Seed+uint64(m.figures.Failures), now
	m.instance(b)
	if now < m.failed+1 { // it fails at once again: not in a tight loop
		m.alarm, m.stepped = now+1, now+1
	}
	m.failed = now
}
