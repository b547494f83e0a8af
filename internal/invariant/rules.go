// Package invariant reads the trace of a run and says which of the five rules broke: when, by whom, at which record, and
// how near the others came. It knows the trace and the limits, and nothing of what it checks: it shares no code with
// the coordinator, the module or the protocol.
package invariant

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/trace"
)

// Method is what the checker needs to know of a method.
type Method struct {
	Name              string
	NonIdempotent     bool
	HasIdempotencyKey bool
	DedupWindow       float64 // seconds in which repeats are dropped
	Criticality       float64
	SoftDeadline      float64
}

// Limits are the rules' figures.
type Limits struct {
	NoBackendLimit        float64 // seconds without a line
	DrainGrace            float64 // seconds to a server that drains or is gone
	WarmAfter             float64
	CollapseWindow        float64
	MaxQueuedEntries      int // lines that may wait
	MaxMessages           int // to a proxy within Span; 0: any number
	MessageWindow         float64
	OnlyDraining          bool
	EndpointStreamTimeout float64 // after which a coordinator gives up a stream of the list service
	PollInterval          float64 // a coordinator that is not told must have asked within this
	Methods               []Method
}

// Verdict is what became of one rule.
type Verdict struct {
	Rule        int
	Name        string
	Violations  int     // times
	FirstTime   float64 // of the first
	Party       string
	Record      int // its place in the trace, from 1
	Reason      string
	Closest     float64 // how near it came, as a part of the limit; 1 and above: reached
	ClosestTime float64 // when that was, in seconds of the run
	ClosestNote string
}

// Service is what the clients had of it.
type Service struct {
	Offered, InTime                               float64 // criticality
	RPCs, OK, Late, Rejected, Aborted, Unfinished int
}

// Share is the criticality answered within the soft deadline over the criticality asked for.
func (s Service) Share() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.InTime / s.Offered
}

// Report is the whole result.
type Report struct {
	Rules     [5]Verdict
	Service   Service
	Pushes    int
	Entries   int
	Attempts  int
	Collapses int
	Faults    int
	Duration  float64
}

// Broken tells whether any rule broke.
func (r Report) Violated() bool {
	return slices.ContainsFunc(r.Rules[:], func(v Verdict) bool { return v.Violations > 0 })
}

type told struct {
	state byte // o, d or g
	at    float64
	start float64
	known float64 // when this start was first told
}

type coordinator struct {
	list  map[uint32]told
	ready float64 // since when it shows an open, warm server without a break; Inf: it does not
	ripe  float64 // when that may become so by time alone
	// deaf tells until when it does not run: what comes for it meanwhile it is told then.
	deaf float64
	// cut counts what cuts it off from the list service, since the time in off; what the service sent meanwhile waits.
	cut  int
	off  float64
	wait []trace.Record
	// behind: the stream to the list service died in a cut, and it must ask again; asked is when it last did.
	behind bool
	asked  float64
	// perhaps holds servers whose news may or may not have come through just before that.
	perhaps map[uint32]bool
}

type table struct {
	lines map[uint32]float64
}

type proxy struct {
	of        string // coordinator, "" while not joined
	joined    float64
	tables    map[int]*table
	holder    string
	methods   []int // table by method, -1: none
	withdrawn map[uint32]bool
	bare      []float64 // by method, since when; Inf: it has a line
	struck    []bool    // the present bare time was counted
	pushes    []float64
	applied   float64        // the last push took effect
	deaf      float64        // it does not run until then
	cut       map[string]int // coordinators from which its link is cut: no word can reach it, so it is not joined
}

// follows is the coordinator whose orders can reach the proxy, "" if none's can.
func (p *proxy) follows() string {
	if p.cut[p.of] > 0 {
		return ""
	}
	return p.of
}

type try struct {
	t     float64
	who   string
	known bool // it was sent with knowledge of the server's present start
}

type ran struct {
	t  float64
	ep uint32
}

