// Package store implements a durable key-value store: a write-ahead log of checksummed batches, an index in memory, and
// snapshots that limit the size of the log. docs/store.md describes the format and its design.
//
// The log consists of numbered files, the segments. A snapshot is a file with all keys at one point in time; the segments after
// it hold the later batches. The manifest is a file that names the current snapshot and the first segment after it. Segments
// and snapshots consist of frames, each with a header and a payload, such as the changes of a batch.
//
// Batches are atomic. A batch is durable once a later Sync has succeeded. Until then it is visible to reads, but a crash
// may lose it together with all batches written after it.
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

// Errors that Write, Sync, SyncTo, Commit, Compact and Close return, possibly wrapped.
var (
	// ErrBroken is returned after a failed sync: it is unknown whether data written since the last successful sync is on
	// the disk. It is also returned after a failed write of which a part remains in the log. The store accepts no more
	// writes. Reads still work, but may return data that a crash would lose. Only opening the store again, in this process
	// or another one, restores it; that writes a snapshot of its contents.
	ErrBroken = errors.New("the store accepts no more writes")
	// ErrWriteRejected is returned for a write that failed without any effect, for example on a full disk or with an invalid
	// batch. Later writes may succeed.
	ErrWriteRejected = errors.New("write rejected")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("the store is closed")
)

// defaultMinCompactionBytes is the default of Options.MinCompactionBytes.
const defaultMinCompactionBytes = 1 << 20

// Options are the settings of a store.
type Options struct {
	// Folder holds the store's files.
	Folder disk.Folder
	// MinCompactionBytes is the log size below which the log is not compacted; 0: 1 MiB. Above it, the log is compacted when
	// it exceeds twice the size of the snapshot, so that the total size of all files stays within MinCompactionBytes plus
	// four times the size of the live data.
	MinCompactionBytes int64
	// Background starts a goroutine that compacts the store when needed. If false, the owner must call Compact.
	Background bool
	// ID is the identifier of a newly created store; 0: a random one.
	ID uint64
}

// Store is an open store. It is safe for concurrent use.
type Store struct {
	options Options
	folder  disk.Folder
	lock    io.Closer // exclusive lock of the folder

	// mu guards the fields down to writeBuffer. It is not held during a sync, and during at most one append to the log.
	mu                      sync.Mutex
	index                   *btree.Map[string, []byte]
	lastSequence            uint64     // sequence number of the last batch written
	durable                 uint64     // sequence number of the last durable batch
	active                  *segment   // the segment that batches are appended to
	sealed                  []*segment // earlier segments that may contain batches that are not durable yet
	broken                  error      // wraps ErrBroken; nil if the store accepts writes
	closed                  bool
	logBytes                int64 // size in bytes of the segments after the current snapshot
	snapshotBytes           int64 // size in bytes of the current snapshot
	compactionRetryLogBytes int64 // value of logBytes above which a failed compaction is attempted again; 0: none failed
	stats                   Stats
	writeBuffer             []byte // encoded frames of the group being written; reused

	syncMu sync.Mutex // serializes syncs of the log; locked before mu

	commitMu    sync.Mutex      // guards commitQueue and committing
	commitQueue []*pendingWrite // writes of callers of Commit that no group includes yet
	committing  bool            // a caller of Commit is the leader and writes a group

	compactionMu sync.Mutex // serializes steps of compactions; guards manifest and compaction
	manifest     manifest
	compaction   *snapshotWriter // the snapshot being written; nil: no compaction is in progress

	stop          chan struct{} // closed to end the background goroutine
	compactionDue chan struct{} // holds one token if a compaction by the background goroutine was requested
	background    sync.WaitGroup
}

// Stats holds counts since the store was opened, and current sizes.
type Stats struct {
	Batches        int
	Syncs          int
	Compactions    int
	RejectedWrites int
	BytesWritten   int64 // to the log and snapshots
	Keys           int
	LogBytes       int64 // size in bytes of the segments after the current snapshot
	SnapshotBytes  int64 // size in bytes of the current snapshot
}

// Get returns the value of a key. The caller must not modify the value.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Get(key)
}

// Scan returns the keys from "from" on in ascending order with their values, as of the call. The caller must not modify the
// values.
func (s *Store) Scan(from string) iter.Seq2[string, []byte] {
	s.mu.Lock()
	index := s.index.Copy()
	s.mu.Unlock()
	return func(yield func(string, []byte) bool) { index.Ascend(from, yield) }
}

// Durable returns the sequence numbers of the last durable batch and of the last batch written.
func (s *Store) Durable() (durable, written uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable, s.lastSequence
}

// Broken returns the reason why the store accepts no more writes, or nil if it accepts them.
func (s *Store) Broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// setBroken makes the store reject all further writes. Only the first cause is kept.
func (s *Store) setBroken(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = brokenError(cause)
	}
}

// brokenError returns an error that wraps ErrBroken and its cause.
func brokenError(cause error) error { return fmt.Errorf("%w: %w", ErrBroken, cause) }

// checkWritable returns the reason why the store accepts no writes, or nil; the caller holds mu.
func (s *Store) checkWritable() error {
	if s.closed {
		return ErrClosed
	}
	return s.broken
}

// Stats returns the current counts and sizes.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Keys, stats.LogBytes, stats.SnapshotBytes = s.index.Len(), s.logBytes, s.snapshotBytes
	return stats
}
