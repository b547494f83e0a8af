package endpointservice

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/endpointfile"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/proto"
	"gingerfork/internal/scenario"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// watched writes the trace of what a list service says, as the list stand-in does of itself, for the rule checker.
type watched struct {
	*Service
	out  map[statemachine.Conn]*proto.Reader
	in   map[statemachine.Conn]*proto.Reader
	name map[statemachine.Conn]string
	seen uint64
}

func (w *watched) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			w.in[i.Conn], w.out[i.Conn] = &proto.Reader{}, &proto.Reader{}
			w.in[i.Conn].HandshakeDone()
			w.out[i.Conn].HandshakeDone()
		case statemachine.ConnData:
			w.in[i.Conn].Feed(i.Data)
			for m, _ := w.in[i.Conn].Next(); m != nil; m, _ = w.in[i.Conn].Next() {
				switch m := m.(type) {
				case proto.Hello:
					w.name[i.Conn] = m.Name
				case proto.WatchEndpoints, proto.FetchEndpoints:
					out.Record(trace.Record{Time: now, Kind: trace.EndpointsRequested, Coordinator: w.name[i.Conn]})
				}
			}
		}
	}
	w.Service.Step(now, in, out)
	if v := w.f.Version(); v != w.seen { // the truth, whoever hears it
		w.seen = v
		text := "full"
		for _, e := range w.f.Endpoints() {
			text += fmt.Sprintf(" %d:%c:%.3f:%s", e.ID, "odg"[e.State], e.StartTime, w.zone)
		}
		out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Count: int64(v), Text: text})
	}
	for _, a := range out.Actions {
		r := w.out[a.Conn]
		if a.Kind != statemachine.ActionWrite || r == nil {
			continue
		}
		r.Feed(a.Data)
		for m, _ := r.Next(); m != nil; m, _ = r.Next() {
			l, is := m.(proto.EndpointUpdate)
			if !is || l.Kind == proto.UpdateFailed || l.Kind == proto.UpdateDelta && len(l.Endpoints) == 0 {
				continue
			}
			text := []string{"full", "changes"}[l.Kind]
			for _, e := range l.Endpoints {
				start := now - e.Age
				if e.StartedLongAgo {
					start = 0
				}
				text += fmt.Sprintf(" %d:%c:%.3f:%s", e.Backend, "god"[e.State], start, e.Zone)
			}
			out.Record(trace.Record{Time: now, Kind: trace.EndpointsDelivered, Coordinator: w.name[a.Conn], Count: int64(l.Version), Text: text})
		}
	}
}

