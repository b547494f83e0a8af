package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Serving tells how a coordinator's process is started: a command to which the settings file is added.
type CoordinatorCommand struct {
	Command []string
	Env     []string
	Dir     string // for settings, kept lists and logs; it must exist
}

// sockets is a stage of real sockets on the loopback address and real time. Coordinators are processes, all else are
// loops of this one; between any two of them stands a relay that can hinder what passes.
type sockets struct {
	cast    *cast
	serving CoordinatorCommand
	clock   *eventloop.Clock
	ctx     context.Context
	nodes   map[string]*node
	relays  map[string]*relay // by the node whose dials it takes
	rules   []hindering
	work    sync.WaitGroup

	mu      sync.Mutex
	records []trace.Record
	fails   []string
	due     []timed
	ending  bool
}

type timed struct {
	at statemachine.Seconds
	do func()
}

type hindering struct {
	name  string
	h     simnet.Hindrance
	match func(a, b string) bool
}

type node struct {
	actor *actor
	addr  string
	make  func() statemachine.Machine
	loop  *eventloop.Loop
	last  *eventloop.Loop // the one before, perhaps still closing
	cmd   *exec.Cmd
	via   func(string) string
}

type relay struct {
	loop    *eventloop.Loop
	targets []string // names, by door
	doors   []string // addresses
	told    []string // the last word to each door
}

// ports finds free ports below those that the system gives to outgoing connections, so that none of these can take one
// between a process's end and its restart.
func ports(n int) (all []string, err error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close() // nobody ever called there
		}
	}()
	for p := 12000 + os.Getpid()*37%16000; len(all) < n; p++ {
		if p > 32000 {
			p = 12000
		}
		if len(held) > 0 && p == 12000+os.Getpid()*37%16000 {
			return nil, errors.New("no free ports on the loopback address")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		held, all = append(held, l), append(all, addr)
	}
	return all, nil
}

// Sockets plays a day on sockets, in real time. It ends early, with what was seen so far, when ctx does.
func PlaySockets(ctx context.Context, d *Scenario, serving CoordinatorCommand) (Result, error) {
	c := newCast(d)
	c.glance, c.ledger = 1, nil // its servers are on loops of their own; the checker finds effects by the trace
	s := &sockets{cast: c, serving: serving, clock: eventloop.NewClock(), nodes: map[string]*node{}, relays: map[string]*relay{}}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	c.stage, c.record = s, s.note
	free, err := ports(1 + len(c.coords) + len(c.servers))
	if err != nil {
		return Result{}, err
	}
	if err := s.build(free); err != nil {
		s.end()
		return Result{}, err
	}
	c.start()
	s.run(ctx, c.begin+d.Duration)
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	return finish(d, s.records, s.fails)
}

// build makes all nodes and the relays between them.
func (s *sockets) build(free []string) error {
	c := s.cast
	next := func() string { a := free[0]; free = free[1:]; return a }
	add := func(a *actor, addr string, maker func() statemachine.Machine) *node {
		n := &node{actor: a, addr: addr, make: maker}
		s.nodes[a.name] = n
		return n
	}
	store := c.store()
	servers, coords := make([]string, 0, len(c.servers)), make([]string, 0, len(c.coords))
	names := map[string]string{} // any address that a server may be known by, to its name
	for _, a := range c.servers {
		n := add(a, next(), func() statemachine.Machine { return c.server(a, store) })
		servers = append(servers, a.name)
		names[n.addr] = a.name
	}
	for _, a := range c.coords {
		n := add(a, next(), nil)
		coords = append(coords, a.name)
		names[n.addr] = a.name
	}
	list := add(c.all["list"], next(), nil)
	list.make = func() statemachine.Machine {
		l := fake.NewList(c.listings(func(a *actor) string { return s.nodes[a.name].addr }))
		l.Via = func(watcher, addr string) string {
			if r := s.relays[watcher]; r != nil {
				return r.door(names[addr])
			}
			return addr
		}
		return l
	}
	for _, a := range c.coords {
		r, err := s.relay(a.name, append([]string{"list"}, servers...))
		if err != nil {
			return err
		}
		for i, t := range r.targets {
			names[r.doors[i]] = t
		}
	}
	for _, a := range c.fronts {
		r, err := s.relay(a.name, append(slices.Clone(coords), servers...))
		if err != nil {
			return err
		}
		at := make([]string, 0, len(coords))
		for _, name := range coords {
			at = append(at, r.door(name))
		}
		n := add(a, "", func() statemachine.Machine { return c.front(a, at) })
		n.via = func(addr string) string {
			if name, known := names[addr]; known {
				return r.door(name)
			}
			return addr
		}
	}
	return nil
}

