package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gingerfork/internal/disk"
	"gingerfork/internal/store"
)

// A store is looked at, damaged, refused with file and offset, repaired and compacted; a folder that is none is left alone.
func TestStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	folder, err := disk.NewReal(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := store.Open(store.Options{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a", "b", "c"} {
		var b store.Batch
		b.Put(key, []byte("value of "+key))
		if err := s.Commit(&b); err != nil {
			t.Fatal(err)
		}
	}
	if code, _, err := call("store", "compact", dir); code != bad || !strings.Contains(err, "another process owns it") {
		t.Errorf("compacted what is owned: %s", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if code, out, err := call("store", "check", dir); code != good || !strings.Contains(out, "whole: 3 keys, 4 batches") {
		t.Errorf("%s%s", out, err)
	}
	if code, out, _ := call("store", "dump", dir, "--from", "b"); code != good || out != "\"b\" \"value of b\"\n" {
		t.Errorf("%s", out)
	}
	log := filepath.Join(dir, "00000001.seg")
	data, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.Index(string(data), "value of b")
	data[at] ^= 1
	if err := os.WriteFile(log, data, 0o644); err != nil {
		t.Fatal(err)
	}
	if code, _, err := call("store", "check", dir); code != bad || !strings.Contains(err, "00000001.seg is damaged at offset") || !strings.Contains(err, "without batches 2 to 2") {
		t.Errorf("%d %s", code, err)
	}
	if code, out, err := call("store", "check", "--repair", dir); code != good || !strings.Contains(out, "repaired: kept 2 keys") {
		t.Errorf("%d %s%s", code, out, err)
	}
	if code, out, err := call("store", "compact", dir); code != good || !strings.Contains(out, "2 keys in") {
		t.Errorf("%d %s%s", code, out, err)
	}
	if code, out, _ := call("store", "dump", dir); code != good || strings.Count(out, "\n") != 2 {
		t.Errorf("%s", out)
	}
	empty := t.TempDir()
	for _, do := range []string{"check", "compact"} {
		if code, _, err := call("store", do, empty); code != bad || !strings.Contains(err, "there is no store") {
			t.Errorf("%s: %s", do, err)
		}
	}
	if left, _ := os.ReadDir(empty); len(left) > 0 {
		t.Errorf("it left %v", left)
	}
}
