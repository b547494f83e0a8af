package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestListChangesReachProxies(t *testing.T) {
	cluster := newTestCluster(t, 1, 12, 20)
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsable()
	cluster.list("s-0003", "leaving", 0)
	cluster.list("s-0004", "left", 0)
	cluster.run(5)
	cluster.checkTables()
	cluster.checkUsable()
	cluster.list("s-0004", "active", cluster.world.Now())
	cluster.run(30)
	cluster.checkTables()
	cluster.checkUsable()
	used := slices.ContainsFunc(cluster.fleet.proxies, func(proxy *fakeProxy) bool { return slices.Contains(proxy.usable(), "s-0004") })
	if !used {
		t.Error("a backend that came back is used by no proxy")
	}
	if cluster.discovery.maxWaiting > 2 {
		t.Errorf("%d long polls at once of two coordinators", cluster.discovery.maxWaiting)
	}
	if cluster.discovery.calls > 60 {
		t.Errorf("%d requests in 45 s", cluster.discovery.calls)
	}
}

// Random faults, drawn from a seed: streams break with late and early ends, coordinators are killed, discovery fails in
// each of its modes, backends come and go, connections do not join and invalid messages come. Afterwards what
// coordinators have sent must be what proxies hold.
func TestTablesMatchAfterRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cluster := newTestCluster(t, seed, 12, 16)
			dice := rand.New(rand.NewPCG(seed, 99))
			cluster.run(4)
			for range 120 {
				cluster.injectFault(dice)
				cluster.run(dice.Float64())
			}
			cluster.discovery.mode = ""
			cluster.listAllActive()
			cluster.run(40)
			cluster.checkTables()
			cluster.checkUsable()
			if len(cluster.fleet.unjoined) > 0 || cluster.fleet.longestUnjoined > 1.1 {
				t.Errorf("%d unjoined connections are still open, one was for %.2f s", len(cluster.fleet.unjoined), cluster.fleet.longestUnjoined)
			}
			for i, node := range cluster.nodes {
				if node.stats.PlannerRestarts > 0 {
					t.Errorf("c%d: its decision module failed", i)
				}
			}
		})
	}
}

func (c *testCluster) injectFault(dice *rand.Rand) {
	switch dice.IntN(12) {
	case 0, 1, 2:
		c.world.SendCommand("fleet", fmt.Sprintf("break %d %s", dice.IntN(16), []string{"late", "plain"}[dice.IntN(2)]))
	case 3:
		c.discovery.mode = []string{"503", "hang", "reset", "cut", "bad"}[dice.IntN(5)]
	case 4, 5:
		c.discovery.mode = ""
	case 6:
		backend := fmt.Sprintf("s-%04d", dice.IntN(12))
		c.list(backend, []string{"leaving", "left"}[dice.IntN(2)], 0)
	case 7, 8:
		c.listAllActive()
	case 9:
		node := fmt.Sprint("c", dice.IntN(2))
		c.world.Kill(node)
		c.run(dice.Float64())
		c.world.Start(node)
	case 10:
		c.world.SendCommand("fleet", fmt.Sprintf("invalid %d", dice.IntN(16)))
	case 11:
		c.world.SendCommand("fleet", "unjoined")
	}
}

// A new address is used at once, missed changes are applied, and no stream, table or nonce is lost.
func TestDiscoveryAddressChange(t *testing.T) {
	cluster := newTestCluster(t, 3, 8, 8)
	cluster.run(5)
	node := cluster.nodes[0]
	joins, pushes := node.stats.Joins, cluster.fleet.proxies[0].pushes
	boot := node.boot
	for k := range 3 {
		boot.Discovery = fmt.Sprint("disco:", 2-k%2)
		node.Reload(boot)
		cluster.run(0.3)
	}
	if got := node.discovery.addr; got != "disco:2" {
		t.Fatalf("requests go to %s", got)
	}
	cluster.list("s-0001", "leaving", 0)
	cluster.run(3)
	cluster.checkTables()
	cluster.checkUsable()
	if node.stats.Joins != joins || cluster.fleet.proxies[0].pushes > pushes+4 {
		t.Errorf("%d joins, %d before; %d pushes, %d before", node.stats.Joins, joins, cluster.fleet.proxies[0].pushes, pushes)
	}
}

