package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// errNoSnapshotNumber can't happen with files that this package wrote: segments are numbered from 1 on, and one that has
// batches leaves room for the number of a snapshot.
var errNoSnapshotNumber = errors.New("batches before the first segment")

// Open opens a store, or creates one in an empty folder. Unless it was closed cleanly, everything is written again as a
// snapshot: what an earlier process wrote without a successful sync can be read now and be lost in the next crash. The error
// is a CorruptionError, ErrNewerFormat, disk.ErrLocked or one of the folder.
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
		_ = lock.Close() // the error above says why; the kernel drops the lock with the process in any case
		return nil, report, fmt.Errorf("open the store: %w", err)
	}
	if options.Background {
		store.background.Add(1)
		go store.compactInBackground()
	}
	return store, report, nil
}

// recover reads the folder, creates a segment for new batches and puts it in force.
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
	// A number that no file has had: what is left of another file can't be taken for a part of this one.
	if err := s.startSegment(recovered.highestNumber + 1); err != nil {
		return report, fmt.Errorf("create a segment: %w", err)
	}
	if recovered.closedCleanly {
		// The close marker may not be durable, and the batches after it rely on that.
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

func (s *Store) newStoreID() uint64 {
	if s.options.ID != 0 {
		return s.options.ID
	}
	return rand.Uint64() | 1 // not 0
}

// rewrite puts the active segment in force, after a snapshot of what was recovered if the log had anything.
func (s *Store) rewrite(report Recovery) error {
	next := s.manifest
	next.firstSegment = s.active.header.number
	if report.LogFrames > 0 || report.TornBytes > 0 {
		next.snapshot = next.firstSegment - 1
		if next.snapshot == 0 {
			return errNoSnapshotNumber
		}
		writer := s.newSnapshotWriter(next.snapshot) // nobody writes yet
		if err := writer.writeAll(); err != nil {
			return fmt.Errorf("write what was recovered: %w", err)
		}
		s.snapshotBytes = writer.bytes
	}
	if err := s.replaceManifest(next); err != nil {
		return fmt.Errorf("replace the manifest: %w", err)
	}
	return nil
}

// syncFile syncs a file of an earlier run.
func (s *Store) syncFile(name string) error {
	file, err := s.folder.Open(name)
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	err = file.Sync()
	_ = file.Close() // nothing was written through it
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// Close makes everything that was written durable and releases the folder. A compaction in progress is dropped. It returns
// the error of the sync, or ErrBroken, or ErrClosed if the store was closed before.
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

// writeCloseMarker records that everything before it is durable. It is not synced: if a crash loses it, the next Open
// writes a snapshot, which does no harm.
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
