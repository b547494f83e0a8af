// Package emulator emulates backends closely enough that a decision that would cause an overload or a lost RPC in
// production does so here: work drawn from distributions, cores behind a bounded queue, warm-up and collapse under
// overload, connections, handshakes, cancellation, idempotency keys, health checks, load reports and a cache. Model is one
// backend as a plain state machine of typed events. Backend puts the wire protocol around it and is a
// statemachine.Machine, which runs on sockets and in virtual time alike; Fleet runs many backends as one machine.
package emulator

// Seconds are seconds with fractions.
type Seconds = float64
