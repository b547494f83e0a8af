package store

import (
	"encoding/hex"
	"strings"
	"testing"

	"gingerfork/internal/disk"
)

// TestFileFormat checks the exact bytes of the files of a store with two batches, compacted after the first and closed
// after the second. The format must not change, so that this version and earlier ones can read each other's files.
func TestFileFormat(t *testing.T) {
	folder := disk.NewMemory()
	s := open(t, folder)
	if err := s.Commit(batch("a=1", "b=2")); err != nil {
		t.Fatal(err)
	}
	compact(t, s)
	if err := s.Commit(batch("b", "c=3")); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	manifestText := "gingerfork-store 1\nid 0000000000000007\nsnapshot 1\nfirst 2\ncheck bcc8cf80\n"
	if got := string(folder.Bytes(manifestName)); got != manifestText {
		t.Errorf("the manifest is %q, want %q", got, manifestText)
	}
	checkHex(t, folder, snapshotName(1),
		"6766736e61700031 0700000000000000 0100000000000000 0100000000000000 0bc40bdb ffffffff"+
			"67667231 850d4bc8 0c000000 25a4325c 0100000000000000 0100000000000000 0101610131 0101620132 0302 ffffffff")
	checkHex(t, folder, segmentName(2),
		"6766736567000031 0700000000000000 0200000000000000 0000000000000000 7c328a26 ffffffff"+
			"67667231 7c428a37 08000000 31d5653f 0200000000000000 0200000000000000 020162 0101630133"+
			"67667231 d179c2f9 01000000 4ec4e795 0300000000000000 0300000000000000 04 ffffffffffffff")
}

// checkHex compares the bytes of a file with a hexadecimal text, in which spaces are ignored.
func checkHex(t *testing.T, folder *disk.Memory, name, want string) {
	t.Helper()
	if got := hex.EncodeToString(folder.Bytes(name)); got != strings.ReplaceAll(want, " ", "") {
		t.Errorf("%s is\n%s, want\n%s", name, got, want)
	}
}
