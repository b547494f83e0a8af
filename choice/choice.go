// Package choice is the decision module: a central planner that gives plain proxies their tables.
//
// Call New once with what is read at start, then Step with each batch of events; Step returns the orders, to
// be carried out in that order. The interface is in types.go, New and the state in state.go. An instance
// shares nothing and knows no wire: same events, same orders. Each backend and each proxy is an actor with an
// inbox; so are the roll (the list), the ring (the arcs), the gate (levels, tries) and the channel. Per proxy
// one push is in flight, clocked by the answer to its mark; what changes meanwhile goes as one delta.
package choice

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

const (
	tick         = 0.25 // how often time-driven parts look again
	arcLeast     = 3    // servers in an arc
	coverage     = 2    // arcs over each server
	fairLeast    = 1.1  // of its part of the usage, what a server takes before arcs pass, if answers are slow
	fairMost     = 1.5  // and at most when they are quick, so that arcs keep to their zone
	fairPrice    = 3.5  // times what crossings cost, which it may be above fairLeast
	arcMean      = 6.0  // servers in an arc, on average
	usageSpan    = 30.0 // seconds over which usage is averaged
	resizeBy     = 2    // an arc's size moves by no less
	climbSteps   = 4    // messages that a new server's climb costs each proxy
	leaving      = 4.0  // times what the lines ahead need, after which a push has left the channel
	silence      = 4.0  // usual answer times without an answer that bring a full resend
	healthSpan   = 3.0  // seconds over which tries are averaged for health
	delayOld     = 0.4  // of their number, what older answers count for in the mean time
	healthTries  = 4.0  // tries that a judgement needs
	healthBad    = 0.3  // share of bad tries, beyond the best quarter's, that benches a server
	benchLeast   = 5.0  // seconds on the bench the first time; doubled each time after
	benchStrain  = 1.3  // of the best rate of answers seen, what health may ask of those left
	benchPart    = 0.65 // most of a zone's view of the fleet that health may bench
	probeEvery   = 1.0  // seconds
	leanDelay    = 0.3  // of the shortest soft deadline, what a server takes before arcs lean away from it
	leanBeyond   = 1.2  // and of the mean
	leanLeast    = 0.4  // of its part, what leaning leaves a server
	jamBad       = 0.15 // share of bad tries in a server's own best zone that counts as a jam
	jamDelay     = 0.5  // or a mean time of this much of the shortest soft deadline
	burst        = 1.0  // roots of its usage, by which a proxy's rate may lie above its mean
	limitLeast   = 0.8  // of the best rate of answers seen
	coldStrain   = 0.6  // of what topples a cold server, what may flee to it in a jam
	struckMost   = 0.1  // share of tries at servers where a proxy would strike, above which they may flee
	gateSpan     = 4.0  // seconds over which the gate looks back
	jamPart      = 0.5  // servers jammed together that mean overload, not single failures
	ordinaryPart = 0.6  // of the messages and lines allowed, what the ordinary path may use
	urgentPart   = 0.9  // and what tables that can't wait may; the rest is for withdrawals
	dealBatch    = 0.12 // of the joined proxies, how many may join or leave before all arcs are dealt anew
	warnPart     = 0.25 // of the grace, what a first table may take before a list of what is withdrawn goes ahead
)

// KeepPlace is how long what left or is gone keeps its place, in seconds: long after any order, sum or probe
// of it.
const BackendRetention = 600.0

// Step takes the events of one moment and returns what to do.
func (c *Planner) Step(now Seconds, events []Event) []Command {
	c.now, c.out = now, nil
	for _, e := range events {
		c.route(e)
	}
	c.loop()
	if now >= c.alarm {
		c.tidy()
		for _, p := range c.parts() {
			c.post(p, clock{})
		}
		for _, p := range c.proxies {
			if p.flying || p.waits { // silence, and room for what had to wait, come with time alone
				c.stir(p)
			}
		}
		c.alarm = now + tick
		c.out = append(c.out, SetTimer{1, c.alarm})
		c.loop()
	}
	if c.boot.Settings.Slices.Or(0) == 0 {
		c.pull()
		c.readmit()
		if c.ring.refresh() && c.spareCold() {
			c.ring.deal()
		}
		for _, p := range c.stirred {
			p.stirred = false
			c.post(p, flush{})
		}
		c.stirred = c.stirred[:0]
		c.loop()
		c.seal()
	}
	return c.out
}

