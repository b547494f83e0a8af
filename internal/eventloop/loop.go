// Package eventloop drives a state machine on sockets and real time.
//
// A Loop has these goroutines: one runs the machine, passes inputs that have arrived to its next step, and sends what it writes as
// far as the kernel takes it at once; one reads from each connection, and one for each connection whose peer reads slowly sends
// the rest; one per listen address accepts connections; one runs for each dial in progress; and one writes mutations to the
// store. Wait returns after all of them have ended. docs/coordinator.md explains the design.
package eventloop

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"gingerfork/internal/statemachine"
)

// ErrMachineFailed is wrapped by the error that Wait returns after the machine has set Effects.Failure.
var ErrMachineFailed = errors.New("the state machine failed")

// Loop drives one state machine on sockets and in real time.
type Loop struct {
	config     Bootstrap
	ctx        context.Context
	cancel     context.CancelFunc
	listeners  []net.Listener // in the order of Bootstrap.Listen
	background sync.WaitGroup // the goroutines of listeners, dials and the persister
	wake       chan struct{}  // holds one token while queue may have entries
	done       chan struct{}  // closed when the loop has ended
	err        error          // why the loop ended; valid once done is closed

	mu              sync.Mutex           // guards the fields down to stats
	connectionFreed *sync.Cond           // on mu; signaled when a connection is closed, or the loop stops
	ready           []*connection        // connections that have something for the machine, in the order of their turns
	otherInputs     []statemachine.Input // inputs for the next step that belong to no connection
	functions       []func()             // to be called before the next step
	open            map[*connection]bool // connections that are read from
	connectionCount int                  // connections that are open or being dialed
	lastAccepted    statemachine.Conn    // number of the last accepted connection
	stopping        bool                 // no goroutine may wait for connectionFreed any more, and no connection starts
	stats           Stats

	unsentBytes  atomic.Int64  // of all connections' outputs
	dirtyOutputs []*connection // connections that were written to in this step; owned by the machine's goroutine

	connections map[statemachine.Conn]*connection // by id; owned by the machine's goroutine
	persister   *persister                        // nil: nothing is persisted
}

// Start opens the listeners and starts stepping the machine. The loop runs until Stop is called, ctx ends, or the machine
// stops or fails; then Wait returns. If a listener cannot be started, Start returns an error that wraps the cause, and nothing is left
// running.
func Start(ctx context.Context, config Bootstrap) (*Loop, error) {
	loop := &Loop{
		config:      config.withDefaults(),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		open:        map[*connection]bool{},
		connections: map[statemachine.Conn]*connection{},
	}
	loop.connectionFreed = sync.NewCond(&loop.mu)
	if err := loop.listen(); err != nil {
		return nil, err
	}
	loop.ctx, loop.cancel = context.WithCancel(ctx)
	for i, listener := range loop.listeners {
		loop.background.Go(func() { loop.acceptConnections(i, listener) })
	}
	if config.Store != nil {
		loop.persister = newPersister(config.Store, loop.queueInput)
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

// shutDown stops everything that Start has started, and waits for all goroutines.
func (l *Loop) shutDown() {
	defer close(l.done)
	l.cancel()
	l.closeListeners()
	l.mu.Lock()
	l.stopping = true
	l.connectionFreed.Broadcast()
	l.mu.Unlock()
	l.closeConnections()
	l.background.Wait()
}
