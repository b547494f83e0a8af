package scenario

import (
	"context"
	"strings"
	"sync"
	"time"

	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
)

// emulation is the environment of a running Emulation.
type emulation struct {
	Emulation
	player          *player
	clock           *eventloop.Clock
	loopByBackend   map[string]*eventloop.Loop // by name of the backend; only those of this process's part
	endpointService *eventloop.Loop            // nil: another process, which plays the first part, runs the service
	loops           []*eventloop.Loop
	loopCount       int // number of loops that run backends
	schedule        schedule

	mu           sync.Mutex           // guards pendingStats
	pendingStats map[int]pendingStats // by the number of the second: FleetStats.Elapsed, rounded
}

// pendingStats is the sum of the statistics of one second from the event loops of backends that have reported theirs so far.
type pendingStats struct {
	sum     emulator.FleetStats
	reports int
}

// addStats adds the statistics of one loop for a second, and calls OnTally with the sum once all loops have reported theirs. It is
// called from the goroutines of the loops.
func (e *emulation) addStats(stats emulator.FleetStats) {
	if e.OnTally == nil {
		return
	}
	if sum, complete := e.sumStats(stats); complete {
		e.OnTally(sum)
	}
}

// sumStats adds the statistics of one loop, and returns the sum of that second and whether all loops have reported theirs.
func (e *emulation) sumStats(stats emulator.FleetStats) (emulator.FleetStats, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	second := int(stats.Elapsed + 0.5)
	pending := e.pendingStats[second]
	if pending.reports == 0 {
		pending.sum = stats
	} else {
		pending.sum = pending.sum.Add(stats)
	}
	pending.reports++
	if pending.reports == e.loopCount {
		delete(e.pendingStats, second)
		return pending.sum, true
	}
	e.pendingStats[second] = pending
	return pending.sum, false
}

// run runs the scheduled functions until a time or the end of ctx. It fails with ErrLoopEnded if an event loop ends.
func (e *emulation) run(ctx context.Context, until statemachine.Seconds) error {
	stopped := make(chan struct{})
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer close(stopped)
	failed := make(chan struct{}, len(e.loops))
	for _, loop := range e.loops {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			select {
			case <-loop.Done():
				failed <- struct{}{}
			case <-stopped:
			}
		}()
	}
	for {
		now := e.clock.Now()
		if now >= until {
			return nil
		}
		if e.schedule.runDue(now) {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-failed:
			return ErrLoopEnded
		case <-time.After(e.schedule.wait(now, until)):
		}
	}
}

// Now returns the time of the clock that all event loops share.
func (e *emulation) Now() statemachine.Seconds { return e.clock.Now() }

// Schedule schedules a function to run at a time.
func (e *emulation) Schedule(at statemachine.Seconds, run func()) { e.schedule.add(at, run) }

// Start starts an emulated backend.
func (e *emulation) Start(name string) { e.SendCommand(name, "start") }

// Kill ends an emulated backend.
func (e *emulation) Kill(name string) { e.SendCommand(name, "kill") }

// Pause does nothing, as Emulation.Check rejects the steps that pause processes. The same holds for link faults below.
func (e *emulation) Pause(string, statemachine.Seconds) {}

// AddLinkFault does nothing.
func (e *emulation) AddLinkFault(string, simnet.LinkFault, linkMatch) {}

// RemoveLinkFault does nothing.
func (e *emulation) RemoveLinkFault(string) {}

// ResetConnections does nothing.
func (e *emulation) ResetConnections(linkMatch) {}

// SendCommand sends a command to the endpoint list service or to a backend, if this process runs it.
func (e *emulation) SendCommand(name, text string) {
	if name == endpointService {
		if e.endpointService != nil {
			e.endpointService.SendCommand(text)
		}
		return
	}
	if loop := e.loopByBackend[name]; loop != nil {
		loop.SendCommand(name + " " + strings.TrimSpace(text))
	}
}
