package emulator

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func plain(cores int, work Work) Config {
	return Config{Backend: 1, Cores: cores, Speed: 1, Work: []Work{work}, QueueLimit: 1 << 30, Seed: 7}
}

// waits plays Poisson arrivals and gives the mean wait for a core and the share that waited at all.
func waits(t *testing.T, trade Config, load float64, n int) (mean, waited float64) {
	t.Helper()
	m := NewModel(trade, 0)
	m.Connect(1, "")
	d := NewRandom(3)
	rate := load * trade.Capacity([]float64{1})
	asked, now, sum := make([]Seconds, n), 0.0, 0.0
	ran := 0
	take := func() {
		for _, e := range m.Advance(now) {
			if r, ok := e.(Executed); ok {
				if w := now - asked[r.RPC.ID]; w > 1e-9 {
					sum += w
					waited++
				}
				ran++
			}
		}
	}
	for i := range n {
		next := now + d.Interarrival(rate)
		for m.NextTimer() <= next {
			now = m.NextTimer()
			take()
		}
		now = next
		take()
		asked[i] = now
		m.Submit(1, RPC{ID: uint64(i), TimeLeft: 1e9})
		take()
	}
	return sum / float64(ran), waited / float64(ran)
}

// erlangC is the chance to wait in M/M/c.
func erlangC(c int, load float64) float64 {
	a := load * float64(c)
	b := 1.0
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	return b / (1 - load*(1-b))
}

// Waits are those of the textbook: Erlang C for many cores, Pollaczek and Khinchine for one with work of any shape.
func TestWaitsAreTrue(t *testing.T) {
	n := 400000
	if testing.Short() {
		n = 100000
	}
	for _, c := range []int{1, 4, 16} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			trade := plain(c, Work{Mean: 0.05})
			mean, waited := waits(t, trade, load, n)
			chance := erlangC(c, load)
			want := chance * 0.05 / (float64(c) * (1 - load))
			if math.Abs(waited-chance) > 0.02 || math.Abs(mean-want) > 0.08*want {
				t.Errorf("%d cores at %.1f: %.3f wait, %.3f by Erlang; mean %.5f s, %.5f", c, load, waited, chance, mean, want)
			}
		}
	}
	for _, word := range []string{"fixed", "exponential", "lognormal:1.5", "pareto:3.5"} {
		work, err := ParseWork(word, 0.02)
		if err != nil {
			t.Fatal(err)
		}
		for _, load := range []float64{0.4, 0.8} {
			mean, _ := waits(t, plain(1, work), load, n)
			rate := load / 0.02
			want := rate * work.SecondMoment() / (2 * (1 - load))
			if math.Abs(mean-want) > 0.12*want {
				t.Errorf("%s at %.1f: mean wait %.5f s, %.5f by Pollaczek and Khinchine", word, load, mean, want)
			}
		}
	}
}

