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
	scriptProxyCount     = 12
	scriptBackendCount   = 10
	scriptMaxConnections = 26     // the machine's limit on open connections
	scriptStartTime      = 1000.0 // seconds
)

// script drives a machine and plays all of its peers: discovery, backends, proxies, collectors and connections that never join.
// All random choices are drawn from one generator, and peers are kept in slices, whose order is fixed, so that a seed always
// gives the same inputs.
type script struct {
	t                *testing.T
	random           *rand.Rand
	recording        *recording
	machine          *Machine
	boot             Bootstrap
	now              statemachine.Seconds
	peers            []*scriptPeer
	lastAccepted     statemachine.Conn    // number of the last connection that was opened to the machine
	inputs           []statemachine.Input // for the next step
	timers           []scriptTimer
	discovery        *scriptDiscovery
	proxies          []*scriptProxy
	phase            scriptPhase
	probeCount       int // probes of backends that are not silent
	silentProbeCount int // probes of silent backends
}

// scriptTimer is a function to be called at a time.
type scriptTimer struct {
	dueAt statemachine.Seconds
	run   func()
}

// scriptPhase is a period of the script with its own load and faults.
type scriptPhase struct {
	name             string
	duration         statemachine.Seconds
	onStart          func(*script) // called when the phase begins; may be nil
	faultProbability float64       // probability that a step injects one of scriptFaults
	maxUsageRate     int           // most RPCs per second of each method at a proxy; a zone reports up to twice as many attempts at a backend
	failureShare     float64       // share of RPCs and attempts that fail
	meanLatencyMs    float64       // of successful attempts; reports vary it by up to 20%
	failingBackends  []int         // backends whose attempts all fail
	silentBackends   []int         // backends without attempt reports, which respond to few probes
}

// scriptPhases are the phases in their order. Their names are written to the recording, so a change of a name changes the sums.
var scriptPhases = []scriptPhase{
	{name: "start", duration: 6, maxUsageRate: 8, meanLatencyMs: 80},
	{name: "steady", duration: 15, maxUsageRate: 12, meanLatencyMs: 90},
	{name: "list changes", duration: 12, maxUsageRate: 12, meanLatencyMs: 90, onStart: (*script).changeBackends},
	{name: "sick servers", duration: 25, maxUsageRate: 20, meanLatencyMs: 90, failureShare: 0.01, failingBackends: []int{2}, silentBackends: []int{5, 6}},
	{name: "recovery", duration: 20, maxUsageRate: 12, meanLatencyMs: 90},
	{name: "overload", duration: 20, maxUsageRate: 60, meanLatencyMs: 900, failureShare: 0.4},
	{name: "relief", duration: 20, maxUsageRate: 10, meanLatencyMs: 80},
	{name: "discovery failures", duration: 122, maxUsageRate: 12, meanLatencyMs: 90, onStart: (*script).failDiscovery},
	{name: "accidents", duration: 90, maxUsageRate: 15, meanLatencyMs: 120, failureShare: 0.02, faultProbability: 0.4, failingBackends: []int{1}, silentBackends: []int{7}},
	{name: "pause", duration: 10, maxUsageRate: 10, meanLatencyMs: 80, onStart: func(s *script) { s.now += 5 }},
	{name: "restart", duration: 15, maxUsageRate: 10, meanLatencyMs: 80, onStart: (*script).restart},
	{name: "accidents after the restart", duration: 40, maxUsageRate: 15, meanLatencyMs: 100, failureShare: 0.05, faultProbability: 0.3, silentBackends: []int{3}},
	{name: "names are forgotten", duration: 20, maxUsageRate: 10, meanLatencyMs: 80, onStart: (*script).forgetBackends},
}

