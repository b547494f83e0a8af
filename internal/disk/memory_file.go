package disk

import (
	"errors"
	"io"
	"slices"
)

// SectorSize is the size in bytes of a sector, the unit that a disk writes atomically.
const SectorSize = 512

// inode is the content of a file, independent of its name.
type inode struct {
	data  []byte // the content as processes see it
	disk  []byte // the content that is certain to be on the disk
	cache []byte // the content that the simulated kernel cache assumes to be on the disk
}

// durableInode returns an inode whose content is on the disk. It owns data.
func durableInode(data []byte) *inode {
	return &inode{data: data, disk: slices.Clone(data), cache: slices.Clone(data)}
}

// memoryFile is an open file of Memory.
type memoryFile struct {
	folder *Memory
	name   string // under which the file was opened
	node   *inode
}

// ReadAt implements io.ReaderAt.
func (f *memoryFile) ReadAt(buffer []byte, offset int64) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.folder.crashed {
		return 0, ErrCrashed
	}
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(buffer, f.node.data[offset:])
	if n < len(buffer) {
		return n, io.EOF
	}
	return n, nil
}

// Append implements File.
func (f *memoryFile) Append(data []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	err := f.folder.beginOperation(Op{Kind: OpAppend, Name: f.name, Size: len(data)})
	written := len(data)
	switch {
	case errors.Is(err, ErrPartialWrite):
		written = len(data) / 2
	case err != nil:
		return 0, err
	}
	f.node.data = append(f.node.data, data[:written]...)
	return written, err
}

// Truncate implements File.
func (f *memoryFile) Truncate(size int64) error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.beginOperation(Op{Kind: OpTruncate, Name: f.name}); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:min(int(size), len(f.node.data))])
	return nil
}

// Size implements File.
func (f *memoryFile) Size() (int64, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if f.folder.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.node.data)), nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	err := f.folder.beginOperation(Op{Kind: OpSync, Name: f.name})
	if errors.Is(err, ErrCrashed) {
		return err
	}
	if err == nil {
		f.node.writeBack()
	}
	f.node.cache = slices.Clone(f.node.data)
	return err
}

// Close implements io.Closer.
func (f *memoryFile) Close() error { return nil }

// writeBack writes to the disk the sectors that have changed since the last sync. Sectors whose sync failed count as clean
// in the cache, so they are not written again.
func (n *inode) writeBack() {
	n.disk = resized(n.disk, len(n.data))
	for _, offset := range changedSectors(n.cache, n.data) {
		if offset < len(n.data) {
			copy(n.disk[offset:], n.data[offset:min(offset+SectorSize, len(n.data))])
		}
	}
}

// resized returns a copy of data that is truncated or padded with zeros to a size.
func resized(data []byte, size int) []byte {
	if size <= len(data) {
		return slices.Clone(data[:size])
	}
	return append(slices.Clone(data), make([]byte, size-len(data))...)
}

// changedSectors returns the offsets of the sectors in which two contents differ. The shorter content is padded with zeros.
func changedSectors(before, after []byte) (offsets []int) {
	size := max(len(before), len(after))
	before, after = resized(before, size), resized(after, size)
	for offset := 0; offset < size; offset += SectorSize {
		end := min(offset+SectorSize, size)
		if string(before[offset:end]) != string(after[offset:end]) {
			offsets = append(offsets, offset)
		}
	}
	return offsets
}
