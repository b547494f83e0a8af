package emulator

// Probe handles a health check. Its reply takes about as long as if it had waited in the queue like an RPC. While the backend
// hangs there is no reply.
func (m *Model) Probe(connID ConnID, probeID uint64) {
	if m.conns[connID] == nil || m.collapsed || m.faults.hangCount > 0 {
		return
	}
	if m.draining || m.config.ProbeLimit > 0 && m.probes >= m.config.ProbeLimit {
		m.emit(ProbeReply{connID, probeID, StatusRejected})
		return
	}
	m.probes++
	m.addOverhead(m.config.ProbeWork)
	queuedWork := 0.0
	for _, queued := range m.queue {
		queuedWork += queued.workLeft
	}
	m.schedule(m.finishTime(m.now, queuedWork/float64(m.config.Cores)+m.config.ProbeWork), func() {
		m.probes--
		if m.conns[connID] != nil && m.faults.hangCount == 0 {
			m.emit(ProbeReply{connID, probeID, StatusOK})
		}
	})
}
