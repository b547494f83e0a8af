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

// epoch is the virtual time at which a scenario starts, in seconds. Any would do; one that is not 0 shows code that takes 0
// for "never".
const epoch = 1e6

// Result is the outcome of a scenario.
type Result struct {
	Scenario         *Scenario
	Report           invariant.Report
	Records          []trace.Record
	Failures         []string                     // of state machines: defects of the program, whatever the rules say
	MachineSteps     int                          // of all state machines, in virtual time
	Truth            *GroundTruth                 // nil unless Options.SampleTruth
	DuplicateEffects []emulator.RepeatedExecution // RPCs that took effect twice, by the backends' own ledger
}

// newResult sorts what was recorded by time and checks it.
func newResult(scenario *Scenario, records []trace.Record, failures []string) (Result, error) {
	slices.SortStableFunc(records, func(a, b trace.Record) int { return cmp.Compare(a.Time, b.Time) })
	report, err := invariant.Check(records, scenario.Limits())
	return Result{Scenario: scenario, Report: report, Records: records, Failures: failures}, err
}

// Options of a scenario in virtual time; the zero value plays it as it is.
type Options struct {
	Log func(t statemachine.Seconds, node string, n statemachine.LogEntry)
	// WrapCoordinator may put another state machine in a coordinator's place, such as one with a deliberate fault.
	WrapCoordinator func(name string, m statemachine.Machine) statemachine.Machine
	// Overrides are given to coordinators in place of the settings' own values.
	Overrides   map[string]any
	Tables      TableSource
	SampleTruth bool // the backends' true state is sampled
}

// virtualRun is a scenario that plays in virtual time.
type virtualRun struct {
	*player
	options Options
	network *simnet.Network
	frozen  *fake.TableFreezer // of FrozenTables
	records []trace.Record
}

// PlayVirtual plays a scenario in virtual time. Its error is one of the trace or of the settings; faults of the program and
// violations of the rules are in the result.
func PlayVirtual(scenario *Scenario, options Options) (Result, error) {
	run := &virtualRun{
		player: newPlayer(scenario), options: options, frozen: &fake.TableFreezer{FreezeAt: epoch + FreezeDelay},
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
	result.Truth, result.DuplicateEffects, result.MachineSteps = truth, run.ledger.Repeated, run.network.Steps
	return result, err
}

// addNodes adds all participants to the network; each listens at its own name.
func (r *virtualRun) addNodes() {
	ownName := func(p *participant) string { return p.name }
	store, coordinatorNames := r.newIdempotencyStore(), names(r.coordinators)
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

// newCoordinator makes the next incarnation of a coordinator, or of what stands in its place.
func (r *virtualRun) newCoordinator(target *participant, now statemachine.Seconds) statemachine.Machine {
	config := r.coordinatorConfig(target, now, endpointService)
	if r.options.Tables == AllBackends {
		return fake.NewBaselineCoordinator(target.name, endpointService, r.scenario.Settings.Methods, config.ModuleConfig.Settings.ReportPeriod.Or(1))
	}
	kept, err := r.checkpoint(target.name)
	if err != nil {
		r.network.Failures = append(r.network.Failures, fmt.Sprintf("%s: %v", target.name, err))
	}
	machine := statemachine.Machine(coordinator.NewMachine(config, kept))
	if r.options.Tables == FrozenTables {
		machine = r.frozen.Wrap(machine)
	}
	if r.options.WrapCoordinator != nil {
		machine = r.options.WrapCoordinator(target.name, machine)
	}
	return machine
}

// checkpoint opens a node's store and reads what its earlier incarnation left.
func (r *virtualRun) checkpoint(name string) (*checkpoint.State, error) {
	records, err := r.network.OpenStore(name)
	if err != nil {
		return nil, err
	}
	return checkpoint.Decode(records)
}
