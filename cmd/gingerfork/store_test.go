package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gingerfork/internal/disk"
	"gingerfork/internal/store"
)

// TestStore runs the store commands on a store that another process owns, that is intact, damaged and repaired.
func TestStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	owned := newStore(t, dir)
	checkFailure(t, "another process owns it", "store", "compact", dir)
	if err := owned.Close(); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, "intact: 3 keys, 4 batches", "store", "check", dir)
	if dump := checkOutput(t, "", "store", "dump", dir, "--from", "b"); dump != "\"b\" \"value of b\"\n" {
		t.Errorf("dump --from b: %s", dump)
	}

	corruptFile(t, filepath.Join(dir, "00000001.seg"), "value of b")
	failure := checkFailure(t, "00000001.seg is damaged at offset", "store", "check", dir)
	if !strings.Contains(failure, "without batches 2 to 2") {
		t.Errorf("check: %s", failure)
	}
	checkFailure(t, "00000001.seg is damaged at offset", "store", "dump", dir)
	checkOutput(t, "repaired: kept 2 keys", "store", "check", "--repair", dir)
	checkOutput(t, "2 keys in", "store", "compact", dir)
	if dump := checkOutput(t, "", "store", "dump", dir); strings.Count(dump, "\n") != 2 {
		t.Errorf("dump after the repair: %s", dump)
	}
}

// TestNoStore checks that the commands fail in a folder without a store, and create none.
func TestNoStore(t *testing.T) {
	empty := t.TempDir()
	for _, command := range []string{"check", "dump", "compact"} {
		checkFailure(t, "there is no store", "store", command, empty)
	}
	left, err := os.ReadDir(empty)
	if err != nil || len(left) > 0 {
		t.Errorf("the folder contains %v after the commands, error %v", left, err)
	}
}

// newStore creates a store with three keys and returns it open.
func newStore(t *testing.T, dir string) *store.Store {
	t.Helper()
	folder, err := disk.NewReal(dir)
	if err != nil {
		t.Fatal(err)
	}
	opened, _, err := store.Open(store.Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a", "b", "c"} {
		var batch store.Batch
		batch.Put(key, []byte("value of "+key))
		if err := opened.Commit(&batch); err != nil {
			t.Fatal(err)
		}
	}
	return opened
}

// corruptFile flips one bit at the first occurrence of text in a file.
func corruptFile(t *testing.T, path, text string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[bytes.Index(data, []byte(text))] ^= 1
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkOutput runs a command, checks that it succeeds and prints want, and returns its output.
func checkOutput(t *testing.T, want string, args ...string) string {
	t.Helper()
	code, out, failure := runCommand(args...)
	if code != exitOK || !strings.Contains(out, want) {
		t.Errorf("%v: exit code %d, output %q, error %q", args, code, out, failure)
	}
	return out
}

// checkFailure runs a command, checks that it fails and prints want as an error, and returns the error output.
func checkFailure(t *testing.T, want string, args ...string) string {
	t.Helper()
	code, out, failure := runCommand(args...)
	if code != exitFailure || !strings.Contains(failure, want) {
		t.Errorf("%v: exit code %d, output %q, error %q", args, code, out, failure)
	}
	return failure
}
