package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the seconds since the start.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	broken []string // what broke the rule of the case
	failed error    // why the case couldn't run
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns the seconds since the start.
func (r *record) seconds() float64 { return time.Since(r.start).Seconds() }

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", r.seconds(), fmt.Sprintf(format, args...))
}

// broke notes that the rule of the case was broken.
func (r *record) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.say("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// cannotRun notes that the case couldn't run.
func (r *record) cannotRun(err error) {
	r.say("can't run: %v", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// end closes the record and returns the exit status of the case.
func (r *record) end() int {
	status := 0
	switch {
	case r.failed != nil:
		status = 2
		r.say("result: the case couldn't run")
	case len(r.broken) > 0:
		status = 1
		r.say("result: the rule was broken (%d times noted), first: %s", len(r.broken), r.broken[0])
	default:
		r.say("result: the rule held")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	return status
}
