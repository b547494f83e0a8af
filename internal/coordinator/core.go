// Package coordinator is one coordinator: an instance of the decision module, joined to its proxies' streams, the list,
// sums, probes and peers.
//
// Core is a plain state machine of typed events and orders; it decides nothing of its own. Machine puts the protocol
// around it. Neither has a socket, a clock or a file: see package machine for who drives them.
package coordinator

import (
	"fmt"
	"runtime/debug"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/fanout"
	"gingerfork/internal/proto"
)

// StreamID names a proxy's stream.
type StreamID uint64

// Event is one of the types below.
type Event any

type (
	// Join is a proxy's hello.
	Join struct {
		Stream StreamID
		Hello  proto.Hello
	}
	// Lost: a stream ended.
	Lost struct{ Stream StreamID }
	// Answer of a proxy to a mark.
	Answer struct {
		Stream StreamID
		Mark   uint64
	}
	// Sums of a proxy.
	Sums struct {
		Stream StreamID
		Sums   proto.Sums
	}
	// News of the list.
	News struct{ List proto.List }
	// ListLost: the list service can't be reached, or the stream to it ended.
	ListLost struct{}
	// Durable: all records up to this batch are.
	Durable struct{ Batch uint64 }
	// NotKept: the store is out of order.
	NotKept struct{}
	// Probed: a probe ended.
	Probed struct {
		EP       choice.BackendID
		OK, Busy bool
		Delay    choice.Seconds
	}
	// PeerNote came from another coordinator.
	PeerNote struct {
		From choice.PeerID
		Data string
	}
)

// Orders is what a step wants done, each list in order.
type Orders struct {
	Sends  []Send
	Drops  []Drop
	Probes []Target
	Watch  *proto.Watch
	Fetch  bool
	Tells  []choice.SendToPeer
	Says   []string
	Turns  []Turn           // servers withdrawn or let in again, for the log
	Puts   []checkpoint.Put // records to keep,
	Batch  uint64           // under this number
	Wake   choice.Seconds
	// ListBad says why the last list frame was refused; the stream that it came on is to be closed.
	ListBad error
}

type (
	// Send is a message that leaves.
	Send struct {
		Stream StreamID
		Push   proto.Push
	}
	// Drop ends a stream with a reason.
	Drop struct {
		Stream StreamID
		Reason string
	}
	// Turn tells that a server was withdrawn, or let in again, at so many proxies, with the step's mark.
	Turn struct {
		EP      choice.BackendID
		Out     bool
		Proxies int
		Mark    uint64 // as proxies see it
	}
	// Target is a server to probe.
	Target struct {
		EP   choice.BackendID
		Addr string
	}
)

// stream is a proxy that is joined.
type stream struct {
	id     StreamID
	name   string
	proxy  choice.ProxyID
	zone   choice.Zone
	queue  []*message
	urgent bool // a withdrawal is among them
	sent   uint64
	marks  []pending // sent, not answered
	// follower is what it is to the book of tables.
	follower *fanout.Subscriber
}

// pending is a mark that was given to a proxy.
type pending struct {
	wire  uint64 // the mark as proxies see it
	mark  choice.Nonce
	step  uint64
	needs uint64 // what must be durable before its answer counts
	at    choice.Seconds
}

// member is a proxy's number. It is given to another once the module has forgotten what it knew of it.
type member struct {
	name   string
	number choice.ProxyID
	stream *stream
	left   choice.Seconds
}

// held is an answer that must not reach the module yet.
type held struct {
	step   uint64
	needs  uint64
	answer choice.PushAcknowledged
	stream *stream
}

// Core is one coordinator without its protocol.
type Core struct {
	boot    choice.Config
	planner *choice.Planner
	methods int
	round   choice.Seconds

	roll    *roll
	keep    *checkpoint.Keeper
	channel channel
	intake  *intake
	streams map[StreamID]*stream
	members map[string]*member
	gone    []*member // left, oldest first
	spare   []choice.ProxyID
	// numbered has the streams by their proxy's number, nil where none is joined.
	numbered []*stream
	book     *fanout.Distributor

	events  []choice.Event
	answers []held // held back
	alarm   choice.Seconds
	ring    choice.TimerID
	step    uint64
	stepped choice.Seconds
	out     Orders
	figures Stats
}

// Figures are counts since the start, for logs, metrics and tests.
type Stats struct {
	Joins, Leaves, Superseded int
	Pushes, Entries           int
	Bytes                     int // of pushes
	Steps, Orders             int
	StaleAcknowledgements     int // answers to marks not in flight
	Sums, Handed              int
	MaxQueuedEntries          int
}

