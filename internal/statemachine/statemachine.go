// Package statemachine is the contract between the parties of gingerfork (coordinator, front end, server, endpoint
// service, relay) and the drivers that run them.
//
// A machine is event-driven: in each step it is handed the time and the inputs that arrived, and leaves in Effects what is
// to be done. It has no socket, clock, file or goroutine of its own. So the same code is driven by package eventloop, on
// sockets and in real time, and by package simnet, on a simulated network in virtual time.
package statemachine

// Seconds is a time, in seconds since 1970, or a duration in seconds. Both have fractions. The time that a driver hands to
// a machine never runs backward.
type Seconds = float64

// Never is later than any time that is reached. As Effects.WakeAt it means that no timer is set.
const Never Seconds = 1e18

// Conn is the number of a connection; it is unique within the life of one machine. The driver numbers accepted
// connections from 1. The machine numbers those that it dials, with the bit Dialed set, and so knows the number before
// the connection is open.
type Conn uint64

// DialedBit is the bit that is set in the numbers of the connections that the machine has dialed.
const DialedBit Conn = 1 << 63

// Machine is one party of the system.
type Machine interface {
	// Step handles the inputs that arrived since the last step, in their order, at the time now, which is never before
	// that of the last step. out is empty when Step is called. Neither in nor out may be used after the call; the bytes of
	// Input.Data may.
	Step(now Seconds, in []Input, out *Effects)
}
