// Package simnet drives machines in virtual time over a network in memory: same seed, same day, to the byte. What a
// socket does to its user it does too: bytes come in pieces, links are late, cut or reset, a process dies in the middle
// of a frame.
package simnet

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"

	"gingerfork/internal/disk"
	"gingerfork/internal/eventqueue"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
	"gingerfork/internal/trace"
)

// Maker makes a node's machine at a start; files are what its earlier lives saved.
type NodeFactory func(now statemachine.Seconds, files map[string][]byte) statemachine.Machine

// Hindrance is what a link does to what passes on it. The zero value lets all pass.
type LinkFault struct {
	Partitioned  bool                 // nothing passes, in either way; what was sent waits for the cut to heal
	Reset        bool                 // connections can't be opened, and standing ones are reset
	ExtraLatency statemachine.Seconds // beside the link's own
	Bandwidth    float64              // bytes a second of each connection and way; 0: unbounded
}

// World is the network and all that is on it.
type Network struct {
	now  statemachine.Seconds
	dice *rand.Rand
	// diskDice is for what disks do, so that a run with stores draws for its network what one without does.
	diskDice  *rand.Rand
	events    eventqueue.Queue[func()]
	nodes     map[string]*node
	order     []*node
	doors     map[string]door
	links     []rule
	same      statemachine.Seconds // latency within a zone
	cross     statemachine.Seconds // and between zones
	Trace     func(trace.Record)
	Log       func(t statemachine.Seconds, node string, n statemachine.LogEntry)
	Failures  []string             // of machines that failed
	out       statemachine.Effects // of the step that is being taken
	Steps     int
	BytesSent int
}

type door struct {
	node *node
	at   int
}

type rule struct {
	name  string
	match func(a, b string) bool
	h     LinkFault
}

type node struct {
	name  string
	zone  string
	make  NodeFactory
	doors []string
	files map[string][]byte
	disk  *disk.Memory // what is kept; nil: nothing was yet
	store *store.Store // of this life; nil: it keeps nothing

	life  int // counts starts; 0: never started
	up    bool
	m     statemachine.Machine
	inbox []statemachine.Input
	spare []statemachine.Input // for the next inbox
	// armed is the last time, and in which life, for which a waking stands in the queue: most steps ask for the same again.
	armed     statemachine.Seconds
	armedLife int
	due       bool // a step is under way
	wake      statemachine.Seconds
	stalled   statemachine.Seconds
	last      statemachine.Seconds // step,
	same      int                  // and how many there were at that moment
	conns     map[statemachine.Conn]*end
	nextIn    statemachine.Conn
}

// end is one node's end of a connection.
type end struct {
	node  *node
	life  int
	id    statemachine.Conn
	other *end
	free  statemachine.Seconds // when what this end sends next may arrive: bytes keep their order
	held  []piece              // sent while the link was cut, or under way then
	n     int
	open  bool
	gone  bool
	lost  bool // its process died while the link was cut: the other side was not told
}

type piece struct {
	n     int // its place among what the end sent
	data  []byte
	close bool
	why   string
}

// New makes an empty world at a time.
func New(seed uint64, now, same, cross statemachine.Seconds) *Network {
	return &Network{now: now, dice: rand.New(rand.NewPCG(seed, 1)), diskDice: rand.New(rand.NewPCG(seed, 2)), nodes: map[string]*node{}, doors: map[string]door{}, same: same, cross: cross}
}

// Now is the time.
func (w *Network) Now() statemachine.Seconds { return w.now }

func (w *Network) draw() float64 { return w.dice.Float64() }

// At has something done at a time.
func (w *Network) Schedule(at statemachine.Seconds, do func()) {
	w.events.Push(max(at, w.now), do)
}

// Add puts a node on the network, reached at its doors' addresses; it does not run before Start.
func (w *Network) AddNode(name, zone string, maker NodeFactory, doors ...string) {
	n := &node{name: name, zone: zone, make: maker, doors: doors, files: map[string][]byte{}}
	w.nodes[name] = n
	w.order = append(w.order, n)
	for i, d := range doors {
		w.doors[d] = door{n, i}
	}
}

// Names gives the names of all nodes, in the order in which they were added.
func (w *Network) NodeNames() (all []string) {
	for _, n := range w.order {
		all = append(all, n.name)
	}
	return all
}

// Up tells whether a node runs.
func (w *Network) Running(name string) bool { n := w.nodes[name]; return n != nil && n.up }

// Zone is a node's zone.
func (w *Network) ZoneOf(name string) string {
	if n := w.nodes[name]; n != nil {
		return n.zone
	}
	return ""
}

