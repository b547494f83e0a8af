package endpointservice

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/endpointfile"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/scenario"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

const (
	fleetEpoch          = 1e6 // start of the simulated time in seconds
	fleetZone           = "dc-kewdale"
	coordinatorCount    = 2
	frontEndCount       = 8
	backendCount        = 6
	endpointServiceAddr = "list"
)

// fleet is a simulated fleet with an endpoint service that follows files.
type fleet struct {
	t        *testing.T
	network  *simnet.Network
	settings *bootstrap.Settings
	service  *Service // of the running process, or of the last one
	records  []trace.Record
	rejected []error // the errors of rejected files
}

// event is an action on a fleet at a time in seconds after its start.
type event struct {
	at     float64
	action func(f *fleet)
}

// fleetSettings returns the settings of the perth.conf scenario file.
func fleetSettings(t *testing.T) *bootstrap.Settings {
	t.Helper()
	text, err := scenario.File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	lines, lexFaults := bootstrap.Lex("perth.conf", string(text))
	settings, parseFaults := bootstrap.Parse("perth.conf", lines)
	if len(lexFaults)+len(parseFaults) > 0 {
		t.Fatalf("perth.conf has the faults %v %v", lexFaults, parseFaults)
	}
	return settings
}

// runFleet simulates a fleet with events for a duration in seconds. It fails the test if an invariant is violated.
func runFleet(t *testing.T, duration float64, events ...event) (*fleet, invariant.Report) {
	t.Helper()
	simulated := &fleet{t: t, settings: fleetSettings(t), network: simnet.New(3, fleetEpoch, 0.0003, 0.0006)}
	simulated.network.Trace = func(record trace.Record) { simulated.records = append(simulated.records, record) }
	simulated.addEndpointService()
	simulated.submit(makeBackends(backendCount, 1))
	simulated.addBackends()
	for i := range coordinatorCount {
		simulated.addCoordinator(i)
	}
	for i := range frontEndCount {
		simulated.addFrontEnd(i)
	}
	for _, e := range events {
		simulated.network.Schedule(fleetEpoch+e.at, func() { e.action(simulated) })
	}
	simulated.network.RunUntil(fleetEpoch + duration)
	if len(simulated.network.Failures) > 0 {
		t.Fatalf("state machines failed: %v", simulated.network.Failures)
	}
	report, err := invariant.Check(simulated.records, (&scenario.Scenario{Settings: simulated.settings}).Limits())
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range report.Rules {
		if rule.Violations > 0 {
			t.Errorf("rule %d at %.3f, %s: %s", rule.Rule, rule.FirstTime-fleetEpoch, rule.Party, rule.Reason)
		}
	}
	return simulated, report
}

// submit submits a file. As on an event loop, a step follows, in which the file is applied: the command causes the step, and its
// text is ignored.
func (f *fleet) submit(backends []endpointfile.Backend) {
	f.service.Submit(backends)
	f.network.SendCommand(endpointServiceAddr, "look")
}

func (f *fleet) addEndpointService() {
	f.network.AddNode(endpointServiceAddr, fleetZone, func(_ statemachine.Seconds, files map[string][]byte) statemachine.Machine {
		settings := endpointfile.Settings{DrainPeriod: 4, MaxLossShare: 0.5}
		service, err := New("list", fleetZone, settings, files[StateFile], func(_ int, err error) {
			if err != nil {
				f.rejected = append(f.rejected, err)
			}
		})
		if err != nil {
			f.t.Fatal(err)
		}
		f.service = service
		return newTracedService(service)
	}, endpointServiceAddr)
	f.network.Start(endpointServiceAddr)
}

func (f *fleet) addBackends() {
	for i, backend := range makeBackends(backendCount, 1) {
		f.network.AddNode(backend.Addr, fleetZone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return emulator.NewBackend(emulator.Config{
				Backend: backend.ID, Zone: fleetZone, Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.02}}, QueueLimit: 100, Seed: uint64(i),
			})
		}, backend.Addr)
		f.network.Start(backend.Addr)
	}
}

