// Package eventloop drives a state machine on sockets and real time.
//
// A Loop has these goroutines: gnet event loops read and write; one goroutine runs the machine and hands it in each step
// all that arrived since the last; one accepts on each listening address; one runs for each dial in progress; and one
// writes mutations to the store. Wait returns after all of them have ended. docs/coordinator.md gives the reasons.
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

// ErrMachineFailed is wrapped in the error that Wait returns after the machine has reported a failure of its own.
var ErrMachineFailed = errors.New("the state machine failed")

// Loop drives one state machine.
type Loop struct {
	config     Bootstrap
	client     *gnet.Client // owns the event loops
	ctx        context.Context
	cancel     context.CancelFunc
	listeners  []net.Listener // in the order of Bootstrap.Listen
	background sync.WaitGroup // accepting, dials and the persister
	wake       chan struct{}  // holds one token when the machine's goroutine has something to look at
	done       chan struct{}  // closed when the loop has ended
	err        error          // why it ended; valid once done is closed

	mu              sync.Mutex
	spaceFreed      *sync.Cond // the queue was emptied, a connection was closed, or the loop is stopping
	queue           []message
	queuedBytes     int               // data in queue
	connectionCount int               // open or being dialed
	lastAccepted    statemachine.Conn // number of the connection that was accepted last
	stopping        bool              // nobody may wait for spaceFreed any more
	figures         Stats

	tasksMu sync.Mutex
	tasks   map[gnet.EventLoop][]connectionTask // what each event loop is still to do, in order

	connections map[statemachine.Conn]*connection // owned by the machine's goroutine
	persister   *persister                        // nil: nothing is persisted
}

// Start listens and begins to step the machine. The loop runs until Stop, the end of ctx, or the machine's own stop or
// failure; Wait returns after that. The error is that of a listener, which wraps the system's, or of an event loop; then
// nothing runs.
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
		loop.persister = newPersister(config.Store, func(input statemachine.Input) { loop.enqueue(message{input: input}) })
		loop.background.Go(func() { loop.persister.run(loop.ctx) })
	}
	go loop.runMachine()
	return loop, nil
}

// Stop makes the loop end and all its connections close. It does not wait for that.
func (l *Loop) Stop() { l.cancel() }

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Wait returns when the loop and all its goroutines have ended. The error wraps ErrMachineFailed when the machine failed;
// it is nil after an orderly stop.
func (l *Loop) Wait() error {
	<-l.done
	return l.err
}

// shutDown ends what Start has started, in the order that lets each part finish: first whoever brings work, then the event
// loops.
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
