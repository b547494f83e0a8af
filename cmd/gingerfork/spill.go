package main

import (
	"fmt"
	"io"
	"sync"
)

// spill hands lines to a writer that may block, and never blocks itself: whoever reads the log and stops reading must not
// stop the coordinator. What finds no room is dropped and counted.
type spill struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	over    bool
	dropped int
}

// newSpill begins to write; room is how many lines may wait.
func newSpill(to io.Writer, room int) *spill {
	s := &spill{lines: make(chan []byte, room), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for b := range s.lines {
			_, _ = to.Write(b) // nobody is left to tell that the log can't be written
			s.tell(to)
		}
		s.tell(to)
	}()
	return s
}

// tell says how many lines were dropped since it last did.
func (s *spill) tell(to io.Writer) {
	s.mu.Lock()
	n := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if n > 0 {
		fmt.Fprintf(to, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"the log was not read, lines were dropped\"}\n", n)
	}
}

// Write implements io.Writer; b is one line.
func (s *spill) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return len(b), nil
	}
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.dropped++
	}
	return len(b), nil
}

// end has what waits written, if that is read; give ends the waiting.
func (s *spill) end(give <-chan struct{}) {
	s.mu.Lock()
	if !s.over {
		s.over = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-give:
	}
}
