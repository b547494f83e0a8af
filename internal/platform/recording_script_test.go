package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

const (
	scriptProxies      = 12
	scriptBackendCount = 10
	scriptMaxConns     = 26
	scriptStart        = 1000.0
)

// script plays the peers of one machine: discovery, backends, proxies, collectors and connections that never join.
// Everything is drawn from one generator and kept in slices, so that a seed always gives the same inputs.
type script struct {
	t            *testing.T
	dice         *rand.Rand
	recording    *recording
	machine      *Machine
	boot         Bootstrap
	now          statemachine.Seconds
	peers        []*scriptPeer
	accepted     statemachine.Conn // the last number given to a connection that the machine accepted
	inputs       []statemachine.Input
	timers       []scriptTimer
	discovery    *scriptDiscovery
	proxies      []*scriptProxy
	phase        scriptPhase
	probes       int // of backends that are not silent
	silentProbes int // of silent backends
}

type scriptTimer struct {
	due statemachine.Seconds
	do  func()
}

// scriptPhase is a part of the script.
type scriptPhase struct {
	name     string
	length   statemachine.Seconds
	before   func(*script)
	faults   float64 // probability of a fault in a step
	requests int     // per second and proxy, at most
	failing  float64 // share of attempts that fail at any backend
	delay    float64 // mean latency of successful attempts, in milliseconds
	sick     []int   // backends at which every attempt fails
	silent   []int   // backends without attempt reports that respond to few probes
}

var scriptPhases = []scriptPhase{
	{name: "start", length: 6, requests: 8, delay: 80},
	{name: "steady", length: 15, requests: 12, delay: 90},
	{name: "list changes", length: 12, requests: 12, delay: 90, before: (*script).changeBackends},
	{name: "sick servers", length: 25, requests: 20, delay: 90, failing: 0.01, sick: []int{2}, silent: []int{5, 6}},
	{name: "recovery", length: 20, requests: 12, delay: 90},
	{name: "overload", length: 20, requests: 60, delay: 900, failing: 0.4},
	{name: "relief", length: 20, requests: 10, delay: 80},
	{name: "discovery failures", length: 122, requests: 12, delay: 90, before: (*script).failDiscovery},
	{name: "accidents", length: 90, requests: 15, delay: 120, failing: 0.02, faults: 0.4, sick: []int{1}, silent: []int{7}},
	{name: "pause", length: 10, requests: 10, delay: 80, before: func(s *script) { s.now += 5 }},
	{name: "restart", length: 15, requests: 10, delay: 80, before: (*script).restart},
	{name: "accidents after the restart", length: 40, requests: 15, delay: 100, failing: 0.05, faults: 0.3, silent: []int{3}},
	{name: "names are forgotten", length: 20, requests: 10, delay: 80, before: (*script).forgetBackends},
}

func newScript(t *testing.T, variant recordingVariant) *script {
	played := &script{t: t, dice: rand.New(rand.NewPCG(variant.seed, 1)), recording: newRecording(t), now: scriptStart}
	values := testSettings(scriptProxies, 2)
	for name, value := range variant.changes {
		values[name] = value
	}
	played.boot = Bootstrap{
		Name: "c0", Discovery: "discovery-1:80", Module: choice.Config{Seed: variant.seed, Now: played.now, Settings: choice.DecodeSettings(values)},
		MaxConnections: scriptMaxConns, MaxProbes: 3, MaxResponseBytes: 1 << 16, HandshakeTimeout: 1,
	}
	played.discovery = newScriptDiscovery()
	for number := range scriptProxies {
		played.proxies = append(played.proxies, &scriptProxy{number: number, zone: scriptZone(number)})
	}
	played.startMachine()
	return played
}

func scriptZone(number int) string { return string(rune('a' + number%2)) }

func (s *script) startMachine() {
	s.boot.Module.Now = s.now
	m, err := New(s.boot)
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = m
}

// restart replaces the machine by a new one, which gets the list as a cached list. All connections are closed.
func (s *script) restart() {
	s.countStats()
	s.endLastingFaults()
	s.peers, s.inputs, s.timers, s.discovery.waiting = nil, nil, nil, nil
	for _, proxy := range s.proxies {
		proxy.peer = nil
		s.reconnect(proxy)
	}
	s.boot.CachedList = s.discovery.body(true, 0)
	s.startMachine()
	s.startReports()
}

// settle ends the faults that last longer than a step.
func (s *script) endLastingFaults() {
	s.discovery.mode = ""
	for _, proxy := range s.proxies {
		proxy.mute = false
	}
}

// forgetBackends lets the retention time of removed backends' names pass and lists them again after it.
func (s *script) forgetBackends() {
	s.endLastingFaults()
	s.now += nameRetention + 10
	s.after(5, func() {
		for number, backend := range s.discovery.backends {
			if backend.health != "active" {
				s.discovery.set(s, number, "active", s.now)
			}
		}
	})
}

func (s *script) play() {
	for _, proxy := range s.proxies {
		s.after(0.2*s.dice.Float64(), func() { s.attach(proxy, true) })
	}
	s.startReports()
	for _, phase := range scriptPhases {
		s.recording.add("phase %q", phase.name)
		s.phase = phase
		if phase.before != nil {
			phase.before(s)
		}
		for end := s.now + phase.length; s.now < end; {
			s.step()
		}
	}
	s.countStats()
}

