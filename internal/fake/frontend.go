package fake

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gingerfork/choice"
	"gingerfork/internal/emulator"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

// Effect tells what a second run of an RPC does.
type Repeatability uint8

// What a second run may do.
const (
	Idempotent Repeatability = iota
	IdempotentWithKey
	NonIdempotent
)

// MethodTrade says what a method is.
type MethodConfig struct {
	Name          string
	Repeatability Repeatability
	Criticality   float64
	SoftDeadline  statemachine.Seconds
	Deadline      statemachine.Seconds
	Share         float64 // of the RPCs
}

// Methods are the methods of a fleet's settings, each with an equal share of the RPCs.
func MethodConfigs(methods []choice.MethodSettings) (all []MethodConfig) {
	for _, method := range methods {
		effect := map[string]Repeatability{"idempotent": Idempotent, "tokened": IdempotentWithKey, "non-idempotent": NonIdempotent}[method.Effect]
		all = append(all, MethodConfig{
			Name: method.Name, Repeatability: effect, Criticality: method.Criticality.Or(1),
			SoftDeadline: method.SoftDeadline.Or(1), Deadline: method.Deadline.Or(2), Share: 1 / float64(len(methods)),
		})
	}
	return all
}

// FrontTrade says what a front end is.
type FrontEndConfig struct {
	Name              string
	Zone              string
	Coordinators      []string // addresses, tried in this order
	Methods           []MethodConfig
	Rate              float64              // RPCs a second that come to it
	TrafficStart      statemachine.Seconds // of the day, which the traffic's shape goes by; 0: its own first step
	Shape             traffic.Shape
	Keys              *traffic.Zipf // nil: RPCs are about nothing
	Policy            string        // even, weight, pair, or report: the one of two that reported less
	FailureLimit      int           // own failures in a row after which it keeps away from a server; 0: never
	AvoidFor          statemachine.Seconds
	AttemptTimeout    float64 // of the soft deadline, what a try that may be followed waits
	ApplyTimePerEntry statemachine.Seconds
	AdmissionIsRate   bool // levels are rates, not shares
	ReportPeriod      statemachine.Seconds
	RecordDelay       bool               // it tells how late it did what was due
	StaticTable       []proto.TableEntry // its one table, in place of a coordinator's
	ConnectTimeout    statemachine.Seconds
	Seed              uint64
	// Clients whose RPC failed come again, with this chance, after about so long, at most so many times: idempotent and
	// tokened RPCs after any failure, others only after a push back, which proves that they never ran.
	ClientRetryChance  float64
	ClientRetryBackoff statemachine.Seconds
	ClientRetryLimit   int
}

// FrontEnd follows the tables of one coordinator, and sends the RPCs that come to it to servers.
type FrontEnd struct {
	trade  FrontEndConfig
	dice   emulator.Random
	source *traffic.Source
	late   statemachine.Seconds // the most that an arrival was late, since the last report
	due    uint64               // counts the arrivals that were put on the clock
	self   uint64               // upper half of its RPCs' numbers
	timers timers
	out    *statemachine.Effects
	conns  statemachine.Conn
	begun  bool
	rate   float64

	// The stream to a coordinator.
	stream  statemachine.Conn // 0: none
	joined  bool
	of      string // whose welcome it had
	holds   string // whose tables it holds
	mark    uint64
	seq     uint64
	at      int // which coordinator is tried
	failed  int // in a row
	reader  proto.Reader
	heard   statemachine.Seconds
	still   statemachine.Seconds // it stands still until then
	held    []statemachine.Input // what came meanwhile
	applied []proto.Push         // to take effect at the end of that

	tables    map[uint64]*sheet
	methods   []*sheet // by method
	withdrawn map[proto.BackendID]bool

	health map[proto.BackendID]health
	links  map[proto.BackendID]*link
	byID   map[statemachine.Conn]*link
	rpcs   map[uint64]*rpc
	count  uint64

	usage []proto.UsageReport
	sums  map[proto.BackendID]*met
	since statemachine.Seconds
}

// sheet is one table as held.
type sheet struct {
	lines  []row // by server
	levels map[int]level
}

type row struct {
	ep     proto.BackendID
	weight float64
	addr   string
	owed   float64 // for even picks
}

type level struct {
	level float64
	tries uint64
	room  float64 // for rates
	last  statemachine.Seconds
}

