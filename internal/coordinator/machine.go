package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// Bootstrap is what a coordinator is started with.
type Bootstrap struct {
	Name                    string
	Zone                    string
	EndpointListAddr        string
	Peers                   map[choice.PeerID]string // addresses
	ModuleConfig            choice.Config
	HandshakeTimeout        statemachine.Seconds // within which a stream must say hello
	ProxyIdleTimeout        statemachine.Seconds // of a proxy's stream, after which it counts as broken
	EndpointListIdleTimeout statemachine.Seconds // of the list service
	ProbeTimeout            statemachine.Seconds
	MaxStreams              int
	MaxProbes               int    // at once; more wait
	SettingsText            string // the settings as they are kept
}

// role is what a connection is to us.
type role uint8

const (
	stranger role = iota // it has not said hello
	proxyRole
	listRole
	probeRole
	peerRole
)

// session is one connection.
type session struct {
	conn   statemachine.Conn
	role   role
	name   string
	reader proto.Reader
	opened statemachine.Seconds
	heard  statemachine.Seconds
	up     bool // dialled ones: it stands
	ready  bool // lists: it had its welcome
	probe  Target
	peer   choice.PeerID
}

// Machine is a coordinator with its protocol.
type Machine struct {
	boot     Bootstrap
	core     *Core
	sessions map[statemachine.Conn]*session
	order    []*session // in the order they came, for sweeps; closed ones are nil
	dialled  statemachine.Conn
	list     *session
	asks     []proto.Message // for the list service, once it is reached
	probing  int
	queued   []Target
	peers    map[choice.PeerID]*session
	swept    statemachine.Seconds
	faulted  map[string]int // refusals by reason, so that a storm of them makes few lines in the log
	started  bool
	unkept   string // why the store is out of order; "": it is not
	renewed  bool   // since the last step
}

// NewMachine makes a coordinator that goes on from what its last run kept; nil: nothing is kept. Whoever drives it with
// something kept must write out.Puts, and tell what became of them.
func NewMachine(boot Bootstrap, kept *checkpoint.Kept) *Machine {
	return &Machine{boot: boot, core: New(boot.ModuleConfig, kept), sessions: map[statemachine.Conn]*session{}, peers: map[choice.PeerID]*session{},
		dialled: statemachine.Dialed, swept: boot.ModuleConfig.Now, faulted: map[string]int{}}
}

// Renew puts other settings in force. The module reads its settings once, so a fresh instance takes over, as after a
// restart: from the list as held, with no streams. Proxies are refused with that reason, keep their tables, and join
// again. It must be called between steps.
func (m *Machine) Reload(boot Bootstrap) {
	core := New(boot.ModuleConfig, nil)
	core.keep, core.roll = m.core.keep, m.core.roll
	if core.roll.held {
		core.events = append(core.events, core.roll.kept())
	}
	m.boot, m.core, m.renewed = boot, core, true
}

// Figures gives the counts since the start.
func (m *Machine) Stats() Stats { return m.core.Stats() }

// Step implements machine.Machine. If the module fails, nothing of the step is done and out.Fail says why.
func (m *Machine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(Failure)
			if !ok {
				panic(r)
			}
			out.Reset()
			out.Failure = f.Error() + "\n" + string(f.Stack)
		}
	}()
	if !m.started {
		m.started = true
		if m.core.keep.Settings(m.boot.SettingsText) {
			out.Log(1, "the settings are other than in the run before")
		}
	}
	if m.renewed {
		m.core.keep.Settings(m.boot.SettingsText)
		m.renewed = false
		for _, s := range m.order {
			if m.sessions[s.conn] == s && s.role == proxyRole {
				m.refuse(s, "other settings are in force, join again", out)
				delete(m.sessions, s.conn)
			}
		}
	}
	var events []Event
	for _, i := range in {
		events = m.input(now, i, out, events)
	}
	events = m.sweep(now, out, events)
	o := m.core.Step(now, events)
	m.carry(now, o, out)
	out.WakeBy(o.Wake)
	out.WakeBy(m.swept + m.pause())
}

// pause is how often silent connections are looked for.
func (m *Machine) pause() statemachine.Seconds {
	return min(m.boot.HandshakeTimeout, m.boot.ProxyIdleTimeout, m.boot.EndpointListIdleTimeout, m.boot.ProbeTimeout) / 4
}

func (m *Machine) add(s *session) *session {
	m.sessions[s.conn] = s
	m.order = append(m.order, s)
	return s
}

