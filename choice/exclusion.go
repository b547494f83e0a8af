package choice

import (
	"cmp"
	"math"
	"slices"
)

// restoreTolerance is the largest weight that a sent table entry may have when its backend is restored, as a multiple of the
// weight that slow start allows the backend now.
const restoreTolerance = 1.05

// sendExclusions sends the exclusions that are due, before any tables. If a proxy is near its message limit, exclusions are
// held back for part of Settings.DrainGrace and sent together, because an endpoint list may drop its backends one by one.
func (planner *Planner) sendExclusions() {
	oldestDue := math.Inf(1)
	for _, since := range planner.exclusionDueSince {
		oldestDue = min(oldestDue, cmp.Or(since, oldestDue))
	}
	// Half of what the grace leaves after the slowest push and three mean acknowledgement times.
	holdTime := max(0, planner.settings.DrainGrace-planner.settings.MaxPushTime-3*planner.channel.meanAckTime) / 2
	nearMessageLimit := func(proxy *proxyActor) bool {
		return proxy.joined && !planner.channel.withinMessageLimit(proxy, ordinaryPushShare)
	}
	if math.IsInf(oldestDue, 1) || planner.now < oldestDue+holdTime && slices.ContainsFunc(planner.proxies, nearMessageLimit) {
		return
	}
	for i, since := range planner.exclusionDueSince {
		if since > 0 {
			planner.exclusionDueSince[i] = 0
			planner.setExcluded(i, true)
		}
	}
}

// restoreExcluded withdraws the exclusion of each open backend, once no sent table gives it more weight than it may have and
// its expected load would not make it collapse.
func (planner *Planner) restoreExcluded() {
	for i := range planner.id {
		if !planner.excluded[i] || planner.state[i] != BackendOpen {
			continue
		}
		if planner.pausedAfterOverload(i) && !planner.overloadsColdBackend(i) && !planner.sentTooHeavy(i) {
			planner.restore(i)
		}
	}
	planner.restoreColdZones()
}

// restore withdraws a backend's exclusion and has the arcs reassigned.
func (planner *Planner) restore(i int) {
	planner.setExcluded(i, false)
	planner.ring.dirty = true
}

// sentTooHeavy reports whether a sent table gives a backend more weight than slow start allows it now.
func (planner *Planner) sentTooHeavy(i int) bool {
	maxWeight := restoreTolerance * planner.weight[i] * planner.warmupFactor[i]
	return slices.ContainsFunc(planner.proxies, func(proxy *proxyActor) bool {
		return proxy.joined && proxy.maxSentWeight(i) > maxWeight
	})
}

// lacksLocalEntry reports whether the zone-local table of a joined proxy, as sent, lacks an entry that it should have.
func (p *proxyActor) lacksLocalEntry() bool {
	return p.joined && slices.ContainsFunc(p.tables, func(table *proxyTable) bool {
		return table.zoneLocal && table.bound && slices.ContainsFunc(table.desired, func(entry tableEntry) bool {
			return !slices.ContainsFunc(table.sent, func(sent tableEntry) bool { return sent.backend == entry.backend })
		})
	})
}

// notifyExclusions sends a proxy the list of all exclusions if it may still use a table of an earlier stream because there is
// no entry to send it. Otherwise a table from this coordinator makes the list unnecessary and takes fewer lines; sending many
// such lists would overflow the channel.
func (p *proxyActor) notifyExclusions() {
	if p.exclusionsNotified || p.allTablesBound() {
		return
	}
	planner, lines := p.planner, p.planner.excludedCount()
	p.pushWaiting = true
	empty := func(table *proxyTable) bool { return len(table.sent)+len(table.desired) == 0 }
	fits := float64(planner.channel.waitingLines()+lines) <= urgentPushShare*planner.settings.MaxChannelLines
	if !fits || !slices.ContainsFunc(p.tables, empty) {
		return
	}
	p.exclusionsNotified = true
	p.pendingLines += lines
	planner.commands = append(planner.commands, NotifyExclusions{p.id})
}
