package emulator

import "math"

const (
	// overloadSlackRPCs is the number of RPCs of mean work that is added to the overload bound to allow for random clusters of
	// arrivals. The overload bound is the work within Config.OverloadWindow above which a warming backend collapses; the
	// overload ratio is the work that arrived within that window divided by the bound.
	overloadSlackRPCs = 2
	// overloadRatioStep is by how much the overload ratio must exceed the last reported one to be reported again.
	overloadRatioStep = 0.05
	// minWarmupSlope is the increase per second of WarmupFactor below which finishTime treats that factor as constant, since
	// the solution of the quadratic equation would divide by almost 0.
	minWarmupSlope = 1e-12
)

// WarmupFactor returns the current share of the full speed, which increases linearly from ColdSpeed to 1 during the warm-up.
func (m *Model) WarmupFactor(now Seconds) float64 {
	if age := now - m.startedAt; age < m.config.WarmupTime {
		return m.config.ColdSpeed + (1-m.config.ColdSpeed)*max(age, 0)/m.config.WarmupTime
	}
	return 1
}

// workDone returns the work that a core does between two times if the backend does not hang.
func (m *Model) workDone(from, until Seconds) Seconds {
	warmAt := m.startedAt + m.config.WarmupTime
	fullSpeedTime := 0.0
	if from < warmAt {
		coldUntil := min(until, warmAt)
		meanFactor := (m.WarmupFactor(from) + m.WarmupFactor(math.Nextafter(coldUntil, from))) / 2
		fullSpeedTime = meanFactor * (coldUntil - from)
		from = coldUntil
	}
	if until > from {
		fullSpeedTime += until - from
	}
	return fullSpeedTime * m.config.Speed / m.faults.slowdown
}

// finishTime returns when a core that starts at a time has done an amount of work. During the warm-up the work done is a
// quadratic function of time, as the speed increases linearly.
func (m *Model) finishTime(from, work Seconds) Seconds {
	warmAt := m.startedAt + m.config.WarmupTime
	fullSpeedTime := work * m.faults.slowdown / m.config.Speed
	if from >= warmAt {
		return from + fullSpeedTime
	}
	factor := m.WarmupFactor(from)
	slope := (1 - m.config.ColdSpeed) / m.config.WarmupTime
	var duration float64
	if slope < minWarmupSlope {
		duration = fullSpeedTime / factor
	} else {
		duration = (-factor + math.Sqrt(factor*factor+2*slope*fullSpeedTime)) / slope
	}
	if from+duration <= warmAt {
		return from + duration
	}
	fullSpeedTime -= (factor + 1) / 2 * (warmAt - from)
	return warmAt + fullSpeedTime
}

// overloadWindow tracks the work that arrived within the last Config.OverloadWindow while the backend is warming up.
type overloadWindow struct {
	arrivals []arrivedWork // oldest first
	total    Seconds
	maxRatio float64 // the last reported overload ratio, total divided by the bound; the largest so far
}

// arrivedWork is the work of an RPC and its time of arrival.
type arrivedWork struct {
	at   Seconds
	work Seconds
}

// add adds work that arrives now, and removes the work that arrived before the window of windowLength.
func (o *overloadWindow) add(now, work, windowLength Seconds) {
	o.arrivals = append(o.arrivals, arrivedWork{now, work})
	o.total += work
	for o.arrivals[0].at < now-windowLength {
		o.total -= o.arrivals[0].work
		o.arrivals = o.arrivals[1:]
	}
}

// addArrival adds the work of an RPC that arrives, and reports whether it makes the backend collapse. Only a backend that is
// warming up can collapse.
func (m *Model) addArrival(work Seconds) (overloaded bool) {
	window := m.config.OverloadWindow
	if window <= 0 || m.WarmupFactor(m.now) >= 1 {
		return false
	}
	m.overload.add(m.now, work, window)
	bound := m.overloadBound()
	if ratio := m.overload.total / bound; ratio > m.overload.maxRatio+overloadRatioStep {
		m.overload.maxRatio = ratio
		m.emit(OverloadApproached{ratio, len(m.overload.arrivals)})
	}
	return m.overload.total > bound
}

// overloadBound returns the work within an overload window above which the backend would collapse at present.
func (m *Model) overloadBound() Seconds {
	config := &m.config
	bound := config.OverloadMultiple * m.WarmupFactor(m.now) * config.Speed * float64(config.Cores) / m.faults.slowdown
	return bound*config.OverloadWindow + overloadSlackRPCs*config.workOf(0).Mean
}
