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

// Sector is what a disk writes whole or not at all, in bytes.
const SectorSize = 512

// ErrCrashed is what every operation gives after a crash.
var ErrCrashed = errors.New("the machine crashed")

// Op is one operation that is about to be done.
type Op struct {
	Kind string // create, open, append, truncate, sync, rename, remove, syncdir, lock
	Name string
	Size int // of what is appended
}

// Memory is a folder in memory. It keeps beside what programs see what would be on the disk: what was synced, and, of
// what was not, sectors and names that may or may not have got there.
type Memory struct {
	// Before is asked before each operation; nil: none fails. Of an append that fails with ErrPartial half is written.
	// A sync that fails leaves its bytes in the cache as if they were written, as kernels do: no later sync brings them
	// to the disk.
	Before func(Op) error

	mu      sync.Mutex
	names   map[string]*inode // as seen
	durable map[string]*inode // as on the disk
	pending []change          // of names since the last SyncDir
	locked  bool
	crashed bool
	ops     int
}

// ErrPartial makes, wrapped or not, an append write half of its bytes and fail.
var ErrPartialWrite = errors.New("only a part was written")

type change struct {
	name string
	node *inode // nil: removed
	from string // of a rename
}

type inode struct {
	data  []byte // as seen
	disk  []byte // as surely on the disk
	clean []byte // as the cache believes that the disk has it
}

// NewMemory makes an empty one.
func NewMemory() *Memory {
	return &Memory{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// Ops is how many operations were done.
func (m *Memory) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

func (m *Memory) begin(o Op) error {
	if m.crashed {
		return ErrCrashed
	}
	if m.Before != nil {
		if err := m.Before(o); err != nil {
			return err
		}
	}
	m.ops++
	return nil
}

type memFile struct {
	m    *Memory
	name string
	n    *inode
}

// Create implements Folder.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "create", Name: name}); err != nil {
		return nil, err
	}
	if m.names[name] != nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrExist)
	}
	n := &inode{}
	m.names[name] = n
	m.pending = append(m.pending, change{name: name, node: n})
	return &memFile{m, name, n}, nil
}

// Open implements Folder.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "open", Name: name}); err != nil {
		return nil, err
	}
	if m.names[name] == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &memFile{m, name, m.names[name]}, nil
}

// Names implements Folder.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Rename implements Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "rename", Name: to}); err != nil {
		return err
	}
	n := m.names[from]
	if n == nil {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	m.names[to] = n
	delete(m.names, from)
	m.pending = append(m.pending, change{name: to, node: n, from: from})
	return nil
}

// Remove implements Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "remove", Name: name}); err != nil {
		return err
	}
	if m.names[name] == nil {
		return fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	delete(m.names, name)
	m.pending = append(m.pending, change{name: name})
	return nil
}

func (c change) do(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if names[c.name] = c.node; c.node == nil {
		delete(names, c.name)
	}
}

// SyncDir implements Folder.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "syncdir"}); err != nil {
		return err
	}
	for _, c := range m.pending {
		c.do(m.durable)
	}
	m.pending = nil
	return nil
}

type memLock struct{ m *Memory }

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.m.locked = false
	return nil
}

// Lock implements Folder.
func (m *Memory) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(Op{Kind: "lock"}); err != nil {
		return nil, err
	}
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memLock{m}, nil
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.crashed {
		return 0, ErrCrashed
	}
	if at >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) Append(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.begin(Op{"append", f.name, len(b)}); err != nil {
		if errors.Is(err, ErrPartialWrite) {
			f.n.data = append(f.n.data, b[:len(b)/2]...)
			return len(b) / 2, err
		}
		return 0, err
	}
	f.n.data = append(f.n.data, b...)
	return len(b), nil
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.begin(Op{Kind: "truncate", Name: f.name}); err != nil {
		return err
	}
	f.n.data = slices.Clone(f.n.data[:min(int(size), len(f.n.data))])
	return nil
}

func (f *memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.n.data)), nil
}

// grown is b with a size, zeros behind its end.
func grown(b []byte, size int) []byte {
	if size <= len(b) {
		return slices.Clone(b[:size])
	}
	return append(slices.Clone(b), make([]byte, size-len(b))...)
}

// sectors are the places where a and b differ, by sector; beyond its end a file counts as zeros.
func sectors(a, b []byte) (all []int) {
	size := max(len(a), len(b))
	x, y := grown(a, size), grown(b, size)
	for at := 0; at < size; at += SectorSize {
		if end := min(at+SectorSize, size); string(x[at:end]) != string(y[at:end]) {
			all = append(all, at)
		}
	}
	return all
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	err := f.m.begin(Op{Kind: "sync", Name: f.name})
	if errors.Is(err, ErrCrashed) {
		return err
	}
	n := f.n
	if err == nil {
		// What the cache believes to be there already is not written once more.
		was := n.disk
		n.disk = grown(n.disk, len(n.data))
		for _, at := range sectors(n.clean, n.data) {
			copy(n.disk[min(at, len(n.disk)):], n.data[min(at, len(n.data)):min(at+SectorSize, len(n.data))])
		}
		if len(n.data) == len(was) && string(was) == string(n.data) {
			n.disk = was
		}
	}
	n.clean = slices.Clone(n.data)
	return err
}

func (f *memFile) Close() error { return nil }

// Unsure counts what a crash now may or may not leave behind: names changed and sectors written since they were synced.
func (m *Memory) UnsyncedCount() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n = len(m.pending)
	for _, x := range m.reached() {
		n += len(sectors(x.disk, x.data))
		if len(x.disk) != len(x.data) {
			n++
		}
	}
	return n
}

// reached are the files that may be on the disk after a crash, in an order that is always the same.
func (m *Memory) reached() (all []*inode) {
	seen := map[*inode]bool{}
	add := func(n *inode) {
		if n != nil && !seen[n] {
			seen[n], all = true, append(all, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		add(m.durable[name])
	}
	for _, c := range m.pending {
		add(c.node)
	}
	return all
}

// Crash ends this folder, and gives the one that is found afterwards. What was not synced is there if kept says so:
// asked for each name changed, for each file whose size did (is it the new one?), and for each sector written.
func (m *Memory) Crash(kept func() bool) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	after := NewMemory()
	names := maps.Clone(m.durable)
	for _, c := range m.pending {
		if kept() {
			c.do(names)
		}
	}
	left := map[*inode]*inode{}
	for _, x := range m.reached() {
		size := len(x.disk)
		if len(x.data) != size && kept() {
			size = len(x.data)
		}
		now := grown(x.disk, size)
		for _, at := range sectors(x.disk, x.data) {
			if kept() && at < size {
				copy(now[at:], grown(x.data, max(len(x.data), size))[at:min(at+SectorSize, size)])
			}
		}
		left[x] = &inode{data: now, disk: slices.Clone(now), clean: slices.Clone(now)}
	}
	for name, x := range names {
		after.names[name], after.durable[name] = left[x], left[x]
	}
	return after
}

// Copy is a folder with the same files, all of them durable.
func (m *Memory) Copy() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemory()
	for name, x := range m.names {
		n := &inode{slices.Clone(x.data), slices.Clone(x.data), slices.Clone(x.data)}
		c.names[name], c.durable[name] = n, n
	}
	return c
}

// Bytes gives a file's bytes to look at or to spoil; nil if there is none.
func (m *Memory) Bytes(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return nil
	}
	return m.names[name].data
}

// Put makes or replaces a file, durably.
func (m *Memory) Put(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{data, slices.Clone(data), slices.Clone(data)}
	m.names[name], m.durable[name] = n, n
}
