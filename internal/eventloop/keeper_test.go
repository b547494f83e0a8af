package eventloop

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gingerfork/internal/disk"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

// noter keeps a record whenever it is told to, and writes down what it hears of them.
type noter struct {
	mu    sync.Mutex
	batch uint64
	heard []string
}

func (n *noter) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var puts []statemachine.Mutation
	for _, i := range in {
		switch i.Kind {
		case statemachine.OperatorCommand:
			key, value, _ := strings.Cut(i.Text, "=")
			p := statemachine.Mutation{Key: key}
			if value != "" {
				p.Value = []byte(value)
			}
			puts = append(puts, p)
		case statemachine.Persisted:
			n.heard = append(n.heard, fmt.Sprint("kept ", i.Batch))
		case statemachine.PersistFailed:
			n.heard = append(n.heard, "not kept: "+i.Text)
		}
	}
	if len(puts) > 0 {
		n.batch++
		out.Persist(puts, n.batch)
	}
}

func (n *noter) last(part string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.heard) > 0 && strings.Contains(n.heard[len(n.heard)-1], part)
}

// The disk is full, has room again, and then fails a sync: the machine hears of each, is never held up, and finds at the
// next start all that it was told is kept.
func TestKeeping(t *testing.T) {
	folder := disk.NewMemory()
	var mu sync.Mutex
	fail := ""
	folder.Before = func(o disk.Op) error {
		mu.Lock()
		defer mu.Unlock()
		if o.Kind == fail {
			return errors.New("the disk fails")
		}
		return nil
	}
	disturb := func(kind string) {
		mu.Lock()
		defer mu.Unlock()
		fail = kind
	}
	s, _, err := store.Open(store.Bootstrap{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	n := &noter{}
	l, err := Start(context.Background(), Bootstrap{Machine: n, Store: s})
	if err != nil {
		t.Fatal(err)
	}
	until := func(part string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !n.last(part); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never %q: %q", part, n.heard)
			}
		}
	}
	l.SendCommand("a=1")
	until("kept 1")
	disturb("append")
	l.SendCommand("a=2")
	until("not kept: not written: the disk fails")
	l.SendCommand("b=1")
	l.SendCommand("c=1")
	disturb("")
	until("kept ")
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		if d, seq := s.Durable(); d == seq && n.last(fmt.Sprint("kept ", n.batch)) {
			if _, there := s.Get("c"); there {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("what waited was not kept")
		}
	}
	disturb("sync")
	l.SendCommand("a")
	until("not kept: the store takes no more writes")
	disturb("")
	l.SendCommand("d=1")
	l.Stop()
	if err := l.Wait(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); !errors.Is(err, store.ErrBroken) {
		t.Errorf("closed: %v", err)
	}
	again, err := store.Check(folder.Crash(func() bool { return false }))
	if err != nil || !again.Whole {
		t.Fatal(again, err)
	}
	var all []string
	again.Each(func(key string, value []byte) { all = append(all, key+"="+string(value)) })
	if strings.Join(all, " ") != "a=2 b=1 c=1" {
		t.Errorf("found %q", all)
	}
}
