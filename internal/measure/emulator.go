package measure

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/load"
	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

const (
	capacityDuration   = 5 * time.Second // duration of one load test
	capacityWarmUp     = 1.5             // seconds in which schedule lag is ignored, because connections are being opened
	minCapacityRate    = 2000.0          // RPCs per second of the first load test
	maxCapacityRate    = 200000
	capacityRateFactor = 1.6  // ratio of the rate of a load test to that of the one before
	modelBatchSize     = 1000 // RPCs that measureModelRate submits between two reads of the real clock
)

// capacityResult is the outcome of one load test of the emulator on sockets.
type capacityResult struct {
	Backends, Loops int
	Rate, Answered  float64 // RPCs per second: Rate as requested, Answered as answered
	Cores           float64 // CPU cores in use, by load generator and backends together
	ServerLag       float64 // seconds by which a backend fell behind schedule, at most
	ClientLag       float64 // seconds by which the load generator fell behind schedule, at most
	Invalid         bool    // backends or load generator fell behind schedule
}

// measureCapacity sends RPCs at a rate to emulated backends on several event loops. Backends and load generator run in this process
// and communicate over loopback sockets.
func measureCapacity(ctx context.Context, backends, loops int, rate float64, duration time.Duration) (capacityResult, error) {
	capacity := capacityResult{Backends: backends, Loops: loops, Rate: rate}
	fleet, err := startBackendLoops(ctx, backends, loops)
	if err != nil {
		return capacity, err
	}
	defer fleet.stop()
	cpuBefore := processCPU()
	sent, err := load.Run(ctx, capacityLoadConfig(rate, fleet.addrs, duration))
	if err != nil {
		return capacity, fmt.Errorf("send %.0f RPCs per second: %w", rate, err)
	}
	capacity.Cores = (processCPU() - cpuBefore) / duration.Seconds()
	serverLag := fleet.stop()
	capacity.ServerLag, capacity.ClientLag = serverLag.Max, sent.ScheduleLag.Max
	capacity.Invalid = sent.ScheduleLag.Invalid() || serverLag.Invalid()
	answered := 0
	for _, second := range sent.Seconds {
		answered += second.InTime + second.Late
	}
	capacity.Answered = float64(answered) / duration.Seconds()
	return capacity, nil
}

// capacityLoadConfig returns the configuration of a load generator that sends to the given backend addresses.
func capacityLoadConfig(rate float64, backends []string, duration time.Duration) load.Config {
	return load.Config{
		Proxies: 4, Rate: rate, Backends: backends, Duration: duration, Seed: 1,
		Methods: []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 0.5}},
		FrontEnd: fake.FrontEndConfig{
			Methods: []fake.MethodConfig{{Name: "read", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}},
			Policy:  "lottery", ReportPeriod: 0.5, ConnectTimeout: 2,
		},
	}
}

// processCPU returns the CPU time in seconds that this process has used, or 0 if it can't be determined.
func processCPU() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/microsecondsPerSecond
}

// backendLoops is a set of emulated backends that are distributed over several event loops.
type backendLoops struct {
	cancel context.CancelFunc
	loops  []*eventloop.Loop
	addrs  []string
	lags   []report.ScheduleLag // by loop; each loop writes only its own element, until it has ended
}

// startBackendLoops starts emulated backends on count event loops. The caller has to call stop.
func startBackendLoops(ctx context.Context, backends, count int) (*backendLoops, error) {
	ctx, cancel := context.WithCancel(ctx)
	started := &backendLoops{cancel: cancel, lags: make([]report.ScheduleLag, count)}
	for i := range count {
		fleet := emulator.NewFleet(func(stats emulator.FleetStats) {
			if stats.Elapsed >= capacityWarmUp {
				started.lags[i].Observe(stats.MaxDelay)
			}
		})
		var listen []string
		for backend := i; backend < backends; backend += count {
			fleet.AddBackend(fmt.Sprint("s", backend), emulator.Config{
				Backend: uint32(backend + 1), Cores: 8, Speed: 1, QueueLimit: 1000, Seed: uint64(backend),
				Work: []emulator.Work{{Mean: 0.002, Family: emulator.Exponential}},
			})
			listen = append(listen, loopbackAddr)
		}
		loop, err := eventloop.Start(ctx, eventloop.Bootstrap{Machine: fleet, Listen: listen})
		if err != nil {
			started.stop()
			return nil, fmt.Errorf("start %d backends: %w", backends, err)
		}
		started.loops = append(started.loops, loop)
		started.addrs = append(started.addrs, loop.Addrs()...)
	}
	return started, nil
}

