package scenario

import (
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
)

// endpointService is the name of the endpoint list service among the participants.
const endpointService = "list"

// linkMatch selects links by the names of their ends.
type linkMatch = func(a, b string) bool

// Environment is what a scenario plays in: virtual time, sockets, or an emulated fleet on loopback addresses. Participants
// go by their names. Its functions are called from one goroutine.
type Environment interface {
	// Now returns the environment's time in seconds.
	Now() statemachine.Seconds
	// At runs a function at a time.
	At(at statemachine.Seconds, do func())
	// Start starts a participant's process, Kill ends it without warning.
	Start(name string)
	Kill(name string)
	// Stall keeps a participant's process from running for a time.
	Stall(name string, span statemachine.Seconds)
	// Tell passes a command to a fake or emulated participant.
	Tell(name, text string)
	// Hinder adds a fault to the links that match, under a name by which Clear removes it.
	Hinder(name string, fault simnet.Hindrance, match linkMatch)
	Clear(name string)
	// Reset closes the connections on the links that match.
	Reset(match linkMatch)
}
