// Package statemachine defines the interface between the state machines of gingerfork (coordinator, front end, backend,
// endpoint service, relay) and the drivers that run them.
//
// A machine is event-driven: each step receives the current time and the inputs that arrived, and records the requested
// side effects in Effects. A machine has no sockets, clock, files or goroutines of its own. The same code can therefore be
// driven by package eventloop, on sockets and in real time, and by package simnet, on a simulated network in virtual time.
package statemachine

// Seconds is a point in time, in seconds since the Unix epoch, or a duration in seconds, in both cases with a fraction. The
// time that a driver passes to a machine never decreases.
type Seconds = float64

// Never is a time in the unreachable future. As Effects.WakeAt it means that no timer is set.
const Never Seconds = 1e18

// Conn is the number of a connection; it is unique within the lifetime of one machine. The driver numbers accepted
// connections from 1. The machine chooses the numbers of the connections that it dials, with the dialed bit set, so it
// knows the number before the connection is open.
type Conn uint64

// DialedBit is the bit that is set in the numbers of connections dialed by the machine.
const DialedBit Conn = 1 << 63

// Machine is one component of the system, such as a coordinator or a backend.
type Machine interface {
	// Step processes the inputs that arrived since the last step, in order. now is never earlier than in the last step. out
	// is empty when Step is called. The machine must not retain in or out after the call; it may retain the bytes of
	// Input.Data.
	Step(now Seconds, in []Input, out *Effects)
}
