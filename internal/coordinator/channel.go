package coordinator

import (
	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// message is what one step of the module orders of one proxy.
type message struct {
	to     *stream
	step   uint64
	at     choice.Seconds // when it was ordered
	lines  int            // as the settings count them, with its head
	ops    []proto.TableOp
	marked bool
	mark   choice.Nonce
	wire   uint64 // the mark as proxies see it
	needs  uint64 // what must be durable before its answer counts
	urgent bool   // it takes a server out of use
	done   bool   // it left, or its stream did
}

// channel is what waits to be sent. Messages leave one after another at the pace that the settings state, in the order
// of the steps that ordered them; but a proxy whose queue holds a withdrawal goes ahead of all that have none, with
// whatever was ordered of it before, so that no message is split, and none of a proxy's overtakes another of its own.
type channel struct {
	pace    float64 // lines a second
	head    int     // lines that a message costs beside its own
	burst   choice.Seconds
	free    choice.Seconds // from when the next may leave
	order   []*message     // by step; those that are done are passed over
	urgent  []*stream
	waiting int
	most    int // the most that ever waited
}

func (h *channel) add(m *message) {
	m.lines += h.head
	h.waiting += m.lines
	h.most = max(h.most, h.waiting)
	h.order = append(h.order, m)
	m.to.queue = append(m.to.queue, m)
	if m.urgent && !m.to.urgent {
		m.to.urgent = true
		h.urgent = append(h.urgent, m.to)
	}
}

// oldest is the step of the first message that still waits; all before it have left.
func (h *channel) oldest() (step uint64, any bool) {
	for len(h.order) > 0 && h.order[0].done {
		h.order[0] = nil
		h.order = h.order[1:]
	}
	if len(h.order) == 0 {
		h.order = nil
		return 0, false
	}
	return h.order[0].step, true
}

// next takes the message that may leave now, nil if none may. After an idle time, or a time in which nobody drove us,
// at most a burst is made up for: the pace is a promise to the proxies, not a debt to us.
func (h *channel) next(now choice.Seconds) *message {
	if _, any := h.oldest(); !any {
		return nil
	}
	if h.free > now {
		return nil
	}
	m := h.order[0]
	if len(h.urgent) > 0 {
		m = h.urgent[0].queue[0]
	}
	h.take(m)
	h.free = max(h.free, now-h.burst) + float64(m.lines)/h.pace
	return m
}

// take removes the first message of its stream's queue.
func (h *channel) take(m *message) {
	s := m.to
	s.queue[0] = nil
	s.queue = s.queue[1:]
	m.done = true
	h.waiting -= m.lines
	if s.urgent && !anyUrgent(s.queue) {
		s.urgent = false
		for i, x := range h.urgent {
			if x == s {
				h.urgent = append(h.urgent[:i], h.urgent[i+1:]...)
				break
			}
		}
	}
}

func anyUrgent(queue []*message) bool {
	for _, m := range queue {
		if m.urgent {
			return true
		}
	}
	return false
}

// drop forgets what waits for a stream that is gone.
func (h *channel) drop(s *stream) {
	for len(s.queue) > 0 {
		h.take(s.queue[0])
	}
}

// wake is when the next message may leave.
func (h *channel) wake() (at choice.Seconds, any bool) {
	_, any = h.oldest()
	return h.free, any
}
