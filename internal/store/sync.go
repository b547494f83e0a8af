package store

import "fmt"

// Sync makes all batches durable that were written before the call.
func (s *Store) Sync() error {
	_, written := s.Durable()
	return s.SyncTo(written)
}

// SyncTo returns once the batch with the given sequence number is durable. Concurrent calls share syncs: one sync covers
// all batches written before it started.
func (s *Store) SyncTo(sequence uint64) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.mu.Lock()
	if s.durable >= sequence {
		s.mu.Unlock()
		return nil
	}
	if err := s.checkWritable(); err != nil {
		s.mu.Unlock()
		return err
	}
	written, sealed, active := s.lastSequence, s.sealed, s.active
	s.mu.Unlock()
	// Sync in the order of the log: a batch in a later segment is durable only if all batches in earlier segments are.
	for _, earlier := range sealed {
		if err := s.syncSegment(earlier); err != nil {
			return err
		}
	}
	if err := s.syncSegment(active); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, earlier := range sealed {
		earlier.close()
	}
	s.sealed = s.sealed[len(sealed):] // a compaction may have sealed another segment meanwhile
	s.durable = max(s.durable, written)
	s.stats.Syncs++
	return nil
}

// syncSegment syncs a segment. A failure breaks the store.
func (s *Store) syncSegment(target *segment) error {
	err := target.file.Sync()
	if err == nil {
		return nil
	}
	err = fmt.Errorf("sync %s: %w", segmentName(target.header.number), err)
	s.setBroken(err)
	return brokenError(err)
}