type checker struct {
	l       Limits
	report  Report
	who     map[string]*proxy
	names   []string
	of      map[string]*coordinator
	begin   float64
	now     float64
	at      int
	runs    map[uint64]ran
	first   map[uint64]float64
	tries   map[uint32][]try
	tokens  map[string]ran
	starts  map[uint32]float64
	open    map[uint64]int // RPCs tried, not ended, by method
	truth   map[uint32]told
	glanced float64
}

// Check goes through a trace, whose records must be in the order of time.
func Check(records []trace.Record, l Limits) (Report, error) {
	c := &checker{
		l: l, who: map[string]*proxy{}, of: map[string]*coordinator{}, runs: map[uint64]ran{},
		first: map[uint64]float64{}, tries: map[uint32][]try{}, tokens: map[string]ran{}, starts: map[uint32]float64{},
		open: map[uint64]int{}, truth: map[uint32]told{},
	}
	for i, n := range []string{
		"no proxy without a backend", "no effect twice", "drains are kept", "no cold backend pushed over",
		"the queue stays short",
	} {
		c.report.Rules[i].Rule, c.report.Rules[i].Name = i+1, n
	}
	if len(records) > 0 {
		c.begin = records[0].T
	}
	for i, r := range records {
		if r.T < c.now {
			return c.report, fmt.Errorf("record %d: time runs back from %.6f to %.6f", i+1, c.now, r.T)
		}
		c.pass(r.T)
		c.now, c.at = r.T, i+1
		if err := c.take(r); err != nil {
			return c.report, fmt.Errorf("record %d (%s): %w", i+1, r.Kind, err)
		}
	}
	if len(records) > 0 {
		c.glanced = 0
		c.pass(c.now)
		c.report.Duration = c.now - records[0].T
	}
	c.report.Service.Unfinished = len(c.open)
	return c.report, nil
}

// near notes how near a rule came.
func (c *checker) near(rule int, part float64, note string, args ...any) {
	if v := &c.report.Rules[rule-1]; part > v.Closest {
		v.Closest, v.ClosestTime, v.ClosestNote = part, c.now-c.begin, fmt.Sprintf(note, args...)
	}
}

func (c *checker) broke(rule int, who, why string, args ...any) {
	v := &c.report.Rules[rule-1]
	if v.Violations++; v.Violations == 1 {
		v.FirstTime, v.Party, v.Record, v.Reason = c.now, who, c.at, fmt.Sprintf(why, args...)
	}
}

func (c *checker) coordinator(name string) *coordinator {
	x := c.of[name]
	if x == nil {
		x = &coordinator{list: map[uint32]told{}, ready: math.Inf(1), ripe: math.Inf(1)}
		c.of[name] = x
	}
	return x
}

func (c *checker) proxy(name string) *proxy {
	p := c.who[name]
	if p == nil {
		p = &proxy{tables: map[int]*table{}, cut: map[string]int{}, withdrawn: map[uint32]bool{}}
		for range c.l.Methods {
			p.methods, p.bare, p.struck = append(p.methods, -1), append(p.bare, 0), append(p.struck, false)
		}
		c.who[name] = p
		c.names = append(c.names, name)
	}
	return p
}

// pass looks at what time alone brings about up to t: servers that become warm, proxies that stay bare.
func (c *checker) pass(t float64) {
	for _, x := range c.of {
		if x.ripe <= t {
			c.look(x, x.ripe)
		}
	}
	// What a proxy's own records change is looked at then; a glance now and then finds those of which none come.
	if t < c.glanced+0.05 && t >= c.glanced {
		return
	}
	c.glanced = t
	for _, name := range c.names {
		c.stays(name, c.who[name], t)
	}
}

