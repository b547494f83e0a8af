package platform

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// stream is the connection of a joined proxy, on which it is sent pushes.
type stream struct {
	session    *session
	subscriber *fanout.Subscriber
	proxy      choice.ProxyID
	zone       choice.Zone
	rate       float64 // RPCs per second that the proxy usually gets, as reported when it joined

	inFlight            []choice.Nonce       // nonces sent on this stream and not acknowledged by the proxy, oldest first
	unacknowledgedSince statemachine.Seconds // when a nonce was last added to an empty inFlight; unused while that is empty
	lastReceived        statemachine.Seconds // when data was last received on this stream

	// sentExclusions has the last exclusion state sent on this stream: true for an excluded backend, false for a restored one.
	// A proxy keeps exclusions across streams, and other coordinators send them as well, also to a proxy without tables. So the
	// state of a backend that is not in the map is unknown.
	sentExclusions map[choice.BackendID]bool
}

// maxNoncesInFlight limits the length of stream.inFlight for a proxy that does not acknowledge.
const maxNoncesInFlight = 256

// join makes a connection the stream of a proxy. A connection that was accepted earlier and holds the stream of the same
// proxy is closed.
func (m *Machine) join(now statemachine.Seconds, peer *session, message wire.ProxyJoin, out *statemachine.Effects) error {
	if message.Proxy >= len(m.streams) || !m.zones[message.Zone] {
		return invalidMessage("joining", "proxy %d or zone %.32q does not exist", message.Proxy, message.Zone)
	}
	if peer.conn < m.lastStreamConns[message.Proxy] {
		// This connection was opened before that of the proxy's last stream, which may have ended, and its message is late: the
		// proxy no longer uses it.
		return invalidMessage("joining", "proxy %d is joined by a later stream", message.Proxy)
	}
	if former := m.streams[message.Proxy]; former != nil {
		// The former connection is dead, but its close has not been reported yet. When it is, it must have no effect.
		m.stats.TakenOver++
		m.removeSession(former.session)
		out.Abort(former.session.conn)
		m.leave(former)
	}
	joined := &stream{
		session: peer, proxy: choice.ProxyID(message.Proxy), zone: choice.Zone(message.Zone), rate: message.Rate, lastReceived: now,
		sentExclusions: map[choice.BackendID]bool{},
	}
	joined.subscriber = m.distributor.Join(joined.proxy)
	peer.role, peer.stream, peer.decoder.MaxBytes = roleProxy, joined, maxMessageBytes
	m.streams[message.Proxy], m.lastStreamConns[message.Proxy] = joined, peer.conn
	m.stats.Joins++
	m.events = append(m.events, choice.ProxyJoined{Proxy: joined.proxy, Zone: joined.zone, Rate: message.Rate, Fresh: message.Fresh})
	return nil
}

// leave ends a stream. It does nothing if the stream has ended already.
func (m *Machine) leave(left *stream) {
	if m.streams[left.proxy] != left {
		return
	}
	m.streams[left.proxy] = nil
	m.distributor.Leave(left.subscriber)
	m.stats.Leaves++
	m.events = append(m.events, choice.ProxyLeft{Proxy: left.proxy})
}

// acknowledge handles an acknowledgement, which covers all earlier nonces of the stream as well. A nonce that is not in
// flight on this stream is ignored.
func (m *Machine) acknowledge(receiver *stream, message wire.Acknowledgement) {
	nonce := choice.Nonce(message.Nonce)
	index := slices.Index(receiver.inFlight, nonce)
	if index < 0 {
		m.stats.StaleAcknowledgements++
		return
	}
	receiver.inFlight = append(receiver.inFlight[:0], receiver.inFlight[index+1:]...)
	m.events = append(m.events, choice.PushAcknowledged{Proxy: receiver.proxy, Nonce: nonce, Delay: message.Delay})
}

// addInFlight stores a nonce that is being sent. If there are too many, the oldest one is dropped.
func (s *stream) addInFlight(now statemachine.Seconds, nonce choice.Nonce) {
	if len(s.inFlight) == 0 {
		s.unacknowledgedSince = now
	}
	s.inFlight = append(s.inFlight, nonce)
	if len(s.inFlight) > maxNoncesInFlight {
		s.inFlight = append(s.inFlight[:0], s.inFlight[1:]...)
	}
}

// forgetBackends removes backends whose names are forgotten from the sentExclusions of all streams. A proxy may still hold
// such a backend as excluded; a restore is sent if the name comes back.
func (m *Machine) forgetBackends(backends []choice.BackendID) {
	for _, joined := range m.streams {
		if joined == nil {
			continue
		}
		for _, id := range backends {
			delete(joined.sentExclusions, id)
		}
	}
}
