package fake

import (
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

// maxClientBackoffDoublings bounds the exponential backoff of clients.
const maxClientBackoffDoublings = 10

// rpc is one RPC of a client.
type rpc struct {
	id             uint64
	method         int
	arrivedAt      statemachine.Seconds
	idempotencyKey uint64 // 0: none
	cacheKey       uint64 // 0: none
	finished       bool
	clientRetries  int // how often its client sent it again before

	attempt       uint64       // the one in flight; 0: none
	conn          *backendConn // of that attempt
	sentAt        statemachine.Seconds
	attemptCount  int
	triedBackends []proto.BackendID
}

// clientTraffic draws the RPCs that clients send.
type clientTraffic struct {
	source     *traffic.Source
	rate       float64 // RPCs a second
	generation uint64  // counts scheduled arrivals, so that one that was replaced is ignored
	maxDelay   statemachine.Seconds
	idPrefix   uint64
}

func (f *FrontEnd) startTraffic(now statemachine.Seconds) {
	start := f.config.TrafficStart
	if start == 0 {
		start = now
	}
	mix := make([]float64, 0, len(f.config.Methods))
	for _, method := range f.config.Methods {
		mix = append(mix, method.Share)
	}
	f.clients.idPrefix = f.idPrefix()
	f.clients.source = traffic.NewSource(f.config.Seed, f.clients.rate, f.config.Shape, mix, f.config.Keys, start)
	f.scheduleArrival(now)
}

// setRate changes the rate of the traffic and draws the next arrival anew.
func (f *FrontEnd) setRate(now statemachine.Seconds, rate float64) {
	f.clients.rate = rate
	f.clients.source.SetRate(rate)
	f.scheduleArrival(now)
}

// scheduleArrival sets the timer of the next arrival and replaces the one that was set before. Arrivals follow from when
// they are due and not from when they are handled, so that a pause does not thin out the traffic.
func (f *FrontEnd) scheduleArrival(after statemachine.Seconds) {
	f.clients.generation++
	generation := f.clients.generation
	arrival, ok := f.clients.source.Next(after)
	if !ok {
		return
	}
	f.timers.schedule(arrival.At, func(now statemachine.Seconds) {
		if f.clients.generation != generation {
			return
		}
		f.clients.maxDelay = max(f.clients.maxDelay, now-max(arrival.At, f.pausedUntil))
		f.scheduleArrival(arrival.At)
		f.handleArrival(now, arrival)
	})
}

func (f *FrontEnd) handleArrival(now statemachine.Seconds, arrival traffic.Arrival) {
	call := &rpc{id: f.nextRPCID(), arrivedAt: arrival.At, method: arrival.Method, cacheKey: arrival.Key}
	if f.config.Methods[call.method].Repeatability == IdempotentWithKey {
		call.idempotencyKey = call.id
	}
	f.startRPC(now, call)
}

func (f *FrontEnd) nextRPCID() uint64 {
	f.sequence++
	return f.clients.idPrefix | f.sequence
}

// startRPC admits or rejects an RPC, sets its deadline and sends its first attempt.
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

// retryByClient lets the client of a failed RPC send it again, as a new RPC with the idempotency key of the first.
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
