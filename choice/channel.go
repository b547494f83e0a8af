package choice

import "slices"

// unackedStep is a step whose messages are not known to have left the channel.
type unackedStep struct {
	nonce  Nonce
	sentAt Seconds
	lines  int
}

// channel accounts for the lines that wait to be sent to the proxies, and keeps nonces and the usual acknowledgement time.
type channel struct {
	mailbox
	plan        *Planner
	nonce       Nonce // of the newest step with messages
	meanAckTime Seconds
	queuedLines int // of this step so far
	unacked     []unackedStep
}

// handle learns from acknowledgements what has left the channel: messages leave it in order.
func (h *channel) handle(msg message) {
	switch msg := msg.(type) {
	case acknowledged:
		at := slices.IndexFunc(h.unacked, func(step unackedStep) bool { return step.nonce == msg.nonce })
		if at >= 0 {
			took := max(msg.delay, h.plan.now-h.unacked[at].sentAt)
			h.meanAckTime += ackTimeGain * (took - h.meanAckTime)
			h.unacked = h.unacked[at:]
		}
	case tickElapsed:
		lost := func(step unackedStep) bool { return h.plan.now > step.sentAt+messageLossTimeout }
		h.unacked = slices.DeleteFunc(h.unacked, lost)
	}
}

// unackedLines is how many lines of earlier steps may still wait.
func (h *channel) unackedLines() (lines int) {
	for _, step := range h.unacked {
		lines += step.lines
	}
	return lines
}

// waitingLines is how many lines may wait, with those of this step.
func (h *channel) waitingLines() int { return h.unackedLines() + h.queuedLines }

// messageLines is how many lines this step's message to a proxy has: its own, those of the header and the nonce.
func (h *channel) messageLines(proxy *proxyActor) int {
	if proxy.pendingLines == 0 {
		return 0
	}
	return proxy.pendingLines + int(h.plan.settings.MessageLines) + 1
}

// finishStep gives all messages of the step one nonce.
func (plan *Planner) finishStep() {
	channel := plan.channel
	channel.queuedLines = 0
	lines, ahead, nonce := 0, channel.unackedLines(), (channel.nonce+1)%NonceSpace
	for _, proxy := range plan.proxies {
		if proxy.pendingLines == 0 {
			continue
		}
		lines += channel.messageLines(proxy)
		proxy.messagesSentAt = append(proxy.messagesSentAt, plan.now)
		if proxy.awaitsAck {
			proxy.pushInFlight, proxy.pushNonce = true, nonce
			proxy.leavesChannelAt = plan.now + sendTimeFactor*float64(ahead+lines)/plan.settings.ChannelPace
		}
		proxy.pendingLines, proxy.awaitsAck = 0, false
	}
	if lines > 0 {
		channel.nonce = nonce
		channel.unacked = append(channel.unacked, unackedStep{nonce, plan.now, lines})
		plan.commands = append(plan.commands, SetNonce{nonce, false})
	}
}
