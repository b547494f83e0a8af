package choice

import "testing"

// A backend that aborts most requests is ejected, and returns to the tables afterwards.
func TestAbortingBackendIsEjectedAndReturns(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	fleet.acknowledgeAll()
	fleet.reportSecond(8, 0.1, nil, nil) // establishes the peak success rate
	for range 4 {
		fleet.reportSecond(8, 0.1, map[BackendID]float64{backendID(0): 0.7}, nil)
		fleet.acknowledgeAll()
	}
	// acknowledgeAll takes longer than the first ejection, so the ejection may have ended; it must still be counted.
	if fleet.planner.consecutiveEjections[0][0] == 0 {
		t.Fatal("an aborting backend was not ejected")
	}
	fleet.acknowledgeAll()
	if fleet.tablesWith(backendID(0)) == 0 {
		t.Fatal("the ejected backend did not return to the tables")
	}
}

// An ejected backend is removed from all tables, and returns to them after the ejection.
func TestEjectedBackendLeavesTheArcs(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	fleet.acknowledgeAll()
	fleet.reportSecond(8, 0.1, nil, nil) // establishes the peak success rate
	ejected := func() bool {
		until := fleet.planner.ejectedUntil[fleet.planner.indexOf[backendID(0)]]
		return until[0] > fleet.now && until[1] > fleet.now
	}
	for second := 0; !ejected(); second++ {
		if second == 5 {
			t.Fatal("an aborting backend was not ejected for both zones")
		}
		fleet.reportSecond(8, 0.1, map[BackendID]float64{backendID(0): 1}, nil)
	}
	fleet.acknowledge(3)
	if tables := fleet.tablesWith(backendID(0)); !ejected() || tables > 0 {
		t.Fatalf("ejected %v, and in %d tables; ejected and in no table wanted", ejected(), tables)
	}
	fleet.acknowledgeAll()
	if tables := fleet.tablesWith(backendID(0)); ejected() || tables == 0 {
		t.Fatalf("ejected %v, and in %d tables after the ejection; not ejected and in some table wanted", ejected(), tables)
	}
}

// A backend that aborts all requests from the planner's start on is ejected although the planner has not yet measured the peak
// success rate.
func TestAbortingBackendIsEjectedAfterTheStart(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 6)
	for range 2 { // usage reports cover two seconds, and attempt reports show fewer requests than arrived
		for proxy := range ProxyID(6) {
			fleet.step(0.01, UsageReport{Proxy: proxy, RPCs: 60, Span: 2})
		}
		fleet.step(1.3)
		fleet.reportSecond(8, 0.1, map[BackendID]float64{backendID(0): 1}, nil)
	}
	until := fleet.planner.ejectedUntil[fleet.planner.indexOf[backendID(0)]]
	if until[0] <= fleet.now || until[1] <= fleet.now {
		t.Fatalf("the backend is not ejected for both zones: ejected until %v, now %.1f", until, fleet.now)
	}
}

// A backend that fails intermittently is ejected for longer each time: a short time without failures does not reset its count
// of ejections, only a longer one does.
func TestOnlyALongSuccessResetsEjections(t *testing.T) {
	fleet := newFleetModel(t, nil)
	fleet.step(0, fullUpdate(8, 0))
	fleet.planner.ejectedUntil[0][0], fleet.planner.consecutiveEjections[0][0] = fleet.now+1, 2
	for range 5 {
		fleet.reportSecond(8, 0.1, nil, nil)
	}
	if fleet.planner.consecutiveEjections[0][0] != 2 {
		t.Fatal("a short time without failures reset the count of ejections")
	}
	for range 20 {
		fleet.reportSecond(8, 0.1, nil, nil)
	}
	if fleet.planner.consecutiveEjections[0][0] != 0 {
		t.Fatal("a long time without failures did not reset the count of ejections")
	}
}

// A backend that responds neither to requests nor to probes leaves the arcs. Missing reports alone only cause probes.
func TestUnreachableBackendLeavesTheArcs(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 6)
	fleet.acknowledgeAll()
	probes := 0
	for range 6 {
		fleet.reportSecond(8, 0.1, nil, map[BackendID]bool{backendID(0): true})
		probes += countCommands[ProbeBackend](fleet.commands)
	}
	if probes == 0 || fleet.planner.unreachable(0) {
		t.Fatalf("without reports: %d probes, unreachable %v; some probes and reachable wanted", probes, fleet.planner.unreachable(0))
	}
	fleet.step(0.1, ProbeResult{Backend: backendID(0)})
	fleet.step(0.1, ProbeResult{Backend: backendID(0)})
	fleet.acknowledgeAll()
	if !fleet.planner.unreachable(0) || fleet.tablesWith(backendID(0)) > 0 {
		t.Fatal("after two failed probes the backend is not unreachable, or is still in tables")
	}
	fleet.step(0.1, ProbeResult{Backend: backendID(0), OK: true})
	fleet.acknowledgeAll()
	if fleet.tablesWith(backendID(0)) == 0 {
		t.Fatal("a backend that is reachable again is in no table")
	}
}

// A backend whose latency is high while that of the others is not gets a lower latency factor, so that fewer arcs include it.
func TestSlowBackendGetsLowerLatencyFactor(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 6)
	for range 20 {
		fleet.reportSecond(8, 0.1, nil, nil)
		fleet.step(0.01, AttemptReport{Backend: backendID(0), Zone: "a", Attempts: 40, MeanLatency: 0.9, Span: 1})
	}
	if factors := fleet.planner.latencyFactor; factors[0] >= 1 || factors[1] < 1 {
		t.Fatalf("latency factors %v: that of backend 0 below 1 and that of backend 1 at 1 wanted", factors)
	}
}
