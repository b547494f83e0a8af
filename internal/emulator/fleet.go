package emulator

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
	"gingerfork/internal/wakeup"
)

const (
	// statsInterval is the time between two calls of onStats.
	statsInterval Seconds = 1
	// minWakeDelay is the minimum time until the next step of a backend that asks to be woken at once.
	minWakeDelay Seconds = 1e-6
	// allBackends addresses a command to every backend.
	allBackends = "*"
)

var errUnknownBackend = errors.New("unknown backend")

// Fleet runs many emulated backends as one machine, so that one event loop can run hundreds. Each backend has its own
// listener. The commands `NAME kill` and `NAME start` end and start the process of a backend; after NAME may also stand a
// command that injects or heals a fault, see Model.command. The name * addresses all backends. Fleet implements
// statemachine.Machine.
type Fleet struct {
	processes   []*process // by the number of the fleet's listener
	byName      map[string]*process
	byConn      map[statemachine.Conn]*process
	wakeups     wakeup.Queue[*process]
	startedAt   statemachine.Seconds // time of the fleet's first step; 0 before that step
	stats       FleetStats           // since the previous call of onStats
	nextStatsAt statemachine.Seconds
	onStats     func(FleetStats)
}

// process emulates the process of a backend, which can be killed and started again.
type process struct {
	name    string
	config  Config
	starts  int      // how often the process was started
	backend *Backend // nil while the process is killed
	conns   map[statemachine.Conn]bool
	inputs  []statemachine.Input
	wakeup  *wakeup.Entry[*process]
}

var _ statemachine.Machine = (*Fleet)(nil)

// NewFleet returns a fleet without backends. If onStats is not nil, it is called with the statistics of each second, in the
// goroutine that steps the fleet.
func NewFleet(onStats func(FleetStats)) *Fleet {
	return &Fleet{
		byName: map[string]*process{}, byConn: map[statemachine.Conn]*process{}, onStats: onStats,
		nextStatsAt: statemachine.Never,
	}
}

// AddBackend adds a backend with the next listener. The first process starts cold if the config says so, and any later
// process of the backend always does. AddBackend must not be called after the first step.
func (f *Fleet) AddBackend(name string, config Config) {
	added := &process{name: name, config: config, conns: map[statemachine.Conn]bool{}}
	f.processes = append(f.processes, added)
	f.byName[name] = added
	added.start()
	added.wakeup = f.wakeups.Add(added)
}

// start starts a process. Its random seed differs from those of the earlier processes of the backend.
func (p *process) start() {
	config := p.config
	config.StartsCold = config.StartsCold || p.starts > 0
	config.Seed += uint64(p.starts)
	p.starts++
	p.backend = NewBackend(config)
}

// Step implements statemachine.Machine. It steps only the backends that have an input or whose wake-up time has come.
func (f *Fleet) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	if f.startedAt == 0 {
		f.startedAt = now
		f.nextStatsAt = now + statsInterval
	}
	var receivers []*process
	deliver := func(receiver *process, input statemachine.Input) {
		if len(receiver.inputs) == 0 {
			receivers = append(receivers, receiver)
		}
		receiver.inputs = append(receiver.inputs, input)
	}
	for _, input := range inputs {
		f.route(now, input, deliver, out)
	}
	for due, at, ok := f.wakeups.Next(); ok && at <= now; due, at, ok = f.wakeups.Next() {
		f.stepProcess(now, due, out)
	}
	for _, receiver := range receivers {
		if len(receiver.inputs) > 0 {
			f.stepProcess(now, receiver, out)
		}
	}
	if now >= f.nextStatsAt {
		f.nextStatsAt = now + statsInterval
		f.reportStats(now)
	}
	out.WakeAt = f.nextStatsAt
	if _, at, ok := f.wakeups.Next(); ok {
		out.WakeBy(at)
	}
}

