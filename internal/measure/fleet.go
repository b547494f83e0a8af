package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/trace"
)

// fleetSize has the numbers of backends and front ends of a fleet.
type fleetSize struct{ backends, frontEnds int }

// fleet is a coordinator in a process of its own, with an endpoint service, backends and front ends, which run on event loops of
// this process.
type fleet struct {
	clock              *eventloop.Clock
	dir                string   // temporary folder of the coordinator's settings and state
	coordinatorCommand []string // command line that runs a coordinator if the path of a settings file is appended
	coordinator        *exec.Cmd
	coordinatorExited  chan struct{} // closed when the coordinator process has ended
	endpoints          *eventloop.Loop
	backends           *eventloop.Loop // nil if no backends run
	frontEnds          *eventloop.Loop

	mu      sync.Mutex     // guards records
	records []trace.Record // trace records since the last call of takeRecords
}

const (
	coordinatorName  = "c0"
	settingsFileName = coordinatorName + ".conf"
	noState          = "-"    // value of the setting `state` if the coordinator persists nothing
	stateFolderName  = "kept" // folder of the coordinator's state, relative to the settings file
	loopbackAddr     = "127.0.0.1:0"
	unusedAddr       = "127.0.0.1:1" // address of backends that are listed but do not run
	firstPort        = 12000         // lowest port of the coordinator
	portCount        = 15000         // number of ports from firstPort on, one of which is chosen by the process ID
)

const settingsTemplate = `instance c0
  zone a
  listen %s
  list-service %s
  state %s
  streams 20000
fleet
  zones a
  proxy-count %d
  warm-after 15s
  cold-share 28%%
  fall-multiple 2.5
  fall-window 1500ms
  drain-grace 2100ms
  bare-limit 3700ms
proxies
  pick pair
  strikes 5
  level-kind share
  report-period 2s
  push-time 5ms
  push-time-worst 340ms
channel
  room 400000
  pace 400000
  messages 30
method read
  effect idempotent
  criticality 1
  soft-deadline 1s
  deadline 2500ms
`

// startFleet starts a fleet whose coordinator persists nothing. coordinatorCommand is a command line that runs a coordinator if
// the path of a settings file is appended to it. rate is the RPCs per second of each front end; if it is 0, backends are in the
// endpoint list but do not run. The caller has to call stop.
func startFleet(ctx context.Context, coordinatorCommand []string, backends, frontEnds int, rate float64) (*fleet, error) {
	return startFleetWithState(ctx, coordinatorCommand, fleetSize{backends, frontEnds}, rate, noState)
}

// startFleetWithState is like startFleet, but the coordinator persists its state in the folder state, unless that is noState.
func startFleetWithState(ctx context.Context, coordinatorCommand []string, size fleetSize, rate float64, state string) (started *fleet, err error) {
	started = &fleet{clock: eventloop.NewClock(), coordinatorCommand: coordinatorCommand}
	defer func() {
		if err != nil {
			started.stop()
		}
	}()
	if started.dir, err = os.MkdirTemp("", "gingerfork-measure-"); err != nil {
		return nil, err
	}
	if err = started.startEndpoints(ctx, size.backends, rate); err != nil {
		return nil, err
	}
	coordinatorAddr := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portCount)
	settingsFile := filepath.Join(started.dir, settingsFileName)
	settingsText := fmt.Sprintf(settingsTemplate, coordinatorAddr, started.endpoints.Addrs()[0], state, size.frontEnds)
	if err = os.WriteFile(settingsFile, []byte(settingsText), 0o644); err != nil {
		return nil, err
	}
	parsed, err := bootstrap.Read(settingsFile)
	if err != nil {
		return nil, err
	}
	if err = started.startCoordinator(); err != nil {
		return nil, err
	}
	if err = started.startFrontEnds(ctx, size.frontEnds, coordinatorAddr, rate, parsed); err != nil {
		return nil, err
	}
	return started, nil
}

