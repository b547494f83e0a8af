package choice

import "math"

// admission is the state of admission control; admission.go decides by it.
type admission struct {
	mailbox
	plan                     *Planner
	admittedShares           []float64     // shares, by method
	normalRetry              []RetryPolicy // outside of overloads, by method
	criticality              []float64     // by method
	arrivalRates             []float64     // requests a second of late, by method
	shortestSoftDeadline     Seconds       // the shortest one
	rateLimit                float64       // requests a second that are admitted
	successRatePerWeight     float64       // answers a second for each unit of weight
	peakSuccessRatePerWeight float64       // the highest so far
	relativeLatency          float64       // mean latency of the answers, in soft deadlines
	avoidedShare             float64       // share of attempts at backends that fail as often in a row as proxies tolerate
	baselineFailureShare     float64       // share of failures at the best quarter of the backends, from the zone that fares best
	loadFactor               float64       // of its fair share, what arcs may bring a backend
	overloaded               bool
	overloadedAt             Seconds
	overloadUnlikely         bool // no overload, and none near
	firstReportAt            Seconds
	lastDisconnectAt         Seconds // of a proxy
	limitLoweredAt           Seconds
	nextEvaluation           Seconds
}

func newAdmission(plan *Planner) *admission {
	a := &admission{plan: plan, loadFactor: minLoadFactor, rateLimit: math.Inf(1), shortestSoftDeadline: math.Inf(1)}
	for _, method := range plan.settings.Methods {
		a.admittedShares = append(a.admittedShares, 1)
		a.normalRetry = append(a.normalRetry, plan.normalRetry(method))
		a.criticality = append(a.criticality, method.Criticality.Or(defaultCriticality))
		a.arrivalRates = append(a.arrivalRates, 0)
		a.shortestSoftDeadline = min(a.shortestSoftDeadline, method.SoftDeadline.Or(defaultSoftDeadline))
	}
	return a
}

// handle counts arrivals and evaluates the load once an interval.
func (a *admission) handle(msg message) {
	switch msg := msg.(type) {
	case UsageReport:
		a.arrivalRates[msg.Method] += float64(msg.RPCs) / admissionWindow
	case tickElapsed:
		for method := range a.arrivalRates {
			a.arrivalRates[method] *= math.Exp(-tickInterval / admissionWindow)
		}
		if a.plan.now >= a.nextEvaluation {
			a.nextEvaluation = a.plan.now + evaluationInterval
			a.evaluate()
		}
	}
}

// fleetLoad is what the reports of late say of the backends together.
type fleetLoad struct {
	successRate        float64 // a second
	weightedLatency    float64 // of answers in a second, in soft deadlines, added up
	attempts           float64
	avoidedAttempts    float64 // attempts at backends that fail as often in a row as proxies tolerate
	judgedBackends     float64 // open backends with enough attempts
	overloadedBackends float64 // of those
}

// measure adds up the reports on all backends.
func (a *admission) measure() fleetLoad {
	load := fleetLoad{attempts: 1} // so that it can be divided by
	for i := range a.plan.id {
		a.measureBackend(i, &load)
	}
	return load
}

// updateBaseline sets the share of failures that the best quarter of the backends has, from the zone that fares best.
func (a *admission) updateBaseline() {
	a.baselineFailureShare = 1
	for zone := range len(a.plan.zoneIndex) {
		shares := a.plan.failureShares(zone, baselineAttempts, a.plan.now-baselineWindow)
		a.baselineFailureShare = min(a.baselineFailureShare, shares[len(shares)/baselineDivisor])
	}
}

// sameCriticality returns the first methods of an order that share one criticality.
func (a *admission) sameCriticality(order []int) []int {
	end := 1
	for end < len(order) && a.criticality[order[end]] == a.criticality[order[0]] {
		end++
	}
	return order[:end]
}
