package platform

import (
	"errors"
	"fmt"
	"runtime/debug"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/statemachine"
)

// Errors for panics that were recovered from.
var (
	errStepPanic     = errors.New("a step panicked")
	errPlannerPanic  = errors.New("the decision module panicked")
	errResponsePanic = errors.New("handling the response panicked")
)

// restartDelay is the delay before the first step of a restarted decision module if the restart before was less than this
// time ago.
const restartDelay statemachine.Seconds = 1

// startPlanner starts a new instance of the decision module, which gets the current endpoint list and streams as its first
// events.
func (m *Machine) startPlanner(config choice.Config) {
	m.planner, m.distributor = choice.New(config), fanout.New()
	m.distributor.AllMethods = m.methodSet(0)
	m.events, m.timerDue, m.lastDecision = nil, config.Now, config.Now-m.stepInterval
	if m.endpoints.loaded {
		m.events = append(m.events, m.endpoints.cachedUpdate())
	}
	for _, joined := range m.streams {
		if joined != nil {
			joined.subscriber, joined.inFlight = m.distributor.Join(joined.proxy), nil
			m.events = append(m.events, choice.ProxyJoined{Proxy: joined.proxy, Zone: joined.zone, Rate: joined.rate})
		}
	}
}

// restartPlanner replaces a failed decision module. Proxies keep their tables until the new instance has sent others.
func (m *Machine) restartPlanner(now statemachine.Seconds, cause error, out *statemachine.Effects) {
	m.stats.PlannerRestarts++
	m.logThrottled(out, problemPlannerRestart, levelError, "decision module restarted", "cause", cause.Error())
	config := m.boot.Module
	config.Seed, config.Now = config.Seed+uint64(m.stats.PlannerRestarts), now
	m.startPlanner(config)
	if now < m.lastRestart+restartDelay { // a module that keeps failing must not be restarted in a tight loop
		m.timerDue, m.lastDecision = now+restartDelay, now+restartDelay
	}
	m.lastRestart = now
}

// stepPlanner runs a step of the decision module and turns a panic into an error, since the end of the process would leave
// all proxies without a coordinator.
func (m *Machine) stepPlanner(now statemachine.Seconds, events []choice.Event) (commands []choice.Command, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v\n%s", errPlannerPanic, cause, debug.Stack())
		}
	}()
	return m.planner.Step(now, events), nil
}

// recoverStep runs a phase of a step that concerns all connections. After a panic it restarts the decision module, since the
// end of the process would leave all proxies without a coordinator.
func (m *Machine) recoverStep(now statemachine.Seconds, out *statemachine.Effects, phase func(statemachine.Seconds, *statemachine.Effects)) {
	defer func() {
		if cause := recover(); cause != nil {
			m.restartPlanner(now, fmt.Errorf("%w: %v\n%s", errStepPanic, cause, debug.Stack()), out)
		}
	}()
	phase(now, out)
}

// handleInputSafely handles an input and recovers from a panic, which closes only the connection that the input is about.
func (m *Machine) handleInputSafely(now statemachine.Seconds, input statemachine.Input, out *statemachine.Effects) {
	defer func() {
		if cause := recover(); cause != nil {
			m.closeAfterPanic(input.Conn, cause, out)
		}
	}()
	m.handleInput(now, input, out)
}

// closeAfterPanic closes the connection whose input caused a panic and removes the state that belongs to it.
func (m *Machine) closeAfterPanic(conn statemachine.Conn, cause any, out *statemachine.Effects) {
	m.stats.InputPanics++
	m.logThrottled(out, problemInputPanic, levelError, "connection closed: handling its input panicked",
		"conn", uint64(conn), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	peer := m.sessions[conn]
	if peer == nil {
		return
	}
	m.removeSession(peer)
	out.Abort(conn)
	switch peer.role {
	case roleProxy:
		m.leaveBySession(peer)
	case roleDiscovery:
		m.discovery.conn, m.discovery.connected = 0, false
		m.discovery.requestFailed(errResponsePanic, out)
	case roleProbe:
		m.probes.active = slices.DeleteFunc(m.probes.active, func(active *session) bool { return active == peer })
	}
}

// leaveBySession ends the stream of a session. It finds the stream without the session's fields, which may be inconsistent
// after a panic.
func (m *Machine) leaveBySession(peer *session) {
	for _, candidate := range m.streams {
		if candidate != nil && candidate.session == peer {
			m.leave(candidate)
		}
	}
}
