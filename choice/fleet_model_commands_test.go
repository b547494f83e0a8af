package choice

// messageOverheadLines is the number of lines that a message adds to those of its content: message_lines of testSettings, and
// the nonce.
const messageOverheadLines = 11

// The bits of two methods of testSettings in the Methods field of a command.
const (
	nonIdempotentMethod = 1 << 1
	tokenedMethod       = 1 << 2
)

// applyCommands applies the commands of the last step to the tables and streams of the proxies, and counts the lines that they
// add to the channel.
func (m *fleetModel) applyCommands() {
	m.t.Helper()
	m.messaged, m.stepLines = map[ProxyID]bool{}, 0
	for _, command := range m.commands {
		switch command := command.(type) {
		case ClearTable:
			delete(m.tables, command.Table)
		case SetTableEntry:
			m.setTableEntry(command)
		case SetAdmission:
			m.checkRetryPolicy(command)
			m.countTableLines(command.Table)
		case BindTable:
			m.bindTable(command)
		case SetExclusion:
			m.setExclusion(command)
		case NotifyExclusions:
			m.notifyExclusions(command)
		case SetNonce:
			m.setNonce(command)
		}
	}
}

func (m *fleetModel) setTableEntry(command SetTableEntry) {
	entries := m.tables[command.Table]
	if entries == nil {
		entries = map[BackendID]float64{}
		m.tables[command.Table] = entries
	}
	if command.Weight == 0 {
		delete(entries, command.Backend)
	} else {
		entries[command.Backend] = command.Weight
	}
	m.countTableLines(command.Table)
}

func (m *fleetModel) bindTable(command BindTable) {
	m.t.Helper()
	if !m.joined[command.Proxy] {
		m.t.Fatalf("%.2f s: proxy %d is bound to a table but has left", m.now, command.Proxy)
	}
	m.bound[command.Proxy] = append(m.bound[command.Proxy], command.Table)
	m.messaged[command.Proxy], m.informed[command.Proxy] = true, true
	m.stepLines += 1 + len(m.tables[command.Table])
}

// setExclusion applies an exclusion or its withdrawal. It counts a line for each proxy whose table has the backend; an
// exclusion also costs a line for each proxy without a table that was informed of the earlier ones.
func (m *fleetModel) setExclusion(command SetExclusion) {
	m.excluded[command.Backend] = command.Excluded
	for table, entries := range m.tables {
		if _, ok := entries[command.Backend]; ok {
			m.countTableLines(table)
		}
	}
	for proxy, joined := range m.joined {
		if joined && m.informed[proxy] && len(m.bound[proxy]) == 0 && command.Excluded {
			m.countLine(proxy)
		}
	}
}

func (m *fleetModel) notifyExclusions(command NotifyExclusions) {
	m.informed[command.Proxy] = true
	for _, excluded := range m.excluded {
		if excluded {
			m.countLine(command.Proxy)
		}
	}
}

func (m *fleetModel) setNonce(command SetNonce) {
	for proxy := range m.messaged {
		m.unacked[proxy] = append(m.unacked[proxy], command.Nonce)
		m.sentAt[proxy] = append(m.sentAt[proxy], m.now)
		m.stepLines += messageOverheadLines
	}
	m.channelLines[command.Nonce] = m.stepLines
}

// countTableLines counts a line for each joined proxy that is bound to a table.
func (m *fleetModel) countTableLines(table TableID) {
	for proxy, tables := range m.bound {
		for _, bound := range tables {
			if bound == table && m.joined[proxy] {
				m.countLine(proxy)
			}
		}
	}
}

// countLine counts a line of this step's message to a proxy.
func (m *fleetModel) countLine(proxy ProxyID) {
	m.messaged[proxy] = true
	m.stepLines++
}
