package choice

import (
	"fmt"
	"slices"
	"testing"
)

// survivorHealth is what happens to the only backend of a zone that is not replaced.
type survivorHealth string

const (
	survivorHealthy     survivorHealth = "healthy"
	survivorUnreachable survivorHealth = "unreachable" // answers neither requests nor probes
	survivorFailing     survivorHealth = "failing"     // answers most requests with errors
)

const (
	survivorFailureShare = 0.8 // share of the requests that fail at a failing survivor
	successorListDelay   = 1.0 // seconds from the start of the first successor until the list shows it
	successorInterval    = 0.3 // seconds between the successors in the list
)

// replacedZone returns the scenario of review case 6: all backends of zone a but one are replaced. That one is beside those that the
// scenario loses.
func replacedZone(backends, localMethods int) coldZoneScenario {
	scenario := usualColdZone(localMethods)
	scenario.lostBackends, scenario.replaced, scenario.survivor = backends-1, true, backendID(1000)
	scenario.proxyRates = scenario.spreadLoad(0.68, slices.Repeat([]float64{1}, scenario.allProxies))
	return scenario
}

// survivorEvents returns the reports and probe results of a second on the backend that is not replaced.
func (c *coldZoneTest) survivorEvents(health survivorHealth) []Event {
	attempts := c.countInSecond(c.load(c.survivor))
	report := AttemptReport{Backend: c.survivor, Zone: "a", Attempts: attempts, MeanLatency: 0.1, Span: 1}
	switch health {
	case survivorUnreachable:
		report.Failures, report.MeanLatency = attempts, 0
		return []Event{report, ProbeResult{Backend: c.survivor}}
	case survivorFailing:
		report.Failures = int(survivorFailureShare * float64(attempts))
	case survivorHealthy:
	}
	return []Event{report}
}

// replaceZone drains all backends of zone a but the survivor, and lists their successors one by one.
func (c *coldZoneTest) replaceZone() {
	c.t.Helper()
	c.listZone(BackendDraining)
	c.run(2)
	c.listZone(BackendGone)
	c.startedAt = c.fleet.now
	c.run(successorListDelay)
	for number := range c.lostBackends {
		c.fleet.step(successorInterval, deltaUpdate(c.endpoint(number, BackendOpen)))
		c.checkColdLoad()
		c.run(coldZoneStep)
	}
}

// Cold backends of a zone must not get all of its load while the only warm backend there takes none or too little of it, since
// it is unreachable, ejected or alone. Guards against the failure of review case 6: one warm backend that hung switched off the
// protection of the cold ones of its zone, and they collapsed.
func TestColdBackendsBesideWarmOneAreNotOverloaded(t *testing.T) {
	for _, health := range []survivorHealth{survivorHealthy, survivorUnreachable, survivorFailing} {
		for _, backends := range []int{3, 5, 8, 12} {
			for localMethods := 1; localMethods <= coldZoneMethods; localMethods++ {
				t.Run(fmt.Sprintf("%s, %d backends, %d local methods", health, backends, localMethods), func(t *testing.T) {
					test := newColdZoneTest(t, replacedZone(backends, localMethods))
					test.startWarm()
					test.extraReports = func() []Event { return test.survivorEvents(health) }
					test.run(6)
					test.replaceZone()
					test.run(test.warmAfter + 1)
					if excluded := test.excludedCount(); excluded > 0 {
						t.Errorf("%d backends are warm but still excluded", excluded)
					}
				})
			}
		}
	}
}
