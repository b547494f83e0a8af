package store

import (
	"encoding/binary"

	"github.com/tidwall/btree"

	"gingerfork/internal/disk"
)

const (
	snapshotStepBytes = 64 << 10 // approximate payload size that one step of a snapshotWriter writes, in bytes
	// snapshotSyncBytes is the number of bytes that are written between two syncs of a snapshot. Frequent small syncs keep a
	// sync of the log from waiting for a large sync of the snapshot.
	snapshotSyncBytes = 1 << 20
)

// snapshotWriter writes a snapshot of the store at one point in time, in steps. The snapshot's file is not read until the
// manifest names it.
type snapshotWriter struct {
	store         *Store
	header        fileHeader
	index         *btree.Map[string, []byte] // copy of the store's index at the time of the snapshot
	file          disk.File                  // the snapshot's file; nil before the first step
	lastKey       string                     // last key written to file
	started       bool                       // at least one key was written, so lastKey is set
	frames        uint64                     // number of frames written to file so far
	bytes         int64                      // size of file so far
	unsyncedBytes int64                      // bytes written to file since its last sync
}

// newSnapshotWriter returns a writer for a snapshot of all batches written so far. The copy of the index is copy-on-write,
// so the time that the call takes does not grow with the store. The caller holds mu, or no other goroutine writes.
func (s *Store) newSnapshotWriter(number uint64) *snapshotWriter {
	return &snapshotWriter{
		store: s,
		index: s.index.Copy(),
		header: fileHeader{
			snapshot: true, storeID: s.manifest.storeID, number: number, lastSequence: s.lastSequence,
		},
	}
}

// writeAll performs all steps.
func (w *snapshotWriter) writeAll() error {
	for more := true; more; {
		var err error
		if more, err = w.step(); err != nil {
			return err
		}
	}
	return nil
}

// step writes the next frame of the snapshot. more is false once the snapshot and its name are durable.
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

// nextPayload returns the payload of the next frame. more is false for the last one, which ends with the number of keys in
// the snapshot.
func (w *snapshotWriter) nextPayload() (payload []byte, more bool) {
	var batch Batch
	w.index.Ascend(w.lastKey, func(key string, value []byte) bool {
		if w.started && key == w.lastKey {
			return true // written by the previous step
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

// append appends data to the snapshot's file and updates bytes and unsyncedBytes.
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

// abort removes the snapshot's file. The log is kept, with one more segment than before the compaction.
func (w *snapshotWriter) abort() {
	if w.file == nil {
		return
	}
	_ = w.file.Close()                                       // the file is removed next
	_ = w.store.folder.Remove(snapshotName(w.header.number)) // if this fails, removeObsoleteFiles removes it
}
