package choice

// This file has the messages that actors send each other within a step, and the mailboxes that hold them.

type (
	// message is an event, an entry of an endpoint update or one of the message types below.
	message any
	// mailbox holds the messages to an actor that were not handled yet, oldest first.
	mailbox struct{ messages []message }
	// actor is the owner of a mailbox. It handles its messages in the order in which they were sent.
	actor interface {
		inbox() *mailbox
		handle(msg message)
	}
)

func (m *mailbox) inbox() *mailbox { return m }

// Messages between actors, in addition to the events.
type (
	reassignArcs      struct{}                    // to the ring: all arcs must be reassigned
	membershipChanged struct{ proxy *proxyActor } // to the ring: the proxy joined or left
	tickElapsed       struct{}                    // to the actors that Planner.actors returns: time has passed
	pushPending       struct{}                    // to a proxy: send the changes of its tables, if the limits allow it now
	admissionChanged  struct {                    // to a proxy: admitted share and retry policy of each method
		shares []float64
		retry  []RetryPolicy
	}
	acknowledged struct{ nonce Nonce } // to the channel: a proxy acknowledged the messages of a step
)

// dispatch sends an event to the actors that it concerns. Reports on unknown backends are dropped.
func (planner *Planner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		planner.send(planner.watcher, event)
	case ProxyJoined:
		planner.send(planner.proxy(event.Proxy), event)
	case ProxyLeft:
		planner.send(planner.proxy(event.Proxy), event)
	case PushAcknowledged:
		planner.send(planner.channel, acknowledged{event.Nonce})
		planner.send(planner.proxy(event.Proxy), event)
	case UsageReport:
		proxy := planner.proxy(event.Proxy)
		event.RPCs = planner.admission.plausibleCount(event.RPCs, proxy.usageReportedAt[event.Method])
		planner.send(planner.admission, event)
		planner.send(proxy, event)
	case AttemptReport:
		if i, ok := planner.indexOf[event.Backend]; ok {
			planner.send(planner.backends[i], event)
		}
	case ProbeResult:
		if i, ok := planner.indexOf[event.Backend]; ok {
			planner.send(planner.backends[i], event)
		}
	}
}

// send puts a message into an actor's mailbox, and queues the actor to run if the mailbox was empty.
func (planner *Planner) send(to actor, msg message) {
	box := to.inbox()
	if box.messages = append(box.messages, msg); len(box.messages) == 1 {
		planner.readyActors = append(planner.readyActors, to)
	}
}

// deliver has the actors handle their messages until all mailboxes are empty.
func (planner *Planner) deliver() {
	for len(planner.readyActors) > 0 {
		next := planner.readyActors[0]
		planner.readyActors = planner.readyActors[1:]
		messages := next.inbox().messages
		next.inbox().messages = nil
		for _, msg := range messages {
			next.handle(msg)
		}
	}
}