func (m *Machine) dial(now statemachine.Seconds, addr string, s *session, out *statemachine.Effects) *session {
	m.dialled++
	s.conn, s.opened, s.heard = m.dialled, now, now
	out.Dial(s.conn, addr)
	return m.add(s)
}

func (m *Machine) input(now statemachine.Seconds, i statemachine.Input, out *statemachine.Effects, events []Event) []Event {
	s := m.sessions[i.Conn]
	switch i.Kind {
	case statemachine.ConnOpened:
		if s == nil && i.Conn&statemachine.Dialed == 0 {
			if len(m.sessions) >= m.boot.MaxStreams {
				m.refuse(&session{conn: i.Conn}, "too many streams, try another coordinator", out)
				return events
			}
			m.add(&session{conn: i.Conn, opened: now, heard: now})
		} else if s != nil {
			m.reached(s, out)
		}
	case statemachine.ConnClosed:
		if s != nil {
			return m.lost(now, s, out, events, i.Text)
		}
	case statemachine.ConnData:
		if s == nil {
			return events
		}
		s.heard = now
		s.reader.Feed(i.Data)
		for m.sessions[s.conn] == s {
			msg, err := s.reader.Next()
			if msg == nil && err == nil {
				break
			}
			if err == nil {
				events, err = m.message(now, s, msg, out, events)
			}
			if err != nil {
				m.refuse(s, err.Error(), out)
				return m.lost(now, s, out, events, err.Error())
			}
		}
	case statemachine.Persisted:
		if m.unkept != "" {
			out.Log(1, "the store is in order again")
			m.unkept = ""
		}
		return append(events, Durable{i.Batch})
	case statemachine.PersistFailed:
		if i.Text != m.unkept {
			m.unkept = i.Text
			out.Log(3, "the store is out of order: what is decided from now on is not known after a restart", "cause", i.Text)
		}
		return append(events, NotKept{})
	case statemachine.OperatorCommand:
		out.Log(2, "this coordinator takes no words yet", "word", i.Text)
	}
	return events
}

// reached: a connection that we opened stands.
func (m *Machine) reached(s *session, out *statemachine.Effects) {
	s.up = true
	hello := proto.Hello{Version: proto.Version, Name: m.boot.Name, Zone: m.boot.Zone}
	switch s.role {
	case listRole:
		hello.Role = proto.RoleWatcher
		out.Write(s.conn, proto.Append(nil, hello))
	case probeRole:
		hello.Role = proto.RoleCaller
		out.Write(s.conn, proto.Append(proto.Append(nil, hello), proto.Probe{ID: 1}))
	case peerRole:
		hello.Role = proto.RolePeer
		out.Write(s.conn, proto.Append(nil, hello))
	}
}

// refuse says why and closes; the session's events are the caller's to raise.
func (m *Machine) refuse(s *session, reason string, out *statemachine.Effects) {
	out.Write(s.conn, proto.Append(nil, proto.Refuse{Reason: reason}))
	out.Close(s.conn)
	m.complain(s, reason, out)
}

// complain logs a refused stream: each reason's first time and then each time that their number has doubled.
func (m *Machine) complain(s *session, reason string, out *statemachine.Effects) {
	if len(m.faulted) > 1000 {
		clear(m.faulted)
	}
	m.faulted[reason]++
	if n := m.faulted[reason]; n&(n-1) == 0 {
		out.Log(2, "stream refused", "peer", s.name, "conn", uint64(s.conn&^statemachine.Dialed), "reason", reason, "times", n)
	}
}

// lost forgets a session, whoever ended it, and tells the core what it needs to know.
func (m *Machine) lost(now statemachine.Seconds, s *session, out *statemachine.Effects, events []Event, why string) []Event {
	if m.sessions[s.conn] != s {
		return events
	}
	delete(m.sessions, s.conn)
	switch s.role {
	case proxyRole:
		out.Log(1, "proxy left", "proxy", s.name, "why", why)
		return append(events, Lost{StreamID(s.conn)})
	case listRole:
		m.list, m.asks = nil, nil
		out.Log(2, "list service lost", "why", why)
		return append(events, ListLost{})
	case probeRole:
		m.probing--
		events = append(events, Probed{EP: s.probe.EP, Delay: now - s.opened})
		m.probeNext(now, out)
	case peerRole:
		if m.peers[s.peer] == s {
			delete(m.peers, s.peer)
		}
	}
	return events
}