func (r *relay) door(target string) string {
	if at := slices.Index(r.targets, target); at >= 0 {
		return r.doors[at]
	}
	return "127.0.0.1:1" // nobody listens there
}

func (s *sockets) relay(of string, targets []string) (*relay, error) {
	r := &relay{targets: targets, told: make([]string, len(targets))}
	to, listen := make([]string, 0, len(targets)), make([]string, 0, len(targets))
	for _, t := range targets {
		to = append(to, s.nodes[t].addr)
		listen = append(listen, "127.0.0.1:0")
	}
	var err error
	r.loop, err = eventloop.Start(s.ctx, eventloop.Bootstrap{Machine: fake.NewRelay(to...), Listen: listen, Clock: s.clock})
	if err != nil {
		return nil, fmt.Errorf("start the relay of %s: %w", of, err)
	}
	r.doors = r.loop.Addrs()
	s.relays[of] = r
	return r, nil
}

func (s *sockets) note(r trace.Record) {
	s.mu.Lock()
	s.records = append(s.records, r)
	s.mu.Unlock()
}

func (s *sockets) failed(name string, err error) {
	s.mu.Lock()
	s.fails = append(s.fails, fmt.Sprintf("%s: %v", name, err))
	s.mu.Unlock()
}

// run does what falls due, until a time.
func (s *sockets) run(ctx context.Context, until statemachine.Seconds) {
	for {
		now := s.clock.Now()
		next := until
		at := -1
		for i, t := range s.due {
			if at < 0 || t.at < s.due[at].at {
				at = i
			}
		}
		if at >= 0 && s.due[at].at <= now {
			do := s.due[at].do
			s.due = slices.Delete(s.due, at, at+1)
			do()
			continue
		}
		if at >= 0 {
			next = min(next, s.due[at].at)
		}
		if now >= until {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((next - now) * 1e9)):
		}
	}
}

func (s *sockets) end() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, l := range []*eventloop.Loop{n.loop, n.last} {
			if l != nil {
				l.Stop()
			}
		}
	}
	for _, r := range s.relays {
		r.loop.Stop()
	}
	for _, n := range s.nodes {
		for _, l := range []*eventloop.Loop{n.loop, n.last} {
			if l != nil {
				_ = l.Wait()
			}
		}
		if n.cmd != nil {
			kill := time.AfterFunc(10*time.Second, func() { _ = n.cmd.Process.Kill() })
			defer kill.Stop()
		}
	}
	for _, r := range s.relays {
		_ = r.loop.Wait()
	}
	s.work.Wait()
}

func (s *sockets) Now() statemachine.Seconds { return s.clock.Now() }

func (s *sockets) At(at statemachine.Seconds, do func()) { s.due = append(s.due, timed{at, do}) }

func (s *sockets) Start(name string) {
	n := s.nodes[name]
	if n.make == nil {
		s.serve(n)
		return
	}
	if n.last != nil {
		_ = n.last.Wait() // it holds the port
		n.last = nil
	}
	b := eventloop.Bootstrap{Machine: n.make(), Clock: s.clock, Via: n.via, Trace: func(all []trace.Record) {
		s.mu.Lock()
		s.records = append(s.records, all...)
		s.mu.Unlock()
	}}
	if n.addr != "" {
		b.Listen = []string{n.addr}
	}
	l, err := eventloop.Start(s.ctx, b)
	if err != nil {
		s.failed(name, err)
		return
	}
	n.loop = l
}

