package eventloop

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// replaceFile replaces a file atomically: it writes and syncs a temporary file in the same folder and renames it. After an
// error the old content stands.
func replaceFile(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	if err = writeAndClose(temporary, data); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error is the one to report; what is left over harms nothing
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}

// writeAndClose writes data, syncs and closes the file. The file is closed also after an error.
func writeAndClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
