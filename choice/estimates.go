package choice

import "math"

// BackendEstimate is an instance's estimate of a backend's load and health, for comparison with what the backend itself
// reports. No decision depends on it.
type BackendEstimate struct {
	Backend      BackendID
	AttemptRate  float64 // attempts a second, decaying: higher than the average right after a report
	FailureShare float64 // share of the attempts that failed
	MeanLatency  Seconds // mean latency of the successful attempts
	ExpectedRate float64 // requests a second that the tables are expected to bring it
	WarmupFactor float64 // share of its weight that tables may give it
	CollapseRate float64 // requests a second of this instance's proxies at which it may collapse while it is cold
	Ejected      bool    // it is ejected from the arcs of one zone's proxies or more
	Unreachable  bool    // its last two probes failed, see Planner.unreachable
}

// Estimates returns an estimate for each open backend.
func (planner *Planner) Estimates() (estimates []BackendEstimate) {
	for i := range planner.id {
		if planner.state[i] == BackendOpen {
			estimates = append(estimates, planner.estimate(i))
		}
	}
	return estimates
}

// Estimate returns the estimate for one backend, or false if the instance doesn't know the backend.
func (planner *Planner) Estimate(backend BackendID) (BackendEstimate, bool) {
	i, known := planner.indexOf[backend]
	if !known {
		return BackendEstimate{}, false
	}
	return planner.estimate(i), true
}

func (planner *Planner) estimate(i int) BackendEstimate {
	estimate := BackendEstimate{
		Backend: planner.id[i], ExpectedRate: planner.expectedLoad[i], WarmupFactor: planner.warmupFactor[i],
		CollapseRate: planner.collapseLoad(i), Unreachable: planner.unreachable(i),
	}
	failureRate, latencySum := 0.0, 0.0
	for zone, attempts := range planner.attempts[i] {
		decay := math.Exp(-(planner.now - planner.lastReportAt[i][zone]) / healthWindow)
		estimate.AttemptRate += attempts * decay / healthWindow
		failureRate += planner.failures[i][zone] * decay / healthWindow
		successRate := (attempts - planner.failures[i][zone]) * decay / healthWindow
		latencySum += successRate * planner.meanLatency[i][zone]
		estimate.Ejected = estimate.Ejected || planner.ejectedUntil[i][zone] > planner.now
	}
	estimate.FailureShare = failureRate / max(estimate.AttemptRate, 1e-9)
	estimate.MeanLatency = latencySum / max(estimate.AttemptRate-failureRate, 1e-9)
	return estimate
}

// Usage returns the estimated usage of a proxy in requests a second, by method, or nil if the proxy is not known.
func (planner *Planner) Usage(id ProxyID) (usage []float64) {
	for _, proxy := range planner.proxies {
		if proxy.id != id {
			continue
		}
		for method, rate := range proxy.usage {
			usage = append(usage, rate*math.Exp(-(planner.now-proxy.usageReportedAt[method])/usageWindow))
		}
	}
	return usage
}
