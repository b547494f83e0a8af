package store

import (
	"fmt"
	"io"
)

// pendingWrite is a batch that is being written, and its result.
type pendingWrite struct {
	batch    *Batch
	sequence uint64            // sequence number of the batch, set when the batch is encoded
	err      error             // set if the write or sync fails
	signal   chan commitSignal // wakes the waiting caller of Commit; nil for Write
}

// Write writes a batch without making it durable, and returns its sequence number for SyncTo.
func (s *Store) Write(batch *Batch) (sequence uint64, err error) {
	write := &pendingWrite{batch: batch}
	s.writeGroup([]*pendingWrite{write})
	return write.sequence, write.err
}

// writeGroup writes batches with one append: either all valid batches are written or none. Invalid batches are rejected.
// The results are set in the members of the group.
func (s *Store) writeGroup(group []*pendingWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		failGroup(group, err)
		return
	}
	batches := s.encodeGroup(group)
	if batches == 0 {
		return
	}
	if err := s.appendToLog(s.writeBuffer); err != nil {
		failGroup(group, err)
		return
	}
	s.lastSequence += uint64(batches)
	s.stats.Batches += batches
	for _, write := range group {
		if write.err == nil {
			write.batch.apply(s.index)
		}
	}
	if s.needsCompaction() {
		s.requestCompaction()
	}
}

// encodeGroup encodes the valid batches as frames into writeBuffer and returns their number; the caller holds mu.
func (s *Store) encodeGroup(group []*pendingWrite) (batches int) {
	s.writeBuffer = s.writeBuffer[:0]
	for _, write := range group {
		payload := write.batch.payload
		if write.batch.changes == 0 || len(payload) > MaxPayloadBytes {
			write.err = fmt.Errorf("%w: the batch has %d changes and %d bytes", ErrWriteRejected, write.batch.changes, len(payload))
			continue
		}
		batches++
		write.sequence = s.lastSequence + uint64(batches)
		s.writeBuffer = appendFrame(s.writeBuffer, s.active.header, write.sequence, s.durable, payload)
	}
	return batches
}

// failGroup sets the error of all writes of a group that have none yet.
func failGroup(group []*pendingWrite, err error) {
	for _, write := range group {
		if write.err == nil {
			write.err = err
		}
	}
}

// appendToLog appends data to the active segment. If that fails, it undoes the partial write; the caller holds mu.
func (s *Store) appendToLog(data []byte) error {
	n, err := s.active.file.Append(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return s.undoAppend(err)
	}
	size := int64(len(data))
	s.active.size += size
	s.logBytes += size
	s.stats.BytesWritten += size
	return nil
}

// undoAppend truncates the active segment after a failed append, because the next batch must not follow a partial frame. If
// that fails, the store is broken. The caller holds mu.
func (s *Store) undoAppend(cause error) error {
	s.stats.RejectedWrites++
	if err := s.active.file.Truncate(s.active.size); err != nil {
		s.broken = fmt.Errorf("%w: %w, and the partial write can't be removed: %w", ErrBroken, cause, err)
		return s.broken
	}
	return fmt.Errorf("%w: %w", ErrWriteRejected, cause)
}
