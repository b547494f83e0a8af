package choice

// tickInterval is the time, in seconds, between two checks of what depends on time alone.
const tickInterval = 0.25

// BackendRetention is how long, in seconds, the state of a gone backend or proxy is kept: longer than any
// command, report or probe that names it is under way.
const BackendRetention = 600.0

// Step takes the events of one moment and returns what to do. The time never goes back.
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

// tick lets all actors act on the time that has passed.
func (plan *Planner) tick() {
	plan.releaseSlots()
	for _, actor := range plan.actors() {
		plan.send(actor, tickElapsed{})
	}
	for _, proxy := range plan.proxies {
		if proxy.pushInFlight || proxy.pushWaiting { // a missing acknowledgement and new room show with time alone
			plan.markDirty(proxy)
		}
	}
	plan.nextTick = plan.now + tickInterval
	plan.commands = append(plan.commands, SetTimer{1, plan.nextTick})
	plan.deliver()
}

// reconcile updates exclusions and arcs, then pushes to each proxy whose tables changed.
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
