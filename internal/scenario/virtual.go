package scenario

import (
	"cmp"
	"fmt"
	"slices"

	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// epoch is the virtual time at which a scenario starts, in seconds. Any value would do; one that is not 0 reveals code that
// takes 0 for "never".
const epoch = 1e6

// Result is the outcome of a scenario.
type Result struct {
	Scenario         *Scenario
	Report           invariant.Report
	Records          []trace.Record               // the trace, sorted by time
	Failures         []string                     // failed state machines and processes: defects of the program, apart from any violated rule
	MachineSteps     int                          // steps of all state machines; 0 on sockets
	Truth            *GroundTruth                 // samples of the backends; nil unless Options.SampleTruth is set
	DuplicateEffects []emulator.RepeatedExecution // RPCs that took effect twice, by the backends' own log; nil on sockets
}

// newResult sorts the records by time and checks them against the rules.
func newResult(scenario *Scenario, records []trace.Record, failures []string) (Result, error) {
	slices.SortStableFunc(records, func(a, b trace.Record) int { return cmp.Compare(a.Time, b.Time) })
	report, err := invariant.Check(records, scenario.Limits())
	return Result{Scenario: scenario, Report: report, Records: records, Failures: failures}, err
}

// Options change how a scenario is played in virtual time. The zero value plays it unchanged.
type Options struct {
	// Log, if set, is called with each log entry of a participant.
	Log func(now statemachine.Seconds, node string, entry statemachine.LogEntry)
	// WrapCoordinator, if set, returns the state machine that runs in place of a coordinator's, such as one with a deliberate fault.
	WrapCoordinator func(name string, coordinator statemachine.Machine) statemachine.Machine
	// Overrides are values that coordinators get in place of those in the settings.
	Overrides map[string]any
	Tables    TableSource
	// SampleTruth stores samples of the capacity, utilization and queue length of the emulated backends in Result.Truth, one for
	// each SampleInterval of virtual time. They are read from the backends themselves; what coordinators believe may differ.
	SampleTruth bool
}

// virtualRun is a run of a scenario in virtual time.
type virtualRun struct {
	*player
	options Options
	network *simnet.Network
	freezer *fake.TableFreezer // freezes the tables if the run's TableSource is FrozenTables
	records []trace.Record
}

// PlayVirtual plays a scenario in virtual time. It returns an error if the trace cannot be checked; defects of the program and
// violations of rules are in the result.
func PlayVirtual(scenario *Scenario, options Options) (Result, error) {
	run := &virtualRun{
		player: newPlayer(scenario), options: options, freezer: &fake.TableFreezer{FreezeAt: epoch + FreezeDelay},
		network: simnet.New(scenario.Seed, epoch, scenario.ZoneLatency, scenario.CrossZoneLatency),
	}
	run.overrides, run.env = options.Overrides, run.network
	run.record = func(record trace.Record) { run.records = append(run.records, record) }
	run.network.Trace, run.network.Log = run.record, options.Log
	run.addNodes()
	run.start()
	var truth *GroundTruth
	if options.SampleTruth {
		truth = &GroundTruth{}
		run.sampleBackends(run.network, truth)
	}
	run.network.RunUntil(epoch + scenario.Duration)
	result, err := newResult(scenario, run.records, run.network.Failures)
	result.Truth, result.DuplicateEffects, result.MachineSteps = truth, run.executionLog.Repeated, run.network.Steps
	return result, err
}

// addNodes adds all participants to the network. Each of them except proxies listens at its own name.
func (r *virtualRun) addNodes() {
	ownName := func(p *participant) string { return p.name }
	store, coordinatorNames := r.newIdempotencyStore(), participantNames(r.coordinators)
	r.network.AddNode(endpointService, r.byName[endpointService].zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		return fake.NewEndpointService(r.initialEndpoints(ownName))
	}, endpointService)
	for _, backend := range r.backends {
		r.network.AddNode(backend.name, backend.zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return r.newBackend(backend, store)
		}, backend.name)
	}
	for _, target := range r.coordinators {
		r.network.AddNode(target.name, target.zone, func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
			return r.newCoordinator(target, now)
		}, target.name)
	}
	for _, proxy := range r.proxies {
		r.network.AddNode(proxy.name, proxy.zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return r.newProxy(proxy, coordinatorNames)
		})
	}
}

// newCoordinator makes the state machine of a coordinator's next process, or of what the options put in its place.
func (r *virtualRun) newCoordinator(target *participant, now statemachine.Seconds) statemachine.Machine {
	config := r.coordinatorConfig(target, now, endpointService)
	if r.options.Tables == AllBackends {
		return fake.NewBaselineCoordinator(target.name, endpointService, r.scenario.Settings.Methods, config.ModuleConfig.Settings.ReportPeriod.Or(1))
	}
	restored, err := r.checkpoint(target.name)
	if err != nil {
		r.network.Failures = append(r.network.Failures, fmt.Sprintf("%s: %v", target.name, err))
	}
	machine := statemachine.Machine(coordinator.NewMachine(config, restored))
	if r.options.Tables == FrozenTables {
		machine = r.freezer.Wrap(machine)
	}
	if r.options.WrapCoordinator != nil {
		machine = r.options.WrapCoordinator(target.name, machine)
	}
	return machine
}

// checkpoint opens a node's store and reads the checkpoint that its earlier process left.
func (r *virtualRun) checkpoint(name string) (*checkpoint.State, error) {
	records, err := r.network.OpenStore(name)
	if err != nil {
		return nil, err
	}
	return checkpoint.Decode(records)
}
