package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

var (
	// ErrCrashed is returned by every operation after a simulated crash.
	ErrCrashed = errors.New("simulated crash")
	// ErrPartialWrite is an error for Memory.Before to return: an append that fails with it, wrapped or not, writes half of
	// its bytes.
	ErrPartialWrite = errors.New("partial write")
)

// OpKind is the kind of an Op.
type OpKind string

// The kinds of operations that are passed to Memory.Before.
const (
	OpCreate   OpKind = "create"
	OpOpen     OpKind = "open"
	OpAppend   OpKind = "append"
	OpTruncate OpKind = "truncate"
	OpSync     OpKind = "sync"
	OpRename   OpKind = "rename"
	OpRemove   OpKind = "remove"
	OpSyncDir  OpKind = "syncdir"
	OpLock     OpKind = "lock"
)

// Op is one operation on a folder or file.
type Op struct {
	Kind OpKind
	Name string
	Size int // number of bytes to append for OpAppend; 0 for other kinds
}

// Memory is a folder in memory. Besides the current state it tracks what would be on a disk: the synced state, and the
// unsynced sectors and name changes, each of which a crash may keep or lose. It is safe for concurrent use.
type Memory struct {
	// Before is called before each operation; if it returns an error, the operation fails with that error. nil: no operation
	// fails. A failed sync marks the unsynced bytes as clean in the simulated cache, as kernels do, so no later sync writes
	// them to the disk.
	Before func(Op) error

	mu             sync.Mutex        // guards the fields below and the contents of the inodes
	files          map[string]*inode // by name, as processes see them
	durableFiles   map[string]*inode // by name, as synced to the disk
	pendingChanges []nameChange      // since the last successful SyncDir
	locked         bool              // a lock that Lock returned is not closed yet
	crashed        bool              // a crash was simulated: operations return ErrCrashed
	ops            int               // number of operations so far, without those that Before made fail
}

// nameChange is a created, renamed or removed file name that is not durable yet.
type nameChange struct {
	name        string
	node        *inode // the file that has the name now; nil: the name was removed
	renamedFrom string // the previous name if the file was renamed, else ""
}

// apply performs the change on a map of files by name.
func (c nameChange) apply(files map[string]*inode) {
	if c.renamedFrom != "" {
		delete(files, c.renamedFrom)
	}
	if c.node == nil {
		delete(files, c.name)
		return
	}
	files[c.name] = c.node
}

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

// Ops returns the number of operations so far, without those that Before made fail.
func (m *Memory) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

// beginOperation counts an operation, or returns the error with which it must fail; the caller holds mu.
func (m *Memory) beginOperation(op Op) error {
	if m.crashed {
		return ErrCrashed
	}
	if m.Before != nil {
		if err := m.Before(op); err != nil {
			return err
		}
	}
	m.ops++
	return nil
}

// change applies a name change that is visible at once and becomes durable with the next SyncDir; the caller holds mu.
func (m *Memory) change(change nameChange) {
	change.apply(m.files)
	m.pendingChanges = append(m.pendingChanges, change)
}

// Create implements Folder.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpCreate, Name: name}); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrExist)
	}
	node := &inode{}
	m.change(nameChange{name: name, node: node})
	return &memoryFile{m, name, node}, nil
}

// Open implements Folder.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpOpen, Name: name}); err != nil {
		return nil, err
	}
	if m.files[name] == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &memoryFile{m, name, m.files[name]}, nil
}

// Names implements Folder.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(m.files)), nil
}

// Rename implements Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpRename, Name: to}); err != nil {
		return err
	}
	node := m.files[from]
	if node == nil {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	m.change(nameChange{name: to, node: node, renamedFrom: from})
	return nil
}

// Remove implements Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpRemove, Name: name}); err != nil {
		return err
	}
	if m.files[name] == nil {
		return fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	m.change(nameChange{name: name})
	return nil
}

// SyncDir implements Folder.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpSyncDir}); err != nil {
		return err
	}
	for _, change := range m.pendingChanges {
		change.apply(m.durableFiles)
	}
	m.pendingChanges = nil
	return nil
}

// Lock implements Folder.
func (m *Memory) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginOperation(Op{Kind: OpLock}); err != nil {
		return nil, err
	}
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memoryLock{m}, nil
}

// memoryLock is the lock returned by Memory.Lock.
type memoryLock struct{ m *Memory }

// Close implements io.Closer.
func (l memoryLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.m.locked = false
	return nil
}

// Copy returns a folder with copies of all files, all of them durable.
func (m *Memory) Copy() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	folder := NewMemory()
	for name, node := range m.files {
		folder.putDurable(name, slices.Clone(node.data))
	}
	return folder
}

// Bytes returns a file's content, or nil if the file does not exist. The caller may modify it in place to corrupt the file.
func (m *Memory) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return nil
	}
	return m.files[name].data
}

// Put creates or replaces a file durably. The folder owns data afterwards.
func (m *Memory) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putDurable(name, data)
}

// putDurable creates or replaces a file whose content and name are on the disk; the caller holds mu.
func (m *Memory) putDurable(name string, data []byte) {
	node := durableInode(data)
	m.files[name] = node
	m.durableFiles[name] = node
}