// Machine is a running node's machine, nil if it does not run.
func (w *Network) Machine(name string) statemachine.Machine {
	if n := w.nodes[name]; n != nil && n.up {
		return n.m
	}
	return nil
}

// Start starts a node's process.
func (w *Network) Start(name string) {
	n := w.nodes[name]
	if n == nil || n.up {
		return
	}
	n.life++
	n.up, n.inbox, n.wake, n.stalled, n.nextIn = true, nil, statemachine.Never, 0, 0
	n.conns = map[statemachine.Conn]*end{}
	n.m = n.make(w.now, n.files)
	w.step(n)
}

// Records opens the store of a node that is being made, and gives what its earlier lives kept. Call it in its Maker.
func (w *Network) OpenStore(name string) (iter.Seq2[string, []byte], error) {
	n := w.nodes[name]
	if n.disk == nil {
		n.disk = disk.NewMemory()
	}
	s, _, err := store.Open(store.Bootstrap{Folder: n.disk, ID: 1})
	if err != nil {
		w.Failures = append(w.Failures, fmt.Sprintf("%.6f %s: %v", w.now, name, err))
		return nil, err
	}
	n.store = s
	return s.Scan(""), nil
}

// Disk is what a node's store stands on; nil: it has none.
func (w *Network) Disk(name string) *disk.Memory { return w.nodes[name].disk }

// keep writes what a step wants kept. It is durable some milliseconds later.
func (w *Network) keep(n *node, puts []statemachine.Mutation, batch uint64) {
	if n.store == nil || batch == 0 {
		return
	}
	var b store.Batch
	for _, p := range puts {
		if p.Value == nil {
			b.Delete(p.Key)
		} else {
			b.Put(p.Key, p.Value)
		}
	}
	seq, err := n.store.Write(&b)
	life := n.life
	w.Schedule(w.now+syncTime*(0.5+w.diskDice.Float64()), func() {
		if n.life != life || !n.up {
			return
		}
		if err == nil {
			err = n.store.SyncTo(seq)
		}
		if err != nil {
			w.input(n, statemachine.Input{Kind: statemachine.PersistFailed, Text: err.Error()})
			return
		}
		for more, err := true, error(nil); more && err == nil; {
			more, err = n.store.Compact(false)
		}
		w.input(n, statemachine.Input{Kind: statemachine.Persisted, Batch: batch})
	})
}

// syncTime is about what a sync takes on a disk, in seconds.
const syncTime = 0.005

// Kill ends a node's process outright. Its peers see their connections reset, some in the middle of what was sent.
func (w *Network) Kill(name string) {
	n := w.nodes[name]
	if n == nil || !n.up {
		return
	}
	n.up, n.m, n.inbox = false, nil, nil
	if n.store != nil {
		// As with the power cut: what was not synced is there or not, by the sector.
		n.disk, n.store = n.disk.Crash(func() bool { return w.diskDice.Uint64()&1 == 0 }), nil
	}
	for _, e := range w.ends(n) {
		e.gone = true
		if e.other != nil && w.between(n, e.other.node).Partitioned {
			e.lost = true
			continue
		}
		w.send(e, piece{close: true, why: "reset by the other side"})
	}
	n.conns = nil
}

func (w *Network) ends(n *node) []*end {
	all := make([]*end, 0, len(n.conns))
	for _, e := range n.conns {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *end) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}

// Stall keeps a node from being stepped for a while, as a process that the machine does not run.
func (w *Network) Pause(name string, span statemachine.Seconds) {
	if n := w.nodes[name]; n != nil && n.up {
		n.stalled = max(n.stalled, w.now+span)
		w.Schedule(n.stalled, func() { w.step(n) })
	}
}

// Tell hands a node's machine a script's word.
func (w *Network) SendCommand(name, text string) {
	if n := w.nodes[name]; n != nil && n.up {
		w.input(n, statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
	}
}

// Hinder puts a hindrance on all links between nodes that match, under a name; Clear takes it off again.
func (w *Network) AddLinkFault(name string, h LinkFault, match func(a, b string) bool) {
	w.links = append(w.links, rule{name, match, h})
	if h.Reset {
		w.ResetConnections(match)
	}
}

// Clear takes a hindrance off, and lets through what waited for that.
func (w *Network) RemoveLinkFault(name string) {
	w.links = slices.DeleteFunc(w.links, func(r rule) bool { return r.name == name })
	for _, n := range w.order {
		for _, e := range w.ends(n) {
			if len(e.held) > 0 && e.other != nil && !w.between(n, e.other.node).Partitioned {
				held := e.held
				e.held = nil
				for _, p := range held {
					w.send(e, p)
				}
			}
		}
	}
}

// Reset breaks all connections between nodes that match, once.
func (w *Network) ResetConnections(match func(a, b string) bool) {
	for _, n := range w.order {
		for _, e := range w.ends(n) {
			if o := e.other; o != nil && !e.gone && o.node.up && match(n.name, o.node.name) {
				e.gone, o.gone = true, true
				delete(n.conns, e.id)
				delete(o.node.conns, o.id)
				w.input(n, statemachine.Input{Kind: statemachine.ConnClosed, Conn: e.id, Text: "reset by the other side"})
				w.input(o.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: o.id, Text: "reset by the other side"})
			}
		}
	}
}

