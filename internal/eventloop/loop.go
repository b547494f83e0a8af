// Package eventloop drives a state machine on sockets and real time.
//
// A Loop has these goroutines: the gnet event loops read and write; one goroutine runs the machine and passes all inputs
// that arrived since the last step to the next one; one per listen address accepts connections; one runs for each dial in
// progress; and one writes mutations to the store. Wait returns after all of them have ended. docs/coordinator.md explains
// the design.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/panjf2000/gnet/v2"

	"gingerfork/internal/statemachine"
)

// ErrMachineFailed is wrapped by the error that Wait returns after the machine has set Effects.Failure.
var ErrMachineFailed = errors.New("the state machine failed")

// Loop drives one state machine on sockets and in real time.
type Loop struct {
	config     Bootstrap
	client     *gnet.Client // owns the event loops
	ctx        context.Context
	cancel     context.CancelFunc
	listeners  []net.Listener // in the order of Bootstrap.Listen
	background sync.WaitGroup // the goroutines of listeners, dials and the persister
	wake       chan struct{}  // holds one token while queue may have entries
	done       chan struct{}  // closed when the loop has ended
	err        error          // why the loop ended; valid once done is closed

	mu              sync.Mutex        // guards the fields down to stats
	spaceFreed      *sync.Cond        // on mu; signaled when queue is emptied, a connection is closed, or the loop stops
	queue           []queueEntry      // inputs and functions for the next step of the machine
	queuedBytes     int               // bytes of Input.Data in queue
	connectionCount int               // connections that are open or being dialed
	lastAccepted    statemachine.Conn // number of the last accepted connection
	stopping        bool              // no goroutine may wait for spaceFreed any more
	stats           Stats

	tasksMu sync.Mutex                          // guards tasks
	tasks   map[gnet.EventLoop][]connectionTask // pending tasks of each event loop, in the order of submission

	connections map[statemachine.Conn]*connection // by id; owned by the machine's goroutine
	persister   *persister                        // nil: nothing is persisted
}

// Start opens the listeners and starts stepping the machine. The loop runs until Stop is called, ctx ends, or the machine
// stops or fails; then Wait returns. If a listener or the event loops cannot be started, Start returns an error that wraps
// the cause, and nothing is left running.
func Start(ctx context.Context, config Bootstrap) (*Loop, error) {
	loop := &Loop{
		config:      config.withDefaults(),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		tasks:       map[gnet.EventLoop][]connectionTask{},
		connections: map[statemachine.Conn]*connection{},
	}
	loop.spaceFreed = sync.NewCond(&loop.mu)
	if err := loop.listen(); err != nil {
		return nil, err
	}
	if err := loop.startEventLoops(); err != nil {
		loop.closeListeners()
		return nil, err
	}
	loop.ctx, loop.cancel = context.WithCancel(ctx)
	for i, listener := range loop.listeners {
		loop.background.Go(func() { loop.acceptConnections(i, listener) })
	}
	if config.Store != nil {
		loop.persister = newPersister(config.Store, func(input statemachine.Input) { loop.enqueue(queueEntry{input: input}) })
		loop.background.Go(func() { loop.persister.run(loop.ctx) })
	}
	go loop.runMachine()
	return loop, nil
}

// Stop ends the loop and closes all its connections. It does not wait for the end; Wait does.
func (l *Loop) Stop() { l.cancel() }

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Wait blocks until the loop and all its goroutines have ended. The error wraps ErrMachineFailed if the machine failed; it
// is nil after an orderly stop.
func (l *Loop) Wait() error {
	<-l.done
	return l.err
}

// shutDown stops everything that Start has started, in an order that lets each part finish: first the goroutines that
// submit work, then the event loops.
func (l *Loop) shutDown() {
	defer close(l.done)
	l.cancel()
	l.closeListeners()
	l.mu.Lock()
	l.stopping = true
	l.spaceFreed.Broadcast()
	l.mu.Unlock()
	l.background.Wait()
	if err := l.client.Stop(); err != nil && l.err == nil {
		l.err = fmt.Errorf("stop the event loops: %w", err)
	}
}
