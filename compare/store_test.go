package compare

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"gingerfork/internal/disk"
	"gingerfork/internal/store"
)

// kv is what the three stores do alike. A batch is durable when commit returns.
type kv interface {
	commit(puts [][2]string) error
	scan() (n int)
	close() error
}

type oursKV struct{ s *store.Store }

func (k oursKV) commit(puts [][2]string) error {
	var b store.Batch
	for _, p := range puts {
		b.Put(p[0], []byte(p[1]))
	}
	return k.s.Commit(&b)
}

func (k oursKV) scan() (n int) {
	for range k.s.Scan("") {
		n++
	}
	return n
}
func (k oursKV) close() error { return k.s.Close() }

type boltKV struct{ d *bbolt.DB }

var bucket = []byte("b")

func (k boltKV) commit(puts [][2]string) error {
	return k.d.Batch(func(tx *bbolt.Tx) error { // its own way of group commit
		b, err := tx.CreateBucketIfNotExists(bucket)
		for _, p := range puts {
			if err == nil {
				err = b.Put([]byte(p[0]), []byte(p[1]))
			}
		}
		return err
	})
}

func (k boltKV) scan() (n int) {
	_ = k.d.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(_, _ []byte) error { n++; return nil })
	})
	return n
}
func (k boltKV) close() error { return k.d.Close() }

type pebbleKV struct{ d *pebble.DB }

func (k pebbleKV) commit(puts [][2]string) error {
	b := k.d.NewBatch()
	for _, p := range puts {
		if err := b.Set([]byte(p[0]), []byte(p[1]), nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.Sync)
}

func (k pebbleKV) scan() (n int) {
	it, err := k.d.NewIter(nil)
	if err != nil {
		return 0
	}
	defer it.Close()
	for ok := it.First(); ok; ok = it.Next() {
		n++
	}
	return n
}
func (k pebbleKV) close() error { return k.d.Close() }

type quietPebble struct{}

func (quietPebble) Infof(string, ...any)  {}
func (quietPebble) Fatalf(string, ...any) {}

var stores = []string{"ours", "bbolt", "pebble"}

func openKV(t testing.TB, kind, dir string, writers int) kv {
	t.Helper()
	switch kind {
	case "ours":
		d, err := disk.NewReal(dir)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := store.Open(store.Options{Folder: d, Background: true})
		if err != nil {
			t.Fatal(err)
		}
		return oursKV{s}
	case "bbolt":
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		d, err := bbolt.Open(filepath.Join(dir, "db"), 0o644, nil)
		if err != nil {
			t.Fatal(err)
		}
		// Its batches wait for others to join them; alone that is only delay.
		if d.MaxBatchSize = writers; writers == 1 {
			d.MaxBatchDelay = 0
		}
		return boltKV{d}
	}
	d, err := pebble.Open(dir, &pebble.Options{Logger: quietPebble{}})
	if err != nil {
		t.Fatal(err)
	}
	return pebbleKV{d}
}

func size(dir string) (n int64) {
	_ = filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && i.Mode().IsRegular() {
			n += i.Size()
		}
		return nil
	})
	return n
}

// median of rounds, and its ratio to ours.
type table struct {
	rows  []string
	cells map[string]map[string][]float64
}

func (x *table) note(row, kind string, v float64) {
	if x.cells == nil {
		x.cells = map[string]map[string][]float64{}
	}
	if x.cells[row] == nil {
		x.cells[row] = map[string][]float64{}
		x.rows = append(x.rows, row)
	}
	x.cells[row][kind] = append(x.cells[row][kind], v)
}

func (x *table) String() string {
	var b strings.Builder
	b.WriteString("\n| | ours | bbolt | pebble | ours/bbolt | ours/pebble |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range x.rows {
		var m [3]float64
		for i, kind := range stores {
			all := slices.Sorted(slices.Values(x.cells[row][kind]))
			m[i] = all[len(all)/2]
		}
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %.4g | %.2f | %.2f |\n", row, m[0], m[1], m[2], m[0]/m[1], m[0]/m[2])
	}
	return b.String()
}

