package eventloop

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReplaceFileIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for _, text := range []string{"one", "two"} {
		if err := replaceFile(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	files, _ := os.ReadDir(dir)
	if string(data) != "two" || err != nil || len(files) != 1 {
		t.Fatalf("the file contains %q, error %v, the folder %v; want \"two\" and a single file", data, err, files)
	}
	if err := replaceFile(filepath.Join(dir, "no", "f"), nil); err == nil || !strings.Contains(err.Error(), "replace") {
		t.Fatalf("in a missing folder: got error %v, want one that contains replace", err)
	}
}
