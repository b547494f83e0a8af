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

// Ports that an emulated fleet may use.
const (
	minPort = 1024
	maxPort = 65535
)

// ErrLoopEnded is returned by Emulation.Run when an event loop ended by itself.
var ErrLoopEnded = errors.New("a part of the fleet ended by itself")

// PortRangeError is returned by Emulation.Check when the fleet's ports would leave the permitted range.
type PortRangeError struct {
	Port     int // of the endpoint list service
	Backends int
}

func (e *PortRangeError) Error() string {
	return fmt.Sprintf("ports from %d on do not hold a list service and %d servers", e.Port, e.Backends)
}

// UnknownPartError is returned by Emulation.Check when the part to play is not one of the parts.
type UnknownPartError struct {
	Part, Parts int
}

func (e *UnknownPartError) Error() string {
	return fmt.Sprintf("part %d of %d does not exist", e.Part, e.Parts)
}

// Emulation is a scenario's backends and endpoint list service on the loopback address, for coordinators and proxies that the
// user runs. It may be spread over processes: each plays a part of the backends, the first one the endpoint list service, too.
type Emulation struct {
	Scenario    *Scenario
	Port        int                       // of the endpoint list service; backends have those behind it
	Part, Parts int                       // from 1; 0: all in this process
	EventLoops  int                       // that the backends are spread over; 0: one
	OnTally     func(emulator.FleetStats) // is called with the figures of each second
	OnStep      func(text string)         // is called with each step
	Trace       func([]trace.Record)
}

// ListAddr is where the endpoint list service listens.
func (e Emulation) ListAddr() string { return loopbackAddress(e.Port) }

// Addr is where a backend listens.
func (e Emulation) Addr(backend int) string { return loopbackAddress(e.Port + 1 + backend) }

// needsMoreThanFleet tells whether a step needs links, coordinators or proxies, which an emulated fleet does not have.
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

// Check returns a bootstrap.Faults with the steps that cannot be emulated, a *PortRangeError or a *NoPartError.
func (e Emulation) Check() error {
	var faults bootstrap.Faults
	for _, step := range e.Scenario.Steps {
		if needsMoreThanFleet(step) {
			faults = append(faults, step.Source.Fault(
				"%s %s is not in an emulated fleet's hands: play the day by rehearse, or take the line out", step.Verb, step.Target))
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

// Run plays the emulation until the scenario or ctx ends.
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
		Emulation: e, player: newPlayer(e.Scenario), clock: eventloop.NewClock(), owner: map[string]*eventloop.Loop{},
		tallies: map[int]pendingTally{},
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

// ownBackends are the backends of this process's part.
func (e *emulation) ownBackends() []*participant {
	var own []*participant
	for i, backend := range e.player.backends {
		if e.Parts == 0 || i%e.Parts == e.Part-1 {
			own = append(own, backend)
		}
	}
	return own
}

// startBackends spreads the backends of this part over event loops.
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

// startLoop starts an event loop with some backends.
func (e *emulation) startLoop(ctx context.Context, backends []*participant, store *emulator.IdempotencyKeyStore) error {
	fleet := emulator.NewFleet(e.addTally)
	config := eventloop.Bootstrap{Machine: fleet, Clock: e.clock, Trace: e.Trace}
	for _, backend := range backends {
		backendConfig := e.player.backendConfig(backend, store)
		if e.loopCount > 1 || e.Parts > 1 {
			// What belongs to one loop or process cannot be seen by another.
			backendConfig.Executions = nil
			backendConfig.IdempotencyKeys = &emulator.IdempotencyKeyStore{Scope: e.Scenario.IdempotencyScope, Window: store.Window}
		}
		fleet.AddBackend(backend.name, backendConfig)
		config.Listen = append(config.Listen, e.Addr(backend.index))
	}
	loop, err := eventloop.Start(ctx, config)
	if err != nil {
		return fmt.Errorf("emulate servers: %w", err)
	}
	e.loops = append(e.loops, loop)
	for _, backend := range backends {
		e.owner[backend.name] = loop
	}
	return nil
}

// startEndpointService starts the endpoint list service, in the first part.
func (e *emulation) startEndpointService(ctx context.Context) error {
	if e.Part > 1 {
		return nil
	}
	list := fake.NewEndpointService(e.player.initialEndpoints(func(backend *participant) string { return e.Addr(backend.index) }))
	loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: list, Listen: []string{e.ListAddr()}, Clock: e.clock})
	if err != nil {
		return fmt.Errorf("emulate the list service: %w", err)
	}
	e.endpointService = loop
	e.loops = append(e.loops, loop)
	return nil
}
