package fake

import (
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// retryPolicy tells when failed attempts of a method's RPCs are retried. The values are those on the wire.
type retryPolicy uint64

const (
	retryNever    retryPolicy = iota
	retryRejected             // one retry, if it is certain that the backend did not execute the RPC
	retryOnce                 // one retry after any failure
	retryTwice                // two retries after any failure
)

// minTimeLeftForRetry limits retries: an RPC is retried only if more than this time is left until its deadline.
const minTimeLeftForRetry statemachine.Seconds = 0.05

// Reasons of retries, as written to the trace.
const (
	retryReasonRejected = "after proof"     // the backend did not execute the RPC
	retryReasonUnknown  = "it may have run" // the backend may have executed the RPC
)

// usesAttemptTimeout reports whether the last of a number of attempts is given up after the attempt timeout. This is so if the
// policy allows another attempt even though the backend may have executed the RPC.
func (p retryPolicy) usesAttemptTimeout(attempts int) bool {
	return p >= retryOnce && attempts < int(p)
}

// allowsRetry reports whether the last of a number of attempts, which failed, may be followed by another one.
func (p retryPolicy) allowsRetry(attempts int, mayHaveRun bool) bool {
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

// failureRecord counts the failures of a backend's attempts. The record is kept when the connection to the backend ends.
type failureRecord struct {
	consecutive int
	avoidUntil  statemachine.Seconds // until when other backends are preferred to this one; 0: not avoided
}

// sendAttempt picks a backend and sends it an attempt of an RPC. It returns false if there is no backend to pick; if that was to be
// the first attempt, the RPC is rejected. reason is the reason for a retry, or empty.
func (f *FrontEnd) sendAttempt(now statemachine.Seconds, call *rpc, reason string) bool {
	entry := f.pickBackend(now, call)
	if entry == nil {
		if call.attemptCount == 0 {
			f.finishRPC(now, call, proto.StatusRejected)
		}
		return false
	}
	backend := entry.backend
	conn := f.connForBackend(now, backend, entry.addr)
	f.sequence++
	call.attemptID = f.sequence
	call.conn = conn
	call.attemptSentAt = now
	call.attemptCount++
	call.triedBackends = append(call.triedBackends, backend)
	f.out.Record(trace.Record{
		Time: now, Kind: trace.AttemptSent, Party: f.config.Name, Coordinator: f.session.coordinator, Backend: backend, RPCID: call.id,
		Method: call.method, Count: int64(call.attemptCount), Text: reason,
	})
	conn.attempts[call.attemptID] = call
	if conn.established {
		f.writeAttempt(now, conn, call)
	} else {
		conn.queued = append(conn.queued, call.attemptID)
	}
	if f.retryPolicyOf(call.method).usesAttemptTimeout(call.attemptCount) {
		f.scheduleAttemptTimeout(now, call)
	}
	return true
}

// scheduleAttemptTimeout has the RPC's current attempt fail if the attempt is still in flight after the attempt timeout.
func (f *FrontEnd) scheduleAttemptTimeout(now statemachine.Seconds, call *rpc) {
	attemptID := call.attemptID
	timeout := f.config.AttemptTimeoutRatio * f.config.Methods[call.method].SoftDeadline
	f.timers.schedule(now+timeout, func(now statemachine.Seconds) {
		if !call.finished && call.attemptID == attemptID {
			f.attemptFailed(now, call, true)
		}
	})
}

// writeAttempt writes an RPC to an established connection.
func (f *FrontEnd) writeAttempt(now statemachine.Seconds, conn *backendConn, call *rpc) {
	f.out.Write(conn.id, proto.Append(nil, proto.RPC{
		ID: call.id, Method: uint64(call.method), IdempotencyKey: call.idempotencyKey, CacheKey: call.cacheKey,
		TimeLeft: max(0, call.arrivedAt+f.config.Methods[call.method].Deadline-now),
	}))
}

// handleReply notes the load that the backend reported and ends the attempt that the reply belongs to.
func (f *FrontEnd) handleReply(now statemachine.Seconds, conn *backendConn, reply proto.Reply) {
	if reply.HasLoad {
		conn.reportedLoad = reply.Load
		conn.loadReportedAt = now
	}
	call := f.rpcs[reply.ID]
	if call == nil || call.conn != conn {
		return // the attempt was given up earlier
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

// attemptFailed ends a failed attempt and then retries the RPC or finishes it. mayHaveRun is false if it is certain that the backend
// did not execute the RPC.
func (f *FrontEnd) attemptFailed(now statemachine.Seconds, call *rpc, mayHaveRun bool) {
	f.endAttempt(now, call, false)
	status, reason := proto.StatusRejected, retryReasonRejected
	if mayHaveRun {
		status, reason = proto.StatusAborted, retryReasonUnknown
	}
	timeLeft := call.arrivedAt + f.config.Methods[call.method].Deadline - now
	retry := f.retryPolicyOf(call.method).allowsRetry(call.attemptCount, mayHaveRun) && timeLeft > minTimeLeftForRetry
	if retry && f.sendAttempt(now, call, reason) {
		return
	}
	f.finishRPC(now, call, status)
}

// endAttempt removes the RPC's attempt in flight, if any, from its connection and counts its result for reports and for the failure
// limit.
func (f *FrontEnd) endAttempt(now statemachine.Seconds, call *rpc, succeeded bool) {
	conn := call.conn
	if conn == nil || call.attemptID == 0 {
		return
	}
	delete(conn.attempts, call.attemptID)
	if index := slices.Index(conn.queued, call.attemptID); index >= 0 {
		conn.queued = slices.Delete(conn.queued, index, index+1)
	}
	f.reportSamples.addAttempt(conn.backend, succeeded, now-call.attemptSentAt)
	f.updateFailures(now, conn.backend, succeeded)
	call.attemptID = 0
	call.conn = nil
}

// updateFailures counts the consecutive failures of a backend. At the failure limit the backend is avoided for the configured time.
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