// link is the connection to a server, and what it met there.
type link struct {
	ep     proto.BackendID
	addr   string
	conn   statemachine.Conn
	up     bool
	reader proto.Reader
	out    map[uint64]*rpc // sent and not answered, by try
	wait   []uint64
	load   float64              // as last reported,
	told   statemachine.Seconds // then; 0: never
}

// health is what a server showed this front end; it outlives connections.
type health struct {
	fails int                  // in a row
	away  statemachine.Seconds // kept away from until then
}

type met struct {
	tries, bad uint64
	delay      statemachine.Seconds
}

// rpc is one RPC of a client.
type rpc struct {
	id     uint64
	method int
	asked  statemachine.Seconds
	token  uint64
	try    uint64 // the one under way; 0: none
	link   *link
	sent   statemachine.Seconds
	n      int
	key    uint64
	tried  []proto.BackendID
	done   bool
	came   int // times that its client came before
}

// NewFrontEnd makes one.
func NewFrontEnd(t FrontEndConfig) *FrontEnd {
	return &FrontEnd{
		trade: t, dice: emulator.NewRandom(t.Seed), conns: statemachine.Dialed, rate: t.Rate, tables: map[uint64]*sheet{},
		methods: make([]*sheet, len(t.Methods)), withdrawn: map[proto.BackendID]bool{}, links: map[proto.BackendID]*link{},
		health: map[proto.BackendID]health{}, byID: map[statemachine.Conn]*link{}, rpcs: map[uint64]*rpc{}, usage: make([]proto.UsageReport, len(t.Methods)),
		sums: map[proto.BackendID]*met{},
	}
}

// Step implements machine.Machine.
func (f *FrontEnd) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	f.out = out
	if !f.begun {
		f.begun, f.since = true, now
		for m := range f.usage {
			f.usage[m].Method = uint64(m)
		}
		if f.trade.StaticTable == nil {
			f.dial(now)
		} else {
			f.do(proto.TableOp{Kind: proto.OpBind, Entries: f.trade.StaticTable}, &strings.Builder{})
		}
		f.timers.at(now+f.trade.ReportPeriod*(0.5+f.dice.Uniform()), f.report)
		f.self = DeriveSeed(0, fmt.Sprint(f.trade.Name, f.trade.Seed)) << 32
		begin := f.trade.TrafficStart
		if begin == 0 {
			begin = now
		}
		mix := make([]float64, 0, len(f.trade.Methods))
		for _, m := range f.trade.Methods {
			mix = append(mix, m.Share)
		}
		f.source = traffic.NewSource(f.trade.Seed, f.rate, f.trade.Shape, mix, f.trade.Keys, begin)
		f.await(now)
	}
	// While it applies a push it stands still: what comes meanwhile waits.
	f.held = append(f.held, in...)
	for {
		if now < f.still {
			out.WakeBy(f.still)
			return
		}
		for _, p := range f.applied {
			f.apply(now, p)
		}
		f.applied = f.applied[:0]
		if len(f.held) == 0 {
			break
		}
		i := f.held[0]
		f.held = f.held[1:]
		f.input(now, i)
	}
	f.held = nil
	f.timers.ring(now)
	f.timers.wake(out)
	if f.still > now {
		out.WakeBy(f.still)
	}
}

func (f *FrontEnd) input(now statemachine.Seconds, i statemachine.Input) {
	if i.Kind == statemachine.OperatorCommand {
		f.told(now, i.Text)
		return
	}
	if l := f.byID[i.Conn]; l != nil {
		f.server(now, l, i)
		return
	}
	if i.Conn != f.stream {
		return
	}
	switch i.Kind {
	case statemachine.ConnOpened:
		f.heard = now
		f.out.Write(f.stream, proto.Append(nil, proto.Hello{
			Version: proto.Version, Role: proto.RoleProxy, Name: f.trade.Name,
			Zone: f.trade.Zone, Rate: f.rate, Fresh: f.holds == "", TablesOf: f.holds, Nonce: f.mark,
		}))
	case statemachine.ConnClosed:
		f.leave(now, i.Text)
	case statemachine.ConnData:
		f.heard = now
		f.reader.Feed(i.Data)
		for f.stream == i.Conn {
			msg, err := f.reader.Next()
			if err == nil && msg == nil {
				return
			}
			if err == nil {
				err = f.message(now, msg)
			}
			if err != nil {
				f.out.Write(f.stream, proto.Append(nil, proto.Reject{Reason: err.Error()}))
				f.out.Close(f.stream)
				f.leave(now, err.Error())
			}
		}
	}
}

