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
	ep     choice.BackendID
	entry  choice.Endpoint // as listed when it began
	began  statemachine.Seconds
	addr   string
	answer answer
}

// prober carries out the module's probes: a bounded number at once, each bounded in time.
type prober struct {
	m      *Machine
	queue  []choice.BackendID
	active []*session // by when they began
}

func (p *prober) order(ep choice.BackendID) {
	// The module asks again for one that got lost here.
	if len(p.queue) < 4*p.m.boot.MostProbes && !slices.Contains(p.queue, ep) {
		p.queue = append(p.queue, ep)
	}
}

func (p *prober) next(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.queue) > 0 && len(p.active) < p.m.boot.MostProbes {
		ep := p.queue[0]
		p.queue = p.queue[1:]
		s := p.m.roll.servers[ep]
		if s == nil || s.addr == "" {
			continue
		}
		x := &session{conn: p.m.dial(s.addr, out), role: probeRole, probe: &probe{ep: ep, entry: s.entry, began: now, addr: s.addr, answer: answer{most: 1 << 14}}}
		p.m.sessions[x.conn] = x
		p.active = append(p.active, x)
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
}

func (p *prober) opened(s *session, out *statemachine.Effects) {
	path := "/-/healthy"
	if w := p.m.boot.Module.Settings.FeedbackSource; w != "" && w != "none" {
		path = "/-/load"
	}
	out.Write(s.conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, s.probe.addr))
}

// unasked ends a probe that could not be sent for want of something of ours: the server is not to blame.
func (p *prober) unasked(now statemachine.Seconds, s *session, out *statemachine.Effects) {
	p.m.often(out, "unasked", 2, "a probe could not be sent", "addr", s.probe.addr)
	delete(p.m.sessions, s.conn)
	p.active = slices.DeleteFunc(p.active, func(x *session) bool { return x == s })
	p.next(now, out)
}

func (p *prober) data(now statemachine.Seconds, s *session, b []byte, ended bool, out *statemachine.Effects) {
	status, body, _, whole, err := 0, []byte(nil), false, false, error(nil)
	if len(s.probe.answer.buf)+len(b) > 0 {
		status, body, _, whole, err = s.probe.answer.feed(b, ended)
	}
	switch {
	case whole && err == nil:
		// 503 says that it answers and has no room: what was not refused for that would not have been answered at all.
		p.end(now, s, choice.ProbeResult{OK: status == http.StatusOK, Busy: status == http.StatusServiceUnavailable, Load: p.load(body)}, ended, out)
	case ended || err != nil:
		p.end(now, s, choice.ProbeResult{}, ended, out)
	}
}

func (p *prober) load(body []byte) []float64 {
	figures := map[string]float64{}
	if json.Unmarshal(body, &figures) != nil {
		return nil
	}
	return p.m.columns(figures)
}

func (p *prober) end(now statemachine.Seconds, s *session, r choice.ProbeResult, ended bool, out *statemachine.Effects) {
	if !ended {
		out.Abort(s.conn)
	}
	delete(p.m.sessions, s.conn)
	p.active = slices.DeleteFunc(p.active, func(x *session) bool { return x == s })
	// What the list told meanwhile, that the server is gone, started anew or elsewhere, the probe knows nothing of: its result
	// is the former process's and must not be held against the present one, nor speak for it.
	if at := p.m.roll.servers[s.probe.ep]; at != nil && at.gone == 0 && at.entry.StartedAt == s.probe.entry.StartedAt && at.addr == s.probe.addr {
		r.Backend, r.Latency = s.probe.ep, now-s.probe.began
		p.m.events = append(p.m.events, r)
	} else {
		p.m.figures.Outdated++
	}
	p.next(now, out)
}

// timeout is how long a probe may take: one that waits for half of the shortest soft deadline says what no answer says.
func (p *prober) timeout() statemachine.Seconds { return p.m.soft / 2 }

func (p *prober) sweep(now statemachine.Seconds, out *statemachine.Effects) {
	for len(p.active) > 0 && now >= p.active[0].probe.began+p.timeout() {
		p.end(now, p.active[0], choice.ProbeResult{}, false, out)
	}
	if len(p.active) > 0 {
		out.WakeBy(p.active[0].probe.began + p.timeout())
	}
}
