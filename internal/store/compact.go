package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

const (
	chunkSize = 64 << 10 // bytes of a snapshot that a step writes
	syncEvery = 1 << 20  // bytes of a snapshot between syncs, so that no sync of the log waits behind many
)

// compaction is a snapshot under way: of all that was written up to a moment, in a file that nobody reads until the
// manifest names it.
type compaction struct {
	s        *Store
	number   uint64
	head     fileHead
	index    *btree.Map[string, []byte]
	next     string // the key to go on from
	any      bool
	file     disk.File
	frames   uint64
	size     int64
	unsynced int64
}

// due tells whether the log is long enough to be compacted; mu is held.
func (s *Store) due() bool {
	return s.logSize > max(s.boot.MinCompactionBytes, 2*s.snap, s.after)
}

// start fixes what the snapshot holds: all that is written now. That takes no time that grows with the store; mu is held.
func (s *Store) start(number uint64) *compaction {
	return &compaction{s: s, number: number, index: s.index.Copy(), head: fileHead{true, s.manifest.id, number, s.seq}}
}

// step writes a part; false once the snapshot is whole and durable (its name, too).
func (c *compaction) step() (more bool, err error) {
	var b Batch
	var frames []byte
	if c.file == nil {
		if c.file, err = c.s.dir.Create(snapName(c.number)); err != nil {
			return false, err
		}
		frames = c.head.append(nil)
	}
	full := false
	c.index.Ascend(c.next, func(key string, value []byte) bool {
		if c.any && key == c.next {
			return true // it was the last of the step before
		}
		if full = b.Size() >= chunkSize; full {
			return false
		}
		b.Put(key, value)
		c.next, c.any = key, true
		return true
	})
	if !full {
		b.payload = binary.AppendUvarint(append(b.payload, opEnd), uint64(c.index.Len()))
	}
	c.frames++
	frames = appendFrame(frames, c.head, c.frames, 0, b.payload)
	if _, err := c.file.Append(frames); err != nil {
		return false, err
	}
	c.size += int64(len(frames))
	c.unsynced += int64(len(frames))
	c.s.mu.Lock()
	c.s.figures.BytesWritten += int64(len(frames))
	c.s.mu.Unlock()
	if !full || c.unsynced >= syncEvery {
		c.unsynced = 0
		if err := c.file.Sync(); err != nil {
			return false, err
		}
	}
	if full {
		return true, nil
	}
	if err := c.file.Close(); err != nil {
		return false, err
	}
	return false, c.s.dir.SyncDir()
}

// abandon takes back what was begun. The log stays as it was, with one segment more.
func (c *compaction) abandon() {
	if c.file != nil {
		c.file.Close()
		_ = c.s.dir.Remove(snapName(c.number))
	}
}

// Compact does a part of a compaction if one is due or under way (or asked for); more tells whether to call it again.
// One that fails, as on a full disk, leaves the log as it is, and is due again when that has grown by half.
func (s *Store) Compact(force bool) (more bool, err error) {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.mu.Lock()
	fit, due := s.fit(), s.due()
	s.mu.Unlock()
	if fit != nil {
		return false, fit
	}
	if s.run == nil {
		if !due && !force {
			return false, nil
		}
		if s.run, err = s.begin(); err != nil {
			return false, s.failed(fmt.Errorf("begin a compaction: %w", err))
		}
		return true, nil
	}
	if more, err = s.run.step(); err != nil {
		s.run.abandon()
		s.run = nil
		return false, s.failed(fmt.Errorf("write a snapshot: %w", err))
	}
	if more {
		return true, nil
	}
	c := s.run
	s.run = nil
	return false, s.finish(c)
}

func (s *Store) failed(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after = s.logSize + s.logSize/2
	return err
}

// begin cuts the log: what is written from now on stands in a new segment, what is written already becomes the snapshot.
func (s *Store) begin() (c *compaction, err error) {
	err = s.segment(s.cur.head.number+1, func() { c = s.start(s.cur.head.number - 1) })
	return c, err
}

// finish puts the snapshot in force and removes what it stands for.
func (s *Store) finish(c *compaction) error {
	m := s.manifest
	m.snap, m.first = c.number, c.number+1
	if err := s.replace(m); err != nil {
		if s.Broken() == nil {
			c.abandon()
			return s.failed(fmt.Errorf("put a snapshot in force: %w", err))
		}
		return err
	}
	s.mu.Lock()
	s.snap, s.after = c.size, 0
	s.logSize = s.cur.size
	s.durable = max(s.durable, c.head.upto)
	s.figures.Compactions++
	s.mu.Unlock()
	s.sweep()
	return nil
}

// background compacts as it falls due, until the store is closed.
func (s *Store) background() {
	defer s.done.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-s.poke:
		}
		for more := true; more; {
			select {
			case <-s.stop:
				return
			default:
			}
			var err error
			if more, err = s.Compact(false); errors.Is(err, ErrBroken) {
				return
			}
		}
	}
}
