package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// probe is a health check in flight. Each one has its own connection.
type probe struct {
	backend   choice.BackendID
	endpoint  choice.Endpoint // as listed when the probe started
	startedAt statemachine.Seconds
	addr      string // of the backend when the probe started
	response  responseParser
}

// prober executes the probes that the decision module orders. It limits the number of probes in flight and the duration of
// each.
type prober struct {
	machine *Machine
	queue   []choice.BackendID // backends whose probes have not started, in the order of the commands
	active  []*session         // sessions of the probes in flight, in the order of their start
}

const (
	queuedProbesPerActive = 4 // limit on the length of prober.queue, in multiples of Bootstrap.MaxProbes
	maxProbeResponseBytes = 1 << 14
)

// Paths at which backends answer probes.
const (
	healthPath = "/-/healthy"
	loadPath   = "/-/load" // the response contains the backend's load report
)

// enqueue queues a probe unless one of the same backend is queued. If the queue is full, the probe is dropped: the decision
// module orders it again.
func (p *prober) enqueue(id choice.BackendID) {
	if len(p.queue) < queuedProbesPerActive*p.machine.boot.MaxProbes && !slices.Contains(p.queue, id) {
		p.queue = append(p.queue, id)
	}
}

// startQueued starts queued probes up to the limit on probes in flight. It skips backends without a known address.
func (p *prober) startQueued(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.queue) > 0 && len(p.active) < p.machine.boot.MaxProbes {
		id := p.queue[0]
		p.queue = p.queue[1:]
		if target := p.machine.endpoints.backends[id]; target != nil && target.addr != "" {
			p.start(now, id, target, out)
		}
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
}

// start opens the connection for the probe of a backend.
func (p *prober) start(now statemachine.Seconds, id choice.BackendID, target *backend, out *statemachine.Effects) {
	started := &probe{
		backend: id, endpoint: target.endpoint, startedAt: now, addr: target.addr,
		response: responseParser{maxBytes: maxProbeResponseBytes},
	}
	opened := &session{conn: p.machine.dial(target.addr, out), role: roleProbe, probe: started}
	p.machine.sessions[opened.conn] = opened
	p.active = append(p.active, opened)
}

// connectionOpened sends the request of a probe: for the load report if the settings name a source of load feedback, and
// for the health otherwise.
func (p *prober) connectionOpened(peer *session, out *statemachine.Effects) {
	path := healthPath
	if source := p.machine.boot.Module.Settings.FeedbackSource; source != "" && source != "none" {
		path = loadPath
	}
	out.Write(peer.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, peer.probe.addr))
}

// failedLocally ends a probe that could not be sent for lack of a local resource, which says nothing about the backend.
func (p *prober) failedLocally(now statemachine.Seconds, peer *session, out *statemachine.Effects) {
	p.machine.logThrottled(out, problemProbeNotSent, levelWarning, "probe not sent for lack of local resources", "addr", peer.probe.addr)
	p.remove(peer)
	p.startQueued(now, out)
}

// responseReceived handles data of a probe's response. ended says that the connection was closed or could not be opened.
func (p *prober) responseReceived(now statemachine.Seconds, peer *session, data []byte, ended bool, out *statemachine.Effects) {
	var result *response
	var err error
	if peer.probe.response.size()+len(data) > 0 {
		result, err = peer.probe.response.feed(data, ended)
	}
	switch {
	case err == nil && result != nil:
		// Status 503 means that the backend is reachable but has no capacity.
		p.finish(now, peer, choice.ProbeResult{
			OK: result.status == http.StatusOK, Busy: result.status == http.StatusServiceUnavailable, Load: p.parseLoad(result.body),
		}, ended, out)
	case ended || err != nil:
		p.finish(now, peer, choice.ProbeResult{}, ended, out)
	}
}

// parseLoad returns the load values in the body of a response, in the order of the settings' columns, or nil if the body is
// not a load report.
func (p *prober) parseLoad(body []byte) []float64 {
	load := map[string]float64{}
	if err := json.Unmarshal(body, &load); err != nil {
		return nil // a health response without a load report
	}
	return p.machine.loadColumns(load)
}

// finish ends a probe and reports its result to the decision module. The result is dropped if, according to the endpoint
// list, the backend was removed, restarted or moved to another address since the probe started, because then it is the result
// of the former process.
func (p *prober) finish(now statemachine.Seconds, peer *session, result choice.ProbeResult, ended bool, out *statemachine.Effects) {
	if !ended {
		out.Abort(peer.conn)
	}
	p.remove(peer)
	if p.outdated(peer.probe) {
		p.machine.stats.OutdatedProbes++
	} else {
		result.Backend, result.Latency = peer.probe.backend, now-peer.probe.startedAt
		p.machine.events = append(p.machine.events, result)
	}
	p.startQueued(now, out)
}

// outdated returns whether the endpoint list has changed such that the probe's result is that of a former process.
func (p *prober) outdated(finished *probe) bool {
	listed := p.machine.endpoints.backends[finished.backend]
	return listed == nil || listed.removedAt != 0 || listed.endpoint.StartedAt != finished.endpoint.StartedAt || listed.addr != finished.addr
}

// remove removes the session of a probe.
func (p *prober) remove(peer *session) {
	delete(p.machine.sessions, peer.conn)
	p.active = slices.DeleteFunc(p.active, func(active *session) bool { return active == peer })
}

// timeout returns the time limit of a probe: half of the shortest soft deadline of any method. A backend that takes longer
// for a health check is as good as unreachable.
func (p *prober) timeout() statemachine.Seconds { return p.machine.minSoftDeadline / 2 }

// expireProbes fails the probes that have passed their deadlines and schedules a step at the next deadline.
func (p *prober) expireProbes(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.active) > 0 && now >= p.deadline() {
		p.finish(now, p.active[0], choice.ProbeResult{}, false, out)
	}
	if len(p.active) > 0 {
		out.WakeBy(p.deadline())
	}
}

// deadline returns the time at which the oldest probe in flight times out.
func (p *prober) deadline() statemachine.Seconds { return p.active[0].probe.startedAt + p.timeout() }