// between is what hinders two nodes' link at present; hindrances add up.
func (w *Network) between(a, b *node) (h LinkFault) {
	for _, r := range w.links {
		if r.match(a.name, b.name) || r.match(b.name, a.name) {
			h.Partitioned, h.Reset, h.ExtraLatency = h.Partitioned || r.h.Partitioned, h.Reset || r.h.Reset, h.ExtraLatency+r.h.ExtraLatency
			if r.h.Bandwidth > 0 && (h.Bandwidth == 0 || r.h.Bandwidth < h.Bandwidth) {
				h.Bandwidth = r.h.Bandwidth
			}
		}
	}
	return h
}

func (w *Network) latency(a, b *node) statemachine.Seconds {
	base := w.same
	if a.zone != b.zone {
		base = w.cross
	}
	return base * (0.7 + 0.6*w.draw())
}

// Run goes on until a time.
func (w *Network) RunUntil(until statemachine.Seconds) {
	for {
		at, ok := w.events.NextTime()
		if !ok || at > until {
			break
		}
		w.now = at
		w.events.Pop()()
	}
	w.now = until
}

// input gives a node something; all that comes at one moment is one step's.
func (w *Network) input(n *node, i statemachine.Input) {
	n.inbox = append(n.inbox, i)
	if !n.due {
		n.due = true
		life := n.life
		w.Schedule(w.now, func() {
			if n.life == life {
				n.due = false
				w.step(n)
			}
		})
	}
}

func (w *Network) step(n *node) {
	if !n.up || w.now < n.stalled {
		return
	}
	if n.last != w.now {
		n.last, n.same = w.now, 0
	}
	if n.same++; n.same > 10000 {
		// It asks for a step at the moment of each step: on sockets it would take a whole core.
		w.Failures = append(w.Failures, fmt.Sprintf("%.6f %s: it spins", w.now, n.name))
		w.Kill(n.name)
		return
	}
	in := n.inbox
	n.inbox, n.spare = n.spare[:0], nil
	out := &w.out
	out.Reset()
	w.Steps++
	n.m.Step(w.now, in, out)
	clear(in)
	n.spare = in
	for _, x := range out.LogEntries {
		if w.Log != nil {
			w.Log(w.now, n.name, x)
		}
	}
	for _, r := range out.Trace {
		if w.Trace != nil {
			w.Trace(r)
		}
	}
	if out.Failure != "" {
		w.Failures = append(w.Failures, fmt.Sprintf("%.3f %s: %s", w.now, n.name, out.Failure))
		w.Kill(n.name)
		return
	}
	for name, data := range out.Files {
		n.files[name] = data
	}
	w.keep(n, out.Mutations, out.Batch)
	for _, a := range out.Actions {
		w.act(n, a)
	}
	if out.Stop {
		w.Kill(n.name)
		return
	}
	if n.wake = out.WakeAt; n.wake < statemachine.Never && (n.armed != n.wake || n.armedLife != n.life) {
		life, wake := n.life, n.wake
		n.armed, n.armedLife = wake, life
		w.Schedule(wake, func() {
			if n.armed == wake && n.armedLife == life {
				n.armed = statemachine.Never
			}
			if n.life == life && n.wake == wake {
				w.step(n)
			}
		})
	}
}

func (w *Network) act(n *node, a statemachine.Action) {
	if a.Kind == statemachine.ActionDial {
		w.dial(n, a.Conn, a.Addr, w.now+5)
		return
	}
	e := n.conns[a.Conn]
	if e == nil {
		return
	}
	switch a.Kind {
	case statemachine.ActionWrite:
		if e.open {
			w.BytesSent += len(a.Data)
			w.send(e, piece{data: a.Data})
		}
	default:
		why := "closed by the other side"
		if a.Kind == statemachine.ActionAbort {
			why = "reset by the other side"
		}
		e.gone = true
		delete(n.conns, e.id)
		if e.other != nil {
			w.send(e, piece{close: true, why: why})
		}
	}
}

