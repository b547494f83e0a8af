package choice

import (
	"slices"
	"testing"
)

func TestJoinBindsTheWholeTableInOneMessage(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	commands := fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if countCommands[BindTable](commands) != 1 || countCommands[SetNonce](commands) != 1 || len(fleet.tables[0]) < minArcSize {
		t.Fatalf("a join gave %v", commands)
	}
}

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
		t.Fatalf("the nonce did not acknowledge the push: %+v", proxy)
	}
	fleet.step(0.01, ProxyLeft{0})
	fleet.step(0.01, ProxyJoined{0, "a", 10, false})
	fleet.step(0.01, PushAcknowledged{0, nonce, 0.1})
	if !proxy.pushInFlight {
		t.Fatal("a nonce of the last stream ended the push of this one")
	}
}

func TestNoncesWrapAround(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.planner.channel.nonce = NonceSpace - 1
	fleet.step(0, fullUpdate(8, 0))
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if nonce := fleet.planner.channel.nonce; nonce != 0 {
		t.Fatalf("nonce %d follows the last one, 0 wanted", nonce)
	}
}

// A slow channel must not cause pushes to be sent again; an acknowledgement that is missing after the push left the channel must.
func TestMissingAcknowledgementBringsTheWholeTable(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	fleet.step(0.1, ProxyJoined{0, "a", 10, true})
	if commands := fleet.step(0.5); countCommands[BindTable](commands) != 0 {
		t.Fatalf("sent again too soon: %v", commands)
	}
	if commands := fleet.step(2); countCommands[BindTable](commands) != 1 {
		t.Fatalf("not sent again: %v", commands)
	}
}

// An endpoint list that changes all the time, or all proxies joining at once, stays inside the limits that the model checks.
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

// An endpoint list that follows the load gives a cold backend less weight once requests come to it. That is no restart, and
// the push of it can wait: an urgent push with each such update would exceed the message limit.
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

	// The backend warms up for 3 s, and restarts after the tables hold that.
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
		t.Error("the push of a restart waits")
	}
}

// holdOrdinaryPushes has the planner wait for an acknowledgement from every proxy, so that all that can wait does.
func (m *fleetModel) holdOrdinaryPushes() {
	for _, proxy := range m.planner.proxies {
		proxy.pushInFlight, proxy.leavesChannelAt = true, m.now+1e6
	}
}

// However often backends restart, urgent pushes leave room within the message limit for exclusions.
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
		if n := len(slices.DeleteFunc(slices.Clone(sent), old)); n > limit-1 {
			t.Errorf("proxy %d was sent %d messages within %d s, where %d are allowed and one is for an exclusion",
				proxy, n, messageSpan, limit)
		}
	}
}

// A rate for a proxy with little usage leaves room for its bursts.
func TestRatesLeaveRoomForBursts(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"level_kind": "rate"}, 8, 1)
	proxy := fleet.planner.proxies[0]
	proxy.admittedShares, proxy.usage = []float64{0.5, 0.5, 1}, []float64{1, 100, 1}
	little, much, all := proxy.admissionLevel(0), proxy.admissionLevel(1), proxy.admissionLevel(2)
	if little < 0.8 || much > 60 || all != 1 {
		t.Fatalf("admission levels %v %v %v", little, much, all)
	}
}