func (r *roll) take(n note) {
	c := r.c
	if n, ok := n.(EndpointUpdate); ok {
		if n.Kind == UpdateFailed {
			// Against a list service that is jammed by everybody asking again at once: later each time,
			// by chance, but well inside the time after which we would count as told.
			r.tried = min(r.tried+1, 4)
			r.ask = c.now + min(0.25*math.Exp2(float64(r.tried)), c.boot.Settings.AskWithin.Or(10)/3)*(0.5+c.chance())
			return
		}
		if n.Kind != UpdateCached {
			r.tried, r.ask = 0, math.Inf(1)
		}
		c.spread(n)
	}
	r.look()
}

func (r *roll) look() {
	if r.c.boot.Settings.Listing == "asked" && r.c.now >= r.ask {
		r.c.out = append(r.c.out, WatchEndpoints{true})
		// An answer that never comes must not leave us deaf.
		r.ask = r.c.now + r.c.boot.Settings.AskWithin.Or(10)/2
	}
}

func (b *backend) take(n note) {
	c, i := b.c, b.i
	switch n := n.(type) {
	case Endpoint:
		b.listed(n)
	case AttemptReport:
		if c.met(i, n, healthSpan, delayOld); n.Attempts > n.Failures && !c.away(i) {
			c.deaf[i] = 0 // a deep probe waits in the queue of a jam; RPCs that are answered tell better
		}
		b.judge()
	case ProbeResult:
		b.probed(n)
	case clock:
		if ease := b.climb(); ease != c.ease[i] {
			c.ease[i] = ease
			c.post(c.ring, redo{})
		}
		for z, until := range c.bench[i] {
			if until > 0 && until <= c.now {
				// Sums of the time before the bench must not bench it again.
				c.bench[i][z], c.tries[i][z], c.bad[i][z] = -until, 0, 0
				c.post(c.ring, redo{})
			} else if until < 0 && c.now > 4*benchLeast-until {
				c.bench[i][z], c.fouls[i][z] = 0, 0 // not after one good turn: it may fail by turns
			}
		}
		b.lean()
		// Silence proves nothing, but where others are heard it calls for a question.
		quiet := c.heard - max(c.good[i], c.dealt[i])
		silent := quiet > 1.5*c.boot.Settings.ReportPeriod.Or(1) && quiet*c.carry[i] > healthTries && !c.gate.jammed
		ask := c.boot.Settings.Probes && c.state[i] == BackendOpen && c.now >= c.probe[i]
		if ask && (silent || c.deaf[i] > 0) {
			c.probe[i] = c.now + probeEvery
			c.out = append(c.out, ProbeBackend{c.id[i]})
		}
	}
}

func (b *backend) listed(e Endpoint) {
	c, i := b.c, b.i
	if e.State != BackendGone {
		c.zone[i], c.weight[i] = c.place(e.Zone), max(e.Weight, 1e-3)
	}
	if e.State == BackendOpen && e.StartedAt > c.start[i] {
		// A restart under the same id: what was held against the old process is void, and it is cold.
		c.forget(i)
	}
	c.state[i], c.start[i] = e.State, max(e.StartedAt, c.start[i])
	c.ease[i] = b.climb()
	// Where gone does not bind, a server dropped from the list leaves by the clock.
	binds := e.State == BackendDraining || e.State == BackendGone && !c.boot.Settings.OnlyDrainingBinds
	if binds && !c.shut[i] {
		c.owed[i] = cmp.Or(c.owed[i], c.now)
	} else if !binds {
		c.owed[i] = 0
	}
	c.post(c.ring, redo{})
}

// climb is the share of its full weight that a server may have: it follows the slowest warming that the
// bootstrap allows, in few steps, each at the capacity surely there when the step begins.
func (b *backend) climb() float64 {
	span, cold := b.c.boot.Settings.WarmAfter.Or(10), b.c.boot.Settings.ColdShare.Or(0.3)
	since := max(b.c.start[b.i], b.c.back[b.i])
	age := b.c.now - since
	if since == 0 || age >= span || span <= 0 {
		return 1
	}
	return cold + (1-cold)*math.Floor(max(age, 0)/span*climbSteps)/climbSteps
}

// judge benches a server that does badly while others do not: one that aborts, hangs, or can't be reached,
// for all zones or for the one from which it does. It is measured by the best quarter, seen from the zone
// that fares best, so that a group that fails, even most of the fleet, or fails us alone, is found; in a
// jam the best push back as well. It harms a good server that has bad luck with few tries.
func (b *backend) judge() {
	c, i := b.c, b.i
	all, bad := sum(c.tries[i]), sum(c.bad[i])
	for z, t := range c.tries[i] {
		f, most := c.bad[i][z], healthBad+c.gate.norm
		pooled := all >= healthTries && bad > most*all && f >= healthBad*t
		alone := t >= healthTries && f > most*t
		if c.bench[i][z] > c.now || !pooled && !alone || !c.spare(z, i) {
			continue
		}
		c.bench[i][z] = c.now + min(benchLeast*math.Exp2(float64(c.fouls[i][z])), 4*benchLeast)
		c.fouls[i][z]++
		c.post(c.ring, redo{})
	}
}

