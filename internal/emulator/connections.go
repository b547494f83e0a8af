package emulator

// clientConn is a connection of a client.
type clientConn struct {
	coordinator string // whose tables the client follows
	handshaking bool   // slowed down by a fault
	pending     []RPC  // that came during the handshake
}

// Connect opens a connection of a client that follows a coordinator's tables, or rejects it.
func (m *Model) Connect(connID ConnID, coordinator string) {
	limit := m.config.ConnLimit
	if m.faults.connLimit > 0 {
		limit = m.faults.connLimit
	}
	if m.collapsed || limit > 0 && len(m.conns) >= limit {
		m.emit(ConnRejected{connID})
		return
	}
	conn := &clientConn{coordinator: coordinator, handshaking: m.faults.handshakeDelay > 0}
	m.conns[connID] = conn
	if m.config.ConnWork > 0 {
		m.addOverhead(m.config.ConnWork)
	}
	if conn.handshaking {
		m.schedule(m.now+m.faults.handshakeDelay, func() { m.finishHandshake(connID, conn) })
	}
}

func (m *Model) finishHandshake(connID ConnID, conn *clientConn) {
	conn.handshaking = false
	for _, call := range conn.pending {
		m.Submit(connID, call)
	}
	conn.pending = nil
}

// SetCoordinator tells whose tables a connection's client follows from now on.
func (m *Model) SetCoordinator(connID ConnID, coordinator string) {
	if conn := m.conns[connID]; conn != nil {
		conn.coordinator = coordinator
	}
}

// Disconnect ends a connection, which cancels its RPCs.
func (m *Model) Disconnect(connID ConnID) {
	delete(m.conns, connID)
	if m.config.CancelPolicy == IgnoreCancel {
		return
	}
	for _, queued := range m.queue {
		queued.cancelled = queued.cancelled || queued.conn == connID
	}
	if m.config.CancelPolicy == CancelRunning {
		m.stopRunning(func(running *job) bool { return running.conn == connID })
	}
}

// reply ends an attempt if its connection still stands.
func (m *Model) reply(connID ConnID, callID uint64, status Status) {
	if m.conns[connID] != nil {
		m.emit(Reply{connID, callID, status, m.reportedLoad()})
	}
}