// Figures gives the counts.
func (c *Core) Stats() Stats {
	f := c.figures
	f.MaxQueuedEntries = c.channel.most
	return f
}

// New makes a coordinator that goes on from what its last run kept; nil: nothing is kept.
func New(boot choice.Config, kept *checkpoint.Kept) *Core {
	c := &Core{boot: boot, planner: choice.New(boot), methods: len(boot.Settings.Methods), round: boot.Settings.Tick.Or(0),
		roll: &roll{entries: map[choice.BackendID]*server{}}, keep: checkpoint.New(boot.Now, kept), intake: newIntake(boot), streams: map[StreamID]*stream{},
		members: map[string]*member{}, book: fanout.New(), alarm: boot.Now}
	c.channel = channel{pace: boot.Settings.ChannelPace.Or(1e4), head: int(boot.Settings.MessageLines.Or(0)), burst: c.round,
		free: boot.Now}
	c.stepped = boot.Now - c.round
	if kept != nil && kept.Held {
		c.roll = &roll{version: kept.Version, held: true, entries: map[choice.BackendID]*server{}}
		for ep, s := range kept.Servers {
			c.roll.entries[ep] = &s
		}
		c.events = append(c.events, c.roll.kept())
	}
	return c
}

// Failure is what Step panics with when the module failed: the step's orders must not be carried out, half done.
type Failure struct {
	Cause any
	Stack []byte
}

func (f Failure) Error() string { return fmt.Sprintf("the decision module failed: %v", f.Cause) }

// Step takes what happened and gives what to do.
func (c *Core) Step(now choice.Seconds, events []Event) Orders {
	c.out = Orders{Wake: now + 3600}
	for _, e := range events {
		c.take(now, e)
	}
	c.pump(now)
	handed := c.intake.due(now)
	c.figures.Handed += len(handed)
	c.events = append(c.events, handed...)
	c.release(now)
	if due := now >= c.alarm; due || len(c.events) > 0 && now >= c.stepped+c.round {
		if due {
			c.events = append(c.events, choice.TimerFired{Timer: c.ring})
			c.alarm = now + 3600
		}
		c.decide(now)
		c.pump(now)
	}
	if len(c.events) > 0 {
		c.wake(c.stepped + c.round)
	}
	c.wake(c.alarm)
	if at, any := c.channel.wake(); any {
		c.wake(at)
	}
	if at, any := c.intake.wake(); any {
		c.wake(at)
	}
	if at, any := c.keep.Wake(now); any {
		c.wake(at)
	}
	c.forget(now)
	c.out.Puts, c.out.Batch = c.keep.Take(now)
	// Whatever asks, the next step is not at this very moment: it would be asked for again and again.
	c.out.Wake = max(c.out.Wake, now+shortest)
	return c.out
}

const shortest choice.Seconds = 1e-4

func (c *Core) wake(at choice.Seconds) { c.out.Wake = min(c.out.Wake, at) }

func (c *Core) take(now choice.Seconds, e Event) {
	switch e := e.(type) {
	case Join:
		c.join(now, e)
	case Lost:
		if s := c.streams[e.Stream]; s != nil {
			c.leave(now, s)
		}
	case Answer:
		if s := c.streams[e.Stream]; s != nil {
			c.answer(now, s, e.Mark)
		}
	case Sums:
		if s := c.streams[e.Stream]; s != nil {
			c.figures.Sums++
			c.intake.heard(now, s, e.Sums, func(ep choice.BackendID) bool { return c.roll.entries[ep] != nil }, c.methods)
		}
	case News:
		l, changed, gone, err := c.roll.news(now, e.List)
		if err != nil {
			c.out.ListBad = err
			l = &choice.EndpointUpdate{Kind: choice.UpdateFailed}
		} else if len(l.Endpoints) > 0 || l.Kind == choice.UpdateFull {
			c.keep.Listed(now, c.roll.version, changed, gone)
		}
		c.events = append(c.events, *l)
	case ListLost:
		c.events = append(c.events, choice.EndpointUpdate{Kind: choice.UpdateFailed})
	case Durable:
		c.keep.Durable(e.Batch)
	case NotKept:
		c.keep.Lost()
	case Probed:
		c.events = append(c.events, choice.ProbeResult{Backend: e.EP, OK: e.OK, Busy: e.Busy, Latency: e.Delay})
	case PeerNote:
		c.events = append(c.events, choice.PeerMessage{From: e.From, Data: []byte(e.Data)})
	default:
		panic(fmt.Sprintf("coordinator: unknown event %T", e))
	}
}