// serve starts a coordinator as a process.
func (s *sockets) serve(n *node) {
	a := n.actor
	file := filepath.Join(s.serving.Dir, a.name+".conf")
	text := s.cast.day.instance(a, n.addr, s.relays[a.name].door("list"), filepath.Join(s.serving.Dir, a.name+".state"), a.lives)
	a.lives++
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		s.failed(a.name, err)
		return
	}
	log, err := os.OpenFile(filepath.Join(s.serving.Dir, a.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		s.failed(a.name, err)
		return
	}
	cmd := exec.Command(s.serving.Command[0], append(slices.Clone(s.serving.Command[1:]), file)...)
	cmd.Env = append(os.Environ(), s.serving.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close() // nothing was written
		s.failed(a.name, err)
		return
	}
	n.cmd = cmd
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer func() { _ = log.Close() }() // the process wrote it, not we
		err := cmd.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		var exit *exec.ExitError
		killed := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
		if err != nil && !killed || err == nil && !s.ending {
			s.fails = append(s.fails, fmt.Sprintf("%s ended by itself: %v, see its log", a.name, cmd.ProcessState))
		}
	}()
}

func (s *sockets) Kill(name string) {
	n := s.nodes[name]
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		n.cmd = nil
	}
	if n.loop != nil {
		n.loop.Stop()
		n.last, n.loop = n.loop, nil
	}
}

func (s *sockets) Stall(name string, span statemachine.Seconds) {
	n := s.nodes[name]
	if n.cmd == nil {
		s.Tell(name, fmt.Sprintf("still %g", span))
		return
	}
	p := n.cmd.Process
	_ = p.Signal(syscall.SIGSTOP)
	s.At(s.Now()+span, func() { _ = p.Signal(syscall.SIGCONT) })
}

func (s *sockets) Tell(name, text string) {
	if n := s.nodes[name]; n != nil && n.loop != nil {
		n.loop.Tell(text)
	}
}

func (s *sockets) Hinder(name string, h simnet.Hindrance, match func(a, b string) bool) {
	s.rules = append(s.rules, hindering{name, h, match})
	s.spread()
}

func (s *sockets) Clear(name string) {
	s.rules = slices.DeleteFunc(s.rules, func(r hindering) bool { return r.name == name })
	s.spread()
}

// spread tells each door what hinders it now.
func (s *sockets) spread() {
	for of, r := range s.relays {
		for i, to := range r.targets {
			var h simnet.Hindrance
			for _, x := range s.rules {
				if x.match(of, to) || x.match(to, of) {
					h.Cut, h.Drop, h.Delay = h.Cut || x.h.Cut, h.Drop || x.h.Drop, h.Delay+x.h.Delay
					if x.h.Pace > 0 && (h.Pace == 0 || x.h.Pace < h.Pace) {
						h.Pace = x.h.Pace
					}
				}
			}
			bit := map[bool]int{true: 1}
			word := fmt.Sprintf("set %d %d %d %g %g", i, bit[h.Cut], bit[h.Drop], h.Delay, h.Pace)
			if r.told[i] != word && (r.told[i] != "" || h != (simnet.Hindrance{})) {
				r.told[i] = word
				r.loop.Tell(word)
			}
		}
	}
}

func (s *sockets) Reset(match func(a, b string) bool) {
	for of, r := range s.relays {
		for i, to := range r.targets {
			if match(of, to) || match(to, of) {
				r.loop.Tell(fmt.Sprintf("reset %d", i))
			}
		}
	}
}

// instance writes the settings of one coordinator of the day.
func (d *Scenario) instance(a *actor, listen, list, state string, life int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance %s\n  zone %s\n  listen %s\n  list-service %s\n  state %s\n  seed %d\n  coordinators %d\n  self %d\n",
		a.name, a.zone, listen, list, state, (fake.Seed(d.Seed, a.name)+uint64(life))%(1<<50), d.Coordinators, a.at)
	in := ""
	own := []string{"zone", "listen", "list-service", "state", "seed", "coordinators", "self", "peer"}
	for _, l := range d.lines {
		for _, s := range bootstrap.Sections {
			if s.Name == l.Words[0] {
				in = s.Name
			}
		}
		if l.Words[0] == "instance" || in == "instance" && slices.Contains(own, l.Words[0]) {
			continue
		}
		for i, w := range l.Words {
			if i > 0 {
				b.WriteByte(' ')
			}
			b.WriteString(bootstrap.Quote(w))
		}
		b.WriteByte('\n')
	}
	return b.String()
}
