package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gingerfork/internal/disk"
)

func contents(s *Store) map[string]string {
	all := map[string]string{}
	for k, v := range s.Scan("") {
		all[k] = string(v)
	}
	return all
}

// model is what a store must hold: the state after each batch, and which batches were acknowledged as durable.
type model struct {
	states []map[string]string // by batch
	acked  uint64
}

func newModel() *model { return &model{states: []map[string]string{{}}} }

func (m *model) write(b *Batch) {
	next := maps.Clone(m.states[len(m.states)-1])
	b.Each(func(k string, v []byte) {
		if v == nil {
			delete(next, k)
		} else {
			next[k] = string(v)
		}
	})
	m.states = append(m.states, next)
}

// holds tells whether what was found is the state after some batch that is not before the last acknowledged one; it
// goes on from there.
func (m *model) holds(s *Store) error {
	_, seq := s.Durable()
	if seq < m.acked || seq >= uint64(len(m.states)) {
		return fmt.Errorf("batch %d is the last, %d was acknowledged, %d written", seq, m.acked, len(m.states)-1)
	}
	if diff := cmp.Diff(m.states[seq], contents(s)); diff != "" {
		return fmt.Errorf("after batch %d: %s", seq, diff)
	}
	m.states, m.acked = m.states[:seq+1], seq
	return nil
}

func batch(words ...string) *Batch {
	b := &Batch{}
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			b.Put(k, []byte(v))
		} else {
			b.Delete(w)
		}
	}
	return b
}

func open(t testing.TB, d disk.Folder) *Store {
	t.Helper()
	s, _, err := Open(Options{Folder: d, MinCompactionBytes: 2000, ID: 7})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Random puts, deletes, batches, syncs, compactions step by step, failed operations and crashes, against maps.
func TestAgainstAModel(t *testing.T) {
	for range 10 {
		againstAModel(t)
	}
}

func againstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := disk.NewMemory()
		m := newModel()
		var s *Store
		reopen := func() {
			var err error
			if s, _, err = Open(Options{Folder: folder, MinCompactionBytes: 600, ID: 7}); err != nil {
				t.Fatalf("open: %v", err)
			}
			if err := m.holds(s); err != nil {
				t.Fatal(err)
			}
		}
		reopen()
		kept := func() bool { return rapid.Bool().Draw(t, "kept") }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "write", "sync", "compact", "compact", "compact", "crash", "crash in", "fail", "close"}).Draw(t, "do") {
			case "write":
				b := &Batch{}
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
					if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
						b.Delete(key)
					} else {
						b.Put(key, []byte(strings.Repeat(rapid.StringMatching("[a-z]").Draw(t, "value"), rapid.IntRange(0, 700).Draw(t, "size"))))
					}
				}
				if _, err := s.Write(b); err == nil {
					m.write(b)
				} else if !errors.Is(err, ErrBroken) && !errors.Is(err, ErrWriteRejected) {
					t.Fatal(err)
				}
			case "sync":
				if s.Sync() == nil {
					_, seq := s.Durable()
					m.acked = seq
				}
			case "compact":
				_, _ = s.Compact(rapid.Bool().Draw(t, "force"))
			case "crash":
				folder = folder.Crash(kept)
				reopen()
			case "crash in": // some operation of what comes next
				left := rapid.IntRange(0, 12).Draw(t, "operations")
				folder.Before = func(disk.Op) error {
					if left--; left < 0 {
						return disk.ErrCrashed
					}
					return nil
				}
				if s.Commit(batch("a=crash")) == nil {
					m.write(batch("a=crash"))
					_, seq := s.Durable()
					m.acked = seq
				} else if _, seq := s.Durable(); seq == uint64(len(m.states)) {
					m.write(batch("a=crash"))
				}
				for range 5 {
					_, _ = s.Compact(true)
				}
				folder = folder.Crash(kept)
				reopen()
			case "fail":
				kind := rapid.SampledFrom([]disk.OpKind{disk.OpAppend, disk.OpSync, disk.OpSyncDir, disk.OpCreate, disk.OpRename, disk.OpRemove}).Draw(t, "kind")
				after, cause := rapid.IntRange(0, 2).Draw(t, "after"), rapid.SampledFrom([]error{errors.New("no space"), disk.ErrPartialWrite}).Draw(t, "cause")
				folder.Before = func(o disk.Op) error {
					if o.Kind == kind {
						if after--; after == -1 {
							return cause
						}
					}
					return nil
				}
			case "close":
				err := s.Close()
				folder.Before = nil
				if err == nil { // its mark is a batch without a change
					m.states = append(m.states, m.states[len(m.states)-1])
					_, m.acked = s.Durable()
				}
				reopen()
			}
		}
	})
}

