package main

import (
	"fmt"
	"io"
	"sync"
)

// asyncWriter is an io.Writer that never blocks: a goroutine forwards queued lines to a target that may block, because a log
// reader that stops reading must not stop the coordinator. Lines that arrive while the queue is full are dropped and counted.
type asyncWriter struct {
	target io.Writer
	lines  chan []byte   // the queue; closed by closeAndFlush
	done   chan struct{} // closed when all queued lines have been written

	mu      sync.Mutex // guards closed, dropped and sends to lines
	closed  bool       // lines is closed
	dropped int        // lines dropped since the last call of reportDropped
}

// newAsyncWriter starts a writer to target that queues at most maxQueuedLines lines. closeAndFlush stops it.
func newAsyncWriter(target io.Writer, maxQueuedLines int) *asyncWriter {
	a := &asyncWriter{target: target, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.writeLines()
	return a
}

// writeLines writes queued lines to the target until the queue is closed and empty.
func (a *asyncWriter) writeLines() {
	defer close(a.done)
	for line := range a.lines {
		_, _ = a.target.Write(line) // a log that cannot be written leaves no place to report the error
		a.reportDropped()
	}
	a.reportDropped()
}

// reportDropped writes a log entry with the number of lines dropped since its last call, if there were any.
func (a *asyncWriter) reportDropped() {
	a.mu.Lock()
	dropped := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if dropped > 0 {
		fmt.Fprintf(a.target, "{\"level\":\"warn\",\"dropped_lines\":%d,\"message\":\"log lines dropped, the log is read too slowly\"}\n", dropped)
	}
}

// Write queues one complete line or drops it. It always reports success.
func (a *asyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped++
	}
	return len(line), nil
}

// closeAndFlush closes the queue and waits until the queued lines have been written, or until giveUp is closed.
func (a *asyncWriter) closeAndFlush(giveUp <-chan struct{}) {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-giveUp:
	}
}
