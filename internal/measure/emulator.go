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

// cpu is the CPU that this process has used, in seconds.
func cpu() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// Carried is one try at how much the emulator carries on sockets.
type Carried struct {
	Servers, Loops  int
	Rate, Answered  float64 // RPCs a second asked for and answered
	Cores           float64 // CPU used, by asking and serving together
	Late, AskedLate float64 // seconds, at most, on the servers' side and the asking one
	Void            bool
}

// Carry asks a fleet of emulated servers in this process for RPCs over loopback sockets, and tells whether it kept up.
func Carry(ctx context.Context, servers, loops int, rate float64, span time.Duration) (Carried, error) {
	c := Carried{Servers: servers, Loops: loops, Rate: rate}
	inner, cancel := context.WithCancel(ctx)
	var all []*eventloop.Loop
	defer func() {
		cancel()
		for _, l := range all {
			_ = l.Wait()
		}
	}()
	var addrs []string
	behind := make([]report.ScheduleLag, loops)
	for k := range loops {
		fleet := emulator.NewFleet(func(t emulator.FleetStats) {
			if t.Elapsed < 1.5 { // connections are opened in the first second
				return
			}
			behind[k].Observe(t.MaxDelay)
		})
		var listen []string
		for i := k; i < servers; i += loops {
			fleet.AddBackend(fmt.Sprint("s", i), emulator.Config{
				Backend: uint32(i + 1), Cores: 8, Speed: 1, QueueLimit: 1000, Seed: uint64(i),
				Work: []emulator.Work{{Mean: 0.002, Family: emulator.Exponential}},
			})
			listen = append(listen, "127.0.0.1:0")
		}
		l, err := eventloop.Start(inner, eventloop.Bootstrap{Machine: fleet, Listen: listen})
		if err != nil {
			return c, fmt.Errorf("start %d servers: %w", servers, err)
		}
		all = append(all, l)
		addrs = append(addrs, l.Addrs()...)
	}
	before := cpu()
	r, err := load.Run(ctx, load.Config{
		Proxies: 4, Rate: rate, Backends: addrs, Duration: span, Seed: 1,
		Methods: []invariant.Method{{Name: "read", Criticality: 1, SoftDeadline: 0.5}},
		FrontEnd: fake.FrontEndConfig{
			Methods: []fake.MethodConfig{{Name: "read", Criticality: 1, SoftDeadline: 0.5, Deadline: 2, Share: 1}},
			Policy:  "lottery", ReportPeriod: 0.5, ConnectTimeout: 2,
		},
	})
	if err != nil {
		return c, fmt.Errorf("ask for %.0f RPCs a second: %w", rate, err)
	}
	c.Cores = (cpu() - before) / span.Seconds()
	cancel()
	for _, l := range all {
		_ = l.Wait()
	}
	all = nil
	var served report.ScheduleLag
	for _, b := range behind {
		served.Merge(b)
	}
	c.Late = served.Max
	c.AskedLate = r.ScheduleLag.Max
	c.Void = r.ScheduleLag.Invalid() || served.Invalid()
	answered := 0
	for _, s := range r.Seconds {
		answered += s.InTime + s.Late
	}
	c.Answered = float64(answered) / span.Seconds()
	return c, nil
}

// Emulator takes the figures of docs/results-emulator.md's last part.
func Emulator(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "\n| model alone, one core | RPCs a second |\n| --- | --- |")
	for _, busy := range []float64{0.3, 0.9} {
		fmt.Fprintf(out, "| at a load of %.1f | %.0f |\n", busy, alone(busy))
	}
	fmt.Fprintln(out, "\n| servers | loops | RPCs a second asked | answered | cores used, both sides | RPCs a second and core | servers at most ms late | asking at most ms late | verdict |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range [][2]int{{50, 1}, {50, 2}, {500, 1}, {2000, 1}} {
		for rate := 2000.0; rate < 200000; rate *= 1.6 {
			c, err := Carry(ctx, size[0], size[1], rate, 5*time.Second)
			if err != nil {
				return err
			}
			verdict := "kept up"
			if c.Void {
				verdict = "void"
			}
			fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f | %s |\n", c.Servers, c.Loops, c.Rate, c.Answered, c.Cores,
				c.Answered/max(c.Cores, 1e-3), 1e3*c.Late, 1e3*c.AskedLate, verdict)
			if c.Void || ctx.Err() != nil {
				break
			}
		}
	}
	fmt.Fprintln(out, "\n| virtual time, servers / proxies | RPCs a second | virtual seconds a second, one core | steps a second |\n| --- | --- | --- | --- |")
	for _, size := range []struct {
		servers, fronts int
		rate            float64
	}{{10, 30, 5}, {100, 300, 5}, {1000, 3000, 5}} {
		text := fmt.Sprintf("day size\nsettings region.conf\nlength 10s\ncoordinators 2\nservers %d capacity 30\nfrontends %d rate %g\nmix 70%% 30%%\n", size.servers, size.fronts, size.rate)
		d, err := scenario.Read("size.day", text, scenario.File)
		if err != nil {
			return err
		}
		begin := time.Now()
		r, err := scenario.PlayVirtual(d, scenario.Options{})
		if err != nil {
			return err
		}
		took := time.Since(begin).Seconds()
		fmt.Fprintf(out, "| %d / %d | %.0f | %.2f | %.0f |\n", size.servers, size.fronts, float64(size.fronts)*size.rate, d.Duration/took, float64(r.MachineSteps)/took)
	}
	return nil
}

// alone is how many RPCs a second of real time the model does, without sockets, at a load.
func alone(busy float64) float64 {
	t := emulator.Config{Backend: 1, Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.02}}, QueueLimit: 1000, CancelPolicy: emulator.DropQueued, Seed: 1}
	m := emulator.NewModel(t, 0)
	m.Connect(1, "")
	d := emulator.NewRandom(2)
	rate := busy * t.Capacity([]float64{1})
	begin, now, n := time.Now(), 0.0, 0
	for time.Since(begin) < time.Second {
		for range 1000 {
			next := now + d.Interarrival(rate)
			for m.NextTimer() <= next {
				now = m.NextTimer()
				m.Advance(now)
			}
			now = next
			n++
			m.Advance(now)
			m.Submit(1, emulator.RPC{ID: uint64(n), TimeLeft: 2})
			m.Advance(now)
		}
	}
	return float64(n) / time.Since(begin).Seconds()
}