// stays looks how long a proxy has been without a line by t.
func (c *checker) stays(name string, p *proxy, t float64) {
	if p.follows() != "" {
		ready := c.coordinator(p.of).ready
		for m, since := range p.bare {
			from := max(since, ready, p.joined, p.deaf)
			if math.IsInf(from, 1) || t <= from {
				continue
			}
			c.near(1, (t-from)/c.l.NoBackendLimit, "%s had no line for %s for %.2f s", name, c.l.Methods[m].Name, t-from)
			if t-from > c.l.NoBackendLimit && !p.struck[m] {
				p.struck[m] = true
				c.broke(1, name, "no line for %s since %.3f, while %s lists an open warm server", c.l.Methods[m].Name, from, p.of)
			}
		}
	}
}

// look reckons since when a coordinator's list shows an open, warm server.
func (c *checker) look(x *coordinator, now float64) {
	warm, ripe := false, math.Inf(1)
	for _, e := range x.list {
		if e.state != 'o' {
			continue
		}
		if at := e.start + c.l.WarmAfter; e.start == 0 || at <= now {
			warm = true
		} else {
			ripe = min(ripe, at)
		}
	}
	x.ripe = ripe
	switch {
	case !warm:
		x.ready = math.Inf(1)
	case math.IsInf(x.ready, 1):
		x.ready = now
	}
}

func (c *checker) take(r trace.Record) error {
	switch r.Kind {
	case trace.Boot:
		// What the killed instance was told is no longer its duty; the new one knows at most what was kept.
		x := c.coordinator(r.Who)
		x.deaf, x.wait = 0, nil
		for ep, e := range x.list {
			e.at = max(e.at, r.T)
			x.list[ep] = e
		}
		x.ready = math.Inf(1)
		c.look(x, r.T)
	case trace.Kill:
		if p := c.who[r.Who]; p != nil {
			cut := p.cut // a link's trouble is not its process's
			delete(c.who, r.Who)
			c.names = slices.DeleteFunc(c.names, func(n string) bool { return n == r.Who })
			c.proxy(r.Who).cut = cut
		}
	case trace.Join:
		p := c.proxy(r.Who)
		p.of, p.joined, p.pushes = r.Of, r.T, nil
		c.bare(p)
	case trace.Leave:
		if p := c.who[r.Who]; p != nil {
			c.stays(r.Who, p, r.T)
			p.of = ""
		}
	case trace.Stall:
		if p := c.who[r.Who]; p != nil {
			p.deaf = max(p.deaf, r.T+r.X)
			break
		}
		x := c.coordinator(r.Who)
		x.deaf = max(x.deaf, r.T+r.X)
	case trace.Ask:
		x := c.coordinator(r.Of)
		x.asked = r.T
		if x.cut == 0 {
			x.wait = nil // it dialled anew: the answer has it all
		}
	case trace.Cut, trace.Heal:
		if r.Who == "list" {
			return c.listLink(r)
		}
		p := c.proxy(r.Who)
		c.stays(r.Who, p, r.T)
		if r.Kind == trace.Cut {
			p.cut[r.Of]++
		} else if p.cut[r.Of]--; p.cut[r.Of] <= 0 {
			delete(p.cut, r.Of)
			if p.of == r.Of {
				p.joined = r.T // what was held back arrives now
			}
		}
	case trace.Push:
		c.push(r)
	case trace.Apply:
		return c.apply(r)
	case trace.List:
		return c.list(r)
	case trace.Try:
		c.try(r)
	case trace.Run:
		c.run(r)
	case trace.Start:
		c.starts[r.EP] = r.T
		delete(c.tries, r.EP)
	case trace.Offer:
		c.near(4, r.X, "server %d, cold, was sent %d RPCs in the window", r.EP, r.N)
	case trace.Fall:
		c.fall(r)
	case trace.End:
		c.end(r)
	case trace.Trouble:
		c.report.Faults++
	case trace.Gone, trace.Glance, trace.Late:
	default:
		return fmt.Errorf("unknown kind")
	}
	return nil
}

// bare reckons for which methods a proxy has no line that it may use.
func (c *checker) bare(p *proxy) {
	for m, at := range p.methods {
		usable := false
		if t := p.tables[at]; t != nil {
			for ep, w := range t.lines {
				if w > 0 && !p.withdrawn[ep] {
					usable = true
					break
				}
			}
		}
		switch {
		case usable:
			p.bare[m], p.struck[m] = math.Inf(1), false
		case math.IsInf(p.bare[m], 1):
			p.bare[m] = c.now
		}
	}
}