// The distributions have the means and squares that they say.
func TestDraws(t *testing.T) {
	for _, word := range []string{"fixed", "exponential", "lognormal:0.5", "pareto:5"} {
		w, _ := ParseWork(word, 2)
		d, sum, square := NewRandom(5), 0.0, 0.0
		const n = 300000
		for range n {
			x := w.Sample(&d)
			sum, square = sum+x, square+x*x
		}
		if math.Abs(sum/n-2) > 0.02 || math.Abs(square/n-w.SecondMoment()) > 0.05*w.SecondMoment() {
			t.Errorf("%s: mean %.3f, square %.3f, want 2 and %.3f", word, sum/n, square/n, w.SecondMoment())
		}
	}
	for _, bad := range []string{"pareto:2", "pareto", "lognormal", "fixed:1", "normal", "lognormal:-1", "exponential:2", "lognormal:NaN"} {
		if _, err := ParseWork(bad, 1); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

// A core that warms while it works is done when the integral of its speed says so, whatever changes on the way.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trade := plain(1, Work{Mean: 1, Family: Constant})
		trade.StartsCold, trade.ColdSpeed, trade.WarmupTime = true, rapid.Float64Range(0.05, 1).Draw(t, "share"), rapid.Float64Range(0.1, 20).Draw(t, "warm")
		trade.Speed = rapid.Float64Range(0.1, 5).Draw(t, "speed")
		m := NewModel(trade, 0)
		m.Connect(1, "")
		s := &Backend{trade: trade, model: m}
		now, done, slow, hung := 0.0, 0.0, 1.0, false
		m.Submit(1, RPC{ID: 1, TimeLeft: 1e9})
		finished := false
		note := func(all []Effect) {
			for _, e := range all {
				if _, ok := e.(Reply); ok {
					finished = true
				}
			}
		}
		for range 30 {
			next := now + rapid.Float64Range(0.001, 1).Draw(t, "step")
			// The same by small steps.
			const parts = 2000
			for i := range parts {
				at := now + (next-now)*(float64(i)+0.5)/parts
				if !hung && done < 1 {
					done += trade.Speed * m.WarmupFactor(at) / slow * (next - now) / parts
				}
			}
			note(m.Advance(next))
			now = next
			if finished != (done >= 1) && math.Abs(done-1) > 1e-3 {
				t.Fatalf("at %.3f: done %.4f, finished %v", now, done, finished)
			}
			if finished {
				return
			}
			switch rapid.IntRange(0, 3).Draw(t, "trouble") {
			case 0:
				slow = rapid.Float64Range(0.5, 5).Draw(t, "slow")
				_ = s.Command(fmt.Sprint("slow ", slow))
			case 1:
				if !hung {
					_ = s.Command("hang")
				} else {
					_ = s.Command("heal hang")
				}
				hung = !hung
			}
			note(m.Advance(now))
		}
	})
}

// A cold server falls just above its bound and stands just below, and knows nothing of a bound once it is warm.
func TestFallFromBothSides(t *testing.T) {
	for _, age := range []float64{0, 5, 9, 30} {
		for _, part := range []float64{0.9, 1.15} {
			trade := Config{
				Backend: 1, Cores: 4, Speed: 1, Work: []Work{{Mean: 0.05, Family: Constant}}, QueueLimit: 1e6, StartsCold: true, ColdSpeed: 0.25, WarmupTime: 10,
				OverloadMultiple: 2.5, OverloadWindow: 1, Seed: 1,
			}
			m := NewModel(trade, 0)
			m.Connect(1, "")
			bound := 2.5*m.WarmupFactor(age)*80 + 2 // RPCs in a window
			fell := false
			for i := range int(bound * part) {
				at := age + float64(i)/(bound*part)*0.02
				for _, e := range m.Advance(at) {
					_, f := e.(Collapsed)
					fell = fell || f
				}
				m.Submit(1, RPC{ID: uint64(i + 1), TimeLeft: 10})
			}
			m.Advance(age + 1)
			fell = fell || m.HasCollapsed()
			if want := part > 1 && age < 10; fell != want {
				t.Errorf("at age %v with %.2f of its bound: fell %v", age, part, fell)
			}
		}
	}
}

func ends(m *Model, until Seconds) (all map[uint64]Status, ran map[uint64]int) {
	all, ran = map[uint64]Status{}, map[uint64]int{}
	for {
		at := min(m.NextTimer(), until)
		for _, e := range m.Advance(at) {
			switch e := e.(type) {
			case Reply:
				all[e.ID] = e.Status
			case Executed:
				ran[e.RPC.ID]++
			}
		}
		if at >= until {
			return all, ran
		}
	}
}

