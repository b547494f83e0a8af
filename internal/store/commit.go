package store

import "slices"

// maxCommitGroupBytes limits the total payload size that one append writes for concurrent callers of Commit. A single
// larger batch is written on its own.
const maxCommitGroupBytes = 4 << 20

// commitSignal tells a waiting caller of Commit how to continue.
type commitSignal int

const (
	signalDone commitSignal = iota // the batch was handled by another caller; pendingWrite.err is the result
	signalLead                     // become the leader and write the next group
)

// Commit writes a batch and returns once it is durable. Concurrent calls are combined into a group commit: one caller, the
// leader, writes and syncs the batches of all queued callers, while later callers queue up for the next group.
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

// enqueueCommit adds a write to the queue and reports whether its caller is the leader.
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

// takeCommitGroup removes the next group of writes from the queue: as many as fit into maxCommitGroupBytes, and at least
// the first, which is the leader's own.
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

// syncGroup makes those writes of a group durable that succeeded. If the sync fails, it sets their errors.
func (s *Store) syncGroup(group []*pendingWrite) {
	if !slices.ContainsFunc(group, func(write *pendingWrite) bool { return write.err == nil }) {
		return
	}
	if err := s.Sync(); err != nil {
		failGroup(group, err)
	}
}

// passLeadership makes the first caller in the queue the next leader, if the queue is not empty.
func (s *Store) passLeadership() {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.committing = len(s.commitQueue) > 0
	if s.committing {
		s.commitQueue[0].signal <- signalLead
	}
}
