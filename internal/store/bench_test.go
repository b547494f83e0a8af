package store

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/disk"
)

// A store is opened after a crash, by the length of its log: some thousand keys, written over and over.
func BenchmarkOpenAfterCrash(b *testing.B) {
	for _, batches := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(batches), func(b *testing.B) {
			folder := disk.NewMemory()
			s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1 << 40})
			if err != nil {
				b.Fatal(err)
			}
			for i := range batches {
				if _, err := s.Write(batch(fmt.Sprintf("server/%04d=%s", i*7919%1000, strings.Repeat("v", 60)), fmt.Sprintf("proxy/%03d=%d", i%300, i))); err != nil {
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
			b.ReportMetric(float64(s.Stats().LogBytes)/1e6, "MB")
		})
	}
}