var errOrder = errors.New("a frame out of order")

// message takes one message of a stream; an error closes that stream, and no other.
func (m *Machine) message(now statemachine.Seconds, s *session, msg proto.Message, out *statemachine.Effects, events []Event) ([]Event, error) {
	if r, ok := msg.(proto.Refuse); ok {
		return events, fmt.Errorf("the other side refused: %s", r.Reason)
	}
	switch s.role {
	case stranger:
		h, ok := msg.(proto.Hello)
		if !ok {
			return events, fmt.Errorf("%w: %T before the hello", errOrder, msg)
		}
		return m.hello(now, s, h, out, events)
	case proxyRole:
		switch x := msg.(type) {
		case proto.Answer:
			return append(events, Answer{StreamID(s.conn), x.Mark}), nil
		case proto.Sums:
			out.Write(s.conn, proto.Append(nil, proto.Heard{}))
			return append(events, Sums{StreamID(s.conn), x}), nil
		}
	case listRole:
		switch x := msg.(type) {
		case proto.Welcome:
			s.reader.Open()
			s.ready = true
			for _, a := range m.asks {
				out.Write(s.conn, proto.Append(nil, a))
			}
			m.asks = nil
			return events, nil
		case proto.List:
			if !s.ready {
				return events, fmt.Errorf("%w: a list before the welcome", errOrder)
			}
			return append(events, News{x}), nil
		}
	case probeRole:
		switch x := msg.(type) {
		case proto.Welcome:
			return events, nil
		case proto.ProbeReply:
			delete(m.sessions, s.conn)
			m.probing--
			out.Close(s.conn)
			events = append(events, Probed{EP: s.probe.EP, OK: x.Status == proto.OK, Busy: x.Status == proto.PushedBack,
				Delay: now - s.opened})
			m.probeNext(now, out)
			return events, nil
		}
	case peerRole:
		switch x := msg.(type) {
		case proto.Welcome:
			s.ready = true
			return events, nil
		case proto.PeerNote:
			return append(events, PeerNote{choice.PeerID(x.From), x.Data}), nil
		}
	}
	return events, fmt.Errorf("%w: %T", errOrder, msg)
}

// goodName keeps names fit for logs, traces and terminals.
func goodName(s string) bool {
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
}

func (m *Machine) hello(now statemachine.Seconds, s *session, h proto.Hello, out *statemachine.Effects, events []Event) ([]Event, error) {
	switch {
	case h.Version != proto.Version:
		return events, fmt.Errorf("version %d of the protocol, %d wanted", h.Version, proto.Version)
	case !goodName(h.Name) || h.Zone != "" && !goodName(h.Zone):
		return events, errors.New("a name or zone that is empty, over 64 bytes or not printable")
	}
	s.name = h.Name
	s.reader.Open()
	welcome := proto.Welcome{Version: proto.Version, Name: m.boot.Name, Period: m.boot.ModuleConfig.Settings.ReportPeriod.Or(1)}
	for _, method := range m.boot.ModuleConfig.Settings.Methods {
		welcome.Methods = append(welcome.Methods, method.Name)
	}
	switch h.Role {
	case proto.RoleProxy:
		if !m.knownZone(h.Zone) {
			return events, fmt.Errorf("zone %q is not among those set here", h.Zone)
		}
		s.role = proxyRole
		out.Write(s.conn, proto.Append(nil, welcome))
		out.Log(1, "proxy joined", "proxy", h.Name, "zone", h.Zone, "rate", h.Rate, "holds", h.Holds)
		return append(events, Join{StreamID(s.conn), h}), nil
	case proto.RolePeer:
		s.role = peerRole
		s.ready = true
		out.Write(s.conn, proto.Append(nil, welcome))
		return events, nil
	}
	return events, fmt.Errorf("role %d is not served here", h.Role)
}