func (w *Network) dial(n *node, id statemachine.Conn, addr string, last statemachine.Seconds) {
	e := n.conns[id]
	if e == nil {
		e = &end{node: n, life: n.life, id: id}
		n.conns[id] = e
	}
	d, known := w.doors[addr]
	fail := func(why string) {
		if !e.gone && n.life == e.life && n.up {
			e.gone = true
			delete(n.conns, id)
			w.input(n, statemachine.Input{Kind: statemachine.ConnClosed, Conn: id, Text: why})
		}
	}
	if !known {
		fail("can't be reached")
		return
	}
	h := w.between(n, d.node)
	life := n.life
	alive := func() bool { return n.life == life && n.up && !e.gone }
	switch {
	case h.Partitioned:
		if w.now >= last {
			fail("no answer")
			return
		}
		w.Schedule(w.now+0.5, func() {
			if alive() {
				w.dial(n, id, addr, last)
			}
		})
	default:
		trip := w.latency(n, d.node) + h.ExtraLatency
		w.Schedule(w.now+trip, func() {
			if !alive() {
				return
			}
			if !d.node.up || h.Reset {
				w.Schedule(w.now+trip, func() { fail("refused") })
				return
			}
			d.node.nextIn++
			o := &end{node: d.node, life: d.node.life, id: d.node.nextIn, other: e, open: true}
			e.other = o
			d.node.conns[o.id] = o
			w.input(d.node, statemachine.Input{Kind: statemachine.ConnOpened, Conn: o.id, Listener: d.at})
			// Nothing that the other side sends at once may arrive before this end stands.
			o.free = w.now + trip
			w.Schedule(w.now+trip, func() {
				if alive() {
					e.open = true
					w.input(n, statemachine.Input{Kind: statemachine.ConnOpened, Conn: id})
				} else if !o.gone && o.node.conns[o.id] == o {
					o.gone = true
					delete(o.node.conns, o.id)
					w.input(o.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: o.id, Text: "reset by the other side"})
				}
			})
		})
	}
}

// send puts bytes, or the end, on the way to the other end.
func (w *Network) send(e *end, p piece) {
	o := e.other
	if o == nil {
		return
	}
	h := w.between(e.node, o.node)
	if o.lost && !h.Partitioned && !e.gone {
		// Who writes to a process that is no more hears of it.
		e.gone = true
		delete(e.node.conns, e.id)
		w.input(e.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: e.id, Text: "reset by the other side"})
	}
	if o.gone || !o.node.up || o.life != o.node.life {
		return
	}
	if p.n == 0 {
		e.n++
		p.n = e.n
	}
	if h.Partitioned || len(e.held) > 0 {
		e.hold(p)
		return
	}
	at := w.now + w.latency(e.node, o.node) + h.ExtraLatency
	if h.Bandwidth > 0 {
		at += float64(len(p.data)) / h.Bandwidth
	}
	e.free = max(e.free, at)
	w.Schedule(e.free, func() { w.arrive(e, p) })
}

// hold keeps a piece until a cut heals: what was under way when it began comes before what was sent during it.
func (e *end) hold(p piece) {
	at := len(e.held)
	for at > 0 && e.held[at-1].n > p.n {
		at--
	}
	e.held = slices.Insert(e.held, at, p)
}

func (w *Network) arrive(e *end, p piece) {
	o := e.other
	if o.gone || !o.node.up || o.life != o.node.life {
		return
	}
	if w.between(e.node, o.node).Partitioned || len(e.held) > 0 {
		e.hold(p)
		return
	}
	if p.close {
		o.gone = true
		delete(o.node.conns, o.id)
		w.input(o.node, statemachine.Input{Kind: statemachine.ConnClosed, Conn: o.id, Text: p.why})
		return
	}
	data := p.data
	if e.gone && e.life != e.node.life || !e.node.up {
		// The sender was killed while this was under way: part of it is lost.
		data = data[:int(w.draw()*float64(len(data)+1))]
	}
	// A stream has no seams: now and then a piece arrives in two.
	if len(data) > 1 && w.draw() < 0.05 {
		at := 1 + int(w.draw()*float64(len(data)-1))
		w.input(o.node, statemachine.Input{Kind: statemachine.ConnData, Conn: o.id, Data: data[:at]})
		data = data[at:]
	}
	if len(data) > 0 {
		w.input(o.node, statemachine.Input{Kind: statemachine.ConnData, Conn: o.id, Data: data})
	}
}