// probed takes a server that answers neither RPCs nor probes out of all arcs until it answers a probe:
// one that died, hangs or is cut off, long before its RPCs time out or the list tells. It comes back as a
// cold one does, as it may have restarted. When most seem deaf, it is we who are cut off.
func (b *backend) probed(n ProbeResult) {
	c, i := b.c, b.i
	was, alone := c.away(i), c.alone
	switch {
	case n.OK:
		if c.good[i] = c.now; was {
			c.back[i] = c.now
			c.ease[i] = b.climb()
		}
		c.deaf[i] = 0
	case !n.Busy:
		c.deaf[i]++
		c.probe[i] = c.now
	}
	c.alone = c.open(func(k int) float64 { return 1 - 2*min(1, float64(c.deaf[k]/2)) }) <= 0
	if was != c.away(i) || alone != c.alone {
		c.post(c.ring, redo{})
	}
}

// frail is the ease that a cold server needs to be in the arcs. In a jam proxies that strike, or pick the
// less busy, flee from all that push back to a cold server beside them, whatever its weight: it stays out
// until it can take that. Each by its own warmth: in a release the coldest must not keep out those half warm.
// Where a line sees so few RPCs that proxies can't strike before sums tell, and sums tell of few servers
// where they would, nothing flees before a jam, nor in one where few find a busy server to flee from, and
// a release would only drown behind those that wait.
func (c *Planner) frail(line float64) float64 {
	g, strikes := c.gate, c.boot.Settings.Strikes.Or(0)
	few := max(line, sum(g.came)/c.ring.lines)*gateSpan < strikes && g.struck < struckMost
	// Then who picks the less busy flees only as far as there is one busy to flee from.
	flight := sum(g.came) * (1 + min(1, sum(g.came)/c.ring.lines*g.slow*g.soft)) / max(1e-9, c.room())
	none := !g.jammed || flight < coldStrain*c.boot.Settings.FallMultiple.Or(3)*g.best
	if g.calm || strikes <= 0 || few && none {
		return 0
	}
	if g.first == 0 || c.now <= g.first+gateSpan {
		return 1 // a start of ours knows nothing of a jam yet
	}
	part := 1 / c.open(c.full)
	if c.boot.Settings.Pick == "pair" {
		part *= 2 // who has nothing out is picked whenever drawn
	}
	part = min(part, 1/max(1e-9, c.open(func(i int) float64 { return c.weight[i] * math.Ceil(1-c.ease[i]) })))
	return sum(g.came) * part / (coldStrain * c.boot.Settings.FallMultiple.Or(3) * max(g.best, 1e-9))
}

// fit tells whether health lets a zone's arcs take a server.
func (r *ring) fit(i, zone int) bool {
	return r.c.bench[i][zone] <= r.c.now && !r.c.away(i) && r.c.ease[i] >= min(r.frail, 1)
}

// away tells whether a server has been deaf to two probes, and most others have not.
func (c *Planner) away(i int) bool { return c.deaf[i] >= 2 && !c.alone }

// lean lowers the part of the usage that arcs bring a server whose answers take too long while most do
// not: one that is slower than listed, or stalls. Its weight stays as listed; fewer arcs take it. It
// comes back in small steps.
func (b *backend) lean() {
	c, i := b.c, b.i
	if c.now < c.leant[i]+healthSpan {
		return
	}
	c.leant[i] = c.now
	good, mean := c.answers(i, c.now-healthSpan)
	switch slow := mean / c.gate.soft; {
	case good < healthTries:
	case slow > leanDelay:
		if slow > leanBeyond*c.gate.slow {
			c.trust[i] = max(leanLeast, c.trust[i]*0.85)
		}
	default:
		c.trust[i] = min(1, c.trust[i]+0.05)
	}
}

// spare tells whether health may bench one server more: what is left must not have to carry much more than
// servers have been seen to, so none is benched in a jam. What other planners' proxies send is taken to stay.
func (c *Planner) spare(z, one int) bool {
	open := c.open(c.full)
	out := c.weight[one] + c.open(func(i int) float64 {
		return c.weight[i] * max(0, min(1, math.Ceil(c.bench[i][z]-c.now)))
	})
	ours := c.ours()
	strain := ours*open/max(open-out, 1e-9) + 1 - ours
	came, carried := sum(c.gate.came), c.gate.best*open
	if c.gate.slow < jamDelay && !c.gate.jammed && c.now < c.gate.first+2*gateSpan {
		// The best rate takes seconds to be learned, and until then a server that aborts from our start on would
		// stay. Answers that are quick show that what comes is carried. Not later: where a cut fills half the
		// fleet, answers that still are quick say nothing of those that never come.
		carried = max(carried, came)
	}
	return out <= benchPart*open && came*strain <= benchStrain*carried
}

