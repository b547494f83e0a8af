// Package coordinator is the coordinator: an instance of the decision module (package choice) joined to its proxies, the
// endpoint list service, the backends that it probes and the other coordinators.
//
// It has two layers. controller is a state machine of typed events and results around the decision module: it numbers
// proxies, paces pushes, aggregates reports and holds back acknowledgements, and it knows neither connections nor frames.
// Machine puts the sessions and the protocol around a controller. Neither has a socket, a clock, a file or a goroutine:
// package statemachine describes the contract with their drivers, package eventloop in real time and package simnet in
// virtual time.
package coordinator
