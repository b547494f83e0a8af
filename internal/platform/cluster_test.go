package platform

import (
	"fmt"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
)

// testSettings returns settings of the decision module with two zones and two methods, for the given numbers of proxies and
// coordinators.
func testSettings(proxies, coordinators int) map[string]any {
	return map[string]any{
		"listing": "asked", "ask_within": 10.0, "cold_share": 0.3, "warm_after": 10.0, "drain_grace": 2.0, "fall_multiple": 2.5,
		"channel_room": 20000.0, "channel_pace": 10000.0, "message_lines": 10.0, "messages": 30.0, "messages_span": 10.0, "push_time": 0.1,
		"push_time_worst": 0.3, "proxies": float64(proxies), "level_kind": "none", "report_period": 1.0, "probes": true, "try_wait": 0.8, "tick": 0.004,
		"zone": "a", "zones.0": "a", "zones.1": "b", "method.n": 2.0, "method.0.name": "read", "method.0.effect": "idempotent", "pick": "pair", "strikes": 5.0,
		"method.0.soft_deadline": 1.0, "method.0.criticality": 1.0, "method.1.name": "submit", "method.1.effect": "non-idempotent", "bare_limit": 3.7,
		"method.1.soft_deadline": 1.0, "method.1.criticality": 2.0, "coordinators": float64(coordinators),
	}
}

// testCluster is a simulated network with two coordinators (c0 and c1), discovery and a fleet of proxies.
type testCluster struct {
	t          *testing.T
	network    *simnet.Network
	discovery  *fakeDiscovery
	fleet      *fakeFleet
	nodes      []*Machine
	everListed map[string]bool // names of all backends that were ever listed
}

// newTestCluster returns a running cluster whose backends are named s-0000, s-0001 and so on. The seed determines the random
// choices of the network and of the decision modules.
func newTestCluster(t *testing.T, seed uint64, backends, proxies int) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t, network: simnet.New(seed, 1000, 0.0005, 0.002), discovery: newFakeDiscovery(),
		everListed: map[string]bool{}, nodes: make([]*Machine, 2),
	}
	cluster.fleet = newFakeFleet(t, proxies, func(backend string) bool { return cluster.everListed[backend] }, "c0:1", "c1:1")
	for i := range backends {
		cluster.setBackend(fmt.Sprintf("s-%04d", i), "active", 0)
	}
	cluster.network.AddNode("disco", "a", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return cluster.discovery },
		"disco:1", "disco:2", "servers")
	for i := range cluster.nodes {
		cluster.addNode(i, seed, proxies)
	}
	cluster.network.AddNode("fleet", "b", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return cluster.fleet })
	for _, name := range []string{"disco", "c0", "c1", "fleet"} {
		cluster.network.Start(name)
	}
	return cluster
}