func (c *Core) join(now choice.Seconds, e Join) {
	m := c.members[e.Hello.Name]
	if m == nil {
		m = &member{name: e.Hello.Name, number: choice.ProxyID(len(c.numbered))}
		if n := len(c.spare); n > 0 {
			m.number, c.spare = c.spare[n-1], c.spare[:n-1]
		} else {
			c.numbered = append(c.numbered, nil)
		}
		c.members[m.name] = m
	}
	if m.stream != nil {
		// The older stream is a dead one that we have not noticed, or an impostor; both can't be followed.
		c.figures.Superseded++
		c.out.Drops = append(c.out.Drops, Drop{m.stream.id, "this proxy joined again on a newer stream"})
		c.leave(now, m.stream)
	}
	s := &stream{id: e.Stream, name: m.name, proxy: m.number, zone: choice.Zone(e.Hello.Zone), follower: c.book.Join(m.number)}
	m.stream = s
	c.streams[e.Stream], c.numbered[s.proxy] = s, s
	c.figures.Joins++
	c.events = append(c.events, choice.ProxyJoined{Proxy: s.proxy, Zone: s.zone, Rate: e.Hello.Rate, Fresh: e.Hello.Fresh})
}

func (c *Core) leave(now choice.Seconds, s *stream) {
	delete(c.streams, s.id)
	c.numbered[s.proxy] = nil
	c.channel.drop(s)
	c.book.Leave(s.follower)
	c.answers = slices.DeleteFunc(c.answers, func(h held) bool { return h.stream == s })
	m := c.members[s.name]
	m.stream, m.left = nil, now
	c.gone = append(c.gone, m)
	c.figures.Leaves++
	c.events = append(c.events, choice.ProxyLeft{Proxy: s.proxy})
}

// forget gives back the numbers of proxies that left so long ago that the module has dropped them.
func (c *Core) forget(now choice.Seconds) {
	for len(c.gone) > 0 {
		m := c.gone[0]
		if now < m.left+choice.BackendRetention*2 {
			return
		}
		c.gone = c.gone[1:]
		// One that came back in between, and perhaps left again, stands in the row once more.
		if m.stream == nil && now >= m.left+choice.BackendRetention*2 && c.members[m.name] == m {
			delete(c.members, m.name)
			c.keep.Forget(m.name)
			c.intake.forget(m.number)
			c.spare = append(c.spare, m.number)
		}
	}
}

// answer checks that the mark is in flight on this very stream; stale and unknown ones are ignored, as the design says.
func (c *Core) answer(now choice.Seconds, s *stream, mark uint64) {
	at := slices.IndexFunc(s.marks, func(p pending) bool { return p.wire == mark })
	if at < 0 {
		c.figures.StaleAcknowledgements++
		return
	}
	p := s.marks[at]
	s.marks = append(s.marks[:0], s.marks[at+1:]...)
	c.keep.Confirmed(s.name, mark)
	c.answers = append(c.answers, held{p.step, p.needs, choice.PushAcknowledged{Proxy: s.proxy, Nonce: p.mark, Delay: now - p.at}, s})
}

// release hands over answers. The module takes an answer as proof that all that was ordered before has left the channel;
// as withdrawals pass by what waits, an answer to one is held until that is so. One to an order that takes a server out
// of use is held, too, until a crash can't make us forget that order: what counts as done must stay known.
func (c *Core) release(now choice.Seconds) {
	oldest, any := c.channel.oldest()
	kept := c.answers[:0]
	for _, h := range c.answers {
		if any && h.step > oldest || !c.keep.Counts(now, h.needs) {
			kept = append(kept, h)
			continue
		}
		c.events = append(c.events, h.answer)
	}
	clear(c.answers[len(kept):])
	c.answers = kept
}

