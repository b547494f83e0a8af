package choice

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	coldZoneMethods    = 3    // methods of testSettings, which get equal shares of the requests
	coldZoneStep       = 0.25 // seconds between two steps of the test
	coldZoneUnserved   = 3.7  // seconds for which a proxy may have no usable entry while its zone has a warm backend
	coldZoneReportTime = 1.0  // seconds from a restart of the planner to the first reports
)

// coldZoneScenario describes a fleet with two zones, of which zone a is lost and comes back cold.
type coldZoneScenario struct {
	lostBackends     int       // in zone a
	otherBackends    int       // in zone b
	backendRate      float64   // requests a second that a warm backend can serve
	proxyRates       []float64 // requests a second; the proxies are in zones a and b by turns
	allProxies       int       // with those of other coordinators
	localMethods     int       // the first of the methods, whose requests must stay in the proxy's zone
	coldShare        float64
	warmAfter        Seconds
	collapseMultiple float64
	replaced         bool      // the backends of zone a return under new ids
	survivor         BackendID // a further backend of zone a, which is not lost; 0: there is none
}

// usualColdZone returns the scenario of review case 2: all zones have 0.65 of the load that their warm backends can serve.
func usualColdZone(localMethods int) coldZoneScenario {
	scenario := coldZoneScenario{
		lostBackends: 4, otherBackends: 12, backendRate: 8.5, allProxies: 8, localMethods: localMethods,
		coldShare: 0.18, warmAfter: 17, collapseMultiple: 3,
	}
	scenario.proxyRates = scenario.spreadLoad(0.65, slices.Repeat([]float64{1}, scenario.allProxies))
	return scenario
}

// spreadLoad returns the rates of proxies with the given relative usage that bring each zone a share of what its warm backends
// can serve.
func (s *coldZoneScenario) spreadLoad(share float64, usage []float64) (rates []float64) {
	total := map[Zone]float64{}
	for proxy, used := range usage {
		total[homeZone(proxy)] += used
	}
	backends := map[Zone]int{"a": s.lostBackends, "b": s.otherBackends}
	if s.survivor != 0 {
		backends["a"]++
	}
	for proxy, used := range usage {
		zone := homeZone(proxy)
		rates = append(rates, share*s.backendRate*float64(backends[zone])*used/total[zone])
	}
	return rates
}

// coldZoneTest plays a scenario and checks the load of the cold backends in each step.
type coldZoneTest struct {
	coldZoneScenario
	t             *testing.T
	fleet         *fleetModel
	startedAt     Seconds             // when the backends of zone a started again; 0: they did not yet
	reportsFrom   Seconds             // when reports begin
	nextReport    Seconds             // when the next reports are due
	extraReports  func() []Event      // further reports of a second; nil: none
	unservedSince map[ProxyID]Seconds // since when proxies of zone a have no usable local entry while their zone has a warm backend
}

// newColdZoneTest returns a test of a fleet that has not started.
func newColdZoneTest(t *testing.T, scenario coldZoneScenario) *coldZoneTest {
	test := &coldZoneTest{coldZoneScenario: scenario, t: t, unservedSince: map[ProxyID]Seconds{}}
	test.restartPlanner(startTime)
	return test
}

// restartPlanner replaces the planner by one that knows nothing.
func (c *coldZoneTest) restartPlanner(now Seconds) {
	overrides := map[string]any{
		"cold_share": c.coldShare, "warm_after": c.warmAfter, "fall_multiple": c.collapseMultiple, "proxies": float64(c.allProxies),
		"level_kind": "none", "probes": false,
	}
	for method := range c.localMethods {
		overrides[fmt.Sprintf("method.%d.own_zone", method)] = true
	}
	c.fleet = newFleetModel(c.t, overrides)
	c.fleet.now, c.reportsFrom = now, now+coldZoneReportTime
}

// startWarm starts the fleet with all backends warm, and plays 15 seconds of its usual load.
func (c *coldZoneTest) startWarm() {
	c.t.Helper()
	c.start(BackendOpen)
	c.run(15)
}

