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

// kv is the interface through which the three stores are compared. A batch is durable when commit returns.
type kv interface {
	commit(puts [][2]string) error
	scan() (n int) // number of records
	close() error
}

// gingerforkKV is this project's store.
type gingerforkKV struct{ s *store.Store }

func (k gingerforkKV) commit(puts [][2]string) error {
	var b store.Batch
	for _, p := range puts {
		b.Put(p[0], []byte(p[1]))
	}
	return k.s.Commit(&b)
}

func (k gingerforkKV) scan() (n int) {
	for range k.s.Scan("") {
		n++
	}
	return n
}
func (k gingerforkKV) close() error { return k.s.Close() }

// boltKV is a bbolt database with one bucket.
type boltKV struct{ d *bbolt.DB }

var bucket = []byte("b")

func (k boltKV) commit(puts [][2]string) error {
	return k.d.Batch(func(tx *bbolt.Tx) error { // bbolt's group commit
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

// pebbleKV is a pebble database.
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

// quietPebble is a pebble logger that writes nothing.
type quietPebble struct{}

func (quietPebble) Infof(string, ...any)  {}
func (quietPebble) Fatalf(string, ...any) {}

var stores = []string{"ours", "bbolt", "pebble"}

// openKV opens a store of a kind in a directory, for the given number of concurrent writers.
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
		return gingerforkKV{s}
	case "bbolt":
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		d, err := bbolt.Open(filepath.Join(dir, "db"), 0o644, nil)
		if err != nil {
			t.Fatal(err)
		}
		// bbolt delays a batch so that others can join it. With a single writer no other batch comes, so the delay is switched off.
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

// size returns the total size in bytes of the files in a directory.
func size(dir string) (n int64) {
	_ = filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && i.Mode().IsRegular() {
			n += i.Size()
		}
		return nil
	})
	return n
}

// table collects measured values by row and kind of store, one for each round. It is printed as medians and as the ratios of our
// store's medians to those of the other stores.
type table struct {
	rows  []string
	cells map[string]map[string][]float64
}

// add adds the value of one round.
func (t *table) add(row, kind string, v float64) {
	if t.cells == nil {
		t.cells = map[string]map[string][]float64{}
	}
	if t.cells[row] == nil {
		t.cells[row] = map[string][]float64{}
		t.rows = append(t.rows, row)
	}
	t.cells[row][kind] = append(t.cells[row][kind], v)
}

// String returns the table in Markdown.
func (t *table) String() string {
	var b strings.Builder
	b.WriteString("\n| | ours | bbolt | pebble | ours/bbolt | ours/pebble |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range t.rows {
		var medians [3]float64
		for i, kind := range stores {
			all := slices.Sorted(slices.Values(t.cells[row][kind]))
			medians[i] = all[len(all)/2]
		}
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %.4g | %.2f | %.2f |\n", row, medians[0], medians[1], medians[2], medians[0]/medians[1], medians[0]/medians[2])
	}
	return b.String()
}

// TestStores does the same work on the three stores in turn, in three rounds, and logs medians and ratios. It is run by hand:
//
//	go test -run TestStores -v -timeout 20m
func TestStores(t *testing.T) {
	var results table
	value := strings.Repeat("v", 60)
	for round := range 3 {
		for _, kind := range stores {
			base := filepath.Join(t.TempDir(), fmt.Sprint(kind, round))
			// The coordinator's access pattern: batches of three records, of which few keys are written often.
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
				results.add(fmt.Sprintf("durable commits/s, %d writers", writers), kind, float64(writers*each)/time.Since(begin).Seconds())
				if err := k.close(); err != nil {
					t.Error(err)
				}
			}
			// 100,000 records are loaded in batches of 1,000, then scanned.
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
			results.add("load of 100,000 records, s", kind, time.Since(begin).Seconds())
			begin = time.Now()
			if n := k.scan(); n != 100000 {
				t.Fatalf("%s: the scan returned %d records, want 100000", kind, n)
			}
			results.add("scan of 100,000 records, ms", kind, 1e3*time.Since(begin).Seconds())
			// A million overwrites in batches of 1,000, each durable: how much space they take, and how long a writer has to wait while the
			// store compacts.
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
			results.add("a million overwrites with these records present: median batch, ms", kind, waits[len(waits)/2])
			results.add("a million overwrites: 99.9th percentile batch, ms", kind, waits[len(waits)*999/1000])
			results.add("space after a million overwrites, MB", kind, float64(size(dir))/1e6)
			if err := k.close(); err != nil {
				t.Fatal(err)
			}
			begin = time.Now()
			k = openKV(t, kind, dir, 1)
			results.add("reopen, ms", kind, 1e3*time.Since(begin).Seconds())
			if err := k.close(); err != nil {
				t.Fatal(err)
			}
			// Recovery after a crash is simulated by opening a copy of the files of a store that was not closed.
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
				results.add(fmt.Sprintf("open after a crash, %d batches, ms", n), kind, 1e3*time.Since(begin).Seconds())
				_ = left.close()
				_ = k.close()
			}
		}
	}
	t.Log(results.String())
}
