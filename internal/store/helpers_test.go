package store

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/internal/disk"
)

// testStoreID makes the files of all tests the same in each run.
const testStoreID = 7

func contents(s *Store) map[string]string {
	all := map[string]string{}
	for key, value := range s.Scan("") {
		all[key] = string(value)
	}
	return all
}

// batch makes a batch of words: key=value puts a key, and key deletes it.
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

// open opens a store whose log is compacted early.
func open(t testing.TB, folder disk.Folder) *Store {
	t.Helper()
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 2000, ID: testStoreID})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// compact does all steps of a compaction.
func compact(t testing.TB, s *Store) {
	t.Helper()
	for more := true; more; {
		var err error
		if more, err = s.Compact(true); err != nil {
			t.Fatal(err)
		}
	}
}

// loseUnsynced is an argument for disk.Memory.Crash: nothing survives that was not synced.
func loseUnsynced() bool { return false }

// crashAfter returns a function for disk.Memory.Before: the machine crashes after so many operations.
func crashAfter(operations int) func(disk.Op) error {
	left := operations
	return func(disk.Op) error {
		left--
		if left < 0 {
			return disk.ErrCrashed
		}
		return nil
	}
}

// failKinds returns a function for disk.Memory.Before: operations of these kinds fail.
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

// smallStore returns the files of a store with a snapshot and a log after it, which was not closed, and its contents.
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

// model is what a store must have: the state after each batch, and the last batch that was acknowledged as durable.
type model struct {
	states       []map[string]string // by sequence number
	acknowledged uint64
}

func newModel() *model { return &model{states: []map[string]string{{}}} }

func (m *model) lastState() map[string]string { return m.states[len(m.states)-1] }

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

// acknowledge notes that everything that was written to a store is durable.
func (m *model) acknowledge(s *Store) { _, m.acknowledged = s.Durable() }

// check fails unless the recovered store has the state after some batch that is not before the last acknowledged one. The
// model goes on from there.
func (m *model) check(s *Store) error {
	_, sequence := s.Durable()
	if sequence < m.acknowledged || sequence >= uint64(len(m.states)) {
		return fmt.Errorf("batch %d is the last, %d was acknowledged, %d written", sequence, m.acknowledged, len(m.states)-1)
	}
	if diff := cmp.Diff(m.states[sequence], contents(s)); diff != "" {
		return fmt.Errorf("after batch %d: %s", sequence, diff)
	}
	m.states, m.acknowledged = m.states[:sequence+1], sequence
	return nil
}
