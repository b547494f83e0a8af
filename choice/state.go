package choice

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"iter"
	"math"
	"slices"
)

// The parts' state and the loop that carries their notes. No decision is taken here.

// Planner is one instance.
type Planner struct {
	boot  Config
	now   Seconds
	count uint32
	figures
	eps     []*backend
	index   map[BackendID]int
	spared  []int     // places in the figures that were given back
	gone    []Seconds // since when each server is gone; 0: it is not
	zones   map[Zone]int
	proxies []*proxy // by number
	roll    *roll
	ring    *ring
	gate    *gate
	channel *channel
	waiting []part
	out     []Command
	alarm   Seconds
	heard   Seconds  // the newest sum
	alone   bool     // most servers seem deaf
	stirred []*proxy // what they hold may have to change in this step
}

func (c *Planner) parts() []part {
	all := []part{c.roll, c.gate, c.channel}
	for _, e := range c.eps {
		all = append(all, e)
	}
	return append(all, c.ring)
}

// route puts an event into the inbox of the part that it concerns.
func (c *Planner) route(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		c.post(c.roll, e)
	case ProxyJoined:
		c.post(c.proxy(e.Proxy), e)
	case ProxyLeft:
		c.post(c.proxy(e.Proxy), e)
	case PushAcknowledged:
		c.post(c.channel, heard{e.Nonce, e.Delay})
		c.post(c.proxy(e.Proxy), e)
	case UsageReport:
		c.post(c.gate, e)
		c.post(c.proxy(e.Proxy), e)
	case AttemptReport:
		if i, ok := c.index[e.Backend]; ok {
			c.post(c.eps[i], e)
		}
	case ProbeResult:
		if i, ok := c.index[e.Backend]; ok {
			c.post(c.eps[i], e)
		}
	}
}

func (c *Planner) post(to part, n note) {
	b := to.inbox()
	if b.notes = append(b.notes, n); len(b.notes) == 1 {
		c.waiting = append(c.waiting, to)
	}
}

func (c *Planner) loop() {
	for len(c.waiting) > 0 {
		p := c.waiting[0]
		c.waiting = c.waiting[1:]
		notes := p.inbox().notes
		p.inbox().notes = nil
		for _, n := range notes {
			p.take(n)
		}
	}
}

// chance draws from 0 to 1.
func (c *Planner) chance() float64 {
	c.count++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, c.boot.Seed), c.count)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (c *Planner) place(z Zone) int {
	i, ok := c.zones[z]
	if !ok {
		i = len(c.zones)
		c.zones[z] = i
		for k := range c.id {
			c.widen(k)
		}
	}
	return i
}

// roll keeps the list of servers, and sees to it that news of it keeps coming.
type roll struct {
	box
	c     *Planner
	ask   Seconds // when to ask again
	tried int     // failures in a row
}

// spread posts a list to the actors of its servers, and to those that a whole list no longer names.
func (c *Planner) spread(n EndpointUpdate) {
	listed := map[int]bool{}
	for _, e := range n.Endpoints {
		i := c.backend(e.Backend)
		listed[i] = true
		c.post(c.eps[i], e)
	}
	for i, e := range c.eps {
		if n.Kind != UpdateDelta && !listed[i] && c.state[i] != BackendGone {
			c.post(e, Endpoint{Backend: c.id[i], State: BackendGone, StartedAt: c.start[i]})
		}
	}
}

// backend is the actor of one server.
type backend struct {
	box
	c *Planner
	i int
}