func (f *FrontEnd) dial(now statemachine.Seconds) {
	f.conns++
	f.stream, f.reader, f.heard, f.seq = f.conns, proto.Reader{}, now, 0
	f.out.Dial(f.stream, f.trade.Coordinators[f.at%len(f.trade.Coordinators)])
}

// leave: the stream ended. What is held stays in force; another coordinator is tried when this one fails again.
func (f *FrontEnd) leave(now statemachine.Seconds, why string) {
	if f.joined {
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyLeft, Party: f.trade.Name, Coordinator: f.of, Text: why})
		f.failed = 0
	}
	f.stream, f.joined = 0, false
	f.applied = nil // what was not yet applied is lost with its stream
	if f.failed++; f.failed > 1 {
		f.at++
	}
	f.timers.at(now+min(0.1*float64(f.failed), 2)*(0.5+f.dice.Uniform()), func(now statemachine.Seconds) {
		if f.stream == 0 {
			f.dial(now)
		}
	})
}

func (f *FrontEnd) message(now statemachine.Seconds, msg proto.Message) error {
	switch m := msg.(type) {
	case proto.Welcome:
		f.reader.HandshakeDone()
		f.joined, f.of, f.failed = true, m.Name, 0
		f.out.Record(trace.Record{Time: now, Kind: trace.ProxyJoined, Party: f.trade.Name, Coordinator: m.Name, Zone: f.trade.Zone})
	case proto.Push:
		if f.seq++; !f.joined || m.Sequence != f.seq {
			return fmt.Errorf("push %d, %d wanted", m.Sequence, f.seq)
		}
		lines := 0
		for _, o := range m.Ops {
			lines += 1 + len(o.Entries) + len(o.Admissions)
		}
		f.out.Record(trace.Record{
			Time: now, Kind: trace.PushSent, Party: f.trade.Name, Coordinator: f.of, Nonce: int(m.Nonce), Count: int64(m.QueuedEntries),
			Value: float64(lines),
		})
		f.still = max(f.still, now) + float64(lines)*f.trade.ApplyTimePerEntry
		f.applied = append(f.applied, m)
		if f.still <= now {
			f.applied = f.applied[:len(f.applied)-1]
			f.apply(now, m)
		}
	case proto.ReportsReceived:
	case proto.Reject:
		f.out.Close(f.stream)
		f.leave(now, m.Reason)
	default:
		return fmt.Errorf("a %s on a proxy's stream", proto.WireName(msg))
	}
	return nil
}

// apply has a push take effect.
func (f *FrontEnd) apply(now statemachine.Seconds, m proto.Push) {
	if f.stream == 0 {
		return
	}
	if m.HasNonce {
		f.out.Write(f.stream, proto.Append(nil, proto.Acknowledgement{Nonce: m.Nonce}))
		f.mark = m.Nonce
	}
	var text strings.Builder
	for _, o := range m.Ops {
		if text.Len() > 0 {
			text.WriteByte(';')
		}
		f.do(o, &text)
	}
	f.out.Record(trace.Record{Time: now, Kind: trace.PushApplied, Party: f.trade.Name, Coordinator: f.of, Nonce: int(m.Nonce), Text: text.String()})
	f.trim()
}

