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
type discoveryClient struct {
	machine        *Machine
	addr           string
	conn           statemachine.Conn // 0: none
	connected      bool              // it stands
	calling        bool              // a call is under way, or about to be
	requestSent    bool              // the call was written
	longPoll       bool              // it may wait for a change
	fullList       bool              // it asks for the whole list
	fullListWanted bool              // the module asked for the whole list meanwhile
	reused         bool              // the connection has carried an answer already
	sentAt         statemachine.Seconds
	deadline       statemachine.Seconds
	response       responseParser
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
func (d *discoveryClient) maxPollInterval() statemachine.Seconds {
	if v := d.machine.boot.Module.Settings.AskWithin.Or(0); v > 0 {
		return v
	}
	return 10
}

// pollTimeout is how long a long poll waits: well inside the time after which we would count as told.
func (d *discoveryClient) pollTimeout() statemachine.Seconds {
	return min(d.maxPollInterval()/2, toldWithin)
}

// answerTimeout is how long an answer may take beyond what the call waits. Asking again must still come before we count as told.
func (d *discoveryClient) responseTimeout() statemachine.Seconds {
	if d.longPoll {
		return min(max(d.maxPollInterval()/5, toldAfter/2), 3*toldAfter/4)
	}
	return min(max(d.maxPollInterval()/5, toldAfter/2), toldAfter)
}

func (d *discoveryClient) watch(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.calling {
		d.startRequest(now, false, d.machine.endpoints.needsFullList(), out)
		return
	}
	if d.longPoll { // it stands already
		d.machine.events = append(d.machine.events, choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: d.machine.endpoints.version})
	}
}

func (d *discoveryClient) fetchAll(now statemachine.Seconds, out *statemachine.Effects) {
	if d.calling && !d.longPoll {
		d.fullListWanted = true
		return
	}
	d.closeConnection(out)
	d.startRequest(now, false, true, out)
}

func (d *discoveryClient) startRequest(now statemachine.Seconds, longPoll, whole bool, out *statemachine.Effects) {
	d.calling, d.requestSent, d.longPoll, d.fullList = true, false, longPoll, whole
	d.deadline = now + d.responseTimeout()
	d.response.reset()
	if d.conn == 0 {
		d.conn, d.connected, d.reused = d.machine.dial(d.addr, out), false, false
		d.machine.sessions[d.conn] = &session{conn: d.conn, role: roleDiscovery}
	}
	if d.connected {
		d.sendRequest(now, out)
	}
}

func (d *discoveryClient) sendRequest(now statemachine.Seconds, out *statemachine.Effects) {
	d.requestSent, d.sentAt = true, now
	path := "/api/targets"
	d.deadline = now + d.responseTimeout()
	if !d.fullList {
		wait := 0.0
		if d.longPoll {
			wait = d.pollTimeout()
			d.deadline += wait
		}
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, d.machine.endpoints.version, int(wait*1000))
	}
	out.Write(d.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, d.addr))
}

func (d *discoveryClient) connectionOpened(now statemachine.Seconds, out *statemachine.Effects) {
	d.connected = true
	if d.calling {
		d.sendRequest(now, out)
	}
}

// data takes bytes of an answer; ended tells that the connection ended.
func (d *discoveryClient) received(now statemachine.Seconds, b []byte, ended bool, why string, out *statemachine.Effects) {
	if ended {
		d.conn, d.connected = 0, false
	}
	if !d.calling || !d.requestSent {
		if d.calling && ended {
			d.failConnection(now, "can't be reached: "+why, out)
		} else if !ended && len(b) > 0 {
			d.closeConnection(out) // what nobody asked for
		}
		return
	}
	if ended && len(d.response.buffer) == 0 && d.reused && now <= d.sentAt+watchGap {
		// Discovery ended an idle connection just as we wrote: it never saw the call, and says nothing by that. Asking may
		// be repeated without harm, and at once the watch goes on. A call that had waited, or the end of a new connection, is a
		// failure: who ends calls because too many come must not be asked at once.
		d.startRequest(now, d.longPoll, d.fullList, out)
		return
	}
	if ended && len(d.response.buffer) == 0 {
		d.failConnection(now, "the connection ended: "+why, out)
		return
	}
	status, body, reuse, whole, err := d.response.feed(b, ended)
	d.reused = d.reused || whole
	switch {
	case err != nil:
		d.failConnection(now, err.Error(), out)
	case !whole:
		return
	case status != http.StatusOK:
		if !reuse {
			d.closeConnection(out)
		}
		d.requestFailed(now, fmt.Sprintf("status %d", status), out)
	default:
		if !reuse {
			d.closeConnection(out)
		}
		l, err := parseEndpointList(body)
		if err != nil {
			d.requestFailed(now, err.Error(), out)
			return
		}
		d.applyList(now, l, out)
	}
}

func (d *discoveryClient) applyList(now statemachine.Seconds, l *listDocument, out *statemachine.Effects) {
	first := !d.longPoll
	listed, err := d.machine.endpoints.update(now, l)
	if err != nil {
		d.requestFailed(now, err.Error(), out)
		return
	}
	if d.machine.problemCounts["discovery"] > 0 {
		out.Log(1, "discovery answers again", "failures", d.machine.problemCounts["discovery"], "version", *l.Seq)
		delete(d.machine.problemCounts, "discovery")
	}
	if first || len(listed.Endpoints) > 0 || listed.Kind == choice.UpdateFull {
		d.machine.events = append(d.machine.events, listed)
	}
	fetch := d.fullListWanted
	d.fullListWanted = false
	d.startRequest(now, !fetch, fetch, out)
}

// fail ends the call, and the connection, of which nothing can be expected any more.
func (d *discoveryClient) failConnection(now statemachine.Seconds, why string, out *statemachine.Effects) {
	d.closeConnection(out)
	d.requestFailed(now, why, out)
}

func (d *discoveryClient) requestFailed(now statemachine.Seconds, why string, out *statemachine.Effects) {
	d.calling, d.fullListWanted = false, false
	d.response.reset()
	d.machine.events = append(d.machine.events, choice.EndpointUpdate{Kind: choice.UpdateFailed})
	d.machine.logThrottled(out, "discovery", 2, "a call to discovery failed", "addr", d.addr, "why", why)
}

func (d *discoveryClient) closeConnection(out *statemachine.Effects) {
	if d.conn != 0 {
		out.Abort(d.conn)
		delete(d.machine.sessions, d.conn)
		d.conn, d.connected = 0, false
	}
}

// move goes on at another address. What is held stays, and so does what a call that was under way would have told: the
// first call at the new address asks for all since. It does not wait for what is left of a pause after failures: those were
// the old address's, and past the time that a move allows everything counts as told.
func (d *discoveryClient) changeAddress(now statemachine.Seconds, addr string, out *statemachine.Effects) {
	if addr == d.addr {
		return
	}
	whole := d.fullListWanted || d.calling && d.fullList || d.machine.endpoints.needsFullList()
	d.closeConnection(out)
	d.addr, d.fullListWanted = addr, false
	d.startRequest(now, false, whole, out)
}

func (d *discoveryClient) expire(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.calling {
		return
	}
	if now >= d.deadline {
		d.failConnection(now, "no answer in time", out)
		return
	}
	out.WakeBy(d.deadline)
}
