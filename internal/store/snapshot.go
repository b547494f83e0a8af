package store

import (
	"encoding/binary"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

const (
	snapshotStepBytes = 64 << 10 // that one step writes
	// snapshotSyncBytes is written between two syncs, so that no sync of the log waits for a large one of the snapshot.
	snapshotSyncBytes = 1 << 20
)

// snapshotWriter writes a snapshot of the store as it was at one moment, step by step. Nobody reads its file until the
// manifest names it.
type snapshotWriter struct {
	store         *Store
	header        fileHeader
	index         *btree.Map[string, []byte]
	file          disk.File // nil before the first step
	lastKey       string    // written so far
	started       bool      // a key was written
	frames        uint64
	bytes         int64
	unsyncedBytes int64
}

// newSnapshotWriter fixes what the snapshot has: everything that is written now. The time that this takes does not grow
// with the store. mu is held, or nobody writes.
func (s *Store) newSnapshotWriter(number uint64) *snapshotWriter {
	return &snapshotWriter{
		store: s,
		index: s.index.Copy(),
		header: fileHeader{
			snapshot: true, storeID: s.manifest.storeID, number: number, lastSequence: s.lastSequence,
		},
	}
}

// writeAll does all steps.
func (w *snapshotWriter) writeAll() error {
	for more := true; more; {
		var err error
		if more, err = w.step(); err != nil {
			return err
		}
	}
	return nil
}

// step writes the next part. more is false once the snapshot and its name are durable.
func (w *snapshotWriter) step() (more bool, err error) {
	var data []byte
	if w.file == nil {
		if w.file, err = w.store.folder.Create(snapshotName(w.header.number)); err != nil {
			return false, err
		}
		data = w.header.append(data)
	}
	payload, more := w.nextPayload()
	w.frames++
	data = appendFrame(data, w.header, w.frames, 0, payload)
	if err := w.append(data); err != nil {
		return false, err
	}
	if !more || w.unsyncedBytes >= snapshotSyncBytes {
		w.unsyncedBytes = 0
		if err := w.file.Sync(); err != nil {
			return false, err
		}
	}
	if more {
		return true, nil
	}
	if err := w.file.Close(); err != nil {
		return false, err
	}
	return false, w.store.folder.SyncDir()
}

// nextPayload returns the keys of one step; the last payload ends with the number of all keys.
func (w *snapshotWriter) nextPayload() (payload []byte, more bool) {
	var batch Batch
	w.index.Ascend(w.lastKey, func(key string, value []byte) bool {
		if w.started && key == w.lastKey {
			return true // it was the last of the step before
		}
		if batch.Size() >= snapshotStepBytes {
			more = true
			return false
		}
		batch.Put(key, value)
		w.lastKey, w.started = key, true
		return true
	})
	if more {
		return batch.payload, true
	}
	return binary.AppendUvarint(append(batch.payload, opSnapshotEnd), uint64(w.index.Len())), false
}

func (w *snapshotWriter) append(data []byte) error {
	if _, err := w.file.Append(data); err != nil {
		return err
	}
	size := int64(len(data))
	w.bytes += size
	w.unsyncedBytes += size
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.stats.BytesWritten += size
	return nil
}

// abort removes the file. The log stays as it was, with one segment more.
func (w *snapshotWriter) abort() {
	if w.file == nil {
		return
	}
	_ = w.file.Close()                                       // the file is removed
	_ = w.store.folder.Remove(snapshotName(w.header.number)) // if it stays, removeObsoleteFiles removes it
}
