package store

import "slices"

// maxCommitGroupBytes bounds the payloads that one append writes for many callers of Commit.
const maxCommitGroupBytes = 4 << 20

// commitSignal ends the wait of a caller of Commit.
type commitSignal int

const (
	signalDone commitSignal = iota // the batch was written by another caller
	signalLead                     // write the next group
)

// Commit writes a batch and returns once it is durable. Of many concurrent callers one leads: it writes and syncs for all
// that are in the queue, while the next group gathers.
func (s *Store) Commit(batch *Batch) error {
	write := &pendingWrite{batch: batch, signal: make(chan commitSignal, 1)}
	leads := s.enqueueCommit(write)
	if !leads && <-write.signal == signalDone {
		return write.err
	}
	group := s.takeCommitGroup()
	s.writeGroup(group)
	s.syncGroup(group)
	s.passLeadership()
	for _, member := range group {
		if member != write {
			member.signal <- signalDone
		}
	}
	return write.err
}

// enqueueCommit adds a write to the queue and reports whether its caller leads.
func (s *Store) enqueueCommit(write *pendingWrite) (leads bool) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.commitQueue = append(s.commitQueue, write)
	if s.committing {
		return false
	}
	s.committing = true
	return true
}

// takeCommitGroup takes as many writes from the queue as one append may write; at least the first, the leader's own.
func (s *Store) takeCommitGroup() []*pendingWrite {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	count, bytes := 0, 0
	for _, write := range s.commitQueue {
		bytes += write.batch.Size()
		if count > 0 && bytes > maxCommitGroupBytes {
			break
		}
		count++
	}
	group := s.commitQueue[:count:count]
	s.commitQueue = s.commitQueue[count:]
	return group
}

// syncGroup makes the writes of a group durable that succeeded.
func (s *Store) syncGroup(group []*pendingWrite) {
	if !slices.ContainsFunc(group, func(write *pendingWrite) bool { return write.err == nil }) {
		return
	}
	if err := s.Sync(); err != nil {
		failGroup(group, err)
	}
}

// passLeadership makes the first in the queue the next leader, if there is any.
func (s *Store) passLeadership() {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.committing = len(s.commitQueue) > 0
	if s.committing {
		s.commitQueue[0].signal <- signalLead
	}
}
