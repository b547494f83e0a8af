package emulator

import (
	"container/heap"
	"math"
	"slices"
)

// Status is how a try ends at the server.
type Status uint8

// How a try may end.
const (
	StatusOK       Status = iota
	StatusRejected        // it never ran
	StatusAborted         // it may have run
)

// GiveUp tells what a server does with work whose client has given up, at its deadline or by closing the connection.
type CancelPolicy uint8

// What a server may do with work that was given up.
const (
	IgnoreCancel  CancelPolicy = iota // it neither knows nor cares
	DropQueued                        // what still waits is dropped when its turn comes
	CancelRunning                     // what waits is dropped at once, what runs is stopped
)

// Caller is a connection, by the number that whoever drives the model gives it.
type ConnID uint64

// RPC is one try as it reaches the server.
type RPC struct {
	ID             uint64
	Method         int
	IdempotencyKey uint64 // 0: none
	CacheKey       uint64 // 0: none
	TimeLeft       Seconds
}

// Trade says what a server is.
type Config struct {
	Backend          uint32
	Zone             string
	Cell             int
	Cores            int
	Speed            float64 // of a core: seconds of work a second
	Work             []Work  // by method; the last serves for all beyond
	QueueLimit       int     // RPCs that may wait for a core
	CancelPolicy     CancelPolicy
	StartsCold       bool // its process starts now, else long ago
	ColdSpeed        float64
	WarmupTime       Seconds
	OverloadMultiple float64
	OverloadWindow   Seconds // 0: it never falls
	ConnLimit        int     // 0: any number
	ConnWork         Seconds // that a new connection costs
	ProbeWork        Seconds
	ProbeLimit       int     // at once; 0: any number
	ReportsLoad      bool    // it reports its load with each answer,
	ReportDelay      Seconds // as it was so long ago,
	ReportNoise      float64 // off by a factor of this coefficient of variation
	CacheSize        int     // that it remembers; 0: none
	CacheSavings     float64
	SampleInterval   Seconds // it tells of itself so often, for whoever watches the rehearsal; 0: never
	Seed             uint64
	KeyStore         *KeyStore
	Executions       *ExecutionLog
}

// Capacity is the RPCs a second that it carries when warm, for a mix of methods.
func (t Config) Capacity(mix []float64) float64 {
	mean, sum := 0.0, 0.0
	for m, share := range mix {
		mean += share * t.work(m).Mean
		sum += share
	}
	return float64(t.Cores) * t.Speed * sum / mean
}

func (t Config) work(m int) Work { return t.Work[min(m, len(t.Work)-1)] }

// Effect is one thing that the model did, for whoever drives it to carry out or record.
type Effect any

type (
	// Reply ends a try.
	Reply struct {
		Conn   ConnID
		ID     uint64
		Status Status
		Load   float64 // reported; below 0: nothing is
	}
	// Ran tells that an RPC's effect began to take place.
	Executed struct{ RPC RPC }
	// Probed answers a probe.
	ProbeReply struct {
		Conn   ConnID
		ID     uint64
		Status Status
	}
	// Near tells that while cold it was brought so much of what topples it, more than ever before.
	OverloadApproached struct {
		Ratio float64
		RPCs  int
	}
	// Fell tells that it was brought too much while cold; it is down for good.
	Collapsed struct{}
	// Shut closes a connection without a word.
	ConnRejected struct{ Conn ConnID }
)

// Model is one server.
type Model struct {
	t       Config
	start   Seconds
	now     Seconds
	dice    Random
	callers map[ConnID]*caller
	queue   []*job
	running []*job // in the order in which they began
	timers  timers
	count   uint64    // of timers, so that equal times keep their order
	arrived []arrival // within the window, while cold
	brought float64
	worst   float64
	probes  int
	memory  memory
	loads   []loadAt // while reports are late: what it was, oldest first
	out     []Effect

	fallen   bool
	draining bool
	hung     int // reasons why nothing proceeds
	slow     float64
	fast     bool
	part     float64
	method   int
	from     string
	dear     float64
	shake    Seconds
	most     int // connections, by a trouble; 0: as the trade says
}

type loadAt struct {
	at   Seconds
	load float64
}

type arrival struct {
	at   Seconds
	work Seconds
}

type caller struct {
	of      string // the coordinator whose orders its RPCs follow
	shaking bool
	waiting []RPC
}