func (c *Planner) backend(id BackendID) int {
	if i, ok := c.index[id]; ok {
		return i
	}
	if n := len(c.spared); n > 0 {
		i := c.spared[n-1]
		c.spared = c.spared[:n-1]
		c.settleIn(i, id)
		return i
	}
	i := len(c.id)
	c.index[id] = i
	c.eps = append(c.eps, &backend{c: c, i: i})
	c.id, c.zone, c.weight = append(c.id, id), append(c.zone, 0), append(c.weight, 1)
	c.state, c.start = append(c.state, BackendGone), append(c.start, 0)
	c.hash = append(c.hash, crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(id))))
	c.carry, c.cover, c.brought = append(c.carry, 0), append(c.cover, 0), append(c.brought, 0)
	c.ease, c.shut, c.probe = append(c.ease, 1), append(c.shut, false), append(c.probe, 0)
	c.good, c.back, c.dealt = append(c.good, 0), append(c.back, 0), append(c.dealt, c.now)
	c.deaf = append(c.deaf, 0)
	c.owed, c.trust, c.leant = append(c.owed, 0), append(c.trust, 1), append(c.leant, 0)
	c.tries, c.bad = append(c.tries, nil), append(c.bad, nil)
	c.delay, c.last = append(c.delay, nil), append(c.last, nil)
	c.bench, c.fouls = append(c.bench, nil), append(c.fouls, nil)
	c.gone = append(c.gone, 0)
	c.widen(i)
	return i
}

// settleIn gives a place that was given back to another server, as if it were new.
func (c *Planner) settleIn(i int, id BackendID) {
	c.index[id] = i
	c.id[i], c.zone[i], c.weight[i], c.state[i], c.start[i] = id, 0, 1, BackendGone, 0
	c.hash[i] = crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(id)))
	c.brought[i], c.carry[i], c.cover[i], c.ease[i], c.shut[i], c.probe[i] = 0, 0, 0, 1, false, 0
	c.good[i], c.back[i], c.dealt[i], c.deaf[i], c.owed[i] = 0, 0, c.now, 0, 0
	c.trust[i], c.leant[i], c.gone[i] = 1, 0, 0
	for _, of := range [][][]float64{c.tries, c.bad, c.delay, c.last, c.bench} {
		clear(of[i])
	}
	clear(c.fouls[i])
}

// tidy gives back the places of proxies that left, and of servers that are gone, so long ago that nothing names them
// any more: else each deploy under new ids would make every step dearer.
func (c *Planner) tidy() {
	c.proxies = slices.DeleteFunc(c.proxies, func(p *proxy) bool {
		if p.joined {
			p.parted = 0
			return false
		}
		if p.parted = cmp.Or(p.parted, c.now); c.now < p.parted+BackendRetention {
			return false
		}
		for _, s := range p.sheets {
			c.out = append(c.out, ClearTable{s.table})
		}
		return true
	})
	for i, state := range c.state {
		switch _, used := c.index[c.id[i]]; {
		case state != BackendGone || !used || c.index[c.id[i]] != i:
			c.gone[i] = 0
		case c.gone[i] == 0:
			c.gone[i] = c.now
		case c.now >= c.gone[i]+BackendRetention && !slices.ContainsFunc(c.proxies, func(p *proxy) bool { return p.names(i) }):
			if c.shut[i] {
				c.withdraw(i, false)
			}
			delete(c.index, c.id[i])
			c.spared = append(c.spared, i)
		}
	}
}

// names tells whether a table of the proxy has, or may have, a line of a server.
func (p *proxy) names(i int) bool {
	is := func(l line) bool { return l.ep == i }
	return slices.ContainsFunc(p.sheets, func(s *sheet) bool {
		return slices.ContainsFunc(s.told, is) || slices.ContainsFunc(s.want, is)
	})
}

// widen makes room for zones met since.
func (c *Planner) widen(i int) {
	for len(c.tries[i]) < len(c.zones) {
		c.tries[i], c.bad[i] = append(c.tries[i], 0), append(c.bad[i], 0)
		c.delay[i], c.last[i] = append(c.delay[i], 0), append(c.last[i], 0)
		c.bench[i], c.fouls[i] = append(c.bench[i], 0), append(c.fouls[i], 0)
	}
}

// ring deals the arcs.
type ring struct {
	box
	c      *Planner
	dirty  bool
	moved  []*proxy // that joined or left since the last deal
	placed int      // of those, how many were looked at
	round  int      // number of the last deal
	frail  float64  // ease that the arcs now being dealt ask of a server
	sized  Seconds
	joined int
	each   float64   // servers in an arc, for each RPC a second
	mean   float64   // weight of an open server
	room   float64   // parts of the open servers that hear, added up
	bound  float64   // of its part, what arcs may bring a server
	others []float64 // what other planners' proxies bring each server
	lines  float64   // that the arcs are to have together
	order  []int     // the open servers, in the order of the ring
	near   [][]int   // those of each zone
	took   []*walk   // the last arc that took each server in this deal
}