// TestStores does the same work on the three stores in turn, three rounds in one run, and prints medians and ratios. Run by
// hand: go test -run TestStores -v -timeout 20m
func TestStores(t *testing.T) {
	var x table
	value := strings.Repeat("v", 60)
	for round := range 3 {
		for _, kind := range stores {
			base := filepath.Join(t.TempDir(), fmt.Sprint(kind, round))
			// The coordinator's own pattern: batches of three records, few keys hot.
			for _, writers := range []int{1, 8, 64} {
				dir := filepath.Join(base, fmt.Sprint("w", writers))
				k := openKV(t, kind, dir, writers)
				each := map[int]int{1: 150, 8: 60, 64: 20}[writers]
				begin := time.Now()
				var all sync.WaitGroup
				for w := range writers {
					all.Add(1)
					go func() {
						defer all.Done()
						for i := range each {
							if err := k.commit([][2]string{{fmt.Sprintf("server/%d", w), fmt.Sprint(value, i)}, {fmt.Sprintf("drain/%d", w), "1"}, {fmt.Sprintf("proxy/%d", i%20), value}}); err != nil {
								t.Error(err)
							}
						}
					}()
				}
				all.Wait()
				x.note(fmt.Sprintf("durable commits/s, %d writers", writers), kind, float64(writers*each)/time.Since(begin).Seconds())
				if err := k.close(); err != nil {
					t.Error(err)
				}
			}
			// A list of 100,000 records, loaded in batches of 1,000, then read through.
			dir := filepath.Join(base, "load")
			k := openKV(t, kind, dir, 1)
			begin := time.Now()
			for i := range 100 {
				var puts [][2]string
				for j := range 1000 {
					puts = append(puts, [2]string{fmt.Sprintf("server/%010d", i*1000+j), value})
				}
				if err := k.commit(puts); err != nil {
					t.Fatal(err)
				}
			}
			x.note("load of 100,000 records, s", kind, time.Since(begin).Seconds())
			begin = time.Now()
			if n := k.scan(); n != 100000 {
				t.Fatalf("%s: %d records", kind, n)
			}
			x.note("scan of them, ms", kind, 1e3*time.Since(begin).Seconds())
			// Overwrites: space, and the longest pauses of a writer beside compaction. Durable at each thousand.
			var waits []float64
			for i := range 1000 {
				var puts [][2]string
				for j := range 1000 {
					puts = append(puts, [2]string{fmt.Sprintf("server/%010d", (i*7919+j)%1000), fmt.Sprint(value, i)})
				}
				begin = time.Now()
				if err := k.commit(puts); err != nil {
					t.Fatal(err)
				}
				waits = append(waits, 1e3*time.Since(begin).Seconds())
			}
			slices.Sort(waits)
			x.note("a million overwrites beside them: median batch, ms", kind, waits[len(waits)/2])
			x.note("the same, 99.9th percentile, ms", kind, waits[len(waits)*999/1000])
			x.note("space after them, MB", kind, float64(size(dir))/1e6)
			if err := k.close(); err != nil {
				t.Fatal(err)
			}
			begin = time.Now()
			k = openKV(t, kind, dir, 1)
			x.note("open again, ms", kind, 1e3*time.Since(begin).Seconds())
			if err := k.close(); err != nil {
				t.Fatal(err)
			}
			// A crash: the files as they stand, opened elsewhere.
			for _, n := range []int{1000, 10000} {
				dir := filepath.Join(base, fmt.Sprint("crash", n))
				k := openKV(t, kind, dir, 64)
				var all sync.WaitGroup
				for w := range 64 {
					all.Add(1)
					go func() {
						defer all.Done()
						for i := w; i < n; i += 64 {
							if err := k.commit([][2]string{{fmt.Sprintf("server/%04d", i%1000), value}, {fmt.Sprintf("proxy/%d", i%300), value}}); err != nil {
								t.Error(err)
							}
						}
					}()
				}
				all.Wait()
				if err := os.CopyFS(dir+"x", os.DirFS(dir)); err != nil {
					t.Fatal(err)
				}
				begin = time.Now()
				left := openKV(t, kind, dir+"x", 1)
				x.note(fmt.Sprintf("open after a crash, %d batches, ms", n), kind, 1e3*time.Since(begin).Seconds())
				_ = left.close()
				_ = k.close()
			}
		}
	}
	t.Log(x.String())
}
