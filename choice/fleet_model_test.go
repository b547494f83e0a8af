package choice

import (
	"slices"
	"testing"
)

// fleetModel is a model of the proxies. It applies the planner's commands to the state of the proxies and checks the rules
// after each step.
type fleetModel struct {
	t            *testing.T
	planner      *Planner
	now          Seconds
	open         map[BackendID]Endpoint     // open backends, according to the endpoint updates so far
	listed       map[BackendID]BackendState // states of all backends that an update listed
	excluded     map[BackendID]bool
	tables       map[TableID]map[BackendID]float64 // weights of the entries
	bound        map[ProxyID][]TableID
	joined       map[ProxyID]bool
	joinedAt     map[ProxyID]Seconds
	zone         map[ProxyID]Zone
	informed     map[ProxyID]bool // proxies that were informed of all exclusions, by a table or by a list of exclusions
	unacked      map[ProxyID][]Nonce
	sentAt       map[ProxyID][]Seconds // times of the messages on the proxy's stream
	channelLines map[Nonce]int         // lines of each step that may still be in the channel

	// Of the last step:
	commands  []Command
	messaged  map[ProxyID]bool // proxies that were sent a message
	stepLines int              // lines of all messages
}

// newFleetModel returns a model without backends and proxies. Its settings are testSettings, changed by the overrides.
func newFleetModel(t *testing.T, overrides map[string]any) *fleetModel {
	t.Helper()
	return &fleetModel{
		t:            t,
		planner:      New(testConfig(overrides)),
		now:          startTime,
		open:         map[BackendID]Endpoint{},
		listed:       map[BackendID]BackendState{},
		excluded:     map[BackendID]bool{},
		tables:       map[TableID]map[BackendID]float64{},
		bound:        map[ProxyID][]TableID{},
		joined:       map[ProxyID]bool{},
		joinedAt:     map[ProxyID]Seconds{},
		zone:         map[ProxyID]Zone{},
		informed:     map[ProxyID]bool{},
		unacked:      map[ProxyID][]Nonce{},
		sentAt:       map[ProxyID][]Seconds{},
		channelLines: map[Nonce]int{},
	}
}

// startedFleet returns a model with warm backends and joined proxies.
func startedFleet(t *testing.T, overrides map[string]any, backends, proxies int) *fleetModel {
	t.Helper()
	fleet := newFleetModel(t, overrides)
	fleet.step(0, fullUpdate(backends, 0))
	fleet.join(proxies)
	return fleet
}

// step has the planner process events a while after the last step, applies its commands and checks the rules.
func (m *fleetModel) step(after Seconds, events ...Event) []Command {
	m.t.Helper()
	m.now += after
	for _, event := range events {
		m.applyEvent(event)
	}
	mustWait := m.proxiesThatMustWait(events)
	m.commands = m.planner.Step(m.now, events)
	m.applyCommands()
	m.checkRules()
	m.checkPushesInFlight(mustWait)
	return m.commands
}

func (m *fleetModel) applyEvent(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		m.applyUpdate(event)
	case ProxyJoined:
		m.joined[event.Proxy], m.zone[event.Proxy] = true, event.Zone
		m.bound[event.Proxy], m.unacked[event.Proxy], m.sentAt[event.Proxy] = nil, nil, nil
		m.informed[event.Proxy], m.joinedAt[event.Proxy] = false, m.now
	case ProxyLeft:
		m.joined[event.Proxy], m.bound[event.Proxy], m.unacked[event.Proxy] = false, nil, nil
	case PushAcknowledged:
		m.applyAcknowledgement(event)
	}
}

func (m *fleetModel) applyUpdate(update EndpointUpdate) {
	if update.Kind == UpdateFull || update.Kind == UpdateCached {
		for id := range m.listed {
			delete(m.open, id)
			m.listed[id] = BackendGone
		}
	}
	for _, endpoint := range update.Endpoints {
		m.listed[endpoint.Backend] = endpoint.State
		delete(m.open, endpoint.Backend)
		if endpoint.State == BackendOpen {
			m.open[endpoint.Backend] = endpoint
		}
	}
}