func (r *ring) take(n note) {
	switch n := n.(type) {
	case redo:
		r.dirty = true
	case moved:
		r.moved = append(r.moved, n.p)
	case clock:
		// Usage and leanings drift, so the arcs are looked at again now and then.
		r.dirty = r.dirty || r.c.now >= r.sized+1
	}
}

// resize sets an arc's size from the proxy's part of the usage; it moves by two or more, or not at all.
func (p *proxy) resize(each float64, servers int) int {
	want := min(max(arcLeast, int(math.Round(p.rate()*each))), servers)
	if p.size == 0 || want-p.size >= resizeBy || p.size-want >= resizeBy || p.size > servers {
		p.size, p.held = want, p.rate()
	}
	return p.size
}

// path gives the servers in the order in which an arc takes them: its own zone's from its start on, then the
// others', on the same ring.
func (r *ring) path(w *walk) iter.Seq[int] {
	return func(yield func(int) bool) {
		for k, turn := range [][]int{r.near[w.p.zone], r.order} {
			for i := range r.from(turn, w.p.start) {
				if near := r.c.zone[i] == w.p.zone; (k == 1) != near && (near || !w.s.near) && !yield(i) {
					return
				}
			}
		}
	}
}

// step takes servers from the path until they fill an arc. One that has its part of the usage already is
// passed over, as in consistent hashing with bounded loads; so is one that is not fit. One that is cold fills
// less of its place, so that an arc has enough warm weight beside it.
func (r *ring) step(w *walk, bound float64, fit func(i, zone int) bool) {
	c := r.c
	for i := range r.path(w) {
		place := c.ease[i] * c.weight[i]
		if w.fill < place/2 && w.least < 0.5 {
			return
		}
		if r.took[i] != w && r.others[i]+c.carry[i]+w.per*place <= bound*c.part[i] && fit(i, w.p.zone) {
			r.took[i], w.arc = w, append(w.arc, i)
			c.carry[i] += w.per * place
			c.cover[i]++
			if !c.shut[i] {
				w.fill, w.least, w.usable = w.fill-place, w.least-c.ease[i], true
			}
		}
	}
}

// settle gives a proxy its start, which it keeps: where the last deal left the ring least used. So starts are
// dealt evenly, yet an arc moves for its own reasons or its servers' only.
func (r *ring) settle(w *walk) {
	c, p := r.c, w.p
	least := slices.MinFunc(r.turn(p.zone), func(a, b int) int { return cmp.Compare(c.rich(a), c.rich(b)) })
	p.start, p.settled = c.hash[least], true
}

// refresh brings the arcs up to date. A proxy that joins gets its arc over the load as dealt; all are dealt anew
// when the list or health changed, and for joins and leaves once a batch of them is through: in a storm of
// joins a deal for each would leave no time to hear anything else.
func (r *ring) refresh() (changed bool) {
	late := len(r.moved) > 0 && r.c.now >= r.sized+tick
	if r.dirty || late || float64(len(r.moved)) > dealBatch*float64(r.joined) {
		r.deal()
		return true
	}
	for _, p := range r.moved[r.placed:] {
		if p.joined && p.round != r.round { // else it broke and came again: its arc is among those dealt
			r.place(p)
			changed = true
		}
	}
	r.placed = len(r.moved)
	return changed
}

// place gives one proxy its arcs beside those that are dealt.
func (r *ring) place(p *proxy) {
	p.round = r.round
	for _, s := range p.sheets {
		w := &walk{p: p, s: s}
		r.size(w)
		r.fill(w)
		r.bring(w)
		r.publish(w)
	}
}

