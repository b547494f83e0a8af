package platform

import (
	"errors"
	"fmt"
	"net/http"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// discoveryClient requests the endpoint list from discovery, one request at a time on a persistent connection. A watch
// begins with a request that discovery answers at once, which shows that discovery is up and brings what was missed. From
// then on long polls follow each other until one fails. The decision module says when to retry.
type discoveryClient struct {
	machine   *Machine
	addr      string
	conn      statemachine.Conn // 0: none
	connected bool

	active         bool // a request is in flight, or waits for the connection
	requestSent    bool // the request in flight was written
	longPoll       bool // discovery may wait for a change before it answers
	fullList       bool // the request is for the full list
	fullListWanted bool // the next request must be for the full list

	reused   bool // the connection has carried a response before
	sentAt   statemachine.Seconds
	deadline statemachine.Seconds
	response responseParser
}

// Times of the platform. A watch counts as continuous if the next request comes within watchGap of the last response. The
// coordinator counts as informed of a change maxNotifyDelay after it, and pollNotifyDelay after the end of a long poll,
// whether or not a response has come. So requests must time out before, whatever the settings allow between two polls.
const (
	watchGap        statemachine.Seconds = 0.2
	maxNotifyDelay  statemachine.Seconds = 6
	pollNotifyDelay statemachine.Seconds = 2
)

// defaultPollInterval is used with settings for other platforms, which have no maximum poll interval.
const defaultPollInterval statemachine.Seconds = 10

const listPath = "/api/targets"

// Errors of requests to discovery.
var (
	errDiscoveryUnreachable = errors.New("discovery is unreachable")
	errConnectionClosed     = errors.New("discovery closed the connection without a response")
	errResponseTimeout      = errors.New("discovery did not respond in time")
	errUnexpectedStatus     = errors.New("discovery responded with an unexpected status")
)

// maxPollInterval is the time within which discovery must be asked again.
func (d *discoveryClient) maxPollInterval() statemachine.Seconds {
	if interval := d.machine.boot.Module.Settings.AskWithin.Or(0); interval > 0 {
		return interval
	}
	return defaultPollInterval
}

// pollTimeout is how long discovery may hold a long poll: well below the time after which a change counts as known.
func (d *discoveryClient) pollTimeout() statemachine.Seconds {
	return min(d.maxPollInterval()/2, maxNotifyDelay)
}

// responseTimeout is the time limit for a response, not counting the time of a long poll. It leaves time for a retry
// before a change counts as known.
func (d *discoveryClient) responseTimeout() statemachine.Seconds {
	timeout := max(d.maxPollInterval()/5, pollNotifyDelay/2)
	if d.longPoll {
		return min(timeout, 3*pollNotifyDelay/4)
	}
	return min(timeout, pollNotifyDelay)
}

// watch starts a watch, or reports to the decision module that it goes on.
func (d *discoveryClient) watch(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.active {
		d.startRequest(now, false, d.machine.endpoints.needsFullList(), out)
		return
	}
	if d.longPoll {
		d.report(choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: d.machine.endpoints.version})
	}
}

// fetchAll requests the full list, at once or after the request in flight if that is not a long poll.
func (d *discoveryClient) fetchAll(now statemachine.Seconds, out *statemachine.Effects) {
	if d.active && !d.longPoll {
		d.fullListWanted = true
		return
	}
	d.closeConnection(out)
	d.startRequest(now, false, true, out)
}

func (d *discoveryClient) startRequest(now statemachine.Seconds, longPoll, fullList bool, out *statemachine.Effects) {
	d.active, d.requestSent, d.longPoll, d.fullList = true, false, longPoll, fullList
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
	d.deadline = now + d.responseTimeout()
	path := listPath
	if !d.fullList {
		timeout := 0.0
		if d.longPoll {
			timeout = d.pollTimeout()
			d.deadline += timeout
		}
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, d.machine.endpoints.version, int(timeout*1000))
	}
	out.Write(d.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, d.addr))
}

func (d *discoveryClient) connectionOpened(now statemachine.Seconds, out *statemachine.Effects) {
	d.connected = true
	if d.active {
		d.sendRequest(now, out)
	}
}

