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

// TestLock checks that a store can't be opened while it is open.
func TestLock(t *testing.T) {
	folder, _ := smallStore(t)
	s := open(t, folder)
	if _, _, err := Open(Options{Folder: folder}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("open while open: error %v, want %v", err, disk.ErrLocked)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := open(t, folder).Close(); err != nil {
		t.Error(err)
	}
}

// TestRejectedWrites checks that empty batches and writes after Close are rejected.
func TestRejectedWrites(t *testing.T) {
	store := open(t, disk.NewMemory())
	if _, err := store.Write(&Batch{}); !errors.Is(err, ErrWriteRejected) {
		t.Errorf("empty batch: error %v, want %v", err, ErrWriteRejected)
	}
	if err := store.Close(); err != nil {
		t.Error(err)
	}
	if _, err := store.Write(batch("a=1")); !errors.Is(err, ErrClosed) {
		t.Errorf("write after close: error %v, want %v", err, ErrClosed)
	}
	if _, err := store.Write(&Batch{}); !errors.Is(err, ErrClosed) {
		t.Errorf("empty batch after close: error %v, want %v", err, ErrClosed)
	}
	if err := store.Close(); !errors.Is(err, ErrClosed) {
		t.Errorf("second close: error %v, want %v", err, ErrClosed)
	}
}

// TestNewerFormat checks that Open and Repair refuse the files of a later version.
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

// TestMissingFiles checks that a missing file is reported as damage that names the file.
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
			incomplete := folder.Copy()
			if err := incomplete.Remove(name); err != nil {
				t.Fatal(err)
			}
			_, _, err := Open(Options{Folder: incomplete})
			var corruption *CorruptionError
			if !errors.As(err, &corruption) || corruption.File != name || !errors.Is(err, errFileMissing) {
				t.Errorf("got error %v, want damage: %v", err, errFileMissing)
			}
		})
	}
}

// FuzzOpen opens a store with arbitrary bytes as its log. Open and Repair must not panic, and the contents that Open
// returns, possibly after a repair, must be the same after a crash.
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
			t.Fatalf("the contents after the crash differ: %s", diff)
		}
	})
}

// openRepaired opens a store, and repairs it first if it is damaged.
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
