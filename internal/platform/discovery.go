package platform

import (
	"fmt"
	"net/http"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// caller speaks with discovery: one call at a time, on one connection that is kept. A watch that the module orders
// begins with a call that does not wait, which shows at once that discovery answers, and what was missed; from then on
// calls that wait follow each other, until one fails. When to try again is the module's to say.
type caller struct {
	m        *Machine
	addr     string
	conn     statemachine.Conn // 0: none
	up       bool              // it stands
	calling  bool              // a call is under way, or about to be
	asked    bool              // the call was written
	longPoll bool              // it may wait for a change
	whole    bool              // it asks for the whole list
	fetch    bool              // the module asked for the whole list meanwhile
	kept     bool              // the connection has carried an answer already
	wrote    statemachine.Seconds
	due      statemachine.Seconds
	answer   answer
}

// The platform's figures. A watch goes on if the next call comes within watchGap of the last answer. What discovery has to
// tell counts as told toldWithin later, whether it came or not, and toldAfter past the end of a call that waits: so nobody
// may wait for an answer for longer than that, whatever the settings allow between two calls.
const (
	watchGap   statemachine.Seconds = 0.2
	toldWithin statemachine.Seconds = 6
	toldAfter  statemachine.Seconds = 2
)

// within is how long we may go without asking; settings of who has his lists pushed elsewhere have no such figure.
func (d *caller) within() statemachine.Seconds {
	if v := d.m.boot.Module.Settings.AskWithin.Or(0); v > 0 {
		return v
	}
	return 10
}

// pollTimeout is how long a long poll waits: well inside the time after which we would count as told.
func (d *caller) pollTimeout() statemachine.Seconds { return min(d.within()/2, toldWithin) }

// answerTimeout is how long an answer may take beyond what the call waits. Asking again must still come before we count as told.
func (d *caller) answerTimeout() statemachine.Seconds {
	if d.longPoll {
		return min(max(d.within()/5, toldAfter/2), 3*toldAfter/4)
	}
	return min(max(d.within()/5, toldAfter/2), toldAfter)
}

func (d *caller) watch(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.calling {
		d.call(now, false, d.m.roll.partial(), out)
		return
	}
	if d.longPoll { // it stands already
		d.m.events = append(d.m.events, choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: d.m.roll.version})
	}
}

func (d *caller) fetchAll(now statemachine.Seconds, out *statemachine.Effects) {
	if d.calling && !d.longPoll {
		d.fetch = true
		return
	}
	d.drop(out)
	d.call(now, false, true, out)
}

func (d *caller) call(now statemachine.Seconds, longPoll, whole bool, out *statemachine.Effects) {
	d.calling, d.asked, d.longPoll, d.whole = true, false, longPoll, whole
	d.due = now + d.answerTimeout()
	d.answer.reset()
	if d.conn == 0 {
		d.conn, d.up, d.kept = d.m.dial(d.addr, out), false, false
		d.m.sessions[d.conn] = &session{conn: d.conn, role: listRole}
	}
	if d.up {
		d.ask(now, out)
	}
}

func (d *caller) ask(now statemachine.Seconds, out *statemachine.Effects) {
	d.asked, d.wrote = true, now
	path := "/api/targets"
	d.due = now + d.answerTimeout()
	if !d.whole {
		wait := 0.0
		if d.longPoll {
			wait = d.pollTimeout()
			d.due += wait
		}
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, d.m.roll.version, int(wait*1000))
	}
	out.Write(d.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, d.addr))
}

func (d *caller) opened(now statemachine.Seconds, out *statemachine.Effects) {
	d.up = true
	if d.calling {
		d.ask(now, out)
	}
}

// data takes bytes of an answer; ended tells that the connection ended.
func (d *caller) data(now statemachine.Seconds, b []byte, ended bool, why string, out *statemachine.Effects) {
	if ended {
		d.conn, d.up = 0, false
	}
	if !d.calling || !d.asked {
		if d.calling && ended {
			d.fail(now, "can't be reached: "+why, out)
		} else if !ended && len(b) > 0 {
			d.drop(out) // what nobody asked for
		}
		return
	}
	if ended && len(d.answer.buf) == 0 && d.kept && now <= d.wrote+watchGap {
		// Discovery ended an idle connection just as we wrote: it never saw the call, and says nothing by that. Asking may
		// be repeated without harm, and at once the watch goes on. A call that had waited, or the end of a new connection, is a
		// failure: who ends calls because too many come must not be asked at once.
		d.call(now, d.longPoll, d.whole, out)
		return
	}
	if ended && len(d.answer.buf) == 0 {
		d.fail(now, "the connection ended: "+why, out)
		return
	}
	status, body, reuse, whole, err := d.answer.feed(b, ended)
	d.kept = d.kept || whole
	switch {
	case err != nil:
		d.fail(now, err.Error(), out)
	case !whole:
		return
	case status != http.StatusOK:
		if !reuse {
			d.drop(out)
		}
		d.failed(now, fmt.Sprintf("status %d", status), out)
	default:
		if !reuse {
			d.drop(out)
		}
		l, err := parseList(body)
		if err != nil {
			d.failed(now, err.Error(), out)
			return
		}
		d.took(now, l, out)
	}
}

func (d *caller) took(now statemachine.Seconds, l *list, out *statemachine.Effects) {
	first := !d.longPoll
	listed, err := d.m.roll.news(now, l)
	if err != nil {
		d.failed(now, err.Error(), out)
		return
	}
	if d.m.lost["discovery"] > 0 {
		out.Log(1, "discovery answers again", "failures", d.m.lost["discovery"], "version", *l.Seq)
		delete(d.m.lost, "discovery")
	}
	if first || len(listed.Endpoints) > 0 || listed.Kind == choice.UpdateFull {
		d.m.events = append(d.m.events, listed)
	}
	fetch := d.fetch
	d.fetch = false
	d.call(now, !fetch, fetch, out)
}

// fail ends the call, and the connection, of which nothing can be expected any more.
func (d *caller) fail(now statemachine.Seconds, why string, out *statemachine.Effects) {
	d.drop(out)
	d.failed(now, why, out)
}

func (d *caller) failed(now statemachine.Seconds, why string, out *statemachine.Effects) {
	d.calling, d.fetch = false, false
	d.answer.reset()
	d.m.events = append(d.m.events, choice.EndpointUpdate{Kind: choice.UpdateFailed})
	d.m.often(out, "discovery", 2, "a call to discovery failed", "addr", d.addr, "why", why)
}

func (d *caller) drop(out *statemachine.Effects) {
	if d.conn != 0 {
		out.Abort(d.conn)
		delete(d.m.sessions, d.conn)
		d.conn, d.up = 0, false
	}
}

// move goes on at another address. What is held stays, and so does what a call that was under way would have told: the
// first call at the new address asks for all since. It does not wait for what is left of a pause after failures: those were
// the old address's, and past the time that a move allows everything counts as told.
func (d *caller) move(now statemachine.Seconds, addr string, out *statemachine.Effects) {
	if addr == d.addr {
		return
	}
	whole := d.fetch || d.calling && d.whole || d.m.roll.partial()
	d.drop(out)
	d.addr, d.fetch = addr, false
	d.call(now, false, whole, out)
}

func (d *caller) sweep(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.calling {
		return
	}
	if now >= d.due {
		d.fail(now, "no answer in time", out)
		return
	}
	out.WakeBy(d.due)
}
