package choice

import (
	"slices"
	"testing"
)

// The weight of a backend that restarts under its id is reduced at once, by a push that does not wait for acknowledgements.
func TestRestartInPlaceReducesTheWeight(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	restarted := fleet.restartFirst()
	for table, entries := range fleet.tables {
		if entries[restarted.Backend] > 0.2*2+1e-9 {
			t.Fatalf("table %d gives a cold backend a weight of %v", table, entries[restarted.Backend])
		}
	}
}

// A cold backend stays out of the arcs in an overload, and as long as no reports show that there is none. In an overload, the
// proxies would move their requests from all backends that reject them to the cold one.
func TestColdBackendWaitsUntilOverloadIsUnlikely(t *testing.T) {
	fleet := startedFleet(t, map[string]any{"strikes": 3.0}, 8, 6)
	fleet.restartFirst()
	fleet.step(0.5)
	if fleet.tablesWith(backendID(0)) > 0 {
		t.Fatal("a cold backend is in tables before any report shows that there is no overload")
	}
	fleet.acknowledgeAll()
	if fleet.tablesWith(backendID(0)) == 0 {
		t.Fatal("a warm backend is in no table")
	}
}

// If table entries get few requests, a cold backend is used at once, so that a deployment does not overload the remaining
// backends. It is not used if the reports show that proxies avoid many backends after failures, because requests then move to
// it in any case.
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
				t.Fatalf("the cold backend is in %d tables, in use %v wanted", tables, test.used)
			}
		})
	}
}

// A cold backend that is first listed as such during a detected overload, between two evaluations of the load, must not get
// into the arcs because of the result of an evaluation from before the overload.
func TestColdBackendListedInAnOverloadStaysOut(t *testing.T) {
	// With this many failures before proxies avoid a backend, the low rate of an entry would let the backend in, if there were
	// no overload.
	fleet := startedFleet(t, map[string]any{"strikes": 50.0}, 8, 6)
	for range 8 {
		fleet.reportSecond(8, 1.5, nil, nil)
	}
	fleet.restartFirst()
	fleet.step(0.1)
	if tables := fleet.tablesWith(backendID(0)); !fleet.planner.admission.overloaded || tables > 0 {
		t.Fatalf("overloaded %v, the cold backend is in %d tables; an overload and no table wanted", fleet.planner.admission.overloaded, tables)
	}
}

// A backend that was unreachable returns with slow start, but according to the endpoint list it is warm. If it is the only
// one, it must not be excluded, because its proxies would have no backend. A search over random scenarios found this (seed
// 110727).
func TestSoleBackendReachableAgainStays(t *testing.T) {
	fleet, _ := usualLoadFleet(t)
	fleet.planner.returnedAt[0] = fleet.now
	// Without an evaluation, late reports on the other backends do not raise the peak success rate.
	fleet.planner.admission.nextEvaluation = fleet.now + 10
	sole := Endpoint{Backend: 1, State: BackendOpen, Zone: "a", Weight: 1}
	fleet.step(1.1, EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{sole}})
	if fleet.planner.warmupFactor[0] >= 1 || fleet.excluded[1] {
		t.Fatalf("warm-up factor %v, excluded %v; slow start and no exclusion wanted", fleet.planner.warmupFactor[0], fleet.excluded[1])
	}
}

// The endpoint list shrinks to one cold backend: the backend is excluded as long as the load would make it collapse, and
// restored once it is warm. With a warm backend beside it, with little usage, or with a whole fleet of cold backends, none is
// excluded. A search over random scenarios found this.
func TestSoleColdBackendIsExcluded(t *testing.T) {
	for name, test := range map[string]struct {
		cold     int     // number of cold backends in the list
		warm     bool    // the list also has a warm backend
		rate     float64 // usage of each proxy, in requests a second
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
				clear(proxy.usage) // the rate given at the join, of methods that were not reported on since
				proxy.usage[0] = test.rate
			}
			fleet.step(1.1, update)
			anyExcluded := slices.ContainsFunc(update.Endpoints[:test.cold], func(endpoint Endpoint) bool {
				return fleet.excluded[endpoint.Backend]
			})
			if anyExcluded != test.excluded {
				t.Errorf("any cold backend excluded %v, %v wanted", anyExcluded, test.excluded)
			}
			for range 60 {
				fleet.step(0.25)
			}
			if fleet.excluded[1] {
				t.Error("the backend is warm but still excluded")
			}
		})
	}
}

