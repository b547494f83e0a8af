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

// simulationEpoch is the virtual time in seconds at which the simulation starts.
const simulationEpoch = 1e6

// Periods in seconds whose attempts are not counted: the start-up of the simulation, and the time after the commands in which a
// drain may still be in progress.
const (
	startUp    = 3
	drainGrace = 1
)

// poolSimulation runs an imported pool in virtual time, with a coordinator that has the imported settings, an endpoint service
// that has the imported list, emulated backends and front ends.
type poolSimulation struct {
	network *simnet.Network
	pool    Pool
	nodes   []string          // in the order in which they start
	names   map[uint32]string // server names by backend number
}

// simulatePool runs a pool for a number of seconds and sends commands to the endpoint service halfway between the end of the
// start-up and the end. It returns the number of first attempts to each server, by name, before and after the commands.
func simulatePool(t *testing.T, pool Pool, seconds float64, commands ...string) (before, after map[string]int) {
	t.Helper()
	lines, faults := bootstrap.Lex("out.conf", pool.Settings(nil))
	settings, parseFaults := bootstrap.Parse("out.conf", lines)
	if len(faults)+len(parseFaults) > 0 {
		t.Fatalf("faults in the settings of pool %s: %v %v", pool.Name, faults, parseFaults)
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
		t.Fatalf("state machines failed: %v", simulation.network.Failures)
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

// addCoordinator adds a coordinator with the given module settings.
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

// addFrontEnds adds 12 front ends, each of which sends 60 RPCs per second.
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

// chiSquare returns the chi-square statistic of the RPC counts against the weights, its degrees of freedom and the number of RPCs.
// It reports an error if a server without a weight got an RPC.
func chiSquare(t *testing.T, counts map[string]int, weights map[string]int) (statistic float64, freedom, total int) {
	t.Helper()
	totalWeight := 0
	for name, count := range counts {
		total += count
		if weights[name] == 0 {
			t.Errorf("got %d RPCs at server %q, want none", count, name)
		}
	}
	for _, weight := range weights {
		totalWeight += weight
	}
	for name, weight := range weights {
		if weight > 0 {
			want := float64(total) * float64(weight) / float64(totalWeight)
			statistic += (float64(counts[name]) - want) * (float64(counts[name]) - want) / want
			freedom++
		}
	}
	return statistic, freedom - 1, total
}

// TestTrafficFollowsWeights checks that traffic is split in proportion to the weights in the imported files, by a chi-square test
// with a significance level of 0.001 (limits of 16.3, 18.5 and 20.5 for 3, 4 and 5 degrees of freedom). Each pool fits into one
// arc, so that every proxy has all servers of the pool.
func TestTrafficFollowsWeights(t *testing.T) {
	limits := map[int]float64{1: 10.8, 2: 13.8, 3: 16.3, 4: 18.5, 5: 20.5} // by degrees of freedom
	check := func(name string, counts, weights map[string]int) {
		statistic, freedom, n := chiSquare(t, counts, weights)
		t.Logf("%s: chi-square %.1f with %d degrees of freedom over %d RPCs", name, statistic, freedom, n)
		if n < 4000 || statistic > limits[freedom] || math.IsNaN(statistic) {
			t.Errorf("%s: chi-square %.1f with %d degrees of freedom over %d RPCs, want at most %.1f over at least 4000: counts %v for weights %v",
				name, statistic, freedom, n, limits[freedom], counts, weights)
		}
	}
	text := "backend a\nserver s1 h:1 weight 1\nserver s2 h:2 weight 16\nserver s3 h:3 weight 100\nserver s4 h:4 weight 256\nserver s5 h:5 weight 31\n" +
		"server off h:6 weight 200 disabled\nserver spare h:7 weight 200 backup\nserver slow h:8 weight 0\n"
	got := read(text)
	if len(got.Faults) > 0 {
		t.Fatalf("got faults %v, want none", got.Faults)
	}
	pool := got.Pools[0]
	numbers := pool.ServerNumbers()
	weights := map[string]int{"s1": 1, "s2": 16, "s3": 100, "s4": 256, "s5": 31}
	before, after := simulatePool(t, pool, 23, fmt.Sprintf("state %d draining", numbers["s4"]))
	check("weights from 1 to 256", before, weights)
	delete(weights, "s4")
	check("after the server with the highest weight began to drain", after, weights)

	got = read("backend b\noption allbackups\nserver a h:1 disabled\nserver b h:2 backup weight 10\nserver c h:3 backup weight 30\n")
	before, _ = simulatePool(t, got.Pools[0], 23)
	check("backups only", before, map[string]int{"b": 10, "c": 30})
	before, after = simulatePool(t, got.Pools[0], 23, fmt.Sprintf("weight %d 10", got.Pools[0].ServerNumbers()["c"]))
	check("before a weight changed", before, map[string]int{"b": 10, "c": 30})
	check("after a weight changed", after, map[string]int{"b": 10, "c": 10})
}
