// Package store is a durable key-value store: a write-ahead log of checksummed batches, an index in memory, and snapshots
// that bound the log. docs/store.md describes the format and the reasons for it.
//
// A batch is found as a whole or not at all. It is durable once Sync has returned. Until then reads see it, and a crash may
// lose it and all that was written after it.
package store

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"sync"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

// Errors that Write, Sync, SyncTo, Commit and Close wrap.
var (
	// ErrBroken is returned after a sync failed, so that nothing is known of what was written since the one before. The
	// store takes no more writes; reads go on, of what may be lost. Only opening it again, by this process or the next,
	// repairs it: that writes a snapshot of everything.
	ErrBroken = errors.New("the store takes no more writes")
	// ErrWriteRejected is returned for a write that failed and left nothing behind, as on a full disk. The next may succeed.
	ErrWriteRejected = errors.New("not written")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("the store is closed")
)

// defaultMinCompactionBytes is the default of Options.MinCompactionBytes.
const defaultMinCompactionBytes = 1 << 20

// Options are the settings of a store.
type Options struct {
	// Folder has the store's files.
	Folder disk.Folder
	// MinCompactionBytes is the size below which the log is not compacted; 0: 1 MiB. Above, it is compacted at twice the
	// size of the snapshot, so that all files together stay within MinCompactionBytes and four times the live data.
	MinCompactionBytes int64
	// Background makes a goroutine of the store compact it. Without it the owner calls Compact.
	Background bool
	// ID is the identifier of a store that is created; 0: a random one.
	ID uint64
}

// Store is an open store. It is safe for concurrent use.
type Store struct {
	options Options
	folder  disk.Folder
	lock    io.Closer // of the folder

	mu                      sync.Mutex // never held during a sync, or a write of more than one group
	index                   *btree.Map[string, []byte]
	lastSequence            uint64 // the last batch that was written
	durable                 uint64 // the last batch that is durable
	active                  *segment
	sealed                  []*segment // earlier segments that may hold batches that are not durable
	broken                  error      // wraps ErrBroken; nil if the store takes writes
	closed                  bool
	logBytes                int64 // after the snapshot in force
	snapshotBytes           int64
	compactionRetryLogBytes int64 // the size of the log, in bytes, for the next attempt after a compaction that failed
	stats                   Stats
	writeBuffer             []byte

	syncMu sync.Mutex // held by the one sync at a time

	commitMu    sync.Mutex // guards the two below
	commitQueue []*pendingWrite
	committing  bool // some caller of Commit writes for a group

	compactionMu sync.Mutex // held by the one step of a compaction at a time; guards the two below
	manifest     manifest
	compaction   *snapshotWriter // in progress; nil: none

	stop          chan struct{} // closed to end the background goroutine
	compactionDue chan struct{}
	background    sync.WaitGroup
}

// Stats are counts since the store was opened, and sizes.
type Stats struct {
	Batches        int
	Syncs          int
	Compactions    int
	RejectedWrites int
	BytesWritten   int64 // snapshots included
	Keys           int
	LogBytes       int64 // of the segments in force
	SnapshotBytes  int64 // of the snapshot in force
}

// Get returns the value of a key, which must not be changed.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Get(key)
}

// Scan returns the keys from one on, in order, as they are at this moment. Values must not be changed.
func (s *Store) Scan(from string) iter.Seq2[string, []byte] {
	s.mu.Lock()
	index := s.index.Copy()
	s.mu.Unlock()
	return func(yield func(string, []byte) bool) { index.Ascend(from, yield) }
}

// Durable returns the last batch that a crash can't lose, and the last that was written.
func (s *Store) Durable() (durable, written uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable, s.lastSequence
}

// Broken returns why the store takes no more writes; nil if it does.
func (s *Store) Broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// setBroken makes the store take no more writes. Only the first cause is reported.
func (s *Store) setBroken(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = brokenError(cause)
	}
}

func brokenError(cause error) error { return fmt.Errorf("%w: %w", ErrBroken, cause) }

// checkWritable returns why nothing can be written; mu is held.
func (s *Store) checkWritable() error {
	if s.closed {
		return ErrClosed
	}
	return s.broken
}

// Stats returns counts and sizes.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Keys, stats.LogBytes, stats.SnapshotBytes = s.index.Len(), s.logBytes, s.snapshotBytes
	return stats
}
