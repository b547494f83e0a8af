package choice

import "testing"

// Deployments that give backends new ids, and proxies that join and leave under new ids, must not make steps more expensive
// over time: the slots of backends and proxies that are gone are released and reused.
func TestSlotsAreReleased(t *testing.T) {
	for name, test := range map[string]struct {
		deploys    int
		checkRules bool
	}{
		"few, with all rules checked": {deploys: 60, checkRules: true},
		"many":                        {deploys: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newChangingFleet(t, test.checkRules)
			fleet.step(BackendRetention)
			allocationsBefore := fleet.idleStepAllocations()
			maxBackends, maxProxies := 0, 0
			for range test.deploys {
				fleet.deploy()
				maxBackends = max(maxBackends, len(fleet.planner.id))
				maxProxies = max(maxProxies, len(fleet.planner.proxies))
			}
			for range 10 {
				fleet.step(BackendRetention / 3)
			}
			if maxBackends > 4*changingBackends || maxProxies > changingProxies+5*40 {
				t.Fatalf("up to %d slots of backends and %d of proxies are kept", maxBackends, maxProxies)
			}
			if known, proxies := len(fleet.planner.indexOf), len(fleet.planner.proxies); known > changingBackends || proxies > changingProxies {
				t.Fatalf("%d slots of backends and %d of proxies are kept in the end", known, proxies)
			}
			if after := fleet.idleStepAllocations(); after > 2*allocationsBefore+10 {
				t.Fatalf("an idle step takes %v allocations, %v before the deployments", after, allocationsBefore)
			}
		})
	}
}

// The numbers of backends and proxies of a changingFleet.
const (
	changingBackends = 20
	changingProxies  = 5
)

// changingFleet is a fleet whose backends and proxies are replaced over time by others with new ids.
type changingFleet struct {
	*fleetModel
	checkRules  bool // if false, the planner's commands are dropped and no rule is checked
	backends    []BackendID
	nextBackend BackendID
	nextProxy   ProxyID
}

func newChangingFleet(t *testing.T, checkRules bool) *changingFleet {
	t.Helper()
	fleet := &changingFleet{
		fleetModel:  newFleetModel(t, map[string]any{"probes": false, "listing": "pushed"}),
		checkRules:  checkRules,
		nextBackend: 1,
	}
	for range changingBackends {
		fleet.step(0, deltaUpdate(Endpoint{Backend: fleet.nextBackend, State: BackendOpen, Zone: "a", Weight: 1}))
		fleet.backends = append(fleet.backends, fleet.nextBackend)
		fleet.nextBackend++
	}
	for range changingProxies {
		fleet.step(0, ProxyJoined{Proxy: fleet.nextProxy, Zone: "a", Rate: 5})
		fleet.nextProxy++
	}
	return fleet
}

// step has the planner take a step. If the rules are checked, the step also acknowledges the newest push to each proxy.
func (f *changingFleet) step(after Seconds, events ...Event) {
	f.t.Helper()
	if !f.checkRules {
		f.now += after
		f.planner.Step(f.now, events)
		return
	}
	for proxy, unacked := range f.unacked {
		if len(unacked) > 0 {
			events = append(events, PushAcknowledged{Proxy: proxy, Nonce: unacked[len(unacked)-1], Delay: 0.1})
		}
	}
	f.fleetModel.step(after, events...)
}

// deploy replaces the oldest backend, then each proxy, half a second apart.
func (f *changingFleet) deploy() {
	f.t.Helper()
	f.step(30, deltaUpdate(
		Endpoint{Backend: f.backends[0], State: BackendGone},
		Endpoint{Backend: f.nextBackend, State: BackendOpen, Zone: "a", Weight: 1, StartedAt: f.now},
	))
	f.backends = append(f.backends[1:], f.nextBackend)
	f.nextBackend++
	for range changingProxies {
		f.step(0.5, ProxyLeft{f.nextProxy - changingProxies}, ProxyJoined{Proxy: f.nextProxy, Zone: "a", Rate: 5})
		f.nextProxy++
	}
}

// idleStepAllocations returns the mean number of allocations of a step in which only time passes.
func (f *changingFleet) idleStepAllocations() float64 {
	return testing.AllocsPerRun(20, func() {
		f.now += tickInterval
		f.planner.Step(f.now, nil)
	})
}