// A proxy whose connection was lost without a close, and which has joined elsewhere, does not stay joined.
func TestIdleStreamIsClosed(t *testing.T) {
	cluster := newTestCluster(t, 4, 8, 8)
	cluster.run(5)
	cluster.world.SendCommand("fleet", "partition 0")
	cluster.run(1)
	cluster.list("s-0001", "leaving", 0) // the push for this is never acknowledged
	cluster.run(20)
	cluster.checkTables()
	cluster.checkUsable()
	if cluster.nodes[0].stats.IdleClosed+cluster.nodes[1].stats.IdleClosed != 1 {
		t.Errorf("%d and %d streams were closed as idle", cluster.nodes[0].stats.IdleClosed, cluster.nodes[1].stats.IdleClosed)
	}
}

// Thousands of backends, streams and unjoined connections come and go; memory is bounded by what is alive and by what has
// come in the retention time of names.
func TestMemoryStaysBounded(t *testing.T) {
	cluster := newTestCluster(t, 5, 8, 6)
	cluster.run(3)
	half := 0
	for i := range 1200 {
		cluster.churn(i)
		if i%10 == 0 { // it takes the most time
			cluster.checkSentExclusions()
		}
		if i == 600 {
			half = cluster.nodes[0].heldItems()
		}
	}
	if end := cluster.nodes[0].heldItems(); end > half+half/10 {
		t.Errorf("it holds %d items, %d at half of the time", end, half)
	}
	joins := cluster.nodes[0].stats.Joins + cluster.nodes[1].stats.Joins
	shortLived := 0
	for backend := range cluster.listedOnce {
		if backend[0] == 't' {
			shortLived++
		}
	}
	if joins < 1000 || cluster.fleet.refused < 10000 || shortLived < 3600 {
		t.Errorf("only %d joins, %d unjoined connections and %d backends were seen", joins, cluster.fleet.refused, shortLived)
	}
}

// churn replaces one of eight backends and three that live for one round each, all with new names, opens connections that
// do not join and breaks a stream.
func (c *testCluster) churn(round int) {
	c.t.Helper()
	c.list(fmt.Sprintf("s-%04d", 8+round), "active", c.world.Now())
	c.list(fmt.Sprintf("s-%04d", round), "left", 0)
	if gone := round + 9 - 40; gone > 0 {
		delete(c.discovery.hosts, fmt.Sprintf("s-%04d", gone))
	}
	for k := range 3 { // discovery notifies of all changes at once
		backend := fmt.Sprintf("t-%d-%d", round, k)
		c.listedOnce[backend], c.fleet.healthy[backend] = true, true
		c.discovery.set(backend, "active", c.world.Now())
		if round > 0 {
			c.discovery.set(fmt.Sprintf("t-%d-%d", round-1, k), "left", 0)
		}
		delete(c.discovery.hosts, fmt.Sprintf("t-%d-%d", round-8, k))
	}
	c.world.SendCommand("disco", "changed")
	for range 9 {
		c.world.SendCommand("fleet", "unjoined")
	}
	c.world.SendCommand("fleet", fmt.Sprintf("break %d late", round%5))
	c.run(1.5)
}

// heldItems counts the elements of all collections that could grow without bound.
func (m *Machine) heldItems() int {
	items := len(m.sessions) + len(m.handshaking) + len(m.events) + len(m.problemCounts) + len(m.loggedUnhealthy) + len(m.probes.queue) +
		len(m.endpoints.backends) + len(m.endpoints.ids) + m.distributor.TableCount()
	for _, s := range m.streams {
		if s != nil {
			items += len(s.sentExclusions) + len(s.inFlight)
		}
	}
	return items
}

// checkSentExclusions checks that streams hold no backends whose names are forgotten.
func (c *testCluster) checkSentExclusions() {
	c.t.Helper()
	for _, node := range c.nodes {
		for _, s := range node.streams {
			if s == nil {
				continue
			}
			for id := range s.sentExclusions {
				if node.endpoints.backends[id] == nil {
					c.t.Fatalf("an exclusion sent to proxy %d is kept longer than the backend's name", s.proxy)
				}
			}
		}
	}
}
