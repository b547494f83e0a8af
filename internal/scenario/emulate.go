package scenario

import (
	"context"
	"errors"
	"fmt"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/trace"
)

// Range of the ports that an emulated fleet may use.
const (
	minPort = 1024
	maxPort = 65535
)

// ErrLoopEnded is returned by Emulation.Run if an event loop ended before the scenario did.
var ErrLoopEnded = errors.New("an event loop of the emulated fleet ended unexpectedly")

// PortRangeError is returned by Emulation.Check if the ports of the fleet would leave the permitted range.
type PortRangeError struct {
	Port     int // of the endpoint list service
	Backends int
}

func (e *PortRangeError) Error() string {
	return fmt.Sprintf("the endpoint service and %d backends do not fit into the ports from %d on: ports must be %d to %d", e.Backends, e.Port, minPort, maxPort)
}

// UnknownPartError is returned by Emulation.Check if the number of the part to play is not one of the parts.
type UnknownPartError struct {
	Part, Parts int
}

func (e *UnknownPartError) Error() string {
	return fmt.Sprintf("part %d of %d does not exist", e.Part, e.Parts)
}

// Emulation runs the backends and the endpoint list service of a scenario on the loopback address, for coordinators and proxies
// that the user runs. An emulation may be split over several processes, each of which runs a part of the backends; the process of
// the first part also runs the endpoint list service.
type Emulation struct {
	Scenario    *Scenario
	Port        int                       // of the endpoint list service; the backends have the ports after it
	Part, Parts int                       // number of this process's part, from 1, and of all parts; 0: this process runs everything
	EventLoops  int                       // number of event loops for the backends; 0: one
	OnTally     func(emulator.FleetStats) // called with the statistics of all backends of this process for each second; may be nil
	OnStep      func(text string)         // called with each step; may be nil
	Trace       func([]trace.Record)      // called with the records of the trace as they are written; may be nil
}

// ListAddr returns the address of the endpoint list service.
func (e Emulation) ListAddr() string { return loopbackAddress(e.Port) }

// Addr returns the address of a backend, given by its index from 0.
func (e Emulation) Addr(backend int) string { return loopbackAddress(e.Port + 1 + backend) }

// needsMoreThanFleet reports whether a step needs links, coordinators or proxies, which an emulation does not control.
func needsMoreThanFleet(step Step) bool {
	switch step.Target {
	case TargetBackends:
		return step.Verb == VerbPartition || step.Verb == VerbPowerLoss || step.FlapMode == FlapPowerLoss
	case TargetZone:
		return step.Verb != VerbLoseZone
	case TargetEndpointService:
		return step.Verb == VerbPartition
	}
	return true
}

// Check checks whether the emulation can run. Its error is a bootstrap.Faults with the steps that cannot be emulated, or the
// error type for a wrong port or part.
func (e Emulation) Check() error {
	var faults bootstrap.Faults
	for _, step := range e.Scenario.Steps {
		if needsMoreThanFleet(step) {
			faults = append(faults, step.Source.Fault(
				"%s %s can't be emulated: play the scenario with gingerfork scenario, or remove the line", step.Verb, step.Target))
		}
	}
	if len(faults) > 0 {
		return faults.Err()
	}
	backends := 0
	for _, group := range e.Scenario.Backends {
		backends += group.Count
	}
	if e.Port < minPort || e.Port+backends > maxPort {
		return &PortRangeError{Port: e.Port, Backends: backends}
	}
	if e.Parts < 0 || e.Part > e.Parts || e.Parts > 0 && e.Part < 1 {
		return &UnknownPartError{Part: e.Part, Parts: e.Parts}
	}
	return nil
}

