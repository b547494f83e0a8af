// Package platform implements a coordinator for the operators' platform: it runs one instance of the decision module (package
// choice) and speaks the platform's protocol. Like package coordinator it is a state machine that an event loop drives, and it
// uses package fanout to turn the module's commands into one message per proxy. It neither limits the rate of its messages nor
// aggregates reports: the platform's channel, which carries the messages to the proxies, and its collectors, which forward the
// reports of a zone's proxies, do this, and the module allows for it. See docs/platform.md for the details.
package platform

import (
	"math"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/statemachine"
)

// Bootstrap is the start-up configuration of a Machine.
type Bootstrap struct {
	Name       string        // of the coordinator
	Discovery  string        // address of the discovery service
	Module     choice.Config // configuration of the decision module
	CachedList []byte        // the last known endpoint list in discovery's format; empty: none
	// MaxConnections limits the open connections. Above the limit a new connection makes the Machine close the oldest
	// connection that has not completed its handshake.
	MaxConnections   int
	MaxProbes        int                  // limit on the number of probes in flight
	MaxResponseBytes int                  // limit on the size of a response of discovery, in bytes
	MaxRetainedBytes int                  // limit on the memory for incomplete messages of all accepted connections together, in bytes; 0: none
	HandshakeTimeout statemachine.Seconds // from opening a connection until its peer must have joined
}

// Machine is the coordinator's state machine. It implements statemachine.Machine.
type Machine struct {
	boot        Bootstrap
	planner     *choice.Planner // the instance of the decision module
	distributor *fanout.Distributor
	endpoints   *endpointRegistry
	discovery   discoveryClient
	probes      prober

	retainedBytes   int                            // of the incomplete messages of all accepted connections
	sessions        map[statemachine.Conn]*session // of all connections
	handshaking     []*session                     // oldest session first; may contain sessions that are no longer in their handshake
	streams         []*stream                      // by proxy number; nil for a proxy that has no stream
	collectors      []*session                     // sessions of joined collectors; may contain closed ones until the next periodic check
	lastStreamConns []statemachine.Conn            // by proxy number: the connection of its last stream; 0 if it never had one
	lastDialed      statemachine.Conn              // the connection number given to the last dialed connection

	// Derived from the settings.
	methods         []string             // names, by method number
	zones           map[string]bool      // names of the known zones
	minSoftDeadline statemachine.Seconds // the shortest soft deadline of any method
	stepInterval    statemachine.Seconds // the shortest time between two steps of the decision module

	events   []choice.Event       // queued for the next step of the decision module
	timerDue statemachine.Seconds // time of the earliest timer that the decision module has set
	timerID  choice.TimerID       // of the timer due at timerDue

	// Times.
	lastDecision      statemachine.Seconds // when the decision module last ran a step
	lastRestart       statemachine.Seconds // when a failed decision module was last replaced
	lastReceived      statemachine.Seconds // when data last came from a proxy, a collector or a connection in its handshake
	lastPeriodicCheck statemachine.Seconds
	lastPauseEnd      statemachine.Seconds // the end of the last period in which the process did not run

	pendingReload   *Bootstrap                  // set by Reload until the next step
	problemCounts   map[problem]int             // number of times that each problem occurred, counted by logThrottled
	loggedUnhealthy map[choice.BackendID]string // why the decision module avoids a backend, as last logged
	stats           Stats
}

// New returns a Machine. If the cached endpoint list is invalid, New returns an error together with a Machine that works
// without that list.
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

// applySettings sets the fields that are derived from the settings.
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
	proxyCount := min(max(int(settings.ProxyCount.Or(0)), 0), maxProxies)
	m.streams, m.lastStreamConns = make([]*stream, proxyCount), make([]statemachine.Conn, proxyCount)
}

const (
	defaultSoftDeadline = 1       // of a method whose settings have none, in seconds
	maxProxies          = 1 << 16 // the protocol's proxy numbers go up to 65535
)

// loadCachedList loads the endpoint list from the start-up configuration, if there is one.
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

// Reload makes the next step apply a configuration that was read again, of which only the address of discovery takes
// effect. It must not be called during a step.
func (m *Machine) Reload(boot Bootstrap) { m.pendingReload = &boot }

// applyReload applies the configuration of the last call of Reload, if there was one since the last step.
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

// Bounds on the time until the next step of the Machine.
const (
	minWakeDelay statemachine.Seconds = 1e-4
	maxTimer     statemachine.Seconds = 3600 // from a fired timer on, until the decision module sets its next one
)

// Step implements statemachine.Machine.
func (m *Machine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.applyReload(now, out)
	for _, input := range in {
		m.handleInputSafely(now, input, out)
	}
	m.recoverStep(now, out, m.closeExpired)
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
	// A step that asks for another one at once would make the event loop spin.
	out.WakeAt = max(out.WakeAt, now+minWakeDelay)
}

// handleInput passes an input to the handler for its kind. Inputs about unknown connections and other kinds are ignored.
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
		m.probes.connectionOpened(peer, out)
	}
}

func (m *Machine) connectionClosed(now statemachine.Seconds, peer *session, input statemachine.Input, out *statemachine.Effects) {
	m.removeSession(peer)
	switch peer.role {
	case roleDiscovery:
		m.discovery.connectionClosed(now, input.Text, out)
	case roleProbe:
		if input.LocalFailure {
			m.probes.failedLocally(now, peer, out)
		} else {
			m.probes.responseReceived(now, peer, nil, true, out)
		}
	case roleProxy:
		m.leave(peer.stream)
	}
}

func (m *Machine) dataReceived(now statemachine.Seconds, peer *session, data []byte, out *statemachine.Effects) {
	switch peer.role {
	case roleDiscovery:
		m.discovery.dataReceived(now, data, out)
	case roleProbe:
		m.probes.responseReceived(now, peer, data, false, out)
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

// dial opens a connection to addr and returns its number.
func (m *Machine) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	m.lastDialed++
	out.Dial(m.lastDialed, addr)
	return m.lastDialed
}

// closeExpired closes the handshakes, idle connections, discovery requests and probes that have exceeded their time limits.
func (m *Machine) closeExpired(now statemachine.Seconds, out *statemachine.Effects) {
	m.expireHandshakes(now, out)
	if now >= m.lastPeriodicCheck+periodicCheckInterval {
		m.runPeriodicChecks(now, out)
	}
	m.discovery.expireRequest(now, out)
	m.probes.expireProbes(now, out)
}
