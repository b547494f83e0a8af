// Package store keeps keys and values that must outlast the process: an append-only log of checksummed batches, an index
// in memory, snapshots that bound the log. docs/store.md has the format and why it is so.
//
// A batch is there as a whole or not at all. It is durable once Sync has returned; until then reads see it, and a crash
// may lose it, and with it all that was written behind it.
package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// Errors that Write and Sync wrap.
var (
	// ErrBroken: a sync failed, so that nothing is known of what was written since the one before. The store takes no
	// more; reads go on, of what may be lost. Only opening it again, by this process or the next, makes it whole: that
	// writes all anew.
	ErrBroken = errors.New("the store takes no more writes")
	// ErrRefused: this write failed and left nothing behind, as on a full disk. The next may do.
	ErrWriteRejected = errors.New("not written")
	ErrClosed        = errors.New("the store is closed")
)

// Bootstrap is what a store is opened with.
type Options struct {
	Folder disk.Folder
	// LeastLog is how many bytes the log has at least when it is compacted. 0: 1 MiB. From there on it is compacted at
	// twice what a snapshot takes, so that all files together stay within LeastLog and four times what is alive.
	MinCompactionBytes int64
	// Background has compaction done by a goroutine of the store's; without it, whoever owns the store calls Compact.
	Background bool
	ID         uint64 // of a store that is made; 0: by chance
}

// Store is an open store. All of its methods may be called by many goroutines.
type Store struct {
	boot Options
	dir  disk.Folder
	lock io.Closer

	mu      sync.Mutex // never held over a sync, or a write of more than one batch
	index   *btree.Map[string, []byte]
	seq     uint64 // written
	durable uint64
	cur     *segment
	old     []*segment // that may hold what is not durable
	broken  error
	closed  bool
	logSize int64 // since the snapshot in force
	snap    int64 // its size
	figures Stats
	buf     []byte

	syncing sync.Mutex // one sync at a time

	gate    sync.Mutex // of those who commit
	queue   []*waiter
	leading bool // somebody writes for a group

	compacting sync.Mutex // one compaction at a time
	manifest   manifest
	run        *compaction
	after      int64 // after one that failed: the log's size at which it is tried again

	stop chan struct{}
	poke chan struct{}
	done sync.WaitGroup
}

type segment struct {
	head fileHead
	file disk.File
	size int64
}

// Figures count since the open.
type Stats struct {
	Batches, Syncs, Compactions, RejectedWrites int
	BytesWritten                                int64 // written, snapshots included
	Keys                                        int   // keys
	LogBytes, SnapshotBytes                     int64 // bytes of the files in force
}

// Open opens a store, or makes one in an empty folder. Unless it was closed in order it writes all anew, as a snapshot: what
// an earlier process wrote without being told that it is durable may be seen now and lost by the next crash.
func Open(b Options) (*Store, Recovery, error) {
	if b.MinCompactionBytes == 0 {
		b.MinCompactionBytes = 1 << 20
	}
	lock, err := b.Folder.Lock()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("open the store: %w", err)
	}
	s := &Store{boot: b, dir: b.Folder, lock: lock, stop: make(chan struct{}), poke: make(chan struct{}, 1)}
	r, err := s.open()
	if err != nil {
		lock.Close()
		return nil, r, fmt.Errorf("open the store: %w", err)
	}
	if b.Background {
		s.done.Add(1)
		go s.background()
	}
	return s, r, nil
}

func (s *Store) open() (Recovery, error) {
	f, err := read(s.dir)
	if err != nil {
		return Recovery{}, err
	}
	s.index, s.seq, s.durable = f.index, f.seq, f.seq
	s.manifest, s.snap = f.manifest, f.snapSize
	if f.fresh {
		if s.manifest.id = s.boot.ID; s.manifest.id == 0 {
			s.manifest.id = rand.Uint64() | 1
		}
	}
	// A new segment, under a number that nothing has had: what is left of others can't be taken for its own.
	if err := s.segment(f.last+1, func() {}); err != nil {
		return f.recovery, fmt.Errorf("make a segment: %w", err)
	}
	m := s.manifest
	if f.closed {
		// Its mark may be the one thing that is not durable, and what is written now counts on it.
		if err := s.settle(segName(f.last)); err != nil {
			return f.recovery, err
		}
		s.logSize += f.recovery.LogBytes
		f.recovery.RemovedFiles = s.sweep()
		return f.recovery, nil
	}
	m.first = s.cur.head.number
	if f.recovery.LogFrames > 0 || f.recovery.TornBytes > 0 {
		if m.snap = m.first - 1; m.snap == 0 {
			return f.recovery, errors.New("batches before the first segment")
		}
		c := s.start(m.snap) // nobody writes yet
		for more := true; more; {
			if more, err = c.step(); err != nil {
				return f.recovery, fmt.Errorf("write what was recovered: %w", err)
			}
		}
		s.snap = c.size
	}
	if err := s.replace(m); err != nil {
		return f.recovery, fmt.Errorf("replace the manifest: %w", err)
	}
	f.recovery.RemovedFiles = s.sweep()
	return f.recovery, nil
}

