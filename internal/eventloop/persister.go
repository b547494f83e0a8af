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
	// maxQueuedBytes limits the mutations that wait for the store, in bytes. It is half the store's limit, so that a batch
	// that is being retried and a full queue fit into one frame of the store together.
	maxQueuedBytes = store.MaxPayloadBytes / 2
	// commitRetryDelay is the delay after a commit that failed without writing anything, for example on a full disk.
	commitRetryDelay = time.Second
)

// errQueueFull is reported when mutations arrive faster than the store commits them.
var errQueueFull = errors.New("mutation queue is full; nothing more is persisted until a restart")

// persister writes the machine's mutations to the store on its own goroutine, so that no step waits for the disk. Mutations
// that arrive during a commit are combined into the next commit, which needs only one sync.
type persister struct {
	store  *store.Store
	report func(statemachine.Input) // receives inputs of kind Persisted and PersistFailed

	wake chan struct{} // holds one token while queue may have mutations

	mu          sync.Mutex  // guards the fields down to closed
	queue       store.Batch // mutations that wait for a commit
	queuedBatch uint64      // number of the last of the machine's batches in queue
	closed      bool        // no more mutations are queued: queue overflowed, or run has ended

	// Owned by run.
	current      store.Batch // mutations being committed; a rejected commit is retried together with newer mutations
	currentBatch uint64      // number of the last of the machine's batches in current
	stopping     bool        // the loop is ending: queue is committed once more, without retries
}

func newPersister(s *store.Store, report func(statemachine.Input)) *persister {
	return &persister{store: s, report: report, wake: make(chan struct{}, 1)}
}

// enqueue adds the mutations of one batch to the queue. It never waits for the disk.
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
	// No batch may be persisted without the preceding ones, so the first batch that does not fit ends persistence.
	p.closed = p.queue.Size() > maxQueuedBytes
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// run commits queued mutations until ctx ends, the store fails permanently or the queue overflows. Mutations that were
// queued before the end of ctx are still committed.
func (p *persister) run(ctx context.Context) {
	defer p.discardQueue()
	for !p.stopping {
		select {
		case <-p.wake:
		case <-ctx.Done():
			p.stopping = true // set before the queue is taken for the last time, so that nothing queued earlier is missed
		}
		if !p.commitQueued(ctx) {
			return
		}
	}
}

// commitQueued commits until the queue is empty. It returns false if nothing can be committed any more.
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

// takeQueue moves the queued mutations to current, unless current already holds maxQueuedBytes, which would make it too
// large for one commit. It returns false if the queue has overflowed.
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

// discardQueue frees the queue after run has ended, and makes enqueue drop later mutations.
func (p *persister) discardQueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.queue = store.Batch{}
}
