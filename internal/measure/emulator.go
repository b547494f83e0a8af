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
	capacitySpan     = 5 * time.Second // of one attempt
	capacityWarmUp   = 1.5             // seconds in which lag does not count, as connections are opened
	minCapacityRate  = 2000.0          // RPCs a second of the first attempt
	maxCapacityRate  = 200000
	capacityRateStep = 1.6 // from one attempt to the next
	modelBatch       = 1000
)

// capacityResult is the outcome of one attempt at how much the emulator serves on sockets.
type capacityResult struct {
	Backends, Loops int
	Rate, Answered  float64 // RPCs a second that were sent and answered
	Cores           float64 // in use, by sending and serving together
	ServerLag       float64 // seconds, the most on the backends' side
	ClientLag       float64 // seconds, the most on the senders' side
	Invalid         bool    // the emulation did not keep up
}

// tryCapacity sends RPCs to a fleet of emulated backends in this process over loopback sockets.
func tryCapacity(ctx context.Context, backends, loops int, rate float64, span time.Duration) (capacityResult, error) {
	capacity := capacityResult{Backends: backends, Loops: loops, Rate: rate}
	fleet, err := startBackendLoops(ctx, backends, loops)
	if err != nil {
		return capacity, err
	}
	defer fleet.stop()
	before := processCPU()
	sent, err := load.Run(ctx, capacityLoad(rate, fleet.addrs, span))
	if err != nil {
		return capacity, fmt.Errorf("ask for %.0f RPCs a second: %w", rate, err)
	}
	capacity.Cores = (processCPU() - before) / span.Seconds()
	served := fleet.stop()
	capacity.ServerLag, capacity.ClientLag = served.Max, sent.ScheduleLag.Max
	capacity.Invalid = sent.ScheduleLag.Invalid() || served.Invalid()
	answered := 0
	for _, second := range sent.Seconds {
		answered += second.InTime + second.Late
	}
	capacity.Answered = float64(answered) / span.Seconds()
	return capacity, nil
}

func capacityLoad(rate float64, backends []string, span time.Duration) load.Config {
	return load.Config{
		Proxies: 4, Rate: rate, Backends: backends, Duration: span, Seed: 1,
		Methods: []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 0.5}},
		FrontEnd: fake.FrontEndConfig{
			Methods: []fake.MethodConfig{{Name: "read", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}},
			Policy:  "lottery", ReportPeriod: 0.5, ConnectTimeout: 2,
		},
	}
}

// processCPU returns the CPU time that this process has used, in seconds; 0 if the system does not tell.
func processCPU() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/microsecondsPerSecond
}

// backendLoops are emulated backends on several event loops.
type backendLoops struct {
	cancel context.CancelFunc
	loops  []*eventloop.Loop
	addrs  []string
	lags   []report.ScheduleLag // by loop; each loop writes its own until it has ended
}

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
			return nil, fmt.Errorf("start %d servers: %w", backends, err)
		}
		started.loops = append(started.loops, loop)
		started.addrs = append(started.addrs, loop.Addrs()...)
	}
	return started, nil
}

// stop ends the loops, waits for them, and returns how far they fell behind. It may be called again.
func (b *backendLoops) stop() (lag report.ScheduleLag) {
	b.cancel()
	for _, loop := range b.loops {
		_ = loop.Wait() // the error is that of the context
	}
	for _, other := range b.lags {
		lag.Merge(other)
	}
	return lag
}

// emulatorFigures takes the figures of the last part of docs/results-emulator.md.
func emulatorFigures(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "\n| model alone, one core | RPCs a second |\n| --- | --- |")
	for _, utilization := range []float64{0.3, 0.9} {
		fmt.Fprintf(out, "| at a load of %.1f | %.0f |\n", utilization, modelRate(utilization))
	}
	fmt.Fprintln(out, "\n| servers | loops | RPCs a second asked | answered | cores used, both sides | RPCs a second and core | servers at most ms late | asking at most ms late | verdict |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ backends, loops int }{{50, 1}, {50, 2}, {500, 1}, {2000, 1}} {
		if err := writeCapacity(ctx, out, size.backends, size.loops); err != nil {
			return err
		}
	}
	return writeSimulationSpeed(out)
}

// writeCapacity raises the rate until the emulation does not keep up, and writes a row for each attempt.
func writeCapacity(ctx context.Context, out io.Writer, backends, loops int) error {
	for rate := minCapacityRate; rate < maxCapacityRate; rate *= capacityRateStep {
		capacity, err := tryCapacity(ctx, backends, loops, rate, capacitySpan)
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

// writeSimulationSpeed writes how fast fleets of several sizes play in virtual time.
func writeSimulationSpeed(out io.Writer) error {
	const rate = 5.0 // RPCs a second of each front end
	fmt.Fprintln(out, "\n| virtual time, servers / proxies | RPCs a second | virtual seconds a second, one core | steps a second |\n| --- | --- | --- | --- |")
	for _, size := range []fleetSize{{10, 30}, {100, 300}, {1000, 3000}} {
		text := fmt.Sprintf("day size\nsettings region.conf\nlength 10s\ncoordinators 2\nservers %d capacity 30\nfrontends %d rate %g\nmix 70%% 30%%\n", size.backends, size.frontEnds, rate)
		played, err := scenario.Read("size.day", text, scenario.File)
		if err != nil {
			return err
		}
		start := time.Now()
		result, err := scenario.PlayVirtual(played, scenario.Options{})
		if err != nil {
			return err
		}
		seconds := time.Since(start).Seconds()
		fmt.Fprintf(out, "| %d / %d | %.0f | %.2f | %.0f |\n", size.backends, size.frontEnds, float64(size.frontEnds)*rate, played.Duration/seconds,
			float64(result.MachineSteps)/seconds)
	}
	return nil
}

// modelRate returns how many RPCs a second of real time the model of a backend serves, without sockets, at a utilization.
func modelRate(utilization float64) float64 {
	config := emulator.Config{
		Backend: 1, Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.02}}, QueueLimit: 1000, CancelPolicy: emulator.DropQueued, Seed: 1,
	}
	model := emulator.NewModel(config, 0)
	model.Connect(1, "")
	random := emulator.NewRandom(2)
	rate := utilization * config.Capacity([]float64{1})
	start, now, rpcs := time.Now(), 0.0, 0
	for time.Since(start) < time.Second {
		for range modelBatch {
			next := now + random.Interarrival(rate)
			for model.NextTimer() <= next {
				now = model.NextTimer()
				model.Advance(now)
			}
			now = next
			rpcs++
			model.Advance(now)
			model.Submit(1, emulator.RPC{ID: uint64(rpcs), TimeLeft: 2})
			model.Advance(now)
		}
	}
	return float64(rpcs) / time.Since(start).Seconds()
}
