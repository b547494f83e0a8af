package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// probe is one that is under way, on a connection of its own.
type probe struct {
	backend   choice.BackendID
	endpoint  choice.Endpoint // as listed when it began
	startedAt statemachine.Seconds
	addr      string
	response  responseParser
}

// prober carries out the module's probes: a bounded number at once, each bounded in time.
type prober struct {
	machine *Machine
	queue   []choice.BackendID
	active  []*session // by when they began
}

func (p *prober) enqueue(ep choice.BackendID) {
	// The module asks again for one that got lost here.
	if len(p.queue) < 4*p.machine.boot.MaxProbes && !slices.Contains(p.queue, ep) {
		p.queue = append(p.queue, ep)
	}
}

func (p *prober) startQueued(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.queue) > 0 && len(p.active) < p.machine.boot.MaxProbes {
		ep := p.queue[0]
		p.queue = p.queue[1:]
		s := p.machine.endpoints.backends[ep]
		if s == nil || s.addr == "" {
			continue
		}
		x := &session{conn: p.machine.dial(s.addr, out), role: roleProbe, probe: &probe{backend: ep, endpoint: s.endpoint, startedAt: now, addr: s.addr, response: responseParser{maxBytes: 1 << 14}}}
		p.machine.sessions[x.conn] = x
		p.active = append(p.active, x)
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
}

func (p *prober) connected(s *session, out *statemachine.Effects) {
	path := "/-/healthy"
	if w := p.machine.boot.Module.Settings.FeedbackSource; w != "" && w != "none" {
		path = "/-/load"
	}
	out.Write(s.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, s.probe.addr))
}

// unasked ends a probe that could not be sent for want of something of ours: the server is not to blame.
func (p *prober) failedLocally(now statemachine.Seconds, s *session, out *statemachine.Effects) {
	p.machine.logThrottled(out, "unasked", 2, "a probe could not be sent", "addr", s.probe.addr)
	delete(p.machine.sessions, s.conn)
	p.active = slices.DeleteFunc(p.active, func(x *session) bool { return x == s })
	p.startQueued(now, out)
}

func (p *prober) received(now statemachine.Seconds, s *session, b []byte, ended bool, out *statemachine.Effects) {
	status, body, _, whole, err := 0, []byte(nil), false, false, error(nil)
	if len(s.probe.response.buffer)+len(b) > 0 {
		status, body, _, whole, err = s.probe.response.feed(b, ended)
	}
	switch {
	case whole && err == nil:
		// 503 says that it answers and has no room: what was not refused for that would not have been answered at all.
		p.finish(now, s, choice.ProbeResult{OK: status == http.StatusOK, Busy: status == http.StatusServiceUnavailable, Load: p.parseLoad(body)}, ended, out)
	case ended || err != nil:
		p.finish(now, s, choice.ProbeResult{}, ended, out)
	}
}

func (p *prober) parseLoad(body []byte) []float64 {
	figures := map[string]float64{}
	if json.Unmarshal(body, &figures) != nil {
		return nil
	}
	return p.machine.loadColumns(figures)
}

func (p *prober) finish(now statemachine.Seconds, s *session, r choice.ProbeResult, ended bool, out *statemachine.Effects) {
	if !ended {
		out.Abort(s.conn)
	}
	delete(p.machine.sessions, s.conn)
	p.active = slices.DeleteFunc(p.active, func(x *session) bool { return x == s })
	// What the list told meanwhile, that the server is gone, started anew or elsewhere, the probe knows nothing of: its result
	// is the former process's and must not be held against the present one, nor speak for it.
	if at := p.machine.endpoints.backends[s.probe.backend]; at != nil && at.goneSince == 0 && at.endpoint.StartedAt == s.probe.endpoint.StartedAt && at.addr == s.probe.addr {
		r.Backend, r.Latency = s.probe.backend, now-s.probe.startedAt
		p.machine.events = append(p.machine.events, r)
	} else {
		p.machine.stats.OutdatedProbes++
	}
	p.startQueued(now, out)
}

// timeout is how long a probe may take: one that waits for half of the shortest soft deadline says what no answer says.
func (p *prober) timeout() statemachine.Seconds { return p.machine.minSoftDeadline / 2 }

func (p *prober) expire(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.active) > 0 && now >= p.active[0].probe.startedAt+p.timeout() {
		p.finish(now, p.active[0], choice.ProbeResult{}, false, out)
	}
	if len(p.active) > 0 {
		out.WakeBy(p.active[0].probe.startedAt + p.timeout())
	}
}