// deal gives all joined proxies their arcs anew.
func (r *ring) deal() {
	c := r.c
	r.dirty, r.sized, r.moved, r.placed, r.round = false, c.now, nil, 0, r.round+1
	r.survey()
	walks, asks, away := r.gather()
	r.lines = max(1, coverage*float64(len(r.order)), arcMean*float64(len(walks)))
	r.each = r.lines / asks
	r.frail = c.frail(asks / r.lines)
	slices.SortStableFunc(walks, func(a, b *walk) int { return cmp.Compare(b.p.held, a.p.held) })
	for _, i := range r.order { // what a zone keeps to itself is not for cold ones
		if c.ease[i] < 1 {
			c.part[i] *= fairLeast / c.gate.fair
		}
	}
	if c.gate.first == 0 { // until the first sums proxies join one by one; all anew lies evener
		c.carry = make([]float64, len(c.id))
	}
	held := 1e-9
	for _, w := range walks {
		if r.size(w) {
			r.reserve(w)
		}
		if w.s == w.p.sheets[0] {
			held += w.p.held
		}
	}
	// What is dealt is what arcs were sized for: beside what all ask by now, a zone would seem to have room in a
	// burst. And no more for there being many planners, though the lumps of their arcs add to ours by the root
	// only: a full zone is full for all of them.
	r.bound = (held + sum(away)) * c.gate.fair / r.room
	c.carry, c.cover, r.took = make([]float64, len(c.id)), make([]int, len(c.id)), make([]*walk, len(c.id))
	r.elsewhere(away)
	for _, w := range walks {
		r.fill(w)
	}
	r.reach(walks, func(zone int) float64 { return away[zone] / (asks + sum(away)) })
	c.brought = make([]float64, len(c.id))
	for _, w := range walks {
		r.bring(w)
	}
	for _, w := range walks {
		r.publish(w)
	}
}

// survey looks at the open servers: their order on the ring, and the part of the usage that each may have.
func (r *ring) survey() {
	c := r.c
	r.order = c.hashed()
	r.near = make([][]int, len(c.zones))
	r.mean = c.open(c.full) / float64(len(r.order))
	// A cold server's part goes by the mean trust: it has had no time to lose any.
	trust := c.open(func(i int) float64 { return c.trust[i] }) / float64(len(r.order))
	r.room = 1e-9
	c.part = make([]float64, len(c.id))
	for _, i := range r.order {
		r.near[c.zone[i]] = append(r.near[c.zone[i]], i)
		c.part[i] = c.weight[i] * c.ease[i] * min(c.trust[i], trust+math.Floor(c.ease[i]))
		if !c.away(i) {
			r.room += c.part[i]
		}
	}
}

// size sets what a walk has to take; it tells whether the walk has a new start.
func (r *ring) size(w *walk) (settled bool) {
	n := float64(w.p.resize(r.each, len(r.order)))
	w.fill, w.least, w.per = n*r.mean, min(n, arcLeast), w.p.held/n/r.mean
	if w.p.settled && r.c.gate.first != 0 || len(r.order) == 0 {
		return false
	}
	r.settle(w)
	return true
}

// fill takes servers for one walk.
func (r *ring) fill(w *walk) {
	// When all have their part, the bound gives way by small steps, so that what is too much lies even.
	for limit := r.bound; limit == r.bound || w.fill > 0 && limit < 16*r.bound; limit *= 1.09 {
		r.step(w, limit, r.fit)
	}
	// Health never leaves an arc bare: what is unfit still beats nothing, warm ones first.
	for _, least := range []float64{1, 0} {
		if !w.usable {
			r.step(w, math.Inf(1), func(i, _ int) bool { return r.c.ease[i] >= least })
		}
	}
}

// reach gives what the arcs leave out to those that would reach it soonest.
func (r *ring) reach(walks []*walk, away func(zone int) float64) {
	c := r.c
	for _, i := range r.order {
		if away(c.zone[i]) > 1/float64(2*len(c.zones)) {
			continue // others, who have most of its zone's proxies, cover it
		}
		for range max(0, coverage-c.cover[i]) {
			if best := r.soonest(walks, i); best != nil {
				best.arc = append(best.arc, i)
				c.cover[i]++
			}
		}
	}
}

// soonest gives the walk that would come to a server next, nil if none may take it.
func (r *ring) soonest(walks []*walk, i int) (best *walk) {
	c, soonest := r.c, uint64(math.MaxUint64)
	for _, w := range walks {
		ahead := uint64(c.hash[i] - w.p.start)
		if c.zone[i] != w.p.zone {
			ahead += 1 << 32
		}
		if ahead < soonest && !(w.s.near && ahead >= 1<<32) && r.fit(i, w.p.zone) && !slices.Contains(w.arc, i) {
			best, soonest = w, ahead
		}
	}
	return best
}

