package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// fleet is a core with so many servers and joined proxies, all of whose pushes were answered.
func newFleet(b testing.TB, servers, proxies int) (c *controller, now float64, version uint64) {
	now = 1000
	c = newController(choice.Config{Now: now, Settings: choice.DecodeSettings(testSettings(map[string]any{"proxies": float64(proxies), "channel_room": 1e9, "channel_pace": 1e9,
		"messages": 0.0, "tick": 0.0, "probes": false}))}, nil)
	l := proto.List{Kind: proto.ListFull, Version: 1}
	for i := range servers {
		l.Entries = append(l.Entries, listEntry(i+1, proto.ServerOpen))
	}
	events := []event{endpointListReceived{l}}
	for i := range proxies {
		events = append(events, proxyJoined{streamID(i + 1), hello(fmt.Sprint("f", i))})
	}
	acknowledgeAll(b, c, now, mustHandle(b, c, now, events))
	return c, now + 1, 1
}

func acknowledgeAll(b testing.TB, c *controller, now float64, result stepResult) (entries, bytes int) {
	var events []event
	for _, s := range result.pushes {
		bytes += len(proto.Append(nil, s.push))
		entries += len(s.push.Ops)
		for _, op := range s.push.Ops {
			entries += len(op.Lines) + len(op.Levels)
		}
		events = append(events, pushAcknowledged{s.stream, s.push.Mark})
	}
	mustHandle(b, c, now+0.001, events)
	return entries, bytes
}

var fleetSizes = [][2]int{{100, 300}, {300, 800}, {600, 2000}}

// One server drains and comes back: what that costs in bytes and lines, beside full tables to all, and which share of
// the time the module takes.
func BenchmarkOneBackendChanges(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			c, now, version := newFleet(b, size[0], size[1])
			full := 0
			for f := range c.distributor.Subscribers() {
				full += len(proto.Append(nil, proto.Push{Ops: c.wireOps(c.distributor.BoundTables(f))}))
			}
			lines, bytes := 0, 0
			var within time.Duration
			b.ResetTimer()
			for i := range b.N {
				now += 3
				e := listEntry(1+i%size[0], proto.ServerDraining)
				for range 2 {
					version++
					o := mustHandle(b, c, now, []event{endpointListReceived{proto.List{Kind: proto.ListChanges, Base: version - 1, Version: version, Entries: []proto.Entry{e}}}})
					begin := time.Now()
					n, m := acknowledgeAll(b, c, now, o)
					within += time.Since(begin)
					lines, bytes = lines+n, bytes+m
					e.State = proto.ServerOpen
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
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			whole, now, _ := newFleet(b, size[0], size[1])
			alone, _, _ := newFleet(b, size[0], size[1])
			begin := time.Now()
			for i := range b.N {
				alone.planner.Step(now+0.25*float64(i+1), nil)
			}
			module := time.Since(begin)
			b.ResetTimer()
			for i := range b.N {
				whole.timerAt = now + 0.25*float64(i+1)
				mustHandle(b, whole, whole.timerAt, nil)
			}
			b.ReportMetric(100*float64(module)/float64(b.Elapsed()), "module-%")
		})
	}
}

// A storm of joins: six in each step of 4 ms, as when the other coordinators have died. The time a join must follow the
// proxy's arc, not the number of proxies that joined before it.
func BenchmarkManyJoins(b *testing.B) {
	const joinsPerStep, stepSeconds = 6, 0.004
	for _, servers := range []int{200, 600} {
		for _, proxies := range []int{300, 1000, 2600} {
			b.Run(fmt.Sprintf("%dx%d", servers, proxies), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					core, now, _ := newFleet(b, servers, 0)
					b.StartTimer()
					for joined := 0; joined < proxies; now += stepSeconds {
						var events []event
						for range min(joinsPerStep, proxies-joined) {
							joined++
							events = append(events, proxyJoined{streamID(joined), hello(fmt.Sprint("f", joined))})
						}
						acknowledgeAll(b, core, now, mustHandle(b, core, now, events))
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(proxies), "us/join")
			})
		}
	}
}

func mustHandle(b testing.TB, c *controller, now float64, events []event) stepResult {
	b.Helper()
	result, err := c.handle(now, events)
	if err != nil {
		b.Fatal(err)
	}
	return result
}
