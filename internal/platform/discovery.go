package platform

import (
	"errors"
	"fmt"
	"net/http"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// discoveryClient requests the endpoint list from the discovery service over HTTP, one request at a time on a persistent
// connection. A watch begins with a request that discovery answers at once, which shows that discovery is up and returns the
// changes that were missed. Then long polls follow one after another until one fails. The decision module decides when to
// retry.
type discoveryClient struct {
	machine   *Machine
	addr      string            // of the discovery service
	conn      statemachine.Conn // connection to addr; 0: none
	connected bool              // conn is open, no longer being dialed

	active         bool // a request is in flight, or waits for the connection
	requestSent    bool // the active request was written to the connection
	longPoll       bool // the active request is a long poll, which discovery may hold until there is a change
	fullList       bool // the active request is for the full list
	fullListWanted bool // the next request must be for the full list

	reused   bool                 // conn has carried a complete response to an earlier request
	sentAt   statemachine.Seconds // when the last request was written to conn
	deadline statemachine.Seconds // for the response to the active request
	response responseParser
}

// Times in the platform's rules. A watch counts as continuous if the next request follows the last response within
// maxWatchGap. The platform assumes that the coordinator knows of a change maxNotifyDelay after the change and
// pollNotifyDelay after the end of a long poll, whether or not it has received a response. So requests must time out earlier
// than that, even if the settings allow a longer interval between polls.
const (
	maxWatchGap     statemachine.Seconds = 0.2
	maxNotifyDelay  statemachine.Seconds = 6
	pollNotifyDelay statemachine.Seconds = 2
)

// defaultPollInterval is the longest time between two requests to discovery if the settings have none, because they were
// written for other platforms.
const defaultPollInterval statemachine.Seconds = 10

// listPath is the path at which discovery serves the endpoint list.
const listPath = "/api/targets"

// Errors of requests to discovery.
var (
	errDiscoveryUnreachable = errors.New("discovery is unreachable")
	errConnectionClosed     = errors.New("discovery closed the connection without a response")
	errResponseTimeout      = errors.New("discovery did not respond in time")
	errUnexpectedStatus     = errors.New("discovery responded with an unexpected status")
)

// maxPollInterval returns the longest time allowed between two requests to discovery.
func (d *discoveryClient) maxPollInterval() statemachine.Seconds {
	if interval := d.machine.boot.Module.Settings.MaxPollInterval.Or(0); interval > 0 {
		return interval
	}
	return defaultPollInterval
}

// pollTimeout returns for how long discovery may hold a long poll: half of the maximum poll interval, and never longer than
// the time after which the platform assumes that the coordinator knows of a change.
func (d *discoveryClient) pollTimeout() statemachine.Seconds {
	return min(d.maxPollInterval()/2, maxNotifyDelay)
}

// responseTimeout returns the time limit for a response, to which the hold time of a long poll is added. It leaves time for
// a retry before the platform assumes that the coordinator knows of a change.
func (d *discoveryClient) responseTimeout() statemachine.Seconds {
	timeout := max(d.maxPollInterval()/5, pollNotifyDelay/2)
	if d.longPoll {
		return min(timeout, 3*pollNotifyDelay/4)
	}
	return min(timeout, pollNotifyDelay)
}

// watch starts a watch if no request is active. During a long poll it only reports an empty update, which tells the decision
// module that the watch goes on.
func (d *discoveryClient) watch(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.active {
		d.startRequest(now, false, d.machine.endpoints.needsFullList(), out)
		return
	}
	if d.longPoll {
		d.reportUpdate(choice.EndpointUpdate{Kind: choice.UpdateDelta, Version: d.machine.endpoints.version})
	}
}

// fetchAll requests the full list: at once, aborting a long poll, or after the active request if that is not a long poll.
func (d *discoveryClient) fetchAll(now statemachine.Seconds, out *statemachine.Effects) {
	if d.active && !d.longPoll {
		d.fullListWanted = true
		return
	}
	d.closeConnection(out)
	d.startRequest(now, false, true, out)
}

// startRequest makes a request active and sends it, or opens the connection on which to send it.
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

// sendRequest writes the active request to the connection. Without fullList it asks for the changes since the loaded
// version, and a timeout of 0 makes discovery answer at once.
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

// connectionOpened sends the active request, which has waited for the connection.
func (d *discoveryClient) connectionOpened(now statemachine.Seconds, out *statemachine.Effects) {
	d.connected = true
	if d.active {
		d.sendRequest(now, out)
	}
}

// connectionClosed handles that the connection was closed, or could not be opened, for the given reason.
func (d *discoveryClient) connectionClosed(now statemachine.Seconds, reason string, out *statemachine.Effects) {
	d.conn, d.connected = 0, false
	switch {
	case !d.active:
	case !d.requestSent:
		d.requestFailed(fmt.Errorf("%w: %s", errDiscoveryUnreachable, reason), out)
	case d.response.size() > 0:
		result, err := d.response.feed(nil, true)
		d.handleResponse(now, result, err, out)
	case d.reused && now <= d.sentAt+maxWatchGap:
		// Discovery closed an idle connection just as the request was written, so it has not seen the request. Repeating the
		// request at once continues the watch. If a new connection is closed, or one on which discovery had time to respond, it
		// is a failure: a server that closes connections because of overload must not be sent another request at once.
		d.startRequest(now, d.longPoll, d.fullList, out)
	default:
		d.requestFailed(fmt.Errorf("%w: %s", errConnectionClosed, reason), out)
	}
}

// dataReceived handles data of a response. It closes the connection if no response is expected.
func (d *discoveryClient) dataReceived(now statemachine.Seconds, data []byte, out *statemachine.Effects) {
	if !d.active || !d.requestSent {
		if len(data) > 0 {
			d.closeConnection(out) // no response is expected
		}
		return
	}
	result, err := d.response.feed(data, false)
	d.handleResponse(now, result, err, out)
}

// handleResponse handles what the parser returned: an error, a complete response, or nil if more data is needed.
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

// applyList loads a list, reports it to the decision module unless a long poll brought no change, and starts the next
// request.
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
		d.reportUpdate(update)
	}
	fullList := d.fullListWanted
	d.fullListWanted = false
	d.startRequest(now, !fullList, fullList, out)
}

