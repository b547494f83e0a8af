package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Proxies stop using backends that drain or leave, and use a backend again once it is listed again. A coordinator has at most
// one long poll in flight and does not send requests to discovery in a tight loop.
func TestListChangesReachProxies(t *testing.T) {
	cluster := newTestCluster(t, 1, 12, 20)
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsableBackends()
	cluster.setBackend("s-0003", "leaving", 0)
	cluster.setBackend("s-0004", "left", 0)
	cluster.run(5)
	cluster.checkTables()
	cluster.checkUsableBackends()
	cluster.setBackend("s-0004", "active", cluster.network.Now())
	cluster.run(30)
	cluster.checkTables()
	cluster.checkUsableBackends()
	used := slices.ContainsFunc(cluster.fleet.proxies, func(proxy *fakeProxy) bool { return slices.Contains(proxy.usableBackends(), "s-0004") })
	if !used {
		t.Error("no proxy uses backend s-0004 after it was listed again")
	}
	if cluster.discovery.maxConcurrentLongPolls > 2 {
		t.Errorf("two coordinators had %d long polls in flight at once", cluster.discovery.maxConcurrentLongPolls)
	}
	if cluster.discovery.listRequestCount > 60 {
		t.Errorf("discovery got %d requests in 45 s", cluster.discovery.listRequestCount)
	}
}

// Injects random faults, drawn from a seed: streams are reset before or after their proxies connect again, coordinators are
// killed, discovery fails in each of its modes, backends leave and are listed again, connections do not join, and proxies
// send invalid messages. Afterwards each proxy must hold exactly what its coordinator has sent.
func TestTablesMatchAfterRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cluster := newTestCluster(t, seed, 12, 16)
			random := rand.New(rand.NewPCG(seed, 99))
			cluster.run(4)
			for range 120 {
				cluster.injectFault(random)
				cluster.run(random.Float64())
			}
			cluster.discovery.failureMode = ""
			cluster.listAllActive()
			cluster.run(40)
			cluster.checkTables()
			cluster.checkUsableBackends()
			if len(cluster.fleet.unjoinedSince) > 0 || cluster.fleet.longestUnjoined > 1.1 {
				t.Errorf("%d unjoined connections are still open, and the longest was open for %.2f s", len(cluster.fleet.unjoinedSince), cluster.fleet.longestUnjoined)
			}
			for i, node := range cluster.nodes {
				if node.stats.PlannerRestarts > 0 {
					t.Errorf("the decision module of coordinator c%d failed", i)
				}
			}
		})
	}
}

// injectFault injects a random fault, or ends lasting ones.
func (c *testCluster) injectFault(random *rand.Rand) {
	switch random.IntN(12) {
	case 0, 1, 2:
		c.network.SendCommand("fleet", fmt.Sprintf("break %d %s", random.IntN(16), []string{"late", "plain"}[random.IntN(2)]))
	case 3:
		c.discovery.failureMode = []string{"503", "hang", "reset", "truncated", "invalid JSON"}[random.IntN(5)]
	case 4, 5:
		c.discovery.failureMode = ""
	case 6:
		backend := fmt.Sprintf("s-%04d", random.IntN(12))
		c.setBackend(backend, []string{"leaving", "left"}[random.IntN(2)], 0)
	case 7, 8:
		c.listAllActive()
	case 9:
		node := fmt.Sprint("c", random.IntN(2))
		c.network.Kill(node)
		c.run(random.Float64())
		c.network.Start(node)
	case 10:
		c.network.SendCommand("fleet", fmt.Sprintf("invalid %d", random.IntN(16)))
	case 11:
		c.network.SendCommand("fleet", "unjoined")
	}
}

// After a change of discovery's address the new one is used at once, changes of the list still arrive, and no stream, table or
// acknowledgement is lost.
func TestDiscoveryAddressChange(t *testing.T) {
	cluster := newTestCluster(t, 3, 8, 8)
	cluster.run(5)
	node := cluster.nodes[0]
	joins, pushParts := node.stats.Joins, cluster.fleet.proxies[0].pushPartCount
	boot := node.boot
	for i := range 3 {
		boot.Discovery = fmt.Sprint("disco:", 2-i%2)
		node.Reload(boot)
		cluster.run(0.3)
	}
	if got := node.discovery.addr; got != "disco:2" {
		t.Fatalf("requests to discovery go to %s, want disco:2", got)
	}
	cluster.setBackend("s-0001", "leaving", 0)
	cluster.run(3)
	cluster.checkTables()
	cluster.checkUsableBackends()
	if node.stats.Joins != joins || cluster.fleet.proxies[0].pushPartCount > pushParts+4 {
		t.Errorf("%d joins, %d before; proxy 0 received %d parts of pushes, %d before",
			node.stats.Joins, joins, cluster.fleet.proxies[0].pushPartCount, pushParts)
	}
}

