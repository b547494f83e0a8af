// Package platform is a coordinator on the operators' platform: one instance of the decision module behind the platform's
// protocol. Like package coordinator it is a state machine that an event loop drives, and it uses package fanout to turn
// the module's commands into one message per proxy. It neither limits the rate of its messages nor aggregates reports: the
// platform's channel and collectors do both, and the module allows for that. docs/platform.md has the details.
package platform

import (
	"math"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/statemachine"
)

// Bootstrap is what a coordinator is started with.
type Bootstrap struct {
	Name       string
	Discovery  string // address of the discovery service
	Module     choice.Config
	CachedList []byte // the last known endpoint list in discovery's format, empty if there is none
	// MaxConnections limits the open connections. At the limit a new connection replaces the oldest one that has not
	// completed its handshake.
	MaxConnections   int
	MaxProbes        int // in flight
	MaxResponseBytes int // of an HTTP response
	HandshakeTimeout statemachine.Seconds
}

// Machine is the coordinator. It implements statemachine.Machine.
type Machine struct {
	boot        Bootstrap
	planner     *choice.Planner
	distributor *fanout.Distributor
	endpoints   *endpointRegistry
	discovery   discoveryClient
	probes      prober

	sessions    map[statemachine.Conn]*session
	handshaking []*session // those that have not joined, oldest first; may contain others, which are skipped
	streams     []*stream  // by proxy number, nil where none is joined
	collectors  []*session // may contain closed ones until the next idle check
	lastDialed  statemachine.Conn

	// From the settings.
	methods         []string
	zones           map[string]bool
	minSoftDeadline statemachine.Seconds
	stepInterval    statemachine.Seconds // between two steps of the decision module

	events   []choice.Event       // for the next step of the decision module
	timerDue statemachine.Seconds // the earliest timer that the module has set
	timerID  choice.TimerID

	lastDecision  statemachine.Seconds // the last step of the decision module
	lastRestart   statemachine.Seconds // the last replacement of a failed decision module
	lastReceived  statemachine.Seconds // the last data from a proxy, a collector or a connection in its handshake
	lastIdleCheck statemachine.Seconds
	lastPause     statemachine.Seconds // the end of the last period in which the process did not run

	pendingReload   *Bootstrap
	problemCounts   map[problem]int
	loggedUnhealthy map[choice.BackendID]string // why the module avoids a backend, as last logged
	stats           Stats
}

// New returns a coordinator. If the cached list can't be read, New returns an error and a coordinator that works without it.
func New(boot Bootstrap) (*Machine, error) {
	m := &Machine{
		boot: boot, endpoints: newEndpointRegistry(), sessions: map[statemachine.Conn]*session{}, lastDialed: statemachine.DialedBit,
		problemCounts: map[problem]int{}, loggedUnhealthy: map[choice.BackendID]string{},
	}
	m.discovery = discoveryClient{machine: m, addr: boot.Discovery, response: responseParser{maxBytes: boot.MaxResponseBytes}}
	m.probes = prober{machine: m}
	m.applySettings()
	err := m.loadCachedList()
	m.startPlanner(boot.Module)
	return m, err
}

// applySettings derives methods, zones and proxies from the settings.
func (m *Machine) applySettings() {
	settings := m.boot.Module.Settings
	m.methods, m.zones, m.minSoftDeadline = nil, map[string]bool{}, math.Inf(1)
	for _, method := range settings.Methods {
		m.methods = append(m.methods, method.Name)
		m.minSoftDeadline = min(m.minSoftDeadline, method.SoftDeadline.Or(defaultSoftDeadline))
	}
	for _, zone := range settings.Zones {
		m.zones[zone] = true
	}
	m.stepInterval = settings.Tick.Or(0)
	m.streams = make([]*stream, min(max(int(settings.Proxies.Or(0)), 0), maxProxies))
}

const (
	defaultSoftDeadline = 1 // seconds
	maxProxies          = 1 << 16
)

func (m *Machine) loadCachedList() error {
	if len(m.boot.CachedList) == 0 {
		return nil
	}
	list, err := parseEndpointList(m.boot.CachedList)
	if err != nil {
		return err
	}
	_, err = m.endpoints.update(m.boot.Module.Now, list)
	return err
}