// decide has the module take a step, and carries out what it orders.
func (c *Core) decide(now choice.Seconds) {
	events := c.events
	c.events = nil
	c.step, c.stepped = c.step+1, now
	c.figures.Steps++
	orders := c.ask(now, events)
	c.figures.Orders += len(orders)
	var mark *choice.SetNonce
	for _, o := range orders {
		if m, ok := o.(choice.SetNonce); ok {
			mark = &m
		} else {
			c.carry(now, o)
		}
	}
	if mark != nil && mark.All {
		for f := range c.book.Subscribers() {
			c.book.MarkDirty(f)
		}
	}
	// What the list took out of use before a restart is withdrawn, too: the module, which was not there, orders nothing
	// for it.
	messages, turns := c.book.Flush(c.keep.Drained)
	var wire, needs uint64
	if mark != nil && len(messages) > 0 {
		wire, needs = c.keep.Mark(), c.keep.Needs()
	}
	for _, x := range messages {
		m := &message{to: c.numbered[x.To.Proxy], step: c.step, at: c.stepped, lines: x.Lines, urgent: x.Urgent, ops: c.ops(x.Ops)}
		if mark != nil {
			m.marked, m.mark, m.wire, m.needs = true, mark.Nonce, wire, needs
			m.lines++
		}
		c.channel.add(m)
	}
	for _, t := range turns {
		c.out.Turns = append(c.out.Turns, Turn{EP: t.Backend, Out: t.Excluded, Proxies: t.Proxies, Mark: wire})
	}
}

// opKinds are the protocol's words for what proxies are told.
var opKinds = map[fanout.OpKind]proto.OpKind{fanout.OpSetEntry: proto.OpLine, fanout.OpClear: proto.OpClear, fanout.OpBind: proto.OpBind,
	fanout.OpAdmission: proto.OpLevel, fanout.OpExclude: proto.OpWithdraw, fanout.OpRestore: proto.OpReadmit}

// ops puts what a proxy is told into the protocol's form.
func (c *Core) ops(all []fanout.TableOp) []proto.Op {
	out := make([]proto.Op, 0, len(all))
	for _, x := range all {
		op := proto.Op{Kind: opKinds[x.Kind]}
		if x.Kind != fanout.OpExclude && x.Kind != fanout.OpRestore {
			op.Table = uint64(x.Table)
		}
		if x.Kind == fanout.OpBind {
			op.Methods = x.Methods
		}
		for _, l := range x.Entries {
			op.Lines = append(op.Lines, c.line(l))
		}
		for _, g := range x.Admissions {
			op.Levels = append(op.Levels, proto.Level{Methods: g.Methods, Level: g.Level, Tries: uint64(g.Retry)})
		}
		for _, ep := range x.Backends {
			op.Withdrawn = append(op.Withdrawn, proto.EP(ep))
		}
		out = append(out, op)
	}
	return out
}

func (c *Core) ask(now choice.Seconds, events []choice.Event) (orders []choice.Command) {
	defer func() {
		if r := recover(); r != nil {
			panic(Failure{r, debug.Stack()})
		}
	}()
	return c.planner.Step(now, events)
}

func (c *Core) line(e fanout.TableEntry) proto.Line {
	l := proto.Line{EP: proto.EP(e.Backend), Weight: e.Weight, Shut: e.Excluded}
	if s := c.roll.entries[e.Backend]; s != nil && e.Weight > 0 {
		l.Addr = s.Addr
	}
	return l
}

// carry does one order.
func (c *Core) carry(now choice.Seconds, o choice.Command) {
	switch o := o.(type) {
	case choice.WatchEndpoints:
		c.out.Watch = &proto.Watch{On: o.On, Since: c.roll.version}
		if !c.roll.held {
			c.out.Watch.Since = 0
		}
	case choice.FetchEndpoints:
		c.out.Fetch = true
	case choice.ProbeBackend:
		if s := c.roll.entries[o.Backend]; s != nil {
			c.out.Probes = append(c.out.Probes, Target{o.Backend, s.Addr})
		}
	case choice.SetTimer:
		// The module asks for one at a time and looks at the clock itself; the soonest serves them all.
		if o.At < c.alarm {
			c.alarm, c.ring = o.At, o.Timer
		}
	case choice.SendToPeer:
		c.out.Tells = append(c.out.Tells, o)
	case choice.LogMessage:
		c.out.Says = append(c.out.Says, o.Text)
	default:
		if !c.book.Apply(o) {
			panic(Failure{fmt.Sprintf("an order of unknown type %T", o), nil})
		}
	}
}

// pump sends what may leave by now.
func (c *Core) pump(now choice.Seconds) {
	for c.keep.Open(now) {
		m := c.channel.next(now)
		if m == nil {
			return
		}
		s := m.to
		s.sent++
		if m.marked {
			s.marks = append(s.marks, pending{m.wire, m.mark, m.step, m.needs, m.at})
			c.keep.Sent(s.name, m.wire)
		}
		c.figures.Pushes++
		c.figures.Entries += m.lines
		c.out.Sends = append(c.out.Sends, Send{s.id, proto.Push{Seq: s.sent, Waiting: uint64(max(c.channel.waiting, 0)),
			Marked: m.marked, Mark: m.wire, Ops: m.ops}})
	}
}
