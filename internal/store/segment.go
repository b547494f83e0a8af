package store

import (
	"errors"
	"io/fs"

	"gingerfork/internal/disk"
)

// segment is an open segment, one file of the write-ahead log.
type segment struct {
	header fileHeader
	file   disk.File
	size   int64 // bytes, including the header
}

// close closes the segment's file. It is called only after the segment was synced or the store is broken.
func (s *segment) close() {
	_ = s.file.Close() // durable data was synced, so a failed close loses none of it
}

// createSegment creates a segment without batches. Its content and its name are durable when it returns.
func createSegment(folder disk.Folder, header fileHeader) (*segment, error) {
	name := segmentName(header.number)
	file, err := folder.Create(name)
	if errors.Is(err, fs.ErrExist) {
		// An earlier attempt failed and could not remove its file.
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
		_ = file.Close()        // the file is removed next
		_ = folder.Remove(name) // if this fails, the next attempt removes it
		return nil, err
	}
	return &segment{header: header, file: file, size: fileHeaderSize}, nil
}

// startSegment creates a segment and makes it the active one.
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

// activate makes a segment the active one, to which batches are written; the caller holds mu.
func (s *Store) activate(next *segment) {
	if s.active != nil {
		s.sealed = append(s.sealed, s.active)
	}
	s.active = next
	s.logBytes += next.size
	s.stats.BytesWritten += next.size
}

// removeObsoleteFiles removes the files that the current manifest does not need, and returns the names of removed files.
func (s *Store) removeObsoleteFiles() (removed []string) {
	names, err := s.folder.Names()
	if err != nil {
		return nil // the next compaction or Open removes them
	}
	for _, name := range names {
		if s.isObsolete(name) && s.folder.Remove(name) == nil {
			removed = append(removed, name)
		}
	}
	return removed
}

// isObsolete reports whether the current manifest does not need the file with this name.
func (s *Store) isObsolete(name string) bool {
	if number := segmentNumber(name); number > 0 {
		return number < s.manifest.firstSegment
	}
	if number := snapshotNumber(name); number > 0 {
		return number != s.manifest.snapshot
	}
	return name == temporaryManifestName
}