// start lists all backends, those of zone a in the given state, and has the proxies join.
func (c *coldZoneTest) start(zoneState BackendState) {
	c.t.Helper()
	update := EndpointUpdate{Kind: UpdateFull}
	for number := range c.lostBackends + c.otherBackends {
		state := BackendOpen
		if number < c.lostBackends {
			state = zoneState
		}
		update.Endpoints = append(update.Endpoints, c.endpoint(number, state))
	}
	if c.survivor != 0 {
		update.Endpoints = append(update.Endpoints, Endpoint{Backend: c.survivor, State: BackendOpen, Zone: "a", Weight: 1})
	}
	c.fleet.step(0, update)
	for proxy, rate := range c.proxyRates {
		c.fleet.step(0.02, ProxyJoined{Proxy: ProxyID(proxy), Zone: homeZone(proxy), Rate: rate})
	}
}

// id returns the id of a backend by its number.
func (c *coldZoneTest) id(number int) BackendID {
	if c.replaced && number < c.lostBackends && c.startedAt > 0 {
		return backendID(c.lostBackends + c.otherBackends + number)
	}
	return backendID(number)
}

// endpoint returns the entry of a backend. The first ones are in zone a.
func (c *coldZoneTest) endpoint(number int, state BackendState) Endpoint {
	endpoint := Endpoint{Backend: c.id(number), State: state, Zone: "b", Weight: 1}
	if number < c.lostBackends {
		endpoint.Zone, endpoint.StartedAt = "a", c.startedAt
	}
	return endpoint
}

// run plays a duration in steps, with reports each second and with acknowledgements, and checks the rules in each step.
func (c *coldZoneTest) run(duration Seconds) {
	c.t.Helper()
	for range int(duration / coldZoneStep) {
		var events []Event
		for proxy := range c.proxyRates {
			for _, nonce := range c.fleet.unacked[ProxyID(proxy)] {
				events = append(events, PushAcknowledged{ProxyID(proxy), nonce, 0.2})
			}
		}
		if c.fleet.now >= max(c.nextReport, c.reportsFrom) {
			c.nextReport = c.fleet.now + 1
			events = append(events, c.reports()...)
			if c.extraReports != nil {
				events = append(events, c.extraReports()...)
			}
		}
		c.fleet.step(coldZoneStep, events...)
		c.checkColdLoad()
		c.checkServed()
	}
}

// reports returns the reports of a second.
func (c *coldZoneTest) reports() (reports []Event) {
	for proxy, rate := range c.proxyRates {
		for method := range MethodID(coldZoneMethods) {
			requests := c.countInSecond(rate / coldZoneMethods)
			reports = append(reports, UsageReport{Proxy: ProxyID(proxy), Method: method, RPCs: requests, Span: 1})
		}
	}
	for number := range c.lostBackends + c.otherBackends {
		id := c.id(number)
		if attempts := c.countInSecond(c.load(id)); attempts > 0 {
			reports = append(reports, AttemptReport{
				Backend: id, Zone: c.endpoint(number, BackendOpen).Zone, Attempts: attempts, MeanLatency: 0.1, Span: 1,
			})
		}
	}
	return reports
}

// countInSecond returns how many events of a rate fall into the last second, a whole number whose mean is the rate.
func (c *coldZoneTest) countInSecond(rate float64) int {
	return int(rate*(c.fleet.now+1)) - int(rate*c.fleet.now)
}

// load returns the requests a second that the proxies send a backend, according to the tables that they hold.
func (c *coldZoneTest) load(id BackendID) (load float64) {
	for proxy, rate := range c.proxyRates {
		for _, table := range c.boundTables(ProxyID(proxy)) {
			if !c.fleet.excluded[id] && c.fleet.tables[table][id] > 0 {
				load += rate * c.methodShare(table) * c.fleet.tables[table][id] / c.usableWeight(table)
			}
		}
	}
	return load
}

