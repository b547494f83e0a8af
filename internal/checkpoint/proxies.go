package checkpoint

import (
	"maps"
	"slices"

	"gingerfork/choice"
)

// PushSent records that a push with the given nonce was sent to a proxy.
func (c *Checkpointer) PushSent(name string, nonce uint64) {
	delete(c.unseenProxies, name)
	proxy := c.proxies[name]
	if c.disabled || nonce <= proxy.InFlight {
		return
	}
	proxy.InFlight = nonce
	c.proxies[name] = proxy
	c.dirtyProxies[name] = true
}

// PushAcknowledged records that a proxy acknowledged a nonce.
func (c *Checkpointer) PushAcknowledged(name string, nonce uint64) {
	proxy := c.proxies[name]
	if c.disabled || nonce <= proxy.Acknowledged {
		return
	}
	proxy.Acknowledged = nonce
	c.proxies[name] = proxy
	c.dirtyProxies[name] = true
}

// RemoveProxy removes the record of a proxy that left long ago.
func (c *Checkpointer) RemoveProxy(name string) {
	if _, known := c.proxies[name]; !known {
		return
	}
	delete(c.proxies, name)
	delete(c.dirtyProxies, name)
	delete(c.unseenProxies, name)
	c.put(proxyPrefix+name, nil)
}

// removeUnseenProxies removes the records of proxies that left while the coordinator was down and did not come back within
// twice choice.BackendRetention. No event reports that they left, so their records would otherwise stay forever.
func (c *Checkpointer) removeUnseenProxies(now choice.Seconds) {
	if len(c.unseenProxies) == 0 || now <= c.startedAt+2*choice.BackendRetention {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.unseenProxies)) {
		c.RemoveProxy(name)
	}
}

// flushProxies adds the records of changed proxies to the batch, at most once in each flush interval.
func (c *Checkpointer) flushProxies(now choice.Seconds) {
	if len(c.dirtyProxies) == 0 || now < c.lastProxyFlushAt+proxyFlushInterval {
		return
	}
	c.lastProxyFlushAt = now
	for _, name := range slices.Sorted(maps.Keys(c.dirtyProxies)) {
		c.put(proxyPrefix+name, c.proxies[name].encode())
	}
	clear(c.dirtyProxies)
}
