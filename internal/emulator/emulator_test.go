package emulator

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func plain(cores int, work Work) Trade {
	return Trade{EP: 1, Cores: cores, Speed: 1, Work: []Work{work}, QueueMost: 1 << 30, Seed: 7}
}

// waits plays Poisson arrivals and gives the mean wait for a core and the share that waited at all.
func waits(t *testing.T, trade Trade, load float64, n int) (mean, waited float64) {
	t.Helper()
	m := New(trade, 0)
	m.Connect(1, "")
	d := NewDice(3)
	rate := load * trade.Capacity([]float64{1})
	asked, now, sum := make([]Seconds, n), 0.0, 0.0
	ran := 0
	take := func() {
		for _, e := range m.Advance(now) {
			if r, ok := e.(Ran); ok {
				if w := now - asked[r.RPC.ID]; w > 1e-9 {
					sum += w
					waited++
				}
				ran++
			}
		}
	}
	for i := range n {
		next := now + d.Wait(rate)
		for m.Wake() <= next {
			now = m.Wake()
			take()
		}
		now = next
		take()
		asked[i] = now
		m.Ask(1, RPC{ID: uint64(i), Left: 1e9})
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
			want := rate * work.Square() / (2 * (1 - load))
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
		d, sum, square := NewDice(5), 0.0, 0.0
		const n = 300000
		for range n {
			x := w.Draw(&d)
			sum, square = sum+x, square+x*x
		}
		if math.Abs(sum/n-2) > 0.02 || math.Abs(square/n-w.Square()) > 0.05*w.Square() {
			t.Errorf("%s: mean %.3f, square %.3f, want 2 and %.3f", word, sum/n, square/n, w.Square())
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
		trade := plain(1, Work{Mean: 1, Shape: Fixed})
		trade.Cold, trade.ColdShare, trade.WarmAfter = true, rapid.Float64Range(0.05, 1).Draw(t, "share"), rapid.Float64Range(0.1, 20).Draw(t, "warm")
		trade.Speed = rapid.Float64Range(0.1, 5).Draw(t, "speed")
		m := New(trade, 0)
		m.Connect(1, "")
		s := &Server{trade: trade, model: m}
		now, done, slow, hung := 0.0, 0.0, 1.0, false
		m.Ask(1, RPC{ID: 1, Left: 1e9})
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
					done += trade.Speed * m.Warmth(at) / slow * (next - now) / parts
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
				_ = s.Tell(fmt.Sprint("slow ", slow))
			case 1:
				if !hung {
					_ = s.Tell("hang")
				} else {
					_ = s.Tell("heal hang")
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
			trade := Trade{
				EP: 1, Cores: 4, Speed: 1, Work: []Work{{Mean: 0.05, Shape: Fixed}}, QueueMost: 1e6, Cold: true, ColdShare: 0.25, WarmAfter: 10,
				FallMultiple: 2.5, FallWindow: 1, Seed: 1,
			}
			m := New(trade, 0)
			m.Connect(1, "")
			bound := 2.5*m.Warmth(age)*80 + 2 // RPCs in a window
			fell := false
			for i := range int(bound * part) {
				at := age + float64(i)/(bound*part)*0.02
				for _, e := range m.Advance(at) {
					_, f := e.(Fell)
					fell = fell || f
				}
				m.Ask(1, RPC{ID: uint64(i + 1), Left: 10})
			}
			m.Advance(age + 1)
			fell = fell || m.Fallen()
			if want := part > 1 && age < 10; fell != want {
				t.Errorf("at age %v with %.2f of its bound: fell %v", age, part, fell)
			}
		}
	}
}

func ends(m *Model, until Seconds) (all map[uint64]Status, ran map[uint64]int) {
	all, ran = map[uint64]Status{}, map[uint64]int{}
	for {
		at := min(m.Wake(), until)
		for _, e := range m.Advance(at) {
			switch e := e.(type) {
			case Reply:
				all[e.ID] = e.Status
			case Ran:
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
	for how, want := range map[GiveUp][3]bool{RunsOn: {true, true, true}, SkipsWait: {true, false, true}, Stops: {true, false, true}} {
		trade := plain(1, Work{Mean: 1, Shape: Fixed})
		trade.GiveUp = how
		m := New(trade, 0)
		m.Connect(1, "")
		m.Connect(2, "")
		m.Ask(1, RPC{ID: 1, Left: 0.5}) // runs, and is given up
		m.Ask(1, RPC{ID: 2, Left: 0.4}) // waits, and is given up
		m.Ask(2, RPC{ID: 3, Left: 9})
		all, ran := ends(m, 20)
		for i, w := range want {
			if (ran[uint64(i+1)] == 1) != w {
				t.Errorf("%d: RPC %d ran %d times", how, i+1, ran[uint64(i+1)])
			}
		}
		_, answered := all[1]
		if answered != (how != Stops) || all[3] != OK {
			t.Errorf("%d: %v", how, all)
		}
		// By the end of the connection.
		m = New(trade, 0)
		m.Connect(1, "")
		m.Connect(2, "")
		m.Ask(1, RPC{ID: 1, Left: 9})
		m.Ask(1, RPC{ID: 2, Left: 9})
		m.Ask(2, RPC{ID: 3, Left: 9})
		m.Disconnect(1)
		begin := 3.0
		switch how {
		case SkipsWait:
			begin = 2
		case Stops:
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
	trade := plain(4, Work{Mean: 0.01, Shape: Fixed})
	for group, again := range map[Group]bool{All: false, ByZone: true, ByCell: true, Each: true} {
		store, ledger := &Store{Group: group, Window: 5}, &Ledger{}
		var models []*Model
		for i, where := range []struct {
			zone string
			cell int
		}{{"a", 1}, {"b", 2}} {
			x := trade
			x.EP, x.Zone, x.Cell, x.Store, x.Ledger = uint32(i+1), where.zone, where.cell, store, ledger
			m := New(x, 0)
			m.Connect(1, "")
			models = append(models, m)
		}
		for _, m := range models {
			m.Ask(1, RPC{ID: 1, Token: 9, Left: 1})
			if all, _ := ends(m, 1); all[1] != OK {
				t.Errorf("%d: a repeat is answered with %v", group, all)
			}
		}
		if (ledger.Many == 1) != again || again && (ledger.Twice[0].First.EP != 1 || ledger.Twice[0].Again.EP != 2) {
			t.Errorf("group %d: %d second effects: %+v", group, ledger.Many, ledger.Twice)
		}
		models[0].Ask(1, RPC{ID: 1, Token: 9, Left: 1})
		ends(models[0], 2)
		was := ledger.Many
		models[0].Advance(8)
		models[0].Ask(1, RPC{ID: 1, Token: 9, Left: 1}) // past the window
		if ends(models[0], 9); ledger.Many != was+1 {
			t.Errorf("group %d: a repeat past the window has no effect", group)
		}
	}
	trade.Keys, trade.KeySaves, trade.Work[0].Mean = 2, 0.75, 1
	m := New(trade, 0)
	m.Connect(1, "")
	begin := 0.0
	for i, c := range []struct {
		key   uint64
		takes float64
	}{{1, 1}, {1, 0.25}, {2, 1}, {1, 0.25}, {3, 1}, {2, 1}, {1, 1}, {0, 1}} {
		m.Ask(1, RPC{ID: uint64(i + 1), Key: c.key, Left: 9})
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
		"fast": Aborted, "part 1": Aborted, "method 0": Aborted, "from c1": Aborted, "drain": PushedBack,
		"method 1": OK, "from c2": OK, "dear 3": OK, "slow 2": OK,
	} {
		m := New(plain(1, Work{Mean: 0.1, Shape: Fixed}), 0)
		s := &Server{trade: m.t, model: m}
		m.Connect(1, "c1")
		if err := s.Tell(word); err != nil {
			t.Fatal(err)
		}
		m.Ask(1, RPC{ID: 1, Left: 9})
		if all, _ := ends(m, 1); all[1] != want || len(all) != 1 {
			t.Errorf("%s: %v", word, all)
		}
		if err := s.Tell("heal"); err != nil {
			t.Fatal(err)
		}
		m.Ask(1, RPC{ID: 2, Left: 9})
		if all, _ := ends(m, 1.11); all[2] != OK || len(all) != 1 {
			t.Errorf("after %s healed: %v", word, all)
		}
	}
	s := &Server{model: New(plain(1, Work{Mean: 0.1, Shape: Fixed}), 0)}
	m := s.model
	for _, bad := range []string{"", "hangs", "slow", "slow 0", "slow x", "hang 3", "heal x", "part -1", "conns NaN", "from"} {
		if s.Tell(bad) == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	// Two hangs that overlap end with the later.
	m.Connect(1, "")
	_ = s.Tell("hang")
	_ = s.Tell("hang")
	m.Ask(1, RPC{ID: 1, Left: 9})
	m.Probe(1, 5)
	_ = s.Tell("heal hang")
	if all, _ := ends(m, 5); len(all) != 0 {
		t.Error("it answers while it hangs", all)
	}
	_ = s.Tell("heal hang")
	if all, _ := ends(m, 6); all[1] != OK {
		t.Error("it does not answer after", all)
	}
	// Connections: no more than it takes, and slow to shake hands.
	_ = s.Tell("conns 2")
	_ = s.Tell("shake 0.5")
	m.Connect(2, "")
	m.Connect(3, "")
	shut := 0
	for _, e := range m.Advance(6) {
		if x, ok := e.(Shut); ok && x.To == 3 {
			shut++
		}
	}
	m.Ask(2, RPC{ID: 2, Left: 9})
	early, _ := ends(m, 6.55)
	late, _ := ends(m, 6.65)
	if shut != 1 || len(early) != 0 || late[2] != OK {
		t.Error(shut, early, late)
	}
}

func TestQueueAndProbes(t *testing.T) {
	trade := plain(2, Work{Mean: 1, Shape: Fixed})
	trade.QueueMost, trade.ProbesMost, trade.ProbeWork = 3, 1, 0.5
	m := New(trade, 0)
	m.Connect(1, "")
	for i := range 8 {
		m.Ask(1, RPC{ID: uint64(i + 1), Left: 9})
	}
	under, waiting, busy := m.Load()
	all, _ := ends(m, 0.1)
	back := 0
	for _, s := range all {
		if s == PushedBack {
			back++
		}
	}
	if under != 5 || waiting != 3 || busy != 1 || back != 3 {
		t.Error(under, waiting, busy, all)
	}
	m = New(trade, 0)
	m.Connect(1, "")
	m.Probe(1, 1)
	m.Probe(1, 2)
	got := map[uint64]Status{}
	for _, at := range []float64{0.1, 0.6} {
		for _, e := range m.Advance(at) {
			if p, ok := e.(Probed); ok {
				got[p.ID] = p.Status
			}
		}
		if at == 0.1 && (len(got) != 1 || got[2] != PushedBack) {
			t.Error("one probe at once:", got)
		}
	}
	if got[1] != OK || len(got) != 2 {
		t.Error(got)
	}
}