// Reload applies a configuration that was read again, with the next step. It must be called between steps. Only the
// address of discovery can change.
func (m *Machine) Reload(boot Bootstrap) { m.pendingReload = &boot }

func (m *Machine) applyReload(now statemachine.Seconds, out *statemachine.Effects) {
	if m.pendingReload == nil {
		return
	}
	boot := *m.pendingReload
	m.pendingReload = nil
	if boot.Discovery != m.boot.Discovery {
		out.Log(levelInfo, "discovery address changed", "addr", boot.Discovery)
		m.boot.Discovery = boot.Discovery
		m.discovery.changeAddress(now, boot.Discovery, out)
	}
}

// Bounds on the time of the next step.
const (
	minWakeDelay statemachine.Seconds = 1e-4
	maxTimer     statemachine.Seconds = 3600
)

// Step implements statemachine.Machine.
func (m *Machine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.applyReload(now, out)
	for _, input := range in {
		m.handleInputSafely(now, input, out)
	}
	m.recoverStep(now, out, m.expire)
	if due := now >= m.timerDue; due || len(m.events) > 0 && now >= m.lastDecision+m.stepInterval {
		if due {
			m.events = append(m.events, choice.TimerFired{Timer: m.timerID})
			m.timerDue = now + maxTimer
		}
		m.recoverStep(now, out, m.decide)
	}
	if len(m.events) > 0 {
		out.WakeBy(m.lastDecision + m.stepInterval)
	}
	out.WakeBy(m.timerDue)
	m.forgetBackends(m.endpoints.prune(now))
	// A step that asks for another one at the same moment would make the loop spin.
	out.WakeAt = max(out.WakeAt, now+minWakeDelay)
}

func (m *Machine) handleInput(now statemachine.Seconds, input statemachine.Input, out *statemachine.Effects) {
	peer := m.sessions[input.Conn]
	switch input.Kind {
	case statemachine.ConnOpened:
		m.connectionOpened(now, peer, input.Conn, out)
	case statemachine.ConnClosed:
		if peer != nil {
			m.connectionClosed(now, peer, input, out)
		}
	case statemachine.ConnData:
		if peer != nil {
			m.dataReceived(now, peer, input.Data, out)
		}
	}
}

func (m *Machine) connectionOpened(now statemachine.Seconds, peer *session, conn statemachine.Conn, out *statemachine.Effects) {
	switch {
	case peer == nil && conn&statemachine.DialedBit == 0:
		m.accept(now, conn, out)
	case peer != nil && peer.role == roleDiscovery:
		m.discovery.connectionOpened(now, out)
	case peer != nil && peer.role == roleProbe:
		m.probes.connected(peer, out)
	}
}

func (m *Machine) connectionClosed(now statemachine.Seconds, peer *session, input statemachine.Input, out *statemachine.Effects) {
	delete(m.sessions, peer.conn)
	switch peer.role {
	case roleDiscovery:
		m.discovery.connectionClosed(now, input.Text, out)
	case roleProbe:
		if input.LocalFailure {
			m.probes.failedLocally(now, peer, out)
		} else {
			m.probes.received(now, peer, nil, true, out)
		}
	case roleProxy:
		m.leave(peer.stream)
	}
}

func (m *Machine) dataReceived(now statemachine.Seconds, peer *session, data []byte, out *statemachine.Effects) {
	switch peer.role {
	case roleDiscovery:
		m.discovery.received(now, data, out)
	case roleProbe:
		m.probes.received(now, peer, data, false, out)
	default:
		if peer.role == roleProxy {
			peer.stream.lastReceived = now
		}
		peer.lastReceived = now
		m.lastReceived = now
		peer.decoder.Feed(data)
		m.readMessages(now, peer, out)
	}
}

func (m *Machine) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	m.lastDialed++
	out.Dial(m.lastDialed, addr)
	return m.lastDialed
}

// expire closes whatever has exceeded its time limit.
func (m *Machine) expire(now statemachine.Seconds, out *statemachine.Effects) {
	m.expireHandshakes(now, out)
	if now >= m.lastIdleCheck+idleCheckInterval {
		m.checkIdle(now, out)
	}
	m.discovery.expire(now, out)
	m.probes.expire(now, out)
}
