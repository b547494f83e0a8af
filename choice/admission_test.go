package choice

import (
	"slices"
	"testing"
)

// The settings may limit a method's retries below what its effect permits, but never raise them above that.
func TestSettingsLimitRetryPolicy(t *testing.T) {
	for retryLimit, want := range map[string][]RetryPolicy{
		"":       {RetryIfUnprocessed, RetryIfUnprocessed, RetryOnce},
		"free":   {RetryIfUnprocessed, RetryIfUnprocessed, RetryOnce},
		"proven": {RetryIfUnprocessed, RetryIfUnprocessed, RetryIfUnprocessed},
		"once":   {RetryNever, RetryIfUnprocessed, RetryNever},
	} {
		t.Run(retryLimit, func(t *testing.T) {
			planner := New(testConfig(map[string]any{"method.0.most_tries": retryLimit, "method.2.most_tries": retryLimit}))
			if got := planner.admission.normalRetry; !slices.Equal(got, want) {
				t.Errorf("retry policies %v, %v wanted", got, want)
			}
		})
	}
}

// If most backends fail requests at the same time, the fleet is overloaded: no backend is ejected, and a smaller share of the
// requests is admitted, the smallest for the methods of the lowest criticality.
func TestOverloadShedsLoadAndEjectsNoBackend(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	failing := map[BackendID]float64{}
	for i := range 8 {
		failing[backendID(i)] = 0.6
	}
	for range 10 {
		fleet.reportSecond(8, 1.5, failing, nil)
	}
	admission := fleet.planner.admission
	if !admission.overloaded || admission.admittedShares[0] >= 1 || admission.admittedShares[0] > admission.admittedShares[1] {
		t.Fatalf("overloaded %v, admitted shares %v; an overload with a share below 1 for method 0, and no lower one for method 1, wanted",
			admission.overloaded, admission.admittedShares)
	}
	for i, id := range fleet.planner.id {
		if fleet.planner.ejectedUntil[i][0] > fleet.now {
			t.Fatalf("backend %d is ejected in an overload", id)
		}
	}
	for range 40 {
		fleet.reportSecond(8, 0.1, nil, nil)
	}
	if admission.admittedShares[0] < 1 {
		t.Fatalf("admitted shares after the overload: %v, 1 for method 0 wanted", admission.admittedShares)
	}
}

// If half of the backends fail requests while the others respond with low latency, the fleet is not overloaded, and no load is
// shed.
func TestFailingGroupIsNoOverload(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	failing := map[BackendID]float64{backendID(0): 0.7, backendID(1): 0.7, backendID(2): 0.7, backendID(3): 0.7}
	for range 10 {
		fleet.reportSecond(8, 0.1, failing, nil)
	}
	if admission := fleet.planner.admission; admission.overloaded || admission.admittedShares[0] < 1 {
		t.Fatalf("overloaded %v, admitted shares %v; no overload and shares of 1 wanted", admission.overloaded, admission.admittedShares)
	}
}

// A stream that ends is a sign of a network failure or a crash that no report shows yet: an overload no longer counts as
// unlikely then.
func TestLostStreamClearsOverloadUnlikely(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 2)
	for range 12 {
		fleet.reportSecond(8, 0.1, nil, nil)
	}
	before := fleet.planner.admission.overloadUnlikely
	fleet.step(0.1, ProxyLeft{1})
	fleet.reportSecond(8, 0.1, nil, nil)
	if !before || fleet.planner.admission.overloadUnlikely {
		t.Fatalf("overload unlikely before the stream ended: %v, after: %v; true and false wanted", before, fleet.planner.admission.overloadUnlikely)
	}
}

// Reports that arrive after the endpoint list became empty must not raise the peak success rate without bound. When they did,
// the planner permanently let in all cold backends, ejected backends without limit and shed no load. A search over random
// scenarios found this.
func TestEmptyListKeepsPeakSuccessRate(t *testing.T) {
	fleet, reports := usualLoadFleet(t)
	before := fleet.planner.admission.peakSuccessRatePerWeight
	fleet.step(0.1, EndpointUpdate{Kind: UpdateFull})
	for range 5 {
		fleet.step(0.5, reports...)
	}
	if after := fleet.planner.admission.peakSuccessRatePerWeight; before <= 0 || after > 2*before {
		t.Fatalf("the peak success rate went from %v to %v, at most twice as much wanted", before, after)
	}
}

// usualLoadFleet returns a fleet with eight warm backends and four proxies after 15 seconds under its usual load, and the
// reports of one of these seconds.
func usualLoadFleet(t *testing.T) (fleet *fleetModel, reports []Event) {
	t.Helper()
	fleet = newFleetModel(t, map[string]any{"probes": false, "listing": "pushed", "proxies": 4.0})
	update := EndpointUpdate{Kind: UpdateFull}
	for i := range BackendID(8) {
		update.Endpoints = append(update.Endpoints, Endpoint{Backend: i + 1, State: BackendOpen, Zone: "a", Weight: 1})
		reports = append(reports, AttemptReport{Backend: i + 1, Zone: "a", Attempts: 10, MeanLatency: 0.05, Span: 1})
	}
	fleet.step(0, update)
	for proxy := range ProxyID(4) {
		fleet.step(0, ProxyJoined{Proxy: proxy, Zone: "a", Rate: 20})
		reports = append(reports, UsageReport{Proxy: proxy, Method: 0, RPCs: 20, Span: 1})
	}
	fleet.repeat(15, reports)
	return fleet, reports
}