func (c *checker) push(r trace.Record) {
	c.report.Pushes++
	c.report.Entries += int(r.X)
	c.near(5, float64(r.N)/float64(c.l.MaxQueuedEntries), "%d lines waited at %s", r.N, r.Of)
	if r.N > int64(c.l.MaxQueuedEntries) {
		c.broke(5, r.Of, "%d lines waited, %d allowed", r.N, c.l.MaxQueuedEntries)
	}
	p := c.proxy(r.Who)
	p.pushes = append(p.pushes, r.T)
	for p.pushes[0] < r.T-c.l.MessageWindow {
		p.pushes = p.pushes[1:]
	}
	if c.l.MaxMessages > 0 {
		c.near(5, float64(len(p.pushes))/float64(c.l.MaxMessages), "%s had %d messages within %g s", r.Who, len(p.pushes), c.l.MessageWindow)
		if len(p.pushes) > c.l.MaxMessages {
			c.broke(5, r.Who, "%d messages within %g s, %d allowed", len(p.pushes), c.l.MessageWindow, c.l.MaxMessages)
		}
	}
}

// apply follows what a proxy holds. The operations stand as: bind TABLE METHODS EP:W[!]... -EP..., line TABLE EP:W[!],
// clear TABLE, level TABLE METHODS LEVEL TRIES, withdraw EP, readmit EP; ! says that the server is withdrawn.
func (c *checker) apply(r trace.Record) error {
	p := c.proxy(r.Who)
	c.stays(r.Who, p, r.T)
	p.applied = r.T
	if r.Text != "" {
		for _, op := range strings.Split(r.Text, ";") {
			if err := p.do(r.Of, strings.Fields(op)); err != nil {
				return fmt.Errorf("operation %q: %w", op, err)
			}
		}
	}
	c.bare(p)
	return nil
}

func (p *proxy) do(of string, words []string) error {
	whole := func(at int) int {
		if at >= len(words) {
			return -1
		}
		n, err := strconv.Atoi(words[at])
		if err != nil {
			return -1
		}
		return n
	}
	if len(words) < 2 || whole(1) < 0 {
		return fmt.Errorf("it has no number")
	}
	t := p.tables[whole(1)]
	switch words[0] {
	case "withdraw":
		p.withdrawn[uint32(whole(1))] = true
	case "readmit":
		delete(p.withdrawn, uint32(whole(1)))
	case "bind":
		if p.holder != of {
			p.holder, p.tables = of, map[int]*table{}
			for m := range p.methods {
				p.methods[m] = -1
			}
		}
		t = &table{map[uint32]float64{}}
		p.tables[whole(1)] = t
		p.withdrawn = map[uint32]bool{}
		mask := whole(2)
		for m := range p.methods {
			if mask == 0 || mask>>m&1 == 1 {
				p.methods[m] = whole(1)
			}
		}
		for _, w := range words[3:] {
			if err := p.line(t, w); err != nil {
				return err
			}
		}
	case "line":
		if t != nil && len(words) > 2 {
			return p.line(t, words[2])
		}
	case "clear":
		if t != nil {
			t.lines = map[uint32]float64{}
		}
	case "level":
	default:
		return fmt.Errorf("unknown")
	}
	return nil
}

func (p *proxy) line(t *table, w string) error {
	if gone, ok := strings.CutPrefix(w, "-"); ok {
		ep, err := strconv.ParseUint(gone, 10, 32)
		p.withdrawn[uint32(ep)] = true
		return err
	}
	w, shut := strings.CutSuffix(w, "!")
	id, weight, _ := strings.Cut(w, ":")
	ep, err := strconv.ParseUint(id, 10, 32)
	if err != nil {
		return err
	}
	x, err := strconv.ParseFloat(weight, 64)
	if err != nil {
		return err
	}
	if t.lines[uint32(ep)] = x; x == 0 {
		delete(t.lines, uint32(ep))
	}
	if shut {
		p.withdrawn[uint32(ep)] = true
	} else {
		delete(p.withdrawn, uint32(ep))
	}
	return nil
}

