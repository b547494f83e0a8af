package choice

import "math"

// Belief is what an instance takes a backend's load and health to be, for those who check that against what passed.
// Nothing is decided by it.
type BackendEstimate struct {
	Backend      BackendID
	AttemptRate  float64 // a second, faded over healthSpan: right after a sum it is more than it is on average
	FailureShare float64 // share of them
	MeanLatency  Seconds // mean of the good ones
	ExpectedRate float64 // RPCs a second that the arcs bring it
	Ejected      bool    // by health, for a zone at least
	Unreachable  bool    // it was deaf to probes
}

// Beliefs tells of all backends that are listed as open.
func (c *Planner) Estimates() (all []BackendEstimate) {
	for i, id := range c.id {
		if c.state[i] != BackendOpen {
			continue
		}
		b := BackendEstimate{Backend: id, ExpectedRate: c.brought[i], Unreachable: c.away(i)}
		bad, slow := 0.0, 0.0
		for z, t := range c.tries[i] {
			keep := math.Exp(-(c.now - c.last[i][z]) / healthSpan)
			b.AttemptRate += t * keep / healthSpan
			bad += c.bad[i][z] * keep / healthSpan
			slow += (t - c.bad[i][z]) * keep / healthSpan * c.delay[i][z]
			b.Ejected = b.Ejected || c.bench[i][z] > c.now
		}
		b.FailureShare, b.MeanLatency = bad/max(b.AttemptRate, 1e-9), slow/max(b.AttemptRate-bad, 1e-9)
		all = append(all, b)
	}
	return all
}

// Usage is what an instance takes a proxy's usage to be, in RPCs a second, by method; nil: it knows no such proxy.
func (c *Planner) Usage(id ProxyID) (all []float64) {
	for _, p := range c.proxies {
		if p.id == id {
			for m, u := range p.usage {
				all = append(all, u*math.Exp(-(c.now-p.summed[m])/usageSpan))
			}
		}
	}
	return all
}