// newScript returns a script with a new machine.
func newScript(t *testing.T, variant recordingVariant) *script {
	created := &script{t: t, random: rand.New(rand.NewPCG(variant.seed, 1)), recording: newRecording(t), now: scriptStartTime}
	values := testSettings(scriptProxyCount, 2)
	for name, value := range variant.settings {
		values[name] = value
	}
	created.boot = Bootstrap{
		Name: "c0", Discovery: "discovery-1:80", Module: choice.Config{Seed: variant.seed, Now: created.now, Settings: choice.DecodeSettings(values)},
		MaxConnections: scriptMaxConnections, MaxProbes: 3, MaxResponseBytes: 1 << 16, HandshakeTimeout: 1,
	}
	created.discovery = newScriptDiscovery()
	for number := range scriptProxyCount {
		created.proxies = append(created.proxies, &scriptProxy{number: number, zone: scriptZone(number)})
	}
	created.startMachine()
	return created
}

// scriptZone returns the zone of the proxy or backend with the given number.
func scriptZone(number int) string { return string(rune('a' + number%2)) }

// startMachine starts a new machine with the current configuration.
func (s *script) startMachine() {
	s.boot.Module.Now = s.now
	m, err := New(s.boot)
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = m
}

// restart replaces the machine by a new one, which gets discovery's list as its cached list. All connections are lost, and the
// proxies connect again.
func (s *script) restart() {
	s.addMachineStats()
	s.endLastingFaults()
	s.peers, s.inputs, s.timers, s.discovery.longPollPeer = nil, nil, nil, nil
	for _, proxy := range s.proxies {
		proxy.peer = nil
		s.reconnect(proxy)
	}
	s.boot.CachedList = s.discovery.listJSON(true, 0)
	s.startMachine()
	s.startReports()
}

// endLastingFaults ends discovery's failures and has all proxies acknowledge pushes.
func (s *script) endLastingFaults() {
	s.discovery.failureMode = ""
	for _, proxy := range s.proxies {
		proxy.withholdsAcks = false
	}
}

// forgetBackends lets the retention time of removed backends' names pass and then lists the backends again.
func (s *script) forgetBackends() {
	s.endLastingFaults()
	s.now += nameRetention + 10
	s.after(5, func() {
		for number, backend := range s.discovery.backends {
			if backend.health != "active" {
				s.discovery.setBackend(s, number, "active", s.now)
			}
		}
	})
}

// play runs all phases.
func (s *script) play() {
	for _, proxy := range s.proxies {
		s.after(0.2*s.random.Float64(), func() { s.joinProxy(proxy, true) })
	}
	s.startReports()
	for _, phase := range scriptPhases {
		s.recording.addLine("phase %q", phase.name)
		s.phase = phase
		if phase.onStart != nil {
			phase.onStart(s)
		}
		for end := s.now + phase.duration; s.now < end; {
			s.step()
		}
	}
	s.addMachineStats()
}

// addMachineStats adds the machine's stats to the occurrences, and fails the test if anything has panicked.
func (s *script) addMachineStats() {
	stats := s.machine.Stats()
	if stats.InputPanics+stats.PlannerRestarts > 0 {
		s.t.Errorf("handling %d inputs panicked, and the decision module was restarted %d times; want 0", stats.InputPanics, stats.PlannerRestarts)
	}
	occurrences := s.recording.occurrences
	occurrences["stream replaced"] += stats.TakenOver
	occurrences["connection rejected"] += stats.Rejected
	occurrences["unjoined connection evicted"] += stats.Evicted
	occurrences["invalid message dropped"] += stats.InvalidMessages
	occurrences["connection closed for malformed data"] += stats.BrokenConnections
	occurrences["stale acknowledgement"] += stats.StaleAcknowledgements
	occurrences["idle connection closed"] += stats.IdleClosed
	occurrences["outdated probe"] += stats.OutdatedProbes
}

// step makes one step of the machine and advances the time: by at most 0.252 s, and no further than to the next timer or to the
// time at which the machine wants its next step.
func (s *script) step() {
	s.runTimers()
	if s.random.Float64() < s.phase.faultProbability {
		s.injectFault()
	}
	s.deliverData()
	out := &statemachine.Effects{}
	out.Reset()
	s.machine.Step(s.now, s.inputs, out)
	s.inputs = nil
	s.recording.addStep(s.now, out)
	for _, action := range out.Actions {
		s.executeAction(action)
	}
	next := s.now + 0.002 + 0.25*s.random.Float64()
	for _, timer := range s.timers {
		next = min(next, max(timer.dueAt, s.now+0.0001))
	}
	s.now = min(next, out.WakeAt)
}

