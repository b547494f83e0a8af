package fake

import (
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// retryPolicy is the retry policy of a method, with the numbers that it has on the wire.
type retryPolicy uint64

const (
	retryNever    retryPolicy = iota
	retryRejected             // once, if the backend proved that it did not execute the RPC
	retryOnce                 // after any failure
	retryTwice                // after any failure
)

// minRetryTime is the time before the deadline after which an RPC is not retried.
const minRetryTime statemachine.Seconds = 0.05

// Reasons of retries, as they stand in the trace.
const (
	retryReasonRejected = "after proof"
	retryReasonUnknown  = "it may have run"
)

// timesOut tells whether an attempt is given up after the attempt timeout: if another may follow whatever became of it.
func (p retryPolicy) timesOut(attempts int) bool {
	return p >= retryOnce && attempts < int(p)
}

// allows tells whether a failed attempt may be followed by another.
func (p retryPolicy) allows(attempts int, mayHaveRun bool) bool {
	switch p {
	case retryRejected:
		return !mayHaveRun && attempts < 2
	case retryOnce:
		return attempts < 2
	case retryTwice:
		return attempts < 3
	}
	return false
}

// failureRecord is what this front end saw of a backend's failures; it outlives connections.
type failureRecord struct {
	consecutive int
	avoidUntil  statemachine.Seconds
}

// sendAttempt sends an attempt of an RPC to a backend and tells whether there was one. A first attempt without a backend
// rejects the RPC. The reason is that of a retry.
func (f *FrontEnd) sendAttempt(now statemachine.Seconds, call *rpc, reason string) bool {
	entry := f.pickBackend(now, call)
	if entry == nil {
		if call.attemptCount == 0 {
			f.finishRPC(now, call, proto.StatusRejected)
		}
		return false
	}
	backend := entry.backend
	conn := f.connTo(now, backend, entry.addr)
	f.sequence++
	call.attempt = f.sequence
	call.conn = conn
	call.sentAt = now
	call.attemptCount++
	call.triedBackends = append(call.triedBackends, backend)
	f.out.Record(trace.Record{
		Time: now, Kind: trace.AttemptSent, Party: f.config.Name, Coordinator: f.session.coordinator, Backend: backend, RPCID: call.id,
		Method: call.method, Count: int64(call.attemptCount), Text: reason,
	})
	conn.attempts[call.attempt] = call
	if conn.established {
		f.writeAttempt(now, conn, call)
	} else {
		conn.queued = append(conn.queued, call.attempt)
	}
	if f.retryPolicyOf(call.method).timesOut(call.attemptCount) {
		f.scheduleAttemptTimeout(now, call)
	}
	return true
}

func (f *FrontEnd) scheduleAttemptTimeout(now statemachine.Seconds, call *rpc) {
	attempt := call.attempt
	timeout := f.config.AttemptTimeoutRatio * f.config.Methods[call.method].SoftDeadline
	f.timers.schedule(now+timeout, func(now statemachine.Seconds) {
		if !call.finished && call.attempt == attempt {
			f.attemptFailed(now, call, true)
		}
	})
}

func (f *FrontEnd) writeAttempt(now statemachine.Seconds, conn *backendConn, call *rpc) {
	f.out.Write(conn.conn, proto.Append(nil, proto.RPC{
		ID: call.id, Method: uint64(call.method), IdempotencyKey: call.idempotencyKey, CacheKey: call.cacheKey,
		TimeLeft: max(0, call.arrivedAt+f.config.Methods[call.method].Deadline-now),
	}))
}

func (f *FrontEnd) handleReply(now statemachine.Seconds, conn *backendConn, reply proto.Reply) {
	if reply.HasLoad {
		conn.reportedLoad = reply.Load
		conn.loadReportedAt = now
	}
	call := f.rpcs[reply.ID]
	if call == nil || call.conn != conn {
		return // the attempt was given up before
	}
	switch reply.Status {
	case proto.StatusOK:
		f.endAttempt(now, call, true)
		f.finishRPC(now, call, proto.StatusOK)
	case proto.StatusRejected:
		f.attemptFailed(now, call, false)
	default:
		f.attemptFailed(now, call, true)
	}
}

// attemptFailed ends an attempt that failed, and retries the RPC or ends it, too.
func (f *FrontEnd) attemptFailed(now statemachine.Seconds, call *rpc, mayHaveRun bool) {
	f.endAttempt(now, call, false)
	status, reason := proto.StatusRejected, retryReasonRejected
	if mayHaveRun {
		status, reason = proto.StatusAborted, retryReasonUnknown
	}
	timeLeft := call.arrivedAt + f.config.Methods[call.method].Deadline - now
	retry := f.retryPolicyOf(call.method).allows(call.attemptCount, mayHaveRun) && timeLeft > minRetryTime
	if retry && f.sendAttempt(now, call, reason) {
		return
	}
	f.finishRPC(now, call, status)
}

// endAttempt takes an RPC's attempt, if there is one in flight, off its connection and counts how it ended.
func (f *FrontEnd) endAttempt(now statemachine.Seconds, call *rpc, succeeded bool) {
	conn := call.conn
	if conn == nil || call.attempt == 0 {
		return
	}
	delete(conn.attempts, call.attempt)
	if index := slices.Index(conn.queued, call.attempt); index >= 0 {
		conn.queued = slices.Delete(conn.queued, index, index+1)
	}
	f.reportSamples.addAttempt(conn.backend, succeeded, now-call.sentAt)
	f.updateFailures(now, conn.backend, succeeded)
	call.attempt = 0
	call.conn = nil
}

// updateFailures counts consecutive failures of a backend; at the limit the backend is avoided for a while.
func (f *FrontEnd) updateFailures(now statemachine.Seconds, backend proto.BackendID, succeeded bool) {
	record := f.failures[backend]
	if succeeded {
		record.consecutive = 0
	} else {
		record.consecutive++
		if f.config.FailureLimit > 0 && record.consecutive >= f.config.FailureLimit {
			record = failureRecord{avoidUntil: now + f.config.AvoidDuration}
		}
	}
	if record == (failureRecord{}) {
		delete(f.failures, backend)
	} else {
		f.failures[backend] = record
	}
}