// startEndpoints starts the endpoint service and, if rate is above 0, the backends.
func (f *fleet) startEndpoints(ctx context.Context, count int, rate float64) (err error) {
	endpoints := make([]fake.Endpoint, 0, count)
	for i := range count {
		endpoints = append(endpoints, fake.Endpoint{
			Backend: proto.BackendID(i + 1), State: proto.BackendOpen, Zone: "a", Weight: 1, Incarnation: 1, Addr: unusedAddr,
		})
	}
	if rate > 0 {
		if err := f.startBackends(ctx, endpoints); err != nil {
			return err
		}
	}
	f.endpoints, err = eventloop.Start(ctx, eventloop.Bootstrap{
		Machine: fake.NewEndpointService(endpoints), Listen: []string{loopbackAddr}, Clock: f.clock, Trace: f.record,
	})
	return err
}

// startBackends starts a backend for each endpoint and sets the endpoint's address.
func (f *fleet) startBackends(ctx context.Context, endpoints []fake.Endpoint) (err error) {
	machine := fake.NewMultiplexer()
	listen := make([]string, 0, len(endpoints))
	for i, endpoint := range endpoints {
		machine.Add(fmt.Sprint("s", i), emulator.NewBackend(emulator.Config{
			Backend: endpoint.Backend, Cores: 8, Speed: 1, Work: []emulator.Work{{Mean: 0.008}}, QueueLimit: 100, Seed: uint64(endpoint.Backend),
		}), 1)
		listen = append(listen, loopbackAddr)
	}
	if f.backends, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: machine, Listen: listen, Clock: f.clock}); err != nil {
		return err
	}
	for i, addr := range f.backends.Addrs() {
		endpoints[i].Addr = addr
	}
	return nil
}

// startFrontEnds starts count front ends that connect to the address coordinator. parsed has the methods that they call.
func (f *fleet) startFrontEnds(ctx context.Context, count int, coordinator string, rate float64, parsed *bootstrap.Settings) (err error) {
	machine := fake.NewMultiplexer()
	for i := range count {
		machine.Add(fmt.Sprint("f", i), fake.NewFrontEnd(fake.FrontEndConfig{
			Name: fmt.Sprint("f", i), Zone: "a", Coordinators: []string{coordinator}, Rate: rate,
			Methods: fake.MethodConfigs(parsed.CoordinatorConfig(0).Settings.Methods), Policy: "pair", ReportPeriod: 2, ConnectTimeout: 2, Seed: uint64(i + 1),
		}), 0)
	}
	f.frontEnds, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: machine, Clock: f.clock, Trace: f.record})
	return err
}

// startCoordinator starts the coordinator process, which stop or restart ends.
func (f *fleet) startCoordinator() error {
	process := exec.Command(f.coordinatorCommand[0], append(slices.Clone(f.coordinatorCommand[1:]), filepath.Join(f.dir, settingsFileName))...)
	process.Stderr = io.Discard
	if err := process.Start(); err != nil {
		return fmt.Errorf("start the coordinator: %w", err)
	}
	exited := make(chan struct{})
	f.coordinator, f.coordinatorExited = process, exited
	go func() {
		_ = process.Wait() // the process is ended by a signal, which is not an error here
		close(exited)
	}()
	return nil
}

// record stores trace records. It drops those of finished RPCs, which no measurement uses.
func (f *fleet) record(records []trace.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if record.Kind != trace.RPCFinished {
			f.records = append(f.records, record)
		}
	}
}

// takeRecords returns the records that were stored since the last call.
func (f *fleet) takeRecords() []trace.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	records := f.records
	f.records = nil
	return records
}

// stop ends everything that was started, waits for it, and removes the fleet's folder.
func (f *fleet) stop() {
	for _, loop := range []*eventloop.Loop{f.frontEnds, f.backends, f.endpoints} {
		if loop != nil {
			loop.Stop()
			_ = loop.Wait() // an error no longer matters: the measurement is complete
		}
	}
	if f.coordinatorExited != nil {
		_ = f.coordinator.Process.Signal(syscall.SIGTERM) // fails if it has exited already
		<-f.coordinatorExited
	}
	_ = os.RemoveAll(f.dir) // errors are ignored: the operating system cleans up temporary folders
}
