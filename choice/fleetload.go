package choice

import (
	"fmt"
	"math"
)

// admission is the actor that detects overloads of the fleet and sets how many requests are admitted. This file holds its state
// and arithmetic; the decisions are in admission.go.
type admission struct {
	mailbox
	planner                  *Planner
	admittedShares           []float64     // share of the requests that is admitted, by method
	normalRetry              []RetryPolicy // outside of overloads, by method
	criticality              []float64     // as in MethodSettings, by method
	arrivalRates             []float64     // decaying averages in requests a second, by method
	shortestSoftDeadline     Seconds       // the shortest one of all methods
	longestDeadline          Seconds       // the longest one of all methods; +Inf if the settings have none
	rateLimit                float64       // requests a second that are admitted in all; +Inf: all
	successRatePerWeight     float64       // moving average of the successes a second per unit of openCapacity
	peakSuccessRatePerWeight float64       // the highest successRatePerWeight of this window and the one before, see peakWindow
	windowPeak               float64       // the highest successRatePerWeight of this window
	formerWindowPeak         float64       // the same of the window before
	peakWindowEnd            Seconds       // when the next window begins
	knownRate                float64       // requests a second of all known proxies, as of the last tick
	implausibleCounts        int           // reports with a count that was limited, see plausibleCount
	relativeLatency          float64       // mean latency of the successes, divided by the shortest soft deadline
	avoidedShare             float64       // estimated share of the attempts at backends that proxies avoid, see AvoidAfterFailures
	baselineFailureShare     float64       // failure share at the best quarter of the backends, in the zone with the fewest failures
	loadFactor               float64       // limit on a backend's load, as a multiple of its proportional share (see arcs.go)
	overloaded               bool          // the fleet is overloaded
	overloadedAt             Seconds       // when an overload was last found
	overloadUnlikely         bool          // there is no overload and no sign of one to come
	firstReportAt            Seconds       // when enough reports for an evaluation first were there; 0: not yet
	lastDisconnectAt         Seconds       // when a stream of any proxy last ended
	limitLoweredAt           Seconds       // when rateLimit was last lowered
	nextEvaluation           Seconds
}

func newAdmission(planner *Planner) *admission {
	a := &admission{planner: planner, loadFactor: minLoadFactor, rateLimit: math.Inf(1), shortestSoftDeadline: math.Inf(1)}
	for _, method := range planner.settings.Methods {
		a.admittedShares = append(a.admittedShares, 1)
		a.normalRetry = append(a.normalRetry, planner.normalRetry(method))
		a.criticality = append(a.criticality, method.Criticality.Or(defaultCriticality))
		a.arrivalRates = append(a.arrivalRates, 0)
		a.shortestSoftDeadline = min(a.shortestSoftDeadline, method.SoftDeadline.Or(defaultSoftDeadline))
		a.longestDeadline = max(a.longestDeadline, method.Deadline.Or(math.Inf(1)))
	}
	return a
}

// handle averages the arrivals and evaluates the load at each evaluationInterval.
func (a *admission) handle(msg message) {
	switch msg := msg.(type) {
	case UsageReport:
		a.arrivalRates[msg.Method] += float64(msg.RPCs) / admissionWindow
	case tickElapsed:
		a.updateKnownRate()
		for method := range a.arrivalRates {
			a.arrivalRates[method] *= math.Exp(-tickInterval / admissionWindow)
		}
		if a.planner.now >= a.nextEvaluation {
			a.nextEvaluation = a.planner.now + evaluationInterval
			a.evaluate()
		}
	}
}

// fleetLoad sums up the recent reports on all backends.
type fleetLoad struct {
	successRate        float64   // successes a second
	successRates       []float64 // the same by backend
	provenSuccessRate  float64   // part of successRate that shows what the open capacity can serve, see addProvenSuccesses
	weightedLatency    float64   // sum over the backends of success rate × mean latency in shortest soft deadlines
	attempts           float64   // decayed count
	avoidedAttempts    float64   // those that probably were at backends with AvoidAfterFailures failures in a row, which proxies avoid
	judgedBackends     float64   // open backends with enough attempts to be judged
	overloadedBackends float64   // those of them that are overloaded
}

// measure sums up the reports on all backends.
func (a *admission) measure() fleetLoad {
	load := fleetLoad{attempts: 1, successRates: make([]float64, len(a.planner.id))} // attempts are not 0, because evaluate divides by them
	for i := range a.planner.id {
		a.measureBackend(i, &load)
	}
	a.addProvenSuccesses(&load)
	return load
}

// updateKnownRate sums up the usage of all known proxies, as of their last reports or their joins.
func (a *admission) updateKnownRate() {
	a.knownRate = 0
	for _, proxy := range a.planner.proxies {
		a.knownRate += proxy.usageRate()
	}
}

// logImplausibleCount logs that a count was limited. It does so for each power of two of such counts, so that a flood of wrong reports
// doesn't flood the log.
func (a *admission) logImplausibleCount(count, limit int) {
	a.implausibleCounts++
	if a.implausibleCounts&(a.implausibleCounts-1) == 0 {
		text := fmt.Sprintf("implausible count in a report: %d, counted as %d; %d such counts so far", count, limit, a.implausibleCounts)
		a.planner.commands = append(a.planner.commands, LogMessage{text})
	}
}

// updateBaseline sets the failure share at the best quarter of the backends, as seen from the zone where it is lowest.
func (a *admission) updateBaseline() {
	a.baselineFailureShare = 1
	for zone := range len(a.planner.zoneIndex) {
		shares := a.planner.failureShares(zone, baselineAttempts, a.planner.now-baselineWindow)
		a.baselineFailureShare = min(a.baselineFailureShare, shares[len(shares)/baselineDivisor])
	}
}

// sameCriticality returns the leading methods of the order that have the same criticality.
func (a *admission) sameCriticality(order []int) []int {
	end := 1
	for end < len(order) && a.criticality[order[end]] == a.criticality[order[0]] {
		end++
	}
	return order[:end]
}