func (f *FrontEnd) do(o proto.TableOp, text *strings.Builder) {
	t := f.tables[o.Table]
	switch o.Kind {
	case proto.OpBind:
		if f.holds != f.of {
			// The tables and withdrawals of another coordinator are of no more use.
			f.holds = f.of
			clear(f.tables)
			clear(f.methods)
		}
		t = &sheet{levels: map[int]level{}}
		f.tables[o.Table] = t
		clear(f.withdrawn)
		fmt.Fprintf(text, "bind %d %d", o.Table, o.Methods)
		for _, l := range o.Entries {
			f.line(t, l, text)
		}
		for _, l := range o.Admissions {
			f.level(t, l)
		}
		for _, ep := range o.Backends {
			f.withdrawn[ep] = true
			fmt.Fprintf(text, " -%d", ep)
		}
		for m := range f.methods {
			if o.Methods == 0 || o.Methods>>m&1 == 1 {
				f.methods[m] = t
			}
		}
	case proto.OpSetEntry:
		fmt.Fprintf(text, "line %d", o.Table)
		if t != nil {
			f.line(t, o.Entries[0], text)
		}
	case proto.OpClear:
		fmt.Fprintf(text, "clear %d", o.Table)
		if t != nil {
			t.lines, t.levels = nil, map[int]level{}
		}
	case proto.OpAdmission:
		fmt.Fprintf(text, "level %d %d %g %d", o.Table, o.Admissions[0].Methods, o.Admissions[0].Level, o.Admissions[0].Retry)
		if t != nil {
			f.level(t, o.Admissions[0])
		}
	case proto.OpExclude:
		f.withdrawn[o.Backends[0]] = true
		fmt.Fprintf(text, "withdraw %d", o.Backends[0])
	case proto.OpRestore:
		delete(f.withdrawn, o.Backends[0])
		fmt.Fprintf(text, "readmit %d", o.Backends[0])
	}
}

func (f *FrontEnd) line(t *sheet, l proto.TableEntry, text *strings.Builder) {
	fmt.Fprintf(text, " %d:%.6g", l.Backend, l.Weight)
	at, ok := slices.BinarySearchFunc(t.lines, l.Backend, func(r row, ep proto.BackendID) int { return int(int64(r.ep) - int64(ep)) })
	switch {
	case l.Weight == 0 && ok:
		t.lines = slices.Delete(t.lines, at, at+1)
	case l.Weight == 0:
	case ok:
		t.lines[at].weight, t.lines[at].addr = l.Weight, l.Addr
	default:
		t.lines = slices.Insert(t.lines, at, row{ep: l.Backend, weight: l.Weight, addr: l.Addr})
	}
	if l.Excluded {
		f.withdrawn[l.Backend] = true
		fmt.Fprintf(text, "!")
	} else {
		delete(f.withdrawn, l.Backend)
	}
}

func (f *FrontEnd) level(t *sheet, l proto.Admission) {
	for m := range f.trade.Methods {
		if l.Methods == 0 || l.Methods>>m&1 == 1 {
			was := t.levels[m]
			t.levels[m] = level{l.Level, l.Retry, was.room, was.last}
		}
	}
}

// trim closes idle connections to servers that no table holds any more.
func (f *FrontEnd) trim() {
	used := map[proto.BackendID]string{}
	for _, t := range f.methods {
		if t != nil {
			for _, r := range t.lines {
				if !f.withdrawn[r.ep] {
					used[r.ep] = r.addr
				}
			}
		}
	}
	for _, c := range sortedConns(f.byID) {
		if l := f.byID[c]; (used[l.ep] == "" || used[l.ep] != l.addr) && len(l.out) == 0 {
			f.out.Close(c)
			f.drop(l)
		}
	}
}

// report sends what was met since the last one; an empty one too, as a sign of life.
func (f *FrontEnd) report(now statemachine.Seconds) {
	f.timers.at(now+f.trade.ReportPeriod, f.report)
	if f.trade.RecordDelay {
		f.out.Record(trace.Record{Time: now, Kind: trace.ScheduleDelay, Party: f.trade.Name, Value: f.late})
		f.late = 0
	}
	if f.trade.StaticTable != nil {
		f.clearSums(now)
		return
	}
	if !f.joined {
		if f.stream != 0 && now-f.heard > 4*f.trade.ReportPeriod {
			f.out.Abort(f.stream)
			f.leave(now, "no welcome")
		}
		return
	}
	if now-f.heard > 4*f.trade.ReportPeriod {
		f.out.Abort(f.stream)
		f.leave(now, "silent for too long")
		return
	}
	s := proto.Reports{Span: now - f.since}
	for m, u := range f.usage {
		if u.RPCs > 0 {
			s.Usage = append(s.Usage, u)
		}
		f.usage[m] = proto.UsageReport{Method: uint64(m)}
	}
	for ep, x := range f.sums {
		t := proto.AttemptReport{Backend: ep, Attempts: x.tries, Failures: x.bad}
		if x.tries > x.bad {
			t.MeanLatency = x.delay / float64(x.tries-x.bad)
		}
		s.Attempts = append(s.Attempts, t)
	}
	slices.SortFunc(s.Attempts, func(a, b proto.AttemptReport) int { return int(int64(a.Backend) - int64(b.Backend)) })
	clear(f.sums)
	f.since = now
	f.out.Write(f.stream, proto.Append(nil, s))
}

