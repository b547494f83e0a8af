package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// connPool holds the connections to backends, at most one to each backend.
type connPool struct {
	byBackend map[proto.BackendID]*backendConn
	byConn    map[statemachine.Conn]*backendConn
}

// backendConn is a connection to a backend.
type backendConn struct {
	backend        proto.BackendID
	addr           string
	id             statemachine.Conn
	established    bool
	reader         proto.Reader
	attempts       map[uint64]*rpc // RPCs whose attempts are in flight on the connection, by attempt ID
	queued         []uint64        // IDs of attempts that are written once the connection is established
	reportedLoad   float64
	loadReportedAt statemachine.Seconds // when the backend last reported its load; 0: never
}

// add adds a connection to both indexes.
func (p *connPool) add(conn *backendConn) {
	p.byBackend[conn.backend] = conn
	p.byConn[conn.id] = conn
}

// remove removes a connection from both indexes.
func (p *connPool) remove(conn *backendConn) {
	delete(p.byConn, conn.id)
	if p.byBackend[conn.backend] == conn {
		delete(p.byBackend, conn.backend)
	}
}

// connForBackend returns the connection to a backend. If there is none, or the backend's address changed, it dials a new one, which
// is given up after ConnectTimeout.
func (f *FrontEnd) connForBackend(now statemachine.Seconds, backend proto.BackendID, addr string) *backendConn {
	existing := f.pool.byBackend[backend]
	if existing != nil && existing.addr == addr {
		return existing
	}
	if existing != nil {
		f.out.Close(existing.id)
		f.connLost(now, existing)
	}
	f.lastDialed++
	dialed := &backendConn{backend: backend, addr: addr, id: f.lastDialed, attempts: map[uint64]*rpc{}}
	f.pool.add(dialed)
	f.out.Dial(dialed.id, addr)
	f.timers.schedule(now+f.config.ConnectTimeout, func(now statemachine.Seconds) {
		if !dialed.established && f.pool.byConn[dialed.id] == dialed {
			f.out.Abort(dialed.id)
			f.connLost(now, dialed)
		}
	})
	return dialed
}

// closeUnusedConns closes the idle connections to addresses that no method may use any more.
func (f *FrontEnd) closeUnusedConns() {
	addresses := f.usableAddresses()
	for _, id := range sortedConns(f.pool.byConn) {
		conn := f.pool.byConn[id]
		used := addresses[conn.backend] != "" && addresses[conn.backend] == conn.addr
		if !used && len(conn.attempts) == 0 {
			f.out.Close(id)
			f.pool.remove(conn)
		}
	}
}

// handleBackendInput handles an input on the connection to a backend.
func (f *FrontEnd) handleBackendInput(now statemachine.Seconds, conn *backendConn, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		f.connEstablished(now, conn)
	case statemachine.ConnClosed:
		f.connLost(now, conn)
	case statemachine.ConnData:
		conn.reader.Feed(input.Data)
		f.readReplies(now, conn)
	}
}

// connEstablished sends the hello and writes the attempts that waited for the connection.
func (f *FrontEnd) connEstablished(now statemachine.Seconds, conn *backendConn) {
	conn.established = true
	conn.reader.HandshakeDone()
	f.out.Write(conn.id, proto.Append(nil, proto.Hello{
		Version: proto.Version, Role: proto.RoleClient, Name: f.config.Name, Zone: f.config.Zone, TablesOf: f.session.tablesFrom,
	}))
	for _, attemptID := range conn.queued {
		if call := conn.attempts[attemptID]; call != nil && !call.finished {
			f.writeAttempt(now, conn, call)
		}
	}
	conn.queued = nil
}

// readReplies handles the complete replies that a backend sent. An invalid message ends the connection.
func (f *FrontEnd) readReplies(now statemachine.Seconds, conn *backendConn) {
	for f.pool.byConn[conn.id] == conn {
		message, err := conn.reader.Next()
		if err != nil {
			f.out.Close(conn.id)
			f.connLost(now, conn)
			return
		}
		if message == nil {
			return
		}
		if reply, ok := message.(proto.Reply); ok {
			f.handleReply(now, conn, reply)
		}
	}
}

// connLost removes a connection that ended and fails its attempts. On an established connection the attempts may have been
// executed; on one that was never established none was.
func (f *FrontEnd) connLost(now statemachine.Seconds, conn *backendConn) {
	f.pool.remove(conn)
	for _, attemptID := range slices.Sorted(maps.Keys(conn.attempts)) {
		f.attemptFailed(now, conn.attempts[attemptID], conn.established)
	}
}
