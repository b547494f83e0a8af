package emulator

import "math"

// fastFailureDelay is after how long an RPC that a fault makes fail is answered.
const fastFailureDelay Seconds = 0.002

// job is an RPC, or overhead such as a probe, on its way through the queue and a core.
type job struct {
	conn       ConnID
	rpc        RPC
	deadline   Seconds // of its client
	workLeft   Seconds
	countedAt  Seconds // workLeft is as of then
	overhead   bool    // nobody waits for it
	generation int     // counts its timers, so that one that was replaced is ignored
	cancelled  bool
}

// Submit brings an attempt of an RPC.
func (m *Model) Submit(connID ConnID, call RPC) {
	conn := m.conns[connID]
	if conn == nil || m.collapsed {
		return
	}
	if conn.handshaking {
		conn.pending = append(conn.pending, call)
		return
	}
	work := m.config.workOf(call.Method).Sample(&m.random) * m.drawCostFactor()
	if m.addArrival(work) {
		m.collapse()
		return
	}
	queueFull := len(m.queue) >= m.config.QueueLimit
	switch {
	case m.faults.hangs > 0 && queueFull:
		// A backend that hangs does not even reject.
	case m.drawFailure(call.Method, conn.coordinator):
		m.schedule(m.now+fastFailureDelay, func() { m.reply(connID, call.ID, StatusAborted) })
	case m.draining, queueFull && len(m.running) >= m.config.Cores:
		m.reply(connID, call.ID, StatusRejected)
	default:
		m.enqueue(connID, call, work)
	}
}

func (m *Model) enqueue(connID ConnID, call RPC, work Seconds) {
	if m.config.CacheSize > 0 && call.CacheKey != 0 && m.cache.access(call.CacheKey) {
		work *= 1 - m.config.CacheSavings
	}
	queued := &job{conn: connID, rpc: call, deadline: m.now + call.TimeLeft, workLeft: work}
	m.queue = append(m.queue, queued)
	if m.config.CancelPolicy == CancelRunning {
		m.schedule(queued.deadline, func() {
			queued.cancelled = true
			m.stopRunning(func(running *job) bool { return running == queued })
		})
	}
	m.dispatch()
}

// addOverhead adds work that nobody waits for.
func (m *Model) addOverhead(work Seconds) {
	m.queue = append(m.queue, &job{workLeft: work, overhead: true, deadline: math.Inf(1)})
	m.dispatch()
}

// dispatch gives queued jobs to free cores.
func (m *Model) dispatch() {
	for len(m.running) < m.config.Cores && len(m.queue) > 0 && m.faults.hangs == 0 {
		next := m.queue[0]
		m.queue[0] = nil
		m.queue = m.queue[1:]
		if m.config.CancelPolicy != IgnoreCancel && (next.cancelled || m.now > next.deadline) {
			continue
		}
		m.recordExecution(next)
		next.countedAt = m.now
		m.running = append(m.running, next)
		m.scheduleFinish(next)
	}
}

// recordExecution tells that a job takes effect, unless it is overhead or repeats an idempotency key.
func (m *Model) recordExecution(started *job) {
	if started.overhead {
		return
	}
	key := started.rpc.IdempotencyKey
	if key != 0 && m.config.IdempotencyKeys != nil && !m.config.IdempotencyKeys.FirstUse(key, m.config, m.now) {
		return
	}
	m.emit(Executed{started.rpc})
	if m.config.Executions != nil {
		m.config.Executions.Record(started.rpc, m.config.Backend, m.now)
	}
}

// scheduleFinish sets the timer for the end of a running job, as fast as work proceeds at present.
func (m *Model) scheduleFinish(running *job) {
	running.generation++
	generation := running.generation
	m.schedule(m.finishTime(m.now, running.workLeft), func() {
		if running.generation == generation {
			m.finish(running)
		}
	})
}

func (m *Model) finish(finished *job) {
	for i, running := range m.running {
		if running == finished {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	if !finished.overhead {
		m.reply(finished.conn, finished.rpc.ID, StatusOK)
	}
	m.dispatch()
}

// stopRunning takes the RPCs that match off their cores.
func (m *Model) stopRunning(matches func(*job) bool) {
	kept := m.running[:0]
	for _, running := range m.running {
		if matches(running) && !running.overhead {
			running.generation++
			continue
		}
		kept = append(kept, running)
	}
	clear(m.running[len(kept):])
	m.running = kept
	m.dispatch()
}

// changePace makes a change to how fast work proceeds: first the running jobs are counted as far as they got, and then
// their ends are scheduled anew.
func (m *Model) changePace(change func()) {
	if m.faults.hangs == 0 {
		for _, running := range m.running {
			running.workLeft = max(0, running.workLeft-m.workDone(running.countedAt, m.now))
		}
	}
	change()
	for _, running := range m.running {
		running.countedAt = m.now
		running.generation++
		if m.faults.hangs == 0 {
			m.scheduleFinish(running)
		}
	}
	m.dispatch()
}
