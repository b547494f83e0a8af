package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// fleetRun drives a fleet as an event loop does, and records its actions, trace records, log messages and statistics.
type fleetRun struct {
	fleet    *Fleet
	now      Seconds
	wakeAt   Seconds
	aborted  map[statemachine.Conn]bool
	answered int // RPCs with the status OK
	trace    []trace.Record
	logs     []string
	stats    FleetStats // of the last interval
	maxDelay Seconds    // over all intervals
}

func newFleetRun(now Seconds) *fleetRun {
	run := &fleetRun{now: now, aborted: map[statemachine.Conn]bool{}}
	run.fleet = NewFleet(func(stats FleetStats) {
		run.stats = stats
		run.maxDelay = max(run.maxDelay, stats.MaxDelay)
	})
	return run
}

func (r *fleetRun) step(inputs ...statemachine.Input) {
	out := &statemachine.Effects{}
	out.Reset()
	r.fleet.Step(r.now, inputs, out)
	r.wakeAt = out.WakeAt
	for _, action := range out.Actions {
		switch action.Kind {
		case statemachine.ActionAbort:
			r.aborted[action.Conn] = true
		case statemachine.ActionWrite:
			r.countAnswers(action.Data)
		}
	}
	r.trace = append(r.trace, out.Trace...)
	for _, entry := range out.LogEntries {
		r.logs = append(r.logs, fmt.Sprint(entry.Message, entry.Attributes))
	}
}

func (r *fleetRun) countAnswers(data []byte) {
	var reader proto.Reader
	reader.HandshakeDone()
	reader.Feed(data)
	for message, _ := reader.Next(); message != nil; message, _ = reader.Next() {
		if reply, ok := message.(proto.Reply); ok && reply.Status == proto.StatusOK {
			r.answered++
		}
	}
}

func (r *fleetRun) runUntil(until Seconds) {
	for r.wakeAt < until {
		r.now = max(r.now, r.wakeAt)
		r.step()
	}
	r.now = until
}

func (r *fleetRun) connect(conn statemachine.Conn, listener int) {
	hello := proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleClient, Name: "x"})
	r.step(
		statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn, Listener: listener},
		statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: hello},
	)
}

func (r *fleetRun) submit(conn statemachine.Conn, id uint64) {
	data := proto.Append(nil, proto.RPC{ID: id, TimeLeft: 5})
	r.step(statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: data})
}

func (r *fleetRun) command(text string) {
	r.step(statemachine.Input{Kind: statemachine.OperatorCommand, Text: text})
}

// startThreeBackends starts backends s0 to s2, connects to them as 1 to 3 and lets each answer an RPC.
func startThreeBackends(t *testing.T) *fleetRun {
	t.Helper()
	run := newFleetRun(100)
	for i := range 3 {
		config := testConfig(2, Work{Mean: 0.02, Family: Constant})
		config.Backend, config.ColdSpeed, config.WarmupTime, config.OverloadMultiple, config.OverloadWindow = uint32(i+1), 0.3, 5, 50, 1
		run.fleet.AddBackend(fmt.Sprint("s", i), config)
	}
	for i := range 3 {
		conn := statemachine.Conn(i + 1)
		run.connect(conn, i)
		run.submit(conn, uint64(conn))
	}
	run.runUntil(101.5)
	stats := run.stats
	if run.answered != 3 || stats.Running != 3 || stats.Executed != 3 || stats.Capacity < 299 || stats.Capacity > 301 {
		t.Fatalf("%d answered, want 3; %v", run.answered, stats)
	}
	return run
}

// A killed backend resets its own connections and rejects new ones, and its next process starts cold.
func TestFleetKillAndStart(t *testing.T) {
	run := startThreeBackends(t)
	run.command("s1 kill")
	run.command("s1 kill") // no effect
	if !run.aborted[2] || run.aborted[1] || run.aborted[3] {
		t.Fatalf("killing the second backend reset %v", run.aborted)
	}
	run.connect(7, 1)
	if !run.aborted[7] {
		t.Error("a killed backend accepted a connection")
	}
	run.submit(2, 50)
	run.submit(1, 51)
	run.runUntil(103.5)
	if run.answered != 4 || run.stats.Running != 2 {
		t.Errorf("%d answered, %v", run.answered, run.stats)
	}
	run.command("s1 start")
	run.connect(8, 1)
	run.submit(8, 60)
	run.runUntil(105.6)
	if run.answered != 5 || run.stats.Running != 3 || run.stats.WarmingUp != 1 || run.stats.Capacity > 290 {
		t.Errorf("%d answered after the restart, %v", run.answered, run.stats)
	}
	stops := 0
	for _, record := range run.trace {
		if record.Kind == trace.BackendStopped {
			stops++
		}
	}
	sum := run.stats.Add(FleetStats{Elapsed: 3, Backends: 1, Running: 1, CoreUsage: 1, Executed: 2})
	if stops != 1 || sum.Backends != 4 || sum.Executed != run.stats.Executed+2 {
		t.Errorf("%d stops in the trace, sum %+v", stops, sum)
	}
}

// Faults reach the backends that a command names, and invalid commands are logged and change nothing.
func TestFleetCommands(t *testing.T) {
	run := startThreeBackends(t)
	run.command("s1 kill") // faults also apply to a restarted backend
	run.command("s1 start")
	run.command("s9 hang")
	run.command("s0 hung")
	run.command("* hang")
	run.submit(1, 70)
	run.runUntil(103)
	if len(run.logs) != 2 || !strings.Contains(run.logs[0], "s9") || run.stats.Capacity != 0 || run.answered != 3 {
		t.Errorf("during the hang: logs %q, %v, %d answered", run.logs, run.stats, run.answered)
	}
	run.command("* heal hang")
	run.runUntil(104)
	if run.answered != 4 {
		t.Errorf("%d answered after the hang", run.answered)
	}
}

// A fleet that is stepped after its wake-up time reports the delay.
func TestFleetReportsDelay(t *testing.T) {
	run := newFleetRun(10)
	run.fleet.AddBackend("s0", testConfig(1, Work{Mean: 0.01, Family: Constant}))
	run.connect(1, 0)
	run.submit(1, 1)
	run.now = 10.31 // the RPC was due at 10.01
	run.step()
	run.now = 11.5
	run.step()
	if math.Abs(run.maxDelay-0.3) > 0.01 {
		t.Errorf("a delay of 0.3 s is reported as %.3f s", run.maxDelay)
	}
}
