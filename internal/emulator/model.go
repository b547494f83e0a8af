package emulator

import (
	"math"

	"gingerfork/internal/eventqueue"
)

// Model emulates one backend. Its driver has to call Advance with the current time before it calls any other method.
type Model struct {
	config    Config
	startedAt Seconds // when the backend's process started; if it is warm at once, Config.WarmupTime before the model was created
	now       Seconds
	random    Random
	timers    eventqueue.Queue[func()]
	effects   []Effect

	conns       map[ConnID]*clientConn
	queue       []*job
	running     []*job // jobs on a core, in the order in which they started
	probes      int    // probes that are not answered yet
	cache       cache
	overload    overloadWindow
	loadSamples []loadSample // loads from the last one at least Config.ReportDelay old on, oldest first; empty without a ReportDelay
	faults      faults
	draining    bool
	collapsed   bool
}

// NewModel returns a backend whose process starts now; unless it starts cold, it is warm at once.
func NewModel(config Config, now Seconds) *Model {
	model := &Model{
		config: config, startedAt: now, now: now, random: NewRandom(config.Seed), conns: map[ConnID]*clientConn{},
		cache: cache{size: config.CacheSize}, faults: noFaults(),
	}
	if !config.StartsCold {
		model.startedAt = now - config.WarmupTime
	}
	return model
}

// HasCollapsed reports whether the backend has collapsed under overload.
func (m *Model) HasCollapsed() bool { return m.collapsed }

// Advance runs the timers that are due by a time. It returns their effects, together with those of the method calls since
// the last Advance.
func (m *Model) Advance(now Seconds) []Effect {
	for at, ok := m.timers.NextTime(); ok && at <= now; at, ok = m.timers.NextTime() {
		callback := m.timers.Pop()
		m.now = max(m.now, at)
		callback()
	}
	m.now = now
	effects := m.effects
	m.effects = nil
	return effects
}

// NextTimer returns the time by which Advance has to be called next; +Inf if no timer is set.
func (m *Model) NextTimer() Seconds {
	if at, ok := m.timers.NextTime(); ok {
		return at
	}
	return math.Inf(1)
}

func (m *Model) schedule(at Seconds, callback func()) {
	m.timers.Push(max(at, m.now), callback)
}

func (m *Model) emit(effect Effect) { m.effects = append(m.effects, effect) }

// Drain makes the backend complete the RPCs that it has and reject new ones.
func (m *Model) Drain() { m.draining = true }

// collapse ends all work and all connections permanently.
func (m *Model) collapse() {
	m.collapsed = true
	m.emit(Collapsed{})
	m.queue = nil
	m.running = nil
	m.timers = eventqueue.Queue[func()]{}
	clear(m.conns)
}

// Capacity returns how many RPCs of a method per second the backend can execute at present, given its faults. Faults that
// affect only some clients or connections are not considered.
func (m *Model) Capacity(now Seconds, method int) float64 {
	if m.collapsed || m.faults.hangCount > 0 || m.faults.failsMethod(method) {
		return 0
	}
	meanWork := m.config.workOf(method).Mean * m.faults.meanWorkFactor()
	workPerSecond := float64(m.config.Cores) * m.config.Speed * m.WarmupFactor(now) / m.faults.slowdown
	return workPerSecond / meanWork * (1 - m.faults.failShare)
}
