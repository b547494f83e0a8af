package store

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/disk"
)

// BenchmarkOpenAfterCrash measures opening a store that was not closed, for logs of different lengths in which about a
// thousand keys are written repeatedly.
func BenchmarkOpenAfterCrash(b *testing.B) {
	for _, batches := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(batches), func(b *testing.B) { benchmarkOpen(b, batches) })
	}
}

// benchmarkOpen opens a store with the given number of batches in its log.
func benchmarkOpen(b *testing.B, batches int) {
	folder := disk.NewMemory()
	store, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1 << 40}) // never compacted
	if err != nil {
		b.Fatal(err)
	}
	for i := range batches {
		server := fmt.Sprintf("server/%04d=%s", i*7919%1000, strings.Repeat("v", 60))
		proxy := fmt.Sprintf("proxy/%03d=%d", i%300, i)
		if _, err := store.Write(batch(server, proxy)); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		b.StopTimer()
		crashed := folder.Copy()
		b.StartTimer()
		if _, _, err := Open(Options{Folder: crashed}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(store.Stats().LogBytes)/1e6, "MB")
}