// from goes once round part of the ring, from a place on it.
func (r *ring) from(turn []int, place uint32) iter.Seq[int] {
	return func(yield func(int) bool) {
		hash := func(i int, h uint32) int { return cmp.Compare(r.c.hash[i], h) }
		at, _ := slices.BinarySearchFunc(turn, place, hash)
		for k := range turn {
			if !yield(turn[(at+k)%len(turn)]) {
				return
			}
		}
	}
}

// walk is the way one arc takes.
type walk struct {
	p      *proxy
	s      *sheet
	arc    []int
	fill   float64 // weight still to take
	least  float64 // servers still to take
	per    float64 // usage for each weight
	usable bool    // it has a server that is not withdrawn
}

// proxy is the actor of one proxy: its tables and its clock.
type proxy struct {
	box
	c         *Planner
	id        ProxyID
	zone      int
	joined    bool
	parted    Seconds // since when it is not
	bound     bool
	start     uint32    // of its arc, on the ring
	settled   bool      // it has one
	round     int       // the deal after which its arcs were last set
	since     Seconds   // when it joined
	warned    bool      // on this stream it was told all that is withdrawn
	stirred   bool      // it is among those of this step
	waits     bool      // something for it could not be sent yet
	size      int       // of its arc
	held      float64   // its usage when that was set
	usage     []float64 // RPCs a second, by method
	summed    []Seconds // when each was last told
	sheets    []*sheet
	version   int // of the newest push
	confirmed int
	flying    bool  // a push is in flight,
	mark      Nonce // with this mark,
	left      Seconds
	sent      []Seconds // of the messages within the span that is limited
	due       int       // lines for it in this step
	clocked   bool      // this step's message is a push
	share     []float64
	tries     []RetryPolicy
}

func (c *Planner) proxy(id ProxyID) *proxy {
	at, ok := slices.BinarySearchFunc(c.proxies, id, func(p *proxy, id ProxyID) int { return int(p.id - id) })
	if ok {
		return c.proxies[at]
	}
	methods := len(c.boot.Settings.Methods)
	p := &proxy{c: c, id: id, share: c.gate.share, tries: c.gate.now()}
	p.usage, p.summed = make([]float64, methods), make([]Seconds, methods)
	open, near := uint64(0), uint64(0)
	for m, method := range c.boot.Settings.Methods {
		if method.OwnZone {
			near |= 1 << m
		} else {
			open |= 1 << m
		}
	}
	for k, mask := range []uint64{open, near} {
		if mask != 0 {
			s := &sheet{table: TableID(2*int(id) + k), methods: mask, near: k == 1}
			s.level, s.tries = slices.Repeat([]float64{-1}, methods), make([]RetryPolicy, methods)
			p.sheets = append(p.sheets, s)
		}
	}
	c.proxies = slices.Insert(c.proxies, at, p)
	return p
}

func (p *proxy) rate() float64 { return sum(p.usage) }

// heaviest is the largest weight that a table of the proxy gives a server.
func (p *proxy) heaviest(i int) (w float64) {
	for _, s := range p.sheets {
		for _, l := range s.told {
			if l.ep == i {
				w = max(w, l.w)
			}
		}
	}
	return w
}

// lacks tells whether some methods have no table of ours yet, so that one that the proxy brought along is in force.
func (p *proxy) lacks() bool {
	return slices.ContainsFunc(p.sheets, func(s *sheet) bool { return len(s.told) == 0 })
}

// withdraw shuts a server out of all tables, or lets it in again, and counts the lines that this costs.
func (c *Planner) withdraw(i int, on bool) {
	c.shut[i] = on
	c.out = append(c.out, SetExclusion{c.id[i], on})
	for _, p := range c.proxies {
		if p.joined && (!p.bound || p.heaviest(i) > 0 || p.lacks()) {
			p.due++
			c.stir(p)
		} else if p.waits {
			c.stir(p) // what it waits for may hold this server
		}
	}
}

func (p *proxy) cost() (lines int) {
	for _, s := range p.sheets {
		lines += len(s.want) + len(s.told) + len(p.usage) + 1
	}
	return lines
}

