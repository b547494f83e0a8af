package store

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/internal/disk"
)

var (
	errIO      = errors.New("input/output error")
	errNoSpace = errors.New("no space left on device")
)

// checkValue checks the value of a key; a missing key has the value "".
func checkValue(t *testing.T, s *Store, key, want string) {
	t.Helper()
	if got, _ := s.Get(key); string(got) != want {
		t.Errorf("%s is %q, want %q", key, got, want)
	}
}

// TestFailedSync checks that nothing is written after a failed sync, that reads still work, and that the next Open writes
// everything again, so that a later crash loses nothing that was read.
func TestFailedSync(t *testing.T) {
	folder := disk.NewMemory()
	store := open(t, folder)
	if err := store.Commit(batch("a=1")); err != nil {
		t.Fatal(err)
	}
	folder.Before = failKinds(errIO, disk.OpSync)
	if err := store.Commit(batch("a=2")); !errors.Is(err, ErrBroken) || !errors.Is(err, errIO) {
		t.Fatal(err)
	}
	folder.Before = nil
	if _, err := store.Write(batch("a=3")); !errors.Is(err, ErrBroken) {
		t.Errorf("write after a failed sync: %v", err)
	}
	if err := store.Sync(); !errors.Is(err, ErrBroken) {
		t.Errorf("sync after a failed sync: %v", err)
	}
	checkValue(t, store, "a", "2")
	if err := store.Broken(); !errors.Is(err, errIO) {
		t.Errorf("Broken returned %v, want %v", err, errIO)
	}
	if err := store.Close(); !errors.Is(err, ErrBroken) {
		t.Errorf("close: %v", err)
	}
	store = open(t, folder)
	checkValue(t, store, "a", "2") // read from the simulated kernel cache
	if err := store.Commit(batch("b=1")); err != nil {
		t.Fatal(err)
	}
	store = open(t, folder.Crash(loseUnsynced))
	if diff := cmp.Diff(map[string]string{"a": "2", "b": "1"}, contents(store)); diff != "" {
		t.Errorf("the contents found at the next start differ: %s", diff)
	}
}

// TestFullDisk checks that writes to a full disk are rejected without effect, that reads still work, and that writes
// succeed again once there is space.
func TestFullDisk(t *testing.T) {
	for name, cause := range map[string]error{
		"nothing is written": errNoSpace,
		"a part is written":  fmt.Errorf("%w: %w", errNoSpace, disk.ErrPartialWrite),
	} {
		t.Run(name, func(t *testing.T) { checkFullDisk(t, cause) })
	}
}

// checkFullDisk checks a full disk on which appends and the creation of files fail with cause.
func checkFullDisk(t *testing.T, cause error) {
	t.Helper()
	folder := disk.NewMemory()
	store := open(t, folder)
	if err := store.Commit(batch("a=1")); err != nil {
		t.Fatal(err)
	}
	folder.Before = failKinds(cause, disk.OpAppend, disk.OpCreate)
	for range 3 {
		err := store.Commit(batch("a=2"))
		if !errors.Is(err, ErrWriteRejected) || !strings.Contains(err.Error(), errNoSpace.Error()) {
			t.Fatal(err)
		}
		if _, err := store.Compact(true); !errors.Is(err, errNoSpace) {
			t.Fatalf("compaction on a full disk: %v", err)
		}
	}
	checkValue(t, store, "a", "1")
	folder.Before = nil
	if err := store.Commit(batch("b=1")); err != nil {
		t.Fatal(err)
	}
	compact(t, store)
	recovered := open(t, folder.Crash(loseUnsynced))
	if diff := cmp.Diff(map[string]string{"a": "1", "b": "1"}, contents(recovered)); diff != "" {
		t.Errorf("the contents found at the next start differ: %s", diff)
	}
}

// TestPartThatCannotBeRemoved checks that the store accepts no more writes if an append wrote a part of a batch and
// that part can't be truncated.
func TestPartThatCannotBeRemoved(t *testing.T) {
	folder := disk.NewMemory()
	s := open(t, folder)
	if err := s.Commit(batch("a=1")); err != nil {
		t.Fatal(err)
	}
	folder.Before = failKinds(disk.ErrPartialWrite, disk.OpAppend, disk.OpTruncate)
	if _, err := s.Write(batch("a=2")); !errors.Is(err, ErrBroken) {
		t.Errorf("partial write: error %v, want %v", err, ErrBroken)
	}
	folder.Before = nil
	if _, err := s.Write(batch("a=3")); !errors.Is(err, ErrBroken) {
		t.Errorf("write after a partial write: error %v, want %v", err, ErrBroken)
	}
}
