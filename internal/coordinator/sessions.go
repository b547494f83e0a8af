package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// expiryChecksPerTimeout is how many times sessions are checked for timeouts within the shortest timeout.
const expiryChecksPerTimeout = 4

// Reasons of rejections, as sent on the wire.
const (
	reasonTooManyStreams = "too many streams, try another coordinator"
	reasonNoHello        = "no hello in time"
	reasonIdle           = "silent for too long"
	reasonReloaded       = "other settings are in force, join again"
	reasonMemory         = "too many bytes of incomplete frames are held, send smaller frames"
)

// maxRetainedBytes limits the memory for incomplete frames of all accepted sessions together. It is far above what the proxies of any
// fleet send at once, and has to be, because a sound proxy may be the one with the most.
const maxRetainedBytes = 16 << 20

// sessionRole is the role of the other side of a session.
type sessionRole uint8

const (
	roleHandshaking sessionRole = iota // unknown, since its hello was not received yet
	roleProxy
	roleEndpointList
	roleProbe
	rolePeer
)

// session is one connection, accepted or dialed.
type session struct {
	conn        statemachine.Conn
	role        sessionRole
	name        string // name or address of the other side, for the log; empty for probes and before the hello
	reader      proto.Reader
	retained    int // bytes that reader holds for an incomplete frame
	openedAt    statemachine.Seconds
	lastSeen    statemachine.Seconds // when data was last received; at first equal to openedAt
	established bool                 // the handshake is complete; for roleEndpointList and rolePeer only
	probe       probeTarget          // the backend to probe, for roleProbe
	peer        choice.PeerID        // the other coordinator, for rolePeer if this coordinator dialed
}

// addSession adds a session with a new connection.
func (m *Machine) addSession(session *session) {
	m.sessions[session.conn] = session
	m.sessionsByAge = append(m.sessionsByAge, session)
}

// accept adds a session for an incoming connection, or rejects the connection if there are too many sessions.
func (m *Machine) accept(step *stepContext, conn statemachine.Conn) {
	if len(m.sessions) >= m.bootstrap.MaxStreams {
		m.reject(step, &session{conn: conn}, reasonTooManyStreams)
		return
	}
	m.addSession(&session{conn: conn, openedAt: step.now, lastSeen: step.now})
}

// dial starts to open a connection for a session and adds the session. An input reports later whether it was opened.
func (m *Machine) dial(step *stepContext, addr string, s *session) {
	m.lastDialed++
	s.conn = m.lastDialed
	s.openedAt, s.lastSeen = step.now, step.now
	step.effects.Dial(s.conn, addr)
	m.addSession(s)
}

// receive handles the messages in data. An error in one ends only this session.
func (m *Machine) receive(step *stepContext, session *session, data []byte) {
	session.lastSeen = step.now
	session.reader.Feed(data)
	for m.sessions[session.conn] == session {
		message, err := session.reader.Next()
		if message == nil && err == nil {
			m.limitRetained(step, session)
			return
		}
		if err == nil {
			err = m.handleMessage(step, session, message)
		}
		if err != nil {
			m.reject(step, session, err.Error())
			m.closeSession(step, session, err.Error())
			return
		}
	}
}

// limitRetained accounts for the memory that a session's incomplete frame takes. Above maxRetainedBytes it rejects the accepted session
// that holds the most.
func (m *Machine) limitRetained(step *stepContext, changed *session) {
	if changed.conn&statemachine.DialedBit != 0 {
		return // the parties that this coordinator dials are in its settings
	}
	m.retainedBytes += changed.reader.Retained() - changed.retained
	changed.retained = changed.reader.Retained()
	if m.retainedBytes <= maxRetainedBytes {
		return
	}
	largest := changed
	for _, candidate := range m.sessions {
		if candidate.retained > largest.retained {
			largest = candidate
		}
	}
	m.reject(step, largest, reasonMemory)
	m.closeSession(step, largest, reasonMemory)
}

// reject tells the other side the reason and closes the connection. It does not remove the session.
func (m *Machine) reject(step *stepContext, session *session, reason string) {
	step.send(session, proto.Reject{Reason: reason})
	step.effects.Close(session.conn)
	if times, shouldLog := m.rejections.count(reason); shouldLog {
		step.effects.Log(logWarning, "stream rejected",
			"peer", session.name, "conn", uint64(session.conn&^statemachine.DialedBit), "reason", reason, "count", times)
	}
}

// closeSession removes a session, whichever side ended it, and raises the events that follow from that.
func (m *Machine) closeSession(step *stepContext, session *session, reason string) {
	if m.sessions[session.conn] != session {
		return
	}
	m.removeSession(session)
	switch session.role {
	case roleProxy:
		step.effects.Log(logInfo, "proxy left", "proxy", session.name, "reason", reason)
		step.raise(streamClosed{streamID(session.conn)})
	case roleEndpointList:
		m.removeEndpointSession()
		step.effects.Log(logWarning, "endpoint list service disconnected", "reason", reason)
		step.raise(endpointListLost{})
	case roleProbe:
		m.finishProbe(step, session, probeFinished{})
	case rolePeer:
		if m.peerSessions[session.peer] == session {
			delete(m.peerSessions, session.peer)
		}
	case roleHandshaking:
	}
}

// removeSession forgets a session and the memory that its incomplete frame takes.
func (m *Machine) removeSession(session *session) {
	delete(m.sessions, session.conn)
	m.retainedBytes -= session.retained
	session.retained = 0
}

// expiryInterval returns the time between two checks of the sessions for timeouts.
func (m *Machine) expiryInterval() statemachine.Seconds {
	shortest := min(m.bootstrap.HandshakeTimeout, m.bootstrap.ProxyIdleTimeout, m.bootstrap.EndpointListIdleTimeout,
		m.bootstrap.ProbeTimeout)
	return shortest / expiryChecksPerTimeout
}

// expireSessions closes sessions whose timeout has passed. It is needed because a connection may break without either side
// noticing.
func (m *Machine) expireSessions(step *stepContext) {
	if step.now < m.lastExpiryAt+m.expiryInterval() {
		return
	}
	m.lastExpiryAt = step.now
	checkedCount := len(m.sessionsByAge)
	openSessions := m.sessionsByAge[:0]
	for _, session := range m.sessionsByAge {
		if m.sessions[session.conn] != session {
			continue
		}
		openSessions = append(openSessions, session)
		if m.expire(step, session) {
			m.closeSession(step, session, reasonIdle)
		}
	}
	// When a probe expires, the next one starts, and its session is appended during the loop.
	openSessions = append(openSessions, m.sessionsByAge[checkedCount:]...)
	m.sessionsByAge = openSessions
}

// expire closes the connection of a session if its timeout has passed, and returns whether it has.
func (m *Machine) expire(step *stepContext, session *session) bool {
	age, idle := step.now-session.openedAt, step.now-session.lastSeen
	var expired bool
	switch session.role {
	case roleHandshaking:
		if age > m.bootstrap.HandshakeTimeout {
			m.reject(step, session, reasonNoHello)
			return true
		}
	case roleProxy:
		if idle > m.bootstrap.ProxyIdleTimeout {
			m.reject(step, session, reasonIdle)
			return true
		}
	case roleEndpointList:
		expired = idle > m.bootstrap.EndpointListIdleTimeout
	case roleProbe:
		expired = age > m.bootstrap.ProbeTimeout
	case rolePeer:
		expired = !session.established && age > m.bootstrap.HandshakeTimeout
	}
	if expired {
		step.effects.Abort(session.conn)
	}
	return expired
}
