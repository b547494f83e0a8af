package choice

import "testing"

// A zone with more proxies than backends takes more than its share only as far as that saves the price of crossings, however
// many coordinators there are: each of them sees a part of the proxies, and the zone is full for all.
func TestFullZoneOverflowsByThePriceOfCrossings(t *testing.T) {
	for name, test := range map[string]struct{ price, proxies, least, most float64 }{
		"free":                         {price: 0, proxies: 60, least: 0, most: 1.2},
		"cheap":                        {price: 0.01, proxies: 60, least: 0, most: 1.25},
		"cheap, many coordinators":     {price: 0.01, proxies: 1200, least: 0, most: 1.25},
		"expensive":                    {price: 0.12, proxies: 60, least: 1.3, most: 1.6},
		"expensive, many coordinators": {price: 0.12, proxies: 1200, least: 1.3, most: 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleetModel(t, map[string]any{
				"probes": false, "listing": "pushed", "proxies": test.proxies, "channel_room": 1e6, "price.crossing": test.price,
			})
			fleet.step(0, fullUpdate(40, 0))
			var reports []Event
			for proxy := range ProxyID(60) {
				zone := Zone("a")
				if proxy%4 == 0 {
					zone = "b"
				}
				fleet.step(0, ProxyJoined{Proxy: proxy, Zone: zone, Rate: 1})
				reports = append(reports, UsageReport{Proxy: proxy, Method: 0, RPCs: 1, Span: 1})
			}
			reports = append(reports, quickReports(40)...)
			fleet.repeat(30, reports)
			inZone, all := 0.0, 0.0
			for i, load := range fleet.planner.assignedLoad {
				all += load
				if fleet.planner.zone[i] == fleet.planner.zoneIndex["a"] {
					inZone += load
				}
			}
			if got := inZone / all * 2; got < test.least || got > test.most {
				t.Errorf("the fuller zone takes %.2f times its share, %v to %v wanted", got, test.least, test.most)
			}
		})
	}
}

// A zone that gets most of the requests overflows into the others, also where other coordinators' proxies are taken to add
// their part.
func TestFullZoneOverflows(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{"proxies": 48.0})
	fleet.step(0, fullUpdate(12, 0))
	for proxy := range ProxyID(12) {
		fleet.step(0.02, ProxyJoined{proxy, "a", 10, true})
	}
	fleet.acknowledgeAll()
	const fairLoad = 120.0 / 24 // 120 requests a second on a weight of 24
	for i, id := range fleet.planner.id {
		if load := fleet.planner.relativeLoad(i); load > 2.1*fairLoad {
			t.Fatalf("backend %d gets %.1f requests a second for each unit of weight", id, load)
		}
	}
}

// A cut between zones leaves a coordinator with the proxies of one zone. Those that left still load their own zone, so backends
// there must not look idle: else half of what is left would be sent across the cut.
func TestProxiesThatLeftLoadTheirZone(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 24.0}, 12, 12)
	for range 12 {
		fleet.reportUsageOfAll(12)
	}
	for proxy := range ProxyID(12) {
		if homeZone(int(proxy)) == "b" {
			fleet.step(0.02, ProxyLeft{proxy}, ProxyJoined{12 + proxy, "a", 10, true})
		}
	}
	for range 3 {
		fleet.reportUsageOfAll(12)
		fleet.acknowledgeAll()
	}
	across, all := fleet.weightAcrossZones()
	if across > 0.1*all {
		t.Fatalf("%.0f of %.0f weight is in another zone than the proxy", across, all)
	}
}

// reportUsageOfAll reports a second with quick answers, and the usage of every joined proxy.
func (m *fleetModel) reportUsageOfAll(backends int) {
	m.t.Helper()
	m.reportSecond(backends, 0.1, nil, nil)
	for proxy, joined := range m.joined {
		if joined {
			m.step(0.001, UsageReport{Proxy: proxy, RPCs: 10, Span: 1})
		}
	}
}

// weightAcrossZones adds up the weights of the entries whose backend is in another zone than the proxy, and of all.
func (m *fleetModel) weightAcrossZones() (across, all float64) {
	for proxy, joined := range m.joined {
		for _, table := range m.bound[proxy] {
			for id, weight := range m.tables[table] {
				all += weight
				if joined && m.open[id].Zone != m.zone[proxy] {
					across += weight
				}
			}
		}
	}
	return across, all
}

// In a storm of joins at a full-sized planner most of the time is left for other things than assignments, and yet each proxy
// that joins has a table soon.
func TestStormOfJoinsLeavesTime(t *testing.T) {
	const (
		proxies        = 2600
		joinsInStep    = 6
		stepInterval   = 0.004
		maxAssignments = 150 // in 500 steps
	)
	planner := New(testConfig(map[string]any{
		"proxies": float64(proxies), "channel_room": 1e7, "channel_pace": 1e7, "messages": 0.0,
	}))
	planner.Step(startTime, []Event{fullUpdate(200, 0)})
	assignments, lastAssigned, next := 0, planner.ring.assignedAt, 0
	waitingSince := map[ProxyID]Seconds{}
	for now := startTime; now < startTime+2; {
		now += stepInterval
		var joins []Event
		for ; len(joins) < joinsInStep && next < proxies; next++ {
			joins = append(joins, ProxyJoined{Proxy: ProxyID(next), Zone: homeZone(next), Rate: 2})
			waitingSince[ProxyID(next)] = now
		}
		for _, proxy := range boundProxies(planner.Step(now, joins)) {
			if since, first := waitingSince[proxy]; first && now-since > tickInterval {
				t.Fatalf("proxy %d waited %.2f s for its table", proxy, now-since)
			}
			delete(waitingSince, proxy)
		}
		if planner.ring.assignedAt != lastAssigned {
			assignments, lastAssigned = assignments+1, planner.ring.assignedAt
		}
	}
	if assignments > maxAssignments || len(waitingSince) > 0 {
		t.Errorf("%d assignments of all arcs in 500 steps, %d proxies without a table", assignments, len(waitingSince))
	}
}