// route delivers an input to the processes that it is addressed to.
func (f *Fleet) route(now statemachine.Seconds, input statemachine.Input, deliver func(*process, statemachine.Input), out *statemachine.Effects) {
	switch input.Kind {
	case statemachine.OperatorCommand:
		if err := f.handleCommand(now, input.Text, deliver, out); err != nil {
			logRejectedCommand(out, input.Text, err)
		}
	case statemachine.ConnOpened:
		owner := f.processes[input.Listener]
		if owner.backend == nil { // the listener stays open while the process is killed, so the connection is reset here
			out.Abort(input.Conn)
			return
		}
		f.byConn[input.Conn] = owner
		owner.conns[input.Conn] = true
		input.Listener = 0
		deliver(owner, input)
	default:
		owner := f.byConn[input.Conn]
		if owner == nil {
			return
		}
		if input.Kind == statemachine.ConnClosed {
			f.forgetConn(owner, input.Conn)
		}
		deliver(owner, input)
	}
}

func (f *Fleet) forgetConn(owner *process, conn statemachine.Conn) {
	delete(f.byConn, conn)
	delete(owner.conns, conn)
}

// stepProcess steps a backend with the inputs that were delivered to it, and schedules its next wake-up.
func (f *Fleet) stepProcess(now statemachine.Seconds, stepped *process, out *statemachine.Effects) {
	inputs := stepped.inputs
	stepped.inputs = nil
	if stepped.backend == nil {
		f.wakeups.Reschedule(stepped.wakeup, statemachine.Never)
		return
	}
	if model := stepped.backend.model; model != nil {
		if at := model.NextTimer(); !math.IsInf(at, 1) {
			f.stats.MaxDelay = max(f.stats.MaxDelay, now-at)
		}
	}
	actionsBefore, recordsBefore := len(out.Actions), len(out.Trace)
	out.WakeAt = statemachine.Never
	stepped.backend.Step(now, inputs, out)
	for _, action := range out.Actions[actionsBefore:] {
		if action.Kind == statemachine.ActionClose || action.Kind == statemachine.ActionAbort {
			f.forgetConn(stepped, action.Conn)
		}
	}
	f.stats.addTrace(out.Trace[recordsBefore:])
	f.wakeups.Reschedule(stepped.wakeup, max(out.WakeAt, now+minWakeDelay))
}

// handleCommand handles kill and start, and delivers other commands to the backends that they are addressed to.
func (f *Fleet) handleCommand(now statemachine.Seconds, text string, deliver func(*process, statemachine.Input), out *statemachine.Effects) error {
	name, command, _ := strings.Cut(text, " ")
	addressed := f.processes
	if name != allBackends {
		named := f.byName[name]
		if named == nil {
			return fmt.Errorf("%w %q", errUnknownBackend, name)
		}
		addressed = []*process{named}
	}
	for _, target := range addressed {
		switch {
		case command == "kill":
			f.kill(now, target, out)
		case command == "start" && target.backend == nil:
			target.start()
			f.wakeups.Reschedule(target.wakeup, now)
		case command != "start" && target.backend != nil:
			deliver(target, statemachine.Input{Kind: statemachine.OperatorCommand, Text: command})
		}
	}
	return nil
}

// kill ends a process and resets its connections.
func (f *Fleet) kill(now statemachine.Seconds, killed *process, out *statemachine.Effects) {
	if killed.backend == nil {
		return
	}
	killed.backend = nil
	killed.inputs = nil
	out.Record(trace.Record{Time: now, Kind: trace.BackendStopped, Backend: killed.config.Backend})
	for _, conn := range slices.Sorted(maps.Keys(killed.conns)) {
		out.Abort(conn)
		f.forgetConn(killed, conn)
	}
}

// reportStats completes the statistics of an interval, reports them and begins the next interval.
func (f *Fleet) reportStats(now statemachine.Seconds) {
	stats := f.stats
	f.stats = FleetStats{}
	stats.Elapsed = now - f.startedAt
	stats.Backends = len(f.processes)
	cores, busyCores := 0.0, 0.0
	for _, reported := range f.processes {
		if reported.backend == nil || reported.backend.model == nil {
			continue
		}
		ownCores, ownBusyCores := stats.addState(reported.backend.model, now)
		cores += ownCores
		busyCores += ownBusyCores
	}
	if cores > 0 {
		stats.CoreUsage = busyCores / cores
	}
	if f.onStats != nil {
		f.onStats(stats)
	}
}
