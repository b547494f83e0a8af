package coordinator

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// queuedPush is what one step of the decision module changes for one proxy.
type queuedPush struct {
	stream            *proxyStream
	step              uint64         // number of the decision module's step that ordered the push
	orderedAt         choice.Seconds // time of the step that ordered the push
	entries           int            // size that counts for the push rate, in table entries; add adds the overhead
	ops               []proto.TableOp
	hasNonce          bool
	nonce             choice.Nonce // the decision module's own nonce
	wireNonce         uint64       // the nonce that the proxy is sent
	durabilityBarrier uint64       // number of the batch that must be durable before its acknowledgement counts
	urgent            bool         // the push excludes a backend at the proxy
	removed           bool         // the push was sent, or its stream was closed
}

// pushQueue holds the pushes that wait to be sent. They are sent one after another at the rate in the settings, in the order
// of the steps that ordered them. However, a stream with an urgent push goes before all streams without one, together with
// the pushes that were queued for it earlier. So no push is split, and none overtakes another push of its own stream.
type pushQueue struct {
	entriesPerSecond float64        // the push rate
	overheadEntries  int            // overhead: counted for each push in addition to its own table entries
	maxCatchUp       choice.Seconds // how much unused time in the past may be made up for
	nextSendAt       choice.Seconds // earliest time of the next push
	byStep           []*queuedPush  // queued pushes in the order of their steps; may include removed ones
	urgentStreams    []*proxyStream // streams with an urgent push, in the order in which the push was added
	queuedEntries    int            // size of all queued pushes in table entries, with overhead
	maxQueuedEntries int            // the largest value of queuedEntries so far
}

// add appends a push to the queue.
func (q *pushQueue) add(push *queuedPush) {
	push.entries += q.overheadEntries
	q.queuedEntries += push.entries
	q.maxQueuedEntries = max(q.maxQueuedEntries, q.queuedEntries)
	q.byStep = append(q.byStep, push)
	push.stream.queue = append(push.stream.queue, push)
	if push.urgent && !push.stream.hasUrgent {
		push.stream.hasUrgent = true
		q.urgentStreams = append(q.urgentStreams, push.stream)
	}
}

// oldestStep returns the earliest step of which a push still waits, so that the pushes of all earlier steps were sent. It
// returns false if no push waits.
func (q *pushQueue) oldestStep() (uint64, bool) {
	for len(q.byStep) > 0 && q.byStep[0].removed {
		q.byStep[0] = nil
		q.byStep = q.byStep[1:]
	}
	if len(q.byStep) == 0 {
		q.byStep = nil
		return 0, false
	}
	return q.byStep[0].step, true
}

// nextPush removes and returns the push that may be sent now, or returns nil if none may. After a time without pushes or
// without steps, at most maxCatchUp of it is made up for, because proxies rely on the rate.
func (q *pushQueue) nextPush(now choice.Seconds) *queuedPush {
	if _, ok := q.oldestStep(); !ok || q.nextSendAt > now {
		return nil
	}
	push := q.byStep[0]
	if len(q.urgentStreams) > 0 {
		push = q.urgentStreams[0].queue[0]
	}
	q.removeFirst(push.stream)
	q.nextSendAt = max(q.nextSendAt, now-q.maxCatchUp) + float64(push.entries)/q.entriesPerSecond
	return push
}

// removeFirst removes the first push of a stream.
func (q *pushQueue) removeFirst(s *proxyStream) {
	push := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	push.removed = true
	q.queuedEntries -= push.entries
	if !s.hasUrgent || slices.ContainsFunc(s.queue, func(p *queuedPush) bool { return p.urgent }) {
		return
	}
	s.hasUrgent = false
	if i := slices.Index(q.urgentStreams, s); i >= 0 {
		q.urgentStreams = slices.Delete(q.urgentStreams, i, i+1)
	}
}

// removeStream removes all pushes of a stream that was closed.
func (q *pushQueue) removeStream(s *proxyStream) {
	for len(s.queue) > 0 {
		q.removeFirst(s)
	}
}

// nextAt returns when the next push may be sent, and false if no push waits.
func (q *pushQueue) nextAt() (choice.Seconds, bool) {
	_, ok := q.oldestStep()
	return q.nextSendAt, ok
}
