package choice

import (
	"math"
	"slices"
)

const (
	usageWindow          = 30.0 // time constant, in seconds, of the decaying average of usage
	ackTimeoutFactor     = 4.0  // multiple of the mean acknowledgement time after which an unacknowledged table is sent again, whole
	sendTimeFactor       = 4.0  // multiple of the time to send the lines ahead, after which a push is assumed to have left the channel
	burstMarginFactor    = 1.0  // margin for bursts above a proxy's mean rate, in square roots of that rate
	levelTolerance       = 0.15 // relative change of an admission level below which it is not sent again
	coldTolerance        = 1.3  // a push is urgent if a sent entry exceeds the backend's warm-up factor by more than this factor
	ordinaryPushShare    = 0.6  // share of the message and line limits that ordinary pushes may use
	firstTableShare      = 0.4  // share of the line limit for first tables; keeps the queue short when many proxies join at once
	firstTableDelayShare = 0.25 // share of the drain grace, from the join on, after which a first table may use ordinaryPushShare
	urgentPushShare      = 0.9  // share of the limits that urgent pushes and lists of exclusions may use; the rest is for exclusions
	ackTimeGain          = 0.1  // smoothing factor of the mean acknowledgement time
	messageLossTimeout   = 10.0 // seconds after which an unacknowledged message is assumed lost with its stream
)

// push sends the changes of a proxy's tables once its last push is acknowledged and the channel has room. Urgent changes do not
// wait for this, but need messages left within urgentPushShare of the limit. If the acknowledgement is overdue, the whole table
// is sent again.
func (p *proxyActor) push() {
	planner := p.planner
	overdue := p.pushInFlight && planner.now > p.leavesChannelAt+ackTimeoutFactor*planner.channel.meanAckTime
	urgent := slices.ContainsFunc(p.tables, p.urgent) && planner.channel.withinMessageLimit(p, urgentPushShare)
	p.pushWaiting = overdue || !p.tableBound || slices.ContainsFunc(p.tables, p.tableOutdated)
	blocked := p.pushInFlight && !overdue || !planner.channel.hasRoom(p)
	if !p.pushWaiting || !urgent && blocked {
		return
	}
	whole := !p.tableBound || overdue
	for _, table := range p.tables {
		if p.sendDelta(table); whole && len(table.sent) > 0 {
			p.tableBound = true
			planner.commands = append(planner.commands, BindTable{p.id, table.id, table.methods})
			p.pendingLines += 1 + len(table.sent) + len(table.sentLevels)
		}
	}
	p.awaitsAck = p.tableBound && p.pendingLines > 0 && (!p.pushInFlight || overdue)
}

// urgent reports whether all entries of a table are excluded while there are usable ones to send, or whether an entry has a
// larger warm-up factor than its backend may have now. It doesn't compare weights, because some endpoint lists also lower the
// weights of backends under load that are not in slow start.
func (p *proxyActor) urgent(table *proxyTable) bool {
	planner := p.planner
	usable := func(entry tableEntry) bool { return !planner.excluded[entry.backend] }
	tooWarm := func(entry tableEntry) bool {
		return entry.warmupFactor > coldTolerance*planner.warmupFactor[entry.backend]
	}
	lostAll := !slices.ContainsFunc(table.sent, usable) && slices.ContainsFunc(table.desired, usable)
	return p.tableBound && (lostAll || slices.ContainsFunc(table.sent, tooWarm))
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

// hasRoom reports whether the limits allow an ordinary push to a proxy. The message limit is not checked if the proxy gets an
// exclusion in this step, because the push then shares that message. It is not checked for a first table either.
func (h *channel) hasRoom(proxy *proxyActor) bool {
	share, firstTableDue := ordinaryPushShare, proxy.joinedAt+firstTableDelayShare*h.planner.settings.DrainGrace
	if !proxy.tableBound && h.planner.now < firstTableDue {
		share = firstTableShare
	}
	fits := float64(h.waitingLines()+proxy.maxPushLines()) < share*h.planner.settings.MaxChannelLines
	return fits && (!proxy.tableBound || proxy.pendingLines > 0 || h.withinMessageLimit(proxy, ordinaryPushShare))
}
