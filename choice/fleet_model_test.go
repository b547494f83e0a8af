package choice

import (
	"slices"
	"testing"
)

// fleetModel is a model of the proxies: it applies the planner's commands to what the proxies hold and checks the rules after
// every step.
type fleetModel struct {
	t            *testing.T
	planner      *Planner
	now          Seconds
	open         map[BackendID]Endpoint     // the open backends by the latest endpoint update
	listed       map[BackendID]BackendState // the states of all backends that an update named
	excluded     map[BackendID]bool
	tables       map[TableID]map[BackendID]float64 // the weights of the entries
	bound        map[ProxyID][]TableID
	joined       map[ProxyID]bool
	joinedAt     map[ProxyID]Seconds
	zone         map[ProxyID]Zone
	informed     map[ProxyID]bool // of all exclusions, by a table or by a list
	unacked      map[ProxyID][]Nonce
	sentAt       map[ProxyID][]Seconds // the times of the messages on the proxy's stream
	channelLines map[Nonce]int         // the lines of each step that are still in the channel

	// These are of the last step.
	commands  []Command
	messaged  map[ProxyID]bool
	stepLines int
}

// newFleetModel returns a model with testSettings, changed by the overrides, without backends and proxies.
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

// startedFleet returns a model of some backends and some proxies, which have all joined.
func startedFleet(t *testing.T, overrides map[string]any, backends, proxies int) *fleetModel {
	t.Helper()
	fleet := newFleetModel(t, overrides)
	fleet.step(0, fullUpdate(backends, 0))
	fleet.join(proxies)
	return fleet
}

// step hands the planner the events of one moment, applies its commands and checks the rules.
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

// applyAcknowledgement ends the oldest push in flight. What was sent before that push has left the channel.
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

// usable tells whether a table has an entry of a backend that is not excluded.
func (m *fleetModel) usable(table TableID) bool {
	for id := range m.tables[table] {
		if !m.excluded[id] {
			return true
		}
	}
	return false
}

// tablesWith counts the tables that have an entry of a backend.
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

// joinTogether has the proxies from first to last-1 join in one step, beside other events.
func (m *fleetModel) joinTogether(after Seconds, first, last int, beside ...Event) {
	m.t.Helper()
	events := slices.Clone(beside)
	for proxy := first; proxy < last; proxy++ {
		events = append(events, ProxyJoined{Proxy: ProxyID(proxy), Zone: homeZone(proxy), Rate: 2})
	}
	m.step(after, events...)
}

// acknowledgeAll acknowledges the pushes in flight for as many rounds as the planner may need to send all that waits.
func (m *fleetModel) acknowledgeAll() {
	m.t.Helper()
	m.acknowledge(40)
}

// acknowledge acknowledges the oldest push of each proxy in every round, which takes 0.3 s.
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

// restartFirst lists the first of eight backends as restarted in place, and returns its endpoint.
func (m *fleetModel) restartFirst() Endpoint {
	m.t.Helper()
	restarted := fullUpdate(8, 0).Endpoints[0]
	restarted.StartedAt = m.now
	m.step(0.1, deltaUpdate(restarted))
	return restarted
}

// reportSecond reports a second in which the backends answered with this latency, but for the share of the attempts that failed
// at some. The attempts at silent backends are not reported.
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

// repeat takes steps of a second with the same events.
func (m *fleetModel) repeat(steps int, events []Event) {
	m.t.Helper()
	for range steps {
		m.step(1, events...)
	}
}
