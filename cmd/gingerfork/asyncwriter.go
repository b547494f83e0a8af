package main

import (
	"fmt"
	"io"
	"sync"
)

// asyncWriter passes lines on to a writer that may block, and never blocks itself: a log reader that stops reading must not
// stop the coordinator. Lines for which the queue has no space are dropped and counted.
type asyncWriter struct {
	target io.Writer
	lines  chan []byte
	done   chan struct{} // closed when all accepted lines have been written

	mu      sync.Mutex
	closed  bool
	dropped int // lines since the last report
}

// newAsyncWriter starts writing to target; maxQueuedLines is how many lines may wait. closeAndFlush ends it.
func newAsyncWriter(target io.Writer, maxQueuedLines int) *asyncWriter {
	a := &asyncWriter{target: target, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.writeLines()
	return a
}

// writeLines writes until closeAndFlush, and then what still waits.
func (a *asyncWriter) writeLines() {
	defer close(a.done)
	for line := range a.lines {
		_, _ = a.target.Write(line) // there is no place left to report that the log cannot be written
		a.reportDropped()
	}
	a.reportDropped()
}

// reportDropped writes how many lines were dropped since its last report, as a log entry of its own.
func (a *asyncWriter) reportDropped() {
	a.mu.Lock()
	dropped := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if dropped > 0 {
		fmt.Fprintf(a.target, "{\"level\":\"warn\",\"dropped_lines\":%d,\"message\":\"log lines dropped, the log is read too slowly\"}\n", dropped)
	}
}

// Write implements io.Writer; line is one whole line. It accepts all of it in any case.
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

// closeAndFlush accepts no more lines and waits until those accepted have been written, or until giveUp is closed.
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