// followed plays a fleet whose list follows files: what happens at which second. It gives the report, what was held back, and
// the records.
func followed(t *testing.T, seconds float64, happens map[float64]func(offer func([]endpointfile.Backend), w *simnet.Network)) (invariant.Report, []string, []trace.Record) {
	t.Helper()
	conf, err := scenario.File("perth.conf")
	if err != nil {
		t.Fatal(err)
	}
	lines, faults := bootstrap.Lex("perth.conf", string(conf))
	trade, more := bootstrap.Parse("perth.conf", lines)
	if len(faults)+len(more) > 0 {
		t.Fatal(faults, more)
	}
	const epoch, zone = 1e6, "dc-kewdale"
	w := simnet.New(3, epoch, 0.0003, 0.0006)
	var records []trace.Record
	w.Trace = func(r trace.Record) { records = append(records, r) }
	var held []string
	var now *Service
	w.AddNode("list", zone, func(_ statemachine.Seconds, files map[string][]byte) statemachine.Machine {
		s, err := New("list", zone, endpointfile.Settings{DrainPeriod: 4, MaxLossShare: 0.5}, files[StateFile], func(_ int, err error) {
			if err != nil {
				held = append(held, err.Error())
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		now = s
		return &watched{Service: s, out: map[statemachine.Conn]*proto.Reader{}, in: map[statemachine.Conn]*proto.Reader{}, name: map[statemachine.Conn]string{}}
	}, "list")
	// An offer is looked at in the next step, as on sockets.
	offer := func(s []endpointfile.Backend) { now.Submit(s); w.SendCommand("list", "look") }
	w.Start("list")
	offer(servers(6, 1))
	for i, s := range servers(6, 1) {
		w.AddNode(s.Addr, zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return emulator.NewBackend(emulator.Config{Backend: s.ID, Zone: zone, Cores: 4, Speed: 1, Work: []emulator.Work{{Mean: 0.02}}, QueueLimit: 100, Seed: uint64(i)})
		}, s.Addr)
		w.Start(s.Addr)
	}
	for i := range 2 {
		name := fmt.Sprint("c", i)
		w.AddNode(name, zone, func(at statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
			b := trade.CoordinatorConfig(at)
			values := map[string]any{}
			for k, v := range trade.Values {
				values[k] = v
			}
			values["self"], values["coordinators"] = float64(i), 2.0
			b.Settings, b.Seed = choice.DecodeSettings(values), uint64(i)+1
			records, err := w.OpenStore(name)
			if err != nil {
				t.Fatal(err)
			}
			kept, err := checkpoint.Decode(records)
			if err != nil {
				t.Fatal(err)
			}
			return coordinator.NewMachine(coordinator.Bootstrap{
				Name: name, Zone: zone, EndpointListAddr: "list", ModuleConfig: b, HandshakeTimeout: 1, ProxyIdleTimeout: 10, EndpointListIdleTimeout: 5,
				ProbeTimeout: 1, MaxStreams: 100, MaxProbes: 10,
			}, kept)
		}, name)
		records = append(records, trace.Record{Time: epoch, Kind: trace.CoordinatorStarted, Party: name})
		w.Start(name)
	}
	m := trade.CoordinatorConfig(0)
	for i := range 8 {
		name := fmt.Sprint("f", i)
		w.AddNode(name, zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
			return fake.NewFrontEnd(fake.FrontEndConfig{
				Name: name, Zone: zone, Coordinators: []string{fmt.Sprint("c", i%2), fmt.Sprint("c", 1-i%2)},
				Methods: fake.MethodConfigs(m.Settings.Methods), Rate: 15, Policy: m.Settings.Pick, AvoidFor: 5, AttemptTimeout: 0.8, ReportPeriod: 2, ConnectTimeout: 0.25, Seed: uint64(i) + 1,
			})
		})
		w.Start(name)
	}
	for at, do := range happens {
		w.Schedule(epoch+at, func() { do(offer, w) })
	}
	w.RunUntil(epoch + seconds)
	if len(w.Failures) > 0 {
		t.Fatal(w.Failures)
	}
	report, err := invariant.Check(records, (&scenario.Scenario{Settings: trade}).Limits())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Rules {
		if v.Violations > 0 {
			t.Errorf("rule %d at %.3f, %s: %s", v.Rule, v.FirstTime-epoch, v.Party, v.Reason)
		}
	}
	return report, held, records
}

// The file loses a server, the service dies and comes back between two files, a file is cut short, another flaps, a server
// moves: all rules are kept, and hardly an RPC is lost.
func TestFollowedListKeepsTheRules(t *testing.T) {
	five := servers(5, 1)
	report, held, records := followed(t, 40, map[float64]func(func([]endpointfile.Backend), *simnet.Network){
		5:  func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(five) },
		7:  func(_ func([]endpointfile.Backend), w *simnet.Network) { w.Kill("list") },
		10: func(offer func([]endpointfile.Backend), w *simnet.Network) { w.Start("list"); offer(servers(4, 1)) }, // the last one's drain ended meanwhile
		16: func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(servers(1, 1)) },                  // cut short
		18: func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(five) },
		19: func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(servers(4, 1)) },
		20: func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(five) },
		24: func(_ func([]endpointfile.Backend), w *simnet.Network) { w.Kill("c0") },
		25: func(offer func([]endpointfile.Backend), w *simnet.Network) { w.Start("c0"); offer(servers(6, 1)) },
	})
	if len(held) != 1 || !strings.Contains(held[0], "out of use") {
		t.Errorf("held back: %q", held)
	}
	if report.Service.Share() < 0.97 || report.Service.Aborted > 0 {
		t.Errorf("service %.3f, %d aborted", report.Service.Share(), report.Service.Aborted)
	}
	drained := 0
	for _, r := range records {
		if r.Kind == trace.EndpointsDelivered && r.Coordinator != "" && strings.Contains(r.Text, "6:d:") {
			drained++
		}
	}
	if drained == 0 {
		t.Error("no coordinator was told of the drain")
	}
}

// A changed weight goes to proxies as lines, not as new tables.
func TestChangedWeightIsALine(t *testing.T) {
	heavier := servers(6, 1)
	heavier[2].Weight = 1.3
	_, _, records := followed(t, 20, map[float64]func(func([]endpointfile.Backend), *simnet.Network){
		12: func(offer func([]endpointfile.Backend), _ *simnet.Network) { offer(heavier) },
	})
	lines := map[string]int{}
	for _, r := range records {
		if r.Kind != trace.PushApplied || r.Time < 1e6+12 || r.Time > 1e6+14 {
			continue
		}
		if strings.Contains(r.Text, "bind") {
			t.Errorf("%s was given a new table: %s", r.Party, r.Text)
		}
		if strings.Contains(r.Text, " 3:1.3") {
			lines[r.Party]++
		}
	}
	if len(lines) == 0 {
		t.Error("no proxy was told of the weight")
	}
	for who, n := range lines {
		if n > 2 { // a line for each table
			t.Errorf("%s was told %d times", who, n)
		}
	}
}
