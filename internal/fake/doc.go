// Package fake fakes the systems around a coordinator: front ends that follow its tables, an endpoint list
// service, relays that inject network faults, and baseline coordinators to compare with. Each is a statemachine.Machine,
// so it runs on sockets and in virtual time alike, and writes the trace that the invariant checker reads. None is meant
// for production use.
package fake
