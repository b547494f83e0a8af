package store

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/internal/disk"
)

// testStoreID is the store ID in tests. It is fixed so that the files are the same in each run.
const testStoreID = 7

// contents returns all keys and values of a store.
func contents(s *Store) map[string]string {
	all := map[string]string{}
	for key, value := range s.Scan("") {
		all[key] = string(value)
	}
	return all
}

// batch returns a batch with a change for each word: "key=value" puts a key, "key" deletes it.
func batch(words ...string) *Batch {
	changes := &Batch{}
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			changes.Put(key, []byte(value))
		} else {
			changes.Delete(word)
		}
	}
	return changes
}

// open opens a store whose log is compacted early, at 2000 bytes.
func open(t testing.TB, folder disk.Folder) *Store {
	t.Helper()
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 2000, ID: testStoreID})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// compact performs all steps of a compaction.
func compact(t testing.TB, s *Store) {
	t.Helper()
	for more := true; more; {
		var err error
		if more, err = s.Compact(true); err != nil {
			t.Fatal(err)
		}
	}
}

// loseUnsynced is an argument for disk.Memory.Crash: no unsynced change survives.
func loseUnsynced() bool { return false }

// crashAfter returns a function for disk.Memory.Before that simulates a crash after a number of operations.
func crashAfter(operations int) func(disk.Op) error {
	remaining := operations
	return func(disk.Op) error {
		remaining--
		if remaining < 0 {
			return disk.ErrCrashed
		}
		return nil
	}
}

// failKinds returns a function for disk.Memory.Before that makes operations of the given kinds fail with cause.
func failKinds(cause error, kinds ...disk.OpKind) func(disk.Op) error {
	return func(op disk.Op) error {
		for _, kind := range kinds {
			if op.Kind == kind {
				return cause
			}
		}
		return nil
	}
}

// smallStore returns the files and the contents of a store that has a snapshot and a log after it and was not closed.
func smallStore(t *testing.T) (*disk.Memory, map[string]string) {
	t.Helper()
	folder := disk.NewMemory()
	s := open(t, folder)
	for i := range 8 {
		if err := s.Commit(batch(fmt.Sprintf("key%d=value%d", i%5, i), "other=x")); err != nil {
			t.Fatal(err)
		}
		if i == 4 {
			compact(t, s)
		}
	}
	return folder.Copy(), contents(s)
}

// model holds the expected states of a store: the contents after each batch, and the last batch that was acknowledged as
// durable.
type model struct {
	states       []map[string]string // contents by sequence number; 0 is the empty store
	acknowledged uint64              // sequence number
}

func newModel() *model { return &model{states: []map[string]string{{}}} }

func (m *model) lastState() map[string]string { return m.states[len(m.states)-1] }

// write adds the state after a batch.
func (m *model) write(changes *Batch) {
	next := maps.Clone(m.lastState())
	changes.Each(func(key string, value []byte) {
		if value == nil {
			delete(next, key)
		} else {
			next[key] = string(value)
		}
	})
	m.states = append(m.states, next)
}

// acknowledge records that all batches written to a store are durable.
func (m *model) acknowledge(s *Store) { _, m.acknowledged = s.Durable() }

// check returns an error unless the contents of the recovered store are the state after the last acknowledged batch or a
// later one. Later states are then dropped from the model, and the found one counts as acknowledged.
func (m *model) check(s *Store) error {
	_, sequence := s.Durable()
	if sequence < m.acknowledged || sequence >= uint64(len(m.states)) {
		return fmt.Errorf("recovered batches up to %d, acknowledged up to %d, written up to %d", sequence, m.acknowledged, len(m.states)-1)
	}
	if diff := cmp.Diff(m.states[sequence], contents(s)); diff != "" {
		return fmt.Errorf("after batch %d: %s", sequence, diff)
	}
	m.states, m.acknowledged = m.states[:sequence+1], sequence
	return nil
}
