package platform

import (
	"fmt"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// decide runs one step of the decision module on the events since its last step, executes the commands that it returns and
// sends the resulting pushes.
func (m *Machine) decide(now statemachine.Seconds, out *statemachine.Effects) {
	events := m.events
	m.events = nil
	m.lastDecision = now
	m.stats.Steps++
	commands, err := m.stepPlanner(now, events)
	if err != nil {
		m.restartPlanner(now, err, out)
		return
	}
	m.stats.Commands += len(commands)
	nonce := m.execute(now, commands, out)
	if nonce != nil && nonce.All {
		for subscriber := range m.distributor.Subscribers() {
			m.distributor.MarkDirty(subscriber)
		}
	}
	if tables := m.distributor.TakeUndelivered(); tables > 0 {
		m.logThrottled(out, problemUndelivered, levelError, "table changed that no proxy is subscribed to", "tables", tables)
	}
	messages, changes := m.distributor.Flush(nil)
	for _, message := range messages {
		m.push(now, message, nonce, out)
	}
	for _, change := range changes {
		m.logExclusionChange(change, out)
	}
	m.probes.startQueued(now, out)
	m.probes.expireProbes(now, out)
	m.discovery.expireRequest(now, out)
}

// execute executes the commands of one decision step. It returns the command that sets the nonce of the step's pushes, or
// nil if there is none.
func (m *Machine) execute(now statemachine.Seconds, commands []choice.Command, out *statemachine.Effects) (nonce *choice.SetNonce) {
	for _, command := range commands {
		switch command := command.(type) {
		case choice.SetNonce:
			nonce = &command
		case choice.WatchEndpoints:
			m.discovery.watch(now, out)
		case choice.FetchEndpoints:
			m.discovery.fetchAll(now, out)
		case choice.ProbeBackend:
			m.probes.enqueue(command.Backend)
		case choice.SetTimer:
			// The module has one timer at a time and checks the clock in every step, so keeping only the earliest suffices.
			if command.At < m.timerDue {
				m.timerDue, m.timerID = command.At, command.Timer
			}
		case choice.LogMessage:
			out.Log(levelInfo, command.Text)
		case choice.SendToPeer: // ignored: the platform has no connections between coordinators
		default:
			if !m.distributor.Apply(command) {
				m.logThrottled(out, problemUnknownCommand, levelError, "command of unknown type ignored", "type", fmt.Sprintf("%T", command))
			}
		}
	}
	return nonce
}

// push sends one proxy its message of a decision step. It does nothing if the proxy's stream has ended since the step.
func (m *Machine) push(now statemachine.Seconds, message *fanout.Message, nonce *choice.SetNonce, out *statemachine.Effects) {
	receiver := m.streams[message.To.Proxy]
	if receiver == nil || receiver.subscriber != message.To {
		return
	}
	var pushNonce *choice.Nonce
	if nonce != nil {
		pushNonce = &nonce.Nonce
		receiver.addInFlight(now, nonce.Nonce)
	}
	data := wire.AppendPush(nil, m.pushParts(receiver, message.Ops, pushNonce))
	m.stats.Messages++
	m.stats.Bytes += len(data)
	out.Write(receiver.session.conn, data)
}

// logExclusionChange logs that a backend was excluded or restored, at how many proxies, and the module's estimates on
// which the decision depends for a cold backend: its load, how far it has warmed up, and the load at which it may collapse.
func (m *Machine) logExclusionChange(change fanout.ExclusionChange, out *statemachine.Effects) {
	text := "backend restored"
	if change.Excluded {
		text = "backend excluded"
	}
	attributes := []any{"backend", m.endpoints.name(change.Backend), "proxies", change.Proxies}
	if estimate, known := m.planner.Estimate(change.Backend); known {
		attributes = append(attributes, "expected_per_s", rounded(estimate.ExpectedRate), "warmup_factor", rounded(estimate.WarmupFactor),
			"collapse_per_s", rounded(estimate.CollapseRate))
	}
	out.Log(levelInfo, text, attributes...)
}
