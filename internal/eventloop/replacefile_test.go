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
		t.Fatal(string(data), err, files)
	}
	if err := replaceFile(filepath.Join(dir, "no", "f"), nil); err == nil || !strings.Contains(err.Error(), "replace") {
		t.Fatal(err)
	}
}
