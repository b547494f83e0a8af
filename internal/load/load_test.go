package load

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/report"
)

func start(t *testing.T, servers int, more func(*emulator.Config)) (addrs []string, l *eventloop.Loop) {
	t.Helper()
	fleet := emulator.NewFleet(nil)
	var listen []string
	for i := range servers {
		trade := emulator.Config{Backend: uint32(i + 1), Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.002, Family: emulator.Constant}}, QueueLimit: 1000, Seed: uint64(i)}
		if more != nil {
			more(&trade)
		}
		fleet.AddBackend(fmt.Sprint("s", i), trade)
		listen = append(listen, "127.0.0.1:0")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: fleet, Listen: listen})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = l.Wait()
	})
	return l.Addrs(), l
}

func boot(to []string) Config {
	m := []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 0.5}}
	return Config{FrontEnd: fake.FrontEndConfig{
		Methods: []fake.MethodConfig{{Name: "read", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}},
		Policy:  "pair", ReportPeriod: 0.5, ConnectTimeout: 1,
	}, Methods: m, Proxies: 4, Rate: 200, Backends: to, Duration: 2500 * time.Millisecond, Seed: 3}
}

// The asking goes on at its rate while all servers stand still, and what waited counts from when it was due.
func TestAskingDoesNotWait(t *testing.T) {
	addrs, l := start(t, 3, nil)
	told := time.AfterFunc(time.Second, func() { l.SendCommand("* hang") })
	healed := time.AfterFunc(1700*time.Millisecond, func() { l.SendCommand("* heal hang") })
	defer told.Stop()
	defer healed.Stop()
	r, err := Run(context.Background(), boot(addrs))
	if err != nil {
		t.Fatal(err)
	}
	asked, late := 0, 0
	for _, s := range r.Seconds {
		asked += s.InTime + s.Late + s.PushedBack + s.Aborted
		late += s.Late
	}
	if math.Abs(float64(asked)-500) > 6*math.Sqrt(500) {
		t.Errorf("%d RPCs ended of about 500 asked for", asked)
	}
	if late == 0 || r.Latencies[0].Worst < 0.5 || r.Service > 0.99 {
		t.Errorf("a stall of 700 ms: %d late, the worst after %.3f s, service %.3f", late, r.Latencies[0].Worst, r.Service)
	}
}

func TestBadRunsAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no proxies":             func(b *Config) { b.Proxies = 0 },
		"no rate":                func(b *Config) { b.Rate = 0 },
		"no time":                func(b *Config) { b.Duration = 0 },
		"nobody to ask":          func(b *Config) { b.Backends = nil },
		"both":                   func(b *Config) { b.Coordinators = []string{"x"} },
		"a wave without its day": func(b *Config) { b.FrontEnd.Shape.DailySwing = 0.5 },
	} {
		b := boot([]string{"127.0.0.1:1"})
		spoil(&b)
		if _, err := Run(context.Background(), b); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
	b := boot([]string{"127.0.0.1:1"}) // nobody listens there: all is pushed back, none is lost
	b.Duration = 600 * time.Millisecond
	r, err := Run(context.Background(), b)
	if err != nil || r.Service > 0 || len(r.Seconds) == 0 || r.Seconds[0].PushedBack == 0 {
		t.Errorf("without servers: %v, %+v", err, r)
	}
}

// A run whose emulation fell behind is void, one that did not is not.
func TestVoid(t *testing.T) {
	for _, c := range []struct {
		b    report.Behind
		void bool
	}{{report.Behind{Looks: 1000, Late: 9, Worst: 0.2}, false}, {report.Behind{Looks: 1000, Late: 20, Worst: 0.05}, true}, {report.Behind{Worst: 0.3}, true}, {report.Behind{}, false}} {
		if c.b.Void() != c.void {
			t.Errorf("%+v: void %v", c.b, c.b.Void())
		}
	}
}
