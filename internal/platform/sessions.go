package platform

import (
	"errors"
	"fmt"

	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// role is what a connection is used for.
type role uint8

const (
	roleHandshake role = iota // accepted, its first message has not come
	roleProxy
	roleCollector
	roleDiscovery // dialed
	roleProbe     // dialed
)

// session is one connection.
type session struct {
	conn     statemachine.Conn
	role     role
	openedAt statemachine.Seconds
	decoder  wire.Decoder
	stream   *stream // with roleProxy
	probe    *probe  // with roleProbe
	zone     string  // with roleCollector

	lastReceived statemachine.Seconds // when data last came
}

// Limits on the size of a message, in bytes.
const (
	maxHandshakeBytes = 512
	maxMessageBytes   = 16 << 10 // after the handshake
)

// accept takes a new connection in. If there are too many, the oldest one in its handshake is closed. Joined proxies and
// collectors are never closed for that.
func (m *Machine) accept(now statemachine.Seconds, conn statemachine.Conn, out *statemachine.Effects) {
	accepted := &session{conn: conn, openedAt: now, decoder: wire.Decoder{MaxBytes: maxHandshakeBytes}}
	m.sessions[conn] = accepted
	m.handshaking = append(m.handshaking, accepted)
	if len(m.sessions) <= m.boot.MaxConnections {
		return
	}
	if oldest := m.oldestHandshaking(); oldest != nil {
		m.stats.Evicted++
		m.logThrottled(out, problemEvicted, levelWarning, "connection limit reached, connection in its handshake closed", "limit", m.boot.MaxConnections)
		delete(m.sessions, oldest.conn)
		out.Abort(oldest.conn)
	}
}

// oldestHandshaking returns the oldest session in its handshake, or nil. Sessions before it, which have joined or are
// closed, are removed from the list, so that a flood of connections does not scan them each time.
func (m *Machine) oldestHandshaking() *session {
	for i, s := range m.handshaking {
		if m.sessions[s.conn] == s && s.role == roleHandshake {
			m.handshaking = m.handshaking[i:]
			return s
		}
	}
	m.handshaking = nil
	return nil
}

func (m *Machine) expireHandshakes(now statemachine.Seconds, out *statemachine.Effects) {
	for s := m.oldestHandshaking(); s != nil; s = m.oldestHandshaking() {
		deadline := s.openedAt + m.boot.HandshakeTimeout
		if now < deadline {
			out.WakeBy(deadline)
			return
		}
		m.endSession(s, "it did not join in time", out)
	}
}

// readMessages handles the complete messages that a session has received. An invalid message of a joined session is
// dropped alone, malformed data ends the connection.
func (m *Machine) readMessages(now statemachine.Seconds, peer *session, out *statemachine.Effects) {
	for m.sessions[peer.conn] == peer {
		message, err := peer.decoder.Next()
		if err == nil && message == nil {
			return
		}
		if err == nil {
			err = m.handleMessage(now, peer, message, out)
		}
		if err == nil {
			continue
		}
		var invalid *wire.MessageError
		if errors.As(err, &invalid) && peer.role != roleHandshake {
			m.stats.InvalidMessages++
			m.logThrottled(out, problemInvalidMessage(invalid.Kind), levelWarning, "invalid message dropped",
				"conn", uint64(peer.conn), "cause", err.Error())
			continue
		}
		m.endSession(peer, err.Error(), out)
		return
	}
}

// endSession ends a session for something that its peer did. A connection in its handshake is sent the reason, a joined
// one is reset.
func (m *Machine) endSession(peer *session, reason string, out *statemachine.Effects) {
	delete(m.sessions, peer.conn)
	if peer.role == roleHandshake {
		m.stats.Rejected++
		m.logThrottled(out, problemRejected, levelInfo, "connection rejected", "conn", uint64(peer.conn), "cause", reason)
		out.Write(peer.conn, wire.AppendReject(nil, reason))
		out.Close(peer.conn)
		return
	}
	m.stats.BrokenConnections++
	peerName := "collector"
	if peer.role == roleProxy {
		peerName = fmt.Sprintf("proxy %d", peer.stream.proxy)
	}
	m.logThrottled(out, problemMalformedData, levelWarning, "connection closed: malformed data",
		"conn", uint64(peer.conn), "peer", peerName, "cause", reason)
	out.Abort(peer.conn)
	if peer.role == roleProxy {
		m.leave(peer.stream)
	}
}
