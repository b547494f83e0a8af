package coordinator

import (
	"fmt"

	"gingerfork/internal/proto"
)

const (
	// endpointListName names the endpoint list service in the log.
	endpointListName = "endpoint-list"
	// maxPendingRequests is the most requests that wait for the session with the service. Further ones are dropped, since the
	// decision module repeats requests.
	maxPendingRequests = 4
)

// requestEndpoints sends a request to the endpoint list service. Without an established session, the request waits for one. A
// session that is not established within the idle timeout is replaced, and the requests that wait for it are dropped.
func (m *Machine) requestEndpoints(step *stepContext, request proto.Message) {
	if m.endpointSession != nil && m.endpointSession.established {
		step.send(m.endpointSession, request)
		return
	}
	if m.endpointSession != nil && step.now-m.endpointSession.openedAt > m.bootstrap.EndpointListIdleTimeout {
		step.effects.Abort(m.endpointSession.conn)
		m.removeEndpointSession()
	}
	if len(m.pendingRequests) < maxPendingRequests {
		m.pendingRequests = append(m.pendingRequests, request)
	}
	if m.endpointSession == nil {
		m.endpointSession = &session{role: roleEndpointList, name: endpointListName}
		m.dial(step, m.bootstrap.EndpointListAddr, m.endpointSession)
	}
}

func (m *Machine) handleEndpointListMessage(step *stepContext, session *session, message proto.Message) error {
	switch message := message.(type) {
	case proto.Welcome:
		session.reader.HandshakeDone()
		session.established = true
		for _, request := range m.pendingRequests {
			step.send(session, request)
		}
		m.pendingRequests = nil
		return nil
	case proto.EndpointUpdate:
		if !session.established {
			return fmt.Errorf("%w: a list before the welcome", errUnexpectedMessage)
		}
		step.raise(endpointListReceived{message})
		return nil
	}
	return unexpectedMessage(message)
}

// rejectEndpointUpdate ends the session on which an invalid frame came. The decision module requests the list again.
func (m *Machine) rejectEndpointUpdate(step *stepContext, cause error) {
	step.effects.Log(logError, "endpoint update rejected, endpoint list unchanged", "cause", cause.Error())
	if m.endpointSession != nil {
		m.reject(step, m.endpointSession, cause.Error())
		m.removeEndpointSession()
	}
}

// removeEndpointSession removes the session with the endpoint list service and the requests that wait for it.
func (m *Machine) removeEndpointSession() {
	delete(m.sessions, m.endpointSession.conn)
	m.endpointSession = nil
	m.pendingRequests = nil
}