func (p *proxy) take(n note) {
	c := p.c
	switch n := n.(type) {
	case ProxyJoined:
		// The stream is new: a push of the last one is forgotten, and nothing of ours is bound.
		p.joined, p.bound, p.flying, p.due, p.sent = true, false, false, 0, nil
		p.warned, p.since = false, c.now
		if zone := c.place(n.Zone); p.zone != zone {
			p.zone, p.round = zone, 0
		}
		if p.rate() == 0 {
			for m := range p.usage {
				p.usage[m], p.summed[m] = n.Rate/float64(len(p.usage)), c.now
			}
		}
		c.post(c.ring, moved{p})
		c.stir(p)
	case ProxyLeft:
		p.joined, p.bound, p.flying, c.gate.broke = false, false, false, c.now
		c.post(c.ring, moved{p})
	case PushAcknowledged:
		if p.flying && n.Nonce == p.mark {
			p.flying, p.confirmed = false, p.version
			c.stir(p)
		}
	case UsageReport:
		// A proxy with nothing to tell sends no sum, so the average fades with the time since the last.
		m := n.Method
		p.usage[m] = p.usage[m]*math.Exp(-(c.now-p.summed[m])/usageSpan) + float64(n.RPCs)/usageSpan
		p.summed[m] = c.now
	case levels:
		p.share, p.tries = n.share, n.tries
		if slices.ContainsFunc(p.sheets, p.differs) {
			c.stir(p)
		}
	case flush:
		if p.joined {
			p.flush()
			p.warn()
			c.channel.queued += c.channel.message(p)
		}
	}
}

// flush sends what waits. The ordinary path is clocked by answers; guards are not.
func (p *proxy) flush() {
	c := p.c
	silent := p.flying && c.now > p.left+silence*c.channel.usual
	urgent := slices.ContainsFunc(p.sheets, p.urgent) && c.channel.few(p, urgentPart)
	p.waits = silent || !p.bound || slices.ContainsFunc(p.sheets, p.differs)
	if !p.waits || !urgent && (p.flying && !silent || !c.channel.room(p)) {
		return
	}
	full := !p.bound || silent
	for _, s := range p.sheets {
		if p.write(s); full && len(s.told) > 0 {
			p.bound = true
			c.out = append(c.out, BindTable{p.id, s.table, s.methods})
			p.due += 1 + len(s.told) + len(s.level)
		}
	}
	p.clocked = p.bound && p.due > 0 && (!p.flying || silent)
}

// warn has a proxy told all that is withdrawn, if it may still go by a table that it brought along. A table of
// ours says it in fewer lines, so that comes first if it comes soon: thousands of lists would overflow the channel.
func (p *proxy) warn() {
	c, out := p.c, 0
	for _, shut := range c.shut {
		if shut {
			out++
		}
	}
	if p.warned || p.bound && !p.lacks() {
		return
	}
	p.waits = true
	none := slices.ContainsFunc(p.sheets, func(s *sheet) bool { return len(s.told)+len(s.want) == 0 })
	soon := !none && c.now < p.since+warnPart*c.boot.Settings.DrainGrace.Or(1)
	if soon || float64(c.channel.lines()+c.channel.queued+out) > urgentPart*c.boot.Settings.ChannelRoom.Or(math.Inf(1)) {
		return
	}
	p.warned = true
	p.due += out
	c.out = append(c.out, NotifyExclusions{p.id})
}

// urgent tells whether a table has lost all lines that may be used, or gives a cold server more than it
// may have; such news can't wait for an answer.
func (p *proxy) urgent(s *sheet) bool {
	c := p.c
	usable := func(l line) bool { return !c.shut[l.ep] }
	// By its ease, not its weight: lists that follow the load lower the weight of one that is as warm as before.
	cold := func(l line) bool { return l.ease > 1.3*c.ease[l.ep] }
	return p.bound && (slices.ContainsFunc(s.told, cold) ||
		!slices.ContainsFunc(s.told, usable) && slices.ContainsFunc(s.want, usable))
}

// level is what a table lets in of a method, in the unit that the proxies go by.
func (p *proxy) level(m int) float64 {
	if p.share[m] >= 1 || p.c.boot.Settings.LevelKind != "rate" {
		return p.share[m]
	}
	// A proxy with little usage sees bursts that its mean rate would refuse beside a level meant for the mean.
	u := max(p.usage[m], 0.1)
	want, was := p.share[m]*(u+burst*math.Sqrt(u)), p.sheets[0].level[m]
	if math.Abs(was-want) < 0.15*want { // each change is a line
		return was
	}
	return want
}

// pull sends the withdrawals that are owed, without waiting for answers. When many have gone of late they
// are gathered for part of the grace, against a list that drops its servers one by one.
func (c *Planner) pull() {
	oldest := math.Inf(1)
	for _, since := range c.owed {
		oldest = min(oldest, cmp.Or(since, oldest))
	}
	hold := max(0, c.boot.Settings.DrainGrace.Or(1)-c.boot.Settings.PushTimeWorst.Or(0.4)-3*c.channel.usual) / 2
	crowded := func(p *proxy) bool { return p.joined && !c.channel.few(p, ordinaryPart) }
	if math.IsInf(oldest, 1) || c.now < oldest+hold && slices.ContainsFunc(c.proxies, crowded) {
		return
	}
	for i, since := range c.owed {
		if since > 0 {
			c.owed[i] = 0
			c.withdraw(i, true)
		}
	}
}