// await puts the next arrival on the clock; one drawn before is forgotten.
func (f *FrontEnd) await(now statemachine.Seconds) {
	f.due++
	life := f.due
	if d, ok := f.source.Next(now); ok {
		f.timers.at(d.At, func(now statemachine.Seconds) {
			if f.due == life {
				f.late = max(f.late, now-max(d.At, f.still))
				f.await(d.At) // from when it was due: a process that stood still has them all to serve
				f.arrive(now, d)
			}
		})
	}
}

// clearSums forgets what was met, where nobody is told.
func (f *FrontEnd) clearSums(now statemachine.Seconds) {
	for m := range f.usage {
		f.usage[m] = proto.UsageReport{Method: uint64(m)}
	}
	clear(f.sums)
	f.since = now
}

// arrive: a client's RPC comes.
func (f *FrontEnd) arrive(now statemachine.Seconds, d traffic.Arrival) {
	f.count++
	r := &rpc{id: f.self | f.count, asked: d.At, method: d.Method, key: d.Key}
	if f.trade.Methods[r.method].Repeatability == IdempotentWithKey {
		r.token = r.id
	}
	f.begin(now, r)
}

// begin lets an RPC in, or not, and sends it.
func (f *FrontEnd) begin(now statemachine.Seconds, r *rpc) {
	f.rpcs[r.id] = r
	f.usage[r.method].RPCs++
	if !f.admit(now, r.method) {
		f.end(now, r, proto.StatusRejected)
		return
	}
	f.timers.at(r.asked+f.trade.Methods[r.method].Deadline, func(now statemachine.Seconds) {
		if !r.done {
			f.tried(now, r, false)
			f.end(now, r, proto.StatusAborted)
		}
	})
	f.send(now, r, "")
}

func (f *FrontEnd) admit(now statemachine.Seconds, m int) bool {
	t := f.methods[m]
	if t == nil {
		return true
	}
	l, ok := t.levels[m]
	if !ok {
		return true
	}
	if !f.trade.AdmissionIsRate {
		return l.level >= 1 || f.dice.Uniform() < l.level
	}
	l.room = min(l.room+(now-l.last)*l.level, max(1, l.level))
	l.last = now
	good := l.room >= 1
	if good {
		l.room--
	}
	t.levels[m] = l
	return good
}

// pick chooses a line, not one that was tried, if possible not one that it keeps away from.
func (f *FrontEnd) pick(now statemachine.Seconds, r *rpc) *row {
	t := f.methods[r.method]
	if t == nil {
		return nil
	}
	var open, near []*row
	for i := range t.lines {
		x := &t.lines[i]
		if f.withdrawn[x.ep] || x.weight <= 0 || slices.Contains(r.tried, x.ep) {
			continue
		}
		open = append(open, x)
		if f.health[x.ep].away <= now {
			near = append(near, x)
		}
	}
	if len(near) > 0 {
		open = near
	}
	if len(open) == 0 {
		return nil
	}
	draw := func() *row {
		sum := 0.0
		for _, x := range open {
			sum += x.weight
		}
		at := f.dice.Uniform() * sum
		for _, x := range open {
			if at -= x.weight; at < 0 {
				return x
			}
		}
		return open[len(open)-1]
	}
	switch f.trade.Policy {
	case "pair":
		a, b := draw(), draw()
		if f.busy(b.ep) < f.busy(a.ep) {
			return b
		}
		return a
	case "report":
		a, b := draw(), draw()
		if f.reported(now, b.ep) < f.reported(now, a.ep) {
			return b
		}
		return a
	case "even":
		sum := 0.0
		best := open[0]
		for _, x := range open {
			x.owed += x.weight
			sum += x.weight
			if x.owed > best.owed {
				best = x
			}
		}
		best.owed -= sum
		return best
	}
	return draw()
}

func (f *FrontEnd) busy(ep proto.BackendID) int {
	if l := f.links[ep]; l != nil {
		return len(l.out) + len(l.wait)
	}
	return 0
}