// countStats adds the machine's stats to what was seen.
func (s *script) countStats() {
	figures := s.machine.Stats()
	if figures.InputPanics+figures.PlannerRestarts > 0 {
		s.t.Errorf("%d inputs panicked, the decision module failed %d times", figures.InputPanics, figures.PlannerRestarts)
	}
	seen := s.recording.seen
	seen["stream replaced"] += figures.TakenOver
	seen["connection rejected"] += figures.Rejected
	seen["unjoined connection evicted"] += figures.Evicted
	seen["invalid message dropped"] += figures.InvalidMessages
	seen["connection closed for malformed data"] += figures.BrokenConnections
	seen["stale acknowledgement"] += figures.StaleAcknowledgements
	seen["idle connection closed"] += figures.IdleClosed
	seen["outdated probe"] += figures.OutdatedProbes
}

// step makes one step of the machine and advances the time, at most to the time that the machine asks for.
func (s *script) step() {
	s.runTimers()
	if s.dice.Float64() < s.phase.faults {
		s.injectFault()
	}
	s.deliver()
	out := &statemachine.Effects{}
	out.Reset()
	s.machine.Step(s.now, s.inputs, out)
	s.inputs = nil
	s.recording.step(s.now, out)
	for _, act := range out.Actions {
		s.react(act)
	}
	next := s.now + 0.002 + 0.25*s.dice.Float64()
	for _, timer := range s.timers {
		next = min(next, max(timer.due, s.now+0.0001))
	}
	s.now = min(next, out.WakeAt)
}

func (s *script) after(delay statemachine.Seconds, do func()) {
	s.timers = append(s.timers, scriptTimer{s.now + delay, do})
}

func (s *script) runTimers() {
	waiting := s.timers
	s.timers = nil
	for _, timer := range waiting {
		if timer.due <= s.now {
			timer.do()
		} else {
			s.timers = append(s.timers, timer)
		}
	}
}

// saw counts an occurrence for the checks of coverage.
func (s *script) saw(what string) { s.recording.seen[what]++ }

// oneOf draws an element.
func oneOf[T any](dice *rand.Rand, all []T) T { return all[dice.IntN(len(all))] }

// changeBackends drains, removes, restarts and adds backends, one after the other.
func (s *script) changeBackends() {
	s.after(0.5, func() { s.discovery.set(s, 3, "leaving", 0) })
	s.after(2, func() { s.discovery.set(s, 4, "left", 0) })
	s.after(4, func() { s.discovery.set(s, 4, "active", s.now) })
	s.after(5, func() { s.discovery.set(s, 3, "left", 0) })
	s.after(6, func() { s.discovery.set(s, 0, "active", s.now) })
	s.after(8, func() { s.discovery.set(s, 3, "active", s.now) })
	s.after(9, func() { s.discovery.set(s, scriptBackendCount-1, "active", s.now) })
}

// failDiscovery makes discovery fail in each of its modes, while a backend changes.
func (s *script) failDiscovery() {
	for number, mode := range discoveryModes {
		begin := 12 * float64(number)
		s.after(begin, func() {
			s.discovery.mode = mode
			s.discovery.set(s, 1, "active", 0)
		})
		s.after(begin+8, func() { s.discovery.mode = "" })
	}
}

// startReports sends the reports of proxies and collectors each second.
func (s *script) startReports() {
	s.after(1, s.startReports)
	for _, zone := range []string{"a", "b"} {
		collectors := slices.DeleteFunc(slices.Clone(s.peers), func(p *scriptPeer) bool { return p.role != scriptCollector || p.zone != zone })
		if len(collectors) == 0 {
			s.connectCollector(zone)
			continue
		}
		s.reportAttempts(collectors[len(collectors)-1])
	}
	for _, proxy := range s.proxies {
		if proxy.peer != nil {
			s.reportUsage(proxy)
		}
	}
}

func (s *script) reportUsage(proxy *scriptProxy) {
	for _, class := range []string{"read", "submit"} {
		tries := s.dice.IntN(s.phase.requests + 1)
		failed := int(float64(tries) * s.phase.failing)
		proxy.peer.send("client_stats proxy=%d class=%s tries=%d failed=%d span_ms=1000\r\n", proxy.number, class, tries, failed)
		s.saw("usage report")
	}
}

func (s *script) reportAttempts(collector *scriptPeer) {
	for number, backend := range s.discovery.backends {
		if backend.health == "left" || slices.Contains(s.phase.silent, number) {
			continue
		}
		tries := s.dice.IntN(2*s.phase.requests + 1)
		failed := int(float64(tries) * s.phase.failing)
		if slices.Contains(s.phase.sick, number) {
			failed = tries
		}
		load := ""
		if s.dice.IntN(2) == 0 {
			load = fmt.Sprintf(" load=cpu:%.2f,queue:%d", s.dice.Float64(), s.dice.IntN(9))
		}
		collector.send("upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=1000%s\r\n",
			collector.zone, backend.name, tries, failed, s.phase.delay*(0.8+0.4*s.dice.Float64()), load)
		s.saw("attempt report")
	}
}