// listLink follows the link between a coordinator and the list service. A stream that was cut for long is given up: what
// it held is lost, and the coordinator has to ask again.
func (c *checker) listLink(r trace.Record) error {
	x := c.coordinator(r.Of)
	if r.Kind == trace.Cut {
		if x.cut++; x.cut == 1 {
			x.off = r.T
		}
		return nil
	}
	if x.cut--; x.cut > 0 {
		return nil
	}
	wait := x.wait
	x.wait = nil
	if r.T-x.off > c.l.EndpointStreamTimeout-1.5 {
		// Or it just lived on: then the next news comes without a call, and these came before it.
		x.behind, x.asked, x.perhaps, x.wait = true, max(x.asked, r.T), map[uint32]bool{}, wait
		if len(wait) > 0 {
			x.ready, x.ripe = math.Inf(1), math.Inf(1) // what it lists is not known until then
		}
		for _, w := range wait {
			for _, e := range strings.Fields(w.Text) {
				id, _, _ := strings.Cut(e, ":")
				if ep, err := strconv.ParseUint(id, 10, 32); err == nil {
					x.perhaps[uint32(ep)] = true
				}
			}
		}
		return nil
	}
	for _, w := range wait {
		w.T = r.T
		if err := c.list(w); err != nil {
			return err
		}
	}
	return nil
}

// list follows what a coordinator was told; without a coordinator it is the truth.
func (c *checker) list(r trace.Record) error {
	if r.Of != "" {
		x := c.coordinator(r.Of)
		if x.cut > 0 {
			x.wait = append(x.wait, r)
			return nil
		}
		x.behind = false
		r.T = max(r.T, x.deaf)
		wait := x.wait
		x.wait = nil
		for _, w := range wait {
			w.T = r.T
			if err := c.list(w); err != nil {
				return err
			}
		}
	}
	kind, rest, _ := strings.Cut(r.Text, " ")
	x := &coordinator{list: c.truth}
	if r.Of != "" {
		x = c.coordinator(r.Of)
	}
	named := map[uint32]bool{}
	for _, w := range strings.Fields(rest) {
		f := strings.Split(w, ":")
		if len(f) != 4 || len(f[1]) != 1 {
			return fmt.Errorf("entry %q", w)
		}
		ep, err := strconv.ParseUint(f[0], 10, 32)
		if err != nil {
			return err
		}
		start, err := strconv.ParseFloat(f[2], 64)
		if err != nil {
			return err
		}
		id, state := uint32(ep), f[1][0]
		named[id] = true
		was, known := x.list[id]
		e := told{state: state, at: r.T, start: start, known: r.T}
		if known && (was.state == state || was.state == 'd' && state == 'g') {
			e.at = was.at
			if c.l.OnlyDraining && was.state == 'd' {
				e.state = 'd'
			}
		}
		if known && was.start == start {
			e.known = was.known
		}
		x.list[id] = e
	}
	if kind == "full" {
		for ep, e := range x.list {
			if !named[ep] && e.state != 'g' {
				if e.state == 'o' {
					e.at = r.T
				}
				if e.state == 'o' || !c.l.OnlyDraining {
					e.state = 'g'
				}
				x.list[ep] = e
			}
		}
	}
	if r.Of != "" {
		c.look(x, r.T)
	}
	return nil
}