// reported is the load that a server reported last, if that is not long ago, else what is known here.
func (f *FrontEnd) reported(now statemachine.Seconds, ep proto.BackendID) float64 {
	if l := f.links[ep]; l != nil && l.told > 0 && now < l.told+f.trade.ReportPeriod {
		return l.load
	}
	return float64(f.busy(ep))
}

func (f *FrontEnd) send(now statemachine.Seconds, r *rpc, why string) bool {
	x := f.pick(now, r)
	if x == nil {
		if r.n == 0 {
			f.end(now, r, proto.StatusRejected)
		}
		return false
	}
	l := f.links[x.ep]
	if l == nil || l.addr != x.addr {
		if l != nil {
			f.out.Close(l.conn)
			f.broke(now, l)
		}
		f.conns++
		l = &link{ep: x.ep, addr: x.addr, conn: f.conns, out: map[uint64]*rpc{}}
		f.links[x.ep], f.byID[l.conn] = l, l
		f.out.Dial(l.conn, x.addr)
		f.timers.at(now+f.trade.ConnectTimeout, func(now statemachine.Seconds) {
			if !l.up && f.byID[l.conn] == l {
				f.out.Abort(l.conn)
				f.broke(now, l)
			}
		})
	}
	f.count++
	r.try, r.link, r.sent, r.n = f.count, l, now, r.n+1
	r.tried = append(r.tried, x.ep)
	f.out.Record(trace.Record{
		Time: now, Kind: trace.AttemptSent, Party: f.trade.Name, Coordinator: f.of, Backend: x.ep, RPCID: r.id, Method: r.method,
		Count: int64(r.n), Text: why,
	})
	l.out[r.try] = r
	if l.up {
		f.write(now, l, r)
	} else {
		l.wait = append(l.wait, r.try)
	}
	if tries := f.tries(r); tries >= 2 && r.n < int(tries) {
		try := r.try
		f.timers.at(now+f.trade.AttemptTimeout*f.trade.Methods[r.method].SoftDeadline, func(now statemachine.Seconds) {
			if !r.done && r.try == try {
				// It is given up, though it may run or have run.
				f.failedTry(now, r, true)
			}
		})
	}
	return true
}

func (f *FrontEnd) write(now statemachine.Seconds, l *link, r *rpc) {
	m := f.trade.Methods[r.method]
	f.out.Write(l.conn, proto.Append(nil, proto.RPC{
		ID: r.id, Method: uint64(r.method), IdempotencyKey: r.token, CacheKey: r.key,
		TimeLeft: max(0, r.asked+m.Deadline-now),
	}))
}

// tries is what the table orders for the RPC's method.
func (f *FrontEnd) tries(r *rpc) uint64 {
	if t := f.methods[r.method]; t != nil {
		return t.levels[r.method].tries
	}
	return 0
}

// tried counts how a try ended, and forgets it.
func (f *FrontEnd) tried(now statemachine.Seconds, r *rpc, good bool) {
	l := r.link
	if l == nil || r.try == 0 {
		return
	}
	delete(l.out, r.try)
	if at := slices.Index(l.wait, r.try); at >= 0 {
		l.wait = slices.Delete(l.wait, at, at+1)
	}
	x := f.sums[l.ep]
	if x == nil {
		x = &met{}
		f.sums[l.ep] = x
	}
	x.tries++
	h := f.health[l.ep]
	if good {
		x.delay += now - r.sent
		h.fails = 0
	} else {
		x.bad++
		if h.fails++; f.trade.FailureLimit > 0 && h.fails >= f.trade.FailureLimit {
			h = health{0, now + f.trade.AvoidFor}
		}
	}
	if h == (health{}) {
		delete(f.health, l.ep)
	} else {
		f.health[l.ep] = h
	}
	r.try, r.link = 0, nil
}

// failedTry ends a try that failed; may says whether it may have run all the same.
func (f *FrontEnd) failedTry(now statemachine.Seconds, r *rpc, may bool) {
	f.tried(now, r, false)
	tries := f.tries(r)
	again := false
	switch tries {
	case 1:
		again = !may && r.n < 2
	case 2:
		again = r.n < 2
	case 3:
		again = r.n < 3
	}
	left := r.asked + f.trade.Methods[r.method].Deadline - now
	if again && left > 0.05 {
		text := "after proof"
		if may {
			text = "it may have run"
		}
		if f.send(now, r, text) {
			return
		}
	}
	status := proto.StatusAborted
	if !may {
		status = proto.StatusRejected
	}
	f.end(now, r, status)
}

