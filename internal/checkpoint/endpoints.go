package checkpoint

import (
	"maps"
	"slices"
	"strconv"

	"gingerfork/choice"
)

// UpdateEndpoints records an update of the endpoint list: its new version, the new state of the endpoints that changed, and
// the backends that left the list.
func (c *Checkpointer) UpdateEndpoints(now choice.Seconds, version uint64, changed []Endpoint, removed []choice.BackendID) {
	if c.disabled {
		return
	}
	c.put(listVersionKey, strconv.AppendUint(nil, version, 10))
	for _, endpoint := range changed {
		c.updateEndpoint(now, endpoint)
	}
	for _, backend := range removed {
		c.put(backendKey(endpointPrefix, backend), nil)
		drain, known := c.drains[backend]
		if !known {
			drain = Drain{RecordedAt: now}
		}
		drain.Removed = true
		c.recordDrain(backend, drain)
	}
	c.expireDrains(now)
}

// updateEndpoint records one endpoint. It removes the backend's drain if the endpoint is open; otherwise it records a drain,
// unless there is one for the same incarnation.
func (c *Checkpointer) updateEndpoint(now choice.Seconds, endpoint Endpoint) {
	backend := endpoint.Entry.Backend
	c.put(backendKey(endpointPrefix, backend), endpoint.encode())
	drain, known := c.drains[backend]
	switch {
	case endpoint.Entry.State == choice.BackendOpen && known:
		c.removeDrain(backend)
	case endpoint.Entry.State != choice.BackendOpen && (!known || drain.Incarnation != endpoint.Incarnation):
		c.recordDrain(backend, Drain{RecordedAt: now, Incarnation: endpoint.Incarnation})
	}
}

// expireDrains removes the drains of backends that are no longer on the list and whose drain began so long ago that no table
// has an entry for them.
func (c *Checkpointer) expireDrains(now choice.Seconds) {
	for _, backend := range c.DrainedBackends() {
		drain := c.drains[backend]
		if drain.Removed && now > drain.RecordedAt+2*choice.BackendRetention {
			c.removeDrain(backend)
		}
	}
}

// recordDrain records a backend's drain; acknowledgements of later pushes wait until it is durable.
func (c *Checkpointer) recordDrain(backend choice.BackendID, drain Drain) {
	c.drains[backend] = drain
	c.put(backendKey(drainPrefix, backend), drain.encode())
	c.batchHasDrain = true
}

func (c *Checkpointer) removeDrain(backend choice.BackendID) {
	delete(c.drains, backend)
	c.put(backendKey(drainPrefix, backend), nil)
}

// DrainedBackends returns the backends that have a drain, in ascending order.
func (c *Checkpointer) DrainedBackends() []choice.BackendID {
	return slices.Sorted(maps.Keys(c.drains))
}
