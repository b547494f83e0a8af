// Package platform is a coordinator as the operators' platform runs one: an instance of the decision module behind the
// platform's protocol. It is one more front beside package coordinator's, on the same loop and the same fan-out of
// orders. It does not pace what it sends, nor sum what it hears: the platform's channel and collectors do both, and the
// module reckons with theirs. docs/platform.md tells the rest.
package platform

import (
	"errors"
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
	Name       string
	Discovery  string // address
	Module     choice.Config
	CachedList []byte // the list as last held, in discovery's form; none: nothing was
	// MostConns is how many connections may stand at once; past it strangers make room for who comes.
	MaxConnections   int
	MaxProbes        int                  // at once
	MaxResponseBytes int                  // bytes of an HTTP answer
	HandshakeTimeout statemachine.Seconds // within which a connection must have joined
}

type role uint8

const (
	roleHandshake role = iota // it has not joined
	roleProxy
	roleCollector
	roleDiscovery
	roleProbe
)

// session is one connection.
type session struct {
	conn         statemachine.Conn
	role         role
	openedAt     statemachine.Seconds
	decoder      wire.Decoder
	stream       *stream
	probe        *probe
	zone         string               // a collector's
	lastReceived statemachine.Seconds // a collector's: when bytes last came
}

// Machine is the coordinator.
type Machine struct {
	boot            Bootstrap
	planner         *choice.Planner
	distributor     *fanout.Distributor
	endpoints       *endpointRegistry
	discovery       discoveryClient
	probes          prober
	sessions        map[statemachine.Conn]*session
	handshaking     []*session // that have not joined, oldest first; others among them are passed over
	streams         []*stream  // by proxy, nil where none is joined
	collectors      []*session // collectors, also some that are gone
	methods         []string
	zones           map[string]bool
	minSoftDeadline statemachine.Seconds // the shortest soft deadline
	stepInterval    statemachine.Seconds
	lastDialed      statemachine.Conn

	events          []choice.Event
	timerDue        statemachine.Seconds
	timerID         choice.TimerID
	lastDecision    statemachine.Seconds
	lastRestart     statemachine.Seconds        // when the module last failed
	lastReceived    statemachine.Seconds        // when bytes last came from anybody who was accepted
	lastIdleCheck   statemachine.Seconds        // when dead streams were last looked for
	lastPause       statemachine.Seconds        // until when we last stood still
	pendingReload   *Bootstrap                  // what is to be in force from the next step on
	problemCounts   map[string]int              // troubles by kind, so that a storm of them makes few lines in the log
	loggedUnhealthy map[choice.BackendID]string // servers that the module keeps out of arcs, and why, as last logged
	stats           Stats
}

// Figures are counts since the start.
type Stats struct {
	Joins, Leaves, TakenOver                              int
	Messages, Bytes                                       int
	Steps, Commands                                       int
	Rejected, Evicted, InvalidMessages, BrokenConnections int
	StaleAcknowledgements                                 int // answers to marks not in flight
	IdleClosed                                            int // streams and collectors silent for too long
	OutdatedProbes                                        int // results of probes whose server is another by now
	PlannerRestarts                                       int // of the module
	InputPanics                                           int // at inputs
	Streams                                               int // joined now
}

// Figures gives the counts.
func (m *Machine) Stats() Stats {
	f := m.stats
	for _, s := range m.streams {
		if s != nil {
			f.Streams++
		}
	}
	return f
}

// New makes a coordinator. A list that was held and can't be read is an error; the coordinator is usable without it.
func New(boot Bootstrap) (*Machine, error) {
	m := &Machine{boot: boot, endpoints: newEndpointRegistry(), sessions: map[statemachine.Conn]*session{}, lastDialed: statemachine.Dialed, problemCounts: map[string]int{},
		loggedUnhealthy: map[choice.BackendID]string{}}
	m.discovery = discoveryClient{machine: m, addr: boot.Discovery, response: responseParser{maxBytes: boot.MaxResponseBytes}}
	m.probes = prober{machine: m}
	m.applySettings()
	var err error
	if len(boot.CachedList) > 0 {
		var l *listDocument
		if l, err = parseEndpointList(boot.CachedList); err == nil {
			_, err = m.endpoints.update(boot.Module.Now, l)
		}
	}
	m.startPlanner(boot.Module)
	return m, err
}

