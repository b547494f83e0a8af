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

// TestFlippedBits flips each bit of each file: either Open reports the damage, or the contents are unaffected.
func TestFlippedBits(t *testing.T) {
	folder, want := smallStore(t)
	names, err := folder.Names()
	if err != nil {
		t.Fatal(err)
	}
	found, harmless := 0, 0
	for _, name := range names {
		for bit := range 8 * len(folder.Bytes(name)) {
			if checkFlippedBit(t, folder, want, name, bit) {
				found++
			} else {
				harmless++
			}
		}
	}
	t.Logf("%d flipped bits detected, %d harmless", found, harmless)
}

// checkFlippedBit reports whether Open detects a flipped bit. If it does not, the contents must be as wanted.
func checkFlippedBit(t *testing.T, folder *disk.Memory, want map[string]string, name string, bit int) (found bool) {
	t.Helper()
	corrupted := folder.Copy()
	corrupted.Bytes(name)[bit/8] ^= 1 << (bit % 8)
	s, _, err := Open(Options{Folder: corrupted, ID: testStoreID})
	if err == nil {
		if diff := cmp.Diff(want, contents(s)); diff != "" {
			t.Errorf("%s, bit %d of byte %d: not detected: %s", name, bit%8, bit/8, diff)
		}
		return false
	}
	if !strings.Contains(err.Error(), name) {
		t.Errorf("%s, byte %d: the error does not name the file: %v", name, bit/8, err)
	}
	return true
}

// TestCutAnywhere truncates the log at each byte: exactly the batches that lie completely before the cut must be found.
func TestCutAnywhere(t *testing.T) {
	folder, expected := disk.NewMemory(), newModel()
	s := open(t, folder)
	name := segmentName(1)
	ends := []int{fileHeaderSize} // size of the log, by number of batches written
	for i := range 12 {
		changes := batch(fmt.Sprintf("k%d=%s", i%4, strings.Repeat("v", i*9)), fmt.Sprintf("n=%d", i))
		if err := s.Commit(changes); err != nil {
			t.Fatal(err)
		}
		expected.write(changes)
		ends = append(ends, len(folder.Bytes(name)))
	}
	log := slices.Clone(folder.Bytes(name))
	for cut := fileHeaderSize; cut <= len(log); cut++ {
		damaged := folder.Copy()
		damaged.Put(name, slices.Clone(log[:cut]))
		recovered, report, err := Open(Options{Folder: damaged, ID: testStoreID})
		if err != nil {
			t.Fatalf("log truncated to %d bytes: %v", cut, err)
		}
		nextEnd, _ := slices.BinarySearch(ends, cut+1)
		batches := nextEnd - 1
		diff := cmp.Diff(expected.states[batches], contents(recovered))
		if diff != "" || report.TornBytes != int64(cut-ends[batches]) {
			t.Fatalf("log truncated to %d bytes: %d bytes torn; %s", cut, report.TornBytes, diff)
		}
	}
	// An incomplete file header is damage: the header was durable before anything was written after it.
	checkCutsAreRefused(t, folder, name, fileHeaderSize)
	// A truncated snapshot is always damage: it was durable before the manifest named it.
	compacted, _ := smallStore(t)
	checkCutsAreRefused(t, compacted, snapshotName(1), len(compacted.Bytes(snapshotName(1))))
}

// checkCutsAreRefused truncates a file to each length below size, and checks that Open reports the file as damaged.
func checkCutsAreRefused(t *testing.T, folder *disk.Memory, name string, size int) {
	t.Helper()
	for cut := range size {
		damaged := folder.Copy()
		damaged.Put(name, slices.Clone(folder.Bytes(name)[:cut]))
		var corruption *CorruptionError
		_, _, err := Open(Options{Folder: damaged, ID: testStoreID})
		if !errors.As(err, &corruption) || corruption.File != name {
			t.Fatalf("%s truncated to %d bytes: got error %v", name, cut, err)
		}
	}
}

// TestDamageInTheMiddle checks that damage in the middle of the log is reported with file and offset, is never skipped, and
// is repaired only on request.
func TestDamageInTheMiddle(t *testing.T) {
	folder, want := smallStore(t)
	name := segmentName(2)
	firstLength := littleEndian.Uint32(folder.Bytes(name)[fileHeaderSize+frameLengthOffset:])
	second := fileHeaderSize + frameHeaderSize + alignUp(int(firstLength))
	folder.Bytes(name)[second+frameHeaderSize+3] ^= 4
	_, _, err := Open(Options{Folder: folder, ID: testStoreID})
	var corruption *CorruptionError
	if !errors.As(err, &corruption) || corruption.File != name || corruption.Offset != int64(second) {
		t.Fatalf("got error %v, want damage in %s at offset %d", err, name, second)
	}
	if !errors.Is(err, errFrameChecksum) || !strings.Contains(err.Error(), "without batches 7 to 7") {
		t.Fatalf("got error %v, want a checksum mismatch and the loss of batch 7", err)
	}
	report, err := Repair(folder)
	if err != nil || report.Intact || report.Keys != len(want) {
		t.Fatalf("repair: %v, error %v", report, err)
	}
	// The lost batch wrote key1.
	delete(want, "key1")
	got := contents(open(t, folder))
	if got["key1"] == "value6" || len(got) < len(want) || got["key2"] != "value7" {
		t.Errorf("after the repair: %v", got)
	}
	if folder.Bytes(name+damagedSuffix) == nil || folder.Bytes(manifestName+damagedSuffix) == nil {
		t.Error("the damaged files were not kept")
	}
	if report, err := Check(folder); err != nil || !report.Intact {
		t.Errorf("after the repair: %v, error %v", report, err)
	}
}

// TestTornAgainstDamaged checks that a sector that was never written counts as a torn tail if nothing proves that it was
// durable, and as damage if a later batch proves that.
func TestTornAgainstDamaged(t *testing.T) {
	t.Run("not durable", func(t *testing.T) {
		folder := storeWithZeroSector(t, false)
		_, report, err := Open(Options{Folder: folder, ID: testStoreID})
		if err != nil || report.LastSequence != 0 || report.TornBytes == 0 {
			t.Errorf("got recovery %+v and error %v, want a torn tail and no batch", report, err)
		}
	})
	t.Run("durable", func(t *testing.T) {
		folder := storeWithZeroSector(t, true)
		if _, _, err := Open(Options{Folder: folder, ID: testStoreID}); !errors.Is(err, errDurableBatchTorn) {
			t.Errorf("got error %v, want %v", err, errDurableBatchTorn)
		}
	})
}

// storeWithZeroSector returns a store of three batches, the first of which has a sector that was never written. If
// durable is set, each batch was synced before the next was written.
func storeWithZeroSector(t *testing.T, durable bool) *disk.Memory {
	t.Helper()
	folder := disk.NewMemory()
	s := open(t, folder)
	for i := range 3 {
		if _, err := s.Write(batch(fmt.Sprintf("k%d=%s", i, strings.Repeat("v", 1200)))); err != nil {
			t.Fatal(err)
		}
		if !durable {
			continue
		}
		if err := s.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	damaged := folder.Copy()
	clear(damaged.Bytes(segmentName(1))[2*disk.SectorSize : 3*disk.SectorSize])
	return damaged
}
