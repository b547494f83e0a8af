package main

import (
	"errors"
	"io"
	"os"
)

// writeFile creates a file and lets write fill it. The error is that of write, or else that of closing the file.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