func (m *Machine) knownZone(zone string) bool {
	zones := m.boot.ModuleConfig.Settings.Zones
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// sweep closes what has been silent for too long: strangers, proxies and the list service whose link died without a
// word, probes that nobody answers.
func (m *Machine) sweep(now statemachine.Seconds, out *statemachine.Effects, events []Event) []Event {
	if now < m.swept+m.pause() {
		return events
	}
	m.swept = now
	known, kept := len(m.order), m.order[:0]
	for _, s := range m.order {
		if m.sessions[s.conn] != s {
			continue
		}
		kept = append(kept, s)
		silent := now - s.heard
		switch {
		case s.role == stranger && now-s.opened > m.boot.HandshakeTimeout:
			m.refuse(s, "no hello in time", out)
		case s.role == proxyRole && silent > m.boot.ProxyIdleTimeout:
			m.refuse(s, "silent for too long", out)
		case s.role == listRole && silent > m.boot.EndpointListIdleTimeout,
			s.role == probeRole && now-s.opened > m.boot.ProbeTimeout,
			s.role == peerRole && !s.ready && now-s.opened > m.boot.HandshakeTimeout:
			out.Abort(s.conn)
		default:
			continue
		}
		events = m.lost(now, s, out, events, "silent for too long")
	}
	// Sessions that a lost one brought (the next probe) were added behind; they stay.
	m.order = append(kept, m.order[known:]...)
	return events
}

func (m *Machine) probeNext(now statemachine.Seconds, out *statemachine.Effects) {
	for len(m.queued) > 0 && m.probing < m.boot.MaxProbes {
		t := m.queued[0]
		m.queued = m.queued[1:]
		m.probing++
		m.dial(now, t.Addr, &session{role: probeRole, probe: t}, out)
	}
}

// carry does what the core wants done.
func (m *Machine) carry(now statemachine.Seconds, o Orders, out *statemachine.Effects) {
	for _, d := range o.Drops {
		s := m.sessions[statemachine.Conn(d.Stream)]
		if s != nil {
			m.refuse(s, d.Reason, out)
			delete(m.sessions, s.conn)
		}
	}
	for _, x := range o.Sends {
		frame := proto.Append(nil, x.Push)
		m.core.figures.Bytes += len(frame)
		out.Write(statemachine.Conn(x.Stream), frame)
	}
	if o.ListBad != nil {
		out.Log(3, "list frame refused, the list stays as it was", "cause", o.ListBad.Error())
		if m.list != nil {
			m.refuse(m.list, o.ListBad.Error(), out)
			delete(m.sessions, m.list.conn)
			m.list, m.asks = nil, nil
		}
	}
	if o.Watch != nil {
		m.askList(now, *o.Watch, out)
	}
	if o.Fetch {
		m.askList(now, proto.Fetch{}, out)
	}
	for _, t := range o.Probes {
		if len(m.queued) < 4*m.boot.MaxProbes { // the module asks again for one that got lost here
			m.queued = append(m.queued, t)
		}
	}
	m.probeNext(now, out)
	for _, t := range o.Tells {
		m.tell(now, t, out)
	}
	for _, text := range o.Says {
		out.Log(1, text)
	}
	for _, t := range o.Turns {
		text := "server let in again"
		if t.Out {
			text = "server withdrawn"
		}
		out.Log(1, text, "backend", uint32(t.EP), "mark", t.Mark, "proxies", t.Proxies)
	}
	out.Persist(o.Puts, o.Batch)
}

func (m *Machine) askList(now statemachine.Seconds, ask proto.Message, out *statemachine.Effects) {
	if m.list != nil && m.list.ready {
		out.Write(m.list.conn, proto.Append(nil, ask))
		return
	}
	if m.list != nil && now-m.list.opened > m.boot.EndpointListIdleTimeout {
		out.Abort(m.list.conn)
		delete(m.sessions, m.list.conn)
		m.list, m.asks = nil, nil
	}
	if len(m.asks) < 4 {
		m.asks = append(m.asks, ask)
	}
	if m.list == nil {
		m.list = m.dial(now, m.boot.EndpointListAddr, &session{role: listRole, name: "list"}, out)
	}
}

// tell sends to peers that are reached; what can't go now is lost, as their protocol allows.
func (m *Machine) tell(now statemachine.Seconds, t choice.SendToPeer, out *statemachine.Effects) {
	for p := range choice.PeerID(int(m.boot.ModuleConfig.Settings.Coordinators.Or(1))) {
		addr := m.boot.Peers[p]
		if addr == "" || t.To >= 0 && t.To != p || len(t.Data) > proto.MostWord {
			continue
		}
		s := m.peers[p]
		if s == nil {
			m.peers[p] = m.dial(now, addr, &session{role: peerRole, peer: p, name: addr}, out)
		} else if s.ready {
			out.Write(s.conn, proto.Append(nil, proto.PeerNote{From: uint64(m.boot.ModuleConfig.Settings.Self.Or(0)), Data: string(t.Data)}))
		}
	}
}
