package coordinator

import (
	"errors"

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
	Peers                   map[choice.PeerID]string // addresses of the other coordinators
	ModuleConfig            choice.Config            // for the decision module
	HandshakeTimeout        statemachine.Seconds     // from the opening of a connection to its hello
	ProxyIdleTimeout        statemachine.Seconds     // after which a silent proxy's stream is closed
	EndpointListIdleTimeout statemachine.Seconds     // after which a silent connection to the endpoint list service is closed
	ProbeTimeout            statemachine.Seconds
	MaxStreams              int    // sessions of all roles; further connections are rejected
	MaxProbes               int    // in flight at the same time
	SettingsText            string // the settings in the form in which they are persisted
}

// Machine is a coordinator with its sessions and protocol.
type Machine struct {
	bootstrap  Bootstrap
	controller *controller

	sessions      map[statemachine.Conn]*session
	sessionsByAge []*session // may hold sessions that were closed
	lastDialed    statemachine.Conn
	lastExpiryAt  statemachine.Seconds
	rejections    rejectionLog

	endpointSession *session        // to the endpoint list service; nil if there is none
	pendingRequests []proto.Message // for the endpoint list service, until the session is established
	probesInFlight  int
	queuedProbes    []probeTarget
	peerSessions    map[choice.PeerID]*session // those that this coordinator dialed

	started      bool
	reloaded     bool   // since the last step
	storeFailure string // why the store does not accept records; empty if it does
}

var _ statemachine.Machine = (*Machine)(nil)

// NewMachine returns a coordinator that continues from the state that its previous run saved. Without saved state (nil)
// nothing is persisted. A driver that passes saved state must write Effects.Mutations and report Persisted or PersistFailed.
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

// Reload puts other settings in force. The decision module reads its settings only once, so a new instance of it continues
// from the current endpoint list, as after a restart. Proxies are rejected, keep their tables and join again. Reload must be
// called between steps.
func (m *Machine) Reload(bootstrap Bootstrap) {
	m.controller = m.controller.withConfig(bootstrap.ModuleConfig)
	m.bootstrap = bootstrap
	m.reloaded = true
}

// Stats returns the counts since the start or the last Reload.
func (m *Machine) Stats() Stats { return m.controller.currentStats() }

// stepContext is what the parts of one step share.
type stepContext struct {
	now     statemachine.Seconds
	effects *statemachine.Effects
	events  []event // for the controller
}

func (step *stepContext) raise(e event) { step.events = append(step.events, e) }

func (step *stepContext) send(session *session, message proto.Message) {
	step.effects.Write(session.conn, proto.Append(nil, message))
}

// Step implements statemachine.Machine. If the decision module fails, nothing of the step is done and Effects.Failure says
// why.
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

func failureText(err error) string {
	var failure *moduleFailure
	if errors.As(err, &failure) {
		return failure.Error() + "\n" + string(failure.stack)
	}
	return err.Error()
}

// applySettings persists the settings at the first step and after a reload. After a reload it also rejects the proxies, whose
// tables come from the former instance of the decision module.
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
			delete(m.sessions, session.conn)
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

// batchPersisted handles the report that records are durable. The store recovers by itself, so this also ends its failure.
func (m *Machine) batchPersisted(step *stepContext, batch uint64) {
	if m.storeFailure != "" {
		step.effects.Log(logInfo, "store recovered")
		m.storeFailure = ""
	}
	step.raise(batchPersisted{batch})
}

// persistFailed handles a failed write. The same failure is logged once.
func (m *Machine) persistFailed(step *stepContext, cause string) {
	if cause != m.storeFailure {
		m.storeFailure = cause
		step.effects.Log(logError, "store unavailable, decisions from now on are lost at a restart", "cause", cause)
	}
	step.raise(persistFailed{})
}