type job struct {
	from  ConnID
	rpc   RPC
	end   Seconds // when its client gives up
	left  Seconds // work still to do
	began Seconds
	since Seconds // left is as of then
	probe bool
	life  int // counts its timers
	gone  bool
}

// New makes a server whose process starts now.
func NewModel(t Config, now Seconds) *Model {
	m := &Model{t: t, start: now, now: now, dice: NewRandom(t.Seed), callers: map[ConnID]*caller{}, slow: 1, method: -1}
	if !t.StartsCold {
		m.start = now - t.WarmupTime
	}
	m.memory.most = t.CacheSize
	return m
}

// Warmth is the share of its speed that it has: it grows evenly from the cold share.
func (m *Model) WarmupFactor(now Seconds) float64 {
	if age := now - m.start; age < m.t.WarmupTime {
		return m.t.ColdSpeed + (1-m.t.ColdSpeed)*max(age, 0)/m.t.WarmupTime
	}
	return 1
}

// Fallen tells whether it is down for good.
func (m *Model) HasCollapsed() bool { return m.fallen }

// done is the work that a core does from a time to another, if nothing hinders it.
func (m *Model) done(from, to Seconds) Seconds {
	warm := m.start + m.t.WarmupTime
	sum := 0.0
	if from < warm {
		until := min(to, warm)
		sum = (m.WarmupFactor(from) + m.WarmupFactor(math.Nextafter(until, from))) / 2 * (until - from)
		from = until
	}
	if to > from {
		sum += to - from
	}
	return sum * m.t.Speed / m.slow
}

// finish is when a core that begins at a time has done some work: the warming makes it a quadratic.
func (m *Model) finish(from, work Seconds) Seconds {
	warm := m.start + m.t.WarmupTime
	need := work * m.slow / m.t.Speed
	if from < warm {
		w, slope := m.WarmupFactor(from), (1-m.t.ColdSpeed)/m.t.WarmupTime
		var takes float64
		if slope < 1e-12 {
			takes = need / w
		} else {
			takes = (-w + math.Sqrt(w*w+2*slope*need)) / slope
		}
		if from+takes <= warm {
			return from + takes
		}
		need -= (w + 1) / 2 * (warm - from)
		return warm + need
	}
	return from + need
}

// Advance brings the model to a time and gives what happened on the way. Wake tells when that must be at the latest.
func (m *Model) Advance(now Seconds) []Effect {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		t := heap.Pop(&m.timers).(timer)
		m.now = max(m.now, t.at)
		t.do()
	}
	m.now = now
	out := m.out
	m.out = nil
	return out
}

// Wake is when the next thing happens by itself; +Inf: nothing will.
func (m *Model) NextTimer() Seconds {
	if len(m.timers) == 0 {
		return math.Inf(1)
	}
	return m.timers[0].at
}

func (m *Model) at(at Seconds, do func()) {
	m.count++
	heap.Push(&m.timers, timer{max(at, m.now), m.count, do})
}

func (m *Model) tell(e Effect) { m.out = append(m.out, e) }

// Connect opens a connection; it is told whose orders its RPCs follow. It may be shut at once.
func (m *Model) Connect(c ConnID, of string) {
	most := m.t.ConnLimit
	if m.most > 0 {
		most = m.most
	}
	if m.fallen || most > 0 && len(m.callers) >= most {
		m.tell(ConnRejected{c})
		return
	}
	x := &caller{of: of, shaking: m.shake > 0}
	m.callers[c] = x
	if m.t.ConnWork > 0 {
		m.burden(m.t.ConnWork)
	}
	if x.shaking {
		m.at(m.now+m.shake, func() {
			x.shaking = false
			for _, r := range x.waiting {
				m.Submit(c, r)
			}
			x.waiting = nil
		})
	}
}

// Follow tells whose orders a connection's RPCs follow from now on.
func (m *Model) SetCoordinator(c ConnID, of string) {
	if x := m.callers[c]; x != nil {
		x.of = of
	}
}

// Disconnect ends a connection: its clients have given up.
func (m *Model) Disconnect(c ConnID) {
	delete(m.callers, c)
	if m.t.CancelPolicy == IgnoreCancel {
		return
	}
	for _, j := range m.queue {
		j.gone = j.gone || j.from == c
	}
	if m.t.CancelPolicy == CancelRunning {
		m.stop(func(j *job) bool { return j.from == c })
	}
}

