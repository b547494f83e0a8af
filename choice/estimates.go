package choice

import "math"

// BackendEstimate is what an instance takes a backend's load and health to be, to be compared with what the backend says of
// itself. Nothing is decided by it.
type BackendEstimate struct {
	Backend      BackendID
	AttemptRate  float64 // a second, decayed: right after a report it is more than on average
	FailureShare float64 // of the attempts
	MeanLatency  Seconds // of the successes
	ExpectedRate float64 // requests a second that the tables bring it
	Ejected      bool    // from the arcs of a zone at least
	Unreachable  bool    // it answered no probes
}

// Estimates returns what is taken to be true of each open backend.
func (plan *Planner) Estimates() (estimates []BackendEstimate) {
	for i := range plan.id {
		if plan.state[i] == BackendOpen {
			estimates = append(estimates, plan.estimate(i))
		}
	}
	return estimates
}

func (plan *Planner) estimate(i int) BackendEstimate {
	estimate := BackendEstimate{Backend: plan.id[i], ExpectedRate: plan.expectedLoad[i], Unreachable: plan.unreachable(i)}
	failures, latency := 0.0, 0.0
	for zone, attempts := range plan.attempts[i] {
		decay := math.Exp(-(plan.now - plan.lastReportAt[i][zone]) / healthWindow)
		estimate.AttemptRate += attempts * decay / healthWindow
		failures += plan.failures[i][zone] * decay / healthWindow
		successes := (attempts - plan.failures[i][zone]) * decay / healthWindow
		latency += successes * plan.meanLatency[i][zone]
		estimate.Ejected = estimate.Ejected || plan.ejectedUntil[i][zone] > plan.now
	}
	estimate.FailureShare = failures / max(estimate.AttemptRate, 1e-9)
	estimate.MeanLatency = latency / max(estimate.AttemptRate-failures, 1e-9)
	return estimate
}

// Usage returns what an instance takes a proxy's usage to be, in requests a second, by method; nil if the proxy is not known.
func (plan *Planner) Usage(id ProxyID) (usage []float64) {
	for _, proxy := range plan.proxies {
		if proxy.id != id {
			continue
		}
		for method, rate := range proxy.usage {
			usage = append(usage, rate*math.Exp(-(plan.now-proxy.usageReportedAt[method])/usageWindow))
		}
	}
	return usage
}
