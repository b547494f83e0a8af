// Package choice is the decision module: it computes the tables that plain proxies route by.
//
// New takes the settings once. Step takes each batch of events and returns commands, to be carried out in that order. An
// instance has no I/O, clock or goroutine: the same events give the same commands. Each backend and each proxy is an actor with a
// mailbox; so are the watcher of the endpoint list, the hash ring, admission control and the channel. A proxy has one push in
// flight; what changes before its acknowledgement is gathered into the next one.
//
// The files listed under policy in the deploy file decide and hold every tuned value: choice.go (the step), endpoints.go,
// slowstart.go, ejection.go, arcs.go, exclusion.go, push.go and admission.go. The others hold the interface (types.go,
// settings.go), state and arithmetic.
package choice
