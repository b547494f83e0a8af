package choice

import (
	"fmt"
	"slices"
	"testing"
)

// wrongFigures are events with one figure that no sound proxy or collector reports, by name.
func wrongFigures(test *coldZoneTest) map[string]Event {
	figures := map[string]Event{
		"latency of an hour":            AttemptReport{Backend: test.otherBackend(), Zone: "b", Attempts: 6, MeanLatency: 3600, Span: 1},
		"acknowledgement after an hour": PushAcknowledged{Proxy: 0, Nonce: test.fleet.planner.channel.nonce, Delay: 3600},
		"failures only":                 AttemptReport{Backend: test.otherBackend(), Zone: "b", Attempts: 9000000, Failures: 9000000, Span: 1},
		"negative attempts":             AttemptReport{Backend: test.otherBackend(), Zone: "b", Attempts: -9000000, MeanLatency: 0.1, Span: 1},
		"negative requests":             UsageReport{Proxy: 1, RPCs: -9000000, Span: 1},
	}
	for _, count := range []int{300, 1000, 5000, 100000, 9000000} {
		figures[fmt.Sprint(count, " attempts")] = AttemptReport{Backend: test.otherBackend(), Zone: "b", Attempts: count, MeanLatency: 0.1, Span: 1}
		figures[fmt.Sprint(count, " attempts at a backend that is lost")] = AttemptReport{Backend: test.id(0), Zone: "a", Attempts: count, MeanLatency: 0.1, Span: 1}
		figures[fmt.Sprint(count, " requests")] = UsageReport{Proxy: 1, RPCs: count, Span: 1}
	}
	return figures
}

// otherBackend returns a backend of zone b.
func (c *coldZoneTest) otherBackend() BackendID { return c.id(c.lostBackends) }

// One wrong figure must not end the protection of cold backends, whatever figure it is. Guards against the failure of review
// case 8: one report of 9,000,000 attempts raised the peak success rate for good, so that no load seemed too much for a cold backend,
// and the backends of a zone that came back cold collapsed.
func TestWrongReportKeepsColdZoneProtected(t *testing.T) {
	for _, lostBackends := range []int{2, 4, 7} {
		for name := range wrongFigures(newColdZoneTest(t, usualColdZone(coldZoneMethods))) {
			t.Run(fmt.Sprintf("%s, %d backends lost", name, lostBackends), func(t *testing.T) {
				scenario := usualColdZone(coldZoneMethods)
				scenario.lostBackends = lostBackends
				scenario.proxyRates = scenario.spreadLoad(0.65, scenario.equalUsage())
				test := newColdZoneTest(t, scenario)
				test.startWarm()
				test.fleet.step(0.01, wrongFigures(test)[name])
				test.run(6)
				test.loseZone()
				test.returnZone(0.5)
			})
		}
	}
}

// equalUsage returns the same usage for each proxy of the scenario.
func (s *coldZoneScenario) equalUsage() []float64 {
	usage := make([]float64, s.allProxies)
	for proxy := range usage {
		usage[proxy] = 1
	}
	return usage
}

// A wrong report of attempts raises the peak success rate by less than the margin that the protection of cold backends has, and not
// for longer than the peak is remembered. Guards against a peak that one report sets for good.
func TestWrongReportHardlyRaisesPeakSuccessRate(t *testing.T) {
	for _, attempts := range []int{100, 1000, 9000000} {
		fleet, reports := usualLoadFleet(t)
		before := fleet.planner.admission.peakSuccessRatePerWeight
		fleet.step(0.1, AttemptReport{Backend: 1, Zone: "a", Attempts: attempts, MeanLatency: 0.05, Span: 1})
		fleet.repeatAcknowledged(40, reports)
		raised := fleet.planner.admission.peakSuccessRatePerWeight
		if raised > 1.5*before {
			t.Errorf("%d attempts raise the peak success rate from %v to %v, at most 1.5 times as much wanted", attempts, before, raised)
		}
		fleet.repeatAcknowledged(2*peakWindow, reports)
		if after := fleet.planner.admission.peakSuccessRatePerWeight; after > 1.2*before || after < before/1.2 {
			t.Errorf("the peak success rate went from %v to %v, and is %v long after", before, raised, after)
		}
	}
}

// repeatAcknowledged does as repeat, and has the proxies acknowledge all pushes.
func (m *fleetModel) repeatAcknowledged(steps int, events []Event) {
	m.t.Helper()
	for range steps {
		all := slices.Clone(events)
		for proxy, nonces := range m.unacked {
			for _, nonce := range nonces {
				all = append(all, PushAcknowledged{proxy, nonce, 0.2})
			}
		}
		m.step(1, all...)
	}
}

// One acknowledgement with a wrong delay must not change how long a lost acknowledgement is waited for: until then the proxy is sent
// no other changes.
func TestWrongDelayOfAcknowledgement(t *testing.T) {
	fleet, reports := usualLoadFleet(t)
	before := fleet.planner.channel.meanAckTime
	fleet.step(0.1, deltaUpdate(Endpoint{Backend: 9, State: BackendOpen, Zone: "a", Weight: 1}))
	fleet.step(0.2, PushAcknowledged{Proxy: 0, Nonce: fleet.planner.channel.nonce, Delay: 3600})
	fleet.repeat(1, reports)
	if after := fleet.planner.channel.meanAckTime; after > before+1 {
		t.Errorf("the mean acknowledgement time went from %.2f s to %.2f s", before, after)
	}
}
