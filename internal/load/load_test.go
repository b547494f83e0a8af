package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/report"
	"gingerfork/internal/traffic"
)

// startBackends starts emulated backends on sockets and gives their addresses.
func startBackends(t *testing.T, count int) (addrs []string, loop *eventloop.Loop) {
	t.Helper()
	fleet := emulator.NewFleet(nil)
	var listen []string
	for i := range count {
		fleet.AddBackend(fmt.Sprint("s", i), emulator.Config{
			Backend: uint32(i + 1), Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.002, Family: emulator.Constant}},
			QueueLimit: 1000, Seed: uint64(i),
		})
		listen = append(listen, "127.0.0.1:0")
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: fleet, Listen: listen})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = loop.Wait() // the tests judge the run and not how the backends end
	})
	return loop.Addrs(), loop
}

func testConfig(backends []string) Config {
	return Config{
		FrontEnd: fake.FrontEndConfig{
			Methods: []fake.MethodConfig{{Name: "read", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}},
			Policy:  "pair", ReportPeriod: 0.5, ConnectTimeout: 1,
		},
		Methods: []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 0.5}},
		Proxies: 4, Rate: 200, Backends: backends, Duration: 2500 * time.Millisecond, Seed: 3,
	}
}

// RPCs are sent at their rate while all backends hang, and their latency counts from when they were due.
func TestOpenLoop(t *testing.T) {
	addrs, loop := startBackends(t, 3)
	hang := time.AfterFunc(time.Second, func() { loop.SendCommand("* hang") })
	heal := time.AfterFunc(1700*time.Millisecond, func() { loop.SendCommand("* heal hang") })
	defer hang.Stop()
	defer heal.Stop()
	got, err := Run(context.Background(), testConfig(addrs))
	if err != nil {
		t.Fatal(err)
	}
	ended, late := 0, 0
	for _, second := range got.Seconds {
		ended += second.InTime + second.Late + second.Rejected + second.Aborted
		late += second.Late
	}
	if math.Abs(float64(ended)-500) > 6*math.Sqrt(500) {
		t.Errorf("%d RPCs ended, want about 500", ended)
	}
	if late == 0 || got.Latencies[0].Max < 0.5 || got.Service > 0.99 {
		t.Errorf("with a hang of 700 ms: %d late, the worst after %.3f s, service %.3f", late, got.Latencies[0].Max, got.Service)
	}
}

func TestInvalidConfigs(t *testing.T) {
	for name, test := range map[string]struct {
		spoil func(*Config)
		want  error
	}{
		"no proxies":            {func(config *Config) { config.Proxies = 0 }, errConfig},
		"no rate":               {func(config *Config) { config.Rate = 0 }, errConfig},
		"no duration":           {func(config *Config) { config.Duration = 0 }, errConfig},
		"no target":             {func(config *Config) { config.Backends = nil }, errConfig},
		"both kinds of targets": {func(config *Config) { config.Coordinators = []string{"x"} }, errConfig},
		"a swing without a day": {func(config *Config) { config.FrontEnd.Shape.DailySwing = 0.5 }, traffic.ErrInvalidShape},
	} {
		config := testConfig([]string{"127.0.0.1:1"})
		test.spoil(&config)
		if _, err := Run(context.Background(), config); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

// Without a listening backend every RPC is rejected and none is lost.
func TestUnreachableBackends(t *testing.T) {
	config := testConfig([]string{"127.0.0.1:1"})
	config.Duration = 600 * time.Millisecond
	got, err := Run(context.Background(), config)
	if err != nil || got.Service > 0 || len(got.Seconds) == 0 || got.Seconds[0].Rejected == 0 {
		t.Errorf("%v, %+v", err, got)
	}
}

// A run that could not keep up with its own schedule is void.
func TestVoid(t *testing.T) {
	for _, test := range []struct {
		behind report.ScheduleLag
		void   bool
	}{
		{report.ScheduleLag{Samples: 1000, Late: 9, Max: 0.2}, false},
		{report.ScheduleLag{Samples: 1000, Late: 20, Max: 0.05}, true},
		{report.ScheduleLag{Max: 0.3}, true},
		{report.ScheduleLag{}, false},
	} {
		if got := test.behind.Invalid(); got != test.void {
			t.Errorf("%+v: void %v", test.behind, got)
		}
	}
}
