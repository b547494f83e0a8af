package eventloop

import (
	"context"
	"errors"
	"sync"
	"time"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

const (
	// maxQueuedBytes bounds what waits for the store. Two such queues fit into one frame of the store.
	maxQueuedBytes = store.MaxPayloadBytes / 2
	// commitRetryDelay is the pause after a commit that left nothing behind, as on a full disk.
	commitRetryDelay = time.Second
)

// errQueueFull is reported when mutations arrive faster than the store takes them.
var errQueueFull = errors.New("too many mutations wait for the disk; nothing more is persisted until a restart")

// persister writes the machine's mutations to the store on a goroutine of its own, so that no step waits for the disk.
// Mutations that arrive during a commit go together into the next one, with one sync.
type persister struct {
	store  *store.Store
	report func(statemachine.Input) // receives Persisted and PersistFailed

	wake chan struct{} // holds one token when run has something to look at

	mu          sync.Mutex
	queue       store.Batch
	queuedBatch uint64 // number of the machine's last batch in queue
	closed      bool   // nothing more is queued: the queue overflowed, or run has ended

	// Owned by run.
	current      store.Batch // what is being committed; after a refused commit it is tried again with what came since
	currentBatch uint64      // number of the machine's last batch in current
	stopping     bool        // the loop is ending: the queue is emptied once more, and nothing is retried
}

func newPersister(s *store.Store, report func(statemachine.Input)) *persister {
	return &persister{store: s, report: report, wake: make(chan struct{}, 1)}
}

// enqueue adds the mutations of one batch; it never waits.
func (p *persister) enqueue(mutations []statemachine.Mutation, batch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, mutation := range mutations {
		if mutation.Value == nil {
			p.queue.Delete(mutation.Key)
		} else {
			p.queue.Put(mutation.Key, mutation.Value)
		}
	}
	p.queuedBatch = batch
	// No batch may be persisted without the ones before it, so the first that does not fit ends persistence.
	p.closed = p.queue.Size() > maxQueuedBytes
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// run commits what is queued until ctx ends, or until the store fails for good. What was queued before the end of ctx is
// still committed.
func (p *persister) run(ctx context.Context) {
	defer p.discardQueue()
	for !p.stopping {
		select {
		case <-p.wake:
		case <-ctx.Done():
			p.stopping = true // set before the last look at the queue, so that nothing queued before is missed
		}
		if !p.commitQueued(ctx) {
			return
		}
	}
}

// commitQueued commits until nothing is queued. It returns false when nothing can be committed any more.
func (p *persister) commitQueued(ctx context.Context) bool {
	for {
		if !p.takeQueue() {
			p.reportFailure(errQueueFull)
			return false
		}
		if p.current.Len() == 0 {
			return true
		}
		err := p.store.Commit(&p.current)
		if err == nil {
			p.current.Reset()
			p.report(statemachine.Input{Kind: statemachine.Persisted, Batch: p.currentBatch})
			continue
		}
		p.reportFailure(err)
		if !errors.Is(err, store.ErrWriteRejected) || p.stopping {
			return false
		}
		select {
		case <-time.After(commitRetryDelay):
		case <-ctx.Done():
			p.stopping = true
		}
	}
}

// takeQueue moves what is queued to current, unless that would make current too large for one commit. It returns false when
// the queue has overflowed.
func (p *persister) takeQueue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.queue.Len() > 0 && p.current.Size() < maxQueuedBytes {
		p.current.Append(&p.queue)
		p.queue.Reset()
		p.currentBatch = p.queuedBatch
	}
	return true
}

func (p *persister) reportFailure(err error) {
	p.report(statemachine.Input{Kind: statemachine.PersistFailed, Text: err.Error()})
}

// discardQueue frees the queue when nobody will commit it.
func (p *persister) discardQueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.queue = store.Batch{}
}