// topples tells whether the arcs would bring a cold server more than it stands where no warm one is listed,
// as when a list shrinks to few servers, all cold. The best rate of answers is less than a server can do,
// so the bound is wider: a fleet that is all cold at its usual load stays within it. It harms where the
// best rate was seen on a very quiet day.
func (c *Planner) topples(i int) bool {
	most := c.boot.Settings.FallMultiple.Or(3) * c.ease[i] * c.weight[i] * c.gate.best / coldStrain * c.ours()
	if c.shut[i] {
		most /= 2 // else it would come and go
	}
	// What counts is the start that the list tells: a server that was only deaf for a while is owed to rule 1.
	young := func(k int) bool { return c.start[k] > 0 && c.now < c.start[k]+c.boot.Settings.WarmAfter.Or(10) }
	return young(i) && c.gate.best > 0 && c.brought[i] > most && c.open(func(k int) float64 {
		if young(k) {
			return 0
		}
		return 1
	}) == 0
}

// spareCold withdraws such servers: who is left without a line goes without, which beats a server that is
// down for good; rule 1 asks for a line only where a warm one is listed.
func (c *Planner) spareCold() (any bool) {
	for i := range c.id {
		if c.state[i] == BackendOpen && !c.shut[i] && c.topples(i) {
			c.withdraw(i, true)
			any = true
		}
	}
	return any
}

// readmit lets a withdrawn server in again once no table gives it more than it may have.
func (c *Planner) readmit() {
	for i := range c.id {
		if !c.shut[i] || c.state[i] != BackendOpen {
			continue
		}
		risky := func(p *proxy) bool { return p.joined && p.heaviest(i) > 1.05*c.weight[i]*c.ease[i] }
		if !c.topples(i) && !slices.ContainsFunc(c.proxies, risky) {
			c.withdraw(i, false)
			c.ring.dirty = true
		}
	}
}

func (h *channel) take(n note) {
	switch n := n.(type) {
	case heard:
		// Messages leave in order: an answer shows that all sent before it have left.
		at := slices.IndexFunc(h.ledger, func(l load) bool { return l.mark == n.mark })
		if at >= 0 {
			h.usual += 0.1 * (max(n.delay, h.c.now-h.ledger[at].at) - h.usual)
			h.ledger = h.ledger[at:]
		}
	case clock:
		// What broke off with a stream is never answered.
		h.ledger = slices.DeleteFunc(h.ledger, func(l load) bool { return h.c.now > l.at+10 })
	}
}

// few tells whether a proxy has had so few messages of late that another keeps within part of the limit: the
// rest stays free for what can't be put off.
func (h *channel) few(p *proxy, part float64) bool {
	most, span := h.c.boot.Settings.Messages.Or(0), h.c.boot.Settings.MessagesSpan.Or(10)
	p.sent = slices.DeleteFunc(p.sent, func(at Seconds) bool { return at < h.c.now-span-1 })
	return most == 0 || float64(len(p.sent)+1) <= part*most
}

// room tells whether an ordinary push fits. One that rides with a withdrawal is no message more.
func (h *channel) room(p *proxy) bool {
	fits := float64(h.lines()+h.queued+p.cost()) < ordinaryPart*h.c.boot.Settings.ChannelRoom.Or(math.Inf(1))
	return fits && (!p.bound || p.due > 0 || h.few(p, ordinaryPart))
}

// free is when a method's RPCs are tried again while there is no jam. After proof only, idempotent ones
// too: a second send after a mere time-out feeds the jam that it came from.
func (c *Planner) free(method MethodSettings) RetryPolicy {
	// A second send is at most one try's wait after the first: is the repeat surely dropped then?
	soon := c.boot.Settings.TryWait.Or(1)*method.SoftDeadline.Or(1) < 0.9*method.Window.Or(0)
	most := method.MostTries
	if most == "once" {
		return RetryNever
	}
	if most != "proven" && method.Effect == "tokened" && method.Group == "all" && soon {
		return RetryOnce
	}
	return RetryIfUnprocessed
}

// now gives the tries for the present: in a jam, second sends feed the jam.
func (g *gate) now() []RetryPolicy {
	if !g.jammed {
		return g.free
	}
	return slices.Repeat([]RetryPolicy{RetryNever}, len(g.free))
}

