package standin

import (
	"container/heap"
	"strings"

	"gingerfork/internal/machine"
)

// Crowd is many machines in one, so that a single loop can drive thousands of stand-ins. Each member has as many of the
// crowd's doors as it asks for, in the order of the members; a script's word goes to the member whose name it begins
// with, or with * to all.
type Crowd struct {
	members []*member
	byName  map[string]*member
	door    []*member // by the crowd's doors
	first   map[*member]int
	local   map[machine.Conn]place
	dialled machine.Conn
	wakes   wakes
	out     machine.Out
}

type member struct {
	name  string
	m     machine.Machine
	outer map[machine.Conn]machine.Conn // the crowd's number of each of its connections
	in    []machine.Input
	next  machine.Conn // for accepted ones
	wake  machine.Seconds
	at    int // in the heap
}

type place struct {
	who  *member
	conn machine.Conn
}

type wakes []*member

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].wake < w[j].wake }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i]; w[i].at, w[j].at = i, j }
func (w *wakes) Push(x any)        { m := x.(*member); m.at = len(*w); *w = append(*w, m) }
func (w *wakes) Pop() any          { old := *w; x := old[len(old)-1]; *w = old[:len(old)-1]; return x }

// NewCrowd makes an empty one.
func NewCrowd() *Crowd {
	return &Crowd{byName: map[string]*member{}, first: map[*member]int{}, local: map[machine.Conn]place{}, dialled: machine.Dialled}
}

// Add adds a member before the crowd is first stepped.
func (c *Crowd) Add(name string, m machine.Machine, doors int) {
	x := &member{name: name, m: m, outer: map[machine.Conn]machine.Conn{}}
	c.members = append(c.members, x)
	c.byName[name] = x
	c.first[x] = len(c.door)
	for range doors {
		c.door = append(c.door, x)
	}
	heap.Push(&c.wakes, x)
}

// Step implements machine.Machine: only members to whom something came, or who asked for it, are stepped.
func (c *Crowd) Step(now machine.Seconds, in []machine.Input, out *machine.Out) {
	var busy []*member
	give := func(x *member, i machine.Input) {
		if len(x.in) == 0 {
			busy = append(busy, x)
		}
		x.in = append(x.in, i)
	}
	for _, i := range in {
		if i.Kind == machine.Told {
			name, rest, _ := strings.Cut(i.Text, " ")
			if x := c.byName[name]; x != nil {
				give(x, machine.Input{Kind: machine.Told, Text: rest})
			} else if name == "*" {
				for _, x := range c.members {
					give(x, machine.Input{Kind: machine.Told, Text: rest})
				}
			}
			continue
		}
		p, known := c.local[i.Conn]
		switch {
		case !known && i.Kind == machine.Opened && i.Conn&machine.Dialled == 0:
			x := c.door[i.Door]
			x.next++
			p = place{x, x.next}
			c.local[i.Conn], x.outer[p.conn] = p, i.Conn
			i.Door -= c.first[x]
		case !known:
			continue
		case i.Kind == machine.Closed:
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
		out.At(c.wakes[0].wake)
	}
}

func (c *Crowd) step(now machine.Seconds, x *member, out *machine.Out) {
	in := x.in
	x.in = nil
	c.out.Reset()
	x.m.Step(now, in, &c.out)
	for _, a := range c.out.Acts {
		if a.Kind == machine.Dial {
			c.dialled++
			c.local[c.dialled], x.outer[a.Conn] = place{x, a.Conn}, c.dialled
			out.Dial(c.dialled, a.Addr)
			continue
		}
		outer, known := x.outer[a.Conn]
		if !known {
			continue
		}
		if a.Kind != machine.Write {
			delete(x.outer, a.Conn)
			delete(c.local, outer)
		}
		a.Conn = outer
		out.Acts = append(out.Acts, a)
	}
	out.Notes = append(out.Notes, c.out.Notes...)
	out.Trace = append(out.Trace, c.out.Trace...)
	if c.out.Fail != "" {
		out.Fail = x.name + ": " + c.out.Fail
	}
	// A member that asks for this very moment is stepped at the next.
	x.wake = max(c.out.Wake, now+1e-6)
	heap.Fix(&c.wakes, x.at)
}