// applyAcknowledgement ends the oldest push in flight to a proxy. The lines of earlier steps have left the channel then.
func (m *fleetModel) applyAcknowledgement(ack PushAcknowledged) {
	unacked := m.unacked[ack.Proxy]
	if len(unacked) == 0 || unacked[0] != ack.Nonce {
		return
	}
	m.unacked[ack.Proxy] = unacked[1:]
	for nonce := range m.channelLines {
		age := (ack.Nonce - nonce + NonceSpace) % NonceSpace
		if age < NonceSpace/2 && nonce != ack.Nonce {
			delete(m.channelLines, nonce)
		}
	}
}

// usable reports whether a table has an entry of a backend that is not excluded.
func (m *fleetModel) usable(table TableID) bool {
	for id := range m.tables[table] {
		if !m.excluded[id] {
			return true
		}
	}
	return false
}

// tablesWith returns the number of tables that have an entry of a backend.
func (m *fleetModel) tablesWith(id BackendID) (count int) {
	for _, entries := range m.tables {
		if entries[id] > 0 {
			count++
		}
	}
	return count
}

// join has the proxies join one after the other.
func (m *fleetModel) join(proxies int) {
	m.t.Helper()
	for proxy := range proxies {
		m.step(0.02, ProxyJoined{ProxyID(proxy), homeZone(proxy), 10, true})
	}
}

// joinTogether has the proxies from first to end-1 join in one step, after other events of that step.
func (m *fleetModel) joinTogether(after Seconds, first, end int, others ...Event) {
	m.t.Helper()
	events := slices.Clone(others)
	for proxy := first; proxy < end; proxy++ {
		events = append(events, ProxyJoined{Proxy: ProxyID(proxy), Zone: homeZone(proxy), Rate: 2})
	}
	m.step(after, events...)
}

// acknowledgeAll acknowledges pushes for 12 s, long enough for the planner to send all changes that wait.
func (m *fleetModel) acknowledgeAll() {
	m.t.Helper()
	m.acknowledge(40)
}

// acknowledge acknowledges the oldest push in flight to each proxy, once in each round. A round takes 0.3 s.
func (m *fleetModel) acknowledge(rounds int) {
	m.t.Helper()
	for range rounds {
		var acks []Event
		for proxy := range ProxyID(len(m.joined)) {
			if unacked := m.unacked[proxy]; len(unacked) > 0 {
				acks = append(acks, PushAcknowledged{proxy, unacked[0], 0.2})
			}
		}
		m.step(0.3, acks...)
	}
}

// restartFirst lists the first of eight backends as restarted under its id, and returns its endpoint.
func (m *fleetModel) restartFirst() Endpoint {
	m.t.Helper()
	restarted := fullUpdate(8, 0).Endpoints[0]
	restarted.StartedAt = m.now
	m.step(0.1, deltaUpdate(restarted))
	return restarted
}

// reportSecond reports a second in which the backends responded with the given latency. At the backends in failing, that share
// of the attempts failed. There are no reports on silent backends.
func (m *fleetModel) reportSecond(backends int, latency Seconds, failing map[BackendID]float64, silent map[BackendID]bool) {
	m.t.Helper()
	const attempts = 6
	var reports []Event
	for i := range backends {
		id := backendID(i)
		if silent[id] {
			continue
		}
		failures := int(attempts * failing[id])
		for _, zone := range []Zone{"a", "b"} {
			reports = append(reports, AttemptReport{
				Backend: id, Zone: zone, Attempts: attempts, Failures: failures, MeanLatency: latency, Span: 1,
			})
		}
	}
	for proxy := range ProxyID(6) {
		if m.joined[proxy] {
			reports = append(reports, UsageReport{Proxy: proxy, RPCs: 10, Span: 1}, UsageReport{Proxy: proxy, Method: 1, RPCs: 10, Span: 1})
		}
	}
	m.step(1, reports...)
}

// repeat takes steps with the same events, a second apart.
func (m *fleetModel) repeat(steps int, events []Event) {
	m.t.Helper()
	for range steps {
		m.step(1, events...)
	}
}
