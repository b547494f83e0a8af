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
	// addressWait bounds the wait for the listen address while a predecessor that was just killed may still hold it. A
	// predecessor releases it far sooner, and a restarted coordinator must be ready within 6 s.
	addressWait     = 4 * time.Second
	addressRetry    = addressWait / 40 // time between two attempts to listen
	nodeDialTimeout = 2 * time.Second  // for each connection that the coordinator dials

	maxQueuedLogLines = 4096 // log lines beyond this number that wait for a slow reader are dropped
	// logFlushTimeout bounds the wait for a slow log reader at the end, because a planned restart follows SIGTERM by SIGKILL.
	logFlushTimeout = 200 * time.Millisecond

	// Limits of the event loop's buffers: the memory limit divided by these numbers, and these absolute sizes.
	writeBufferMemoryDivisor  = 32
	pendingInputMemoryDivisor = 16
	largestWriteBuffer        = 4 << 20  // bytes per connection
	largestPendingInput       = 16 << 20 // bytes of all connections together
	unsentMemoryDivisor       = 8
	largestUnsent             = 64 << 20 // bytes of all connections together
)

// errNoConfigurationFile is returned when the environment does not name the configuration file.
var errNoConfigurationFile = errors.New(platform.EnvConfigFile + " is not set to the name of the configuration file")

type nodeCmd struct{}

// Run runs a coordinator until SIGTERM. It runs only the network code and the decision module, without a store, because on
// the platform a coordinator has little memory and no disk that outlives it.
func (nodeCmd) Run(ctx context.Context, cli *program) error {
	// Registered first, because a SIGHUP during the start would otherwise end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	signal.Ignore(syscall.SIGPIPE) // a log reader that exits must not end the process
	nodeConfig, err := readNodeConfig()
	if err != nil {
		return err
	}
	limitRuntime(nodeConfig)
	logLines := newAsyncWriter(cli.err, maxQueuedLogLines)
	defer flushLog(logLines)
	node, err := startNode(ctx, nodeConfig, newNodeLogger(logLines, nodeConfig.Name))
	if errors.Is(err, context.Canceled) {
		return nil // SIGTERM arrived before the coordinator began to listen
	}
	if err != nil {
		return err
	}
	return node.serve(reload)
}

// newNodeLogger returns a logger that writes lines of JSON, each with the name of the instance.
func newNodeLogger(w io.Writer, instance string) *slog.Logger {
	return slog.New(zerolog.NewSlogHandler(zerolog.New(w).With().Timestamp().Logger())).With("instance", instance)
}

// flushLog closes the log and waits at most logFlushTimeout until its last lines have been written.
func flushLog(lines *asyncWriter) {
	expired := make(chan struct{})
	defer time.AfterFunc(logFlushTimeout, func() { close(expired) }).Stop()
	lines.closeAndFlush(expired)
}

// runningNode is a coordinator on the operators' platform.
type runningNode struct {
	initialConfig *platform.NodeConfig // as read at the start of the process, for comparison with the file at a reload
	machine       *platform.Machine
	loop          *eventloop.Loop
	clock         *eventloop.Clock
	log           *slog.Logger
}

// startNode starts a coordinator. The error is context.Canceled if ctx ended before the coordinator began to listen.
func startNode(ctx context.Context, nodeConfig *platform.NodeConfig, log *slog.Logger) (*runningNode, error) {
	clock := eventloop.NewClock()
	machine, err := platform.New(nodeConfig.Bootstrap(clock.Now()))
	if err != nil {
		log.Warn("cached endpoint list rejected, starting without it", "cause", err.Error())
	}
	config := loopConfig(nodeConfig)
	config.Machine, config.Log, config.Clock = machine, log, clock
	loop, err := listenWhenFree(ctx, func() (*eventloop.Loop, error) { return eventloop.Start(ctx, config) })
	if err != nil {
		return nil, err
	}
	log.Info("coordinator started", "listen", nodeConfig.Listen, "discovery", nodeConfig.Discovery, "cores", nodeConfig.Cores,
		"memory_bytes", nodeConfig.MemoryBytes, "sockets", nodeConfig.Sockets, "proxies", nodeConfig.Settings["proxies"], "listing", nodeConfig.Settings["listing"])
	return &runningNode{initialConfig: nodeConfig, machine: machine, loop: loop, clock: clock, log: log}, nil
}

