package main

import (
	"errors"
	"io"
	"os"
)

// writeFile creates a file and calls write to fill it. It returns the errors of write and of closing the file.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
