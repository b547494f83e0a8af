package choice

import (
	"slices"
	"testing"
)

// If all backends of a table begin to drain, their exclusions and replacement entries are sent at once.
func TestExclusionIsUrgentAndBringsReplacements(t *testing.T) {
	fleet := startedFleet(t, nil, 16, 6)
	fleet.acknowledgeAll()
	fleet.step(0.1, deltaUpdate(Endpoint{Backend: 9, State: BackendOpen, Zone: "a", Weight: 2}))
	update := EndpointUpdate{Kind: UpdateDelta}
	for id := range fleet.tables[0] {
		endpoint := Endpoint{Backend: id, State: BackendDraining, Zone: fleet.open[id].Zone, Weight: 2}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	commands := fleet.step(0.05, update)
	if countCommands[SetExclusion](commands) != len(update.Endpoints) || countCommands[SetTableEntry](commands) == 0 {
		t.Fatalf("commands for the drain of all backends of a table: %v, %d exclusions and some table entries wanted", commands, len(update.Endpoints))
	}
}

// If a proxy is near its message limit, exclusions are held back for part of the drain grace and sent together.
func TestExclusionsAreHeldBackNearTheMessageLimit(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	fleet.acknowledgeAll()
	recentMessages := int(ordinaryPushShare * fleet.planner.settings.MessageLimit)
	fleet.planner.proxies[0].messagesSentAt = slices.Repeat([]Seconds{fleet.now}, recentMessages)
	for number := range 3 {
		commands := fleet.step(0.1, stateUpdate(number, BackendDraining))
		if countCommands[SetExclusion](commands) > 0 {
			t.Fatalf("the exclusion of backend %d is not held back: %v", backendID(number), commands)
		}
	}
	// The first exclusion has now waited for more than the hold time, half of what the push times leave of the drain grace of
	// 2 s.
	commands := fleet.step(0.5)
	if excluded := countCommands[SetExclusion](commands); excluded != 3 {
		t.Fatalf("%d exclusions are sent together, 3 wanted", excluded)
	}
}

// Proxies that join in the same step in which a backend begins to drain get tables without it, and the exclusion is sent at
// once.
func TestJoinsAndADrainInOneStep(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 60.0}, 8, 40)
	fleet.acknowledgeAll()
	fleet.joinTogether(0.1, 40, 43, stateUpdate(3, BackendDraining))
	if !fleet.excluded[backendID(3)] {
		t.Error("the exclusion of the draining backend is not sent at once")
	}
	for proxy := ProxyID(40); proxy < 43; proxy++ {
		if len(fleet.bound[proxy]) == 0 {
			t.Fatalf("proxy %d has no table", proxy)
		}
		for _, table := range fleet.bound[proxy] {
			if fleet.tables[table][backendID(3)] > 0 {
				t.Errorf("the table of proxy %d has the draining backend", proxy)
			}
		}
	}
}

// A backend drains while hundreds of proxies wait for room in the channel for their first table. The exclusion is sent before
// those tables, the channel stays within its limit, and all proxies have a table in the end.
func TestExclusionWhileProxiesWaitForTables(t *testing.T) {
	const proxies = 900
	fleet := newFleetModel(t, map[string]any{
		"proxies": float64(proxies), "channel_room": 21600.0, "channel_pace": 21600.0, "messages": 0.0,
	})
	fleet.step(0, fullUpdate(40, 0))
	fleet.joinTogether(0.01, 0, proxies)
	waiting := 0
	for proxy := range ProxyID(proxies) {
		if len(fleet.bound[proxy]) == 0 {
			waiting++
		}
	}
	if waiting < 100 || waiting > 800 {
		t.Fatalf("%d proxies wait for their table, 100 to 800 wanted", waiting)
	}
	fleet.step(0.01, stateUpdate(3, BackendDraining))
	if !fleet.excluded[backendID(3)] {
		t.Error("the exclusion is not sent at once")
	}
	fleet.acknowledgeAll()
	for proxy := range ProxyID(proxies) {
		if len(fleet.bound[proxy]) == 0 {
			t.Fatalf("proxy %d has no table", proxy)
		}
	}
}

// Without room in the channel the planner sends neither tables nor lists of exclusions. Once there is room, all proxies get
// tables.
func TestJoinsWithoutRoomInTheChannel(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{"proxies": 60.0, "channel_room": 800.0, "messages": 0.0})
	fleet.step(0, fullUpdate(40, 0))
	fleet.step(0.01, stateUpdate(0, BackendDraining))
	fleet.fillChannel(790)
	fleet.joinTogether(0.01, 0, 10)
	fleet.step(0.6)
	if len(fleet.messaged) > 0 || fleet.informed[0] || fleet.informed[9] {
		t.Errorf("%d proxies were sent messages although the channel has no room", len(fleet.messaged))
	}
	fleet.planner.channel.unacked = nil
	fleet.acknowledgeAll()
	for proxy := range ProxyID(10) {
		if len(fleet.bound[proxy]) == 0 {
			t.Errorf("proxy %d has no table", proxy)
		}
	}
}

// First tables use only a small part of the channel's room, so that the queue stays short when many proxies join at once. A
// proxy that waits for more than a part of the drain grace gets its table as soon as an ordinary push would have room.
func TestLateFirstTablesUseMoreRoom(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{"proxies": 60.0, "channel_room": 1000.0, "messages": 0.0})
	fleet.step(0, fullUpdate(40, 0))
	for number := range 12 {
		fleet.step(0.01, stateUpdate(number, BackendDraining))
	}
	fleet.fillChannel(400)
	fleet.joinTogether(0.01, 0, 5)
	if len(fleet.messaged) > 0 {
		t.Fatal("a first table uses more than firstTableShare of the channel's room")
	}
	fleet.step(0.7)
	for proxy := range ProxyID(5) {
		if len(fleet.bound[proxy]) == 0 {
			t.Errorf("proxy %d has no table", proxy)
		}
	}
}

// If all backends are excluded, a proxy that joins gets no table. It is notified of all exclusions at once if the channel has
// room, and then of each further one.
func TestExclusionsWhereThereIsNoTable(t *testing.T) {
	for queuedLines, hasRoom := range map[int]bool{0: true, 950: false} {
		fleet := newFleetModel(t, map[string]any{"proxies": 60.0, "channel_room": 1000.0, "messages": 0.0})
		fleet.step(0, fullUpdate(12, 0))
		for number := range 12 {
			fleet.step(0.01, stateUpdate(number, BackendDraining))
		}
		fleet.fillChannel(queuedLines)
		fleet.joinTogether(0.01, 0, 1)
		if fleet.informed[0] != hasRoom {
			t.Errorf("with %d lines in the channel: notified %v, %v wanted", queuedLines, fleet.informed[0], hasRoom)
		}
		if !hasRoom {
			continue
		}
		linesBefore := fleet.planner.channel.unackedLines()
		endpoint := Endpoint{Backend: 9, State: BackendDraining, Zone: "a", Weight: 2}
		fleet.step(0.01, deltaUpdate(endpoint))
		if added := fleet.planner.channel.unackedLines() - linesBefore; !fleet.messaged[0] || added != 12 {
			t.Errorf("a further exclusion is sent %v and adds %d lines to the channel, 12 wanted", fleet.messaged[0], added)
		}
	}
}

// fillChannel adds a step with unacknowledged lines to the planner's account of the channel.
func (m *fleetModel) fillChannel(lines int) {
	channel := m.planner.channel
	channel.unacked = append(channel.unacked, unackedStep{nonce: 1, sentAt: m.now, lines: lines})
}
