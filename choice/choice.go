package choice

// tickInterval is the time in seconds between two ticks, which trigger what depends on time alone.
const tickInterval = 0.25

// BackendRetention is the time in seconds for which the state of a gone backend or of a proxy that left is kept. It is longer
// than any command, report or probe that names it can be in transit.
const BackendRetention = 600.0

// Step processes the events of one moment and returns the commands to carry out. now must not go back from one call to the
// next.
func (planner *Planner) Step(now Seconds, events []Event) []Command {
	planner.now, planner.commands = now, nil
	for _, event := range events {
		planner.dispatch(event)
	}
	planner.deliver()
	if now >= planner.nextTick {
		planner.tick()
	}
	if planner.settings.SliceCount == 0 {
		planner.reconcile()
	}
	return planner.commands
}

// tick has all actors act on the time that has passed, and sets the timer for the next tick.
func (planner *Planner) tick() {
	planner.releaseSlots()
	for _, actor := range planner.actors() {
		planner.send(actor, tickElapsed{})
	}
	for _, proxy := range planner.proxies {
		if proxy.pushInFlight || proxy.pushWaiting { // no event tells that an acknowledgement is overdue or that a limit has room again
			planner.markDirty(proxy)
		}
	}
	planner.nextTick = planner.now + tickInterval
	planner.commands = append(planner.commands, SetTimer{1, planner.nextTick})
	planner.deliver()
}

// reconcile updates the exclusions and arcs, then pushes to each proxy whose tables changed.
func (planner *Planner) reconcile() {
	planner.sendExclusions()
	planner.restoreExcluded()
	if planner.ring.refreshArcs() {
		for planner.excludeOverloadedCold() { // the load of excluded backends moves to others, which may then be overloaded
			planner.ring.assignAllArcs()
		}
	}
	for _, proxy := range planner.dirtyProxies {
		proxy.dirty = false
		planner.send(proxy, pushPending{})
	}
	planner.dirtyProxies = planner.dirtyProxies[:0]
	planner.deliver()
	planner.finishStep()
}
