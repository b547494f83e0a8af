package choice

import "testing"

// A zone that has a larger share of the proxies than of the backends takes more than its share of the load only as far as the
// cross-zone price justifies. This holds for any number of coordinators: each of them sees only some of the proxies, but a zone
// that is full is full for all of them.
func TestFullZoneOverflowsDependingOnCrossZonePrice(t *testing.T) {
	for name, test := range map[string]struct{ price, proxies, minRatio, maxRatio float64 }{
		"free":                         {price: 0, proxies: 60, minRatio: 0, maxRatio: 1.2},
		"cheap":                        {price: 0.01, proxies: 60, minRatio: 0, maxRatio: 1.25},
		"cheap, many coordinators":     {price: 0.01, proxies: 1200, minRatio: 0, maxRatio: 1.25},
		"expensive":                    {price: 0.12, proxies: 60, minRatio: 1.3, maxRatio: 1.6},
		"expensive, many coordinators": {price: 0.12, proxies: 1200, minRatio: 1.3, maxRatio: 1.6},
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
			reports = append(reports, lowLatencyReports(40)...)
			fleet.repeat(30, reports)
			inZone, all := 0.0, 0.0
			for i, load := range fleet.planner.assignedLoad {
				all += load
				if fleet.planner.zone[i] == fleet.planner.zoneIndex["a"] {
					inZone += load
				}
			}
			if ratio := inZone / all * 2; ratio < test.minRatio || ratio > test.maxRatio {
				t.Errorf("the zone with more proxies takes %.2f times its share of the load, %v to %v wanted",
					ratio, test.minRatio, test.maxRatio)
			}
		})
	}
}

// Load of a zone that gets most of the requests overflows into the other zones, also if the proxies of other coordinators are
// assumed to add to the load.
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
			t.Fatalf("backend %d gets %.1f requests a second per unit of weight, at most 2.1 times the fair %.1f wanted", id, load, fairLoad)
		}
	}
}

// A network failure between zones leaves a coordinator with the proxies of one zone. The proxies that left still send requests
// to their own zone, so the backends of that zone must not look idle. Otherwise half of the remaining load would be sent
// across the failed connection.
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
	crossZone, all := fleet.weightAcrossZones()
	if crossZone > 0.1*all {
		t.Fatalf("%.0f of a total weight of %.0f is in another zone than the proxy, at most a tenth wanted", crossZone, all)
	}
}

// reportUsageOfAll reports a second with low latency at the backends, and the usage of every joined proxy.
func (m *fleetModel) reportUsageOfAll(backends int) {
	m.t.Helper()
	m.reportSecond(backends, 0.1, nil, nil)
	for proxy, joined := range m.joined {
		if joined {
			m.step(0.001, UsageReport{Proxy: proxy, RPCs: 10, Span: 1})
		}
	}
}

// weightAcrossZones returns the total weight of the table entries whose backend is in another zone than the proxy, and that of
// all entries.
func (m *fleetModel) weightAcrossZones() (crossZone, all float64) {
	for proxy, joined := range m.joined {
		for _, table := range m.bound[proxy] {
			for id, weight := range m.tables[table] {
				all += weight
				if joined && m.open[id].Zone != m.zone[proxy] {
					crossZone += weight
				}
			}
		}
	}
	return crossZone, all
}