// addNode adds a coordinator to the network.
func (c *testCluster) addNode(number int, seed uint64, proxies int) {
	name := fmt.Sprint("c", number)
	c.network.AddNode(name, "a", func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
		m, err := New(Bootstrap{
			Name: name, Discovery: "disco:1", MaxConnections: 4 * proxies, MaxProbes: 4, MaxResponseBytes: 1 << 20, HandshakeTimeout: 1,
			Module: choice.Config{Seed: seed, Now: now, Settings: choice.DecodeSettings(testSettings(proxies, 2))},
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.nodes[number] = m
		return m
	}, name+":1")
}

// setBackend adds or changes a backend in discovery's list. startedAt is the start time of its process in seconds.
func (c *testCluster) setBackend(backend, health string, startedAt float64) {
	c.everListed[backend] = true
	c.fleet.healthyBackends[backend] = true
	c.discovery.set(backend, health, startedAt)
	if c.network.Running("disco") {
		c.network.SendCommand("disco", "changed")
	}
}

// listAllActive lists all backends that are draining or have left as active again, with restarted processes.
func (c *testCluster) listAllActive() {
	for name, host := range c.discovery.hosts {
		if host.health != "active" {
			c.setBackend(name, "active", c.network.Now())
		}
	}
}

// run lets the simulated network run for a duration, and fails the test if a node has failed.
func (c *testCluster) run(duration statemachine.Seconds) {
	c.t.Helper()
	c.network.RunUntil(c.network.Now() + duration)
	if len(c.network.Failures) > 0 {
		c.t.Fatal(c.network.Failures)
	}
}

// checkTables checks that all proxies are joined, and that each one holds exactly what its coordinator has sent.
func (c *testCluster) checkTables() {
	c.t.Helper()
	joined := 0
	for i, node := range c.nodes {
		if !c.network.Running(fmt.Sprint("c", i)) {
			continue
		}
		for _, s := range node.streams {
			if s != nil {
				joined++
				c.checkStream(i, s)
			}
		}
	}
	if joined != len(c.fleet.proxies) {
		c.t.Errorf("%d of %d proxies are joined", joined, len(c.fleet.proxies))
	}
}

// checkStream checks that the proxy of a stream holds what the coordinator with the given number has sent, and that no
// acknowledgement is missing.
func (c *testCluster) checkStream(number int, checked *stream) {
	c.t.Helper()
	node, proxy := c.nodes[number], c.fleet.proxies[checked.proxy]
	weights, excluded := map[string]float64{}, map[string]bool{}
	for _, op := range node.distributor.BoundTables(checked.subscriber) {
		c.checkAdmissions(node, proxy, op.Admissions)
		for _, entry := range op.Entries {
			backend := node.endpoints.backends[entry.Backend].name
			weights[backend] = entry.Weight
			excluded[backend] = entry.Excluded
		}
	}
	if proxy.coordinator != number || !proxy.joined {
		c.t.Errorf("c%d counts proxy %d as joined, but the proxy is not joined there", number, proxy.number)
	}
	if len(weights) != len(proxy.weights) {
		c.t.Errorf("proxy %d holds the weights %v, c%d has sent %v", proxy.number, proxy.weights, number, weights)
	}
	for backend, weight := range weights {
		if difference := proxy.weights[backend] - weight; difference > 1e-5 || difference < -1e-5 || proxy.excluded[backend] != excluded[backend] {
			c.t.Errorf("proxy %d holds backend %s with weight %v (excluded: %v), c%d has sent weight %v (excluded: %v)", proxy.number, backend, proxy.weights[backend],
				proxy.excluded[backend], number, weight, excluded[backend])
		}
	}
	if len(checked.inFlight) > 0 {
		c.t.Errorf("proxy %d has acknowledged all pushes, but nonces %v count as in flight", proxy.number, checked.inFlight)
	}
}

// checkAdmissions checks that a proxy holds the given admission levels and retry policies.
func (c *testCluster) checkAdmissions(node *Machine, proxy *fakeProxy, admissions []fanout.Admission) {
	c.t.Helper()
	for _, admission := range admissions {
		want := fmt.Sprintf("%v/%d", admission.Level, admission.Retry)
		for i, method := range node.methods {
			if admission.Methods>>i&1 == 1 && proxy.admissions[method] != want {
				c.t.Errorf("proxy %d holds admission level and retry policy %s for method %s, c%d has sent %s", proxy.number, proxy.admissions[method], method, proxy.coordinator, want)
			}
		}
	}
}

// checkUsableBackends checks that every proxy has usable backends and that none of them is draining or has left.
func (c *testCluster) checkUsableBackends() {
	c.t.Helper()
	for _, proxy := range c.fleet.proxies {
		usable := proxy.usableBackends()
		if len(usable) == 0 {
			c.t.Errorf("proxy %d has no usable backend", proxy.number)
		}
		for _, backend := range usable {
			if host := c.discovery.hosts[backend]; host.health != "active" {
				c.t.Errorf("proxy %d may send to backend %s, whose health is %s", proxy.number, backend, host.health)
			}
		}
	}
}
