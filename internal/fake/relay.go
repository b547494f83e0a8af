package fake

import (
	"fmt"
	"slices"

	"gingerfork/internal/statemachine"
)

// Relay passes bytes between who dials it and a target, a door for each target, and hinders them on command, each door
// by itself.
type Relay struct {
	targets []string
	hinder  []hindrance
	pairs   map[statemachine.Conn]*pipe
	dialled statemachine.Conn
	timers  timers
	out     *statemachine.Effects
}

type hindrance struct {
	cut   bool // holds what comes, as a network does that may come back
	drop  bool // resets who dials
	delay statemachine.Seconds
	pace  float64 // bytes a second of each pipe and way; 0: unbounded
}

// pipe is two connections: from who dialled, and to the target.
type pipe struct {
	door int
	ends [2]statemachine.Conn
	open bool
	wait [][]byte // of the dialler, until the target is reached
	held []piece  // while the door is cut
	n    int
	free [2]statemachine.Seconds // when the next bytes of that way may leave
}

// piece is bytes of one way, or the end of a pipe.
type piece struct {
	n    int // its place among the pipe's
	from int
	data []byte
	end  bool
}

// NewRelay makes one.
func NewRelay(targets ...string) *Relay {
	return &Relay{
		targets: targets, hinder: make([]hindrance, len(targets)), pairs: map[statemachine.Conn]*pipe{},
		dialled: statemachine.Dialed,
	}
}

// Step implements machine.Machine.
func (r *Relay) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	r.out = out
	r.timers.ring(now)
	for _, i := range in {
		p := r.pairs[i.Conn]
		switch {
		case i.Kind == statemachine.OperatorCommand:
			r.told(now, i.Text)
		case i.Kind == statemachine.ConnOpened && p == nil:
			if r.hinder[i.Listener].drop {
				out.Abort(i.Conn)
				continue
			}
			r.dialled++
			p = &pipe{door: i.Listener, ends: [2]statemachine.Conn{i.Conn, r.dialled}}
			r.pairs[i.Conn], r.pairs[r.dialled] = p, p
			out.Dial(r.dialled, r.targets[i.Listener])
		case p == nil:
		case i.Kind == statemachine.ConnOpened:
			p.open = true
			for _, b := range p.wait {
				r.pass(now, p, piece{data: b})
			}
			p.wait = nil
		case i.Kind == statemachine.ConnData:
			from := 0
			if i.Conn == p.ends[1] {
				from = 1
			}
			if from == 0 && !p.open {
				p.wait = append(p.wait, i.Data)
			} else {
				r.pass(now, p, piece{from: from, data: i.Data})
			}
		case i.Kind == statemachine.ConnClosed:
			from := 0
			if i.Conn == p.ends[1] {
				from = 1
			}
			delete(r.pairs, i.Conn)
			r.pass(now, p, piece{from: from, end: true})
		}
	}
	r.timers.wake(out)
}

// pass sends a piece on, as late as the door makes it, and never before what came earlier.
func (r *Relay) pass(now statemachine.Seconds, p *pipe, x piece) {
	if x.n == 0 {
		p.n++
		x.n = p.n
	}
	h := r.hinder[p.door]
	if h.cut || len(p.held) > 0 {
		p.hold(x)
		return
	}
	at := max(now+h.delay, p.free[x.from])
	if h.pace > 0 {
		at += float64(len(x.data)) / h.pace
	}
	p.free[x.from] = at
	if at <= now {
		r.deliver(p, x)
		return
	}
	r.timers.at(at, func(statemachine.Seconds) {
		if r.hinder[p.door].cut || len(p.held) > 0 {
			p.hold(x)
			return
		}
		r.deliver(p, x)
	})
}

// hold keeps a piece for later. What was under way when a cut began was sent before what came during it.
func (p *pipe) hold(x piece) {
	at := len(p.held)
	for at > 0 && p.held[at-1].n > x.n {
		at--
	}
	p.held = slices.Insert(p.held, at, x)
}

func (r *Relay) deliver(p *pipe, x piece) {
	to := p.ends[1-x.from]
	if r.pairs[to] != p {
		return
	}
	if x.end {
		r.out.Close(to)
		delete(r.pairs, to)
		return
	}
	r.out.Write(to, x.data)
}

// told takes a script's word: set DOOR CUT DROP DELAY PACE (flags as 0 and 1), or reset DOOR.
func (r *Relay) told(now statemachine.Seconds, text string) {
	var door, cut, drop int
	var h hindrance
	if n, _ := fmt.Sscanf(text, "set %d %d %d %g %g", &door, &cut, &drop, &h.delay, &h.pace); n == 5 && door < len(r.targets) {
		h.cut, h.drop = cut == 1, drop == 1
		r.hinder[door] = h
		if h.drop {
			r.reset(door)
		}
		if !h.cut {
			r.release(now, door)
		}
		return
	}
	if n, _ := fmt.Sscanf(text, "reset %d", &door); n == 1 {
		r.reset(door)
		return
	}
	r.out.Log(2, "unknown word", "word", text)
}

// release lets go what a cut held.
func (r *Relay) release(now statemachine.Seconds, door int) {
	done := map[*pipe]bool{}
	for _, c := range sortedConns(r.pairs) {
		p := r.pairs[c]
		if p == nil || p.door != door || done[p] {
			continue
		}
		done[p] = true
		held := p.held
		p.held = nil
		for _, x := range held {
			r.pass(now, p, x)
		}
	}
}

func (r *Relay) reset(door int) {
	for _, c := range sortedConns(r.pairs) {
		if r.pairs[c].door == door {
			r.out.Abort(c)
			delete(r.pairs, c)
		}
	}
}