// after calls a function in the first step after a delay.
func (s *script) after(delay statemachine.Seconds, run func()) {
	s.timers = append(s.timers, scriptTimer{s.now + delay, run})
}

// runTimers calls the functions of the timers that are due.
func (s *script) runTimers() {
	pending := s.timers
	s.timers = nil
	for _, timer := range pending {
		if timer.dueAt <= s.now {
			timer.run()
		} else {
			s.timers = append(s.timers, timer)
		}
	}
}

// count counts an event for checkCoverage.
func (s *script) count(event string) { s.recording.occurrences[event]++ }

// randomElement draws an element of a slice.
func randomElement[T any](random *rand.Rand, elements []T) T {
	return elements[random.IntN(len(elements))]
}

// changeBackends drains, removes, restarts and adds backends, one after another.
func (s *script) changeBackends() {
	s.after(0.5, func() { s.discovery.setBackend(s, 3, "leaving", 0) })
	s.after(2, func() { s.discovery.setBackend(s, 4, "left", 0) })
	s.after(4, func() { s.discovery.setBackend(s, 4, "active", s.now) })
	s.after(5, func() { s.discovery.setBackend(s, 3, "left", 0) })
	s.after(6, func() { s.discovery.setBackend(s, 0, "active", s.now) })
	s.after(8, func() { s.discovery.setBackend(s, 3, "active", s.now) })
	s.after(9, func() { s.discovery.setBackend(s, scriptBackendCount-1, "active", s.now) })
}

// failDiscovery makes discovery fail for 8 s in each of its failure modes, with 4 s between them in which it succeeds. A backend
// changes at the beginning of each failure.
func (s *script) failDiscovery() {
	for number, mode := range discoveryFailureModes {
		start := 12 * float64(number)
		s.after(start, func() {
			s.discovery.failureMode = mode
			s.discovery.setBackend(s, 1, "active", 0)
		})
		s.after(start+8, func() { s.discovery.failureMode = "" })
	}
}

// startReports sends the reports of all proxies and collectors, at once and then every second. In a zone without a collector,
// one joins instead.
func (s *script) startReports() {
	s.after(1, s.startReports)
	for _, zone := range []string{"a", "b"} {
		collectors := slices.DeleteFunc(slices.Clone(s.peers), func(p *scriptPeer) bool { return p.role != peerCollector || p.zone != zone })
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

// reportUsage sends the usage reports of a proxy for one second.
func (s *script) reportUsage(proxy *scriptProxy) {
	for _, method := range []string{"read", "submit"} {
		rpcs := s.random.IntN(s.phase.maxUsageRate + 1)
		failures := int(float64(rpcs) * s.phase.failureShare)
		proxy.peer.send("client_stats proxy=%d class=%s tries=%d failed=%d span_ms=1000\r\n", proxy.number, method, rpcs, failures)
		s.count("usage report")
	}
}

// reportAttempts sends a collector's attempt reports for one second.
func (s *script) reportAttempts(collector *scriptPeer) {
	for number, backend := range s.discovery.backends {
		if backend.health == "left" || slices.Contains(s.phase.silentBackends, number) {
			continue
		}
		attempts := s.random.IntN(2*s.phase.maxUsageRate + 1)
		failures := int(float64(attempts) * s.phase.failureShare)
		if slices.Contains(s.phase.failingBackends, number) {
			failures = attempts
		}
		load := ""
		if s.random.IntN(2) == 0 {
			load = fmt.Sprintf(" load=cpu:%.2f,queue:%d", s.random.Float64(), s.random.IntN(9))
		}
		collector.send("upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=1000%s\r\n",
			collector.zone, backend.name, attempts, failures, s.phase.meanLatencyMs*(0.8+0.4*s.random.Float64()), load)
		s.count("attempt report")
	}
}