// What a give-up does to waiting and to running work, in each of the three ways.
func TestGiveUps(t *testing.T) {
	for how, want := range map[CancelPolicy][3]bool{IgnoreCancel: {true, true, true}, DropQueued: {true, false, true}, CancelRunning: {true, false, true}} {
		trade := plain(1, Work{Mean: 1, Family: Constant})
		trade.CancelPolicy = how
		m := NewModel(trade, 0)
		m.Connect(1, "")
		m.Connect(2, "")
		m.Submit(1, RPC{ID: 1, TimeLeft: 0.5}) // runs, and is given up
		m.Submit(1, RPC{ID: 2, TimeLeft: 0.4}) // waits, and is given up
		m.Submit(2, RPC{ID: 3, TimeLeft: 9})
		all, ran := ends(m, 20)
		for i, w := range want {
			if (ran[uint64(i+1)] == 1) != w {
				t.Errorf("%d: RPC %d ran %d times", how, i+1, ran[uint64(i+1)])
			}
		}
		_, answered := all[1]
		if answered != (how != CancelRunning) || all[3] != StatusOK {
			t.Errorf("%d: %v", how, all)
		}
		// By the end of the connection.
		m = NewModel(trade, 0)
		m.Connect(1, "")
		m.Connect(2, "")
		m.Submit(1, RPC{ID: 1, TimeLeft: 9})
		m.Submit(1, RPC{ID: 2, TimeLeft: 9})
		m.Submit(2, RPC{ID: 3, TimeLeft: 9})
		m.Disconnect(1)
		begin := 3.0
		switch how {
		case DropQueued:
			begin = 2
		case CancelRunning:
			begin = 1
		}
		all, _ = ends(m, begin-0.01)
		if _, early := all[3]; early {
			t.Errorf("%d: the third was answered before %v", how, begin)
		}
		if all, _ = ends(m, begin+0.01); len(all) != 1 {
			t.Errorf("%d: the third was not answered at %v: %v", how, begin, all)
		}
	}
}

func TestTokensKeysAndTheLedger(t *testing.T) {
	trade := plain(4, Work{Mean: 0.01, Family: Constant})
	for group, again := range map[KeyScope]bool{AllBackends: false, PerZone: true, PerCell: true, PerBackend: true} {
		store, ledger := &KeyStore{Scope: group, Window: 5}, &ExecutionLog{}
		var models []*Model
		for i, where := range []struct {
			zone string
			cell int
		}{{"a", 1}, {"b", 2}} {
			x := trade
			x.Backend, x.Zone, x.Cell, x.KeyStore, x.Executions = uint32(i+1), where.zone, where.cell, store, ledger
			m := NewModel(x, 0)
			m.Connect(1, "")
			models = append(models, m)
		}
		for _, m := range models {
			m.Submit(1, RPC{ID: 1, IdempotencyKey: 9, TimeLeft: 1})
			if all, _ := ends(m, 1); all[1] != StatusOK {
				t.Errorf("%d: a repeat is answered with %v", group, all)
			}
		}
		if (ledger.RepeatCount == 1) != again || again && (ledger.Repeated[0].First.Backend != 1 || ledger.Repeated[0].Again.Backend != 2) {
			t.Errorf("group %d: %d second effects: %+v", group, ledger.RepeatCount, ledger.Repeated)
		}
		models[0].Submit(1, RPC{ID: 1, IdempotencyKey: 9, TimeLeft: 1})
		ends(models[0], 2)
		was := ledger.RepeatCount
		models[0].Advance(8)
		models[0].Submit(1, RPC{ID: 1, IdempotencyKey: 9, TimeLeft: 1}) // past the window
		if ends(models[0], 9); ledger.RepeatCount != was+1 {
			t.Errorf("group %d: a repeat past the window has no effect", group)
		}
	}
	trade.CacheSize, trade.CacheSavings, trade.Work[0].Mean = 2, 0.75, 1
	m := NewModel(trade, 0)
	m.Connect(1, "")
	begin := 0.0
	for i, c := range []struct {
		key   uint64
		takes float64
	}{{1, 1}, {1, 0.25}, {2, 1}, {1, 0.25}, {3, 1}, {2, 1}, {1, 1}, {0, 1}} {
		m.Submit(1, RPC{ID: uint64(i + 1), CacheKey: c.key, TimeLeft: 9})
		if all, _ := ends(m, begin+c.takes-0.01); len(all) > 0 {
			t.Errorf("%d: key %d done too soon", i, c.key)
		}
		if all, _ := ends(m, begin+c.takes+0.01); len(all) != 1 {
			t.Errorf("%d: key %d not done in %v", i, c.key, c.takes)
		}
		begin += c.takes + 0.01
	}
}

