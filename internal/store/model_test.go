package store

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/internal/disk"
)

// TestAgainstAModel runs random sequences of writes, syncs, compaction steps, failing operations and crashes, and compares
// the store with a model made of maps.
func TestAgainstAModel(t *testing.T) {
	for range 10 {
		rapid.Check(t, func(t *rapid.T) {
			test := &modelTest{T: t, folder: disk.NewMemory(), model: newModel()}
			test.reopen()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				test.step()
			}
		})
	}
}

// modelTest is one random sequence of steps.
type modelTest struct {
	*rapid.T
	folder *disk.Memory
	model  *model
	store  *Store
}

// reopen opens the store and checks its contents against the model.
func (m *modelTest) reopen() {
	m.Helper()
	var err error
	if m.store, _, err = Open(Options{Folder: m.folder, MinCompactionBytes: 600, ID: testStoreID}); err != nil {
		m.Fatalf("open: %v", err)
	}
	if err := m.model.check(m.store); err != nil {
		m.Fatal(err)
	}
}

// crash simulates a crash in which random unsynced changes survive, and reopens the store.
func (m *modelTest) crash() {
	m.Helper()
	m.folder = m.folder.Crash(func() bool { return rapid.Bool().Draw(m.T, "survives") })
	m.reopen()
}

// step performs one random step.
func (m *modelTest) step() {
	m.Helper()
	steps := []string{
		"write", "write", "write", "sync", "compact", "compact", "compact", "crash", "crash during", "fail", "close",
	}
	switch rapid.SampledFrom(steps).Draw(m.T, "step") {
	case "write":
		m.write()
	case "sync":
		if m.store.Sync() == nil {
			m.model.acknowledge(m.store)
		}
	case "compact":
		_, _ = m.store.Compact(rapid.Bool().Draw(m.T, "force"))
	case "crash":
		m.crash()
	case "crash during":
		m.crashDuringOperations()
	case "fail":
		m.failOperation()
	case "close":
		m.close()
	}
}

func (m *modelTest) write() {
	m.Helper()
	changes := m.drawBatch()
	_, err := m.store.Write(changes)
	if err == nil {
		m.model.write(changes)
		return
	}
	if !errors.Is(err, ErrBroken) && !errors.Is(err, ErrWriteRejected) {
		m.Fatal(err)
	}
}

func (m *modelTest) drawBatch() *Batch {
	changes := &Batch{}
	for range rapid.IntRange(1, 3).Draw(m.T, "changes") {
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(m.T, "key")
		if rapid.IntRange(0, 3).Draw(m.T, "delete") == 0 {
			changes.Delete(key)
			continue
		}
		letter := rapid.StringMatching("[a-z]").Draw(m.T, "value")
		size := rapid.IntRange(0, 700).Draw(m.T, "size")
		changes.Put(key, []byte(strings.Repeat(letter, size)))
	}
	return changes
}

// crashDuringOperations crashes during one of the operations of a commit and a few compaction steps.
func (m *modelTest) crashDuringOperations() {
	m.Helper()
	m.folder.Before = crashAfter(rapid.IntRange(0, 12).Draw(m.T, "operations"))
	err := m.store.Commit(batch("a=crash"))
	_, sequence := m.store.Durable()
	if err == nil || sequence == uint64(len(m.model.states)) { // the batch was written, durable or not
		m.model.write(batch("a=crash"))
	}
	if err == nil {
		m.model.acknowledge(m.store)
	}
	for range 5 {
		_, _ = m.store.Compact(true)
	}
	m.crash()
}

// failOperation makes one of the next three operations of a random kind fail.
func (m *modelTest) failOperation() {
	kinds := []disk.OpKind{disk.OpAppend, disk.OpSync, disk.OpSyncDir, disk.OpCreate, disk.OpRename, disk.OpRemove}
	kind := rapid.SampledFrom(kinds).Draw(m.T, "kind")
	after := rapid.IntRange(0, 2).Draw(m.T, "after")
	cause := rapid.SampledFrom([]error{errors.New("no space"), disk.ErrPartialWrite}).Draw(m.T, "cause")
	m.folder.Before = func(op disk.Op) error {
		if op.Kind != kind {
			return nil
		}
		after--
		if after == -1 {
			return cause
		}
		return nil
	}
}

// close closes the store, ends injected failures and reopens it.
func (m *modelTest) close() {
	m.Helper()
	err := m.store.Close()
	m.folder.Before = nil
	if err == nil { // the close marker is a batch without changes
		m.model.states = append(m.model.states, m.model.lastState())
		m.model.acknowledge(m.store)
	}
	m.reopen()
}
