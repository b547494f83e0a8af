// Package emulator emulates backends in enough detail that a load balancing decision that would cause an overload or a lost RPC
// in production causes it here, too. Emulated are: work drawn from distributions, cores behind a bounded queue, warm-up and
// collapse under overload (a process that starts cold works slower at first, and too much work in that time stops it for good),
// connections, handshakes, cancellation, idempotency keys, health checks, load reports and a cache.
//
// Model is the state machine of one backend; its inputs are method calls and its outputs are values of the Effect types.
// Backend connects a Model to the wire protocol; it is a statemachine.Machine, which runs on sockets as well as in simulated
// time. Fleet runs many backends as one machine.
package emulator

// Seconds is a time or a duration in seconds.
type Seconds = float64
