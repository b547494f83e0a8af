// Package measure takes the figures of docs/performance.md: a coordinator's process on loopback sockets, under fleets of
// stand-ins of several sizes. Figures are of one machine; what is worth quoting is how they grow, and ratios within
// one run.
package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/trace"
)

// Fleet is a coordinator's process with its list service, servers and front ends.
type Fleet struct {
	clock   *eventloop.Clock
	dir     string
	serve   []string
	cmd     *exec.Cmd
	ended   chan struct{}
	list    *eventloop.Loop
	servers *eventloop.Loop
	fronts  *eventloop.Loop

	mu      sync.Mutex
	records []trace.Record
}

const settings = `instance c0
  zone a
  listen %s
  list-service %s
  state %s
  streams 20000
fleet
  zones a
  proxy-count %d
  warm-after 15s
  cold-share 28%%
  fall-multiple 2.5
  fall-window 1500ms
  drain-grace 2100ms
  bare-limit 3700ms
proxies
  pick pair
  strikes 5
  level-kind share
  report-period 2s
  push-time 5ms
  push-time-worst 340ms
channel
  room 400000
  pace 400000
  messages 30
method read
  effect idempotent
  criticality 1
  soft-deadline 1s
  deadline 2500ms
`

// Start brings a fleet up: serve is the command that runs a coordinator with a settings file added. rate is RPCs a
// second of each front end; at 0 the list's servers are only names, and none is run.
func Start(ctx context.Context, serve []string, servers, fronts int, rate float64) (f *Fleet, err error) {
	return start(ctx, serve, servers, fronts, rate, "-")
}

// start is Start with a state folder, within the fleet's own.
func start(ctx context.Context, serve []string, servers, fronts int, rate float64, state string) (f *Fleet, err error) {
	f = &Fleet{clock: eventloop.NewClock(), serve: serve}
	defer func() {
		if err != nil {
			f.Stop()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "gingerfork-measure-"); err != nil {
		return f, err
	}
	var all []fake.Endpoint
	crowd := fake.NewMultiplexer()
	var doors []string
	for i := range servers {
		ep := proto.BackendID(i + 1)
		all = append(all, fake.Endpoint{Backend: ep, State: proto.BackendOpen, Zone: "a", Weight: 1, Incarnation: 1, Addr: "127.0.0.1:1"})
		if rate > 0 {
			crowd.Add(fmt.Sprint("s", i), emulator.NewBackend(emulator.Config{Backend: ep, Cores: 8, Speed: 1, Work: []emulator.Work{{Mean: 0.008}}, QueueLimit: 100, Seed: uint64(ep)}), 1)
			doors = append(doors, "127.0.0.1:0")
		}
	}
	if rate > 0 {
		if f.servers, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: crowd, Listen: doors, Clock: f.clock}); err != nil {
			return f, err
		}
		for i, a := range f.servers.Addrs() {
			all[i].Addr = a
		}
	}
	f.list, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: fake.NewEndpointService(all), Listen: []string{"127.0.0.1:0"}, Clock: f.clock, Trace: f.note})
	if err != nil {
		return f, err
	}
	at := fmt.Sprintf("127.0.0.1:%d", 12000+os.Getpid()%15000)
	file := filepath.Join(f.dir, "c0.conf")
	text := fmt.Sprintf(settings, at, f.list.Addrs()[0], state, fronts)
	if err = os.WriteFile(file, []byte(text), 0o644); err != nil {
		return f, err
	}
	trade, err := bootstrap.Read(file)
	if err != nil {
		return f, err
	}
	if err = f.exec(); err != nil {
		return f, err
	}
	proxies := fake.NewMultiplexer()
	for i := range fronts {
		proxies.Add(fmt.Sprint("f", i), fake.NewFrontEnd(fake.FrontEndConfig{
			Name: fmt.Sprint("f", i), Zone: "a", Coordinators: []string{at}, Rate: rate,
			Methods: fake.MethodConfigs(trade.CoordinatorConfig(0).Settings.Methods), Policy: "pair", ReportPeriod: 2, ConnectTimeout: 2, Seed: uint64(i + 1),
		}), 0)
	}
	f.fronts, err = eventloop.Start(ctx, eventloop.Bootstrap{Machine: proxies, Clock: f.clock, Trace: f.note})
	return f, err
}

// exec starts the coordinator's process.
func (f *Fleet) exec() error {
	f.cmd = exec.Command(f.serve[0], append(slices.Clone(f.serve[1:]), filepath.Join(f.dir, "c0.conf"))...)
	f.cmd.Stderr = io.Discard
	if err := f.cmd.Start(); err != nil {
		return fmt.Errorf("start a coordinator: %w", err)
	}
	cmd, ended := f.cmd, make(chan struct{})
	f.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

func (f *Fleet) note(all []trace.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range all {
		if r.Kind != trace.RPCFinished {
			f.records = append(f.records, r)
		}
	}
}

// Stop ends all that Start began.
func (f *Fleet) Stop() {
	for _, l := range []*eventloop.Loop{f.fronts, f.servers, f.list} {
		if l != nil {
			l.Stop()
			_ = l.Wait()
		}
	}
	if f.ended != nil {
		_ = f.cmd.Process.Signal(syscall.SIGTERM)
		<-f.ended
	}
	_ = os.RemoveAll(f.dir) // a temporary folder: what stays of it is the system's to clean up
}

// take gives what was recorded since the last call.
func (f *Fleet) take() []trace.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.records
	f.records = nil
	return all
}

