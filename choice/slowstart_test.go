package choice

import (
	"slices"
	"testing"
)

// The weight of a backend that restarts in place is reduced at once, by a push that does not wait for acknowledgements.
func TestRestartInPlaceReducesTheWeight(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	restarted := fleet.restartFirst()
	for table, entries := range fleet.tables {
		if entries[restarted.Backend] > 0.2*2+1e-9 {
			t.Fatalf("table %d gives a cold backend a weight of %v", table, entries[restarted.Backend])
		}
	}
}

// A cold backend stays out of the arcs during an overload, or while nothing shows that there is none: the proxies would move to
// it from all backends that reject.
func TestColdBackendWaitsForCalm(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"strikes": 3.0}, 8, 6)
	fleet.restartFirst()
	fleet.step(0.5)
	if fleet.tablesWith(backendID(0)) > 0 {
		t.Fatal("a cold backend is in tables before any report shows calm")
	}
	fleet.acknowledgeAll()
	if fleet.tablesWith(backendID(0)) == 0 {
		t.Fatal("a warm backend is in no table")
	}
}

// Where a table entry sees few requests, a cold backend is used at once, against a release that overloads the backends it
// leaves; not so where reports show many backends that proxies avoid after failures, for then requests move all the same.
func TestColdBackendIsUsedWhereNoRequestsMove(t *testing.T) {
	for name, test := range map[string]struct {
		failing float64
		used    bool
	}{
		"no failures":   {failing: 0, used: true},
		"many failures": {failing: 1, used: false},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startedFleet(t, map[string]any{"strikes": 50.0}, 8, 6)
			failing := map[BackendID]float64{}
			for i := 1; i <= 4; i++ {
				failing[backendID(i)] = test.failing
			}
			fleet.reportSecond(8, 0.1, failing, nil)
			fleet.step(1)
			fleet.restartFirst()
			if tables := fleet.tablesWith(backendID(0)); (tables > 0) != test.used {
				t.Fatalf("the cold backend is in %d tables, used %v wanted", tables, test.used)
			}
		})
	}
}

// A cold backend that is listed in a known overload, between two evaluations of it, must not be let in by what the last
// evaluation before the overload gave.
func TestColdBackendListedInAnOverloadStaysOut(t *testing.T) {
	// With this many strikes few requests to an entry would be a reason to use it, but not in an overload.
	fleet := startedFleet(t, map[string]any{"strikes": 50.0}, 8, 6)
	for range 8 {
		fleet.reportSecond(8, 1.5, nil, nil)
	}
	fleet.restartFirst()
	fleet.step(0.1)
	if tables := fleet.tablesWith(backendID(0)); !fleet.planner.admission.overloaded || tables > 0 {
		t.Fatalf("overloaded %v, the cold backend is in %d tables", fleet.planner.admission.overloaded, tables)
	}
}

// A backend that was unreachable warms up as a cold one, but by the endpoint list it is warm: as the only one it must not be
// excluded, or its proxies have no backend. A search over random days found this (seed 110727).
func TestSoleBackendReachableAgainStays(t *testing.T) {
	fleet, _ := usualLoadFleet(t)
	fleet.planner.returnedAt[0] = fleet.now
	fleet.planner.admission.nextEvaluation = fleet.now + 10 // late reports of the others do not raise the best rate meanwhile
	sole := Endpoint{Backend: 1, State: BackendOpen, Zone: "a", Weight: 1}
	fleet.step(1.1, EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{sole}})
	if fleet.planner.warmupFactor[0] >= 1 || fleet.excluded[1] {
		t.Fatalf("warmth %v, excluded %v", fleet.planner.warmupFactor[0], fleet.excluded[1])
	}
}

// An endpoint list that shrinks to one cold backend: it is excluded while the load would make it fail, and restored once it is
// warm. With warm ones beside it, or little usage, it stays in use. A search over random days found this.
func TestSoleColdBackendIsExcluded(t *testing.T) {
	for name, test := range map[string]struct {
		cold     int // backends
		warm     bool
		rate     float64
		excluded bool
	}{
		"alone":           {cold: 1, rate: 20, excluded: true},
		"with a warm one": {cold: 1, warm: true, rate: 20},
		"little usage":    {cold: 1, rate: 0.2},
		"all cold":        {cold: 8, rate: 20},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, _ := usualLoadFleet(t)
			update := restartUpdate(test.cold, fleet.now)
			if test.warm {
				update.Endpoints = append(update.Endpoints, Endpoint{Backend: 8, State: BackendOpen, Zone: "a", Weight: 1})
			}
			for _, proxy := range fleet.planner.proxies {
				proxy.usage[0] = test.rate
			}
			fleet.step(1.1, update)
			anyExcluded := slices.ContainsFunc(update.Endpoints[:test.cold], func(endpoint Endpoint) bool {
				return fleet.excluded[endpoint.Backend]
			})
			if anyExcluded != test.excluded {
				t.Errorf("excluded %v, %v wanted", anyExcluded, test.excluded)
			}
			for range 60 {
				fleet.step(0.25)
			}
			if fleet.excluded[1] {
				t.Error("the backend is warm and still excluded")
			}
		})
	}
}

