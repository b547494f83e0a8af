package haproxy

import (
	"fmt"
	"math"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// simulationEpoch is the time at which the simulation starts, in seconds.
const simulationEpoch = 1e6

// Seconds of the simulation: the start-up that is not counted, and what a drain may take before counting goes on.
const (
	startUp    = 3
	drainGrace = 1
)

// poolSimulation runs an imported pool in virtual time: a coordinator with the imported settings, an endpoint service with
// the imported list, emulated backends and front ends.
type poolSimulation struct {
	network *simnet.Network
	pool    Pool
	nodes   []string // in the order in which they start
	names   map[uint32]string
}

// simulatePool runs a pool for some seconds and sends commands to the endpoint service at half time. It returns the number
// of first attempts by server's name before and after that.
func simulatePool(t *testing.T, pool Pool, seconds float64, commands ...string) (before, after map[string]int) {
	t.Helper()
	lines, faults := bootstrap.Lex("out.conf", pool.Settings(nil))
	settings, more := bootstrap.Parse("out.conf", lines)
	if len(faults)+len(more) > 0 {
		t.Fatal(faults, more)
	}
	simulation := &poolSimulation{network: simnet.New(5, simulationEpoch, 0.0003, 0.0006), pool: pool, names: map[uint32]string{}}
	half := simulationEpoch + startUp + (seconds-startUp)/2
	before, after = map[string]int{}, map[string]int{}
	simulation.network.Trace = func(record trace.Record) {
		if record.Kind != trace.AttemptSent || record.Count != 1 || record.Time < simulationEpoch+startUp {
			return
		}
		switch name := simulation.names[record.Backend]; {
		case record.Time < half:
			before[name]++
		case record.Time > half+drainGrace:
			after[name]++
		}
	}
	simulation.nodes = []string{"list", "c0"}
	simulation.addBackends()
	simulation.addCoordinator(settings.CoordinatorConfig)
	simulation.addFrontEnds(settings.CoordinatorConfig(0))
	for _, name := range simulation.nodes {
		simulation.network.Start(name)
	}
	simulation.network.RunUntil(half)
	for _, command := range commands {
		simulation.network.SendCommand("list", command)
	}
	simulation.network.RunUntil(simulationEpoch + seconds)
	if len(simulation.network.Failures) > 0 {
		t.Fatal(simulation.network.Failures)
	}
	return before, after
}

// addBackends adds an emulated backend for each listed server, and the endpoint service that lists them.
func (s *poolSimulation) addBackends() {
	var endpoints []fake.Endpoint
	numbers := s.pool.ServerNumbers()
	for _, server := range s.pool.ListedServers() {
		backend := numbers[server.Name]
		s.names[backend] = server.Name
		s.nodes = append(s.nodes, server.Name)
		state := proto.BackendOpen
		if server.State == Draining {
			state = proto.BackendDraining
		}
		endpoints = append(endpoints, fake.Endpoint{
			Backend: backend, State: state, Zone: "imported", Weight: float64(max(1, server.Weight)), Addr: server.Name, Incarnation: 1,
		})
		s.network.AddNode(server.Name, "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return emulator.NewBackend(emulator.Config{
				Backend: backend, Zone: "imported", Cores: 64, Speed: 1, Work: []emulator.Work{{Mean: 0.002}}, QueueLimit: 1000, Seed: uint64(backend),
			})
		}, server.Name)
	}
	s.network.AddNode("list", "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		return fake.NewEndpointService(endpoints)
	}, "list")
}

func (s *poolSimulation) addCoordinator(configAt func(statemachine.Seconds) choice.Config) {
	s.network.AddNode("c0", "imported", func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
		config := configAt(now)
		config.Seed = 3
		return coordinator.NewMachine(coordinator.Bootstrap{
			Name: "c0", Zone: "imported", EndpointListAddr: "list", ModuleConfig: config, HandshakeTimeout: 1, ProxyIdleTimeout: 10,
			EndpointListIdleTimeout: 5, ProbeTimeout: 1, MaxStreams: 100, MaxProbes: 10,
		}, nil)
	}, "c0")
}