func (p *proxy) differs(s *sheet) bool {
	other := !slices.Equal(s.want, s.told)
	for m := range p.share {
		other = other || s.has(m) && (s.level[m] != p.level(m) || s.tries[m] != p.tries[m])
	}
	return other && len(s.want) > 0
}

// write brings a table to what it should hold; with no server to use, it keeps what it has.
func (p *proxy) write(s *sheet) {
	c := p.c
	if len(s.want) == 0 {
		return
	}
	for _, l := range delta(s.told, s.want) {
		c.out = append(c.out, SetTableEntry{s.table, c.id[l.ep], l.w})
		p.due++
	}
	s.told = slices.Clone(s.want)
	for m := range p.share {
		if level := p.level(m); s.has(m) && (s.level[m] != level || s.tries[m] != p.tries[m]) {
			s.level[m], s.tries[m] = level, p.tries[m]
			if c.boot.Settings.LevelKind == "rate" && level == 1 {
				level = 1e6
			}
			c.out = append(c.out, SetAdmission{s.table, 1 << m, level, p.tries[m]})
			p.due++
		}
	}
}

// channel counts what may still wait in it, and keeps marks and the usual answer time.
type channel struct {
	box
	c      *Planner
	mark   Nonce
	usual  Seconds
	queued int // lines of this step, so far
	ledger []load
}

func (h *channel) lines() (sum int) {
	for _, l := range h.ledger {
		sum += l.lines
	}
	return sum
}

// message gives the lines of this step's message to a proxy: its own, its head's and its mark.
func (h *channel) message(p *proxy) int {
	if p.due == 0 {
		return 0
	}
	return p.due + int(h.c.boot.Settings.MessageLines.Or(10)) + 1
}

// seal closes the step: one mark for all its messages.
func (c *Planner) seal() {
	h := c.channel
	h.queued = 0
	lines, ahead, next := 0, h.lines(), (h.mark+1)%NonceSpace
	for _, p := range c.proxies {
		if p.due == 0 {
			continue
		}
		lines += h.message(p)
		p.sent = append(p.sent, c.now)
		if p.clocked {
			p.flying, p.mark, p.version = true, next, p.version+1
			p.left = c.now + leaving*float64(ahead+lines)/c.boot.Settings.ChannelPace.Or(1e4)
		}
		p.due, p.clocked = 0, false
	}
	if lines > 0 {
		h.mark = next
		h.ledger = append(h.ledger, load{next, c.now, lines})
		c.out = append(c.out, SetNonce{next, false})
	}
}

// gate decides what is let in and when proxies try again.
type gate struct {
	box
	c           *Planner
	share       []float64
	free        []RetryPolicy // while there is room
	criticality []float64     // by method
	came        []float64     // RPCs a second of late, by method
	soft        Seconds       // the shortest soft deadline
	limit       float64       // RPCs a second that are let in
	rate        float64       // answers a second for each weight
	best        float64       // answers a second for each weight, the best so far
	slow        float64       // mean time of answers, in soft deadlines
	struck      float64       // share of tries at servers that fail as many in a row as proxies bear
	norm        float64       // share of bad tries at the best quarter of the servers, from the zone that fares best
	fair        float64       // of its part, what arcs may bring a server
	jammed      bool
	calm        bool    // no jam, and none near
	first       Seconds // sums
	since       Seconds
	broke       Seconds // when a stream last broke
	cut         Seconds
	next        Seconds
}

// hashed gives the open servers, in the order of the ring.
func (c *Planner) hashed() (order []int) {
	for i := range c.id {
		if c.state[i] == BackendOpen {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(c.hash[a], c.hash[b]), cmp.Compare(c.id[a], c.id[b]))
	})
	return order
}

func sum(of []float64) (total float64) {
	for _, x := range of {
		total += x
	}
	return total
}

// delta gives the lines that turn one table into another; weight 0 removes a line.
func delta(from, to []line) (lines []line) {
	old := map[int]float64{}
	for _, l := range from {
		old[l.ep] = l.w
	}
	for _, l := range to {
		if old[l.ep] != l.w {
			lines = append(lines, l)
		}
		delete(old, l.ep)
	}
	for _, l := range from {
		if _, ok := old[l.ep]; ok {
			lines = append(lines, line{ep: l.ep})
		}
	}
	return lines
}

