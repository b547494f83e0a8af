package scenario

import (
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
)

// endpointService is the name of the endpoint list service among the participants.
const endpointService = "list"

// linkMatch reports whether a link is selected, by the names of the participants at its ends.
type linkMatch = func(a, b string) bool

// Environment runs the participants of a scenario and the links between them: a simulated network in virtual time, real sockets,
// or an emulated fleet on loopback addresses. Participants are identified by name. Its methods are called from one goroutine.
type Environment interface {
	// Now returns the environment's time in seconds.
	Now() statemachine.Seconds
	// Schedule schedules a function to run at a time.
	Schedule(at statemachine.Seconds, run func())
	// Start starts a participant's process, Kill ends the process without warning.
	Start(name string)
	Kill(name string)
	// Pause keeps a participant's process from running for a duration.
	Pause(name string, duration statemachine.Seconds)
	// SendCommand sends a command to a fake or emulated participant.
	SendCommand(name, text string)
	// AddLinkFault adds a fault to the links that match, under a name by which RemoveLinkFault removes it.
	AddLinkFault(name string, fault simnet.LinkFault, match linkMatch)
	RemoveLinkFault(name string)
	// ResetConnections closes the connections on the links that match.
	ResetConnections(match linkMatch)
}
