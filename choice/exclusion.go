package choice

import (
	"cmp"
	"math"
	"slices"
)

// restoreTolerance is the largest weight that a sent table entry may have when its backend is restored, as a multiple of the weight
// that slow start allows the backend now.
const restoreTolerance = 1.05

// sendExclusions sends the exclusions that are due, before any tables. If a proxy is near its message limit, exclusions are held
// back for part of the drain grace and sent together, because an endpoint list may drop its backends one by one.
func (plan *Planner) sendExclusions() {
	oldestDue := math.Inf(1)
	for _, since := range plan.exclusionDueSince {
		oldestDue = min(oldestDue, cmp.Or(since, oldestDue))
	}
	// Half of what the grace leaves after the slowest push and three mean acknowledgement times.
	holdTime := max(0, plan.settings.DrainGrace-plan.settings.PushTimeWorst-3*plan.channel.meanAckTime) / 2
	nearMessageLimit := func(proxy *proxyActor) bool {
		return proxy.joined && !plan.channel.withinMessageLimit(proxy, ordinaryPushShare)
	}
	if math.IsInf(oldestDue, 1) || plan.now < oldestDue+holdTime && slices.ContainsFunc(plan.proxies, nearMessageLimit) {
		return
	}
	for i, since := range plan.exclusionDueSince {
		if since > 0 {
			plan.exclusionDueSince[i] = 0
			plan.setExcluded(i, true)
		}
	}
}

// restoreExcluded withdraws the exclusion of each open backend, once no sent table gives it more weight than it may have and its
// expected load would not make it collapse.
func (plan *Planner) restoreExcluded() {
	for i := range plan.id {
		if !plan.excluded[i] || plan.state[i] != BackendOpen {
			continue
		}
		maxWeight := restoreTolerance * plan.weight[i] * plan.warmupFactor[i]
		tooHeavy := func(proxy *proxyActor) bool { return proxy.joined && proxy.maxSentWeight(i) > maxWeight }
		if !plan.overloadsColdBackend(i) && !slices.ContainsFunc(plan.proxies, tooHeavy) {
			plan.setExcluded(i, false)
			plan.ring.dirty = true
		}
	}
}

// notifyExclusions sends a proxy the list of all exclusions if it may still use a table of an earlier stream because there is no
// entry to send it. Otherwise a table from this coordinator makes the list unnecessary and takes fewer lines; sending many such
// lists would overflow the channel.
func (p *proxyActor) notifyExclusions() {
	if p.exclusionsNotified || p.tableBound && !p.lacksTable() {
		return
	}
	plan, lines := p.plan, p.plan.excludedCount()
	p.pushWaiting = true
	empty := func(table *proxyTable) bool { return len(table.sent)+len(table.desired) == 0 }
	fits := float64(plan.channel.waitingLines()+lines) <= urgentPushShare*plan.settings.ChannelRoom
	if !fits || !slices.ContainsFunc(p.tables, empty) {
		return
	}
	p.exclusionsNotified = true
	p.pendingLines += lines
	plan.commands = append(plan.commands, NotifyExclusions{p.id})
}
