package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// errNoSnapshotNumber can't occur with files written by this package: segments are numbered from 1, and a new segment after
// one with batches has at least number 2, which leaves a number below it for the snapshot.
var errNoSnapshotNumber = errors.New("no file number is left for a snapshot")

// Open opens a store, or creates one in an empty folder. Unless the store was closed cleanly, Open writes all recovered
// contents to a new snapshot: batches that an earlier process wrote without a successful sync can be read now, but could
// still be lost in the next crash. The error wraps a CorruptionError, ErrNewerFormat, disk.ErrLocked or an error of the
// folder.
func Open(options Options) (*Store, Recovery, error) {
	if options.MinCompactionBytes == 0 {
		options.MinCompactionBytes = defaultMinCompactionBytes
	}
	lock, err := options.Folder.Lock()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("open the store: %w", err)
	}
	store := &Store{
		options:       options,
		folder:        options.Folder,
		lock:          lock,
		stop:          make(chan struct{}),
		compactionDue: make(chan struct{}, 1),
	}
	report, err := store.recover()
	if err != nil {
		_ = lock.Close() // err is more important; the kernel releases the lock with the process in any case
		return nil, report, fmt.Errorf("open the store: %w", err)
	}
	if options.Background {
		store.background.Add(1)
		go store.compactInBackground()
	}
	return store, report, nil
}

// recover reads the store's files, creates a segment for new batches and adds it to the log.
func (s *Store) recover() (Recovery, error) {
	recovered, err := recoverStore(s.folder)
	if err != nil {
		return Recovery{}, err
	}
	report := recovered.report
	s.index, s.lastSequence, s.durable = recovered.index, recovered.lastSequence, recovered.lastSequence
	s.manifest, s.snapshotBytes = recovered.manifest, recovered.snapshotBytes
	if recovered.absent {
		s.manifest.storeID = s.newStoreID()
	}
	// Use a number that no file has had, so that leftover data of another file can't be mistaken for a part of this one.
	if err := s.startSegment(recovered.highestNumber + 1); err != nil {
		return report, fmt.Errorf("create a segment: %w", err)
	}
	if recovered.closedCleanly {
		// The close marker may not be durable yet. Batches in the new segment record that it is, so sync it first.
		if err := s.syncFile(segmentName(recovered.highestNumber)); err != nil {
			return report, err
		}
		s.logBytes += report.LogBytes
		report.RemovedFiles = s.removeObsoleteFiles()
		return report, nil
	}
	if err := s.rewrite(report); err != nil {
		return report, err
	}
	report.RemovedFiles = s.removeObsoleteFiles()
	return report, nil
}

// newStoreID returns the configured ID, or a random one.
func (s *Store) newStoreID() uint64 {
	if s.options.ID != 0 {
		return s.options.ID
	}
	return rand.Uint64() | 1 // never 0
}

// rewrite makes the active segment the first one of the manifest. If the log had any data, it first writes the recovered
// contents to a new snapshot.
func (s *Store) rewrite(report Recovery) error {
	next := s.manifest
	next.firstSegment = s.active.header.number
	if report.LogFrames > 0 || report.TornBytes > 0 {
		next.snapshot = next.firstSegment - 1
		if next.snapshot == 0 {
			return errNoSnapshotNumber
		}
		writer := s.newSnapshotWriter(next.snapshot) // without mu: nothing else uses the store yet
		if err := writer.writeAll(); err != nil {
			return fmt.Errorf("write a snapshot of the recovered contents: %w", err)
		}
		s.snapshotBytes = writer.bytes
	}
	if err := s.replaceManifest(next); err != nil {
		return fmt.Errorf("replace the manifest: %w", err)
	}
	return nil
}

// syncFile syncs a file that was written by an earlier process.
func (s *Store) syncFile(name string) error {
	file, err := s.folder.Open(name)
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	err = file.Sync()
	_ = file.Close() // nothing was written through this handle
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// Close makes all written batches durable and releases the folder. A compaction in progress is abandoned. The error is that
// of the sync, ErrBroken, or ErrClosed if the store was closed before.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	err := s.broken
	s.mu.Unlock()
	close(s.stop)
	s.background.Wait()
	if err == nil {
		err = s.Sync()
	}
	if err == nil {
		err = s.writeCloseMarker()
	}
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.compactionMu.Lock()
	defer s.compactionMu.Unlock()
	if s.compaction != nil {
		s.compaction.abort()
		s.compaction = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, sealed := range s.sealed {
		sealed.close()
	}
	s.active.close()
	return errors.Join(err, s.lock.Close())
}

// writeCloseMarker appends a frame that records that all batches before it are durable. The marker is not synced: if a
// crash loses it, the next Open only writes a snapshot that would not have been necessary.
func (s *Store) writeCloseMarker() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.durable < s.lastSequence {
		return nil // a batch was written after the last sync
	}
	marker := appendFrame(nil, s.active.header, s.lastSequence+1, s.durable, []byte{opCloseMarker})
	if err := s.appendToLog(marker); err != nil {
		return err
	}
	s.lastSequence++
	return nil
}
