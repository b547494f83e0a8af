package coordinator

import (
	"fmt"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// handleMessage handles one message. If it returns an error, the session ends after the error's text is sent to the other
// side.
func (m *Machine) handleMessage(step *stepContext, session *session, message proto.Message) error {
	if rejected, ok := message.(proto.Reject); ok {
		return &peerRejectionError{reason: rejected.Reason}
	}
	switch session.role {
	case roleHandshaking:
		hello, ok := message.(proto.Hello)
		if !ok {
			return fmt.Errorf("%w: %s before the hello", errUnexpectedMessage, proto.WireName(message))
		}
		return m.handleHello(step, session, hello)
	case roleProxy:
		return m.handleProxyMessage(step, session, message)
	case roleEndpointList:
		return m.handleEndpointListMessage(step, session, message)
	case roleProbe:
		return m.handleProbeMessage(step, session, message)
	case rolePeer:
		return m.handlePeerMessage(step, session, message)
	}
	return unexpectedMessage(message)
}

// unexpectedMessage returns the error for a message that is not allowed in the session's role or state.
func unexpectedMessage(message proto.Message) error {
	return fmt.Errorf("%w: %s", errUnexpectedMessage, proto.WireName(message))
}

func (m *Machine) handleProxyMessage(step *stepContext, session *session, message proto.Message) error {
	switch message := message.(type) {
	case proto.Acknowledgement:
		step.raise(pushAcknowledged{streamID(session.conn), message.Nonce})
		return nil
	case proto.Reports:
		step.send(session, proto.ReportsReceived{})
		step.raise(proxyReported{streamID(session.conn), message})
		return nil
	}
	return unexpectedMessage(message)
}

func (m *Machine) handlePeerMessage(step *stepContext, session *session, message proto.Message) error {
	switch message := message.(type) {
	case proto.Welcome:
		session.established = true
		return nil
	case proto.PeerMessage:
		step.raise(peerMessage{choice.PeerID(message.From), message.Data})
		return nil
	}
	return unexpectedMessage(message)
}