// settle takes over what the settings say of methods, zones and proxies.
func (m *Machine) applySettings() {
	b := m.boot.Module
	m.methods, m.zones, m.minSoftDeadline = nil, map[string]bool{}, math.Inf(1)
	for _, method := range b.Settings.Methods {
		m.methods = append(m.methods, method.Name)
		m.minSoftDeadline = min(m.minSoftDeadline, method.SoftDeadline.Or(1))
	}
	for _, zone := range b.Settings.Zones {
		m.zones[zone] = true
	}
	m.stepInterval = b.Settings.Tick.Or(0)
	m.streams = make([]*stream, min(max(int(b.Settings.Proxies.Or(0)), 0), 1<<16))
}

// instance begins with a fresh instance of the module: from the list as held, and the streams that stand.
func (m *Machine) startPlanner(b choice.Config) {
	m.planner, m.distributor = choice.New(b), fanout.New()
	m.distributor.AllMethods = m.methodSet(0)
	m.events, m.timerDue, m.lastDecision = nil, b.Now, b.Now-m.stepInterval
	if m.endpoints.loaded {
		m.events = append(m.events, m.endpoints.cachedUpdate())
	}
	for _, s := range m.streams {
		if s != nil {
			s.subscriber, s.inFlight = m.distributor.Join(s.proxy), nil
			m.events = append(m.events, choice.ProxyJoined{Proxy: s.proxy, Zone: s.zone, Rate: s.rate})
		}
	}
}

// Renew puts what was read anew in force with the next step. It must be called between steps.
func (m *Machine) Reload(boot Bootstrap) { m.pendingReload = &boot }

// Step implements machine.Machine.
func (m *Machine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.applyReload(now, out)
	for _, i := range in {
		m.handleInputSafely(now, i, out)
	}
	m.recoverStep(now, out, m.expire)
	if due := now >= m.timerDue; due || len(m.events) > 0 && now >= m.lastDecision+m.stepInterval {
		if due {
			m.events = append(m.events, choice.TimerFired{Timer: m.timerID})
			m.timerDue = now + 3600
		}
		m.recoverStep(now, out, m.decide)
	}
	if len(m.events) > 0 {
		out.WakeBy(m.lastDecision + m.stepInterval)
	}
	out.WakeBy(m.timerDue)
	m.forgetBackends(m.endpoints.prune(now))
	// Whatever asks, the next step is not at this very moment: it would be asked for again and again.
	out.WakeAt = max(out.WakeAt, now+minWakeDelay)
}

// forget drops what streams were told of servers whose names are forgotten. A proxy goes on holding one as shut out, so should
// the name ever come back, it must be let back in.
func (m *Machine) forgetBackends(gone []choice.BackendID) {
	for _, s := range m.streams {
		for _, ep := range gone {
			if s != nil {
				s.joinedEmpty = s.joinedEmpty && !s.sentExclusions[ep]
				delete(s.sentExclusions, ep)
			}
		}
	}
}

const minWakeDelay statemachine.Seconds = 1e-4

// survive has something done that concerns all connections. Should it panic, a fresh instance of the module begins: the end of
// the process would leave every proxy alone.
func (m *Machine) recoverStep(now statemachine.Seconds, out *statemachine.Effects, what func(statemachine.Seconds, *statemachine.Effects)) {
	defer func() {
		if r := recover(); r != nil {
			m.restartPlanner(now, fmt.Errorf("a step failed: %v\n%s", r, debug.Stack()), out)
		}
	}()
	what(now, out)
}