// boundTables returns the tables of a proxy, once each: the model lists a table that was sent whole twice two times.
func (c *coldZoneTest) boundTables(proxy ProxyID) []TableID {
	tables := slices.Clone(c.fleet.bound[proxy])
	slices.Sort(tables)
	return slices.Compact(tables)
}

// methodShare returns the share of a proxy's requests for which a table is used.
func (c *coldZoneTest) methodShare(table TableID) float64 {
	localShare := float64(c.localMethods) / coldZoneMethods
	if zoneLocal(table) {
		return localShare
	}
	return 1 - localShare
}

// usableWeight returns the total weight of a table's entries that are not excluded.
func (c *coldZoneTest) usableWeight(table TableID) (total float64) {
	for id, weight := range c.fleet.tables[table] {
		if !c.fleet.excluded[id] {
			total += weight
		}
	}
	return total
}

// checkColdLoad checks rule 4 for the returned backends: none gets more than the collapse multiple of its present capacity.
func (c *coldZoneTest) checkColdLoad() {
	c.t.Helper()
	for number := range c.lostBackends {
		id := c.id(number)
		if _, open := c.fleet.open[id]; !open || c.startedAt == 0 {
			continue
		}
		age := c.fleet.now - c.startedAt
		limit := c.collapseMultiple * c.backendRate * min(1, c.coldShare+(1-c.coldShare)*age/c.warmAfter)
		if load := c.load(id); load > limit {
			c.t.Fatalf("backend %d gets %.1f requests a second %.2f s after its start and collapses above %.1f", id, load, age, limit)
		}
	}
}

// checkServed checks rule 1 for the methods that must stay in zone a, once the backends there are warm.
func (c *coldZoneTest) checkServed() {
	c.t.Helper()
	zoneWarm := c.survivor != 0 || c.startedAt > 0 && c.fleet.now > c.startedAt+c.warmAfter
	for proxy := range ProxyID(len(c.proxyRates)) {
		local := slices.IndexFunc(c.fleet.bound[proxy], zoneLocal)
		served := local >= 0 && c.usableWeight(c.fleet.bound[proxy][local]) > 0
		if served || !zoneWarm || c.localMethods == 0 {
			c.unservedSince[proxy] = c.fleet.now
		}
		if unserved := c.fleet.now - c.unservedSince[proxy]; unserved > coldZoneUnserved {
			c.t.Fatalf("proxy %d has had no entry that it can use in its zone for %.1f s", proxy, unserved)
		}
	}
}

// loseZone lists the backends of zone a as gone for a while.
func (c *coldZoneTest) loseZone() {
	c.t.Helper()
	c.listZone(BackendGone)
	c.run(8)
}

// returnZone has the backends of zone a start again, cold, and lists them one by one at the given interval. Once they are warm, none may
// be excluded.
func (c *coldZoneTest) returnZone(interval Seconds) {
	c.t.Helper()
	c.startedAt = c.fleet.now
	c.run(1)
	for number := range c.lostBackends {
		c.fleet.step(0.01, deltaUpdate(c.endpoint(number, BackendOpen)))
		c.checkColdLoad()
		c.run(interval)
	}
	c.run(c.warmAfter + 1)
	if excluded := c.excludedCount(); excluded > 0 {
		c.t.Errorf("%d backends are warm but still excluded", excluded)
	}
}

// listZone lists all backends of zone a in a state, in one update.
func (c *coldZoneTest) listZone(state BackendState) {
	c.t.Helper()
	update := EndpointUpdate{Kind: UpdateDelta}
	for number := range c.lostBackends {
		update.Endpoints = append(update.Endpoints, c.endpoint(number, state))
	}
	c.fleet.step(0.1, update)
}

// excludedCount returns the number of backends of zone a that are excluded.
func (c *coldZoneTest) excludedCount() (count int) {
	for number := range c.lostBackends {
		if c.fleet.excluded[c.id(number)] {
			count++
		}
	}
	return count
}

