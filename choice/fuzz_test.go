package choice

import (
	"math/rand"
	"reflect"
	"testing"
)

// FuzzRules feeds random events to a model, which checks the rules after each step. It also checks that the same events give
// the same commands.
func FuzzRules(f *testing.F) {
	for seed := range int64(2 * seedsPerZoneSetting) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		overrides := map[string]any{
			"level_kind":        []string{"share", "rate", "none"}[uint64(seed)%3],
			"method.1.own_zone": uint64(seed)/seedsPerZoneSetting%2 == 1,
		}
		first := playRandomEvents(newFleetModel(t, overrides), seed, 1500)
		playRandomEvents(newFleetModel(t, overrides), seed+100, 100) // another instance in the same process must have no influence
		second := playRandomEvents(newFleetModel(t, overrides), seed, 1500)
		if !reflect.DeepEqual(first, second) {
			t.Fatal("the same events gave different commands")
		}
	})
}

// seedsPerZoneSetting is the number of successive seeds of FuzzRules with, and without, a method that must stay in its zone.
const seedsPerZoneSetting = 12

// The ranges from which randomEvents draws.
const (
	randomProxies  = 6
	randomBackends = 12
	randomKinds    = 14 // of events; see next, where the last ones are all acknowledgements
)

// randomEvents draws events for a fleet: joins, leaves, endpoint updates, reports, and acknowledgements that are late, stale or
// missing. The events of a seed depend on the order of the draws.
type randomEvents struct {
	*rand.Rand
	fleet *fleetModel
}

// playRandomEvents takes steps with the random events of a seed and returns the commands of all steps.
func playRandomEvents(fleet *fleetModel, seed int64, steps int) (commands []Command) {
	fleet.t.Helper()
	random := randomEvents{rand.New(rand.NewSource(seed)), fleet}
	fleet.step(0, fullUpdate(10, 0))
	for range steps {
		events := random.next()
		commands = append(commands, fleet.step(0.25*random.Float64(), events...)...)
	}
	return commands
}

// next draws the event of a step, or none.
func (r randomEvents) next() []Event {
	proxy := ProxyID(r.Intn(randomProxies))
	number := r.Intn(randomBackends)
	switch r.Intn(randomKinds) {
	case 0:
		return r.join(proxy)
	case 1:
		return r.leave(proxy)
	case 2:
		return r.endpoint(number)
	case 3:
		return r.fullList()
	case 4:
		return []Event{EndpointUpdate{Kind: UpdateFailed}}
	case 5, 6:
		return r.attemptReport(number)
	case 7:
		return r.usageReport(proxy)
	case 8:
		return []Event{PushAcknowledged{proxy, Nonce(r.Intn(200)), 0.1}}
	case 9:
		return r.probeResult(number)
	default:
		return r.acknowledge(proxy)
	}
}

func (r randomEvents) join(proxy ProxyID) []Event {
	if r.fleet.joined[proxy] {
		return nil
	}
	return []Event{ProxyJoined{proxy, homeZone(int(proxy)), 20 * r.Float64(), r.Intn(2) == 0}}
}

func (r randomEvents) leave(proxy ProxyID) []Event {
	if !r.fleet.joined[proxy] || r.Intn(4) != 0 {
		return nil
	}
	return []Event{ProxyLeft{proxy}}
}

// endpoint lists a backend in a random state, most often as open, and in one of three cases as restarted.
func (r randomEvents) endpoint(number int) []Event {
	states := []BackendState{BackendOpen, BackendOpen, BackendOpen, BackendDraining, BackendGone}
	id := backendID(number)
	startedAt := r.fleet.open[id].StartedAt
	if r.Intn(3) == 0 {
		startedAt = r.fleet.now
	}
	state, weight := states[r.Intn(len(states))], 1+r.Float64()
	return []Event{deltaUpdate(Endpoint{Backend: id, State: state, StartedAt: startedAt, Zone: homeZone(number), Weight: weight})}
}

func (r randomEvents) fullList() []Event {
	if r.Intn(12) != 0 {
		return nil
	}
	return []Event{fullUpdate(r.Intn(12), 0)}
}

func (r randomEvents) attemptReport(number int) []Event {
	id := backendID(number)
	if r.fleet.planner.indexOf[id] == 0 {
		return nil
	}
	attempts := 1 + r.Intn(30)
	failures, latency := r.Intn(attempts+1), r.Float64()*2
	return []Event{AttemptReport{
		Backend: id, Zone: homeZone(number), Attempts: attempts, Failures: failures, MeanLatency: latency, Span: 1,
	}}
}

func (r randomEvents) usageReport(proxy ProxyID) []Event {
	if !r.fleet.joined[proxy] {
		return nil
	}
	return []Event{UsageReport{Proxy: proxy, Method: MethodID(r.Intn(3)), RPCs: r.Intn(60), Span: 1}}
}

func (r randomEvents) probeResult(number int) []Event {
	id := backendID(number)
	if r.fleet.planner.indexOf[id] == 0 {
		return nil
	}
	return []Event{ProbeResult{Backend: id, OK: r.Intn(2) == 0}}
}

func (r randomEvents) acknowledge(proxy ProxyID) []Event {
	unacked := r.fleet.unacked[proxy]
	if len(unacked) == 0 {
		return nil
	}
	return []Event{PushAcknowledged{proxy, unacked[0], 0.3}}
}
