package store

import (
	"errors"
	"fmt"
)

// compactionRatio is the ratio of log size to snapshot size above which the log is compacted, if the log is also larger
// than Options.MinCompactionBytes.
const compactionRatio = 2

// needsCompaction reports whether the log is large enough to be compacted; the caller holds mu.
func (s *Store) needsCompaction() bool {
	return s.logBytes > max(s.options.MinCompactionBytes, compactionRatio*s.snapshotBytes, s.compactionRetryLogBytes)
}

// requestCompaction wakes the background goroutine, if there is one.
func (s *Store) requestCompaction() {
	select {
	case s.compactionDue <- struct{}{}:
	default: // already requested
	}
}

// Compact performs one step of a compaction if one is in progress or needed, or if force is set. more reports whether the
// compaction needs further calls. If a step fails, for example on a full disk, the log is kept, and the next attempt
// without force is made when the log has grown by half.
func (s *Store) Compact(force bool) (more bool, err error) {
	s.compactionMu.Lock()
	defer s.compactionMu.Unlock()
	s.mu.Lock()
	unwritable, needed := s.checkWritable(), s.needsCompaction()
	s.mu.Unlock()
	if unwritable != nil {
		return false, unwritable
	}
	if s.compaction != nil {
		return s.continueCompaction()
	}
	if !needed && !force {
		return false, nil
	}
	if err := s.startCompaction(); err != nil {
		return false, s.deferCompaction(fmt.Errorf("begin a compaction: %w", err))
	}
	return true, nil
}

// startCompaction starts a new segment and a snapshot of everything that was written to the segments before it.
func (s *Store) startCompaction() error {
	number := s.active.header.number + 1
	created, err := createSegment(s.folder, fileHeader{storeID: s.manifest.storeID, number: number})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activate(created)
	s.compaction = s.newSnapshotWriter(number - 1)
	return nil
}

// continueCompaction writes the next part of the snapshot, or makes it current once it is complete.
func (s *Store) continueCompaction() (more bool, err error) {
	writer := s.compaction
	more, err = writer.step()
	if err != nil {
		s.compaction = nil
		writer.abort()
		return false, s.deferCompaction(fmt.Errorf("write a snapshot: %w", err))
	}
	if more {
		return true, nil
	}
	s.compaction = nil
	return false, s.finishCompaction(writer)
}

// finishCompaction makes the snapshot current by replacing the manifest, and removes the files that the snapshot replaces.
func (s *Store) finishCompaction(writer *snapshotWriter) error {
	next := s.manifest
	next.snapshot = writer.header.number
	next.firstSegment = next.snapshot + 1
	if err := s.replaceManifest(next); err != nil {
		if s.Broken() != nil {
			return err // keep the snapshot: it may be current after a restart
		}
		writer.abort()
		return s.deferCompaction(fmt.Errorf("replace the manifest: %w", err))
	}
	s.mu.Lock()
	s.snapshotBytes = writer.bytes
	s.logBytes = s.active.size
	s.compactionRetryLogBytes = 0
	s.durable = max(s.durable, writer.header.lastSequence)
	s.stats.Compactions++
	s.mu.Unlock()
	s.removeObsoleteFiles()
	return nil
}

// deferCompaction delays the next attempt until the log has grown by half. It returns err.
func (s *Store) deferCompaction(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactionRetryLogBytes = s.logBytes + s.logBytes/2
	return err
}

// compactInBackground compacts the store on request until it is closed or broken.
func (s *Store) compactInBackground() {
	defer s.background.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-s.compactionDue:
		}
		if !s.compactUntilDone() {
			return
		}
	}
}

// compactUntilDone performs all steps of a compaction. It returns false if the store is being closed or is broken.
func (s *Store) compactUntilDone() bool {
	for more := true; more; {
		select {
		case <-s.stop:
			return false
		default:
		}
		var err error
		more, err = s.Compact(false) // after an error other than ErrBroken a later request tries again
		if errors.Is(err, ErrBroken) {
			return false
		}
	}
	return true
}
