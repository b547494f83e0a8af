// Package choice is the decision module of a coordinator. It computes the tables by which proxies route requests to backends:
// which backend gets which share of the load, and when a changed table is pushed to a proxy.
//
// New creates an instance from the settings. Step processes a batch of events and returns commands, which must be carried out
// in the returned order. An instance has no I/O, clock or goroutine, so the same events at the same times give the same
// commands. Each backend and each proxy is an actor with a mailbox; so are the watcher of the endpoint list, the hash ring,
// admission control and the channel, which is the queue of outgoing lines that all proxies share. A proxy normally has one push
// in flight at a time; changes before its acknowledgement are combined into the next push.
//
// Terms: the usage of a proxy is the rate of the RPCs that arrive at it, the load of a backend that of the requests sent to it,
// both in requests a second. A backend's full weight is its weight in the endpoint list. All proxies must stop sending to an
// excluded backend, whatever their tables say; an ejected one is left out of the arcs of one zone's proxies because too many
// requests fail. A push is a message that sends a proxy tables or changes of them. The drain grace, the message limit and the
// line limit are Settings.DrainGrace, MessageLimit and MaxChannelLines. In measures of load, the fleet is the listed backends.
//
// All decisions and all tuned values are in the files that deploy/balancer.toml lists under "policy": choice.go (the step),
// endpoints.go, slowstart.go, ejection.go, arcs.go, exclusion.go, push.go and admission.go. The other files hold the interface
// (types.go, settings.go), state and arithmetic.
package choice