// Run runs the emulation until the end of the scenario or of ctx.
func (e Emulation) Run(ctx context.Context) (err error) {
	if err := e.Check(); err != nil {
		return err
	}
	running := newEmulation(e)
	loopContext, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		for _, loop := range running.loops {
			if waitErr := loop.Wait(); err == nil && waitErr != nil {
				err = fmt.Errorf("emulate: %w", waitErr)
			}
		}
	}()
	if err := running.startBackends(loopContext); err != nil {
		return err
	}
	if err := running.startEndpointService(loopContext); err != nil {
		return err
	}
	p := running.player
	p.startTime = running.clock.Now()
	for _, backend := range p.backends {
		backend.up, backend.incarnations = true, 1
	}
	p.scheduleSteps()
	return running.run(ctx, p.startTime+e.Scenario.Duration)
}

func newEmulation(e Emulation) *emulation {
	running := &emulation{
		Emulation: e, player: newPlayer(e.Scenario), clock: eventloop.NewClock(), loopByBackend: map[string]*eventloop.Loop{},
		pendingStats: map[int]pendingStats{},
	}
	running.player.env, running.player.record = running, running.addRecord
	return running
}

func (e *emulation) addRecord(record trace.Record) {
	if e.Trace != nil {
		e.Trace([]trace.Record{record})
	}
	if record.Kind == trace.FaultInjected && e.OnStep != nil {
		e.OnStep(record.Text)
	}
}

// ownBackends returns the backends of this process's part: every Parts-th one.
func (e *emulation) ownBackends() []*participant {
	var own []*participant
	for i, backend := range e.player.backends {
		if e.Parts == 0 || i%e.Parts == e.Part-1 {
			own = append(own, backend)
		}
	}
	return own
}

// startBackends distributes the backends of this part evenly over event loops and starts them.
func (e *emulation) startBackends(ctx context.Context) error {
	own := e.ownBackends()
	e.loopCount = min(max(1, e.EventLoops), max(1, len(own)))
	store := e.player.newIdempotencyStore()
	for number := range e.loopCount {
		var share []*participant
		for i := number; i < len(own); i += e.loopCount {
			share = append(share, own[i])
		}
		if len(share) == 0 {
			continue
		}
		if err := e.startLoop(ctx, share, store); err != nil {
			return err
		}
	}
	return nil
}

// startLoop starts an event loop that runs some of the backends.
func (e *emulation) startLoop(ctx context.Context, backends []*participant, store *emulator.IdempotencyKeyStore) error {
	fleet := emulator.NewFleet(e.addStats)
	config := eventloop.Bootstrap{Machine: fleet, Clock: e.clock, Trace: e.Trace}
	for _, backend := range backends {
		backendConfig := e.player.backendConfig(backend, store)
		if e.loopCount > 1 || e.Parts > 1 {
			// Loops and processes cannot share state, so each loop has its own store of idempotency keys and no execution log.
			backendConfig.Executions = nil
			backendConfig.IdempotencyKeys = &emulator.IdempotencyKeyStore{Scope: e.Scenario.IdempotencyScope, Window: store.Window}
		}
		fleet.AddBackend(backend.name, backendConfig)
		config.Listen = append(config.Listen, e.Addr(backend.index))
	}
	loop, err := eventloop.Start(ctx, config)
	if err != nil {
		return fmt.Errorf("emulate backends: %w", err)
	}
	e.loops = append(e.loops, loop)
	for _, backend := range backends {
		e.loopByBackend[backend.name] = loop
	}
	return nil
}

// startEndpointService starts the endpoint list service, unless this process plays another part than the first.
func (e *emulation) startEndpointService(ctx context.Context) error {
	if e.Part > 1 {
		return nil
	}
	list := fake.NewEndpointService(e.player.initialEndpoints(func(backend *participant) string { return e.Addr(backend.index) }))
	loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: list, Listen: []string{e.ListAddr()}, Clock: e.clock})
	if err != nil {
		return fmt.Errorf("emulate the endpoint service: %w", err)
	}
	e.endpointService = loop
	e.loops = append(e.loops, loop)
	return nil
}