// settle syncs a file of an earlier run.
func (s *Store) settle(name string) error {
	file, err := s.dir.Open(name)
	if err == nil {
		err = file.Sync()
		file.Close()
	}
	if err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// segment makes a segment and has it take what is written from now on. It is durable, empty, before anything is. then is
// done at the moment between what stands before it and what will stand in it.
func (s *Store) segment(number uint64, then func()) error {
	name := segName(number)
	file, err := s.dir.Create(name)
	if errors.Is(err, fs.ErrExist) { // of an attempt that failed, and could not be taken back
		if err = s.dir.Remove(name); err == nil {
			file, err = s.dir.Create(name)
		}
	}
	if err != nil {
		return err
	}
	h := fileHead{id: s.manifest.id, number: number}
	if _, err = file.Append(h.append(nil)); err == nil {
		if err = file.Sync(); err == nil {
			err = s.dir.SyncDir()
		}
	}
	if err != nil {
		file.Close()
		_ = s.dir.Remove(name)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cur != nil {
		s.old = append(s.old, s.cur)
	}
	s.cur = &segment{h, file, headSize}
	s.logSize += headSize
	s.figures.BytesWritten += headSize
	then()
	return nil
}

// replace puts another manifest in force: written, synced, renamed, and the folder synced. Until that is through, the
// files of the old one must stay.
func (s *Store) replace(m manifest) error {
	_ = s.dir.Remove(newName) // left by a crash
	file, err := s.dir.Create(newName)
	if err != nil {
		return err
	}
	if _, err = file.Append(m.encode()); err == nil {
		err = file.Sync()
	}
	file.Close()
	if err == nil {
		err = s.dir.Rename(newName, manifestName)
	}
	if err != nil {
		return err
	}
	if err := s.dir.SyncDir(); err != nil {
		// Which of the two is found after a crash is not known, so the files of both must stay, for good.
		s.breakDown(fmt.Errorf("sync the folder: %w", err))
		return err
	}
	s.manifest = m
	return nil
}

// sweep removes the files that the manifest in force does not need.
func (s *Store) sweep() (left []string) {
	names, err := s.dir.Names()
	if err != nil {
		return nil // the next one finds them
	}
	for _, n := range names {
		seg, snap := numberOf(n, ".seg"), numberOf(n, ".snap")
		if seg > 0 && seg < s.manifest.first || snap > 0 && snap != s.manifest.snap || n == newName {
			if s.dir.Remove(n) == nil {
				left = append(left, n)
			}
		}
	}
	return left
}

func (s *Store) breakDown(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, cause)
	}
}

// fit tells why nothing can be written; mu is held.
func (s *Store) fit() error {
	if s.closed {
		return ErrClosed
	}
	return s.broken
}

// Write writes a batch; it is not durable yet. It gives the batch's number, for SyncTo.
func (s *Store) Write(b *Batch) (uint64, error) {
	w := waiter{b: b}
	s.write([]*waiter{&w})
	return w.seq, w.err
}

// write writes batches with one append; all are there or none.
func (s *Store) write(all []*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := func(err error) {
		for _, w := range all {
			if w.err == nil {
				w.err = err
			}
		}
	}
	if err := s.fit(); err != nil {
		refuse(err)
		return
	}
	s.buf = s.buf[:0]
	n := 0
	for _, w := range all {
		if w.b.n == 0 || len(w.b.payload) > MaxPayloadBytes {
			w.err = fmt.Errorf("%w: a batch of %d changes and %d bytes", ErrWriteRejected, w.b.n, len(w.b.payload))
			continue
		}
		n++
		w.seq = s.seq + uint64(n)
		s.buf = appendFrame(s.buf, s.cur.head, w.seq, s.durable, w.b.payload)
	}
	if n == 0 {
		return
	}
	if err := s.append(s.buf); err != nil {
		refuse(err)
		return
	}
	s.seq += uint64(n)
	s.figures.Batches += n
	for _, w := range all {
		if w.err == nil {
			w.b.Each(func(key string, value []byte) {
				if value == nil {
					s.index.Delete(key)
				} else {
					s.index.Set(key, value)
				}
			})
		}
	}
	if s.due() {
		select {
		case s.poke <- struct{}{}:
		default:
		}
	}
}

// append adds to the log, or leaves it as it was; mu is held.
func (s *Store) append(data []byte) error {
	if n, err := s.cur.file.Append(data); err != nil || n < len(data) {
		if err == nil {
			err = io.ErrShortWrite
		}
		s.figures.RejectedWrites++
		// What stands there in part must go, or the next batch would stand behind it.
		if cut := s.cur.file.Truncate(s.cur.size); cut != nil {
			s.broken = fmt.Errorf("%w: %w, and its part can't be cut off: %w", ErrBroken, err, cut)
			return s.broken
		}
		return fmt.Errorf("%w: %w", ErrWriteRejected, err)
	}
	s.cur.size += int64(len(data))
	s.logSize += int64(len(data))
	s.figures.BytesWritten += int64(len(data))
	return nil
}

