package choice

import (
	"fmt"
	"testing"
)

// BenchmarkGrowth measures how the durations of an assignment of all arcs and of a step without events grow with the size of
// the fleet. The results are in docs/design.md.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []struct{ backends, proxies int }{{100, 100}, {350, 270}, {600, 770}} {
		planner, now := loadedPlanner(size.backends, size.proxies)
		b.Run(fmt.Sprintf("assign/%d-%d", size.backends, size.proxies), func(b *testing.B) {
			for b.Loop() {
				planner.ring.assignAllArcs()
			}
		})
		b.Run(fmt.Sprintf("step/%d-%d", size.backends, size.proxies), func(b *testing.B) {
			for b.Loop() {
				now += 0.004
				planner.Step(now, nil)
			}
		})
	}
}

// loadedPlanner returns a planner that has received attempt reports on all backends and acknowledgements from all proxies for
// ten seconds, and the time of its last step.
func loadedPlanner(backends, proxies int) (planner *Planner, now Seconds) {
	planner, now = New(testConfig(nil)), startTime
	planner.Step(now, []Event{fullUpdate(backends, 0)})
	planner.Step(now, joinEvents(proxies))
	for now < startTime+10 {
		now += 0.1
		var events []Event
		for _, proxy := range planner.proxies {
			events = append(events, PushAcknowledged{proxy.id, proxy.pushNonce, 0.2})
		}
		for _, id := range planner.id {
			events = append(events, AttemptReport{Backend: id, Zone: "a", Attempts: 3, MeanLatency: 0.2, Span: 1})
		}
		planner.Step(now, events)
	}
	return planner, now
}