func (f *fleet) addCoordinator(i int) {
	name := fmt.Sprint("c", i)
	f.network.AddNode(name, fleetZone, func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
		config := f.settings.CoordinatorConfig(now)
		values := maps.Clone(f.settings.Values)
		values["self"], values["coordinators"] = float64(i), float64(coordinatorCount)
		config.Settings, config.Seed = choice.DecodeSettings(values), uint64(i)+1
		records, err := f.network.OpenStore(name)
		if err != nil {
			f.t.Fatal(err)
		}
		state, err := checkpoint.Decode(records)
		if err != nil {
			f.t.Fatal(err)
		}
		return coordinator.NewMachine(coordinator.Bootstrap{
			Name: name, Zone: fleetZone, EndpointListAddr: endpointServiceAddr, ModuleConfig: config, HandshakeTimeout: 1, ProxyIdleTimeout: 10,
			EndpointListIdleTimeout: 5, ProbeTimeout: 1, MaxStreams: 100, MaxProbes: 10,
		}, state)
	}, name)
	f.records = append(f.records, trace.Record{Time: fleetEpoch, Kind: trace.CoordinatorStarted, Party: name})
	f.network.Start(name)
}

func (f *fleet) addFrontEnd(i int) {
	settings := f.settings.CoordinatorConfig(0).Settings
	name := fmt.Sprint("f", i)
	f.network.AddNode(name, fleetZone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		return fake.NewFrontEnd(fake.FrontEndConfig{
			Name: name, Zone: fleetZone, Coordinators: []string{fmt.Sprint("c", i%coordinatorCount), fmt.Sprint("c", 1-i%coordinatorCount)},
			Methods: fake.MethodConfigs(settings.Methods), Rate: 15, Policy: settings.PickPolicy, AvoidDuration: 5, AttemptTimeoutRatio: 0.8,
			ReportPeriod: 2, ConnectTimeout: 0.25, Seed: uint64(i) + 1,
		})
	})
	f.network.Start(name)
}

// All invariants hold, no RPC is aborted and at least 97 % of the service is achieved while backends are removed from the file
// and return to it, the endpoint service restarts between two files, a file is truncated, and a coordinator is killed.
func TestInvariantsHoldWhileFilesChange(t *testing.T) {
	submit := func(count int) func(*fleet) {
		return func(f *fleet) { f.submit(makeBackends(count, 1)) }
	}
	simulated, report := runFleet(t, 40,
		event{5, submit(5)},
		event{7, func(f *fleet) { f.network.Kill(endpointServiceAddr) }},
		event{10, func(f *fleet) { // while the service was down, the drain of the sixth backend ended
			f.network.Start(endpointServiceAddr)
			f.submit(makeBackends(4, 1))
		}},
		event{16, submit(1)}, // truncated
		event{18, submit(5)},
		event{19, submit(4)},
		event{20, submit(5)},
		event{24, func(f *fleet) { f.network.Kill("c0") }},
		event{25, func(f *fleet) {
			f.network.Start("c0")
			f.submit(makeBackends(6, 1))
		}},
	)
	var loss *endpointfile.LossError
	if len(simulated.rejected) != 1 || !errors.As(simulated.rejected[0], &loss) || !strings.Contains(loss.Error(), "out of use") {
		t.Errorf("rejected files: %v, want one that takes too many backends out of use", simulated.rejected)
	}
	if report.Service.Share() < 0.97 || report.Service.Aborted > 0 {
		t.Errorf("service %.3f, %d aborted", report.Service.Share(), report.Service.Aborted)
	}
	drained := 0
	for _, record := range simulated.records {
		if record.Kind == trace.EndpointsDelivered && record.Coordinator != "" && strings.Contains(record.Text, "6:d:") {
			drained++
		}
	}
	if drained == 0 {
		t.Error("no coordinator was notified of the drain")
	}
}

// A changed weight is pushed to proxies as a changed entry of each of their tables, not as a new table.
func TestChangedWeightIsPushedAsEntry(t *testing.T) {
	const changedAt, until = fleetEpoch + 12, fleetEpoch + 14
	heavier := makeBackends(6, 1)
	heavier[2].Weight = 1.3
	simulated, _ := runFleet(t, 20, event{12, func(f *fleet) { f.submit(heavier) }})
	pushes := map[string]int{}
	for _, record := range simulated.records {
		if record.Kind != trace.PushApplied || record.Time < changedAt || record.Time > until {
			continue
		}
		if strings.Contains(record.Text, "bind") {
			t.Errorf("%s got a new table: %s", record.Party, record.Text)
		}
		if strings.Contains(record.Text, " 3:1.3") {
			pushes[record.Party]++
		}
	}
	if len(pushes) == 0 {
		t.Error("no proxy got the changed weight")
	}
	const tables = 2
	for proxy, count := range pushes {
		if count > tables { // one entry per table
			t.Errorf("%s got the changed weight %d times", proxy, count)
		}
	}
}
