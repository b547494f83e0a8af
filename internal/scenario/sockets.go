package scenario

import (
	"context"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"gingerfork/internal/eventloop"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

const (
	// socketSampleInterval is how often backends and proxies on sockets record their own state, in seconds.
	socketSampleInterval = 1
	// shutdownTimeout is how long a coordinator may take to end before it is killed.
	shutdownTimeout = 10 * time.Second
)

// CoordinatorCommand tells how a coordinator's process is started; its settings file follows as the last argument.
type CoordinatorCommand struct {
	Command []string
	Env     []string // beside this process's own
	Dir     string   // for settings, state and logs; it must exist
}

// sockets is an environment of real sockets on the loopback address, in real time. Coordinators are processes, all others are
// event loops of this one; between any two participants stands a relay that can apply link faults.
type sockets struct {
	player               *player
	command              CoordinatorCommand
	clock                *eventloop.Clock
	ctx                  context.Context // of the event loops: they outlive the caller's, so that they end in order
	nodes                map[string]*node
	relays               map[string]*relay // by the participant whose connections it takes
	linkFaults           []linkFault
	schedule             schedule
	coordinatorProcesses sync.WaitGroup // waits for coordinators' processes

	mu           sync.Mutex
	records      []trace.Record
	failures     []string
	shuttingDown bool
}

// node is a participant's process or event loop.
type node struct {
	participant *participant
	addr        string
	newMachine  func() statemachine.Machine // nil: a coordinator
	loop        *eventloop.Loop
	closingLoop *eventloop.Loop // of the earlier incarnation, which may still hold the port
	cmd         *exec.Cmd
	translate   func(addr string) string
}

// loops returns the node's event loops that may run.
func (n *node) loops() []*eventloop.Loop {
	var running []*eventloop.Loop
	for _, loop := range []*eventloop.Loop{n.loop, n.closingLoop} {
		if loop != nil {
			running = append(running, loop)
		}
	}
	return running
}

// PlaySockets plays a scenario on sockets, in real time. It ends early, with what was recorded so far, when ctx does.
func PlaySockets(ctx context.Context, scenario *Scenario, command CoordinatorCommand) (Result, error) {
	player := newPlayer(scenario)
	// Backends run in event loops of their own and cannot share a ledger; the checker finds duplicate effects in the trace.
	player.sampleInterval, player.executionLog = socketSampleInterval, nil
	loopContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	environment := &sockets{
		player: player, command: command, clock: eventloop.NewClock(), ctx: loopContext,
		nodes: map[string]*node{}, relays: map[string]*relay{},
	}
	player.env, player.record = environment, environment.addRecord
	addresses, err := freeAddresses(1 + len(player.coordinators) + len(player.backends))
	if err != nil {
		return Result{}, err
	}
	if err := environment.build(addresses); err != nil {
		environment.shutdown()
		return Result{}, err
	}
	player.start()
	environment.run(ctx, player.startTime+scenario.Duration)
	environment.shutdown()
	environment.mu.Lock()
	defer environment.mu.Unlock()
	return newResult(scenario, environment.records, environment.failures)
}

func (s *sockets) addRecord(record trace.Record) { s.addRecords([]trace.Record{record}) }

func (s *sockets) addRecords(records []trace.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
}

func (s *sockets) addFailure(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf("%s: %v", name, err))
}

// run runs what is scheduled, until a time or the end of ctx.
func (s *sockets) run(ctx context.Context, until statemachine.Seconds) {
	for {
		now := s.clock.Now()
		if s.schedule.runDue(now) {
			continue
		}
		if now >= until {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.schedule.wait(now, until)):
		}
	}
}

// shutdown ends all processes and event loops, and waits for them.
func (s *sockets) shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		if n.cmd != nil {
			// A process that has ended meanwhile is no fault here; a paused one must run to receive the signal.
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, loop := range n.loops() {
			loop.Stop()
		}
	}
	for _, r := range s.relays {
		r.loop.Stop()
	}
	s.waitForEnd()
}

func (s *sockets) waitForEnd() {
	for _, n := range s.nodes {
		for _, loop := range n.loops() {
			_ = loop.Wait() // what ended it early shows in the trace
		}
		if n.cmd != nil {
			kill := time.AfterFunc(shutdownTimeout, func() { _ = n.cmd.Process.Kill() }) // it may have ended by then
			defer kill.Stop()
		}
	}
	for _, r := range s.relays {
		_ = r.loop.Wait() // as above
	}
	s.coordinatorProcesses.Wait()
}

// Now is the time of the event loops' common clock.
func (s *sockets) Now() statemachine.Seconds { return s.clock.Now() }

// Schedule schedules a function.
func (s *sockets) Schedule(at statemachine.Seconds, do func()) { s.schedule.add(at, do) }

// Start starts a participant's process or event loop.
func (s *sockets) Start(name string) {
	started := s.nodes[name]
	if started.newMachine == nil {
		s.startCoordinator(started)
		return
	}
	if started.closingLoop != nil {
		_ = started.closingLoop.Wait() // it was killed; it holds the port until then
		started.closingLoop = nil
	}
	config := eventloop.Bootstrap{Machine: started.newMachine(), Clock: s.clock, RewriteDialAddress: started.translate, Trace: s.addRecords}
	if started.addr != "" {
		config.Listen = []string{started.addr}
	}
	loop, err := eventloop.Start(s.ctx, config)
	if err != nil {
		s.addFailure(name, err)
		return
	}
	started.loop = loop
}

// Kill ends a participant's process or event loop.
func (s *sockets) Kill(name string) {
	n := s.nodes[name]
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // one that ended by itself is reported by the goroutine that waits for it
		n.cmd = nil
	}
	if n.loop != nil {
		n.loop.Stop()
		n.closingLoop, n.loop = n.loop, nil
	}
}

// Pause keeps a participant from running for a time.
func (s *sockets) Pause(name string, span statemachine.Seconds) {
	n := s.nodes[name]
	if n.cmd == nil {
		s.SendCommand(name, fmt.Sprintf("still %g", span))
		return
	}
	process := n.cmd.Process
	_ = process.Signal(syscall.SIGSTOP) // it may have ended by itself, which is reported elsewhere
	s.Schedule(s.Now()+span, func() { _ = process.Signal(syscall.SIGCONT) })
}

// SendCommand passes a command to a participant's event loop.
func (s *sockets) SendCommand(name, text string) {
	if n := s.nodes[name]; n != nil && n.loop != nil {
		n.loop.SendCommand(text)
	}
}

// AddLinkFault adds a link fault.
func (s *sockets) AddLinkFault(name string, fault simnet.LinkFault, match linkMatch) {
	s.linkFaults = append(s.linkFaults, linkFault{name, fault, match})
	s.applyLinkFaults()
}
