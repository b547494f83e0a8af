package store

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gingerfork/internal/disk"
)

const (
	testWriters      = 8
	batchesPerWriter = 60
	keysPerWriter    = 8 // one with the number of the last batch, and seven written in turn
)

// TestManyWriters writes from many goroutines during compactions, in a real folder. Everything that was acknowledged
// must be found at the next start, and the number of files must stay within its limit.
func TestManyWriters(t *testing.T) {
	folder, err := disk.NewReal(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	store, _, err := Open(Options{Folder: folder, MinCompactionBytes: 4000, Background: true})
	if err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	for writer := range testWriters {
		writers.Add(1)
		go func() {
			defer writers.Done()
			writeBatches(t, store, writer)
		}()
	}
	writers.Wait()
	stats := store.Stats()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if stats.Compactions == 0 || stats.Syncs > stats.Batches || stats.Keys != testWriters*keysPerWriter {
		t.Errorf("unexpected statistics %+v", stats)
	}
	checkWrittenBatches(t, folder)
}

// writeBatches commits the batches of one writer and scans the store after each.
func writeBatches(t *testing.T, s *Store, writer int) {
	for i := range batchesPerWriter {
		changes := batch(
			fmt.Sprintf("w%d=%d", writer, i),
			fmt.Sprintf("w%d/%d=%s", writer, i%(keysPerWriter-1), strings.Repeat("x", 50)),
		)
		if err := s.Commit(changes); err != nil {
			t.Error(err)
			return
		}
		for key := range s.Scan("w") {
			_ = key // only the scan itself matters: it runs concurrently with the other writers
		}
	}
}

// checkWrittenBatches checks what is found when the store is opened again.
func checkWrittenBatches(t *testing.T, folder *disk.Real) {
	t.Helper()
	s, report, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for writer := range testWriters {
		checkValue(t, s, fmt.Sprint("w", writer), fmt.Sprint(batchesPerWriter-1))
	}
	const closeMarker = 1
	batches := uint64(testWriters*batchesPerWriter + closeMarker)
	if report.Keys != testWriters*keysPerWriter || report.LastSequence != batches || report.TornBytes != 0 {
		t.Errorf("unexpected recovery %+v", report)
	}
	names, err := folder.Names()
	// At most LOCK, MANIFEST, a snapshot, the segment after it, the segment of a compaction that Close interrupted, and the
	// segment that this Open created.
	if err != nil || len(names) > 6 {
		t.Errorf("files %q, error %v", names, err)
	}
}