// Sync makes all durable that was written before it was called.
func (s *Store) Sync() error {
	s.mu.Lock()
	seq := s.seq
	s.mu.Unlock()
	return s.SyncTo(seq)
}

// SyncTo returns once the batch of this number is durable. Of many that wait, one syncs for all that have written by then.
func (s *Store) SyncTo(seq uint64) error {
	s.syncing.Lock()
	defer s.syncing.Unlock()
	s.mu.Lock()
	if s.durable >= seq {
		s.mu.Unlock()
		return nil
	}
	if err := s.fit(); err != nil {
		s.mu.Unlock()
		return err
	}
	to, old, cur := s.seq, s.old, s.cur
	s.mu.Unlock()
	// In their order: what stands in the later file counts only with all that stands in the earlier.
	for _, x := range append(old[:len(old):len(old)], cur) {
		if err := x.file.Sync(); err != nil {
			err = fmt.Errorf("sync %s: %w", segName(x.head.number), err)
			s.breakDown(err)
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range old {
		x.file.Close()
	}
	s.old = s.old[len(old):]
	s.durable = max(s.durable, to)
	s.figures.Syncs++
	return nil
}

// waiter is a batch on its way to the disk.
type waiter struct {
	b    *Batch
	seq  uint64
	err  error
	turn chan bool // true: lead the next group; false: it is done
}

// mostGroup bounds the bytes that one append takes of many writers.
const mostGroup = 4 << 20

// Commit writes a batch and returns once it is durable. Of many that come at a time one writes and syncs for all: while
// it does, the next group gathers.
func (s *Store) Commit(b *Batch) error {
	w := &waiter{b: b, turn: make(chan bool, 1)}
	s.gate.Lock()
	s.queue = append(s.queue, w)
	lead := len(s.queue) == 1 && !s.leading
	s.leading = s.leading || lead
	s.gate.Unlock()
	if !lead && !<-w.turn {
		return w.err
	}
	s.gate.Lock()
	n, bytes := 0, 0
	for n < len(s.queue) && (n == 0 || bytes+s.queue[n].b.Size() <= mostGroup) {
		bytes += s.queue[n].b.Size()
		n++
	}
	group := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.gate.Unlock()
	s.write(group)
	if slices.ContainsFunc(group, func(x *waiter) bool { return x.err == nil }) {
		if err := s.Sync(); err != nil {
			for _, x := range group {
				if x.err == nil {
					x.err = err
				}
			}
		}
	}
	s.gate.Lock()
	if s.leading = len(s.queue) > 0; s.leading {
		s.queue[0].turn <- true
	}
	s.gate.Unlock()
	for _, x := range group {
		if x != w {
			x.turn <- false
		}
	}
	return w.err
}

// Get gives a key's value; it must not be changed.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Get(key)
}

// Scan goes through the keys from one on, in order, as they are at this moment; values must not be changed.
func (s *Store) Scan(from string) iter.Seq2[string, []byte] {
	s.mu.Lock()
	copied := s.index.Copy()
	s.mu.Unlock()
	return func(yield func(string, []byte) bool) { copied.Ascend(from, yield) }
}

// Durable is the last batch that a crash can't take, and Seq the last that was written.
func (s *Store) Durable() (durable, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable, s.seq
}

// Broken tells why the store takes no more writes; nil if it does.
func (s *Store) Broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// Figures gives the counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.figures
	f.Keys, f.LogBytes, f.SnapshotBytes = s.index.Len(), s.logSize, s.snap
	return f
}

// mark writes that all before it is durable, for the next who opens. It needs no sync of its own: without it all is written
// anew, which does no harm.
func (s *Store) mark() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.durable < s.seq {
		return nil // somebody wrote on
	}
	if err := s.append(appendFrame(nil, s.cur.head, s.seq+1, s.durable, []byte{opClosed})); err != nil {
		return err
	}
	s.seq++
	return nil
}

// Close makes durable what was written and gives the folder free. It returns the error of that sync.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	broken := s.broken
	s.mu.Unlock()
	close(s.stop)
	s.done.Wait()
	err := broken
	if err == nil {
		err = s.Sync()
	}
	if err == nil {
		err = s.mark()
	}
	s.syncing.Lock()
	defer s.syncing.Unlock()
	s.compacting.Lock()
	defer s.compacting.Unlock()
	if s.run != nil {
		s.run.abandon()
		s.run = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, x := range append(s.old, s.cur) {
		x.file.Close()
	}
	s.lock.Close()
	return err
}