func (m *Machine) applyReload(now statemachine.Seconds, out *statemachine.Effects) {
	if m.pendingReload == nil {
		return
	}
	boot := *m.pendingReload
	m.pendingReload = nil
	if boot.Discovery != m.boot.Discovery {
		out.Log(1, "discovery is elsewhere", "addr", boot.Discovery)
		m.boot.Discovery = boot.Discovery
		m.discovery.changeAddress(now, boot.Discovery, out)
	}
}

func (m *Machine) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	m.lastDialed++
	out.Dial(m.lastDialed, addr)
	return m.lastDialed
}

// guarded takes an input. Should one ever make us panic, it costs its own connection and not all the others theirs, which
// the end of the process would.
func (m *Machine) handleInputSafely(now statemachine.Seconds, i statemachine.Input, out *statemachine.Effects) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		m.stats.InputPanics++
		m.logThrottled(out, "panic", 3, "an input could not be taken, its connection ends", "conn", uint64(i.Conn), "cause", fmt.Sprint(r), "stack", string(debug.Stack()))
		s := m.sessions[i.Conn]
		if s == nil {
			return
		}
		delete(m.sessions, i.Conn)
		out.Abort(i.Conn)
		switch s.role {
		case roleProxy:
			for _, st := range m.streams { // not by the session, which may be what is broken
				if st != nil && st.session == s {
					m.leave(st)
				}
			}
		case roleDiscovery:
			m.discovery.conn, m.discovery.connected = 0, false
			m.discovery.requestFailed(now, "its answer could not be taken", out)
		case roleProbe:
			m.probes.active = slices.DeleteFunc(m.probes.active, func(x *session) bool { return x == s })
		}
	}()
	m.handleInput(now, i, out)
}

func (m *Machine) handleInput(now statemachine.Seconds, i statemachine.Input, out *statemachine.Effects) {
	s := m.sessions[i.Conn]
	switch i.Kind {
	case statemachine.ConnOpened:
		switch {
		case s == nil && i.Conn&statemachine.Dialed == 0:
			m.accept(now, i.Conn, out)
		case s != nil && s.role == roleDiscovery:
			m.discovery.connectionOpened(now, out)
		case s != nil && s.role == roleProbe:
			m.probes.connected(s, out)
		}
	case statemachine.ConnClosed:
		if s == nil {
			return
		}
		delete(m.sessions, s.conn)
		switch s.role {
		case roleDiscovery:
			m.discovery.received(now, nil, true, i.Text, out)
		case roleProbe:
			if i.LocalFailure {
				m.probes.failedLocally(now, s, out)
			} else {
				m.probes.received(now, s, nil, true, out)
			}
		case roleProxy:
			m.leave(s.stream)
		}
	case statemachine.ConnData:
		if s == nil {
			return
		}
		switch s.role {
		case roleDiscovery:
			m.discovery.received(now, i.Data, false, "", out)
		case roleProbe:
			m.probes.received(now, s, i.Data, false, out)
		default:
			if s.role == roleProxy {
				s.stream.lastReceived = now
			}
			s.lastReceived = now
			m.lastReceived = now
			s.decoder.Feed(i.Data)
			m.readMessages(now, s, out)
		}
	}
}

// firstLine is longer than any message of one who has not joined; a line of one who has may be longer by far.
const (
	maxHandshakeBytes = 512
	maxMessageBytes   = 16 << 10
)

func (m *Machine) accept(now statemachine.Seconds, c statemachine.Conn, out *statemachine.Effects) {
	s := &session{conn: c, openedAt: now, decoder: wire.Decoder{MaxBytes: maxHandshakeBytes}}
	m.sessions[c] = s
	m.handshaking = append(m.handshaking, s)
	if len(m.sessions) <= m.boot.MaxConnections {
		return
	}
	// Whoever has joined stays; the stranger that had the longest time to do so makes room.
	if x := m.oldestHandshaking(); x != nil {
		m.stats.Evicted++
		m.logThrottled(out, "evicted", 2, "connections are at their limit, a stranger made room", "limit", m.boot.MaxConnections)
		delete(m.sessions, x.conn)
		out.Abort(x.conn)
	}
}

