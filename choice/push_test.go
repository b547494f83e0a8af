package choice

import (
	"slices"
	"testing"
)

// A proxy that joins is sent a whole table and its nonce in one step.
func TestJoinBindsTheWholeTableInOneMessage(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	commands := fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if countCommands[BindTable](commands) != 1 || countCommands[SetNonce](commands) != 1 || len(fleet.tables[0]) < minArcSize {
		t.Fatalf("commands for a join: %v, one binding of a table with at least %d entries and one nonce wanted", commands, minArcSize)
	}
}

// Only the nonce of the push in flight acknowledges it, not an unknown one or one of an earlier stream.
func TestStaleNoncesAreIgnored(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	proxy := fleet.planner.proxies[0]
	nonce := proxy.pushNonce
	fleet.step(0.01, PushAcknowledged{0, nonce + 1, 0.1}, PushAcknowledged{0, nonce + 9, 0.1})
	if !proxy.pushInFlight {
		t.Fatal("an unknown nonce ended the push in flight")
	}
	fleet.step(0.01, PushAcknowledged{0, nonce, 0.1})
	if proxy.pushInFlight || proxy.pushNonce != nonce {
		t.Fatalf("the nonce %d did not acknowledge the push: %+v", nonce, proxy)
	}
	fleet.step(0.01, ProxyLeft{0})
	fleet.step(0.01, ProxyJoined{0, "a", 10, false})
	fleet.step(0.01, PushAcknowledged{0, nonce, 0.1})
	if !proxy.pushInFlight {
		t.Fatal("a nonce of the earlier stream acknowledged the push on the present one")
	}
}

func TestNoncesWrapAround(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.planner.channel.nonce = NonceSpace - 1
	fleet.step(0, fullUpdate(8, 0))
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if nonce := fleet.planner.channel.nonce; nonce != 0 {
		t.Fatalf("nonce %d follows the highest one, 0 wanted", nonce)
	}
}

// If an acknowledgement is still missing some time after the push must have left the channel, the whole table is sent again.
// It is not sent again earlier, because the push may wait in a slow channel.
func TestMissingAcknowledgementBringsTheWholeTable(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if commands := fleet.step(0.5); countCommands[BindTable](commands) != 0 {
		t.Fatalf("the table is sent again too early: %v", commands)
	}
	if commands := fleet.step(2); countCommands[BindTable](commands) != 1 {
		t.Fatalf("the table is not sent again: %v", commands)
	}
}

// The planner stays within the limits that the model checks when all proxies join one shortly after the other, even with little
// room in the channel, and when the endpoint list changes all the time.
func TestLimitsHold(t *testing.T) {
	startedFleet(t, map[string]any{"channel_room": 100.0}, 8, 6)
	fleet := startedFleet(t, nil, 8, 6)
	for i := range 60 {
		events := []Event{deltaUpdate(Endpoint{Backend: BackendID(5 + i), State: BackendOpen, Zone: "a", Weight: 2})}
		for proxy := range ProxyID(6) {
			for _, nonce := range fleet.unacked[proxy] {
				events = append(events, PushAcknowledged{proxy, nonce, 0.2})
			}
		}
		fleet.step(0.3, events...)
	}
}

// Some endpoint lists lower the weight of a cold backend once it gets requests. This is not a restart, and its push can wait:
// an urgent push for each such update would exceed the message limit.
func TestLowerWeightOfAColdBackendCanWait(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"messages": 16.0, "level_kind": "none"}, 8, 4)
	endpoint := fleet.restartFirst()
	fleet.holdOrdinaryPushes()
	for k := range 12 {
		endpoint.Weight = 2 / float64(2+k)
		commands := fleet.step(0.05, deltaUpdate(endpoint))
		if countCommands[SetTableEntry](commands) > 0 {
			t.Fatalf("a weight of %v is sent at once: %v", endpoint.Weight, commands)
		}
	}

	// The backend warms up for 3 s. After the tables were updated accordingly, it restarts, which is urgent.
	endpoint.StartedAt = fleet.now + 0.05
	fleet.now += 3
	fleet.step(0)
	for _, proxy := range fleet.planner.proxies {
		proxy.pushInFlight = false
		fleet.planner.markDirty(proxy)
	}
	fleet.step(0.01)
	fleet.holdOrdinaryPushes()
	endpoint.StartedAt = fleet.now
	if commands := fleet.step(0.01, deltaUpdate(endpoint)); countCommands[SetTableEntry](commands) == 0 {
		t.Error("a restart is not sent at once")
	}
}