// every calls do with each sequence of answers to yes-or-no questions, as many as it asks for, up to most.
func every(most int, do func(ask func() bool)) (n int) {
	var answers []bool
	for {
		at := 0
		do(func() bool {
			if at == len(answers) {
				answers = append(answers, false)
			}
			at++
			return answers[at-1]
		})
		n++
		for answers = answers[:at]; len(answers) > 0 && answers[len(answers)-1]; {
			answers = answers[:len(answers)-1]
		}
		if len(answers) == 0 || n >= most {
			return n
		}
		answers[len(answers)-1] = true
	}
}

// history is a short life of a store: batches, a sync, a compaction, more batches. It ends where the folder fails.
func history(folder *disk.Memory, m *model) {
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 600, ID: 7})
	if err != nil {
		return
	}
	do := func(sync bool, words ...string) {
		b := batch(words...)
		seq, err := s.Write(b)
		if err != nil {
			return
		}
		m.write(b)
		if sync && s.SyncTo(seq) == nil {
			m.acked = seq
		}
	}
	do(true, "drain/1=told", "list/1=a")
	do(false, "proxy/1="+strings.Repeat("x", 1600))
	do(true, "drain/2=told", "drain/1")
	do(false, "proxy/1="+strings.Repeat("y", 1100))
	for more := true; more && err == nil; {
		more, err = s.Compact(true)
		do(false, "list/1="+strings.Repeat("b", 700))
	}
	do(true, "list/2=c", "proxy/1")
	do(false, "list/2=d")
}

// A crash after every single operation, what was not synced there or not, in every combination; then a crash after every
// operation of the recovery from it, and the recovery from that. No acknowledged batch is lost, none is there in part.
func TestCrashAnywhere(t *testing.T) {
	whole := disk.NewMemory()
	history(whole, newModel())
	ops := whole.Ops()
	crashes, nth := 0, 0
	for at := range ops + 1 {
		crashes += every(200, func(ask func() bool) {
			folder, m := disk.NewMemory(), newModel()
			left := at
			folder.Before = func(disk.Op) error {
				if left--; left < 0 {
					return disk.ErrCrashed
				}
				return nil
			}
			history(folder, m)
			after := folder.Crash(ask)
			check := func(d *disk.Memory, m model) {
				s, _, err := Open(Options{Folder: d, MinCompactionBytes: 600, ID: 7})
				if err != nil {
					t.Fatalf("crash after operation %d: %v", at, err)
				}
				if err := m.holds(s); err != nil {
					t.Fatalf("crash after operation %d: %v", at, err)
				}
				if err := s.Commit(batch("more=1")); err != nil {
					t.Fatal(err)
				}
			}
			// The recovery crashes in turn, with what it had not synced there or not by a pattern that differs each time.
			for second := 0; nth%8 == 0; second++ { // an eighth of the crashes: each has some fifteen places
				again, reached := after.Copy(), false
				left := second
				again.Before = func(disk.Op) error {
					if left--; left < 0 {
						reached = true
						return disk.ErrCrashed
					}
					return nil
				}
				s, _, err := Open(Options{Folder: again, MinCompactionBytes: 600, ID: 7})
				if err == nil && s.Commit(batch("recovered=1")) == nil {
					break
				}
				if !reached {
					t.Fatal(err)
				}
				n := at + second
				found := again.Crash(func() bool { n = n*5 + 1; return n&8 != 0 })
				known := *m
				last := maps.Clone(m.states[len(m.states)-1])
				if s != nil { // the batch may be there, behind whatever was recovered
					_, seq := s.Durable()
					known.states = slices.Clone(m.states[:seq])
					if int(seq) == len(m.states) {
						known.states = append(known.states, last)
					}
					last = maps.Clone(contents(s))
					known.states = append(known.states[:seq], last)
					delete(last, "recovered")
					if contents(s)["recovered"] != "" {
						known.states[seq-1], known.states[seq] = last, contents(s)
					}
				}
				check(found, known)
			}
			check(after, *m)
			nth++
		})
	}
	t.Logf("%d operations, %d crashes an eighth of them with a crash at each operation of the recovery", ops, crashes)
	if ops < 25 || crashes < 1000 {
		t.Errorf("%d operations, %d crashes: the history no longer reaches far", ops, crashes)
	}
}

