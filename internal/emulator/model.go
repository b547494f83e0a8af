package emulator

import (
	"math"

	"gingerfork/internal/eventqueue"
)

// Model is one backend. Its driver brings the model to the present with Advance before it calls anything else.
type Model struct {
	config    Config
	startedAt Seconds
	now       Seconds
	random    Random
	timers    eventqueue.Queue[func()]
	effects   []Effect

	conns     map[ConnID]*clientConn
	queue     []*job
	running   []*job // in the order in which they began
	probes    int    // in flight
	cache     cache
	overload  overloadWindow
	loads     []loadSample // with delayed reports, oldest first
	faults    faults
	draining  bool
	collapsed bool
}

// NewModel makes a backend whose process starts now.
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

// HasCollapsed tells whether the backend collapsed under overload.
func (m *Model) HasCollapsed() bool { return m.collapsed }

// Advance brings the model to a time and gives what it did on the way, and what calls since the last Advance made it do.
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

// NextTimer is when Advance must be called at the latest; +Inf: there is no need to.
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

// Drain makes the backend finish what it has and reject what is new.
func (m *Model) Drain() { m.draining = true }

// collapse ends all work and all connections for good.
func (m *Model) collapse() {
	m.collapsed = true
	m.emit(Collapsed{})
	m.queue = nil
	m.running = nil
	m.timers = eventqueue.Queue[func()]{}
	clear(m.conns)
}

// Capacity is the RPCs a second of a method that the backend can execute at present, with its faults. That some clients
// are rejected or get no answer does not count.
func (m *Model) Capacity(now Seconds, method int) float64 {
	if m.collapsed || m.faults.hangs > 0 || m.faults.failsMethod(method) {
		return 0
	}
	meanWork := m.config.workOf(method).Mean * m.faults.meanCost()
	workPerSecond := float64(m.config.Cores) * m.config.Speed * m.WarmupFactor(now) / m.faults.slowdown
	return workPerSecond / meanWork * (1 - m.faults.failShare)
}
