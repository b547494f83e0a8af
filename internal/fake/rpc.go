package fake

import (
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

// maxClientBackoffDoublings is the maximum number of doublings of a client's retry backoff.
const maxClientBackoffDoublings = 10

// rpc is one RPC of a client.
type rpc struct {
	id             uint64
	method         int
	arrivedAt      statemachine.Seconds
	idempotencyKey uint64 // 0: none
	cacheKey       uint64 // 0: none
	finished       bool
	clientRetries  int // how often the client has already sent this RPC before, each time as an RPC of its own

	attemptID     uint64       // ID of the attempt in flight; 0: none
	conn          *backendConn // connection of the attempt in flight
	attemptSentAt statemachine.Seconds
	attemptCount  int // attempts sent so far
	triedBackends []proto.BackendID
}

// clientTraffic generates the RPCs that clients send to a front end.
type clientTraffic struct {
	source *traffic.Source
	rate   float64 // RPCs per second
	// arrivalGeneration counts scheduled arrivals. The timer of an arrival that was replaced has a lower number and is ignored.
	arrivalGeneration uint64
	maxDelay          statemachine.Seconds // longest time by which an arrival was handled late, since the last ScheduleDelay record in the trace
	idPrefix          uint64               // upper 32 bits of RPC IDs
}

// startTraffic creates the source of the clients' RPCs and schedules the first arrival.
func (f *FrontEnd) startTraffic(now statemachine.Seconds) {
	start := f.config.TrafficStart
	if start == 0 {
		start = now
	}
	mix := make([]float64, 0, len(f.config.Methods))
	for _, method := range f.config.Methods {
		mix = append(mix, method.Share)
	}
	f.clientTraffic.idPrefix = f.idPrefix()
	f.clientTraffic.source = traffic.NewSource(f.config.Seed, f.clientTraffic.rate, f.config.Shape, mix, f.config.Keys, start)
	f.scheduleArrival(now)
}

// setRate changes the rate of the traffic and draws the next arrival again.
func (f *FrontEnd) setRate(now statemachine.Seconds, rate float64) {
	f.clientTraffic.rate = rate
	f.clientTraffic.source.SetRate(rate)
	f.scheduleArrival(now)
}

// scheduleArrival sets the timer of the next arrival and replaces an earlier one. Each arrival is drawn from the time at which the
// one before was due, not from when it was handled, so that a pause does not reduce the traffic.
func (f *FrontEnd) scheduleArrival(after statemachine.Seconds) {
	f.clientTraffic.arrivalGeneration++
	generation := f.clientTraffic.arrivalGeneration
	arrival, ok := f.clientTraffic.source.Next(after)
	if !ok {
		return
	}
	f.timers.schedule(arrival.At, func(now statemachine.Seconds) {
		if f.clientTraffic.arrivalGeneration != generation {
			return
		}
		f.clientTraffic.maxDelay = max(f.clientTraffic.maxDelay, now-max(arrival.At, f.pausedUntil))
		f.scheduleArrival(arrival.At)
		f.handleArrival(now, arrival)
	})
}

// handleArrival starts an RPC that arrived from a client.
func (f *FrontEnd) handleArrival(now statemachine.Seconds, arrival traffic.Arrival) {
	call := &rpc{id: f.nextRPCID(), arrivedAt: arrival.At, method: arrival.Method, cacheKey: arrival.Key}
	if f.config.Methods[call.method].Repeatability == IdempotentWithKey {
		call.idempotencyKey = call.id
	}
	f.startRPC(now, call)
}

// nextRPCID returns an ID that is unique among all front ends.
func (f *FrontEnd) nextRPCID() uint64 {
	f.sequence++
	return f.clientTraffic.idPrefix | f.sequence
}

// startRPC admits or rejects an RPC, sets the timer of its deadline and sends its first attempt.
func (f *FrontEnd) startRPC(now statemachine.Seconds, call *rpc) {
	f.rpcs[call.id] = call
	f.reportSamples.addRPC(call.method)
	if !f.admit(now, call.method) {
		f.finishRPC(now, call, proto.StatusRejected)
		return
	}
	f.timers.schedule(call.arrivedAt+f.config.Methods[call.method].Deadline, func(now statemachine.Seconds) {
		if !call.finished {
			f.endAttempt(now, call, false)
			f.finishRPC(now, call, proto.StatusAborted)
		}
	})
	f.sendAttempt(now, call, "")
}

// finishRPC ends an RPC with a status, unless it has ended already: it counts and traces the result and lets the client retry. RPCs
// that failed before the first attempt are not reported as failures.
func (f *FrontEnd) finishRPC(now statemachine.Seconds, call *rpc, status proto.Status) {
	if call.finished {
		return
	}
	call.finished = true
	delete(f.rpcs, call.id)
	if status != proto.StatusOK && call.attemptCount > 0 {
		f.reportSamples.addFailure(call.method)
	}
	f.out.Record(trace.Record{
		Time: now, Kind: trace.RPCFinished, Party: f.config.Name, RPCID: call.id, Method: call.method, Text: status.String(),
		Value: now - call.arrivedAt,
	})
	f.retryByClient(now, call, status)
}

// retryByClient simulates the retry of a client: with the configured probability, a failed RPC is sent again after a backoff, as a
// new RPC with the same idempotency key.
func (f *FrontEnd) retryByClient(now statemachine.Seconds, call *rpc, status proto.Status) {
	repeatable := f.config.Methods[call.method].Repeatability != NonIdempotent || status == proto.StatusRejected
	if status == proto.StatusOK || !repeatable || call.clientRetries >= f.config.ClientRetryLimit {
		return
	}
	if f.random.Uniform() >= f.config.ClientRetryProbability {
		return
	}
	doublings := min(call.clientRetries, maxClientBackoffDoublings)
	backoff := f.config.ClientRetryBackoff * float64(int(1)<<doublings) * f.jitter()
	f.timers.schedule(now+backoff, func(now statemachine.Seconds) {
		f.startRPC(now, &rpc{
			id: f.nextRPCID(), method: call.method, arrivedAt: now, idempotencyKey: call.idempotencyKey,
			cacheKey: call.cacheKey, clientRetries: call.clientRetries + 1,
		})
	})
}
