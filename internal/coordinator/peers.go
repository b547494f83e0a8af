package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// sendToPeer sends a message to one other coordinator, or to all others if To is negative. A peer without a session is
// dialed. A message that is longer than proto.MaxString or that cannot be sent at once is lost, which the decision module
// allows for.
func (m *Machine) sendToPeer(step *stepContext, message choice.SendToPeer) {
	if len(message.Data) > proto.MaxString {
		return
	}
	settings := &m.bootstrap.ModuleConfig.Settings
	for peer := range choice.PeerID(int(settings.Coordinators.Or(1))) {
		addr := m.bootstrap.Peers[peer]
		if addr == "" || message.To >= 0 && message.To != peer {
			continue
		}
		s := m.peerSessions[peer]
		if s == nil {
			s = &session{role: rolePeer, peer: peer, name: addr}
			m.peerSessions[peer] = s
			m.dial(step, addr, s)
		} else if s.established {
			step.send(s, proto.PeerMessage{From: uint64(settings.Self.Or(0)), Data: string(message.Data)})
		}
	}
}