// oldest is the stranger that came first, nil if there is none. Those before it, that joined or went, are forgotten: in a
// storm each newcomer would look through them all again.
func (m *Machine) oldestHandshaking() *session {
	for i, s := range m.handshaking {
		if m.sessions[s.conn] == s && s.role == roleHandshake {
			m.handshaking = m.handshaking[i:]
			return s
		}
	}
	m.handshaking = nil
	return nil
}

// sweep ends what takes too long.
func (m *Machine) expire(now statemachine.Seconds, out *statemachine.Effects) {
	for s := m.oldestHandshaking(); s != nil; s = m.oldestHandshaking() {
		if now < s.openedAt+m.boot.HandshakeTimeout {
			out.WakeBy(s.openedAt + m.boot.HandshakeTimeout)
			break
		}
		m.endSession(s, "it did not join in time", out)
	}
	if now >= m.lastIdleCheck+1 {
		if now > m.lastIdleCheck+3 {
			m.lastPause = now // we were: what came meanwhile is yet to be read
		}
		m.lastIdleCheck = now
		m.closeIdleStreams(now, out)
		m.closeReplacedCollectors(now, out)
		m.logHealthChanges(out)
	}
	m.discovery.expire(now, out)
	m.probes.expire(now, out)
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
func (m *Machine) closeIdleStreams(now statemachine.Seconds, out *statemachine.Effects) {
	limit := m.idleTimeout()
	if now > m.lastReceived+limit/4 {
		return
	}
	for _, s := range m.streams {
		if s == nil || len(s.inFlight) == 0 || now < max(s.unacknowledgedSince, s.lastReceived, m.lastPause)+limit {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, "buried", 2, "a stream was silent and owed answers, it counts as left", "proxy", int(s.proxy), "silent", now-s.lastReceived)
		delete(m.sessions, s.session.conn)
		out.Abort(s.session.conn)
		m.leave(s)
	}
}

// endReplaced ends collectors' connections that are silent while a later one of the same zone speaks: the collector was cut off
// without a word and is back, and nothing else would ever give the old descriptor back.
func (m *Machine) closeReplacedCollectors(now statemachine.Seconds, out *statemachine.Effects) {
	m.collectors = slices.DeleteFunc(m.collectors, func(s *session) bool { return m.sessions[s.conn] != s })
	newest := map[string]*session{}
	for _, s := range m.collectors {
		if x := newest[s.zone]; x == nil || s.conn > x.conn {
			newest[s.zone] = s
		}
	}
	for _, s := range m.collectors {
		x := newest[s.zone]
		if x == s || x.lastReceived <= s.lastReceived || now < max(s.lastReceived, m.lastPause)+m.idleTimeout() {
			continue
		}
		m.stats.IdleClosed++
		m.logThrottled(out, "replaced", 2, "a collector was silent while a later one of its zone spoke, its connection ends", "zone", s.zone, "silent", now-s.lastReceived)
		delete(m.sessions, s.conn)
		out.Abort(s.conn)
	}
}

// mostTold bounds the lines about servers' health in a second; what is left out is told a second later if it still holds.
const maxHealthLogs = 8

// tellHealth logs which servers the module began, or ceased, to keep out of arcs, and the figures that it goes by: on call
// that is held against what the servers say of themselves. A module that fails here costs the lines, never the process.
func (m *Machine) logHealthChanges(out *statemachine.Effects) {
	defer func() {
		if r := recover(); r != nil {
			m.logThrottled(out, "health", 3, "what the module believes can't be told", "cause", fmt.Sprint(r))
		}
	}()
	was, lines := m.loggedUnhealthy, 0
	m.loggedUnhealthy = map[choice.BackendID]string{}
	for _, b := range m.planner.Estimates() {
		why := ""
		switch {
		case b.Unreachable:
			why = "it answers no probes"
		case b.Ejected:
			why = "its tries fail"
		}
		if why != was[b.Backend] && lines < maxHealthLogs {
			lines++
			text := "server kept out of arcs"
			if why == "" {
				text = "server may be in arcs again"
			}
			name := ""
			if s := m.endpoints.backends[b.Backend]; s != nil {
				name = s.name
			}
			out.Log(1, text, "backend", name, "why", why, "tries", rounded(b.AttemptRate), "bad", rounded(b.FailureShare), "delay", rounded(b.MeanLatency), "expected", rounded(b.ExpectedRate))
			was[b.Backend] = why
		}
		if w := was[b.Backend]; w != "" {
			m.loggedUnhealthy[b.Backend] = w
		}
	}
}

// short keeps a figure fit for a log's line.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }

// read takes the messages that are whole. One that makes no sense is dropped alone; bytes that can't be read end the
// connection.
func (m *Machine) readMessages(now statemachine.Seconds, s *session, out *statemachine.Effects) {
	for m.sessions[s.conn] == s {
		msg, err := s.decoder.Next()
		if err == nil && msg == nil {
			return
		}
		if err == nil {
			err = m.handleMessage(now, s, msg, out)
		}
		if err == nil {
			continue
		}
		var spoilt *wire.MessageError
		if errors.As(err, &spoilt) && s.role != roleHandshake {
			m.stats.InvalidMessages++
			m.logThrottled(out, "spoilt "+spoilt.Kind, 2, "a message was dropped", "conn", uint64(s.conn), "why", err.Error())
			continue
		}
		m.endSession(s, err.Error(), out)
		return
	}
}

// refuse says why and ends the connection; a stream has left with that.
func (m *Machine) endSession(s *session, why string, out *statemachine.Effects) {
	delete(m.sessions, s.conn)
	if s.role == roleHandshake {
		m.stats.Rejected++
		m.logThrottled(out, "refused", 1, "a connection was refused", "conn", uint64(s.conn), "why", why)
		out.Write(s.conn, wire.AppendReject(nil, why))
		out.Close(s.conn)
		return
	}
	m.stats.BrokenConnections++
	who := "a collector's"
	if s.role == roleProxy {
		who = fmt.Sprintf("proxy %d's", s.stream.proxy)
	}
	m.logThrottled(out, "broken", 2, "a connection carried what can't be read and was ended", "conn", uint64(s.conn), "whose", who, "why", why)
	out.Abort(s.conn)
	if s.role == roleProxy {
		m.leave(s.stream)
	}
}

// often logs a kind of trouble each time that its number has doubled.
func (m *Machine) logThrottled(out *statemachine.Effects, kind string, level int, text string, pairs ...any) {
	m.problemCounts[kind]++
	if n := m.problemCounts[kind]; n&(n-1) == 0 {
		out.Log(level, text, append(pairs, "times", n)...)
	}
}

func invalidMessage(kind, format string, args ...any) error {
	return &wire.MessageError{Kind: kind, Reason: fmt.Sprintf(format, args...)}
}

// message takes one message. A *line.Spoilt error costs that message, or the connection of one who has not joined.
func (m *Machine) handleMessage(now statemachine.Seconds, s *session, msg wire.Message, out *statemachine.Effects) error {
	if _, ok := msg.(wire.Heartbeat); ok {
		out.Write(s.conn, wire.AppendHeartbeatReply(nil))
		return nil
	}
	if s.role == roleHandshake {
		switch x := msg.(type) {
		case wire.CollectorJoin:
			if !m.zones[x.Zone] {
				return invalidMessage("collector", "zone %.32q is not one of ours", x.Zone)
			}
			s.role, s.decoder.MaxBytes, s.zone = roleCollector, maxMessageBytes, x.Zone
			m.collectors = append(m.collectors, s)
			out.Log(1, "collector joined", "zone", x.Zone)
			return nil
		case wire.ProxyJoin:
			return m.join(now, s, x, out)
		}
		return invalidMessage("report", "it came before a joining")
	}
	switch x := msg.(type) {
	case wire.Acknowledgement:
		if s.role != roleProxy || x.Proxy != int(s.stream.proxy) {
			return invalidMessage("answer", "it is not from its proxy's stream")
		}
		m.acknowledge(s.stream, x)
		return nil
	case wire.UsageReport:
		if s.role == roleProxy && x.Proxy != int(s.stream.proxy) {
			return invalidMessage("usage", "it is of another proxy")
		}
		method := slices.Index(m.methods, x.Method)
		if x.Proxy >= len(m.streams) || method < 0 {
			return invalidMessage("usage", "proxy %d or method %.32q does not exist", x.Proxy, x.Method)
		}
		// Of a proxy that left, or that is joined elsewhere, it is no business of ours.
		if m.streams[x.Proxy] != nil && x.RPCs+x.Failures > 0 {
			m.events = append(m.events, choice.UsageReport{Proxy: choice.ProxyID(x.Proxy), Method: choice.MethodID(method), RPCs: x.RPCs, Failures: x.Failures, Span: x.Span})
		}
		return nil
	case wire.AttemptReport:
		ep, ok := m.endpoints.ids[x.Backend]
		switch {
		case s.role != roleCollector:
			return invalidMessage("tries", "they are not from a collector")
		case !m.zones[x.Zone] || !ok:
			return invalidMessage("tries", "zone %.32q or server %.32q does not exist", x.Zone, x.Backend)
		}
		if x.Attempts > 0 {
			m.events = append(m.events, choice.AttemptReport{Backend: ep, Zone: choice.Zone(x.Zone), Attempts: x.Attempts, Failures: x.Failures, MeanLatency: x.MeanLatency,
				Span: x.Span, Load: m.loadColumns(x.Load)})
		}
		return nil
	}
	return invalidMessage("joining", "it is joined already")
}

// columns puts a load report's figures into the order of the settings' columns; one that is not told is 0.
func (m *Machine) loadColumns(figures map[string]float64) (all []float64) {
	if len(figures) == 0 {
		return nil
	}
	for _, column := range m.boot.Module.Settings.FeedbackColumns {
		all = append(all, figures[column])
	}
	return all
}

func (m *Machine) join(now statemachine.Seconds, s *session, x wire.ProxyJoin, out *statemachine.Effects) error {
	if x.Proxy >= len(m.streams) || !m.zones[x.Zone] {
		return invalidMessage("joining", "proxy %d or zone %.32q does not exist", x.Proxy, x.Zone)
	}
	if old := m.streams[x.Proxy]; old != nil {
		if s.conn < old.session.conn {
			// It was opened before the stream that stands, and its joining was late: the proxy gave it up for the other.
			return invalidMessage("joining", "proxy %d is joined by a later stream", x.Proxy)
		}
		// The older stream is a dead one whose end we have not seen; its late end must change nothing.
		m.stats.TakenOver++
		delete(m.sessions, old.session.conn)
		out.Abort(old.session.conn)
		m.leave(old)
	}
	st := &stream{session: s, proxy: choice.ProxyID(x.Proxy), zone: choice.Zone(x.Zone), rate: x.Rate, lastReceived: now, sentExclusions: map[choice.BackendID]bool{}, joinedEmpty: x.Fresh}
	st.subscriber = m.distributor.Join(st.proxy)
	s.role, s.stream, s.decoder.MaxBytes = roleProxy, st, maxMessageBytes
	m.streams[x.Proxy] = st
	m.stats.Joins++
	m.events = append(m.events, choice.ProxyJoined{Proxy: st.proxy, Zone: st.zone, Rate: x.Rate, Fresh: x.Fresh})
	return nil
}

func (m *Machine) leave(s *stream) {
	if m.streams[s.proxy] != s {
		return
	}
	m.streams[s.proxy] = nil
	m.distributor.Leave(s.subscriber)
	m.stats.Leaves++
	m.events = append(m.events, choice.ProxyLeft{Proxy: s.proxy})
}

// answered checks that the mark is in flight on this very stream. An answer tells of all that was sent before, too.
func (m *Machine) acknowledge(s *stream, x wire.Acknowledgement) {
	at := slices.Index(s.inFlight, choice.Nonce(x.Nonce))
	if at < 0 {
		m.stats.StaleAcknowledgements++
		return
	}
	s.inFlight = append(s.inFlight[:0], s.inFlight[at+1:]...)
	m.events = append(m.events, choice.PushAcknowledged{Proxy: s.proxy, Nonce: choice.Nonce(x.Nonce), Delay: x.Delay})
}

// decide has the module take a step, and carries out what it orders.
func (m *Machine) decide(now statemachine.Seconds, out *statemachine.Effects) {
	events := m.events
	m.events = nil
	m.lastDecision = now
	m.stats.Steps++
	orders, err := m.stepPlanner(now, events)
	if err != nil {
		m.restartPlanner(now, err, out)
		return
	}
	m.stats.Commands += len(orders)
	var mark *choice.SetNonce
	for _, o := range orders {
		switch o := o.(type) {
		case choice.SetNonce:
			mark = &o
		case choice.WatchEndpoints:
			m.discovery.watch(now, out)
		case choice.FetchEndpoints:
			m.discovery.fetchAll(now, out)
		case choice.ProbeBackend:
			m.probes.enqueue(o.Backend)
		case choice.SetTimer:
			// The module asks for one at a time and looks at the clock itself; the soonest serves them all.
			if o.At < m.timerDue {
				m.timerDue, m.timerID = o.At, o.Timer
			}
		case choice.LogMessage:
			out.Log(1, o.Text)
		case choice.SendToPeer: // the platform's coordinators have no way to each other
		default:
			if !m.distributor.Apply(o) {
				m.logThrottled(out, "order", 3, "an order of unknown type", "type", fmt.Sprintf("%T", o))
			}
		}
	}
	if mark != nil && mark.All {
		for f := range m.distributor.Subscribers() {
			m.distributor.MarkDirty(f)
		}
	}
	messages, turns := m.distributor.Flush(nil)
	for _, x := range messages {
		s := m.streams[x.To.Proxy]
		if s == nil || s.subscriber != x.To {
			continue
		}
		var with *choice.Nonce
		if mark != nil {
			with = &mark.Nonce
			if len(s.inFlight) == 0 {
				s.unacknowledgedSince = now
			}
			if s.inFlight = append(s.inFlight, *with); len(s.inFlight) > maxNoncesInFlight {
				s.inFlight = append(s.inFlight[:0], s.inFlight[1:]...)
			}
		}
		b := wire.AppendPush(nil, m.pushParts(s, x.Ops, with))
		m.stats.Messages++
		m.stats.Bytes += len(b)
		out.Write(s.session.conn, b)
	}
	for _, t := range turns {
		text := "server let in again"
		if t.Excluded {
			text = "server withdrawn"
		}
		name := ""
		if s := m.endpoints.backends[t.Backend]; s != nil {
			name = s.name
		}
		out.Log(1, text, "backend", name, "proxies", t.Proxies)
	}
	m.probes.startQueued(now, out)
	m.probes.expire(now, out)
	m.discovery.expire(now, out)
}

// ask has the module take a step. That it fails must not end the process, which would leave every proxy alone.
func (m *Machine) stepPlanner(now statemachine.Seconds, events []choice.Event) (orders []choice.Command, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the decision module failed: %v\n%s", r, debug.Stack())
		}
	}()
	return m.planner.Step(now, events), nil
}

// restart puts a fresh instance in the failed one's place; proxies keep what they hold until it has given them theirs.
func (m *Machine) restartPlanner(now statemachine.Seconds, cause error, out *statemachine.Effects) {
	m.stats.PlannerRestarts++
	m.logThrottled(out, "failure", 3, "a fresh instance of the module begins", "cause", cause.Error())
	b := m.boot.Module
	b.Seed, b.Now = b.Seed+uint64(m.stats.PlannerRestarts), now
	m.startPlanner(b)
	if now < m.lastRestart+1 { // it fails at once again: not in a tight loop
		m.timerDue, m.lastDecision = now+1, now+1
	}
	m.lastRestart = now
}
