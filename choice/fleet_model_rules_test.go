package choice

import "slices"

// This file has the rules that the model checks after each step.

const (
	maxExclusionDelay = 1.3 // seconds for which an exclusion may be due before it is sent
	messageLimit      = 20  // messages that a proxy may get within messageSpan, as in testSettings
	messageSpan       = 10  // seconds
	// lateAckShare is the share of the acknowledgement timeout after which the model accepts that a push is sent again. It is
	// less than 1 because the mean acknowledgement time, on which the timeout depends, changes within a step.
	lateAckShare = 0.7
)

// checkRules checks all rules except that of checkPushesInFlight.
func (m *fleetModel) checkRules() {
	m.t.Helper()
	for id, state := range m.listed {
		m.checkBackend(id, state)
	}
	m.checkDelivered()
	for proxy, joined := range m.joined {
		if joined {
			m.checkTablesNotEmpty(proxy)
			m.checkInformed(proxy)
			m.checkMessageLimit(proxy)
		}
	}
	m.checkChannelRoom()
}

// checkBackend checks that a backend that is not open is excluded, or that its exclusion has been due for at most
// maxExclusionDelay.
func (m *fleetModel) checkBackend(backend BackendID, state BackendState) {
	m.t.Helper()
	slot, known := m.planner.indexOf[backend]
	if !known {
		m.checkReleased(backend, state)
		return
	}
	due := m.planner.exclusionDueSince[slot]
	if state != BackendOpen && !m.excluded[backend] && due == 0 {
		m.t.Fatalf("%.2f s: backend %d is not open, but is neither excluded nor due for exclusion", m.now, backend)
	}
	if due > 0 && m.now-due > maxExclusionDelay {
		m.t.Fatalf("%.2f s: the exclusion of backend %d has been due for %.2f s, at most %.1f s wanted", m.now, backend, m.now-due, maxExclusionDelay)
	}
}

// checkReleased checks that a backend whose slot the planner released is not open and in no table.
func (m *fleetModel) checkReleased(id BackendID, state BackendState) {
	m.t.Helper()
	for table, entries := range m.tables {
		if state == BackendOpen || entries[id] > 0 {
			m.t.Fatalf("%.2f s: the slot of backend %d is released although the backend is open or has an entry in table %d", m.now, id, table)
		}
	}
	delete(m.listed, id)
}

// anyUsableFor reports whether any backend that a table of a proxy may have is open and not excluded.
func (m *fleetModel) anyUsableFor(proxy ProxyID, table TableID) bool {
	for id, endpoint := range m.open {
		inReach := !zoneLocal(table) || endpoint.Zone == m.zone[proxy]
		if inReach && !m.excluded[id] {
			return true
		}
	}
	return false
}

// checkTablesNotEmpty checks that each table of a proxy has a usable entry if a backend that it may have is usable.
func (m *fleetModel) checkTablesNotEmpty(proxy ProxyID) {
	m.t.Helper()
	for _, table := range m.bound[proxy] {
		if !m.usable(table) && m.anyUsableFor(proxy, table) {
			m.t.Fatalf("%.2f s: table %d of proxy %d has no usable entry although a backend is usable", m.now, table, proxy)
		}
	}
}

// checkDelivered checks that the changes of the last step reach the proxies: that each table that it changed is bound.
func (m *fleetModel) checkDelivered() {
	m.t.Helper()
	for _, command := range m.commands {
		switch command := command.(type) {
		case SetTableEntry:
			m.checkBound(command.Table)
		case SetAdmission:
			m.checkBound(command.Table)
		}
	}
}

// checkBound checks that a table is bound at its proxy.
func (m *fleetModel) checkBound(table TableID) {
	m.t.Helper()
	if owner := tableOwner(table); !slices.Contains(m.bound[owner], table) {
		m.t.Fatalf("%.2f s: the change of table %d reaches nobody, because the table is not bound at proxy %d", m.now, table, owner)
	}
}

