package platform

import (
	"errors"
	"fmt"

	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// role is the purpose of a connection.
type role uint8

const (
	roleHandshake role = iota // accepted; its peer has not joined yet
	roleProxy                 // accepted, with a joined proxy
	roleCollector             // accepted, with a joined collector
	roleDiscovery             // dialed, to the discovery service
	roleProbe                 // dialed, for a probe of a backend
)

// session is the state of one connection.
type session struct {
	conn     statemachine.Conn
	role     role
	openedAt statemachine.Seconds
	decoder  wire.Decoder
	retained int     // bytes that decoder holds, as counted in Machine.retainedBytes
	stream   *stream // set for roleProxy
	probe    *probe  // set for roleProbe
	zone     string  // whose reports the collector forwards; set for roleCollector

	lastReceived statemachine.Seconds // when data was last received; set for accepted connections
}

// Limits on the size of a message, in bytes.
const (
	maxHandshakeBytes = 512
	maxMessageBytes   = 16 << 10 // after the handshake
)

// accept registers a new connection. If there are too many connections, it closes the oldest one that is in its handshake.
// Joined proxies and collectors are never closed for this reason.
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
		m.removeSession(oldest)
		out.Abort(oldest.conn)
	}
}

// oldestHandshaking returns the oldest session in its handshake, or nil. The sessions before it in the list have joined or
// are closed; they are removed, so that they are not scanned again for each connection of a flood.
func (m *Machine) oldestHandshaking() *session {
	for i, candidate := range m.handshaking {
		if m.sessions[candidate.conn] == candidate && candidate.role == roleHandshake {
			m.handshaking = m.handshaking[i:]
			return candidate
		}
	}
	m.handshaking = nil
	return nil
}

// expireHandshakes closes the connections whose handshakes have timed out and schedules a step at the next timeout.
func (m *Machine) expireHandshakes(now statemachine.Seconds, out *statemachine.Effects) {
	for oldest := m.oldestHandshaking(); oldest != nil; oldest = m.oldestHandshaking() {
		deadline := oldest.openedAt + m.boot.HandshakeTimeout
		if now < deadline {
			out.WakeBy(deadline)
			return
		}
		m.endSession(oldest, "it did not join in time", out)
	}
}

// readMessages handles the complete messages that a session has received. An invalid message of a joined session is
// dropped, and the session continues; malformed data ends the connection.
func (m *Machine) readMessages(now statemachine.Seconds, peer *session, out *statemachine.Effects) {
	for m.sessions[peer.conn] == peer {
		message, err := peer.decoder.Next()
		if err == nil && message == nil {
			m.limitRetained(peer, out)
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

// limitRetained accounts for the memory that a session's incomplete message takes. Above Bootstrap.MaxRetainedBytes it ends the
// session that holds the most. A sound peer's messages have some hundred bytes, so that it is the last to go.
func (m *Machine) limitRetained(changed *session, out *statemachine.Effects) {
	m.retainedBytes += changed.decoder.Retained() - changed.retained
	changed.retained = changed.decoder.Retained()
	if m.boot.MaxRetainedBytes == 0 || m.retainedBytes <= m.boot.MaxRetainedBytes {
		return
	}
	largest := changed
	for _, candidate := range m.sessions {
		if candidate.retained > largest.retained {
			largest = candidate
		}
	}
	m.endSession(largest, "too many bytes of incomplete messages are held", out)
}

// removeSession forgets a session and the memory that its incomplete message takes.
func (m *Machine) removeSession(removed *session) {
	delete(m.sessions, removed.conn)
	m.retainedBytes -= removed.retained
	removed.retained = 0
}

// endSession ends a session because of an error of its peer. The reason is sent to a peer in its handshake; the connection
// of a joined peer is reset.
func (m *Machine) endSession(peer *session, reason string, out *statemachine.Effects) {
	m.removeSession(peer)
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
