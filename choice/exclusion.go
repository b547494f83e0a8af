package choice

import (
	"cmp"
	"math"
	"slices"
)

// restoreTolerance is what a table may still give a backend that is restored, of its warm weight.
const restoreTolerance = 1.05

// sendExclusions sends the exclusions that are due, ahead of tables. Where proxies have had many messages of
// late they are gathered for part of the grace, against a list that drops its backends one by one.
func (plan *Planner) sendExclusions() {
	oldest := math.Inf(1)
	for _, since := range plan.exclusionDueSince {
		oldest = min(oldest, cmp.Or(since, oldest))
	}
	hold := max(0, plan.settings.DrainGrace-plan.settings.PushTimeWorst-3*plan.channel.meanAckTime) / 2
	crowded := func(proxy *proxyActor) bool {
		return proxy.joined && !plan.channel.withinMessageLimit(proxy, ordinaryPushShare)
	}
	if math.IsInf(oldest, 1) || plan.now < oldest+hold && slices.ContainsFunc(plan.proxies, crowded) {
		return
	}
	for i, since := range plan.exclusionDueSince {
		if since > 0 {
			plan.exclusionDueSince[i] = 0
			plan.setExcluded(i, true)
		}
	}
}

// restoreExcluded restores an excluded backend that is open, once no table gives it more than it may have.
func (plan *Planner) restoreExcluded() {
	for i := range plan.id {
		if !plan.excluded[i] || plan.state[i] != BackendOpen {
			continue
		}
		most := restoreTolerance * plan.weight[i] * plan.warmupFactor[i]
		risky := func(proxy *proxyActor) bool { return proxy.joined && proxy.maxSentWeight(i) > most }
		if !plan.overloadsColdBackend(i) && !slices.ContainsFunc(plan.proxies, risky) {
			plan.setExcluded(i, false)
			plan.ring.dirty = true
		}
	}
}

// notifyExclusions notifies a proxy of all exclusions, if it uses a table of an earlier stream, as there is
// nothing to give it. A table of ours implies them in fewer lines: many lists overflow the channel.
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
