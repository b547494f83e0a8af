package haproxy

import (
	"fmt"
	"math"
	"testing"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// served serves an imported pool for some seconds in virtual time: a coordinator with the imported settings, a list service
// with the imported list, emulated servers, twelve proxies. Words are told to the list service at half time. It gives the
// first tries by server's name, before and after.
func served(t *testing.T, p Pool, seconds float64, words ...string) (before, after map[string]int) {
	t.Helper()
	lines, faults := bootstrap.Lex("out.conf", p.Settings(nil))
	trade, more := bootstrap.Parse("out.conf", lines)
	if len(faults)+len(more) > 0 {
		t.Fatal(faults, more)
	}
	const epoch = 1e6
	w := simnet.New(5, epoch, 0.0003, 0.0006)
	before, after = map[string]int{}, map[string]int{}
	names := map[uint32]string{}
	w.Trace = func(r trace.Record) {
		if r.Kind != trace.AttemptSent || r.Count != 1 || r.Time < epoch+3 {
			return
		}
		switch half := epoch + 3 + (seconds-3)/2; {
		case r.Time < half:
			before[names[r.Backend]]++
		case r.Time > half+1: // what the drain's grace allows is neither
			after[names[r.Backend]]++
		}
	}
	var list []fake.Endpoint
	numbers := p.Numbers()
	for _, s := range p.Listed() {
		ep := numbers[s.Name]
		names[ep] = s.Name
		state := proto.BackendOpen
		if s.State == Draining {
			state = proto.BackendDraining
		}
		list = append(list, fake.Endpoint{Backend: ep, State: state, Zone: "imported", Weight: float64(max(1, s.Weight)), Addr: s.Name, Incarnation: 1})
		w.AddNode(s.Name, "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return emulator.NewBackend(emulator.Config{Backend: ep, Zone: "imported", Cores: 64, Speed: 1, Work: []emulator.Work{{Mean: 0.002}}, QueueLimit: 1000, Seed: uint64(ep)})
		}, s.Name)
	}
	w.AddNode("list", "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		return fake.NewEndpointService(list)
	}, "list")
	w.AddNode("c0", "imported", func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
		b := trade.CoordinatorConfig(now)
		b.Seed = 3
		return coordinator.NewMachine(coordinator.Bootstrap{
			Name: "c0", Zone: "imported", EndpointListAddr: "list", ModuleConfig: b, HandshakeTimeout: 1, ProxyIdleTimeout: 10, EndpointListIdleTimeout: 5,
			ProbeTimeout: 1, MaxStreams: 100, MaxProbes: 10,
		}, nil)
	}, "c0")
	m := trade.CoordinatorConfig(0)
	methods := fake.MethodConfigs(m.Settings.Methods)
	order := append([]string{"list", "c0"}, func() (all []string) {
		for _, s := range p.Listed() {
			all = append(all, s.Name)
		}
		return all
	}()...)
	for i := range 12 {
		name := fmt.Sprint("f", i)
		w.AddNode(name, "imported", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return fake.NewFrontEnd(fake.FrontEndConfig{
				Name: name, Zone: "imported", Coordinators: []string{"c0"}, Methods: methods, Rate: 60,
				Policy: m.Settings.Pick, AvoidFor: 5, ReportPeriod: 2, ConnectTimeout: 0.25, Seed: uint64(i) + 1,
			})
		})
		order = append(order, name)
	}
	for _, name := range order {
		w.Start(name)
	}
	w.RunUntil(epoch + 3 + (seconds-3)/2)
	for _, x := range words {
		w.SendCommand("list", x)
	}
	w.RunUntil(epoch + seconds)
	if len(w.Failures) > 0 {
		t.Fatal(w.Failures)
	}
	return before, after
}

// chi is the chi-square statistic of counts against shares, with its degrees of freedom and number of RPCs; what nothing was
// declared for must not come at all.
func chi(t *testing.T, counts map[string]int, weights map[string]int) (x float64, freedom, n int) {
	t.Helper()
	sum := 0
	for name, c := range counts {
		n += c
		if weights[name] == 0 {
			t.Errorf("%d RPCs went to %q, which is to get none", c, name)
		}
	}
	for _, w := range weights {
		sum += w
	}
	for name, w := range weights {
		if w > 0 {
			want := float64(n) * float64(w) / float64(sum)
			x += (float64(counts[name]) - want) * (float64(counts[name]) - want) / want
			freedom++
		}
	}
	return x, freedom - 1, n
}

// Traffic falls as the files declare: chi-square at an error of 0.001 (16.3, 18.5 and 20.5 for 3, 4 and 5 degrees of freedom).
// The pools fit into one arc each, so that every proxy has all of a pool's servers.
func TestTrafficAsDeclared(t *testing.T) {
	limit := map[int]float64{1: 10.8, 2: 13.8, 3: 16.3, 4: 18.5, 5: 20.5}
	check := func(what string, counts, weights map[string]int) {
		x, f, n := chi(t, counts, weights)
		t.Logf("%s: chi-square %.1f of %d degrees over %d RPCs", what, x, f, n)
		if n < 4000 || x > limit[f] || math.IsNaN(x) {
			t.Errorf("%s: chi-square %.1f of %d degrees over %d RPCs: %v for weights %v", what, x, f, n, counts, weights)
		}
	}
	text := "backend a\nserver s1 h:1 weight 1\nserver s2 h:2 weight 16\nserver s3 h:3 weight 100\nserver s4 h:4 weight 256\nserver s5 h:5 weight 31\n" +
		"server off h:6 weight 200 disabled\nserver spare h:7 weight 200 backup\nserver slow h:8 weight 0\n"
	got := read(text)
	if len(got.Faults) > 0 {
		t.Fatal(got.Faults)
	}
	p := got.Pools[0]
	numbers := p.Numbers()
	weights := map[string]int{"s1": 1, "s2": 16, "s3": 100, "s4": 256, "s5": 31}
	before, after := served(t, p, 23, fmt.Sprintf("state %d draining", numbers["s4"]))
	check("weights from 1 to 256", before, weights)
	delete(weights, "s4")
	check("after the heaviest began to drain", after, weights)

	got = read("backend b\noption allbackups\nserver a h:1 disabled\nserver b h:2 backup weight 10\nserver c h:3 backup weight 30\n")
	before, _ = served(t, got.Pools[0], 23)
	check("backups alone", before, map[string]int{"b": 10, "c": 30})
	before, after = served(t, got.Pools[0], 23, fmt.Sprintf("weight %d 10", got.Pools[0].Numbers()["c"]))
	check("before a weight changes", before, map[string]int{"b": 10, "c": 30})
	check("after it did", after, map[string]int{"b": 10, "c": 10})
}
