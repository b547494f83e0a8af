package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// fleet is a core with so many servers and joined proxies, all of whose pushes were answered.
func fleet(b testing.TB, servers, proxies int) (c *Core, now float64, version uint64) {
	now = 1000
	c = New(choice.Config{Now: now, Settings: choice.DecodeSettings(values(map[string]any{"proxies": float64(proxies), "channel_room": 1e9, "channel_pace": 1e9,
		"messages": 0.0, "tick": 0.0, "probes": false}))}, nil)
	l := proto.EndpointUpdate{Kind: proto.UpdateFull, Version: 1}
	for i := range servers {
		l.Endpoints = append(l.Endpoints, entry(i+1, proto.BackendOpen))
	}
	events := []Event{News{l}}
	for i := range proxies {
		events = append(events, Join{StreamID(i + 1), hello(fmt.Sprint("f", i))})
	}
	answerAll(c, now, c.Step(now, events))
	return c, now + 1, 1
}

func answerAll(c *Core, now float64, o Orders) (lines, bytes int) {
	var events []Event
	for _, s := range o.Sends {
		bytes += len(proto.Append(nil, s.Push))
		lines += len(s.Push.Ops)
		for _, op := range s.Push.Ops {
			lines += len(op.Entries) + len(op.Admissions)
		}
		events = append(events, Answer{s.Stream, s.Push.Nonce})
	}
	c.Step(now+0.001, events)
	return lines, bytes
}

var sizes = [][2]int{{100, 300}, {300, 800}, {600, 2000}}

// One server drains and comes back: what that costs in bytes and lines, beside full tables to all, and which share of
// the time the module takes.
func BenchmarkOneServersChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			c, now, version := fleet(b, size[0], size[1])
			full := 0
			for f := range c.book.Subscribers() {
				full += len(proto.Append(nil, proto.Push{Ops: c.ops(c.book.BoundTables(f))}))
			}
			lines, bytes := 0, 0
			var within time.Duration
			b.ResetTimer()
			for i := range b.N {
				now += 3
				e := entry(1+i%size[0], proto.BackendDraining)
				for range 2 {
					version++
					o := c.Step(now, []Event{News{proto.EndpointUpdate{Kind: proto.UpdateDelta, BaseVersion: version - 1, Version: version, Endpoints: []proto.Endpoint{e}}}})
					begin := time.Now()
					n, m := answerAll(c, now, o)
					within += time.Since(begin)
					lines, bytes = lines+n, bytes+m
					e.State = proto.BackendOpen
					now += 0.5
				}
			}
			b.ReportMetric(float64(bytes)/float64(2*b.N), "bytes/change")
			b.ReportMetric(float64(lines)/float64(2*b.N), "lines/change")
			b.ReportMetric(float64(full), "bytes/full-push")
			b.ReportMetric(float64(full)/(float64(bytes)/float64(2*b.N)), "full/change")
		})
	}
}

// A step in which nothing came, and which part of it is the module's: the same steps of the same fleet without what is
// around it.
func BenchmarkQuietStep(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			whole, now, _ := fleet(b, size[0], size[1])
			alone, _, _ := fleet(b, size[0], size[1])
			begin := time.Now()
			for i := range b.N {
				alone.planner.Step(now+0.25*float64(i+1), nil)
			}
			module := time.Since(begin)
			b.ResetTimer()
			for i := range b.N {
				whole.alarm = now + 0.25*float64(i+1)
				whole.Step(whole.alarm, nil)
			}
			b.ReportMetric(100*float64(module)/float64(b.Elapsed()), "module-%")
		})
	}
}

// A storm of joins: six in each step of 4 ms, as when the other coordinators have died. The time a join must follow the
// proxy's arc, not the number of proxies that joined before it.
func BenchmarkStormOfJoins(b *testing.B) {
	const joinsPerStep, stepSeconds = 6, 0.004
	for _, servers := range []int{200, 600} {
		for _, proxies := range []int{300, 1000, 2600} {
			b.Run(fmt.Sprintf("%dx%d", servers, proxies), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					core, now, _ := fleet(b, servers, 0)
					b.StartTimer()
					for joined := 0; joined < proxies; now += stepSeconds {
						var events []Event
						for range min(joinsPerStep, proxies-joined) {
							joined++
							events = append(events, Join{StreamID(joined), hello(fmt.Sprint("f", joined))})
						}
						answerAll(core, now, core.Step(now, events))
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(proxies), "us/join")
			})
		}
	}
}
