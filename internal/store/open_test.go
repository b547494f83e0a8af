package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gingerfork/internal/disk"
)

// TestLock checks that a store has one owner.
func TestLock(t *testing.T) {
	folder, _ := smallStore(t)
	s := open(t, folder)
	if _, _, err := Open(Options{Folder: folder}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second owner: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := open(t, folder).Close(); err != nil {
		t.Error(err)
	}
}

// TestRejectedWrites checks writes that are invalid.
func TestRejectedWrites(t *testing.T) {
	store := open(t, disk.NewMemory())
	if _, err := store.Write(&Batch{}); !errors.Is(err, ErrWriteRejected) {
		t.Errorf("an empty batch: %v", err)
	}
	if err := store.Close(); err != nil {
		t.Error(err)
	}
	if _, err := store.Write(batch("a=1")); !errors.Is(err, ErrClosed) {
		t.Errorf("write after close: %v", err)
	}
	if _, err := store.Write(&Batch{}); !errors.Is(err, ErrClosed) {
		t.Errorf("an empty batch after close: %v", err)
	}
	if err := store.Close(); !errors.Is(err, ErrClosed) {
		t.Errorf("a second close: %v", err)
	}
}

// TestNewerFormat checks that the files of a later version are refused, and that Repair does not touch them.
func TestNewerFormat(t *testing.T) {
	folder, _ := smallStore(t)
	text, _, _ := strings.Cut(string(folder.Bytes(manifestName)), checksumLabel)
	text = strings.Replace(text, "gingerfork-store 1", "gingerfork-store 2", 1)
	folder.Put(manifestName, fmt.Append(nil, text, checksumLine([]byte(text))))
	if _, _, err := Open(Options{Folder: folder}); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("open: %v", err)
	}
	if _, err := Repair(folder); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("repair: %v", err)
	}
}

// TestMissingFiles checks that a file that is missing is damage, and named.
func TestMissingFiles(t *testing.T) {
	folder, _ := smallStore(t)
	if err := open(t, folder).Close(); err != nil {
		t.Fatal(err)
	}
	manifest, err := parseManifest(folder.Bytes(manifestName))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{manifestName, snapshotName(manifest.snapshot), segmentName(manifest.firstSegment)} {
		t.Run(name, func(t *testing.T) {
			left := folder.Copy()
			if err := left.Remove(name); err != nil {
				t.Fatal(err)
			}
			_, _, err := Open(Options{Folder: left})
			var corruption *CorruptionError
			if !errors.As(err, &corruption) || corruption.File != name || !errors.Is(err, errFileMissing) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// FuzzOpen opens any log. Nothing panics, and what was opened, perhaps after a repair, is the same after a crash.
func FuzzOpen(f *testing.F) {
	folder := disk.NewMemory()
	s := open(f, folder)
	for _, changes := range []*Batch{batch("a=1", "b=2"), batch("a", "c=3")} {
		if err := s.Commit(changes); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(slices.Clone(folder.Bytes(segmentName(1))))
	f.Add([]byte{})
	f.Add(make([]byte, 200))
	f.Fuzz(func(t *testing.T, log []byte) {
		fuzzed := folder.Copy()
		fuzzed.Put(segmentName(1), log)
		s := openRepaired(t, fuzzed)
		recovered := open(t, fuzzed.Crash(loseUnsynced))
		if diff := cmp.Diff(contents(s), contents(recovered)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// openRepaired opens a store, after a repair if need be.
func openRepaired(t *testing.T, folder *disk.Memory) *Store {
	t.Helper()
	s, _, err := Open(Options{Folder: folder, ID: testStoreID})
	if err == nil {
		return s
	}
	if _, err := Repair(folder); err != nil {
		t.Fatalf("repair: %v", err)
	}
	if s, _, err = Open(Options{Folder: folder, ID: testStoreID}); err != nil {
		t.Fatalf("after a repair: %v", err)
	}
	return s
}
