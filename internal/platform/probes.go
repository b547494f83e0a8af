package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// probe is a health check in flight, on a connection of its own.
type probe struct {
	backend   choice.BackendID
	endpoint  choice.Endpoint // as listed when the probe started
	startedAt statemachine.Seconds
	addr      string
	response  responseParser
}

// prober executes the probes that the decision module orders, with limits on their number and on the time of each.
type prober struct {
	machine *Machine
	queue   []choice.BackendID
	active  []*session // in the order of their start
}

const (
	queuedProbesPerActive = 4 // the length of the queue in multiples of the limit on probes in flight
	maxProbeResponseBytes = 1 << 14
)

// Paths that a backend serves.
const (
	healthPath = "/-/healthy"
	loadPath   = "/-/load"
)

// enqueue adds a probe to the queue. If the queue is full the probe is dropped: the decision module orders it again.
func (p *prober) enqueue(id choice.BackendID) {
	if len(p.queue) < queuedProbesPerActive*p.machine.boot.MaxProbes && !slices.Contains(p.queue, id) {
		p.queue = append(p.queue, id)
	}
}

// startQueued starts queued probes up to the limit on probes in flight.
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

func (p *prober) start(now statemachine.Seconds, id choice.BackendID, target *backend, out *statemachine.Effects) {
	started := &probe{
		backend: id, endpoint: target.endpoint, startedAt: now, addr: target.addr,
		response: responseParser{maxBytes: maxProbeResponseBytes},
	}
	s := &session{conn: p.machine.dial(target.addr, out), role: roleProbe, probe: started}
	p.machine.sessions[s.conn] = s
	p.active = append(p.active, s)
}

// connected sends the request on the connection of a probe.
func (p *prober) connected(s *session, out *statemachine.Effects) {
	path := healthPath
	if source := p.machine.boot.Module.Settings.FeedbackSource; source != "" && source != "none" {
		path = loadPath
	}
	out.Write(s.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, s.probe.addr))
}

// failedLocally ends a probe that could not be sent for lack of a local resource, which says nothing about the backend.
func (p *prober) failedLocally(now statemachine.Seconds, s *session, out *statemachine.Effects) {
	p.machine.logThrottled(out, problemProbeNotSent, levelWarning, "probe not sent for lack of local resources", "addr", s.probe.addr)
	p.remove(s)
	p.startQueued(now, out)
}

// received handles data of a response. ended says that the connection was closed.
func (p *prober) received(now statemachine.Seconds, peer *session, data []byte, ended bool, out *statemachine.Effects) {
	var result *response
	var err error
	if peer.probe.response.size()+len(data) > 0 {
		result, err = peer.probe.response.feed(data, ended)
	}
	switch {
	case err == nil && result != nil:
		// Status 503 says that the backend is reachable and has no capacity.
		p.finish(now, peer, choice.ProbeResult{
			OK: result.status == http.StatusOK, Busy: result.status == http.StatusServiceUnavailable, Load: p.parseLoad(result.body),
		}, ended, out)
	case ended || err != nil:
		p.finish(now, peer, choice.ProbeResult{}, ended, out)
	}
}

// parseLoad reads the load figures in the body of a response, nil if there are none.
func (p *prober) parseLoad(body []byte) []float64 {
	load := map[string]float64{}
	if err := json.Unmarshal(body, &load); err != nil {
		return nil // a health response without a load report
	}
	return p.machine.loadColumns(load)
}

// finish ends a probe and reports its result to the decision module. The result is dropped if the endpoint list has the
// backend as removed, restarted or moved meanwhile: it is that of the former process.
func (p *prober) finish(now statemachine.Seconds, s *session, result choice.ProbeResult, ended bool, out *statemachine.Effects) {
	if !ended {
		out.Abort(s.conn)
	}
	p.remove(s)
	if p.outdated(s.probe) {
		p.machine.stats.OutdatedProbes++
	} else {
		result.Backend, result.Latency = s.probe.backend, now-s.probe.startedAt
		p.machine.events = append(p.machine.events, result)
	}
	p.startQueued(now, out)
}

func (p *prober) outdated(finished *probe) bool {
	listed := p.machine.endpoints.backends[finished.backend]
	return listed == nil || listed.goneSince != 0 || listed.endpoint.StartedAt != finished.endpoint.StartedAt || listed.addr != finished.addr
}

func (p *prober) remove(s *session) {
	delete(p.machine.sessions, s.conn)
	p.active = slices.DeleteFunc(p.active, func(active *session) bool { return active == s })
}

// timeout is the time limit of a probe. A backend that needs half of the shortest soft deadline for it is as good as
// unreachable.
func (p *prober) timeout() statemachine.Seconds { return p.machine.minSoftDeadline / 2 }

func (p *prober) expire(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.active) > 0 && now >= p.deadline() {
		p.finish(now, p.active[0], choice.ProbeResult{}, false, out)
	}
	if len(p.active) > 0 {
		out.WakeBy(p.deadline())
	}
}

// deadline is the time limit of the oldest probe in flight.
func (p *prober) deadline() statemachine.Seconds { return p.active[0].probe.startedAt + p.timeout() }
