package choice

// The rules that the model checks after each step.

const (
	maxExclusionDelay = 1.3 // seconds that an exclusion may be due before it is sent
	messageLimit      = 20  // messages that a proxy may get within messageSpan, as in testSettings
	messageSpan       = 10  // seconds
	// lateAckPart is the part of the time after which an acknowledgement counts as missing, from which on the model accepts
	// another push: the usual acknowledgement time moves within the step.
	lateAckPart = 0.7
)

// checkRules checks all rules but the one on pushes in flight.
func (m *fleetModel) checkRules() {
	m.t.Helper()
	for id, state := range m.listed {
		m.checkBackend(id, state)
	}
	anyUsable := m.anyUsableBackend()
	for proxy, joined := range m.joined {
		if joined {
			m.checkTablesNotEmpty(proxy, anyUsable)
			m.checkInformed(proxy)
			m.checkMessageLimit(proxy)
		}
	}
	m.checkChannelRoom()
}

// checkBackend checks that a backend that is not open is excluded, or is to be excluded soon.
func (m *fleetModel) checkBackend(backend BackendID, state BackendState) {
	m.t.Helper()
	slot, known := m.planner.indexOf[backend]
	if !known {
		m.checkForgotten(backend, state)
		return
	}
	due := m.planner.exclusionDue[slot]
	if state != BackendOpen && !m.excluded[backend] && due == 0 {
		m.t.Fatalf("%.2f: backend %d is not open but neither excluded nor due to be", m.now, backend)
	}
	if due > 0 && m.now-due > maxExclusionDelay {
		m.t.Fatalf("%.2f: the exclusion of backend %d has been due for %.2f s", m.now, backend, m.now-due)
	}
}

// checkForgotten checks that no table has an entry of a backend whose slot the planner released.
func (m *fleetModel) checkForgotten(id BackendID, state BackendState) {
	m.t.Helper()
	for table, entries := range m.tables {
		if state == BackendOpen || entries[id] > 0 {
			m.t.Fatalf("%.2f: the slot of backend %d is released while table %d has an entry of it", m.now, id, table)
		}
	}
	delete(m.listed, id)
}

// anyUsableBackend tells whether a backend is open and not excluded.
func (m *fleetModel) anyUsableBackend() bool {
	for id := range m.open {
		if !m.excluded[id] {
			return true
		}
	}
	return false
}

func (m *fleetModel) checkTablesNotEmpty(proxy ProxyID, anyUsable bool) {
	m.t.Helper()
	for _, table := range m.bound[proxy] {
		if anyUsable && !m.usable(table) {
			m.t.Fatalf("%.2f: table %d of proxy %d has no usable entry although a backend is open", m.now, table, proxy)
		}
	}
}

func (m *fleetModel) checkInformed(proxy ProxyID) {
	m.t.Helper()
	deadline := m.joinedAt[proxy] + m.planner.config.Settings.DrainGrace.Or(1)/2
	if len(m.excluded) > 0 && !m.informed[proxy] && m.now > deadline {
		m.t.Fatalf("%.2f: proxy %d joined at %.2f and is not informed of the exclusions", m.now, proxy, m.joinedAt[proxy])
	}
}

func (m *fleetModel) checkMessageLimit(proxy ProxyID) {
	m.t.Helper()
	recent := 0
	for _, sent := range m.sentAt[proxy] {
		if sent > m.now-messageSpan {
			recent++
		}
	}
	if recent > messageLimit {
		m.t.Fatalf("%.2f: proxy %d got %d messages in %d s", m.now, proxy, recent, messageSpan)
	}
}

func (m *fleetModel) checkChannelRoom() {
	m.t.Helper()
	total := 0
	for _, lines := range m.channelLines {
		total += lines
	}
	if float64(total) > m.planner.config.Settings.MaxChannelLines.Or(0) {
		m.t.Fatalf("%.2f: %d lines wait in the channel", m.now, total)
	}
}

// checkRetryPolicy checks that no retry policy repeats requests whose effect forbids it.
func (m *fleetModel) checkRetryPolicy(command SetAdmission) {
	m.t.Helper()
	unsafe := command.Methods&nonIdempotentMethod != 0 && command.Retry > RetryIfUnprocessed
	tooOften := command.Methods&tokenedMethod != 0 && command.Retry > RetryOnce
	if unsafe || tooOften {
		m.t.Fatalf("%.2f: forbidden retry policy %d for methods %b", m.now, command.Retry, command.Methods)
	}
}

// proxiesThatMustWait returns, before a step with these events, the proxies that have a push in flight and no reason for another.
func (m *fleetModel) proxiesThatMustWait(events []Event) map[ProxyID]bool {
	timeout := lateAckPart * ackTimeouts * m.planner.channel.usualAckTime
	waiting := map[ProxyID]bool{}
	for _, proxy := range m.planner.proxies {
		late := m.now > proxy.leavesChannelAt+timeout
		waiting[proxy.id] = proxy.inFlight && !late && !m.hasUnusableTable(proxy.id)
	}
	for _, event := range events {
		switch event := event.(type) {
		case PushAcknowledged:
			waiting[event.Proxy] = false
		case ProxyJoined:
			waiting[event.Proxy] = false
		}
	}
	return waiting
}

func (m *fleetModel) hasUnusableTable(proxy ProxyID) bool {
	for _, table := range m.bound[proxy] {
		if !m.usable(table) {
			return true
		}
	}
	return false
}

// checkPushesInFlight checks that a proxy with a push in flight was sent no ordinary one.
func (m *fleetModel) checkPushesInFlight(mustWait map[ProxyID]bool) {
	m.t.Helper()
	for proxy := range m.messaged {
		if mustWait[proxy] && !m.sentUrgentCommand() {
			m.t.Fatalf("%.2f: proxy %d is sent an ordinary push with one in flight", m.now, proxy)
		}
	}
}

// sentUrgentCommand tells whether the last step has a command that does not wait for acknowledgements: an exclusion, or an entry
// of a backend that is warming up.
func (m *fleetModel) sentUrgentCommand() bool {
	for _, command := range m.commands {
		switch command := command.(type) {
		case SetExclusion:
			return true
		case SetTableEntry:
			if slot := m.planner.indexOf[command.Backend]; m.planner.warmth[slot] < 1 {
				return true
			}
		}
	}
	return false
}