func (s *poolSimulation) addFrontEnds(config choice.Config) {
	methods := fake.MethodConfigs(config.Settings.Methods)
	for i := range 12 {
		name := fmt.Sprint("f", i)
		s.network.AddNode(name, "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return fake.NewFrontEnd(fake.FrontEndConfig{
				Name: name, Zone: "imported", Coordinators: []string{"c0"}, Methods: methods, Rate: 60,
				Policy: config.Settings.PickPolicy, AvoidDuration: 5, ReportPeriod: 2, ConnectTimeout: 0.25, Seed: uint64(i) + 1,
			})
		})
		s.nodes = append(s.nodes, name)
	}
}

// chiSquare is the chi-square statistic of counts against weights, with its degrees of freedom and the number of RPCs. A
// server without a weight must get none.
func chiSquare(t *testing.T, counts map[string]int, weights map[string]int) (x float64, freedom, n int) {
	t.Helper()
	sum := 0
	for name, c := range counts {
		n += c
		if weights[name] == 0 {
			t.Errorf("%d RPCs went to %q, which is to get none", c, name)
		}
	}
	for _, w := range weights {
		sum += w
	}
	for name, w := range weights {
		if w > 0 {
			want := float64(n) * float64(w) / float64(sum)
			x += (float64(counts[name]) - want) * (float64(counts[name]) - want) / want
			freedom++
		}
	}
	return x, freedom - 1, n
}

// TestTrafficFollowsWeights checks that traffic is split as the files declare: chi-square at an error of 0.001 (16.3, 18.5 and 20.5 for 3, 4 and 5 degrees of freedom).
// The pools fit into one arc each, so that every proxy has all of a pool's servers.
func TestTrafficFollowsWeights(t *testing.T) {
	limit := map[int]float64{1: 10.8, 2: 13.8, 3: 16.3, 4: 18.5, 5: 20.5}
	check := func(what string, counts, weights map[string]int) {
		x, f, n := chiSquare(t, counts, weights)
		t.Logf("%s: chi-square %.1f of %d degrees over %d RPCs", what, x, f, n)
		if n < 4000 || x > limit[f] || math.IsNaN(x) {
			t.Errorf("%s: chi-square %.1f of %d degrees over %d RPCs: %v for weights %v", what, x, f, n, counts, weights)
		}
	}
	text := "backend a\nserver s1 h:1 weight 1\nserver s2 h:2 weight 16\nserver s3 h:3 weight 100\nserver s4 h:4 weight 256\nserver s5 h:5 weight 31\n" +
		"server off h:6 weight 200 disabled\nserver spare h:7 weight 200 backup\nserver slow h:8 weight 0\n"
	got := read(text)
	if len(got.Faults) > 0 {
		t.Fatal(got.Faults)
	}
	p := got.Pools[0]
	numbers := p.ServerNumbers()
	weights := map[string]int{"s1": 1, "s2": 16, "s3": 100, "s4": 256, "s5": 31}
	before, after := simulatePool(t, p, 23, fmt.Sprintf("state %d draining", numbers["s4"]))
	check("weights from 1 to 256", before, weights)
	delete(weights, "s4")
	check("after the heaviest began to drain", after, weights)

	got = read("backend b\noption allbackups\nserver a h:1 disabled\nserver b h:2 backup weight 10\nserver c h:3 backup weight 30\n")
	before, _ = simulatePool(t, got.Pools[0], 23)
	check("backups alone", before, map[string]int{"b": 10, "c": 30})
	before, after = simulatePool(t, got.Pools[0], 23, fmt.Sprintf("weight %d 10", got.Pools[0].ServerNumbers()["c"]))
	check("before a weight changes", before, map[string]int{"b": 10, "c": 30})
	check("after it did", after, map[string]int{"b": 10, "c": 10})
}
