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
	fleetEpoch     = 1e6 // when the simulated time begins, in seconds
	fleetZone      = "dc-kewdale"
	coordinators   = 2
	frontEnds      = 8
	fleetBackends  = 6
	endpointServer = "list" // the address of the endpoint service
)

// fleet is a simulated fleet whose endpoint list follows files.
type fleet struct {
	t        *testing.T
	network  *simnet.Network
	settings *bootstrap.Settings
	service  *Service // of the process that runs, or ran last
	records  []trace.Record
	rejected []error // of rejected files
}

// event is what happens to a fleet at a time in seconds from its start.
type event struct {
	at float64
	do func(f *fleet)
}

func fleetSettings(t *testing.T) *bootstrap.Settings {
	t.Helper()
	text, err := scenario.File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	lines, lexFaults := bootstrap.Lex("perth.conf", string(text))
	settings, parseFaults := bootstrap.Parse("perth.conf", lines)
	if len(lexFaults)+len(parseFaults) > 0 {
		t.Fatal(lexFaults, parseFaults)
	}
	return settings
}

// runFleet simulates a fleet for a time in seconds and fails the test if an invariant is violated.
func runFleet(t *testing.T, duration float64, events ...event) (*fleet, invariant.Report) {
	t.Helper()
	simulated := &fleet{t: t, settings: fleetSettings(t), network: simnet.New(3, fleetEpoch, 0.0003, 0.0006)}
	simulated.network.Trace = func(record trace.Record) { simulated.records = append(simulated.records, record) }
	simulated.addEndpointService()
	simulated.submit(makeBackends(fleetBackends, 1))
	simulated.addBackends()
	for i := range coordinators {
		simulated.addCoordinator(i)
	}
	for i := range frontEnds {
		simulated.addFrontEnd(i)
	}
	for _, e := range events {
		simulated.network.Schedule(fleetEpoch+e.at, func() { e.do(simulated) })
	}
	simulated.network.RunUntil(fleetEpoch + duration)
	if len(simulated.network.Failures) > 0 {
		t.Fatal(simulated.network.Failures)
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

// submit submits a file; it is applied in the next step, as on sockets.
func (f *fleet) submit(backends []endpointfile.Backend) {
	f.service.Submit(backends)
	f.network.SendCommand(endpointServer, "look")
}

func (f *fleet) addEndpointService() {
	f.network.AddNode(endpointServer, fleetZone, func(_ statemachine.Seconds, files map[string][]byte) statemachine.Machine {
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
	}, endpointServer)
	f.network.Start(endpointServer)
}

func (f *fleet) addBackends() {
	for i, backend := range makeBackends(fleetBackends, 1) {
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
		values["self"], values["coordinators"] = float64(i), float64(coordinators)
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
			Name: name, Zone: fleetZone, EndpointListAddr: endpointServer, ModuleConfig: config, HandshakeTimeout: 1, ProxyIdleTimeout: 10,
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
			Name: name, Zone: fleetZone, Coordinators: []string{fmt.Sprint("c", i%coordinators), fmt.Sprint("c", 1-i%coordinators)},
			Methods: fake.MethodConfigs(settings.Methods), Rate: 15, Policy: settings.PickPolicy, AvoidDuration: 5, AttemptTimeoutRatio: 0.8,
			ReportPeriod: 2, ConnectTimeout: 0.25, Seed: uint64(i) + 1,
		})
	})
	f.network.Start(name)
}

// The file loses a backend, the service is killed and restarted between two files, a file is truncated, a backend leaves and
// returns repeatedly, a coordinator is killed: all invariants hold, and hardly an RPC is lost.
func TestInvariantsHoldWhileFilesChange(t *testing.T) {
	submit := func(count int) func(*fleet) {
		return func(f *fleet) { f.submit(makeBackends(count, 1)) }
	}
	simulated, report := runFleet(t, 40,
		event{5, submit(5)},
		event{7, func(f *fleet) { f.network.Kill(endpointServer) }},
		event{10, func(f *fleet) { // the drain of the sixth backend ended meanwhile
			f.network.Start(endpointServer)
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
		t.Errorf("rejected: %v", simulated.rejected)
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

// A changed weight is pushed to proxies as changed entries of their tables, not as new tables.
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
		if count > tables { // one entry for each table
			t.Errorf("%s got the changed weight %d times", proxy, count)
		}
	}
}
