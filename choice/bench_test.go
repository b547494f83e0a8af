package choice

import (
	"fmt"
	"testing"
)

// How a deal and a quiet step grow with the fleet; figures of growth stand in docs/design.md.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range [][2]int{{100, 100}, {350, 270}, {600, 770}} {
		c := New(Config{Seed: 7, Now: 100, Settings: DecodeSettings(values(nil))})
		c.Step(100, []Event{full(size[0], 0)})
		now := 100.0
		c.Step(now, crowd(size[1]))
		for now < 110 {
			now += 0.1
			var all []Event
			for _, p := range c.proxies {
				all = append(all, PushAcknowledged{p.id, p.nonce, 0.2})
			}
			for _, id := range c.id {
				all = append(all, AttemptReport{Backend: id, Zone: "a", Attempts: 3, MeanLatency: 0.2, Span: 1})
			}
			c.Step(now, all)
		}
		b.Run(fmt.Sprintf("deal/%d-%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				c.ring.assignAll()
			}
		})
		b.Run(fmt.Sprintf("step/%d-%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				now += 0.004
				c.Step(now, nil)
			}
		})
	}
}
