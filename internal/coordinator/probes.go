package coordinator

import "gingerfork/internal/proto"

// queuedProbesPerSlot is how many probes may wait for each probe that may be in flight. Further probes are dropped, since the
// decision module repeats them.
const queuedProbesPerSlot = 4

// queueProbes queues probes, as far as the limit allows, and starts as many as may be in flight.
func (m *Machine) queueProbes(step *stepContext, targets []probeTarget) {
	for _, target := range targets {
		if len(m.queuedProbes) < queuedProbesPerSlot*m.bootstrap.MaxProbes {
			m.queuedProbes = append(m.queuedProbes, target)
		}
	}
	m.startProbes(step)
}

// startProbes dials queued backends until the limit of probes in flight is reached.
func (m *Machine) startProbes(step *stepContext) {
	for len(m.queuedProbes) > 0 && m.probesInFlight < m.bootstrap.MaxProbes {
		target := m.queuedProbes[0]
		m.queuedProbes = m.queuedProbes[1:]
		m.probesInFlight++
		m.dial(step, target.addr, &session{role: roleProbe, probe: target})
	}
}

func (m *Machine) handleProbeMessage(step *stepContext, session *session, message proto.Message) error {
	switch message := message.(type) {
	case proto.Welcome:
		return nil
	case proto.ProbeReply:
		delete(m.sessions, session.conn)
		step.effects.Close(session.conn)
		m.finishProbe(step, session,
			probeFinished{ok: message.Status == proto.StatusOK, busy: message.Status == proto.StatusRejected})
		return nil
	}
	return unexpectedMessage(message)
}

// finishProbe adds the backend and the latency to the result, raises it as an event and starts the next probe. The session
// must have been removed before.
func (m *Machine) finishProbe(step *stepContext, session *session, result probeFinished) {
	m.probesInFlight--
	result.backend = session.probe.backend
	result.latency = step.now - session.openedAt
	step.raise(result)
	m.startProbes(step)
}
