package fake

import (
	"container/heap"
	"strings"

	"gingerfork/internal/statemachine"
)

// Crowd is many machines in one, so that a single loop can drive thousands of stand-ins. Each member has as many of the
// crowd's doors as it asks for, in the order of the members; a script's word goes to the member whose name it begins
// with, or with * to all.
type Multiplexer struct {
	members []*member
	byName  map[string]*member
	door    []*member // by the crowd's doors
	first   map[*member]int
	local   map[statemachine.Conn]place
	dialled statemachine.Conn
	wakes   wakes
	out     statemachine.Effects
}

type member struct {
	name  string
	m     statemachine.Machine
	outer map[statemachine.Conn]statemachine.Conn // the crowd's number of each of its connections
	in    []statemachine.Input
	next  statemachine.Conn // for accepted ones
	wake  statemachine.Seconds
	at    int // in the heap
}

type place struct {
	who  *member
	conn statemachine.Conn
}

type wakes []*member

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].wake < w[j].wake }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i]; w[i].at, w[j].at = i, j }
func (w *wakes) Push(x any)        { m := x.(*member); m.at = len(*w); *w = append(*w, m) }
func (w *wakes) Pop() any          { old := *w; x := old[len(old)-1]; *w = old[:len(old)-1]; return x }

// NewCrowd makes an empty one.
func NewMultiplexer() *Multiplexer {
	return &Multiplexer{byName: map[string]*member{}, first: map[*member]int{}, local: map[statemachine.Conn]place{}, dialled: statemachine.Dialed}
}

// Add adds a member before the crowd is first stepped.
func (c *Multiplexer) Add(name string, m statemachine.Machine, doors int) {
	x := &member{name: name, m: m, outer: map[statemachine.Conn]statemachine.Conn{}}
	c.members = append(c.members, x)
	c.byName[name] = x
	c.first[x] = len(c.door)
	for range doors {
		c.door = append(c.door, x)
	}
	heap.Push(&c.wakes, x)
}

// Step implements machine.Machine: only members to whom something came, or who asked for it, are stepped.
func (c *Multiplexer) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	var busy []*member
	give := func(x *member, i statemachine.Input) {
		if len(x.in) == 0 {
			busy = append(busy, x)
		}
		x.in = append(x.in, i)
	}
	for _, i := range in {
		if i.Kind == statemachine.OperatorCommand {
			name, rest, _ := strings.Cut(i.Text, " ")
			if x := c.byName[name]; x != nil {
				give(x, statemachine.Input{Kind: statemachine.OperatorCommand, Text: rest})
			} else if name == "*" {
				for _, x := range c.members {
					give(x, statemachine.Input{Kind: statemachine.OperatorCommand, Text: rest})
				}
			}
			continue
		}
		p, known := c.local[i.Conn]
		switch {
		case !known && i.Kind == statemachine.ConnOpened && i.Conn&statemachine.Dialed == 0:
			x := c.door[i.Listener]
			x.next++
			p = place{x, x.next}
			c.local[i.Conn], x.outer[p.conn] = p, i.Conn
			i.Listener -= c.first[x]
		case !known:
			continue
		case i.Kind == statemachine.ConnClosed:
			delete(c.local, i.Conn)
			delete(p.who.outer, p.conn)
		}
		i.Conn = p.conn
		give(p.who, i)
	}
	for len(c.wakes) > 0 && c.wakes[0].wake <= now {
		x := c.wakes[0]
		c.step(now, x, out)
	}
	for _, x := range busy {
		if len(x.in) > 0 {
			c.step(now, x, out)
		}
	}
	if len(c.wakes) > 0 {
		out.WakeBy(c.wakes[0].wake)
	}
}

func (c *Multiplexer) step(now statemachine.Seconds, x *member, out *statemachine.Effects) {
	in := x.in
	x.in = nil
	c.out.Reset()
	x.m.Step(now, in, &c.out)
	for _, a := range c.out.Actions {
		if a.Kind == statemachine.ActionDial {
			c.dialled++
			c.local[c.dialled], x.outer[a.Conn] = place{x, a.Conn}, c.dialled
			out.Dial(c.dialled, a.Addr)
			continue
		}
		outer, known := x.outer[a.Conn]
		if !known {
			continue
		}
		if a.Kind != statemachine.ActionWrite {
			delete(x.outer, a.Conn)
			delete(c.local, outer)
		}
		a.Conn = outer
		out.Actions = append(out.Actions, a)
	}
	out.LogEntries = append(out.LogEntries, c.out.LogEntries...)
	out.Trace = append(out.Trace, c.out.Trace...)
	if c.out.Failure != "" {
		out.Failure = x.name + ": " + c.out.Failure
	}
	// A member that asks for this very moment is stepped at the next.
	x.wake = max(c.out.WakeAt, now+1e-6)
	heap.Fix(&c.wakes, x.at)
}