// boundProxies returns the proxies that commands bind to a table.
func boundProxies(commands []Command) (proxies []ProxyID) {
	for _, command := range commands {
		if bind, ok := command.(BindTable); ok {
			proxies = append(proxies, bind.Proxy)
		}
	}
	return proxies
}

// A change of one backend touches its own arcs and few others, however many there are.
func TestChangeOfOneBackendTouchesFewTables(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 60.0, "channel_room": 1e6}, 100, 60)
	fleet.reportSecond(8, 0.1, nil, nil) // before the first report each join chooses the starts of all arcs anew
	fleet.acknowledgeAll()
	for _, state := range []BackendState{BackendDraining, BackendOpen} {
		touched, before := map[ProxyID]bool{}, fleet.tablesWith(backendID(7))
		fleet.step(0.1, stateUpdate(7, state))
		for range 8 {
			for proxy := range fleet.messaged {
				touched[proxy] = true
			}
			fleet.step(0.3)
		}
		if len(touched) > 12 {
			t.Fatalf("%d tables changed for a backend that %d had", len(touched), before)
		}
	}
}

// Each backend is in enough arcs also where one proxy has most of the usage and the arcs of the others are short.
func TestUnevenUsageLeavesNoBackendOut(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(60, 0))
	for proxy := range 6 {
		rate := 1.0
		if proxy == 0 {
			rate = 1000
		}
		fleet.step(0.02, ProxyJoined{ProxyID(proxy), homeZone(proxy), rate, true})
	}
	fleet.acknowledgeAll()
	for i, arcs := range fleet.planner.arcCount {
		if tables := fleet.tablesWith(fleet.planner.id[i]); arcs < minArcsPerBackend || tables < minArcsPerBackend {
			t.Errorf("backend %d is in %d arcs and %d tables, %d wanted", fleet.planner.id[i], arcs, tables, minArcsPerBackend)
		}
	}
}

// A method whose requests must stay in their zone has a table of its own with backends of that zone.
func TestOwnZoneMethods(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"method.1.own_zone": true}, 8, 2)
	for id := range fleet.tables[1] {
		if zone := fleet.open[id].Zone; zone != "a" {
			t.Fatalf("backend %d of zone %q is in the table of zone a", id, zone)
		}
	}
	if len(fleet.tables[1]) < minArcSize {
		t.Fatalf("the table of the method has the entries %v", fleet.tables[1])
	}
}

// A proxy that joins, leaves and joins again between two assignments of all arcs has its table on the last stream, and its usage
// is counted once.
func TestRejoinBetweenAssignments(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 60.0}, 8, 40)
	fleet.acknowledgeAll()
	fleet.step(0.3)
	round, before := fleet.planner.ring.assignmentRound, sum(fleet.planner.assignedLoad)
	join := ProxyJoined{Proxy: 50, Zone: "a", Rate: 2}
	fleet.step(0.01, join)
	fleet.step(0.01, ProxyLeft{50})
	fleet.step(0.01, join)
	if fleet.planner.ring.assignmentRound != round {
		t.Fatal("all arcs were assigned anew in between")
	}
	if len(fleet.bound[50]) == 0 {
		t.Error("the proxy has no table on its last stream")
	}
	if added := sum(fleet.planner.assignedLoad) - before; added < 1.8 || added > 2.2 {
		t.Errorf("its usage of 2 counts as %.2f", added)
	}
}

// A proxy that joins while all backends are ejected, or all are cold, still gets a table.
func TestJoinWhileNoBackendIsEligible(t *testing.T) {
	for name, makeIneligible := range map[string]func(fleet *fleetModel){
		"ejected": func(fleet *fleetModel) {
			for i := range fleet.planner.id {
				for zone := range fleet.planner.ejectedUntil[i] {
					fleet.planner.ejectedUntil[i][zone] = fleet.now + 60
				}
			}
		},
		"cold": func(fleet *fleetModel) { fleet.step(0.1, fullUpdate(8, fleet.now)) },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startedFleet(t, map[string]any{"proxies": 60.0}, 8, 40)
			fleet.acknowledgeAll()
			fleet.step(0.3)
			makeIneligible(fleet)
			fleet.step(0.01, ProxyJoined{Proxy: 50, Zone: "a", Rate: 2})
			if len(fleet.bound[50]) == 0 || !fleet.usable(fleet.bound[50][0]) {
				t.Error("the proxy has no usable table")
			}
		})
	}
}
