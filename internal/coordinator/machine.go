package coordinator

import (
	"errors"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// Bootstrap is the configuration with which a coordinator is started.
type Bootstrap struct {
	Name                    string // name of this coordinator, sent in its hello and welcome
	Zone                    string // zone of this coordinator, sent in its hello
	EndpointListAddr        string
	Peers                   map[choice.PeerID]string // addresses of the other coordinators
	ModuleConfig            choice.Config            // configuration of the decision module
	HandshakeTimeout        statemachine.Seconds     // time from the opening of a connection to the end of its handshake
	ProxyIdleTimeout        statemachine.Seconds     // after which a silent proxy's stream is closed
	EndpointListIdleTimeout statemachine.Seconds     // after which a silent endpoint list service's connection is closed
	ProbeTimeout            statemachine.Seconds     // time from the dialing of a probe's connection to the reply
	MaxStreams              int                      // limit on sessions of all roles; further incoming connections are rejected
	MaxProbes               int                      // probes in flight at the same time
	SettingsText            string                   // text of the settings, which is persisted
}

// Machine is a coordinator with its sessions and protocol.
type Machine struct {
	bootstrap  Bootstrap
	controller *controller

	sessions      map[statemachine.Conn]*session
	sessionsByAge []*session           // all sessions, oldest first; may include closed ones
	lastDialed    statemachine.Conn    // number of the last connection that was dialed
	lastExpiryAt  statemachine.Seconds // when the sessions were last checked for timeouts
	rejections    rejectionLog         // sessions that this coordinator rejected, by reason
	retainedBytes int                  // of the incomplete frames of all accepted sessions

	endpointSession *session        // session with the endpoint list service; nil if there is none
	pendingRequests []proto.Message // requests to be sent once endpointSession is established
	probesInFlight  int
	queuedProbes    []probeTarget              // backends to probe once fewer probes are in flight
	peerSessions    map[choice.PeerID]*session // sessions with other coordinators that this coordinator dialed

	started      bool   // the first step was taken
	reloaded     bool   // Reload was called since the last step
	storeFailure string // why the store does not accept records; empty if it does
}

var _ statemachine.Machine = (*Machine)(nil)

// NewMachine returns a coordinator that continues from the state that its previous run saved. If that is nil, nothing is
// persisted. A driver that passes saved state must write Effects.Mutations and report Persisted or PersistFailed.
func NewMachine(bootstrap Bootstrap, saved *checkpoint.State) *Machine {
	return &Machine{
		bootstrap:    bootstrap,
		controller:   newController(bootstrap.ModuleConfig, saved),
		sessions:     map[statemachine.Conn]*session{},
		lastDialed:   statemachine.DialedBit,
		lastExpiryAt: bootstrap.ModuleConfig.Now,
		rejections:   rejectionLog{},
		peerSessions: map[choice.PeerID]*session{},
	}
}

// Reload replaces the settings. The decision module reads its settings only once, so a new instance of it continues from
// the current endpoint list, as after a restart. The next step rejects all proxies; they keep their tables and join again.
// Reload must be called between steps.
func (m *Machine) Reload(bootstrap Bootstrap) {
	m.controller = m.controller.withConfig(bootstrap.ModuleConfig)
	m.bootstrap = bootstrap
	m.reloaded = true
}

// Stats returns the counts since the start or the last Reload.
func (m *Machine) Stats() Stats { return m.controller.currentStats() }

// stepContext is the state that the functions of one step share.
type stepContext struct {
	now     statemachine.Seconds
	effects *statemachine.Effects
	events  []event // events for the controller
}

// raise adds an event for the controller.
func (step *stepContext) raise(e event) { step.events = append(step.events, e) }

// send writes a message to the connection of a session.
func (step *stepContext) send(session *session, message proto.Message) {
	step.effects.Write(session.conn, proto.Append(nil, message))
}

// Step implements statemachine.Machine. If the decision module fails, the step has no effect other than Effects.Failure,
// which states the reason.
func (m *Machine) Step(now statemachine.Seconds, inputs []statemachine.Input, effects *statemachine.Effects) {
	step := &stepContext{now: now, effects: effects}
	m.applySettings(step)
	for _, input := range inputs {
		m.handleInput(step, input)
	}
	m.expireSessions(step)
	result, err := m.controller.handle(now, step.events)
	if err != nil {
		effects.Reset()
		effects.Failure = failureText(err)
		return
	}
	m.execute(step, result)
	effects.WakeBy(result.wakeAt)
	effects.WakeBy(m.lastExpiryAt + m.expiryInterval())
}

// failureText returns the text of an error, with the stack if it is a *moduleFailure.
func failureText(err error) string {
	var failure *moduleFailure
	if errors.As(err, &failure) {
		return failure.Error() + "\n" + string(failure.stack)
	}
	return err.Error()
}

// applySettings persists the settings in the first step and after a reload. After a reload it also rejects the proxies, since
// the new instance of the decision module does not know their tables.
func (m *Machine) applySettings(step *stepContext) {
	if !m.started {
		m.started = true
		if m.controller.checkpoint.UpdateSettings(m.bootstrap.SettingsText) {
			step.effects.Log(logInfo, "settings changed since the previous run")
		}
	}
	if !m.reloaded {
		return
	}
	m.reloaded = false
	m.controller.checkpoint.UpdateSettings(m.bootstrap.SettingsText)
	for _, session := range m.sessionsByAge {
		if m.sessions[session.conn] == session && session.role == roleProxy {
			m.reject(step, session, reasonReloaded)
			m.removeSession(session)
		}
	}
}

func (m *Machine) handleInput(step *stepContext, input statemachine.Input) {
	session := m.sessions[input.Conn]
	switch input.Kind {
	case statemachine.ConnOpened:
		if session != nil {
			m.sendHello(step, session)
		} else if input.Conn&statemachine.DialedBit == 0 {
			m.accept(step, input.Conn)
		}
	case statemachine.ConnClosed:
		if session != nil {
			m.closeSession(step, session, input.Text)
		}
	case statemachine.ConnData:
		if session != nil {
			m.receive(step, session, input.Data)
		}
	case statemachine.Persisted:
		m.batchPersisted(step, input.Batch)
	case statemachine.PersistFailed:
		m.persistFailed(step, input.Text)
	case statemachine.OperatorCommand:
		step.effects.Log(logWarning, "operator command not supported", "command", input.Text)
	}
}

// batchPersisted handles the report that records are durable. If the store had failed before, it has recovered.
func (m *Machine) batchPersisted(step *stepContext, batch uint64) {
	if m.storeFailure != "" {
		step.effects.Log(logInfo, "store recovered")
		m.storeFailure = ""
	}
	step.raise(batchPersisted{batch})
}

// persistFailed handles a failed write. It logs a failure only if its cause differs from that of the previous one.
func (m *Machine) persistFailed(step *stepContext, cause string) {
	if cause != m.storeFailure {
		m.storeFailure = cause
		step.effects.Log(logError, "store unavailable, decisions from now on are lost at a restart", "cause", cause)
	}
	step.raise(persistFailed{})
}
