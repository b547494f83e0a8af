package store

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/disk"
)

// BenchmarkOpenAfterCrash opens a store after a crash, by the length of its log: about a thousand keys, written repeatedly.
func BenchmarkOpenAfterCrash(b *testing.B) {
	for _, batches := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(batches), func(b *testing.B) { benchmarkOpen(b, batches) })
	}
}

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
		left := folder.Copy()
		b.StartTimer()
		if _, _, err := Open(Options{Folder: left}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(store.Stats().LogBytes)/1e6, "MB")
}
