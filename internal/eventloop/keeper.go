package eventloop

import (
	"errors"
	"sync"
	"time"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

const (
	// mostQueued bounds the bytes that wait for the disk; past it what comes is not kept, and the machine is told so.
	mostQueued = store.MaxPayloadBytes / 2
	retryAfter = time.Second // when a write was refused, as on a full disk
)

// keeper writes what the machine wants kept, beside the machine: no step waits for the disk. What came while it wrote goes
// as one batch with one sync.
type keeper struct {
	store *store.Store
	tell  func(statemachine.Input)
	over  <-chan struct{}

	mu     sync.Mutex
	queue  store.Batch
	batch  uint64 // the last in it
	full   bool
	rouse  chan struct{}
	closed chan struct{}
}

func newKeeper(s *store.Store, over <-chan struct{}, tell func(statemachine.Input)) *keeper {
	return &keeper{store: s, tell: tell, over: over, rouse: make(chan struct{}, 1), closed: make(chan struct{})}
}

// keep takes records; it never waits.
func (k *keeper) keep(puts []statemachine.Mutation, batch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.full {
		return
	}
	for _, p := range puts {
		if p.Value == nil {
			k.queue.Delete(p.Key)
		} else {
			k.queue.Put(p.Key, p.Value)
		}
	}
	k.batch = batch
	// One that is left out must not be followed by others: they would be kept without it.
	k.full = k.queue.Size() > mostQueued
	select {
	case k.rouse <- struct{}{}:
	default:
	}
}

// run writes until the loop is over; what is queued then is written still.
func (k *keeper) run() {
	defer close(k.closed)
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.full = true // nobody writes any more
		k.queue = store.Batch{}
	}()
	var now store.Batch // taken from the queue; after a refusal it is tried again, with what came since
	var batch uint64
	for over := false; !over; {
		select {
		case <-k.rouse:
		case <-k.over:
			over = true
		}
		for {
			k.mu.Lock()
			full := k.full
			if k.queue.Len() > 0 && !full && now.Size() < mostQueued {
				now.Append(&k.queue)
				k.queue.Reset()
				batch = k.batch
			}
			k.mu.Unlock()
			if full {
				k.tell(statemachine.Input{Kind: statemachine.PersistFailed, Text: "too much waits for the disk; nothing more is kept until a restart"})
				return
			}
			if now.Len() == 0 {
				break
			}
			err := k.store.Commit(&now)
			if err == nil {
				now.Reset()
				k.tell(statemachine.Input{Kind: statemachine.Persisted, Batch: batch})
				continue
			}
			k.tell(statemachine.Input{Kind: statemachine.PersistFailed, Text: err.Error()})
			if !errors.Is(err, store.ErrWriteRejected) || over {
				return
			}
			select {
			case <-time.After(retryAfter):
			case <-k.over:
				over = true
			}
		}
	}
}