// The first backend of a lost zone that returns must not get the zone's whole load for methods whose requests must stay there,
// however many warm backends other zones have. Guards against the failure of review case 2: it was sent 1.6 times the load at
// which it collapses.
func TestFirstColdBackendOfAZoneIsNotOverloaded(t *testing.T) {
	for localMethods := range coldZoneMethods + 1 {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprint(localMethods, " local methods, replaced ", replaced), func(t *testing.T) {
				scenario := usualColdZone(localMethods)
				scenario.replaced = replaced
				test := newColdZoneTest(t, scenario)
				test.startWarm()
				test.loseZone()
				test.returnZone(1)
			})
		}
	}
}

// Once the cold backends of a zone can take its load together, they are restored in one step, long before they are warm. One by
// one, each would have to take the whole load alone.
func TestColdZoneIsRestoredTogether(t *testing.T) {
	test := newColdZoneTest(t, usualColdZone(coldZoneMethods))
	test.startWarm()
	test.loseZone()
	test.startedAt = test.fleet.now
	test.run(1)
	for number := range test.lostBackends {
		test.fleet.step(0.5, deltaUpdate(test.endpoint(number, BackendOpen)))
	}
	if excluded := test.excludedCount(); excluded != test.lostBackends {
		t.Fatalf("%d cold backends are excluded, %d wanted", excluded, test.lostBackends)
	}
	for excluded := test.lostBackends; excluded > 0; excluded = test.excludedCount() {
		if excluded != test.lostBackends {
			t.Fatalf("%d of %d backends are excluded, all or none wanted", excluded, test.lostBackends)
		}
		if age := test.fleet.now - test.startedAt; age > test.warmAfter/2+1 {
			t.Fatalf("the backends are still excluded %.1f s after their start, when they have over half of their capacity", age)
		}
		test.run(coldZoneStep)
	}
	test.run(test.warmAfter)
}

// A cold backend that was excluded for overload stays out for a while, even if its expected load falls at once. Otherwise it could be
// excluded and restored in each step, each time with a message to its proxies.
func TestOverloadedColdBackendPauses(t *testing.T) {
	scenario := usualColdZone(coldZoneMethods)
	scenario.replaced = true
	test := newColdZoneTest(t, scenario)
	test.startWarm()
	test.loseZone()
	test.startedAt = test.fleet.now
	test.fleet.step(0.5, deltaUpdate(test.endpoint(0, BackendOpen)))
	test.fleet.step(0.5)
	for _, proxy := range test.fleet.planner.proxies {
		clear(proxy.usage)
		proxy.assignedRate = 0
	}
	for age := 0.5; age < minOverloadExclusion; age += 0.5 {
		if !test.fleet.excluded[test.id(0)] {
			t.Fatalf("the backend is restored %.1f s after it was excluded, at least %.1f s wanted", age, minOverloadExclusion)
		}
		test.fleet.step(0.5)
	}
	test.fleet.step(1.1)
	if test.fleet.excluded[test.id(0)] {
		t.Error("the backend is still excluded, although nothing would overload it")
	}
}

// The same holds for a coordinator that was lost with the zone and starts again: it has no report yet that shows what backends can
// serve. Guards against a failure found beside review case 2, by a copy of it that kills the coordinator as well.
func TestRestartedPlannerKeepsColdZoneFromOverload(t *testing.T) {
	for localMethods := range coldZoneMethods + 1 {
		t.Run(fmt.Sprint(localMethods, " local methods"), func(t *testing.T) {
			test := newColdZoneTest(t, usualColdZone(localMethods))
			test.startedAt = test.fleet.now - 0.5
			test.start(BackendGone)
			for number := range test.lostBackends {
				for range 2 {
					test.fleet.step(coldZoneStep, deltaUpdate(test.endpoint(number, BackendOpen)))
					test.checkColdLoad()
				}
			}
			test.run(test.warmAfter + 1)
			if excluded := test.excludedCount(); excluded > 0 {
				t.Errorf("%d backends are warm but still excluded", excluded)
			}
		})
	}
}

