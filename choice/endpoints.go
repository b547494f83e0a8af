package choice

import (
	"cmp"
	"math"
)

const (
	basePollBackoff     = 0.25 // seconds after the first failed poll; doubled with each further one
	maxBackoffDoublings = 4
)

// handle follows the endpoint list.
func (e *endpointWatcher) handle(msg message) {
	if update, ok := msg.(EndpointUpdate); ok {
		if update.Kind == UpdateFailed {
			e.backOff()
			return
		}
		if update.Kind != UpdateCached {
			e.failedPolls, e.nextPoll = 0, math.Inf(1)
		}
		e.plan.applyUpdate(update)
	}
	e.poll()
}

// backOff puts off the next poll with jitter, against a list service that is overloaded by everybody polling
// again at once, but to well within the time after which the list has to be known.
func (e *endpointWatcher) backOff() {
	e.failedPolls = min(e.failedPolls+1, maxBackoffDoublings)
	backoff := min(basePollBackoff*math.Exp2(float64(e.failedPolls)), e.plan.settings.AskWithin/3)
	e.nextPoll = e.plan.now + backoff*(0.5+e.plan.random())
}

// poll asks for changes of the endpoint list, where it has to be polled.
func (e *endpointWatcher) poll() {
	if e.plan.settings.Listing == "asked" && e.plan.now >= e.nextPoll {
		e.plan.commands = append(e.plan.commands, WatchEndpoints{true})
		e.nextPoll = e.plan.now + e.plan.settings.AskWithin/2 // an answer that never comes counts as failed
	}
}

// applyEndpoint takes over a backend's entry in the endpoint list.
func (b *backendActor) applyEndpoint(endpoint Endpoint) {
	plan, i := b.plan, b.index
	if endpoint.State != BackendGone {
		plan.zone[i], plan.weight[i] = plan.zoneOf(endpoint.Zone), max(endpoint.Weight, 1e-3)
	}
	if endpoint.State == BackendOpen && endpoint.StartedAt > plan.startedAt[i] {
		plan.resetHealth(i) // another process under the same id
	}
	plan.state[i], plan.startedAt[i] = endpoint.State, max(endpoint.StartedAt, plan.startedAt[i])
	plan.warmupFactor[i] = b.currentWarmupFactor()
	// Where only draining binds, a backend that is dropped from the list leaves the tables with ordinary pushes.
	gone := endpoint.State == BackendGone && !plan.settings.OnlyDrainingBinds
	binds := endpoint.State == BackendDraining || gone
	if binds && !plan.excluded[i] {
		plan.exclusionDueSince[i] = cmp.Or(plan.exclusionDueSince[i], plan.now)
	} else if !binds {
		plan.exclusionDueSince[i] = 0
	}
	plan.send(plan.ring, reassignArcs{})
}