// connectionClosed handles the end of the connection, or the failure to open it, for the given reason.
func (d *discoveryClient) connectionClosed(now statemachine.Seconds, reason string, out *statemachine.Effects) {
	d.conn, d.connected = 0, false
	switch {
	case !d.active:
	case !d.requestSent:
		d.requestFailed(fmt.Errorf("%w: %s", errDiscoveryUnreachable, reason), out)
	case d.response.size() > 0:
		result, err := d.response.feed(nil, true)
		d.handleResponse(now, result, err, out)
	case d.reused && now <= d.sentAt+watchGap:
		// Discovery closed an idle connection just as the request was written, so it has not seen the request. Repeating it at
		// once continues the watch. The end of a new connection, or of one on which discovery had time to respond, is a
		// failure: a server that closes connections for overload must not be asked again at once.
		d.startRequest(now, d.longPoll, d.fullList, out)
	default:
		d.requestFailed(fmt.Errorf("%w: %s", errConnectionClosed, reason), out)
	}
}

// received handles data of a response.
func (d *discoveryClient) received(now statemachine.Seconds, data []byte, out *statemachine.Effects) {
	if !d.active || !d.requestSent {
		if len(data) > 0 {
			d.closeConnection(out) // no response is expected
		}
		return
	}
	result, err := d.response.feed(data, false)
	d.handleResponse(now, result, err, out)
}

// handleResponse handles what the parser returned: an error, a complete response or nothing yet.
func (d *discoveryClient) handleResponse(now statemachine.Seconds, result *response, err error, out *statemachine.Effects) {
	d.reused = d.reused || result != nil
	if err != nil {
		d.failConnection(err, out)
		return
	}
	if result == nil {
		return
	}
	if !result.reusable {
		d.closeConnection(out)
	}
	if result.status != http.StatusOK {
		d.requestFailed(fmt.Errorf("%w %d", errUnexpectedStatus, result.status), out)
		return
	}
	list, err := parseEndpointList(result.body)
	if err != nil {
		d.requestFailed(err, out)
		return
	}
	d.applyList(now, list, out)
}

// applyList loads a list, reports it to the decision module and starts the next request.
func (d *discoveryClient) applyList(now statemachine.Seconds, list *listDocument, out *statemachine.Effects) {
	update, err := d.machine.endpoints.update(now, list)
	if err != nil {
		d.requestFailed(err, out)
		return
	}
	if failures := d.machine.problemCounts[problemDiscovery]; failures > 0 {
		out.Log(levelInfo, "discovery responds again", "failures", failures, "version", update.Version)
		delete(d.machine.problemCounts, problemDiscovery)
	}
	if !d.longPoll || len(update.Endpoints) > 0 || update.Kind == choice.UpdateFull {
		d.report(update)
	}
	fullList := d.fullListWanted
	d.fullListWanted = false
	d.startRequest(now, !fullList, fullList, out)
}

func (d *discoveryClient) report(update choice.EndpointUpdate) {
	d.machine.events = append(d.machine.events, update)
}

// failConnection ends the request in flight together with the connection, which can't be used any more.
func (d *discoveryClient) failConnection(cause error, out *statemachine.Effects) {
	d.closeConnection(out)
	d.requestFailed(cause, out)
}

// requestFailed ends the request in flight and reports the failure to the decision module, which orders a retry.
func (d *discoveryClient) requestFailed(cause error, out *statemachine.Effects) {
	d.active, d.fullListWanted = false, false
	d.response.reset()
	d.report(choice.EndpointUpdate{Kind: choice.UpdateFailed})
	d.machine.logThrottled(out, problemDiscovery, levelWarning, "discovery request failed", "addr", d.addr, "cause", cause.Error())
}

func (d *discoveryClient) closeConnection(out *statemachine.Effects) {
	if d.conn == 0 {
		return
	}
	out.Abort(d.conn)
	delete(d.machine.sessions, d.conn)
	d.conn, d.connected = 0, false
}

// changeAddress continues at another address. The loaded list stays, and the first request at the new address asks for all
// changes since, so that nothing of a request in flight is lost. It does not wait for the backoff after failures: that was
// the former address's, and a change of the address must not delay endpoint updates.
func (d *discoveryClient) changeAddress(now statemachine.Seconds, addr string, out *statemachine.Effects) {
	if addr == d.addr {
		return
	}
	fullList := d.fullListWanted || d.active && d.fullList || d.machine.endpoints.needsFullList()
	d.closeConnection(out)
	d.addr, d.fullListWanted = addr, false
	d.startRequest(now, false, fullList, out)
}

// expire ends a request whose response has not come in time.
func (d *discoveryClient) expire(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.active {
		return
	}
	if now >= d.deadline {
		d.failConnection(errResponseTimeout, out)
		return
	}
	out.WakeBy(d.deadline)
}
