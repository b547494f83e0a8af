package store

import (
	"fmt"
	"io"
)

// pendingWrite is a batch on its way to the disk.
type pendingWrite struct {
	batch    *Batch
	sequence uint64 // set once it is written
	err      error
	signal   chan commitSignal // for a caller of Commit that waits
}

// Write writes a batch that is not durable yet, and returns its sequence number for SyncTo.
func (s *Store) Write(batch *Batch) (sequence uint64, err error) {
	write := &pendingWrite{batch: batch}
	s.writeGroup([]*pendingWrite{write})
	return write.sequence, write.err
}

// writeGroup writes batches with one append: all of them are written or none, apart from those that are invalid. The
// results are set in the group.
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

// encodeGroup fills the write buffer with the frames of the valid batches and returns how many there are; mu is held.
func (s *Store) encodeGroup(group []*pendingWrite) (batches int) {
	s.writeBuffer = s.writeBuffer[:0]
	for _, write := range group {
		payload := write.batch.payload
		if write.batch.changes == 0 || len(payload) > MaxPayloadBytes {
			write.err = fmt.Errorf("%w: a batch of %d changes and %d bytes", ErrWriteRejected, write.batch.changes, len(payload))
			continue
		}
		batches++
		write.sequence = s.lastSequence + uint64(batches)
		s.writeBuffer = appendFrame(s.writeBuffer, s.active.header, write.sequence, s.durable, payload)
	}
	return batches
}

// failGroup sets the error of all writes that have none.
func failGroup(group []*pendingWrite, err error) {
	for _, write := range group {
		if write.err == nil {
			write.err = err
		}
	}
}

// appendToLog appends to the active segment, or leaves it as it was; mu is held.
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

// undoAppend removes what a failed append wrote: the next batch must not follow a part of a frame. mu is held.
func (s *Store) undoAppend(cause error) error {
	s.stats.RejectedWrites++
	if err := s.active.file.Truncate(s.active.size); err != nil {
		s.broken = fmt.Errorf("%w: %w, and the part that was written can't be removed: %w", ErrBroken, cause, err)
		return s.broken
	}
	return fmt.Errorf("%w: %w", ErrWriteRejected, cause)
}
