package choice

import "slices"

// unackedStep is a step whose messages may still wait in the channel.
type unackedStep struct {
	nonce  Nonce
	sentAt Seconds
	lines  int // of the step's messages to all proxies
}

// channel is the actor that keeps account of the outgoing channel, a queue of lines (see Settings) that is shared by the
// messages to all proxies. It estimates how many lines wait there, and keeps the newest nonce and the mean acknowledgement time.
type channel struct {
	mailbox
	planner     *Planner
	nonce       Nonce         // nonce of the newest step with messages
	meanAckTime Seconds       // exponential moving average of the time from a push to its acknowledgement
	queuedLines int           // lines of the messages that were queued in this step so far
	unacked     []unackedStep // earlier steps, oldest first
}

// handle removes from unacked what has left the channel. Messages leave it in order, so an acknowledgement shows that all
// earlier steps have left it, too. The acknowledged step stays, because its messages to other proxies may still wait. Messages
// of a lost stream are never acknowledged; their steps are removed after messageLossTimeout.
func (h *channel) handle(msg message) {
	switch msg := msg.(type) {
	case acknowledged:
		at := slices.IndexFunc(h.unacked, func(step unackedStep) bool { return step.nonce == msg.nonce })
		if at >= 0 {
			// The delay that the proxy gives is part of this time. It is not used, because a wrong one would raise the mean for long.
			ackTime := h.planner.now - h.unacked[at].sentAt
			h.meanAckTime += ackTimeGain * (ackTime - h.meanAckTime)
			h.unacked = h.unacked[at:]
		}
	case tickElapsed:
		lost := func(step unackedStep) bool { return h.planner.now > step.sentAt+messageLossTimeout }
		h.unacked = slices.DeleteFunc(h.unacked, lost)
	}
}

// unackedLines returns the number of lines of earlier steps that may still wait in the channel.
func (h *channel) unackedLines() (lines int) {
	for _, step := range h.unacked {
		lines += step.lines
	}
	return lines
}

// waitingLines returns the number of lines that may wait in the channel, including those of this step.
func (h *channel) waitingLines() int { return h.unackedLines() + h.queuedLines }

// messageLines returns the number of lines of this step's message to a proxy: its pending lines, the header and the nonce.
func (h *channel) messageLines(proxy *proxyActor) int {
	if proxy.pendingLines == 0 {
		return 0
	}
	return proxy.pendingLines + int(h.planner.settings.MessageHeaderLines) + 1
}

// finishStep gives all messages of the step one nonce and records them as sent.
func (planner *Planner) finishStep() {
	channel := planner.channel
	channel.queuedLines = 0
	lines, linesAhead, nonce := 0, channel.unackedLines(), (channel.nonce+1)%NonceSpace
	for _, proxy := range planner.proxies {
		if proxy.pendingLines == 0 {
			continue
		}
		lines += channel.messageLines(proxy)
		proxy.messagesSentAt = append(proxy.messagesSentAt, planner.now)
		if proxy.awaitsAck {
			proxy.pushInFlight, proxy.pushNonce = true, nonce
			proxy.leavesChannelAt = planner.now + sendTimeFactor*float64(linesAhead+lines)/planner.settings.ChannelLinesPerSecond
		}
		proxy.pendingLines, proxy.awaitsAck = 0, false
	}
	if lines > 0 {
		channel.nonce = nonce
		channel.unacked = append(channel.unacked, unackedStep{nonce, planner.now, lines})
		planner.commands = append(planner.commands, SetNonce{nonce, false})
	}
}