// stop takes running work off its cores.
func (m *Model) stop(which func(*job) bool) {
	kept := m.running[:0]
	for _, j := range m.running {
		if which(j) && !j.probe {
			j.life++
			continue
		}
		kept = append(kept, j)
	}
	clear(m.running[len(kept):])
	m.running = kept
	m.dispatch()
}

// burden is work that nobody waits for.
func (m *Model) burden(work Seconds) {
	m.queue = append(m.queue, &job{left: work, probe: true, end: math.Inf(1)})
	m.dispatch()
}

// topple counts what is brought to a cold server, and tells whether it was too much: more than a multiple of what it can
// do at present, over the window, and a little more for chance.
func (m *Model) topple(work Seconds) bool {
	t := m.t
	if t.OverloadWindow <= 0 || m.WarmupFactor(m.now) >= 1 {
		return false
	}
	m.arrived = append(m.arrived, arrival{m.now, work})
	m.brought += work
	for m.arrived[0].at < m.now-t.OverloadWindow {
		m.brought -= m.arrived[0].work
		m.arrived = m.arrived[1:]
	}
	mean := t.work(0).Mean
	bound := t.OverloadMultiple*m.WarmupFactor(m.now)*t.Speed*float64(t.Cores)/m.slow*t.OverloadWindow + 2*mean
	if part := m.brought / bound; part > m.worst+0.05 {
		m.worst = part
		m.tell(OverloadApproached{part, len(m.arrived)})
	}
	return m.brought > bound
}

// Ask brings a try.
func (m *Model) Submit(c ConnID, r RPC) {
	x := m.callers[c]
	if x == nil || m.fallen {
		return
	}
	if x.shaking {
		x.waiting = append(x.waiting, r)
		return
	}
	work := m.t.work(r.Method).Sample(&m.dice)
	if m.dear > 0 && m.dice.Uniform() < 0.1 {
		work *= m.dear
	}
	if m.topple(work) {
		m.fall()
		return
	}
	switch {
	case m.hung > 0 && len(m.queue) >= m.t.QueueLimit:
		// It hangs and does not even push back.
	case m.fast, m.method == r.Method, m.from != "" && m.from == x.of, m.part > 0 && m.dice.Uniform() < m.part:
		m.at(m.now+0.002, func() { m.answer(c, r.ID, StatusAborted) })
	case m.draining, len(m.queue) >= m.t.QueueLimit && len(m.running) >= m.t.Cores:
		m.answer(c, r.ID, StatusRejected)
	default:
		if m.t.CacheSize > 0 && r.CacheKey != 0 && m.memory.seen(r.CacheKey) {
			work *= 1 - m.t.CacheSavings
		}
		j := &job{from: c, rpc: r, end: m.now + r.TimeLeft, left: work}
		m.queue = append(m.queue, j)
		if m.t.CancelPolicy == CancelRunning {
			m.at(j.end, func() {
				j.gone = true
				m.stop(func(x *job) bool { return x == j })
			})
		}
		m.dispatch()
	}
}

func (m *Model) answer(c ConnID, id uint64, s Status) {
	if m.callers[c] != nil {
		m.tell(Reply{c, id, s, m.report()})
	}
}

func (m *Model) fall() {
	m.fallen = true
	m.tell(Collapsed{})
	m.queue, m.running, m.timers = nil, nil, nil
	clear(m.callers)
}

// dispatch gives waiting work to free cores.
func (m *Model) dispatch() {
	for len(m.running) < m.t.Cores && len(m.queue) > 0 && m.hung == 0 {
		j := m.queue[0]
		m.queue[0] = nil
		m.queue = m.queue[1:]
		if m.t.CancelPolicy != IgnoreCancel && (j.gone || m.now > j.end) {
			continue
		}
		if !j.probe && (j.rpc.IdempotencyKey == 0 || m.t.KeyStore == nil || m.t.KeyStore.FirstUse(j.rpc.IdempotencyKey, m.t, m.now)) {
			m.tell(Executed{j.rpc})
			if m.t.Executions != nil {
				m.t.Executions.Record(j.rpc, m.t.Backend, m.now)
			}
		}
		j.began, j.since = m.now, m.now
		m.running = append(m.running, j)
		m.time(j)
	}
}

// time sets when a running job will be done, as things stand.
func (m *Model) time(j *job) {
	j.life++
	life := j.life
	m.at(m.finish(m.now, j.left), func() {
		if j.life == life {
			m.finished(j)
		}
	})
}

