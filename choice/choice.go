package choice

// tickInterval is the time in seconds between two ticks, which trigger what depends on time alone.
const tickInterval = 0.25

// BackendRetention is the time in seconds for which the state of a gone backend or of a proxy that left is kept. It is longer than
// any command, report or probe that names it can be in transit.
const BackendRetention = 600.0

// Step processes the events of one moment and returns the commands to carry out. now must not go back from one call to the next.
func (plan *Planner) Step(now Seconds, events []Event) []Command {
	plan.now, plan.commands = now, nil
	for _, event := range events {
		plan.dispatch(event)
	}
	plan.deliver()
	if now >= plan.nextTick {
		plan.tick()
	}
	if plan.settings.Slices == 0 {
		plan.reconcile()
	}
	return plan.commands
}

// tick has all actors act on the time that has passed, and sets the timer for the next tick.
func (plan *Planner) tick() {
	plan.releaseSlots()
	for _, actor := range plan.actors() {
		plan.send(actor, tickElapsed{})
	}
	for _, proxy := range plan.proxies {
		if proxy.pushInFlight || proxy.pushWaiting { // no event tells that an acknowledgement is overdue or that a limit has room again
			plan.markDirty(proxy)
		}
	}
	plan.nextTick = plan.now + tickInterval
	plan.commands = append(plan.commands, SetTimer{1, plan.nextTick})
	plan.deliver()
}

// reconcile updates the exclusions and arcs, then pushes to each proxy whose tables changed.
func (plan *Planner) reconcile() {
	plan.sendExclusions()
	plan.restoreExcluded()
	if plan.ring.refreshArcs() && plan.excludeOverloadedCold() {
		plan.ring.assignAllArcs()
	}
	for _, proxy := range plan.dirtyProxies {
		proxy.dirty = false
		plan.send(proxy, pushPending{})
	}
	plan.dirtyProxies = plan.dirtyProxies[:0]
	plan.deliver()
	plan.finishStep()
}
