// Package coordinator implements the coordinator: it connects an instance of the decision module (package choice) to the
// proxies, the endpoint list service, the backends that it probes and the other coordinators.
//
// It has two layers. controller is a state machine with typed events and results around the decision module: it numbers
// proxies, limits the rate of pushes, aggregates reports and holds back acknowledgements, and it knows neither connections
// nor frames. Machine adds the sessions and the protocol to a controller. Neither has a socket, a clock, a file or a
// goroutine. Package statemachine describes the contract with the drivers, which are package eventloop in real time and
// package simnet in virtual time.
package coordinator
