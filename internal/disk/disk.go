// Package disk is what the store needs of a file system: one folder of files that grow at their end. Real keeps them on a
// disk; Memory keeps them in memory, and can crash in every way that the page of the store's format allows for.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Folder is one folder. A name is durable once SyncDir was done after what made, renamed or removed it.
type Folder interface {
	// Create makes an empty file; it fails if the name is taken.
	Create(name string) (File, error)
	// Open opens a file for reading alone.
	Open(name string) (File, error)
	Names() ([]string, error) // sorted
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	// Lock takes the folder for one owner; ErrLocked if another has it.
	Lock() (io.Closer, error)
}

// File is one file. What was appended is durable once Sync has returned without an error; after an error nothing is known.
type File interface {
	io.ReaderAt
	io.Closer
	// Append writes behind what is there. It may have written a part where it fails.
	Append(b []byte) (int, error)
	Truncate(size int64) error
	Size() (int64, error)
	Sync() error
}

// ErrLocked says that another process owns the folder.
var ErrLocked = errors.New("another process owns it")

// LockName is the file that an owner holds.
const LockName = "LOCK"

// Real is a folder on a disk.
type Real struct{ dir string }

// NewReal makes the folder, if it is not there.
func NewReal(dir string) (*Real, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make the store's folder: %w", err)
	}
	return &Real{dir}, nil
}

// OpenReal opens a folder that is there.
func OpenReal(dir string) (*Real, error) {
	if info, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("open the store's folder: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("open the store's folder: %s is none", dir)
	}
	return &Real{dir}, nil
}

func (r *Real) path(name string) string { return filepath.Join(r.dir, name) }

type realFile struct {
	*os.File
	at int64
}

func (f *realFile) Append(b []byte) (int, error) {
	n, err := f.WriteAt(b, f.at)
	f.at += int64(n)
	return n, err
}

func (f *realFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	f.at = size
	return nil
}

func (f *realFile) Size() (int64, error) {
	s, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return s.Size(), nil
}

// Create implements Folder.
func (r *Real) Create(name string) (File, error) {
	f, err := os.OpenFile(r.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	return &realFile{File: f}, nil
}

// Open implements Folder.
func (r *Real) Open(name string) (File, error) {
	f, err := os.Open(r.path(name))
	if err != nil {
		return nil, err
	}
	return &realFile{File: f}, nil
}

// Names implements Folder.
func (r *Real) Names() (all []string, err error) {
	entries, err := os.ReadDir(r.dir)
	for _, e := range entries {
		if e.Type().IsRegular() {
			all = append(all, e.Name())
		}
	}
	slices.Sort(all)
	return all, err
}

// Rename implements Folder.
func (r *Real) Rename(from, to string) error { return os.Rename(r.path(from), r.path(to)) }

// Remove implements Folder.
func (r *Real) Remove(name string) error { return os.Remove(r.path(name)) }

// SyncDir implements Folder.
func (r *Real) SyncDir() error {
	d, err := os.Open(r.dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // it was opened to be synced, and that is told
	return d.Sync()
}

// Lock implements Folder. The lock is the kernel's: it ends with the process, however that ends.
func (r *Real) Lock() (io.Closer, error) {
	f, err := os.OpenFile(r.path(LockName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f, nil
}

// ReadAll reads a whole file.
func ReadAll(d Folder, name string) ([]byte, error) {
	f, err := d.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it is only read
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, io.EOF) && int64(n) == size {
		return b, nil
	}
	if err != nil {
		return nil, err
	}
	return b, nil
}
