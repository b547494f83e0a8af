package emulator

// clientConn is a connection of a client.
type clientConn struct {
	coordinator string // name of the coordinator whose tables the client uses
	handshaking bool   // a fault delays the end of the handshake
	pendingRPCs []RPC  // RPCs that arrived during the handshake
}

// Connect opens a connection of a client that uses the tables of a coordinator, or rejects it if the backend has collapsed
// or its connection limit is reached.
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

// finishHandshake submits the RPCs that arrived during the handshake.
func (m *Model) finishHandshake(connID ConnID, conn *clientConn) {
	conn.handshaking = false
	for _, rpc := range conn.pendingRPCs {
		m.Submit(connID, rpc)
	}
	conn.pendingRPCs = nil
}

// SetCoordinator sets the coordinator whose tables the client of a connection uses.
func (m *Model) SetCoordinator(connID ConnID, coordinator string) {
	if conn := m.conns[connID]; conn != nil {
		conn.coordinator = coordinator
	}
}

// Disconnect closes a connection and cancels its RPCs.
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

// reply sends the reply to an attempt if its connection is still open.
func (m *Model) reply(connID ConnID, rpcID uint64, status Status) {
	if m.conns[connID] != nil {
		m.emit(Reply{connID, rpcID, status, m.reportedLoad()})
	}
}
