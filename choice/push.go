package choice

import (
	"math"
	"slices"
)

// Two limits apply to pushes: the message limit, on the messages to one proxy within MessageLimitSpan, and the line limit, on the
// lines that wait in the channel for all proxies. A first table is one sent on a stream on which none was sent yet. Urgent
// pushes are described at urgent; other pushes are ordinary. Exclusions are not limited; what the shares leave is for them.
const (
	usageWindow          = 30.0 // time constant, in seconds, of the decaying average of a proxy's usage
	ackTimeoutFactor     = 4.0  // multiple of meanAckTime after leavesChannelAt, when unacknowledged tables are sent again, whole
	sendTimeFactor       = 4.0  // a push presumably leaves the channel after this multiple of the time to send it and what is ahead
	burstMarginFactor    = 1.0  // margin of a rate level above a proxy's mean usage of a method, in square roots of that usage
	levelTolerance       = 0.15 // an admission level is not sent again if it differs from the sent one by less than this share
	coldTolerance        = 1.3  // urgent: an entry as sent has more than this multiple of its backend's current warm-up factor
	ordinaryPushShare    = 0.6  // share of the message limit, and of the line limit, up to which ordinary pushes are sent
	firstTableShare      = 0.4  // share of the line limit for first tables; keeps the queue short when many proxies join at once
	firstTableDelayShare = 0.25 // share of the drain grace, from the join on, after which a first table may use ordinaryPushShare
	urgentPushShare      = 0.9  // share of the message limit for urgent pushes, and of the line limit for lists of exclusions
	ackTimeGain          = 0.1  // weight of the newest acknowledgement time in meanAckTime
	messageLossTimeout   = 10.0 // seconds after which an unacknowledged message is assumed lost with its stream
)

// push sends the changes of a proxy's tables once its last push is acknowledged and the channel has room. A first table does not
// wait for the acknowledgement. Urgent changes wait for neither, but need messages left within urgentPushShare of the limit. If
// the acknowledgement is overdue, the whole tables are sent again.
func (p *proxyActor) push() {
	planner := p.planner
	overdue := p.pushInFlight && planner.now > p.leavesChannelAt+ackTimeoutFactor*planner.channel.meanAckTime
	urgent := slices.ContainsFunc(p.tables, p.urgent) && planner.channel.withinMessageLimit(p, urgentPushShare)
	firstTable := slices.ContainsFunc(p.tables, p.awaitsFirstTable)
	p.pushWaiting = overdue || !p.anyTableBound() || slices.ContainsFunc(p.tables, p.tableOutdated)
	blocked := p.pushInFlight && !overdue && !firstTable || !planner.channel.hasRoom(p, firstTable)
	if !p.pushWaiting || !urgent && blocked {
		return
	}
	for _, table := range p.tables {
		p.sendDelta(table)
		if overdue || !table.bound {
			p.bindTable(table)
		}
	}
	p.awaitsAck = p.anyTableBound() && p.pendingLines > 0 && (!p.pushInFlight || overdue)
}

// bindTable sends a table whole, unless it has no entries. Each table is bound on its own: one that has no entries when the
// proxy joins, because the proxy's zone has no backend, is bound when it gets its first ones.
func (p *proxyActor) bindTable(table *proxyTable) {
	if len(table.sent) == 0 {
		return
	}
	table.bound = true
	p.planner.commands = append(p.planner.commands, BindTable{p.id, table.id, table.methods})
	p.pendingLines += 1 + len(table.sent) + len(table.sentLevels)
}

// awaitsFirstTable reports whether there are usable entries to send for a table that was not sent on this stream yet.
func (p *proxyActor) awaitsFirstTable(table *proxyTable) bool {
	return !table.bound && slices.ContainsFunc(table.desired, p.usable)
}

// usable reports whether the backend of an entry is not excluded.
func (p *proxyActor) usable(entry tableEntry) bool { return !p.planner.excluded[entry.backend] }

// urgent reports whether all entries of a table are excluded while there are usable ones to send, or whether an entry has a
// larger warm-up factor than its backend may have now. It doesn't compare weights, because some endpoint lists also lower the
// weights of backends under load that are not in slow start.
func (p *proxyActor) urgent(table *proxyTable) bool {
	tooWarm := func(entry tableEntry) bool {
		return entry.warmupFactor > coldTolerance*p.planner.warmupFactor[entry.backend]
	}
	lostAll := !slices.ContainsFunc(table.sent, p.usable) && slices.ContainsFunc(table.desired, p.usable)
	return table.bound && (lostAll || slices.ContainsFunc(table.sent, tooWarm))
}

// admissionLevel returns the admission level of a method, as a share or as requests a second. A rate has a margin above the
// proxy's mean, because at low usage a level at the mean would reject ordinary bursts.
func (p *proxyActor) admissionLevel(method int) float64 {
	share := p.admittedShares[method]
	if share >= 1 || p.planner.settings.LevelKind != "rate" {
		return share
	}
	usage := max(p.usage[method], 0.1) // so that a method without usage does not get level 0
	level, sent := share*(usage+burstMarginFactor*math.Sqrt(usage)), p.tables[0].sentLevels[method]
	if math.Abs(sent-level) < levelTolerance*level {
		return sent
	}
	return level
}

// withinMessageLimit reports whether one more message to a proxy stays within the given share of the message limit.
func (h *channel) withinMessageLimit(proxy *proxyActor, share float64) bool {
	limit, span := h.planner.settings.MessageLimit, h.planner.settings.MessageLimitSpan
	// Messages count for a second longer than the span, which is a margin.
	old := func(sent Seconds) bool { return sent < h.planner.now-span-1 }
	proxy.messagesSentAt = slices.DeleteFunc(proxy.messagesSentAt, old)
	return limit == 0 || float64(len(proxy.messagesSentAt)+1) <= share*limit
}

// hasRoom reports whether the limits allow an ordinary push to a proxy, or one with a first table. The message limit is not
// checked if the proxy gets an exclusion in this step, because the push then shares that message. It is not checked for the
// first push on a stream either.
func (h *channel) hasRoom(proxy *proxyActor, firstTable bool) bool {
	lineShare, messageShare := ordinaryPushShare, ordinaryPushShare
	if firstTable {
		messageShare = urgentPushShare
	}
	firstPush := !proxy.anyTableBound()
	if firstPush && h.planner.now < proxy.joinedAt+firstTableDelayShare*h.planner.settings.DrainGrace {
		lineShare = firstTableShare
	}
	fits := float64(h.waitingLines()+proxy.maxPushLines()) < lineShare*h.planner.settings.MaxChannelLines
	return fits && (firstPush || proxy.pendingLines > 0 || h.withinMessageLimit(proxy, messageShare))
}
