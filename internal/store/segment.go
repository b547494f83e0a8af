package store

import (
	"errors"
	"io/fs"

	"gingerfork/internal/disk"
)

// segment is an open file of the log.
type segment struct {
	header fileHeader
	file   disk.File
	size   int64 // bytes
}

// close closes the file of a segment that was synced, or whose store is broken.
func (s *segment) close() {
	_ = s.file.Close() // what is durable was synced, so closing it can lose nothing
}

// createSegment makes a segment without batches. It is durable, with its name.
func createSegment(folder disk.Folder, header fileHeader) (*segment, error) {
	name := segmentName(header.number)
	file, err := folder.Create(name)
	if errors.Is(err, fs.ErrExist) {
		// An attempt before this one failed, and its file could not be removed.
		if err := folder.Remove(name); err != nil {
			return nil, err
		}
		file, err = folder.Create(name)
	}
	if err != nil {
		return nil, err
	}
	err = writeSynced(file, header.append(nil))
	if err == nil {
		err = folder.SyncDir()
	}
	if err != nil {
		_ = file.Close()        // the file is removed
		_ = folder.Remove(name) // if it stays, the next attempt removes it
		return nil, err
	}
	return &segment{header: header, file: file, size: fileHeaderSize}, nil
}

// startSegment makes a segment and writes all later batches to it.
func (s *Store) startSegment(number uint64) error {
	created, err := createSegment(s.folder, fileHeader{storeID: s.manifest.storeID, number: number})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activate(created)
	return nil
}

// activate makes a segment the one that batches are written to; mu is held.
func (s *Store) activate(next *segment) {
	if s.active != nil {
		s.sealed = append(s.sealed, s.active)
	}
	s.active = next
	s.logBytes += next.size
	s.stats.BytesWritten += next.size
}

// removeObsoleteFiles removes the files that the manifest in force does not need, and returns their names.
func (s *Store) removeObsoleteFiles() (removed []string) {
	names, err := s.folder.Names()
	if err != nil {
		return nil // the next compaction or start removes them
	}
	for _, name := range names {
		if s.isObsolete(name) && s.folder.Remove(name) == nil {
			removed = append(removed, name)
		}
	}
	return removed
}

func (s *Store) isObsolete(name string) bool {
	if number := segmentNumber(name); number > 0 {
		return number < s.manifest.firstSegment
	}
	if number := snapshotNumber(name); number > 0 {
		return number != s.manifest.snapshot
	}
	return name == temporaryManifestName
}
