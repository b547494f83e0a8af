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

// Permissions of created folders and files.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Real is a folder on a disk, identified by its path.
type Real struct{ dir string }

// NewReal returns the folder at a path and creates it if it does not exist.
func NewReal(dir string) (*Real, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, fmt.Errorf("create the store's folder: %w", err)
	}
	return &Real{dir}, nil
}

// OpenReal returns the folder at a path, which must exist.
func OpenReal(dir string) (*Real, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("open the store's folder: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("open the store's folder: %s: %w", dir, syscall.ENOTDIR)
	}
	return &Real{dir}, nil
}

func (r *Real) path(name string) string { return filepath.Join(r.dir, name) }

// Create implements Folder.
func (r *Real) Create(name string) (File, error) {
	file, err := os.OpenFile(r.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return nil, err
	}
	return &realFile{File: file}, nil
}

// Open implements Folder.
func (r *Real) Open(name string) (File, error) {
	file, err := os.Open(r.path(name))
	if err != nil {
		return nil, err
	}
	return &realFile{File: file}, nil
}

// Names implements Folder.
func (r *Real) Names() (names []string, err error) {
	entries, err := os.ReadDir(r.dir)
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Rename implements Folder.
func (r *Real) Rename(from, to string) error { return os.Rename(r.path(from), r.path(to)) }

// Remove implements Folder.
func (r *Real) Remove(name string) error { return os.Remove(r.path(name)) }

// SyncDir implements Folder.
func (r *Real) SyncDir() error {
	dir, err := os.Open(r.dir)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // opened only for the sync, whose error is returned
	return dir.Sync()
}

// Lock implements Folder. It uses flock; the kernel releases the lock when the process ends, however it ends.
func (r *Real) Lock() (io.Closer, error) {
	file, err := os.OpenFile(r.path(LockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // nothing was written to it
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, fmt.Errorf("lock: %w", err)
}

// realFile is an open file of Real. Only files opened by Create are appended to, so they start empty.
type realFile struct {
	*os.File
	size int64 // offset at which Append writes, in bytes
}

// Append implements File.
func (f *realFile) Append(data []byte) (int, error) {
	n, err := f.WriteAt(data, f.size)
	f.size += int64(n)
	return n, err
}

// Truncate implements File.
func (f *realFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	f.size = size
	return nil
}

// Size implements File.
func (f *realFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