func (f *FrontEnd) end(now statemachine.Seconds, r *rpc, status proto.Status) {
	if r.done {
		return
	}
	r.done = true
	delete(f.rpcs, r.id)
	if status != proto.StatusOK && r.n > 0 {
		f.usage[r.method].Failures = min(f.usage[r.method].Failures+1, f.usage[r.method].RPCs)
	}
	f.out.Record(trace.Record{
		Time: now, Kind: trace.RPCFinished, Party: f.trade.Name, RPCID: r.id, Method: r.method, Text: status.String(),
		Value: now - r.asked,
	})
	f.comeAgain(now, r, status)
}

// comeAgain has the client of an RPC that failed ask once more, as a new RPC with the token of the first.
func (f *FrontEnd) comeAgain(now statemachine.Seconds, r *rpc, status proto.Status) {
	safe := f.trade.Methods[r.method].Repeatability != NonIdempotent || status == proto.StatusRejected
	if status == proto.StatusOK || !safe || r.came >= f.trade.ClientRetryLimit || f.dice.Uniform() >= f.trade.ClientRetryChance {
		return
	}
	wait := f.trade.ClientRetryBackoff * float64(int(1)<<min(r.came, 10)) * (0.5 + f.dice.Uniform())
	f.timers.at(now+wait, func(now statemachine.Seconds) {
		f.count++
		f.begin(now, &rpc{id: f.self | f.count, method: r.method, asked: now, token: r.token, key: r.key, came: r.came + 1})
	})
}

// server takes what comes from a server.
func (f *FrontEnd) server(now statemachine.Seconds, l *link, i statemachine.Input) {
	switch i.Kind {
	case statemachine.ConnOpened:
		l.up = true
		l.reader.HandshakeDone()
		f.out.Write(l.conn, proto.Append(nil, proto.Hello{
			Version: proto.Version, Role: proto.RoleClient, Name: f.trade.Name,
			Zone: f.trade.Zone, TablesOf: f.holds,
		}))
		for _, try := range l.wait {
			if r := l.out[try]; r != nil && !r.done {
				f.write(now, l, r)
			}
		}
		l.wait = nil
	case statemachine.ConnClosed:
		f.broke(now, l)
	case statemachine.ConnData:
		l.reader.Feed(i.Data)
		for f.byID[l.conn] == l {
			msg, err := l.reader.Next()
			if err != nil {
				f.out.Close(l.conn)
				f.broke(now, l)
				return
			}
			if msg == nil {
				return
			}
			if m, ok := msg.(proto.Reply); ok {
				f.replied(now, l, m)
			}
		}
	}
}

func (f *FrontEnd) replied(now statemachine.Seconds, l *link, m proto.Reply) {
	if m.HasLoad {
		l.load, l.told = m.Load, now
	}
	r := f.rpcs[m.ID]
	if r == nil || r.link != l {
		return // given up before
	}
	switch m.Status {
	case proto.StatusOK:
		f.tried(now, r, true)
		f.end(now, r, proto.StatusOK)
	case proto.StatusRejected:
		f.failedTry(now, r, false)
	default:
		f.failedTry(now, r, true)
	}
}

// broke: the connection to a server is gone; what was sent on it may have run, what was not surely did not.
func (f *FrontEnd) broke(now statemachine.Seconds, l *link) {
	f.drop(l)
	all := slices.Sorted(maps.Keys(l.out))
	for _, try := range all {
		r := l.out[try]
		f.failedTry(now, r, l.up)
	}
}

func (f *FrontEnd) drop(l *link) {
	delete(f.byID, l.conn)
	if f.links[l.ep] == l {
		delete(f.links, l.ep)
	}
}

// told takes a script's word: rate RPCS, still SECONDS or reset.
func (f *FrontEnd) told(now statemachine.Seconds, text string) {
	word, rest, _ := strings.Cut(text, " ")
	v, _ := strconv.ParseFloat(rest, 64)
	switch word {
	case "rate":
		f.rate = v
		f.source.SetRate(v)
		f.await(now)
	case "still":
		f.still = max(f.still, now+v)
	case "reset":
		if f.stream != 0 {
			f.out.Abort(f.stream)
			f.leave(now, "reset by the script")
		}
	default:
		f.out.Log(2, "unknown word", "word", text)
	}
}