// When all proxies of a large fleet join at once, the planner must not reassign all arcs so often that no time is left for
// other work, and yet each proxy must get its table within a tick interval.
func TestStormOfJoinsLeavesTime(t *testing.T) {
	const (
		proxies        = 2600
		joinsInStep    = 6
		stepInterval   = 0.004
		maxAssignments = 150 // of all arcs, in 500 steps
	)
	planner := New(testConfig(map[string]any{
		"proxies": float64(proxies), "channel_room": 1e7, "channel_pace": 1e7, "messages": 0.0,
	}))
	planner.Step(startTime, []Event{fullUpdate(200, 0)})
	assignments, lastAssigned, nextProxy := 0, planner.ring.assignedAt, 0
	waitingSince := map[ProxyID]Seconds{}
	for now := startTime; now < startTime+2; {
		now += stepInterval
		var joins []Event
		for ; len(joins) < joinsInStep && nextProxy < proxies; nextProxy++ {
			joins = append(joins, ProxyJoined{Proxy: ProxyID(nextProxy), Zone: homeZone(nextProxy), Rate: 2})
			waitingSince[ProxyID(nextProxy)] = now
		}
		for _, proxy := range boundProxies(planner.Step(now, joins)) {
			if since, waiting := waitingSince[proxy]; waiting && now-since > tickInterval {
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

// boundProxies returns the proxies that are bound to a table by the commands.
func boundProxies(commands []Command) (proxies []ProxyID) {
	for _, command := range commands {
		if bind, ok := command.(BindTable); ok {
			proxies = append(proxies, bind.Proxy)
		}
	}
	return proxies
}

// A change of one backend changes the tables that have it and few others, however many tables there are.
func TestChangeOfOneBackendChangesFewTables(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 60.0, "channel_room": 1e6}, 100, 60)
	fleet.reportSecond(8, 0.1, nil, nil) // until the first report each join makes the planner choose new start points for all arcs
	fleet.acknowledgeAll()
	for _, state := range []BackendState{BackendDraining, BackendOpen} {
		changed, tablesBefore := map[ProxyID]bool{}, fleet.tablesWith(backendID(7))
		fleet.step(0.1, stateUpdate(7, state))
		for range 8 {
			for proxy := range fleet.messaged {
				changed[proxy] = true
			}
			fleet.step(0.3)
		}
		if len(changed) > 12 {
			t.Fatalf("%d proxies were sent changes after a change of a backend that is in %d tables", len(changed), tablesBefore)
		}
	}
}

// Each backend is in at least minArcsPerBackend arcs even if one proxy has most of the usage, so that the arcs of the others
// are short.
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
			t.Errorf("backend %d is in %d arcs and %d tables, at least %d wanted", fleet.planner.id[i], arcs, tables, minArcsPerBackend)
		}
	}
}

// Methods whose requests must stay in the proxy's zone have a table of their own, which has only backends of that zone.
func TestOwnZoneMethods(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"method.1.own_zone": true}, 8, 2)
	for id := range fleet.tables[1] {
		if zone := fleet.open[id].Zone; zone != "a" {
			t.Fatalf("backend %d of zone %q is in the zone-local table of a proxy in zone a", id, zone)
		}
	}
	if len(fleet.tables[1]) < minArcSize {
		t.Fatalf("the zone-local table has the entries %v, at least %d wanted", fleet.tables[1], minArcSize)
	}
}

// A proxy that joins, leaves and joins again between two assignments of all arcs has a table on its newest stream, and its
// usage is counted once.
func TestRejoinBetweenAssignments(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"proxies": 60.0}, 8, 40)
	fleet.acknowledgeAll()
	fleet.step(0.3)
	round, loadBefore := fleet.planner.ring.assignmentRound, sum(fleet.planner.assignedLoad)
	join := ProxyJoined{Proxy: 50, Zone: "a", Rate: 2}
	fleet.step(0.01, join)
	fleet.step(0.01, ProxyLeft{50})
	fleet.step(0.01, join)
	if fleet.planner.ring.assignmentRound != round {
		t.Fatal("all arcs were reassigned in between")
	}
	if len(fleet.bound[50]) == 0 {
		t.Error("the proxy has no table on its newest stream")
	}
	if added := sum(fleet.planner.assignedLoad) - loadBefore; added < 1.8 || added > 2.2 {
		t.Errorf("the proxy's usage of 2 requests a second counts as %.2f", added)
	}
}

// A proxy that joins while all backends are ejected or all are cold still gets a table with a usable entry.
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
