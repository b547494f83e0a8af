package choice

import (
	"cmp"
	"math"
)

const (
	basePollBackoff     = 0.25 // seconds; it is doubled with each failed poll, the first included
	maxBackoffDoublings = 4    // failed polls in a row after which the backoff grows no more
)

// handle applies an endpoint update, or delays the next poll after a failed one, and polls if this is due.
func (e *endpointWatcher) handle(msg message) {
	if update, ok := msg.(EndpointUpdate); ok {
		if update.Kind == UpdateFailed {
			e.backOff()
			return
		}
		if update.Kind != UpdateCached {
			e.failedPolls, e.nextPoll = 0, math.Inf(1)
		}
		e.planner.applyUpdate(update)
	}
	e.poll()
}

// backOff delays the next poll after a failed one, with jitter, so that the list service is not overloaded by all coordinators
// polling again at once. The delay stays well within MaxPollInterval.
func (e *endpointWatcher) backOff() {
	e.failedPolls = min(e.failedPolls+1, maxBackoffDoublings)
	backoff := min(basePollBackoff*math.Exp2(float64(e.failedPolls)), e.planner.settings.MaxPollInterval/3)
	e.nextPoll = e.planner.now + backoff*(0.5+e.planner.random()) // from half the backoff to 1.5 times it
}

// poll starts a watch of the endpoint list, if the settings say that it has to be polled and none has succeeded since the last
// failure.
func (e *endpointWatcher) poll() {
	if e.planner.settings.EndpointListMode == "asked" && e.planner.now >= e.nextPoll {
		e.planner.commands = append(e.planner.commands, WatchEndpoints{true})
		e.nextPoll = e.planner.now + e.planner.settings.MaxPollInterval/2 // a watch without an answer by then counts as failed
	}
}

// applyEndpoint updates a backend from its entry in the endpoint list.
func (b *backendActor) applyEndpoint(endpoint Endpoint) {
	planner, i := b.planner, b.index
	if endpoint.State != BackendGone {
		// The weight is at least 1e-3, because a table entry with weight 0 removes the backend.
		planner.zone[i], planner.weight[i] = planner.zoneOf(endpoint.Zone), max(endpoint.Weight, 1e-3)
	}
	if endpoint.State == BackendOpen && endpoint.StartedAt > planner.startedAt[i] {
		planner.resetHealth(i) // the process was restarted under the same id
	}
	planner.state[i], planner.startedAt[i] = endpoint.State, max(endpoint.StartedAt, planner.startedAt[i])
	planner.warmupFactor[i] = b.currentWarmupFactor()
	// With ExcludeOnlyDraining, a backend that is dropped from the list without draining needs no exclusion and leaves the tables
	// with ordinary pushes.
	goneBinds := endpoint.State == BackendGone && !planner.settings.ExcludeOnlyDraining
	mustExclude := endpoint.State == BackendDraining || goneBinds
	if mustExclude && !planner.excluded[i] {
		planner.exclusionDueSince[i] = cmp.Or(planner.exclusionDueSince[i], planner.now)
	} else if !mustExclude {
		planner.exclusionDueSince[i] = 0
	}
	planner.send(planner.ring, reassignArcs{})
}
