package emulator

import "math"

// fastFailureDelay is the time from the arrival of an RPC that a fault makes fail to its reply.
const fastFailureDelay Seconds = 0.002

// job is a unit of work that is queued or running on a core: an RPC, or overhead such as accepting a connection.
type job struct {
	conn            ConnID
	rpc             RPC
	deadline        Seconds // when the client of the RPC gives up; infinite for overhead
	workLeft        Seconds // work that is not done yet, in seconds on a core of speed 1
	workLeftAt      Seconds // when workLeft was last computed
	overhead        bool    // not an RPC: there is no reply
	timerGeneration int     // counts the timers that were set for the job, so that a timer that was replaced is recognized and ignored
	cancelled       bool
}

// Submit handles an attempt that arrives on a connection: it is queued, rejected or fails, or makes the backend collapse.
func (m *Model) Submit(connID ConnID, rpc RPC) {
	conn := m.conns[connID]
	if conn == nil || m.collapsed {
		return
	}
	if conn.handshaking {
		conn.pendingRPCs = append(conn.pendingRPCs, rpc)
		return
	}
	work := m.config.workOf(rpc.Method).Sample(&m.random) * m.drawWorkFactor()
	if m.addArrival(work) {
		m.collapse()
		return
	}
	queueFull := len(m.queue) >= m.config.QueueLimit
	switch {
	case m.faults.hangCount > 0 && queueFull:
		// A backend that hangs does not even reject the RPCs that find its queue full.
	case m.drawFailure(rpc.Method, conn.coordinator):
		m.schedule(m.now+fastFailureDelay, func() { m.reply(connID, rpc.ID, StatusAborted) })
	case m.draining, queueFull && len(m.running) >= m.config.Cores:
		m.reply(connID, rpc.ID, StatusRejected)
	default:
		m.enqueue(connID, rpc, work)
	}
}

// enqueue queues an RPC. A cache hit saves part of its work.
func (m *Model) enqueue(connID ConnID, rpc RPC, work Seconds) {
	if m.config.CacheSize > 0 && rpc.CacheKey != 0 && m.cache.access(rpc.CacheKey) {
		work *= 1 - m.config.CacheSavings
	}
	queued := &job{conn: connID, rpc: rpc, deadline: m.now + rpc.TimeLeft, workLeft: work}
	m.queue = append(m.queue, queued)
	if m.config.CancelPolicy == CancelRunning {
		m.schedule(queued.deadline, func() {
			queued.cancelled = true
			m.stopRunning(func(running *job) bool { return running == queued })
		})
	}
	m.dispatch()
}

// addOverhead queues work that is not an RPC.
func (m *Model) addOverhead(work Seconds) {
	m.queue = append(m.queue, &job{workLeft: work, overhead: true, deadline: math.Inf(1)})
	m.dispatch()
}

// dispatch starts queued jobs on free cores.
func (m *Model) dispatch() {
	for len(m.running) < m.config.Cores && len(m.queue) > 0 && m.faults.hangCount == 0 {
		next := m.queue[0]
		m.queue[0] = nil
		m.queue = m.queue[1:]
		if m.config.CancelPolicy != IgnoreCancel && (next.cancelled || m.now > next.deadline) {
			continue
		}
		m.recordExecution(next)
		next.workLeftAt = m.now
		m.running = append(m.running, next)
		m.scheduleFinish(next)
	}
}

// recordExecution reports the execution of a job, unless it is overhead or repeats an idempotency key.
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

// scheduleFinish sets the timer for the end of a running job at the current speed.
func (m *Model) scheduleFinish(running *job) {
	running.timerGeneration++
	generation := running.timerGeneration
	m.schedule(m.finishTime(m.now, running.workLeft), func() {
		if running.timerGeneration == generation {
			m.finish(running)
		}
	})
}

// finish ends a running job and frees its core.
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

// stopRunning stops the running RPCs that match, without a reply.
func (m *Model) stopRunning(matches func(*job) bool) {
	kept := m.running[:0]
	for _, running := range m.running {
		if matches(running) && !running.overhead {
			running.timerGeneration++
			continue
		}
		kept = append(kept, running)
	}
	clear(m.running[len(kept):])
	m.running = kept
	m.dispatch()
}

// changeSpeed makes a change that affects the speed of running jobs. It first subtracts the work that they have done so far
// at the old speed, and then schedules their ends at the new one.
func (m *Model) changeSpeed(change func()) {
	if m.faults.hangCount == 0 {
		for _, running := range m.running {
			running.workLeft = max(0, running.workLeft-m.workDone(running.workLeftAt, m.now))
		}
	}
	change()
	for _, running := range m.running {
		running.workLeftAt = m.now
		running.timerGeneration++
		if m.faults.hangCount == 0 {
			m.scheduleFinish(running)
		}
	}
	m.dispatch()
}