// Each trouble does what it says and ends when it is healed.
func TestTroubles(t *testing.T) {
	for word, want := range map[string]Status{
		"fast": StatusAborted, "part 1": StatusAborted, "method 0": StatusAborted, "from c1": StatusAborted, "drain": StatusRejected,
		"method 1": StatusOK, "from c2": StatusOK, "dear 3": StatusOK, "slow 2": StatusOK,
	} {
		m := NewModel(plain(1, Work{Mean: 0.1, Family: Constant}), 0)
		s := &Backend{trade: m.t, model: m}
		m.Connect(1, "c1")
		if err := s.Command(word); err != nil {
			t.Fatal(err)
		}
		m.Submit(1, RPC{ID: 1, TimeLeft: 9})
		if all, _ := ends(m, 1); all[1] != want || len(all) != 1 {
			t.Errorf("%s: %v", word, all)
		}
		if err := s.Command("heal"); err != nil {
			t.Fatal(err)
		}
		m.Submit(1, RPC{ID: 2, TimeLeft: 9})
		if all, _ := ends(m, 1.11); all[2] != StatusOK || len(all) != 1 {
			t.Errorf("after %s healed: %v", word, all)
		}
	}
	s := &Backend{model: NewModel(plain(1, Work{Mean: 0.1, Family: Constant}), 0)}
	m := s.model
	for _, bad := range []string{"", "hangs", "slow", "slow 0", "slow x", "hang 3", "heal x", "part -1", "conns NaN", "from"} {
		if s.Command(bad) == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	// Two hangs that overlap end with the later.
	m.Connect(1, "")
	_ = s.Command("hang")
	_ = s.Command("hang")
	m.Submit(1, RPC{ID: 1, TimeLeft: 9})
	m.Probe(1, 5)
	_ = s.Command("heal hang")
	if all, _ := ends(m, 5); len(all) != 0 {
		t.Error("it answers while it hangs", all)
	}
	_ = s.Command("heal hang")
	if all, _ := ends(m, 6); all[1] != StatusOK {
		t.Error("it does not answer after", all)
	}
	// Connections: no more than it takes, and slow to shake hands.
	_ = s.Command("conns 2")
	_ = s.Command("shake 0.5")
	m.Connect(2, "")
	m.Connect(3, "")
	shut := 0
	for _, e := range m.Advance(6) {
		if x, ok := e.(ConnRejected); ok && x.Conn == 3 {
			shut++
		}
	}
	m.Submit(2, RPC{ID: 2, TimeLeft: 9})
	early, _ := ends(m, 6.55)
	late, _ := ends(m, 6.65)
	if shut != 1 || len(early) != 0 || late[2] != StatusOK {
		t.Error(shut, early, late)
	}
}

func TestQueueAndProbes(t *testing.T) {
	trade := plain(2, Work{Mean: 1, Family: Constant})
	trade.QueueLimit, trade.ProbeLimit, trade.ProbeWork = 3, 1, 0.5
	m := NewModel(trade, 0)
	m.Connect(1, "")
	for i := range 8 {
		m.Submit(1, RPC{ID: uint64(i + 1), TimeLeft: 9})
	}
	under, waiting, busy := m.Load()
	all, _ := ends(m, 0.1)
	back := 0
	for _, s := range all {
		if s == StatusRejected {
			back++
		}
	}
	if under != 5 || waiting != 3 || busy != 1 || back != 3 {
		t.Error(under, waiting, busy, all)
	}
	m = NewModel(trade, 0)
	m.Connect(1, "")
	m.Probe(1, 1)
	m.Probe(1, 2)
	got := map[uint64]Status{}
	for _, at := range []float64{0.1, 0.6} {
		for _, e := range m.Advance(at) {
			if p, ok := e.(ProbeReply); ok {
				got[p.ID] = p.Status
			}
		}
		if at == 0.1 && (len(got) != 1 || got[2] != StatusRejected) {
			t.Error("one probe at once:", got)
		}
	}
	if got[1] != StatusOK || len(got) != 2 {
		t.Error(got)
	}
}
