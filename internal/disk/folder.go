// Package disk is what the store needs of a file system: one folder of files that grow at their end. Real has them on a
// disk. Memory has them in memory, and simulates every outcome of a crash that the store's format allows for.
package disk

import (
	"errors"
	"io"
)

// LockName is the name of the lock file.
const LockName = "LOCK"

// ErrLocked is returned by Lock when another process owns the folder.
var ErrLocked = errors.New("another process owns it")

// Folder is one folder. A change of its names is durable once SyncDir has returned after it.
type Folder interface {
	// Create makes an empty file; it fails with fs.ErrExist if the name is taken.
	Create(name string) (File, error)
	// Open opens a file for reading; it fails with fs.ErrNotExist if there is none.
	Open(name string) (File, error)
	// Names returns the names of all files, sorted.
	Names() ([]string, error)
	// Rename gives a file another name and replaces the file that has it.
	Rename(from, to string) error
	// Remove deletes a file; it fails with fs.ErrNotExist if there is none.
	Remove(name string) error
	// SyncDir makes all changes of names durable.
	SyncDir() error
	// Lock takes the folder for one owner, until the lock is closed; it fails with ErrLocked if another has it.
	Lock() (io.Closer, error)
}

// File is one file. What was appended is durable once Sync has returned without an error. After an error of Sync nothing
// is known of what was appended since the last one that succeeded.
type File interface {
	io.ReaderAt
	io.Closer
	// Append writes at the end of the file. If it fails it may have written a part.
	Append(data []byte) (int, error)
	// Truncate cuts the file to a size in bytes.
	Truncate(size int64) error
	// Size returns the file's size in bytes.
	Size() (int64, error)
	// Sync makes the content durable.
	Sync() error
}

// ReadAll reads a whole file.
func ReadAll(folder Folder, name string) ([]byte, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read, so closing it can lose nothing
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
