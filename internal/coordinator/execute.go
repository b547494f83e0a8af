package coordinator

import (
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// execute carries out the result of a step of the controller.
func (m *Machine) execute(step *stepContext, result stepResult) {
	for _, rejection := range result.rejections {
		if s := m.sessions[statemachine.Conn(rejection.stream)]; s != nil {
			m.reject(step, s, rejection.reason)
			m.removeSession(s)
		}
	}
	for _, outgoing := range result.pushes {
		frame := proto.Append(nil, outgoing.push)
		m.controller.stats.Bytes += len(frame)
		step.effects.Write(statemachine.Conn(outgoing.stream), frame)
	}
	if result.endpointListError != nil {
		m.rejectEndpointUpdate(step, result.endpointListError)
	}
	if result.watch != nil {
		m.requestEndpoints(step, *result.watch)
	}
	if result.fetch {
		m.requestEndpoints(step, proto.FetchEndpoints{})
	}
	m.queueProbes(step, result.probes)
	for _, message := range result.peerMessages {
		m.sendToPeer(step, message)
	}
	logResult(step.effects, result)
	step.effects.Persist(result.mutations, result.batch)
}

// logResult logs the messages of the decision module and the exclusion changes.
func logResult(effects *statemachine.Effects, result stepResult) {
	for _, text := range result.logMessages {
		effects.Log(logInfo, text)
	}
	for _, change := range result.exclusionChanges {
		text := "backend restored"
		if change.excluded {
			text = "backend excluded"
		}
		effects.Log(logInfo, text, "backend", uint32(change.backend), "nonce", change.nonce, "proxies", change.proxies)
	}
}