func (g *gate) take(n note) {
	c := g.c
	switch n := n.(type) {
	case UsageReport:
		g.came[n.Method] += float64(n.RPCs) / gateSpan
	case clock:
		for m := range g.came {
			g.came[m] *= math.Exp(-tick / gateSpan)
		}
		if c.now >= g.next {
			g.next = c.now + 1
			g.look()
		}
	}
}

// look tells a jam from single failures: most servers do badly together, each judged by the zone that
// fares best with it, as a cut between zones is no jam.
func (g *gate) look() {
	c := g.c
	jam, all, good, slow, crowded, met, struck := 0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0
	strikes := c.boot.Settings.Strikes.Or(0)
	// Servers push back when their queues are full, and then what they answer has waited. Bad tries beside
	// quick answers are something else: a group that fails, or fails us alone; letting in less would not help.
	// It harms where servers push back early, before their queues cost half a soft deadline.
	if g.slow > jamDelay {
		crowded = 1
	}
	for i := range c.id {
		best := math.Inf(1)
		for z := range c.tries[i] {
			fade := math.Exp(-(c.now - c.last[i][z]) / healthSpan)
			rate := (c.tries[i][z] - c.bad[i][z]) * fade / healthSpan
			slow, good = slow+rate*c.delay[i][z]/g.soft, good+rate
			if t := c.tries[i][z]; t >= healthTries/2 && fade > 0.2 {
				met, struck = met+t, struck+t*math.Pow(c.bad[i][z]/t, strikes)
				best = min(best, max(crowded*c.bad[i][z]/t/jamBad, c.delay[i][z]/g.soft/jamDelay))
			}
		}
		if !math.IsInf(best, 1) && c.state[i] == BackendOpen {
			all++
			jam += math.Ceil(min(1, max(0, best-1)))
		}
	}
	g.norm = 1
	for z := range len(c.zones) {
		shares := c.shares(z, healthTries/2, c.now-2*healthSpan)
		g.norm = min(g.norm, shares[len(shares)/4])
	}
	room := c.room()
	g.slow, g.struck = slow/max(good, 1e-9), struck/met
	// A zone with more than its part is the first to jam when a burst comes, and then it is late for a new deal:
	// it may be that full only as far as it saves what crossings cost.
	most := min(fairMost, fairLeast+fairPrice*c.boot.Settings.CrossingPrice.Or(0))
	g.fair += 0.2 * (fairLeast + (most-fairLeast)*min(1, max(0, 2-4*g.slow)) - g.fair)
	// Answers that are still told of while nothing is open, as when the list emptied, are nobody's rate.
	if room > 1e-6 {
		g.rate += 0.3 * (good/room - g.rate)
		g.best = max(g.best, g.rate)
	}
	switch {
	case all == 0:
		return
	case jam >= jamPart*all:
		g.jammed, g.since = true, c.now
		// What was answered is what can be: letting in a little less lets the queues run off. Not below
		// most of what such a fleet has answered before, as the sums are late and the queues hide it.
		if c.now >= g.cut+gateSpan/2 {
			g.cut, g.limit = c.now, max(min(g.limit, good*0.85), limitLeast*g.best*room)
		}
	default:
		g.jammed = g.jammed && c.now < g.since+gateSpan
		g.limit *= 1.1 + 0.3*max(0, 1-2*jam/all/jamPart)
	}
	g.first = cmp.Or(g.first, c.now)
	// A jam may be near before sums tell: streams broke, answers slow down, the list took much of the room.
	g.calm = !g.jammed && jam < jamPart/3*all && g.slow < jamDelay && c.now > max(g.first, g.broke)+gateSpan &&
		sum(g.came) < g.best*room
	g.share = g.shares()
	for _, p := range c.proxies {
		c.post(p, levels{g.share, g.now()})
	}
}

// shares sheds the lowest criticality first.
func (g *gate) shares() []float64 {
	c, share := g.c, make([]float64, len(g.share))
	over, order := -g.limit, make([]int, len(share))
	for m := range share {
		share[m], order[m] = 1, m
		over += g.came[m]
	}
	if over < -0.1*g.limit {
		g.limit = math.Inf(1)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(g.criticality[a], g.criticality[b]) })
	for k := 0; k < len(order) && over > 0 && c.boot.Settings.LevelKind != "none"; {
		end, came := k, 0.0
		for ; end < len(order) && g.criticality[order[end]] == g.criticality[order[k]]; end++ {
			came += g.came[order[end]]
		}
		for ; k < end; k++ {
			share[order[k]] = math.Round(max(0.05, 1-over/max(came, 0.01))*20) / 20
		}
		over -= 0.95 * came
	}
	return share
}
