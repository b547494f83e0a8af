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
	// socketSampleInterval is the interval at which backends and proxies on sockets record their own state, in seconds.
	socketSampleInterval = 1
	// shutdownTimeout is the time that coordinators have to end after the signal to terminate; then they are killed.
	shutdownTimeout = 10 * time.Second
)

// CoordinatorCommand is the command that starts a coordinator's process.
type CoordinatorCommand struct {
	Command []string // program and first arguments; the settings file is added as the last argument
	Env     []string // NAME=VALUE, added to the environment variables of this process
	Dir     string   // folder for settings, state and logs; it must exist
}

// sockets is an environment of real sockets on the loopback address, in real time. Coordinators are processes of their own, all
// other participants are event loops in this process. Connections go through relays, which can apply link faults.
type sockets struct {
	player               *player
	command              CoordinatorCommand
	clock                *eventloop.Clock
	ctx                  context.Context // context of the event loops, which outlive the caller's context so that shutdown can end the loops in order
	nodes                map[string]*node
	relays               map[string]*relay // by name of the participant whose connections the relay forwards
	linkFaults           []linkFault
	schedule             schedule
	coordinatorProcesses sync.WaitGroup // goroutines that wait for coordinators' processes to exit

	mu           sync.Mutex // guards records, failures and shuttingDown
	records      []trace.Record
	failures     []string
	shuttingDown bool
}

// node is a participant's process or event loop.
type node struct {
	participant *participant
	addr        string                      // address on which the participant listens; "": none
	newMachine  func() statemachine.Machine // nil: a coordinator, which is a process
	loop        *eventloop.Loop             // nil: not started, or stopped
	closingLoop *eventloop.Loop             // loop of the participant's earlier incarnation, which may still hold the port
	cmd         *exec.Cmd                   // the process of a coordinator; nil: not started, or killed
	rewriteAddr func(addr string) string    // if set, replaces each address to which the node connects
}

// loops returns the node's event loops that may still run.
func (n *node) loops() []*eventloop.Loop {
	var running []*eventloop.Loop
	for _, loop := range []*eventloop.Loop{n.loop, n.closingLoop} {
		if loop != nil {
			running = append(running, loop)
		}
	}
	return running
}

// PlaySockets plays a scenario on sockets, in real time. If ctx ends first, it returns the result of what was recorded so far.
func PlaySockets(ctx context.Context, scenario *Scenario, command CoordinatorCommand) (Result, error) {
	player := newPlayer(scenario)
	// Backends run in event loops of their own and cannot share an execution log; the checker finds duplicate effects in the
	// trace.
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

// run runs the scheduled functions until a time or the end of ctx.
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
			// Errors are ignored, as the process may have ended meanwhile. A paused process must run to handle the signal.
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

// waitForEnd waits for all event loops and processes to end, and kills coordinators after the shutdown timeout.
func (s *sockets) waitForEnd() {
	for _, n := range s.nodes {
		for _, loop := range n.loops() {
			_ = loop.Wait() // an early end shows in the trace
		}
		if n.cmd != nil {
			kill := time.AfterFunc(shutdownTimeout, func() { _ = n.cmd.Process.Kill() }) // it may have ended by then
			defer kill.Stop()
		}
	}
	for _, r := range s.relays {
		_ = r.loop.Wait() // an early end shows in the trace
	}
	s.coordinatorProcesses.Wait()
}

// Now returns the time of the clock that all event loops share.
func (s *sockets) Now() statemachine.Seconds { return s.clock.Now() }

// Schedule schedules a function to run at a time.
func (s *sockets) Schedule(at statemachine.Seconds, run func()) { s.schedule.add(at, run) }

// Start starts a participant's process or event loop.
func (s *sockets) Start(name string) {
	started := s.nodes[name]
	if started.newMachine == nil {
		s.startCoordinator(started)
		return
	}
	if started.closingLoop != nil {
		_ = started.closingLoop.Wait() // it was stopped, but may hold the port until it has ended
		started.closingLoop = nil
	}
	config := eventloop.Bootstrap{Machine: started.newMachine(), Clock: s.clock, RewriteDialAddress: started.rewriteAddr, Trace: s.addRecords}
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
		_ = n.cmd.Process.Kill() // it may have ended already, which awaitExit reports
		n.cmd = nil
	}
	if n.loop != nil {
		n.loop.Stop()
		n.closingLoop, n.loop = n.loop, nil
	}
}

// Pause keeps a participant from running for a duration: a process by signals, an event loop by a command.
func (s *sockets) Pause(name string, duration statemachine.Seconds) {
	n := s.nodes[name]
	if n.cmd == nil {
		s.SendCommand(name, fmt.Sprintf("still %g", duration))
		return
	}
	process := n.cmd.Process
	_ = process.Signal(syscall.SIGSTOP) // it may have ended already, which awaitExit reports
	s.Schedule(s.Now()+duration, func() { _ = process.Signal(syscall.SIGCONT) })
}

// SendCommand sends a command to a participant's event loop, if it runs.
func (s *sockets) SendCommand(name, text string) {
	if n := s.nodes[name]; n != nil && n.loop != nil {
		n.loop.SendCommand(text)
	}
}

// AddLinkFault adds a fault to the links that match.
func (s *sockets) AddLinkFault(name string, fault simnet.LinkFault, match linkMatch) {
	s.linkFaults = append(s.linkFaults, linkFault{name, fault, match})
	s.applyLinkFaults()
}
