package choice

import (
	"math"
	"slices"
)

const (
	usageWindow          = 30.0 // seconds over which usage is averaged
	ackTimeoutFactor     = 4.0  // usual acknowledgement times without one, after which a whole table is sent again
	sendTimeFactor       = 4.0  // of the time that the lines ahead need, after which a push has left the channel
	burstMarginFactor    = 1.0  // square roots of its usage, by which a proxy's rate may lie above its mean
	levelTolerance       = 0.15 // relative change below which an admission level is not sent again
	coldTolerance        = 1.3  // of its warmth, what a sent entry may hold before a push is urgent
	ordinaryPushShare    = 0.6  // of the messages and lines that the limits allow, what ordinary pushes may use
	firstTableShare      = 0.4  // and what first tables may, so that a storm of joins leaves the channel short
	firstTableDelayShare = 0.25 // of the grace, after which a first table may use what ordinary pushes may
	urgentPushShare      = 0.9  // what urgent pushes may use; the rest is for exclusions
	ackTimeGain          = 0.1  // of each deviation, by how much the usual acknowledgement time follows
	messageLossTimeout   = 10.0 // seconds after which a message counts as lost with its stream
)

// push sends what changed, once the last push is acknowledged and the channel has room. Urgent changes do not
// wait for the acknowledgement. Where it is long overdue, the whole table goes again.
func (p *proxyActor) push() {
	plan := p.plan
	overdue := p.pushInFlight && plan.now > p.leavesChannelAt+ackTimeoutFactor*plan.channel.meanAckTime
	urgent := slices.ContainsFunc(p.tables, p.urgent) && plan.channel.withinMessageLimit(p, urgentPushShare)
	p.pushWaiting = overdue || !p.tableBound || slices.ContainsFunc(p.tables, p.tableOutdated)
	blocked := p.pushInFlight && !overdue || !plan.channel.hasRoom(p)
	if !p.pushWaiting || !urgent && blocked {
		return
	}
	whole := !p.tableBound || overdue
	for _, table := range p.tables {
		if p.sendDelta(table); whole && len(table.sent) > 0 {
			p.tableBound = true
			plan.commands = append(plan.commands, BindTable{p.id, table.id, table.methods})
			p.pendingLines += 1 + len(table.sent) + len(table.sentLevels)
		}
	}
	p.awaitsAck = p.tableBound && p.pendingLines > 0 && (!p.pushInFlight || overdue)
}

// urgent tells whether a table lost all usable entries, or gives a cold backend more than it may have.
// It goes by warmth, not by weight: lists that follow the load lower the weight of warm backends, too.
func (p *proxyActor) urgent(table *proxyTable) bool {
	plan := p.plan
	usable := func(entry tableEntry) bool { return !plan.excluded[entry.backend] }
	cold := func(entry tableEntry) bool {
		return entry.warmupFactor > coldTolerance*plan.warmupFactor[entry.backend]
	}
	lost := !slices.ContainsFunc(table.sent, usable) && slices.ContainsFunc(table.desired, usable)
	return p.tableBound && (lost || slices.ContainsFunc(table.sent, cold))
}

// admissionLevel is what a table admits of a method, as a share or as a rate. A proxy with little usage sees
// bursts that its mean rate would reject beside a level meant for the mean.
func (p *proxyActor) admissionLevel(method int) float64 {
	share := p.admittedShares[method]
	if share >= 1 || p.plan.settings.LevelKind != "rate" {
		return share
	}
	usage := max(p.usage[method], 0.1)
	level, sent := share*(usage+burstMarginFactor*math.Sqrt(usage)), p.tables[0].sentLevels[method]
	if math.Abs(sent-level) < levelTolerance*level {
		return sent
	}
	return level
}

// withinMessageLimit tells whether a proxy's messages of late, with one more, are within part of the limit.
func (h *channel) withinMessageLimit(proxy *proxyActor, part float64) bool {
	limit, span := h.plan.settings.Messages, h.plan.settings.MessagesSpan
	old := func(sent Seconds) bool { return sent < h.plan.now-span-1 }
	proxy.messagesSentAt = slices.DeleteFunc(proxy.messagesSentAt, old)
	return limit == 0 || float64(len(proxy.messagesSentAt)+1) <= part*limit
}

// hasRoom tells whether an ordinary push fits. One that goes with an exclusion is no message more.
func (h *channel) hasRoom(proxy *proxyActor) bool {
	part, late := ordinaryPushShare, proxy.joinedAt+firstTableDelayShare*h.plan.settings.DrainGrace
	if !proxy.tableBound && h.plan.now < late {
		part = firstTableShare
	}
	fits := float64(h.waitingLines()+proxy.maxPushLines()) < part*h.plan.settings.ChannelRoom
	return fits && (!proxy.tableBound || proxy.pendingLines > 0 || h.withinMessageLimit(proxy, ordinaryPushShare))
}
