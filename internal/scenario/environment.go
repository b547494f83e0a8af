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
	// Schedule runs a function at a time.
	Schedule(at statemachine.Seconds, do func())
	// Start starts a participant's process, Kill ends it without warning.
	Start(name string)
	Kill(name string)
	// Pause keeps a participant's process from running for a time.
	Pause(name string, span statemachine.Seconds)
	// SendCommand passes a command to a fake or emulated participant.
	SendCommand(name, text string)
	// AddLinkFault adds a fault to the links that match, under a name by which RemoveLinkFault removes it.
	AddLinkFault(name string, fault simnet.LinkFault, match linkMatch)
	RemoveLinkFault(name string)
	// ResetConnections closes the connections on the links that match.
	ResetConnections(match linkMatch)
}
