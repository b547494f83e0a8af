package choice

import "math"

// Belief is what an instance takes a backend's load and health to be, for those who check that against what passed.
// Nothing is decided by it.
type Belief struct {
	EP       EP
	Tries    float64 // a second, faded over healthSpan: right after a sum it is more than it is on average
	Bad      float64 // share of them
	Delay    Seconds // mean of the good ones
	Expected float64 // RPCs a second that the arcs bring it
	Benched  bool    // by health, for a zone at least
	Away     bool    // it was deaf to probes
}

// Beliefs tells of all backends that are listed as open.
func (c *Planner) Beliefs() (all []Belief) {
	for i, id := range c.id {
		if c.state[i] != Open {
			continue
		}
		b := Belief{EP: id, Expected: c.brought[i], Away: c.away(i)}
		bad, slow := 0.0, 0.0
		for z, t := range c.tries[i] {
			keep := math.Exp(-(c.now - c.last[i][z]) / healthSpan)
			b.Tries += t * keep / healthSpan
			bad += c.bad[i][z] * keep / healthSpan
			slow += (t - c.bad[i][z]) * keep / healthSpan * c.delay[i][z]
			b.Benched = b.Benched || c.bench[i][z] > c.now
		}
		b.Bad, b.Delay = bad/max(b.Tries, 1e-9), slow/max(b.Tries-bad, 1e-9)
		all = append(all, b)
	}
	return all
}

// Usage is what an instance takes a proxy's usage to be, in RPCs a second, by method; nil: it knows no such proxy.
func (c *Planner) Usage(id Proxy) (all []float64) {
	for _, p := range c.proxies {
		if p.id == id {
			for m, u := range p.usage {
				all = append(all, u*math.Exp(-(c.now-p.summed[m])/usageSpan))
			}
		}
	}
	return all
}