// holdOrdinaryPushes makes the planner wait for an acknowledgement from each proxy, so that it sends only urgent pushes.
func (m *fleetModel) holdOrdinaryPushes() {
	for _, proxy := range m.planner.proxies {
		proxy.pushInFlight, proxy.leavesChannelAt = true, m.now+1e6
	}
}

// However often backends restart, their urgent pushes leave room for an exclusion within the message limit.
func TestUrgentPushesKeepTheMessageLimit(t *testing.T) {
	const limit = 16
	fleet := startedFleet(t, map[string]any{"messages": float64(limit), "level_kind": "none", "warm_after": 0.4}, 8, 4)
	fleet.acknowledgeAll()
	for k := range 60 {
		endpoint := fullUpdate(8, 0).Endpoints[k%8]
		endpoint.StartedAt = fleet.now
		fleet.step(0.1, deltaUpdate(endpoint))
	}
	for proxy, sent := range fleet.sentAt {
		old := func(at Seconds) bool { return at < fleet.now-messageSpan }
		if recent := len(slices.DeleteFunc(slices.Clone(sent), old)); recent > limit-1 {
			t.Errorf("proxy %d was sent %d messages within %d s, at most %d less one for an exclusion wanted",
				proxy, recent, messageSpan, limit)
		}
	}
}

// If admission levels are rates, the level of a method with little usage has a margin for bursts.
func TestRatesLeaveRoomForBursts(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"level_kind": "rate"}, 8, 1)
	proxy := fleet.planner.proxies[0]
	proxy.admittedShares, proxy.usage = []float64{0.5, 0.5, 1}, []float64{1, 100, 1}
	lowUsage, highUsage, unlimited := proxy.admissionLevel(0), proxy.admissionLevel(1), proxy.admissionLevel(2)
	if lowUsage < 0.8 || highUsage > 60 || unlimited != 1 {
		t.Fatalf("admission levels with low usage %v, with high usage %v, without a limit %v", lowUsage, highUsage, unlimited)
	}
}

// A table that had no entry when the proxy joined is sent whole with its first entries, also if the proxy's other table was sent
// before. Guards against the failure of review case 1: the entries were counted as sent but reached nobody, and the proxy
// refused all requests of the methods that must stay in its zone.
func TestLateFirstTableIsBound(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{"method.1.own_zone": true})
	for number := range 8 {
		if homeZone(number) == "a" {
			fleet.step(0, stateUpdate(number, BackendGone))
		} else {
			fleet.step(0, stateUpdate(number, BackendOpen))
		}
	}
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	fleet.acknowledgeAll()
	if bound := fleet.bound[0]; len(bound) != 1 || zoneLocal(bound[0]) {
		t.Fatalf("the tables %v are bound while the proxy's zone has no backend, only the one for all zones wanted", bound)
	}
	fleet.step(0.1, fullUpdate(8, 0))
	local := slices.IndexFunc(fleet.bound[0], zoneLocal)
	if local < 0 || !fleet.usable(fleet.bound[0][local]) {
		t.Fatalf("the tables %v are bound once the zone has backends, a usable zone-local one among them wanted", fleet.bound[0])
	}
	fleet.acknowledgeAll()
	if commands := fleet.step(0.1, stateUpdate(0, BackendDraining)); countCommands[BindTable](commands) != 0 {
		t.Errorf("a later change sends a whole table again: %v", commands)
	}
}

// If the zone of hundreds of proxies gets its first backends, the first tables for the methods that must stay in it are spread
// over some time, so that the channel stays within its limit, which the model checks after each step.
func TestLateFirstTablesKeepTheLineLimit(t *testing.T) {
	const proxies = 400
	fleet := newFleetModel(t, map[string]any{
		"method.1.own_zone": true, "proxies": float64(proxies), "channel_room": 4000.0, "channel_pace": 4000.0, "messages": 0.0,
	})
	outage := fullUpdate(16, 0)
	outage.Endpoints = slices.DeleteFunc(outage.Endpoints, func(endpoint Endpoint) bool { return endpoint.Zone == "a" })
	fleet.step(0, outage)
	fleet.joinTogether(0.01, 0, proxies)
	fleet.acknowledgeAll()
	fleet.step(0.1, fullUpdate(16, 0))
	fleet.acknowledgeAll()
	for proxy := range ProxyID(proxies) {
		if !slices.ContainsFunc(fleet.bound[proxy], zoneLocal) {
			t.Fatalf("proxy %d has no table for the methods that must stay in its zone", proxy)
		}
	}
}
