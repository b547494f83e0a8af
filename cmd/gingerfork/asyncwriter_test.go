package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
)

// A log reader that does not read fast enough must not block the coordinator. Lines that do not fit in the queue are
// dropped, and every dropped line is counted in the log. Writes after the close succeed and are discarded.
func TestAsyncWriterDropsLinesThatNobodyReads(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	const sent = 100 // lines, far more than the pipe and the queue hold
	lines := newAsyncWriter(writer, 8)
	line := []byte(strings.Repeat("x", 1<<12) + "\n")
	for range sent {
		if _, err := lines.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	lines.closeAndFlush(nil)
	writer.Close()
	got := <-read
	written, dropped := strings.Count(got, string(line)), 0
	for entry := range strings.Lines(got) {
		var n int
		if _, err := fmt.Sscanf(entry, `{"level":"warn","dropped_lines":%d,`, &n); err == nil {
			dropped += n
		}
	}
	if dropped == 0 || written+dropped != sent {
		t.Errorf("of %d lines %d were written and %d are reported as dropped", sent, written, dropped)
	}
	if n, err := lines.Write(line); n != len(line) || err != nil {
		t.Errorf("Write after closeAndFlush: %d bytes, error %v", n, err)
	}
}
