package choice

import "slices"

// What the assignment of arcs reckons with and hands on. No decision is taken here.

// gather gives a walk for each table of the joined proxies, what those proxies ask, and, by zone, what the others do.
// Who left us is with another planner and still loads its zone. Without that, one that a cut leaves with the
// proxies of its own zone alone would send half of them across the cut, to servers that seem idle.
func (r *ring) gather() (walks []*walk, asks float64, away []float64) {
	asks, away, r.joined = 1e-9, make([]float64, len(r.c.zones)), 0
	for _, p := range r.c.proxies {
		if !p.joined {
			away[p.zone] += p.rate()
			continue
		}
		r.joined++
		p.round = r.round
		asks += p.rate()
		for _, s := range p.sheets {
			walks = append(walks, &walk{p: p, s: s})
		}
	}
	return walks, asks, away
}

// reserve counts what a walk will bring from its start on, so that the next one starts elsewhere.
func (r *ring) reserve(w *walk) {
	n := w.p.size
	for i := range r.from(r.turn(w.p.zone), w.p.start) {
		if n--; n >= 0 {
			r.c.carry[i] += w.per * r.c.weight[i] * r.c.ease[i]
		}
	}
}

// turn gives the servers among which arcs of a zone start: its own, or all if it has none.
func (r *ring) turn(zone int) []int {
	if len(r.near[zone]) == 0 {
		return r.order
	}
	return r.near[zone]
}

// elsewhere spreads what other planners' proxies ask over the servers of their zones.
func (r *ring) elsewhere(away []float64) {
	r.others = make([]float64, len(r.c.id))
	for z, turn := range r.near {
		whole := 1e-9
		for _, i := range turn {
			whole += r.c.part[i]
		}
		for _, i := range turn {
			r.others[i] = away[z] * r.c.part[i] / whole
		}
	}
}

// bring adds what an arc brings each of its servers, or would if it were let in.
func (r *ring) bring(w *walk) {
	c := r.c
	place := func(i int) float64 { return c.ease[i] * c.weight[i] }
	usable := 0.0
	for _, i := range w.arc {
		if !c.shut[i] {
			usable += place(i)
		}
	}
	for _, i := range w.arc {
		if beside := usable; c.shut[i] {
			c.brought[i] += w.p.held * place(i) / (beside + place(i))
		} else {
			c.brought[i] += w.p.held * place(i) / usable
		}
	}
}

// publish makes a walk's arc what its table should hold.
func (r *ring) publish(w *walk) {
	c, was := r.c, w.s.want
	w.s.want = make([]line, len(w.arc))
	slices.Sort(w.arc)
	for k, i := range w.arc {
		w.s.want[k] = line{i, c.weight[i] * c.ease[i], c.ease[i]}
	}
	if !slices.Equal(was, w.s.want) {
		c.stir(w.p)
	}
}
