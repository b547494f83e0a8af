package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// newFile creates a file with the given content.
func newFile(t *testing.T, folder Folder, name, content string) File {
	t.Helper()
	file, err := folder.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Append([]byte(content)); err != nil {
		t.Fatal(err)
	}
	return file
}

func checkContent(t *testing.T, folder Folder, name, want string) {
	t.Helper()
	data, err := ReadAll(folder, name)
	if err != nil || string(data) != want {
		t.Errorf("%s: content %q and error %v, want %q", name, data, err, want)
	}
}

// TestFolder checks the behavior that Real and Memory have in common.
func TestFolder(t *testing.T) {
	realFolder, err := NewReal(filepath.Join(t.TempDir(), "folder"))
	if err != nil {
		t.Fatal(err)
	}
	for name, folder := range map[string]Folder{"real": realFolder, "memory": NewMemory()} {
		t.Run(name, func(t *testing.T) { checkFolder(t, folder) })
	}
}

func checkFolder(t *testing.T, folder Folder) {
	file := newFile(t, folder, "b", "12345")
	if err := file.Truncate(2); err != nil {
		t.Error(err)
	}
	if _, err := file.Append([]byte("6")); err != nil {
		t.Error(err)
	}
	checkContent(t, folder, "b", "126")
	newFile(t, folder, "a", "")
	if names, err := folder.Names(); err != nil || !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("names %q, error %v", names, err)
	}
	if _, err := folder.Create("a"); !errors.Is(err, fs.ErrExist) {
		t.Errorf("create a file that already exists: error %v", err)
	}
	if err := errors.Join(folder.Rename("b", "a"), folder.SyncDir()); err != nil {
		t.Error(err)
	}
	checkContent(t, folder, "a", "126")
	if _, err := folder.Open("b"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("open a file that was renamed: error %v", err)
	}
	if err := folder.Remove("a"); err != nil {
		t.Error(err)
	}
	if err := folder.Remove("a"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("remove a file twice: error %v", err)
	}
	checkLock(t, folder)
}

func checkLock(t *testing.T, folder Folder) {
	t.Helper()
	lock, err := folder.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := folder.Lock(); !errors.Is(err, ErrLocked) {
		t.Errorf("lock while locked: error %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Error(err)
	}
	if lock, err = folder.Lock(); err != nil {
		t.Fatalf("lock after the first lock was closed: error %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Error(err)
	}
}

// TestOpenRealErrors checks that OpenReal does not create a missing folder and rejects a path that is not a folder.
func TestOpenRealErrors(t *testing.T) {
	dir := t.TempDir()
	missing := filepath.Join(dir, "missing")
	if _, err := OpenReal(missing); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a folder that does not exist: error %v", err)
	}
	if _, err := os.Stat(missing); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the missing folder was created: error %v", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenReal(file); err == nil {
		t.Error("OpenReal accepted a file as a folder")
	}
}

// TestCrash checks what is found after a crash if none, or all, of the unsynced changes have reached the disk.
func TestCrash(t *testing.T) {
	for _, test := range []struct {
		name     string
		survives bool
		want     string   // content of the file "synced" after the crash
		names    []string // files after the crash
	}{
		{"nothing unsynced survives", false, strings.Repeat("a", SectorSize), []string{"synced"}},
		{"everything survives", true, strings.Repeat("a", SectorSize) + "b", []string{"synced", "unsynced"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := NewMemory()
			file := newFile(t, folder, "synced", strings.Repeat("a", SectorSize))
			if err := errors.Join(file.Sync(), folder.SyncDir()); err != nil {
				t.Fatal(err)
			}
			if _, err := file.Append([]byte("b")); err != nil {
				t.Fatal(err)
			}
			newFile(t, folder, "unsynced", "c")
			after := folder.Crash(func() bool { return test.survives })
			checkContent(t, after, "synced", test.want)
			if names, err := after.Names(); err != nil || !slices.Equal(names, test.names) {
				t.Errorf("names %q, error %v", names, err)
			}
			if _, err := folder.Create("more"); !errors.Is(err, ErrCrashed) {
				t.Errorf("create after the crash: error %v, want %v", err, ErrCrashed)
			}
		})
	}
}

// TestFailedSyncLosesData checks that bytes whose sync failed do not reach the disk with a later sync that succeeds, as
// with a kernel that marks pages as clean after a failed write.
func TestFailedSyncLosesData(t *testing.T) {
	errIO := errors.New("input/output error")
	folder := NewMemory()
	file := newFile(t, folder, "log", "lost")
	folder.Before = func(Op) error { return errIO }
	if err := file.Sync(); !errors.Is(err, errIO) {
		t.Fatalf("sync: error %v", err)
	}
	folder.Before = nil
	if err := errors.Join(file.Sync(), folder.SyncDir()); err != nil {
		t.Fatal(err)
	}
	checkContent(t, folder, "log", "lost")
	checkContent(t, folder.Crash(func() bool { return false }), "log", "\x00\x00\x00\x00")
}

// TestPartialWrite checks that an append that fails with ErrPartialWrite writes half of its bytes.
func TestPartialWrite(t *testing.T) {
	folder := NewMemory()
	file := newFile(t, folder, "log", "")
	folder.Before = func(Op) error { return ErrPartialWrite }
	if n, err := file.Append([]byte("1234")); n != 2 || !errors.Is(err, ErrPartialWrite) {
		t.Errorf("%d bytes written and error %v, want 2 bytes and %v", n, err, ErrPartialWrite)
	}
	folder.Before = nil
	checkContent(t, folder, "log", "12")
}
