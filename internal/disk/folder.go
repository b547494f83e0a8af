// Package disk provides the file system operations that the store needs: one folder of append-only files. Real keeps the
// files on a disk. Memory keeps them in memory and can simulate every outcome of a crash that the store's format must
// handle.
package disk

import (
	"errors"
	"io"
)

// LockName is the name of the lock file in a Real folder.
const LockName = "LOCK"

// ErrLocked is returned by Lock if the folder is already locked, usually by another process.
var ErrLocked = errors.New("another process owns it")

// Folder is one folder of files. Creating, renaming and removing files is durable once a later SyncDir has succeeded.
type Folder interface {
	// Create creates an empty file; it fails with fs.ErrExist if the name is in use.
	Create(name string) (File, error)
	// Open opens a file for reading; it fails with fs.ErrNotExist if the file does not exist.
	Open(name string) (File, error)
	// Names returns the names of all files, sorted.
	Names() ([]string, error)
	// Rename renames a file and replaces any file that already has the new name.
	Rename(from, to string) error
	// Remove deletes a file; it fails with fs.ErrNotExist if the file does not exist.
	Remove(name string) error
	// SyncDir makes all created, renamed and removed names durable.
	SyncDir() error
	// Lock locks the folder exclusively until the returned lock is closed; it fails with ErrLocked if it is locked.
	Lock() (io.Closer, error)
}

// File is one file. Appended data is durable once Sync has succeeded. After a failed Sync it is unknown whether data
// appended since the last successful Sync is on the disk.
type File interface {
	io.ReaderAt
	io.Closer
	// Append writes data at the end of the file. If it fails, a part of data may have been written.
	Append(data []byte) (int, error)
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	// Size returns the file's size in bytes.
	Size() (int64, error)
	// Sync makes the file's content durable.
	Sync() error
}

// ReadAll reads a whole file.
func ReadAll(folder Folder, name string) ([]byte, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read, so a failed close loses no data
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	n, err := file.ReadAt(data, 0)
	if errors.Is(err, io.EOF) && int64(n) == size {
		return data, nil
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}