// stop ends the loops, waits for them, and returns their schedule lag. It may be called more than once.
func (b *backendLoops) stop() (lag report.ScheduleLag) {
	b.cancel()
	for _, loop := range b.loops {
		_ = loop.Wait() // returns the error of the canceled context
	}
	for _, loopLag := range b.lags {
		lag.Merge(loopLag)
	}
	return lag
}

// measureEmulator measures how many RPCs the emulator can execute: its model alone, on sockets, and in virtual time. The results
// are in the last part of docs/results-emulator.md.
func measureEmulator(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "\n| model alone, one core | RPCs per second |\n| --- | --- |")
	for _, utilization := range []float64{0.3, 0.9} {
		fmt.Fprintf(out, "| at a utilization of %.1f | %.0f |\n", utilization, measureModelRate(utilization))
	}
	fmt.Fprintln(out, "\n| backends | loops | RPCs per second requested | answered | cores used by both sides | RPCs per second and core | backends' maximum lag ms | load generator's maximum lag ms | verdict |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ backends, loops int }{{50, 1}, {50, 2}, {500, 1}, {2000, 1}} {
		if err := writeCapacity(ctx, out, size.backends, size.loops); err != nil {
			return err
		}
	}
	return writeSimulationSpeed(out)
}

// writeCapacity runs load tests at increasing rates until the emulation falls behind schedule, and writes a table row for each.
func writeCapacity(ctx context.Context, out io.Writer, backends, loops int) error {
	for rate := minCapacityRate; rate < maxCapacityRate; rate *= capacityRateFactor {
		capacity, err := measureCapacity(ctx, backends, loops, rate, capacityDuration)
		if err != nil {
			return err
		}
		verdict := "kept up"
		if capacity.Invalid {
			verdict = "void"
		}
		fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f | %s |\n", capacity.Backends, capacity.Loops, capacity.Rate,
			capacity.Answered, capacity.Cores, capacity.Answered/max(capacity.Cores, 1e-3), millisecondsPerSecond*capacity.ServerLag,
			millisecondsPerSecond*capacity.ClientLag, verdict)
		if capacity.Invalid || ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// writeSimulationSpeed measures how fast scenarios with fleets of several sizes are played in virtual time.
func writeSimulationSpeed(out io.Writer) error {
	const rate = 5.0 // RPCs per second of each front end
	fmt.Fprintln(out, "\n| virtual time, backends / proxies | RPCs per second | virtual seconds per second, one core | steps per second |\n| --- | --- | --- | --- |")
	for _, size := range []fleetSize{{10, 30}, {100, 300}, {1000, 3000}} {
		text := fmt.Sprintf("day size\nsettings region.conf\nlength 10s\ncoordinators 2\nservers %d capacity 30\nfrontends %d rate %g\nmix 70%% 30%%\n", size.backends, size.frontEnds, rate)
		sized, err := scenario.Read("size.day", text, scenario.File)
		if err != nil {
			return err
		}
		start := time.Now()
		result, err := scenario.PlayVirtual(sized, scenario.Options{})
		if err != nil {
			return err
		}
		seconds := time.Since(start).Seconds()
		fmt.Fprintf(out, "| %d / %d | %.0f | %.2f | %.0f |\n", size.backends, size.frontEnds, float64(size.frontEnds)*rate, sized.Duration/seconds,
			float64(result.MachineSteps)/seconds)
	}
	return nil
}

// measureModelRate returns how many RPCs per second of real time the model of a backend executes without sockets. utilization is
// the offered load as a share of the modeled backend's capacity.
func measureModelRate(utilization float64) float64 {
	config := emulator.Config{
		Backend: 1, Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.02}}, QueueLimit: 1000, CancelPolicy: emulator.DropQueued, Seed: 1,
	}
	model := emulator.NewModel(config, 0)
	model.Connect(1, "")
	random := emulator.NewRandom(2)
	arrivalRate := utilization * config.Capacity([]float64{1})
	start, now, rpcs := time.Now(), 0.0, 0
	for time.Since(start) < time.Second {
		for range modelBatchSize {
			arrival := now + random.Interarrival(arrivalRate)
			for model.NextTimer() <= arrival {
				now = model.NextTimer()
				model.Advance(now)
			}
			now = arrival
			rpcs++
			model.Advance(now)
			model.Submit(1, emulator.RPC{ID: uint64(rpcs), TimeLeft: 2})
			model.Advance(now)
		}
	}
	return float64(rpcs) / time.Since(start).Seconds()
}
