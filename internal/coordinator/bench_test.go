package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// fleetSize is the number of backends and of proxies in a benchmark.
type fleetSize struct{ backends, proxies int }

func (s fleetSize) String() string { return fmt.Sprintf("%dx%d", s.backends, s.proxies) }

var fleetSizes = []fleetSize{{100, 300}, {300, 800}, {600, 2000}}

// newFleet returns a controller with the given numbers of backends and of proxies, which have joined and acknowledged all
// pushes, and the time of its next step.
func newFleet(tb testing.TB, size fleetSize) (controller *controller, now float64) {
	tb.Helper()
	now = 1000
	settings := testSettings(map[string]any{
		"proxies": float64(size.proxies), "channel_room": 1e9, "channel_pace": 1e9, "messages": 0.0, "tick": 0.0,
		"probes": false,
	})
	controller = newController(choice.Config{Now: now, Settings: settings}, nil)
	events := []event{endpointListReceived{fullList(1, size.backends)}}
	for i := range size.proxies {
		events = append(events, proxyJoined{streamID(i + 1), hello(fmt.Sprint("f", i))})
	}
	acknowledgePushes(tb, controller, now, mustHandle(tb, controller, now, events...))
	return controller, now + 1
}

// acknowledgePushes acknowledges all pushes of a step and returns their total size: entries is the number of operations,
// table entries and admissions, and bytes is the size of the frames.
func acknowledgePushes(tb testing.TB, controller *controller, now float64, result stepResult) (entries, bytes int) {
	tb.Helper()
	var events []event
	for _, outgoing := range result.pushes {
		bytes += len(proto.Append(nil, outgoing.push))
		entries += len(outgoing.push.Ops)
		for _, op := range outgoing.push.Ops {
			entries += len(op.Entries) + len(op.Admissions)
		}
		events = append(events, pushAcknowledged{outgoing.stream, outgoing.push.Nonce})
	}
	mustHandle(tb, controller, now+0.001, events...)
	return entries, bytes
}

// BenchmarkOneBackendChanges drains one backend and opens it again. It compares the size of the pushes with that of pushing
// the full tables to all proxies.
func BenchmarkOneBackendChanges(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			controller, now := newFleet(b, size)
			fullBytes := 0
			for subscriber := range controller.distributor.Subscribers() {
				fullBytes += len(proto.Append(nil, proto.Push{Ops: controller.wireOps(controller.distributor.BoundTables(subscriber))}))
			}
			entries, bytes := 0, 0
			version := uint64(1)
			b.ResetTimer()
			for i := range b.N {
				now += 3
				for _, state := range []proto.BackendState{proto.BackendDraining, proto.BackendOpen} {
					version++
					list := proto.EndpointUpdate{
						Kind: proto.UpdateDelta, BaseVersion: version - 1, Version: version,
						Endpoints: []proto.Endpoint{listEntry(1+i%size.backends, state)},
					}
					result := mustHandle(b, controller, now, endpointListReceived{list})
					addedEntries, addedBytes := acknowledgePushes(b, controller, now, result)
					entries += addedEntries
					bytes += addedBytes
					now += 0.5
				}
			}
			changes := float64(2 * b.N)
			b.ReportMetric(float64(bytes)/changes, "bytes/change")
			b.ReportMetric(float64(entries)/changes, "entries/change")
			b.ReportMetric(float64(fullBytes), "bytes/full-push")
			b.ReportMetric(float64(fullBytes)/(float64(bytes)/changes), "full/change")
		})
	}
}

// BenchmarkQuietStep measures steps without events. It also reports the share of the decision module in percent, measured by
// the same steps of the module alone for a fleet of the same size.
func BenchmarkQuietStep(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			withController, now := newFleet(b, size)
			moduleOnly, _ := newFleet(b, size)
			startedAt := time.Now()
			for i := range b.N {
				moduleOnly.planner.Step(now+0.25*float64(i+1), nil)
			}
			moduleTime := time.Since(startedAt)
			b.ResetTimer()
			for i := range b.N {
				withController.timerAt = now + 0.25*float64(i+1)
				mustHandle(b, withController, withController.timerAt)
			}
			b.ReportMetric(100*float64(moduleTime)/float64(b.Elapsed()), "module-%")
		})
	}
}

// BenchmarkManyJoins joins six proxies in each step of 4 ms, as when the other coordinators have crashed. The time per join
// must depend on the size of the proxy's arc and not on the number of proxies that joined before.
func BenchmarkManyJoins(b *testing.B) {
	for _, backends := range []int{200, 600} {
		for _, proxies := range []int{300, 1000, 2600} {
			size := fleetSize{backends, proxies}
			b.Run(size.String(), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					controller, now := newFleet(b, fleetSize{backends: backends})
					b.StartTimer()
					joinInSteps(b, controller, now, proxies)
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(proxies), "us/join")
			})
		}
	}
}

// joinInSteps joins proxies, a few in each step, and acknowledges the pushes of each step.
func joinInSteps(b *testing.B, controller *controller, now float64, proxies int) {
	b.Helper()
	const joinsPerStep, stepSeconds = 6, 0.004
	for joined := 0; joined < proxies; now += stepSeconds {
		var events []event
		for range min(joinsPerStep, proxies-joined) {
			joined++
			events = append(events, proxyJoined{streamID(joined), hello(fmt.Sprint("f", joined))})
		}
		acknowledgePushes(b, controller, now, mustHandle(b, controller, now, events...))
	}
}
