package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// replaceFile replaces a file atomically: it writes and syncs a temporary file in the same directory and renames it. After
// an error the old content is unchanged.
func replaceFile(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	if err = writeAndClose(temporary, data); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error is the one to report, and a leftover temporary file is harmless
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}

// writeAndClose writes data, syncs the file and closes it. The file is closed even after an error.
func writeAndClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
