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

// fleetSize is the size of a fleet.
type fleetSize struct{ backends, frontEnds int }

// fleet is a coordinator process with its endpoint service, backends and front ends, which run in this process.
type fleet struct {
	clock     *eventloop.Clock
	dir       string // for the coordinator's settings and state
	serve     []string
	cmd       *exec.Cmd
	exited    chan struct{} // closed when cmd has ended
	endpoints *eventloop.Loop
	backends  *eventloop.Loop // nil if none is run
	frontEnds *eventloop.Loop

	mu      sync.Mutex
	records []trace.Record // since the last call of takeRecords
}

const (
	coordinatorName = "c0"
	settingsName    = coordinatorName + ".conf"
	noState         = "-"    // the coordinator persists nothing
	stateName       = "kept" // the folder of the coordinator's state, within that of the fleet
	loopbackAddr    = "127.0.0.1:0"
	unusedAddr      = "127.0.0.1:1" // of backends that are not run
	firstPort       = 12000         // of the coordinator
	ports           = 15000         // from which one is chosen by process ID
)

const settings = `instance c0
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

// startFleet starts a fleet whose coordinator persists nothing. serve is the command that runs a coordinator when the name of a settings
// file is added. rate is the RPCs a second of each front end; at 0, backends are in the list but are not run. The caller has to
// call stop.
func startFleet(ctx context.Context, serve []string, backends, frontEnds int, rate float64) (*fleet, error) {
	return startFleetWithState(ctx, serve, fleetSize{backends, frontEnds}, rate, noState)
}

// startFleetWithState starts a fleet whose coordinator persists its state in a folder, or noState.
func startFleetWithState(ctx context.Context, serve []string, size fleetSize, rate float64, state string) (started *fleet, err error) {
	started = &fleet{clock: eventloop.NewClock(), serve: serve}
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
	addr := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%ports)
	file := filepath.Join(started.dir, settingsName)
	text := fmt.Sprintf(settings, addr, started.endpoints.Addrs()[0], state, size.frontEnds)
	if err = os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	parsed, err := bootstrap.Read(file)
	if err != nil {
		return nil, err
	}
	if err = started.startCoordinator(); err != nil {
		return nil, err
	}
	if err = started.startFrontEnds(ctx, size.frontEnds, addr, rate, parsed); err != nil {
		return nil, err
	}
	return started, nil
}

// startEndpoints starts the backends, if they are run, and the endpoint service.
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

// startBackends starts a backend for each endpoint and fills in its address.
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

// startCoordinator starts the coordinator process. stop or restart ends it.
func (f *fleet) startCoordinator() error {
	cmd := exec.Command(f.serve[0], append(slices.Clone(f.serve[1:]), filepath.Join(f.dir, settingsName))...)
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a coordinator: %w", err)
	}
	exited := make(chan struct{})
	f.cmd, f.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // it is ended by a signal, which is no error here
		close(exited)
	}()
	return nil
}

// record keeps trace records, but for those of finished RPCs, which no figure needs.
func (f *fleet) record(records []trace.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if record.Kind != trace.RPCFinished {
			f.records = append(f.records, record)
		}
	}
}

// takeRecords returns what was recorded since the last call.
func (f *fleet) takeRecords() []trace.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	records := f.records
	f.records = nil
	return records
}

// stop ends all that was started, waits for it, and removes the fleet's folder.
func (f *fleet) stop() {
	for _, loop := range []*eventloop.Loop{f.frontEnds, f.backends, f.endpoints} {
		if loop != nil {
			loop.Stop()
			_ = loop.Wait() // the figures are taken by now
		}
	}
	if f.exited != nil {
		_ = f.cmd.Process.Signal(syscall.SIGTERM) // fails if it has exited already
		<-f.exited
	}
	_ = os.RemoveAll(f.dir) // a temporary folder: the system removes what remains
}
