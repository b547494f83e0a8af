package scenario

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// Emulation is a day's servers and list service on the loopback address, for coordinators and proxies of one's own. It
// may be spread over processes: each plays its part of the servers, the first one the list service, too.
type Emulation struct {
	Scenario    *Scenario
	Port        int                  // of the list service; servers have those behind it
	Part, Parts int                  // from 1; 0: all in this process
	EventLoops  int                  // that carry the servers; 0: one
	OnTally     func(emulator.Tally) // of each second
	OnStep      func(text string)    // what the script does
	Trace       func([]trace.Record)
}

// ListAddr is where the list service listens.
func (e Emulation) ListAddr() string { return fmt.Sprintf("127.0.0.1:%d", e.Port) }

// Addr is where a server listens.
func (e Emulation) Addr(server int) string { return fmt.Sprintf("127.0.0.1:%d", e.Port+1+server) }

// elsewhere are the verbs that need more than servers and a list: links, coordinators, front ends.
func elsewhere(a Step) bool {
	switch a.Target {
	case "servers":
		return a.Verb == "cut" || a.Verb == "silence" || a.FlapMode == "silence"
	case "zone":
		return a.Verb != "lose"
	case "list":
		return a.Verb == "cut"
	}
	return true
}

// Check tells which lines of a day can't be emulated without the rest of it, and what else is wrong.
func (e Emulation) Check() error {
	var faults bootstrap.Faults
	for _, a := range e.Scenario.Steps {
		if elsewhere(a) {
			faults = append(faults, a.Source.Fault("%s %s is not in an emulated fleet's hands: play the day by rehearse, or take the line out", a.Verb, a.Target))
		}
	}
	n := 0
	for _, g := range e.Scenario.Backends {
		n += g.Count
	}
	switch {
	case len(faults) > 0:
		return faults.Err()
	case e.Port < 1024 || e.Port+n > 65535:
		return fmt.Errorf("ports from %d on do not hold a list service and %d servers", e.Port, n)
	case e.Parts < 0 || e.Part > e.Parts || e.Parts > 0 && e.Part < 1:
		return fmt.Errorf("part %d of %d does not exist", e.Part, e.Parts)
	}
	return nil
}

// emulation is the stage on which it plays.
type emulation struct {
	Emulation
	cast    *cast
	clock   *eventloop.Clock
	owner   map[string]*eventloop.Loop // by server
	list    *eventloop.Loop
	due     []timed
	mu      sync.Mutex
	seconds map[int]emulator.Tally
	parts   map[int]int
}

