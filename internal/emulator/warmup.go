package emulator

import "math"

const (
	// overloadSlack is how many RPCs of mean work the arrivals may exceed the overload bound by, as chance brings them.
	overloadSlack = 2
	// overloadRatioStep is by how much the overload ratio must grow to be reported again.
	overloadRatioStep = 0.05
	// minWarmupSlope is below which the warm-up is taken as constant, as the quadratic would divide by almost nothing.
	minWarmupSlope = 1e-12
)

// WarmupFactor is the share of its speed that the backend has, which grows evenly from ColdSpeed to 1.
func (m *Model) WarmupFactor(now Seconds) float64 {
	if age := now - m.startedAt; age < m.config.WarmupTime {
		return m.config.ColdSpeed + (1-m.config.ColdSpeed)*max(age, 0)/m.config.WarmupTime
	}
	return 1
}

// workDone is the work that a core does between two times if it does not hang.
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

// finishTime is when a core that begins at a time has done some work. During the warm-up the work done is a quadratic
// function of time.
func (m *Model) finishTime(from, work Seconds) Seconds {
	warmAt := m.startedAt + m.config.WarmupTime
	fullSpeedTime := work * m.faults.slowdown / m.config.Speed
	if from >= warmAt {
		return from + fullSpeedTime
	}
	factor := m.WarmupFactor(from)
	slope := (1 - m.config.ColdSpeed) / m.config.WarmupTime
	var takes float64
	if slope < minWarmupSlope {
		takes = fullSpeedTime / factor
	} else {
		takes = (-factor + math.Sqrt(factor*factor+2*slope*fullSpeedTime)) / slope
	}
	if from+takes <= warmAt {
		return from + takes
	}
	fullSpeedTime -= (factor + 1) / 2 * (warmAt - from)
	return warmAt + fullSpeedTime
}

// overloadWindow is the work that arrived within the last overload window of a backend that is warming up.
type overloadWindow struct {
	arrivals []arrivedWork // oldest first
	total    Seconds
	maxRatio float64 // of those that were reported
}

type arrivedWork struct {
	at   Seconds
	work Seconds
}

// add adds work and forgets what arrived before the window.
func (o *overloadWindow) add(now, work, length Seconds) {
	o.arrivals = append(o.arrivals, arrivedWork{now, work})
	o.total += work
	for o.arrivals[0].at < now-length {
		o.total -= o.arrivals[0].work
		o.arrivals = o.arrivals[1:]
	}
}

// addArrival counts work that arrives at a backend that is warming up, and tells whether it overloads the backend.
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

// overloadBound is the work within an overload window above which the backend collapses at present.
func (m *Model) overloadBound() Seconds {
	config := &m.config
	bound := config.OverloadMultiple * m.WarmupFactor(m.now) * config.Speed * float64(config.Cores) / m.faults.slowdown
	return bound*config.OverloadWindow + overloadSlack*config.workOf(0).Mean
}