// reportUpdate queues an endpoint update for the next step of the decision module.
func (d *discoveryClient) reportUpdate(update choice.EndpointUpdate) {
	d.machine.events = append(d.machine.events, update)
}

// failConnection fails the active request and closes its connection, which can no longer be used.
func (d *discoveryClient) failConnection(cause error, out *statemachine.Effects) {
	d.closeConnection(out)
	d.requestFailed(cause, out)
}

// requestFailed ends the active request and reports the failure to the decision module, which orders a retry.
func (d *discoveryClient) requestFailed(cause error, out *statemachine.Effects) {
	d.active, d.fullListWanted = false, false
	d.response.reset()
	d.reportUpdate(choice.EndpointUpdate{Kind: choice.UpdateFailed})
	d.machine.logThrottled(out, problemDiscovery, levelWarning, "discovery request failed", "addr", d.addr, "cause", cause.Error())
}

// closeConnection aborts the connection, if there is one.
func (d *discoveryClient) closeConnection(out *statemachine.Effects) {
	if d.conn == 0 {
		return
	}
	out.Abort(d.conn)
	delete(d.machine.sessions, d.conn)
	d.conn, d.connected = 0, false
}

// changeAddress continues at another address. The loaded list is kept. The first request to the new address asks for all
// changes since that list, or for the full list, so that nothing is lost of a request that was active. That request to the new
// address is sent without waiting for the backoff after failures: the backoff was for the former address, and a change of
// address must not delay endpoint updates.
func (d *discoveryClient) changeAddress(now statemachine.Seconds, addr string, out *statemachine.Effects) {
	if addr == d.addr {
		return
	}
	fullList := d.fullListWanted || d.active && d.fullList || d.machine.endpoints.needsFullList()
	d.closeConnection(out)
	d.addr, d.fullListWanted = addr, false
	d.startRequest(now, false, fullList, out)
}

// expireRequest fails the active request if it has passed its deadline, and otherwise schedules a step at the deadline.
func (d *discoveryClient) expireRequest(now statemachine.Seconds, out *statemachine.Effects) {
	if !d.active {
		return
	}
	if now >= d.deadline {
		d.failConnection(errResponseTimeout, out)
		return
	}
	out.WakeBy(d.deadline)
}