// met adds a sum to the faded sums of its pair; the old mean time counts for a part of its tries.
func (c *Planner) met(i int, n AttemptReport, span Seconds, old float64) {
	z := c.place(n.Zone)
	keep := math.Exp(-(c.now - c.last[i][z]) / span)
	c.last[i][z], c.heard = c.now, c.now
	good := float64(n.Attempts - n.Failures)
	if have := (c.tries[i][z] - c.bad[i][z]) * keep * old; good > 0 {
		c.delay[i][z] = (c.delay[i][z]*have + n.MeanLatency*good) / (have + good)
		c.good[i] = c.now
	}
	c.tries[i][z] = c.tries[i][z]*keep + float64(n.Attempts)
	c.bad[i][z] = c.bad[i][z]*keep + float64(n.Failures)
}

// shares gives the shares of bad tries from a zone, in order, of the servers with so many tries since a time.
func (c *Planner) shares(z int, tries float64, since Seconds) []float64 {
	all := []float64{}
	for i, t := range c.tries {
		if t[z] >= tries && c.last[i][z] > since {
			all = append(all, c.bad[i][z]/t[z])
		}
	}
	if len(all) == 0 {
		return []float64{0}
	}
	slices.Sort(all)
	return all
}

// answers gives how many good answers of a server were heard of since a time, and their mean delay.
func (c *Planner) answers(i int, since Seconds) (good float64, mean Seconds) {
	for z, t := range c.tries[i] {
		if c.last[i][z] > since {
			good, mean = good+t-c.bad[i][z], mean+(t-c.bad[i][z])*c.delay[i][z]
		}
	}
	return good, mean / max(good, 1e-9)
}

// open adds up a figure of the open servers.
func (c *Planner) open(figure func(i int) float64) (total float64) {
	for i := range c.id {
		if c.state[i] == BackendOpen {
			total += figure(i)
		}
	}
	return total
}

func (s *sheet) has(m int) bool { return s.methods>>m&1 == 1 }

// forget drops all that was held against a server.
func (c *Planner) forget(i int) {
	c.trust[i], c.deaf[i] = 1, 0
	for z := range c.bench[i] {
		c.bench[i][z], c.fouls[i][z], c.tries[i][z], c.bad[i][z] = 0, 0, 0, 0
	}
}

// stir has a proxy look at what it holds before the step ends.
func (c *Planner) stir(p *proxy) {
	if !p.stirred {
		p.stirred = true
		c.stirred = append(c.stirred, p)
	}
}

// rich is how much of its part of the usage the arcs bring a server.
func (c *Planner) rich(i int) float64 { return c.carry[i] / c.part[i] }

// room is the weight of the open servers that hear, as far as they are warm.
func (c *Planner) room() float64 {
	return 1e-9 + c.open(func(i int) float64 {
		if c.away(i) {
			return 0
		}
		return c.weight[i] * c.ease[i]
	})
}

// New makes an instance.
func New(b Config) *Planner {
	c := &Planner{boot: b, now: b.Now, index: map[BackendID]int{}, zones: map[Zone]int{}}
	c.roll, c.ring = &roll{c: c}, &ring{c: c}
	c.gate, c.channel = newGate(c), &channel{c: c, usual: b.Settings.PushTime.Or(0.2)}
	return c
}

func newGate(c *Planner) *gate {
	g := &gate{c: c, fair: fairLeast, limit: math.Inf(1), soft: math.Inf(1)}
	for _, method := range c.boot.Settings.Methods {
		g.share, g.free = append(g.share, 1), append(g.free, c.free(method))
		g.criticality, g.came = append(g.criticality, method.Criticality.Or(1)), append(g.came, 0)
		g.soft = min(g.soft, method.SoftDeadline.Or(1))
	}
	return g
}

// ours is our part of all proxies.
func (c *Planner) ours() float64 {
	return float64(c.ring.joined) / max(c.boot.Settings.Proxies.Or(1), float64(c.ring.joined), 1)
}

func (c *Planner) full(i int) float64 { return c.weight[i] }