// loopConfig returns the configuration of the event loop: its address, its connection limit and its buffer sizes.
func loopConfig(nodeConfig *platform.NodeConfig) eventloop.Bootstrap {
	config := eventloop.Bootstrap{
		Listen:         []string{nodeConfig.Listen},
		MaxConnections: nodeConfig.MaxLoopConnections(),
		DialTimeout:    nodeDialTimeout,
	}
	if nodeConfig.MemoryBytes > 0 {
		config.MaxWriteBuffer = int(min(largestWriteBuffer, nodeConfig.MemoryBytes/writeBufferMemoryDivisor))
		config.MaxPendingInput = int(min(largestPendingInput, nodeConfig.MemoryBytes/pendingInputMemoryDivisor))
		config.MaxUnsent = int(min(largestUnsent, nodeConfig.MemoryBytes/unsentMemoryDivisor))
	}
	return config
}

// listenWhenFree calls start again while the listen address is in use, for at most addressWait, because a predecessor that
// was just killed may still hold the address. If ctx ends first, the error is that of ctx.
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

// serve reloads the configuration at each signal until the event loop ends, and returns the error of the event loop.
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

// reloadConfiguration reads the configuration file again and applies the address of the discovery service; other changes need
// a restart. If the configuration file cannot be read or is invalid, the old configuration stays in use.
func (n *runningNode) reloadConfiguration() {
	reloaded, err := readNodeConfig()
	if err != nil {
		n.log.Error("configuration reload failed, the old configuration stays in force", "cause", err.Error())
		return
	}
	if reloaded.Listen != n.initialConfig.Listen || reloaded.Name != n.initialConfig.Name || !reflect.DeepEqual(reloaded.Settings, n.initialConfig.Settings) {
		n.log.Warn("changes of name, listen address and settings need a restart")
	}
	n.loop.RunBetweenSteps(func() { n.machine.Reload(reloaded.Bootstrap(n.clock.Now())) })
	n.log.Info("configuration reloaded", "discovery", reloaded.Discovery)
}

// logEnd logs the totals of the run.
func (n *runningNode) logEnd() {
	machine, loop := n.machine.Stats(), n.loop.Stats()
	n.log.Info("coordinator ended", "joins", machine.Joins, "messages", machine.Messages, "bytes", machine.Bytes,
		"steps", machine.Steps, "refused_connections", machine.Rejected, "malformed_messages", machine.InvalidMessages,
		"longest_step_s", loop.LongestStep.Seconds(), "busy_s", loop.BusyTime.Seconds())
}

// readNodeConfig reads the configuration file that the environment names.
func readNodeConfig() (*platform.NodeConfig, error) {
	name := os.Getenv(platform.EnvConfigFile)
	if name == "" {
		return nil, errNoConfigurationFile
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	nodeConfig, err := platform.ParseNodeConfig(raw, os.Getenv, wire.FlattenSettings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return nodeConfig, nil
}

// limitRuntime applies the limits of the configuration on cores and memory to the Go runtime.
func limitRuntime(nodeConfig *platform.NodeConfig) {
	if nodeConfig.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(nodeConfig.Cores)))
	}
	if nodeConfig.MemoryBytes > 0 {
		// Half of the memory, because the runtime's limit does not cover the pages of the executable and the kernel's buffers.
		debug.SetMemoryLimit(nodeConfig.MemoryBytes / 2)
	}
}