// checkInformed checks that a proxy learns of the present exclusions within half of the drain grace after its join.
func (m *fleetModel) checkInformed(proxy ProxyID) {
	m.t.Helper()
	deadline := m.joinedAt[proxy] + m.planner.config.Settings.DrainGrace.Or(1)/2
	if len(m.excluded) > 0 && !m.informed[proxy] && m.now > deadline {
		m.t.Fatalf("%.2f s: proxy %d joined at %.2f and is not informed of the exclusions", m.now, proxy, m.joinedAt[proxy])
	}
}

// checkMessageLimit checks that a proxy got at most messageLimit messages within messageSpan.
func (m *fleetModel) checkMessageLimit(proxy ProxyID) {
	m.t.Helper()
	recentMessages := 0
	for _, sent := range m.sentAt[proxy] {
		if sent > m.now-messageSpan {
			recentMessages++
		}
	}
	if recentMessages > messageLimit {
		m.t.Fatalf("%.2f s: proxy %d was sent %d messages in %d s, at most %d wanted", m.now, proxy, recentMessages, messageSpan, messageLimit)
	}
}

// checkChannelRoom checks that the lines in the channel stay within the limit of the settings.
func (m *fleetModel) checkChannelRoom() {
	m.t.Helper()
	total := 0
	for _, lines := range m.channelLines {
		total += lines
	}
	if float64(total) > m.planner.config.Settings.MaxChannelLines.Or(0) {
		m.t.Fatalf("%.2f s: %d lines wait in the channel, which is over the limit of the settings", m.now, total)
	}
}

// checkRetryPolicy checks that a retry policy suits the methods that it is for: requests of a non-idempotent method may be
// retried only if they were not processed, and those of a tokened method at most once.
func (m *fleetModel) checkRetryPolicy(command SetAdmission) {
	m.t.Helper()
	unsafeRetry := command.Methods&nonIdempotentMethod != 0 && command.Retry > RetryIfUnprocessed
	tooOften := command.Methods&tokenedMethod != 0 && command.Retry > RetryOnce
	if unsafeRetry || tooOften {
		m.t.Fatalf("%.2f s: forbidden retry policy %d for methods %b", m.now, command.Retry, command.Methods)
	}
}

// proxiesThatMustWait returns the proxies to which the planner must not send an ordinary push in a step with these events. They
// have a push in flight whose acknowledgement is not late, and a usable entry in each table, and neither join nor acknowledge a
// push in the step. It has to be called before the step.
func (m *fleetModel) proxiesThatMustWait(events []Event) map[ProxyID]bool {
	timeout := lateAckShare * ackTimeoutFactor * m.planner.channel.meanAckTime
	waiting := map[ProxyID]bool{}
	for _, proxy := range m.planner.proxies {
		ackLate := m.now > proxy.leavesChannelAt+timeout
		waiting[proxy.id] = proxy.pushInFlight && !ackLate && !m.hasUnusableTable(proxy.id)
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

// hasUnusableTable reports whether a table of a proxy has no usable entry.
func (m *fleetModel) hasUnusableTable(proxy ProxyID) bool {
	for _, table := range m.bound[proxy] {
		if !m.usable(table) {
			return true
		}
	}
	return false
}

// checkPushesInFlight checks that the last step sent no ordinary push to a proxy that must wait.
func (m *fleetModel) checkPushesInFlight(mustWait map[ProxyID]bool) {
	m.t.Helper()
	for proxy := range m.messaged {
		if mustWait[proxy] && !m.sentUrgentCommand() {
			m.t.Fatalf("%.2f s: proxy %d is sent an ordinary push while another is in flight", m.now, proxy)
		}
	}
}

// sentUrgentCommand reports whether the last step has a command that does not wait for acknowledgements: an exclusion, or a
// table entry of a cold backend.
func (m *fleetModel) sentUrgentCommand() bool {
	for _, command := range m.commands {
		switch command := command.(type) {
		case SetExclusion:
			return true
		case SetTableEntry:
			if slot := m.planner.indexOf[command.Backend]; m.planner.warmupFactor[slot] < 1 {
				return true
			}
		}
	}
	return false
}
