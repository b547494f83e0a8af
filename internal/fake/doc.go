// Package fake has stand-ins for the systems around a coordinator: front ends that follow its tables, an endpoint list service,
// relays that inject network faults, and baseline coordinators for comparison. Each is a statemachine.Machine, so that it runs
// both on sockets and in virtual time. Front ends and endpoint services write the trace that the invariant checker reads. Nothing
// here is meant for production.
package fake
