package choice

// The messages that actors send each other within a step, and the mailboxes that hold them.

type (
	message any
	mailbox struct{ messages []message }
	// actor is the owner of a mailbox. It sees its messages in the order in which they were sent.
	actor interface {
		inbox() *mailbox
		handle(msg message)
	}
)

func (m *mailbox) inbox() *mailbox { return m }

// Messages beside the events themselves.
type (
	reassignArcs      struct{}                    // to the ring: all arcs are outdated
	membershipChanged struct{ proxy *proxyActor } // to the ring: it joined or left
	tickElapsed       struct{}                    // to all: time has passed
	pushPending       struct{}                    // to a proxy: send what changed, if that may be sent now
	admissionChanged  struct {                    // to a proxy: what its tables should admit, by method
		shares []float64
		retry  []RetryPolicy
	}
	acknowledged struct { // to the channel: a proxy acknowledged a step's messages
		nonce Nonce
		delay Seconds
	}
)

// dispatch sends an event to the actors that it concerns.
func (plan *Planner) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		plan.send(plan.watcher, event)
	case ProxyJoined:
		plan.send(plan.proxy(event.Proxy), event)
	case ProxyLeft:
		plan.send(plan.proxy(event.Proxy), event)
	case PushAcknowledged:
		plan.send(plan.channel, acknowledged{event.Nonce, event.Delay})
		plan.send(plan.proxy(event.Proxy), event)
	case UsageReport:
		plan.send(plan.admission, event)
		plan.send(plan.proxy(event.Proxy), event)
	case AttemptReport:
		if i, ok := plan.indexOf[event.Backend]; ok {
			plan.send(plan.backends[i], event)
		}
	case ProbeResult:
		if i, ok := plan.indexOf[event.Backend]; ok {
			plan.send(plan.backends[i], event)
		}
	}
}

// send puts a message into an actor's mailbox.
func (plan *Planner) send(to actor, msg message) {
	box := to.inbox()
	if box.messages = append(box.messages, msg); len(box.messages) == 1 {
		plan.readyActors = append(plan.readyActors, to)
	}
}

// deliver runs the actors until all mailboxes are empty.
func (plan *Planner) deliver() {
	for len(plan.readyActors) > 0 {
		next := plan.readyActors[0]
		plan.readyActors = plan.readyActors[1:]
		messages := next.inbox().messages
		next.inbox().messages = nil
		for _, msg := range messages {
			next.handle(msg)
		}
	}
}