func (m *Model) finished(j *job) {
	for i, x := range m.running {
		if x == j {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	if !j.probe {
		m.answer(j.from, j.rpc.ID, StatusOK)
	}
	m.dispatch()
}

// change alters how fast work proceeds: what runs is first reckoned as far as it got.
func (m *Model) change(do func()) {
	if m.hung == 0 {
		for _, j := range m.running {
			j.left = max(0, j.left-m.done(j.since, m.now))
		}
	}
	do()
	for _, j := range m.running {
		j.since = m.now
		j.life++
		if m.hung == 0 {
			m.time(j)
		}
	}
	m.dispatch()
}

// Drain has it finish what it has and refuse what is new.
func (m *Model) Drain() { m.draining = true }

// Probe asks whether it answers. A probe waits its turn like any work.
func (m *Model) Probe(c ConnID, id uint64) {
	if m.callers[c] == nil || m.fallen || m.hung > 0 {
		return
	}
	if m.draining || m.t.ProbeLimit > 0 && m.probes >= m.t.ProbeLimit {
		m.tell(ProbeReply{c, id, StatusRejected})
		return
	}
	m.probes++
	m.burden(m.t.ProbeWork)
	ahead := 0.0
	for _, j := range m.queue {
		ahead += j.left
	}
	m.at(m.finish(m.now, ahead/float64(m.t.Cores)+m.t.ProbeWork), func() {
		m.probes--
		if m.callers[c] != nil && m.hung == 0 {
			m.tell(ProbeReply{c, id, StatusOK})
		}
	})
}

// report is the load as it is reported with an answer: late, and not quite true.
func (m *Model) report() float64 {
	if !m.t.ReportsLoad {
		return -1
	}
	load := m.underWay()
	if m.t.ReportDelay > 0 {
		m.loads = append(m.loads, loadAt{m.now, load})
		then := m.now - m.t.ReportDelay
		for len(m.loads) > 1 && m.loads[1].at <= then {
			m.loads = m.loads[1:]
		}
		load = 0 // before it had anything to report
		if m.loads[0].at <= then {
			load = m.loads[0].load
		}
	}
	if cv := m.t.ReportNoise; cv > 0 {
		s2 := math.Log(1 + cv*cv)
		load *= math.Exp(math.Sqrt(s2)*m.dice.normal() - s2/2)
	}
	return load
}

func (m *Model) underWay() float64 {
	return float64(len(m.running)+len(m.queue)) / float64(m.t.Cores)
}

// Able is the RPCs a second of a method that it could do at present, all work of its troubles counted; callers that are
// refused or hear nothing are not its matter.
func (m *Model) Capacity(now Seconds, method int) float64 {
	if m.fallen || m.hung > 0 || m.fast || m.method == method {
		return 0
	}
	mean := m.t.work(method).Mean
	if m.dear > 0 {
		mean *= 0.9 + 0.1*m.dear
	}
	return float64(m.t.Cores) * m.t.Speed * m.WarmupFactor(now) / m.slow / mean * (1 - m.part)
}

// Load is what a load report says: RPCs under way, waiting, and the share of its cores that are busy.
func (m *Model) Load() (underWay, waiting int, busy float64) {
	return len(m.running) + len(m.queue), len(m.queue), float64(len(m.running)) / float64(m.t.Cores)
}

type timer struct {
	at Seconds
	n  uint64
	do func()
}

type timers []timer

var _ heap.Interface = (*timers)(nil)

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// memory is the keys met lately; the one not met for longest is forgotten first.
type memory struct {
	most  int
	at    map[uint64]uint64 // when each was last met
	row   []met             // oldest first; those met again since are stale
	count uint64
}

type met struct {
	key uint64
	n   uint64
}

// seen tells whether a key is remembered, and remembers it.
func (k *memory) seen(key uint64) bool {
	if k.at == nil {
		k.at = map[uint64]uint64{}
	}
	_, known := k.at[key]
	k.count++
	k.at[key] = k.count
	k.row = append(k.row, met{key, k.count})
	for len(k.at) > k.most {
		old := k.row[0]
		k.row = k.row[1:]
		if k.at[old.key] == old.n {
			delete(k.at, old.key)
		}
	}
	if len(k.row) > 4*k.most+16 {
		k.row = slices.DeleteFunc(k.row, func(x met) bool { return k.at[x.key] != x.n })
	}
	return known
}
