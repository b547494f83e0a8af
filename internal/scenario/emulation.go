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
	loopByBackend   map[string]*eventloop.Loop // by backend
	endpointService *eventloop.Loop            // nil: another process plays it
	loops           []*eventloop.Loop
	loopCount       int // loops that carry backends
	schedule        schedule

	mu      sync.Mutex
	tallies map[int]pendingTally // by second
}

// pendingTally is the sum of a second's figures from the loops that have reported so far.
type pendingTally struct {
	sum     emulator.FleetStats
	reports int
}

// addTally adds a loop's figures of a second, and passes the sum on once all loops have reported. Loops call it.
func (e *emulation) addTally(tally emulator.FleetStats) {
	if e.OnTally == nil {
		return
	}
	if sum, complete := e.sumTally(tally); complete {
		e.OnTally(sum)
	}
}

func (e *emulation) sumTally(tally emulator.FleetStats) (emulator.FleetStats, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	second := int(tally.Elapsed + 0.5)
	pending := e.tallies[second]
	if pending.reports == 0 {
		pending.sum = tally
	} else {
		pending.sum = pending.sum.Add(tally)
	}
	pending.reports++
	if pending.reports == e.loopCount {
		delete(e.tallies, second)
		return pending.sum, true
	}
	e.tallies[second] = pending
	return pending.sum, false
}

// run runs what is scheduled, until a time or the end of ctx. It fails with ErrLoopEnded.
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

// Now is the time of the event loops' common clock.
func (e *emulation) Now() statemachine.Seconds { return e.clock.Now() }

// Schedule schedules a function.
func (e *emulation) Schedule(at statemachine.Seconds, do func()) { e.schedule.add(at, do) }

// Start starts an emulated backend.
func (e *emulation) Start(name string) { e.SendCommand(name, "start") }

// Kill ends an emulated backend.
func (e *emulation) Kill(name string) { e.SendCommand(name, "kill") }

// Pause does nothing: Emulation.Check rejects the steps that need it, as it does for links.
func (e *emulation) Pause(string, statemachine.Seconds) {}

// AddLinkFault does nothing.
func (e *emulation) AddLinkFault(string, simnet.LinkFault, linkMatch) {}

// RemoveLinkFault does nothing.
func (e *emulation) RemoveLinkFault(string) {}

// ResetConnections does nothing.
func (e *emulation) ResetConnections(linkMatch) {}

// SendCommand passes a command to the endpoint list service or to a backend.
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