// Joined waits until so many proxies have applied a table, and tells how long that took from the first join and how many
// lines waited at most.
func (f *Fleet) Joined(n int, limit time.Duration) (took float64, err error) {
	applied := map[string]bool{}
	first, last := 0.0, 0.0
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		for _, r := range f.take() {
			if r.Kind == trace.ProxyJoined && first == 0 {
				first = r.Time
			}
			if r.Kind == trace.PushApplied && !applied[r.Party] {
				applied[r.Party] = true
				last = max(last, r.Time)
			}
		}
		if len(applied) >= n {
			return last - first, nil
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("%d of %d proxies have a table after %v", len(applied), n, limit)
		}
	}
}

// Drains takes servers out one after another and gives, for each, the seconds from the list's word until the last proxy
// that held the server had applied its withdrawal, after which none can send there; and how many RPCs were sent there
// in between.
func (f *Fleet) Drains(n int) (all []float64, sent int) {
	for ep := 1; ep <= n; ep++ {
		f.take()
		f.list.SendCommand(fmt.Sprintf("state %d draining", ep))
		time.Sleep(700 * time.Millisecond)
		told, last := 0.0, 0.0
		for _, r := range f.take() {
			switch {
			case r.Kind == trace.EndpointsDelivered && r.Coordinator == "c0" && told == 0:
				told = r.Time
			case r.Kind == trace.PushApplied && slices.Contains(strings.Split(r.Text, ";"), fmt.Sprint("withdraw ", ep)):
				last = max(last, r.Time)
			case r.Kind == trace.AttemptSent && r.Backend == uint32(ep) && told > 0:
				sent++
			}
		}
		if told > 0 {
			all = append(all, max(0, last-told))
		}
		f.list.SendCommand(fmt.Sprintf("state %d open", ep))
		time.Sleep(100 * time.Millisecond)
	}
	slices.Sort(all)
	return all, sent
}

// Used is what the coordinator's process has used so far: seconds of CPU and bytes of memory in place.
func (f *Fleet) Used() (cpu float64, memory int, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return 0, 0, errors.New("the process's figures can't be read")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.Atoi(fields[21])
	return (user + system) / 100, pages * os.Getpagesize(), nil
}

// Quantile of sorted figures.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Run takes the figures named (drains, joins, idle; none: all) and prints them as a page's tables.
func Run(ctx context.Context, out io.Writer, serve []string, which []string, picture io.Writer) error {
	all := len(which) == 0
	if all || slices.Contains(which, "store") {
		if err := Store(ctx, out, serve); err != nil {
			return err
		}
	}
	if all || slices.Contains(which, "drains") {
		fmt.Fprintln(out, "| servers | front ends | drains | median ms | 99th ms | worst ms | worst, of a grace of 2.1 s | RPCs sent meanwhile |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, size := range [][2]int{{50, 100}, {100, 300}, {300, 800}} {
			f, err := Start(ctx, serve, size[0], size[1], 4)
			if err != nil {
				return fmt.Errorf("start %v: %w", size, err)
			}
			_, err = f.Joined(size[1], 60*time.Second)
			if err != nil {
				f.Stop()
				return err
			}
			time.Sleep(2 * time.Second)
			d, sent := f.Drains(20)
			f.Stop()
			fmt.Fprintf(out, "| %d | %d | %d | %.1f | %.1f | %.1f | %.1f%% | %d |\n", size[0], size[1], len(d), 1e3*Quantile(d, 0.5), 1e3*Quantile(d, 0.99),
				1e3*Quantile(d, 1), 100*Quantile(d, 1)/2.1, sent)
		}
	}
	if all || slices.Contains(which, "joins") {
		fmt.Fprintln(out, "\n| proxies at once | servers | all have a table after ms | joins a second |\n| --- | --- | --- | --- |")
		for _, n := range []int{100, 300, 1000, 3000} {
			f, err := Start(ctx, serve, 100, n, 0)
			if err != nil {
				return fmt.Errorf("start %d: %w", n, err)
			}
			took, err := f.Joined(n, 120*time.Second)
			f.Stop()
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "| %d | 100 | %.0f | %.0f |\n", n, 1e3*took, float64(n)/took)
		}
	}
	if all || slices.Contains(which, "idle") {
		fmt.Fprintln(out, "\n| idle proxies | memory MiB | KiB a proxy beyond the first row | CPU % of a core | us of CPU a proxy and second |\n| --- | --- | --- | --- | --- |")
		base := 0
		for _, n := range []int{100, 1000, 4000, 8000} {
			f, err := Start(ctx, serve, 100, n, 0)
			if err != nil {
				return fmt.Errorf("start %d: %w", n, err)
			}
			if _, err = f.Joined(n, 180*time.Second); err != nil {
				f.Stop()
				return err
			}
			time.Sleep(3 * time.Second)
			before, _, err := f.Used()
			if err != nil {
				f.Stop()
				return err
			}
			const span = 8
			time.Sleep(span * time.Second)
			after, memory, err := f.Used()
			f.Stop()
			if err != nil {
				return err
			}
			if base == 0 {
				base = memory
			}
			each := 0.0
			if n > 100 {
				each = float64(memory-base) / float64(n-100) / 1024
			}
			fmt.Fprintf(out, "| %d | %.0f | %.1f | %.1f | %.0f |\n", n, float64(memory)/(1<<20), each, 100*(after-before)/span, 1e6*(after-before)/span/float64(n))
		}
	}
	if all || slices.Contains(which, "emulator") {
		if err := Emulator(ctx, out); err != nil {
			return err
		}
	}
	if all || slices.Contains(which, "retries") {
		return Retries(out, picture)
	}
	return nil
}