// restartUpdate returns an update to a list that has only the first backends of usualLoadFleet, as restarted.
func restartUpdate(backends int, startedAt Seconds) EndpointUpdate {
	update := EndpointUpdate{Kind: UpdateFull}
	for i := range BackendID(backends) {
		restarted := Endpoint{Backend: i + 1, State: BackendOpen, Zone: "a", Weight: 1, StartedAt: startedAt}
		update.Endpoints = append(update.Endpoints, restarted)
	}
	return update
}

// If all backends of a zone return cold, they must not get the load above their share that arcs otherwise keep in their zone:
// the proxies of that zone would bring each cold backend up to 1.5 times its share. Found on an emulated fleet (incident 01),
// where rule 4 of package invariant, that no cold backend collapses, was violated.
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
	reports = append(reports, lowLatencyReports(80)...)
	fleet.repeat(20, reports)
	if loadFactor := fleet.planner.admission.loadFactor; loadFactor < 1.45 {
		t.Fatalf("at low latency the load factor is %v, at least 1.45 wanted", loadFactor)
	}
	restarted := fullUpdate(80, 0)
	for i := range restarted.Endpoints {
		if homeZone(i) == "b" {
			restarted.Endpoints[i].StartedAt = fleet.now
		}
	}
	fleet.step(0.1, restarted)
	coldLoad, warmLoad := 0.0, 0.0 // load relative to capacity
	for i, load := range fleet.planner.assignedLoad {
		if warmupFactor := fleet.planner.warmupFactor[i]; warmupFactor < 1 {
			coldLoad += load / warmupFactor
		} else {
			warmLoad += load
		}
	}
	if coldLoad == 0 || coldLoad > 2*warmLoad { // the ratio is 1.6, and 2.5 without the lower share of cold backends
		t.Errorf("relative to their capacity cold backends take %.2f times the load of warm ones", coldLoad/warmLoad)
	}
}

// In an overload cold backends stay in use if each proxy sends a backend too few requests to avoid it after failures. They are
// not used if proxies avoid backends, or if the load would make cold ones collapse.
func TestColdBackendsInAnOverload(t *testing.T) {
	for name, test := range map[string]struct {
		proxies            int
		arrivalRate        float64 // requests a second
		avoidAfterFailures float64
		stayOut            bool
	}{
		"few requests per table entry":  {proxies: 200, arrivalRate: 70, avoidAfterFailures: 5},
		"too much load":                 {proxies: 200, arrivalRate: 260, avoidAfterFailures: 5, stayOut: true},
		"proxies avoid backends":        {proxies: 200, arrivalRate: 70, avoidAfterFailures: 0.1, stayOut: true},
		"many requests per table entry": {proxies: 2, arrivalRate: 70, avoidAfterFailures: 5, stayOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleetModel(t, map[string]any{
				"probes": false, "listing": "pushed", "strikes": test.avoidAfterFailures, "pick": "pair", "proxies": float64(test.proxies),
			})
			fleet.step(0, fullUpdate(8, 0))
			for proxy := range ProxyID(test.proxies) {
				fleet.step(0, ProxyJoined{Proxy: proxy, Zone: homeZone(int(proxy)), Rate: 1})
			}
			admission := fleet.planner.admission
			admission.overloaded, admission.overloadedAt, admission.firstReportAt = true, fleet.now, fleet.now-100
			admission.peakSuccessRatePerWeight, admission.relativeLatency = 10, 0.5
			admission.arrivalRates[0] = test.arrivalRate
			fleet.now += 10
			fleet.planner.now = fleet.now
			if required := fleet.planner.requiredWarmupFactor(0); (required > 0) != test.stayOut {
				t.Errorf("the required warm-up factor is %v, above 0 %v wanted", required, test.stayOut)
			}
		})
	}
}