func (c *checker) try(r trace.Record) {
	c.report.Attempts++
	c.open[r.RPC] = r.Method
	p := c.proxy(r.Who)
	if p.follows() != "" {
		e, known := c.coordinator(p.of).list[r.EP]
		binds := known && (e.state == 'd' || e.state == 'g' && !c.l.OnlyDraining)
		x := c.coordinator(p.of)
		binds = binds && (!x.behind || !x.perhaps[r.EP])
		if !binds && x.behind && r.T > x.asked+c.l.PollInterval {
			// It does not ask, and so counts as told of what was listed that long ago.
			if e, known = c.truth[r.EP]; known && e.state != 'o' {
				binds = e.state == 'd' || !c.l.OnlyDraining
				e.at += c.l.PollInterval
			}
		}
		if from := max(e.at, p.joined); binds {
			c.near(3, (r.T-from)/c.l.DrainGrace, "%s sent to server %d %.2f s after %s was told", r.Who, r.EP, r.T-from, p.of)
			if r.T-from > c.l.DrainGrace {
				c.broke(3, r.Who, "sent to server %d %.3f s after %s was told that it drains or is gone", r.EP, r.T-from, p.of)
			}
		}
	}
	if r.Method < len(c.l.Methods) {
		m := c.l.Methods[r.Method]
		if at, again := c.first[r.RPC]; !again {
			c.first[r.RPC] = r.T
		} else if m.NonIdempotent && r.Text != "after proof" {
			c.broke(2, r.Who, "%s sent again (%s): RPC %d", m.Name, r.Text, r.RPC)
		} else if m.HasIdempotencyKey && r.Text != "after proof" {
			c.near(2, (r.T-at)/m.DedupWindow, "%s was sent again after %.2f s, within its window", m.Name, r.T-at)
			if r.T-at > m.DedupWindow {
				c.broke(2, r.Who, "%s sent again %.2f s after the first, outside its window: RPC %d", m.Name, r.T-at, r.RPC)
			}
		}
	}
	if start, cold := c.starts[r.EP]; cold && r.T < start+c.l.WarmAfter {
		known := false
		if p.of != "" {
			e := c.coordinator(p.of).list[r.EP]
			known = e.start >= start-1 && e.state == 'o' && (r.T > e.known+c.l.DrainGrace || p.applied > e.known)
		}
		all := c.tries[r.EP]
		all = append(all, try{r.T, r.Who, known})
		for len(all) > 0 && all[0].t < r.T-c.l.CollapseWindow-0.1 {
			all = all[1:]
		}
		c.tries[r.EP] = all
	}
}

func (c *checker) run(r trace.Record) {
	if r.Method >= len(c.l.Methods) {
		return
	}
	m := c.l.Methods[r.Method]
	was, again := c.runs[r.RPC]
	if again && (m.NonIdempotent || m.HasIdempotencyKey) {
		c.broke(2, fmt.Sprintf("server %d", r.EP), "%s ran twice: RPC %d, first at %.3f on server %d", m.Name, r.RPC, was.t, was.ep)
	}
	c.runs[r.RPC] = ran{r.T, r.EP}
}

// fall: a cold server fell over. It is the coordinators' doing where two thirds of what came was sent with knowledge of
// the start.
func (c *checker) fall(r trace.Record) {
	c.report.Collapses++
	all, known := c.tries[r.EP], 0
	by := map[string]int{}
	for _, t := range all {
		if t.known {
			known++
		}
		by[t.who]++
	}
	if len(all) > 0 && 3*known >= 2*len(all) {
		most := ""
		for _, n := range c.names {
			if most == "" || by[n] > by[most] {
				most = n
			}
		}
		c.broke(4, most, "server %d fell over while cold; %d of %d RPCs in the window were sent with knowledge of its start", r.EP, known, len(all))
	}
}

func (c *checker) end(r trace.Record) {
	delete(c.open, r.RPC)
	if r.Method >= len(c.l.Methods) {
		return
	}
	m, s := c.l.Methods[r.Method], &c.report.Service
	s.RPCs++
	s.Offered += m.Criticality
	switch r.Text {
	case "ok":
		if s.OK++; r.X <= m.SoftDeadline {
			s.InTime += m.Criticality
		} else {
			s.Late++
		}
	case "pushed back":
		s.Rejected++
	default:
		s.Aborted++
	}
}