// Run plays it until the day or ctx ends.
func (e Emulation) Run(ctx context.Context) (err error) {
	if err := e.Check(); err != nil {
		return err
	}
	c := newCast(e.Scenario)
	s := &emulation{Emulation: e, cast: c, clock: eventloop.NewClock(), owner: map[string]*eventloop.Loop{}, seconds: map[int]emulator.Tally{}, parts: map[int]int{}}
	c.stage = s
	c.record = func(r trace.Record) {
		if e.Trace != nil {
			e.Trace([]trace.Record{r})
		}
		if r.Kind == trace.Trouble && e.OnStep != nil {
			e.OnStep(r.Text)
		}
	}
	inner, cancel := context.WithCancel(context.Background())
	var loops []*eventloop.Loop
	defer func() {
		cancel()
		for _, l := range loops {
			if bad := l.Wait(); err == nil && bad != nil {
				err = fmt.Errorf("emulate: %w", bad)
			}
		}
	}()
	var mine []*actor
	for i, a := range c.servers {
		if e.Parts == 0 || i%e.Parts == e.Part-1 {
			mine = append(mine, a)
		}
	}
	n := min(max(1, e.EventLoops), max(1, len(mine)))
	store := c.store()
	for k := range n {
		fleet := emulator.NewFleet(func(t emulator.Tally) { s.tally(n, t) })
		b := eventloop.Bootstrap{Machine: fleet, Clock: s.clock, Trace: e.Trace}
		var names []string
		for i, a := range mine {
			if i%n != k {
				continue
			}
			t := c.trade(a, store)
			if n > 1 || e.Parts > 1 {
				t.Ledger = nil
				t.Store = &emulator.Store{Group: e.Scenario.IdempotencyScope, Window: store.Window} // what one loop or process owns, another can't see
			}
			fleet.Add(a.name, t)
			b.Listen = append(b.Listen, e.Addr(a.at))
			names = append(names, a.name)
		}
		if len(names) == 0 {
			continue
		}
		l, err := eventloop.Start(inner, b)
		if err != nil {
			return fmt.Errorf("emulate servers: %w", err)
		}
		loops = append(loops, l)
		for _, name := range names {
			s.owner[name] = l
		}
	}
	if e.Part <= 1 {
		list := fake.NewList(c.listings(func(a *actor) string { return e.Addr(a.at) }))
		if s.list, err = eventloop.Start(inner, eventloop.Bootstrap{Machine: list, Listen: []string{e.ListAddr()}, Clock: s.clock}); err != nil {
			return fmt.Errorf("emulate the list service: %w", err)
		}
		loops = append(loops, s.list)
	}
	c.begin = s.clock.Now()
	for _, a := range c.servers {
		a.up, a.lives = true, 1
	}
	for _, a := range e.Scenario.Steps {
		s.At(c.begin+a.At, func() { c.act(a) })
	}
	return s.run(ctx, c.begin+e.Scenario.Duration, loops)
}

// tally gathers the loops' figures of a second.
func (s *emulation) tally(n int, t emulator.Tally) {
	if s.OnTally == nil {
		return
	}
	s.mu.Lock()
	at := int(t.T + 0.5)
	sum := t
	if s.parts[at] > 0 {
		sum = s.seconds[at].Sum(t)
	}
	s.seconds[at] = sum
	s.parts[at]++
	whole := s.parts[at] == n
	if whole {
		delete(s.seconds, at)
		delete(s.parts, at)
	}
	s.mu.Unlock()
	if whole {
		s.OnTally(sum)
	}
}

func (s *emulation) run(ctx context.Context, until statemachine.Seconds, loops []*eventloop.Loop) error {
	failed := make(chan struct{})
	var once sync.Once
	var watch sync.WaitGroup
	over := make(chan struct{})
	defer watch.Wait()
	defer close(over)
	for _, l := range loops {
		watch.Add(1)
		go func() {
			defer watch.Done()
			select {
			case <-l.Done():
				once.Do(func() { close(failed) })
			case <-over:
			}
		}()
	}
	for {
		now := s.clock.Now()
		if now >= until {
			return nil
		}
		next, at := until, -1
		for i, t := range s.due {
			if t.at < next {
				next, at = t.at, i
			}
		}
		if at >= 0 && next <= now {
			do := s.due[at].do
			s.due = slices.Delete(s.due, at, at+1)
			do()
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-failed:
			return errors.New("a part of the fleet ended by itself")
		case <-time.After(time.Duration(max(0, next-now) * 1e9)):
		}
	}
}

func (s *emulation) Now() statemachine.Seconds { return s.clock.Now() }

func (s *emulation) At(at statemachine.Seconds, do func()) { s.due = append(s.due, timed{at, do}) }

func (s *emulation) Start(name string) { s.Tell(name, "start") }

func (s *emulation) Kill(name string) { s.Tell(name, "kill") }

func (s *emulation) Stall(string, statemachine.Seconds) {}

func (s *emulation) Hinder(string, simnet.Hindrance, func(a, b string) bool) {}

func (s *emulation) Clear(string) {}

func (s *emulation) Reset(func(a, b string) bool) {}

func (s *emulation) Tell(name, text string) {
	switch l := s.owner[name]; {
	case name == "list" && s.list != nil:
		s.list.Tell(text)
	case l != nil:
		l.Tell(name + " " + strings.TrimSpace(text))
	}
}