// restartUpdate lists the first backends of usualLoadFleet alone, as restarted.
func restartUpdate(backends int, startedAt Seconds) EndpointUpdate {
	update := EndpointUpdate{Kind: UpdateFull}
	for i := range BackendID(backends) {
		restarted := Endpoint{Backend: i + 1, State: BackendOpen, Zone: "a", Weight: 1, StartedAt: startedAt}
		update.Endpoints = append(update.Endpoints, restarted)
	}
	return update
}

// A zone that returns cold as a whole must not get beyond its share what arcs keep in their zone: the proxies of that zone
// would bring each cold backend up to 1.5 times its share. Found on an emulated fleet (incident 01), where rule 4 broke.
func TestColdZoneTakesItsShareOnly(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{
		"probes": false, "listing": "pushed", "proxies": 120.0, "channel_room": 1e6, "price.crossing": 0.12,
	})
	fleet.step(0, fullUpdate(80, 0))
	var reports []Event
	for proxy := range ProxyID(120) {
		fleet.step(0, ProxyJoined{Proxy: proxy, Zone: homeZone(int(proxy)), Rate: 1})
		reports = append(reports, UsageReport{Proxy: proxy, Method: 0, RPCs: 1, Span: 1})
	}
	reports = append(reports, quickReports(80)...)
	fleet.repeat(20, reports)
	if factor := fleet.planner.admission.loadFactor; factor < 1.45 {
		t.Fatalf("with quick answers a backend may take %v of its share", factor)
	}
	restarted := fullUpdate(80, 0)
	for i := range restarted.Endpoints {
		if homeZone(i) == "b" {
			restarted.Endpoints[i].StartedAt = fleet.now
		}
	}
	fleet.step(0.1, restarted)
	cold, warm := 0.0, 0.0
	for i, load := range fleet.planner.assignedLoad {
		if warmth := fleet.planner.warmupFactor[i]; warmth < 1 {
			cold += load / warmth
		} else {
			warm += load
		}
	}
	if cold == 0 || cold > 2*warm { // 1.6 as it is, 2.5 without the lower fair share of cold backends
		t.Errorf("relative to their capacity cold backends take %.2f times the load of warm ones", cold/warm)
	}
}

// In an overload cold backends stay in use where proxies send too few requests to a backend to avoid it after failures, while
// there is capacity; not where proxies avoid backends, nor where the load would make cold ones fail.
func TestColdBackendsInAnOverload(t *testing.T) {
	for name, test := range map[string]struct {
		proxies  int
		arrivals float64 // requests a second
		strikes  float64
		stayOut  bool
	}{
		"few requests to an entry":  {proxies: 200, arrivals: 70, strikes: 5},
		"too much load":             {proxies: 200, arrivals: 260, strikes: 5, stayOut: true},
		"proxies avoid backends":    {proxies: 200, arrivals: 70, strikes: 0.1, stayOut: true},
		"many requests to an entry": {proxies: 2, arrivals: 70, strikes: 5, stayOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleetModel(t, map[string]any{
				"probes": false, "listing": "pushed", "strikes": test.strikes, "pick": "pair", "proxies": float64(test.proxies),
			})
			fleet.step(0, fullUpdate(8, 0))
			for proxy := range ProxyID(test.proxies) {
				fleet.step(0, ProxyJoined{Proxy: proxy, Zone: homeZone(int(proxy)), Rate: 1})
			}
			admission := fleet.planner.admission
			admission.overloaded, admission.overloadedAt, admission.firstReportAt = true, fleet.now, fleet.now-100
			admission.peakSuccessRatePerWeight, admission.relativeLatency = 10, 0.5
			admission.arrivalRates[0] = test.arrivals
			fleet.now += 10
			fleet.planner.now = fleet.now
			if warmth := fleet.planner.requiredWarmupFactor(0); (warmth > 0) != test.stayOut {
				t.Errorf("cold backends need a warmth of %v", warmth)
			}
		})
	}
}