// A proxy whose connection is lost without being closed joins at the other coordinator. The first coordinator must close the
// idle stream, so that the proxy does not count as joined at both.
func TestIdleStreamIsClosed(t *testing.T) {
	cluster := newTestCluster(t, 4, 8, 8)
	cluster.run(5)
	cluster.network.SendCommand("fleet", "partition 0")
	cluster.run(1)
	cluster.setBackend("s-0001", "leaving", 0) // the push for this is never acknowledged
	cluster.run(20)
	cluster.checkTables()
	cluster.checkUsableBackends()
	if cluster.nodes[0].stats.IdleClosed+cluster.nodes[1].stats.IdleClosed != 1 {
		t.Errorf("%d streams were closed as idle at c0 and %d at c1, want 1 in total", cluster.nodes[0].stats.IdleClosed, cluster.nodes[1].stats.IdleClosed)
	}
}

// Thousands of backends, streams and unjoined connections come and go. The memory in use must depend only on those that exist
// now and on the backends that were listed within the retention time of names.
func TestMemoryStaysBounded(t *testing.T) {
	cluster := newTestCluster(t, 5, 8, 6)
	cluster.run(3)
	itemsAtHalf := 0
	for i := range 1200 {
		cluster.replaceBackendsAndConnections(i)
		if i%10 == 0 { // not in every round, because this check takes most of the test's time
			cluster.checkSentExclusions()
		}
		if i == 600 {
			itemsAtHalf = cluster.nodes[0].storedItemCount()
		}
	}
	if end := cluster.nodes[0].storedItemCount(); end > itemsAtHalf+itemsAtHalf/10 {
		t.Errorf("coordinator c0 stores %d items at the end, and %d after half of the rounds", end, itemsAtHalf)
	}
	joins := cluster.nodes[0].stats.Joins + cluster.nodes[1].stats.Joins
	shortLived := 0
	for backend := range cluster.everListed {
		if backend[0] == 't' {
			shortLived++
		}
	}
	if joins < 1000 || cluster.fleet.unjoinedClosed < 10000 || shortLived < 3600 {
		t.Errorf("only %d joins, %d unjoined connections and %d short-lived backends occurred", joins, cluster.fleet.unjoinedClosed, shortLived)
	}
}

// replaceBackendsAndConnections replaces one of the eight long-lived backends and all three that live for one round, all by
// backends with new names. It also opens connections that do not join, and breaks a stream.
func (c *testCluster) replaceBackendsAndConnections(round int) {
	c.t.Helper()
	c.setBackend(fmt.Sprintf("s-%04d", 8+round), "active", c.network.Now())
	c.setBackend(fmt.Sprintf("s-%04d", round), "left", 0)
	if removed := round + 9 - 40; removed > 0 { // discovery drops a backend from its list some rounds after it left
		delete(c.discovery.hosts, fmt.Sprintf("s-%04d", removed))
	}
	for i := range 3 { // without setBackend, so that discovery sends all changes at once
		backend := fmt.Sprintf("t-%d-%d", round, i)
		c.everListed[backend], c.fleet.healthyBackends[backend] = true, true
		c.discovery.set(backend, "active", c.network.Now())
		if round > 0 {
			c.discovery.set(fmt.Sprintf("t-%d-%d", round-1, i), "left", 0)
		}
		delete(c.discovery.hosts, fmt.Sprintf("t-%d-%d", round-8, i))
	}
	c.network.SendCommand("disco", "changed")
	for range 9 {
		c.network.SendCommand("fleet", "unjoined")
	}
	c.network.SendCommand("fleet", fmt.Sprintf("break %d late", round%5))
	c.run(1.5)
}

// storedItemCount returns the number of elements in all collections of the machine that could grow without bound.
func (m *Machine) storedItemCount() int {
	items := len(m.sessions) + len(m.handshaking) + len(m.events) + len(m.problemCounts) + len(m.loggedUnhealthy) + len(m.probes.queue) +
		len(m.endpoints.backends) + len(m.endpoints.ids) + m.distributor.TableCount()
	for _, s := range m.streams {
		if s != nil {
			items += len(s.sentExclusions) + len(s.inFlight)
		}
	}
	return items
}

// checkSentExclusions checks that streams store no exclusions of backends whose names were forgotten.
func (c *testCluster) checkSentExclusions() {
	c.t.Helper()
	for _, node := range c.nodes {
		for _, s := range node.streams {
			if s == nil {
				continue
			}
			for id := range s.sentExclusions {
				if node.endpoints.backends[id] == nil {
					c.t.Fatalf("the stream of proxy %d stores an exclusion of backend %d, whose name was forgotten", s.proxy, id)
				}
			}
		}
	}
}