// A fleet that starts as a whole is entirely cold and has no report yet. None of its backends is excluded.
func TestNewFleetIsNotExcluded(t *testing.T) {
	fleet := newFleetModel(t, map[string]any{"method.0.own_zone": true})
	fleet.step(0, fullUpdate(8, startTime))
	fleet.join(6)
	fleet.step(0.5)
	for number := range 8 {
		if fleet.excluded[backendID(number)] {
			t.Errorf("backend %d of a new fleet is excluded", number)
		}
	}
}

// FuzzColdZone checks that in random fleets no cold backend of a returning zone is overloaded, that the zone is served once it is
// warm, and that no proxy is sent too many messages, with or without a restart of the coordinator, a warm backend beside the cold ones and
// a wrong figure in a report.
func FuzzColdZone(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		playRandomColdZone(t, rand.New(rand.NewPCG(seed, 0)))
	})
}

// playRandomColdZone loses and returns the zone of a random fleet.
func playRandomColdZone(t *testing.T, random *rand.Rand) {
	t.Helper()
	test := newColdZoneTest(t, randomColdZone(random))
	test.startWarm()
	if random.IntN(3) == 0 {
		test.reportWrongFigure(random)
	}
	if test.survivor != 0 {
		health := []survivorHealth{survivorHealthy, survivorUnreachable, survivorFailing}[random.IntN(3)]
		test.extraReports = func() []Event { return test.survivorEvents(health) }
		test.run(6)
	}
	test.loseZone()
	returnedAt := test.fleet.now
	if restarts := random.IntN(2) == 0; restarts && test.survivor == 0 {
		test.restartPlanner(test.fleet.now)
		test.start(BackendGone)
	}
	test.startedAt = returnedAt
	listedAt := make([]Seconds, test.lostBackends)
	for number := range listedAt {
		listedAt[number] = returnedAt + 0.8 + 1.5*random.Float64()
	}
	for test.fleet.now < returnedAt+test.warmAfter+5 {
		var update EndpointUpdate
		for number, at := range listedAt {
			if test.fleet.now >= at {
				listedAt[number] = math.Inf(1)
				update.Endpoints = append(update.Endpoints, test.endpoint(number, BackendOpen))
			}
		}
		if len(update.Endpoints) > 0 {
			test.fleet.step(0.001, update)
		}
		test.run(coldZoneStep)
	}
	if excluded := test.excludedCount(); excluded > 0 {
		t.Errorf("%d backends are warm but still excluded", excluded)
	}
}

// reportWrongFigure has one random report with a wrong figure arrive.
func (c *coldZoneTest) reportWrongFigure(random *rand.Rand) {
	c.t.Helper()
	figures := wrongFigures(c)
	names := slices.Sorted(maps.Keys(figures))
	c.fleet.step(0.01, figures[names[random.IntN(len(names))]])
	c.run(Seconds(random.IntN(20)))
}

// randomColdZone draws a scenario, with proxies of very different usage.
func randomColdZone(random *rand.Rand) coldZoneScenario {
	scenario := coldZoneScenario{
		lostBackends: 2 + random.IntN(6), otherBackends: 4 + random.IntN(12), backendRate: 5 + 10*random.Float64(),
		localMethods: 1 + random.IntN(coldZoneMethods), coldShare: 0.1 + 0.2*random.Float64(), warmAfter: 8 + 10*random.Float64(),
		collapseMultiple: 2.5 + 2*random.Float64(), replaced: random.IntN(2) == 0,
	}
	usage := make([]float64, 4+random.IntN(20))
	for proxy := range usage {
		usage[proxy] = 0.1 + random.ExpFloat64()
	}
	usage[random.IntN(len(usage))] *= 6
	scenario.allProxies = len(usage) * (1 + random.IntN(2))
	if random.IntN(3) == 0 {
		scenario.survivor = backendID(1000)
	}
	scenario.proxyRates = scenario.spreadLoad(0.4+0.35*random.Float64(), usage)
	return scenario
}
