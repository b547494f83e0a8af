package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gingerfork/internal/bench/wire"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/platform"
)

const (
	// addressWait bounds the wait for the listen address of a predecessor that was just killed. It gives the address back
	// far sooner, and a restarted coordinator must be ready within 6 s.
	addressWait     = 4 * time.Second
	addressRetry    = addressWait / 40
	nodeDialTimeout = 2 * time.Second

	maxQueuedLogLines = 4096
	// logFlushTimeout bounds the wait for the log's reader at the end: a planned restart goes on to SIGKILL.
	logFlushTimeout = 200 * time.Millisecond

	// The buffers of the event loop take at most these shares of the memory limit, and at most these sizes.
	writeBufferMemoryShare  = 32
	pendingInputMemoryShare = 16
	largestWriteBuffer      = 4 << 20  // bytes a connection
	largestPendingInput     = 64 << 20 // bytes
)

// errNoConfigurationFile is returned when the environment does not name the configuration file.
var errNoConfigurationFile = errors.New(platform.EnvConfigFile + " does not name the configuration's file")

type nodeCmd struct{}

// Run serves until SIGTERM. Only the network code and the decision module run: on the platform a coordinator has no disk
// that outlives it, and little memory.
func (nodeCmd) Run(ctx context.Context, command *program) error {
	// Before anything else: a SIGHUP that arrives during the start must not end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	signal.Ignore(syscall.SIGPIPE) // the end of the log's reader must not end the process
	start, err := readNodeStart()
	if err != nil {
		return err
	}
	limitRuntime(start)
	logLines := newAsyncWriter(command.err, maxQueuedLogLines)
	defer flushLog(logLines)
	node, err := startNode(ctx, start, newNodeLogger(logLines, start.Name))
	if errors.Is(err, context.Canceled) {
		return nil // SIGTERM arrived before the coordinator listened
	}
	if err != nil {
		return err
	}
	return node.serve(reload)
}

func newNodeLogger(w io.Writer, instance string) *slog.Logger {
	return slog.New(zerolog.NewSlogHandler(zerolog.New(w).With().Timestamp().Logger())).With("instance", instance)
}

// flushLog waits for the last lines of the log, for logFlushTimeout at most.
func flushLog(lines *asyncWriter) {
	expired := make(chan struct{})
	defer time.AfterFunc(logFlushTimeout, func() { close(expired) }).Stop()
	lines.closeAndFlush(expired)
}

// runningNode is a coordinator on the operators' platform.
type runningNode struct {
	start   *platform.NodeConfig // as read at the start of the process
	machine *platform.Machine
	loop    *eventloop.Loop
	clock   *eventloop.Clock
	log     *slog.Logger
}

// startNode starts a coordinator. The error is context.Canceled when ctx ended before it listened.
func startNode(ctx context.Context, start *platform.NodeConfig, log *slog.Logger) (*runningNode, error) {
	clock := eventloop.NewClock()
	machine, err := platform.New(start.Bootstrap(clock.Now()))
	if err != nil {
		log.Warn("cached endpoint list rejected, starting without it", "cause", err.Error())
	}
	config := loopConfig(start)
	config.Machine, config.Log, config.Clock = machine, log, clock
	loop, err := listenWhenFree(ctx, func() (*eventloop.Loop, error) { return eventloop.Start(ctx, config) })
	if err != nil {
		return nil, err
	}
	log.Info("coordinator started", "listen", start.Listen, "discovery", start.Discovery, "cores", start.Cores,
		"memory_bytes", start.MemoryBytes, "sockets", start.Sockets, "proxies", start.Settings["proxies"], "listing", start.Settings["listing"])
	return &runningNode{start: start, machine: machine, loop: loop, clock: clock, log: log}, nil
}

// loopConfig returns the event loop's address and limits.
func loopConfig(start *platform.NodeConfig) eventloop.Bootstrap {
	config := eventloop.Bootstrap{
		Listen:         []string{start.Listen},
		MaxConnections: start.MaxLoopConnections(),
		DialTimeout:    nodeDialTimeout,
	}
	if start.MemoryBytes > 0 {
		config.MaxWriteBuffer = int(min(largestWriteBuffer, start.MemoryBytes/writeBufferMemoryShare))
		config.MaxPendingInput = int(min(largestPendingInput, start.MemoryBytes/pendingInputMemoryShare))
	}
	return config
}

// listenWhenFree calls start until it finds the listen address free, for addressWait at most: a predecessor that was just
// killed may still hold it. The error is that of ctx when ctx ends first.
func listenWhenFree(ctx context.Context, start func() (*eventloop.Loop, error)) (*eventloop.Loop, error) {
	for deadline := time.Now().Add(addressWait); ; {
		loop, err := start()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return loop, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(addressRetry):
		}
	}
}

// serve reloads the configuration at each signal until the event loop ends, and returns the event loop's error.
func (n *runningNode) serve(reload <-chan os.Signal) error {
	for {
		select {
		case <-reload:
			n.reloadConfiguration()
		case <-n.loop.Done():
			err := n.loop.Wait()
			n.logEnd()
			return err
		}
	}
}

// reloadConfiguration reads the configuration again. Only the address of discovery is applied; a configuration that cannot
// be read or that is invalid changes nothing.
func (n *runningNode) reloadConfiguration() {
	fresh, err := readNodeStart()
	if err != nil {
		n.log.Error("configuration reload failed, the old configuration stays in force", "cause", err.Error())
		return
	}
	if fresh.Listen != n.start.Listen || fresh.Name != n.start.Name || !reflect.DeepEqual(fresh.Settings, n.start.Settings) {
		n.log.Warn("changes of name, listen address and settings need a restart")
	}
	n.loop.RunBetweenSteps(func() { n.machine.Reload(fresh.Bootstrap(n.clock.Now())) })
	n.log.Info("configuration reloaded", "discovery", fresh.Discovery)
}

func (n *runningNode) logEnd() {
	machine, loop := n.machine.Stats(), n.loop.Stats()
	n.log.Info("coordinator ended", "joins", machine.Joins, "messages", machine.Messages, "bytes", machine.Bytes,
		"steps", machine.Steps, "refused_connections", machine.Rejected, "malformed_messages", machine.InvalidMessages,
		"longest_step_s", loop.LongestStep.Seconds(), "busy_s", loop.BusyTime.Seconds())
}

// readNodeStart reads the configuration file that the environment names.
func readNodeStart() (*platform.NodeConfig, error) {
	name := os.Getenv(platform.EnvConfigFile)
	if name == "" {
		return nil, errNoConfigurationFile
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	start, err := platform.ParseNodeConfig(raw, os.Getenv, wire.FlattenSettings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return start, nil
}

// limitRuntime keeps the Go runtime inside the limits of the configuration.
func limitRuntime(start *platform.NodeConfig) {
	if start.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(start.Cores)))
	}
	if start.MemoryBytes > 0 {
		// The limit covers what the runtime holds; the program's own pages and the kernel's buffers come on top.
		debug.SetMemoryLimit(start.MemoryBytes / 2)
	}
}