// Longer histories by seed: sectors lost and kept at random.
func TestCrashBySeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, m := disk.NewMemory(), newModel()
		for range 3 {
			left := rapid.IntRange(0, 60).Draw(t, "operations")
			folder.Before = func(disk.Op) error {
				if left--; left < 0 {
					return disk.ErrCrashed
				}
				return nil
			}
			s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1500, ID: 7})
			if err == nil {
				if err := m.holds(s); err != nil {
					t.Fatal(err)
				}
				for i := range 20 {
					b := batch(fmt.Sprintf("k%d=%s", i%5, strings.Repeat("v", rapid.IntRange(0, 1500).Draw(t, "size"))))
					if _, err := s.Write(b); err != nil {
						break
					}
					m.write(b)
					if i%3 == 0 && s.Sync() == nil {
						m.acked = uint64(len(m.states) - 1)
					}
					_, _ = s.Compact(false)
				}
			}
			folder = folder.Crash(func() bool { return rapid.Bool().Draw(t, "kept") })
		}
		s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 1500, ID: 7})
		if err != nil {
			t.Fatal(err)
		}
		if err := m.holds(s); err != nil {
			t.Fatal(err)
		}
	})
}

// small is a store with a snapshot and a log of two segments' time, as it stands on the disk, closed or not.
func small(t *testing.T) (*disk.Memory, map[string]string) {
	t.Helper()
	folder := disk.NewMemory()
	s := open(t, folder)
	for i := range 8 {
		if err := s.Commit(batch(fmt.Sprintf("key%d=value%d", i%5, i), "other=x")); err != nil {
			t.Fatal(err)
		}
		if i == 4 {
			for more := true; more; {
				var err error
				if more, err = s.Compact(true); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return folder.Copy(), contents(s)
}

// Each bit of each byte of each file turned: opening finds it, or it changes nothing.
func TestFlippedBits(t *testing.T) {
	folder, want := small(t)
	names, _ := folder.Names()
	found, harmless := 0, 0
	for _, name := range names {
		for at := range folder.Bytes(name) {
			for bit := range 8 {
				spoilt := folder.Copy()
				spoilt.Bytes(name)[at] ^= 1 << bit
				s, _, err := Open(Options{Folder: spoilt, ID: 7})
				switch {
				case err != nil:
					found++
					if !strings.Contains(err.Error(), name) {
						t.Errorf("%s, byte %d: the file is not named: %v", name, at, err)
					}
				case cmp.Diff(want, contents(s)) != "":
					t.Errorf("%s, bit %d of byte %d: not found: %v", name, bit, at, contents(s))
				default:
					harmless++
				}
			}
		}
	}
	t.Logf("%d bits found, %d harmless", found, harmless)
}

// The log cut at each byte: what was written wholly before is there, and nothing else.
func TestCutAnywhere(t *testing.T) {
	folder, m := disk.NewMemory(), newModel()
	s := open(t, folder)
	var ends []int
	for i := range 12 {
		b := batch(fmt.Sprintf("k%d=%s", i%4, strings.Repeat("v", i*9)), fmt.Sprintf("n=%d", i))
		if err := s.Commit(b); err != nil {
			t.Fatal(err)
		}
		m.write(b)
		ends = append(ends, len(folder.Bytes(segName(1))))
	}
	log := slices.Clone(folder.Bytes(segName(1)))
	for cut := headSize; cut <= len(log); cut++ {
		left := folder.Copy()
		left.Put(segName(1), slices.Clone(log[:cut]))
		s, r, err := Open(Options{Folder: left, ID: 7})
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		n, _ := slices.BinarySearch(ends, cut+1)
		begin := headSize
		if n > 0 {
			begin = ends[n-1]
		}
		if diff := cmp.Diff(m.states[n], contents(s)); diff != "" || r.TornBytes != int64(cut-begin) {
			t.Fatalf("cut at %d: %d bytes cut; %s", cut, r.TornBytes, diff)
		}
	}
	// A snapshot that is cut anywhere is damage: it was durable as a whole before the manifest named it.
	whole, _ := small(t)
	for cut := range whole.Bytes(snapName(1)) {
		left := whole.Copy()
		left.Put(snapName(1), slices.Clone(whole.Bytes(snapName(1))[:cut]))
		if _, _, err := Open(Options{Folder: left, ID: 7}); err == nil || !strings.Contains(err.Error(), snapName(1)) {
			t.Fatalf("a snapshot cut at %d was taken: %v", cut, err)
		}
	}
	// A head that is not whole is damage: it was durable before anything was written behind it.
	for cut := range headSize {
		left := folder.Copy()
		left.Put(segName(1), slices.Clone(log[:cut]))
		if _, _, err := Open(Options{Folder: left, ID: 7}); err == nil {
			t.Fatalf("a head cut at %d was taken", cut)
		}
	}
}

// Damage in the middle is named by file and offset, never skipped, and never repaired unasked.
func TestDamageInTheMiddle(t *testing.T) {
	folder, want := small(t)
	name := segName(2)
	second := headSize + frameSize + padded(int(le.Uint32(folder.Bytes(name)[headSize+8:])))
	folder.Bytes(name)[second+frameSize+3] ^= 4
	_, _, err := Open(Options{Folder: folder, ID: 7})
	var d *CorruptionError
	if !errors.As(err, &d) || d.File != name || d.Offset != int64(second) || !strings.Contains(err.Error(), "without batches 7 to 7") {
		t.Fatalf("%v", err)
	}
	got, err := Repair(folder)
	if err != nil || got.Intact || got.Keys != len(want) {
		t.Fatalf("%v %v", got, err)
	}
	s := open(t, folder)
	delete(want, "key1") // of the batch that is lost
	if have := contents(s); have["key1"] == "value6" || len(have) < len(want) || have["key2"] != "value7" {
		t.Errorf("after the repair: %v", have)
	}
	if folder.Bytes(name+damagedEnd) == nil || folder.Bytes(manifestName+damagedEnd) == nil {
		t.Error("what was damaged was not put aside")
	}
	if again, err := Check(folder); err != nil || !again.Intact {
		t.Error(again, err)
	}
}

// A sector that never got to the disk is a torn tail where nothing proves that it was durable, and damage where a later
// batch does.
func TestTornAgainstDamaged(t *testing.T) {
	for _, durable := range []bool{false, true} {
		folder := disk.NewMemory()
		s := open(t, folder)
		var err error
		for i := range 3 {
			if _, err = s.Write(batch(fmt.Sprintf("k%d=%s", i, strings.Repeat("v", 1200)))); err == nil && durable {
				err = s.Sync()
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		left := folder.Copy()
		clear(left.Bytes(segName(1))[2*disk.SectorSize : 3*disk.SectorSize])
		_, r, err := Open(Options{Folder: left, ID: 7})
		if durable && err == nil || !durable && (err != nil || r.LastSequence != 0 || r.TornBytes != int64(len(left.Bytes(segName(1))))-headSize && r.TornBytes == 0) {
			t.Errorf("durable %v: %v %+v", durable, err, r)
		}
	}
}

// After a sync that failed nothing is written, reads go on, and what is opened next is written anew: a crash then takes
// nothing that was seen.
func TestFailedSync(t *testing.T) {
	folder := disk.NewMemory()
	s := open(t, folder)
	if err := s.Commit(batch("a=1")); err != nil {
		t.Fatal(err)
	}
	folder.Before = func(o disk.Op) error {
		if o.Kind == "sync" {
			return errors.New("input/output error")
		}
		return nil
	}
	if err := s.Commit(batch("a=2")); !errors.Is(err, ErrBroken) || !strings.Contains(err.Error(), "input/output error") {
		t.Fatal(err)
	}
	folder.Before = nil
	if _, err := s.Write(batch("a=3")); !errors.Is(err, ErrBroken) {
		t.Errorf("written after a failed sync: %v", err)
	}
	if err := s.Sync(); !errors.Is(err, ErrBroken) {
		t.Errorf("a later sync said that all is well: %v", err)
	}
	if v, _ := s.Get("a"); string(v) != "2" || s.Broken() == nil {
		t.Errorf("read %q", v)
	}
	if err := s.Close(); !errors.Is(err, ErrBroken) {
		t.Errorf("closed: %v", err)
	}
	s = open(t, folder)
	if v, _ := s.Get("a"); string(v) != "2" {
		t.Fatalf("the cache has %q", v)
	}
	if err := s.Commit(batch("b=1")); err != nil {
		t.Fatal(err)
	}
	s = open(t, folder.Crash(func() bool { return false }))
	if diff := cmp.Diff(map[string]string{"a": "2", "b": "1"}, contents(s)); diff != "" {
		t.Error(diff)
	}
}

// A full disk: writes are refused and leave nothing, reads go on, and with room again it goes on.
func TestFullDisk(t *testing.T) {
	folder := disk.NewMemory()
	s := open(t, folder)
	if err := s.Commit(batch("a=1")); err != nil {
		t.Fatal(err)
	}
	for _, cause := range []error{errors.New("no space left on device"), fmt.Errorf("no space left on device: %w", disk.ErrPartialWrite)} {
		folder.Before = func(o disk.Op) error {
			if o.Kind == "append" || o.Kind == "create" {
				return cause
			}
			return nil
		}
		for range 3 {
			if err := s.Commit(batch("a=2")); !errors.Is(err, ErrWriteRejected) || !strings.Contains(err.Error(), "no space left") {
				t.Fatal(err)
			}
			if _, err := s.Compact(true); err == nil {
				t.Fatal("compacted on a full disk")
			}
		}
		if v, _ := s.Get("a"); string(v) != "1" {
			t.Errorf("read %q", v)
		}
		folder.Before = nil
		if err := s.Commit(batch("b=1")); err != nil {
			t.Fatal(err)
		}
		for more := true; more; {
			var err error
			if more, err = s.Compact(true); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(map[string]string{"a": "1", "b": "1"}, contents(open(t, folder.Crash(func() bool { return false })))); diff != "" {
			t.Error(diff)
		}
		folder = disk.NewMemory()
		s = open(t, folder)
		_ = s.Commit(batch("a=1"))
	}
	// What was written in part can't be cut off: nothing may be written behind it.
	folder.Before = func(o disk.Op) error {
		if o.Kind == "append" || o.Kind == "truncate" {
			return disk.ErrPartialWrite
		}
		return nil
	}
	if _, err := s.Write(batch("a=2")); !errors.Is(err, ErrBroken) {
		t.Errorf("%v", err)
	}
}

func TestRefusedAtTheDoor(t *testing.T) {
	folder, _ := small(t)
	s, _, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Options{Folder: folder}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second owner: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := s.Write(batch("a=1")); !errors.Is(err, ErrClosed) {
		t.Errorf("written when closed: %v", err)
	}
	later := folder.Copy()
	text := strings.Replace(string(later.Bytes(manifestName)), "gingerfork-store 1", "gingerfork-store 2", 1)
	text = text[:strings.LastIndex(text, "check ")]
	later.Put(manifestName, fmt.Appendf(nil, "%scheck %08x\n", text, crc([]byte(text))))
	if _, _, err := Open(Options{Folder: later}); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a newer format: %v", err)
	}
	for _, gone := range []string{manifestName, snapName(1), segName(3)} {
		lost := folder.Copy()
		if lost.Bytes(gone) == nil {
			continue
		}
		_ = lost.Remove(gone)
		if _, _, err := Open(Options{Folder: lost}); err == nil || !strings.Contains(err.Error(), gone) {
			t.Errorf("without %s: %v", gone, err)
		}
	}
	if _, err := s.Write(&Batch{}); err == nil {
		t.Error("an empty batch was taken")
	}
}

// Many writers beside compaction in the background, on a real folder: all that was acknowledged is there at the next open,
// and the files stay within their bound.
func TestManyWriters(t *testing.T) {
	dir := t.TempDir()
	folder, err := disk.NewReal(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(Options{Folder: folder, MinCompactionBytes: 4000, Background: true})
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for w := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range 60 {
				if err := s.Commit(batch(fmt.Sprintf("w%d=%d", w, i), fmt.Sprintf("w%d/%d=%s", w, i%7, strings.Repeat("x", 50)))); err != nil {
					t.Error(err)
					return
				}
				for k := range s.Scan("w") {
					_ = k
				}
			}
		}()
	}
	all.Wait()
	f := s.Stats()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if f.Compactions == 0 || f.Syncs > f.Batches || f.Keys != 8*8 {
		t.Errorf("%+v", f)
	}
	s, r, err := Open(Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for w := range 8 {
		if v, _ := s.Get(fmt.Sprint("w", w)); string(v) != "59" {
			t.Errorf("writer %d: %q", w, v)
		}
	}
	if r.Keys != 64 || r.LastSequence != 481 || r.TornBytes != 0 {
		t.Errorf("%+v", r)
	}
	names, _ := folder.Names()
	// LOCK, MANIFEST, a snapshot, its segment, that of a compaction that the close cut short, that of this open.
	if len(names) > 6 {
		t.Error(names)
	}
}

func FuzzOpen(f *testing.F) {
	folder := disk.NewMemory()
	s, _, err := Open(Options{Folder: folder, ID: 7})
	if err != nil {
		f.Fatal(err)
	}
	_ = s.Commit(batch("a=1", "b=2"))
	_ = s.Commit(batch("a", "c=3"))
	f.Add(slices.Clone(folder.Bytes(segName(1))))
	f.Add([]byte{})
	f.Add(make([]byte, 200))
	f.Fuzz(func(t *testing.T, log []byte) {
		d := folder.Copy()
		d.Put(segName(1), log)
		// Whatever stands there: no panic, and what is opened can be opened again and is the same.
		s, _, err := Open(Options{Folder: d, ID: 7})
		if err != nil {
			if _, err := Repair(d); err != nil {
				t.Fatalf("repair: %v", err)
			}
			if s, _, err = Open(Options{Folder: d, ID: 7}); err != nil {
				t.Fatalf("after a repair: %v", err)
			}
		}
		want := contents(s)
		if diff := cmp.Diff(want, contents(open(t, d.Crash(func() bool { return false })))); diff != "" {
			t.Fatal(diff)
		}
	})
}
