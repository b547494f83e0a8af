package scenario

import (
	"fmt"
	"slices"
	"strconv"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/proto"
	"gingerfork/internal/simnet"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
	"gingerfork/internal/traffic"
)

// Stage is where a day plays: sockets, or virtual time.
type Environment interface {
	Now() statemachine.Seconds
	At(at statemachine.Seconds, do func())
	Start(name string)
	Kill(name string)
	Stall(name string, span statemachine.Seconds)
	Tell(name, text string)
	Hinder(name string, h simnet.Hindrance, match func(a, b string) bool)
	Clear(name string)
	Reset(match func(a, b string) bool)
}

// Result is what a day came to.
type Result struct {
	Scenario         *Scenario
	Report           invariant.Report
	Records          []trace.Record
	Failures         []string // of machines that failed: a defect of the program, whatever the rules say
	MachineSteps     int
	Truth            *GroundTruth     // nil unless it was asked for
	DuplicateEffects []emulator.Twice // RPCs that took effect twice, by the servers' own ledger
}

// cast is who plays in a day.
type cast struct {
	day     *Scenario
	stage   Environment
	record  func(trace.Record)
	servers []*actor
	fronts  []*actor
	coords  []*actor
	all     map[string]*actor
	dice    emulator.Dice
	count   int
	begin   statemachine.Seconds
	spoil   map[string]any // values given to coordinators in place of the settings'
	zoneCut map[string]int // how many cuts part a zone from the others
	ledger  *emulator.Ledger
	glance  float64 // servers tell of themselves so often; 0: they don't
}

type actor struct {
	name  string
	zone  string
	kind  string
	ep    proto.EP
	at    int
	rate  float64
	group BackendGroup
	up    bool
	lives int
	pick  string
	down  int // how many troubles keep it down
	// cutOff counts the cuts that part a server from all others.
	cutOff int
}

func newCast(d *Scenario) *cast {
	c := &cast{day: d, all: map[string]*actor{}, zoneCut: map[string]int{}, ledger: &emulator.Ledger{}, dice: emulator.NewDice(d.Seed)}
	zones := d.Zones()
	zone := func(z string, i int) string {
		if z == "" {
			return zones[i%len(zones)]
		}
		return z
	}
	put := func(to *[]*actor, a *actor) {
		*to = append(*to, a)
		c.all[a.name] = a
	}
	for i := range d.Coordinators {
		put(&c.coords, &actor{name: fmt.Sprintf("c%d", i), zone: zones[i%len(zones)], at: i})
	}
	for _, g := range d.Backends {
		for range g.Count {
			i := len(c.servers)
			put(&c.servers, &actor{name: fmt.Sprintf("s%d", i), zone: zone(g.Zone, i), kind: g.Kind, ep: proto.EP(i + 1), at: i, group: g})
		}
	}
	for n, g := range d.Proxies {
		factors := traffic.Uneven(g.Count, g.RateVariation, fake.Seed(d.Seed, fmt.Sprint("uneven ", n)))
		for k := range g.Count {
			i := len(c.fronts)
			put(&c.fronts, &actor{name: fmt.Sprintf("f%d", i), zone: zone(g.Zone, i), at: i, rate: g.Rate * factors[k], pick: g.BackendPolicy})
		}
	}
	c.all["list"] = &actor{name: "list", zone: zones[0]}
	return c
}

func (c *cast) draw() float64 { return c.dice.Draw() }

// listings is what the list service knows at the beginning; addr tells where servers are reached.
func (c *cast) listings(addr func(a *actor) string) (all []fake.Listing) {
	for _, s := range c.servers {
		all = append(all, fake.Listing{
			EP: s.ep, State: proto.ServerOpen, Kind: s.kind, Zone: s.zone, Weight: s.group.Weight,
			Addr: addr(s), Stamp: 1,
		})
	}
	return all
}

// server makes an emulated server for its next life.
func (c *cast) server(a *actor, store *emulator.Store) *emulator.Server {
	a.lives++
	t := c.trade(a, store)
	t.Cold = a.lives > 1
	t.Seed += uint64(a.lives)
	t.Glance = c.glance
	return emulator.NewServer(t)
}

// trade is what a server of its group is.
func (c *cast) trade(a *actor, store *emulator.Store) emulator.Trade {
	b := choice.Config{Settings: choice.DecodeSettings(c.day.Settings.Values)}
	g := a.group
	work := g.Work
	work.Mean = float64(g.Workers) / g.Capacity
	return emulator.Trade{
		EP: a.ep, Zone: a.zone, Cores: g.Workers, Speed: 1, Work: []emulator.Work{work}, QueueMost: g.Queue,
		GiveUp: g.CancelMode, ColdShare: b.Settings.ColdShare.Or(0.3), WarmAfter: b.Settings.WarmAfter.Or(10),
		FallMultiple: b.Settings.FallMultiple.Or(3), FallWindow: b.Settings.FallWindow.Or(1), ProbeWork: work.Mean / 10, ProbesMost: 10,
		ConnWork: work.Mean / 10, Seed: fake.Seed(c.day.Seed, a.name), Store: store, Ledger: c.ledger,
		Cell: g.Cell, Connections: g.MaxConnections, Reports: g.Reports, ReportLate: g.ReportDelay, ReportNoise: g.ReportNoise, Keys: g.CacheKeys, KeySaves: g.CacheSaving,
	}
}

func (c *cast) front(a *actor, coords []string) *fake.FrontEnd {
	b := choice.Config{Settings: choice.DecodeSettings(c.day.Settings.Values)}
	order := make([]string, 0, len(coords))
	for i := range coords {
		order = append(order, coords[(a.at+i)%len(coords)])
	}
	a.lives++
	pick := b.Settings.Pick
	if a.pick != "" {
		pick = a.pick
	}
	return fake.NewFrontEnd(fake.FrontTrade{
		Name: a.name, Zone: a.zone, Coordinators: order, Methods: c.day.methods(),
		Rate: a.rate, Pick: pick, Begin: c.begin, Shape: c.day.Shape, Keys: c.day.Keys, Strikes: int(b.Settings.Strikes.Or(0)), KeepAway: c.day.EjectionTime, TryWait: b.Settings.TryWait.Or(0.8),
		LineStill: c.day.EntryApplyTime, LevelRate: b.Settings.LevelKind == "rate", Period: b.Settings.ReportPeriod.Or(1), Watch: c.glance > 0,
		ConnectTimeout: c.day.ConnectTimeout, ComeAgain: c.day.ClientRetryShare, AgainWait: c.day.ClientRetryDelay, AgainMost: c.day.ClientRetryMax, Seed: fake.Seed(c.day.Seed, a.name) + uint64(a.lives),
	})
}

// store is what servers share for tokens, as the settings' groups allow.
func (c *cast) store() *emulator.Store {
	b := choice.Config{Settings: choice.DecodeSettings(c.day.Settings.Values)}
	s := &emulator.Store{Group: c.day.IdempotencyScope}
	for _, method := range b.Settings.Methods {
		s.Window = max(s.Window, method.Window.Or(0))
	}
	return s
}

// coordinator is what a coordinator is started with.
func (c *cast) coordinator(a *actor, now statemachine.Seconds, list string) coordinator.Bootstrap {
	t := c.day.Settings
	b := t.Coordinator(now)
	values := make(map[string]any, len(t.Values))
	for k, v := range t.Values {
		values[k] = v
	}
	for k, v := range c.spoil {
		values[k] = v
	}
	values["zone"], values["self"], values["coordinators"] = a.zone, float64(a.at), float64(c.day.Coordinators)
	b.Settings = choice.DecodeSettings(values)
	a.lives++
	b.Seed = fake.Seed(c.day.Seed, a.name) + uint64(a.lives)
	return coordinator.Bootstrap{
		Name: a.name, Zone: a.zone, ListAddr: list, Module: b, Handshake: t.Num("handshake"),
		Silence: t.Num("stream-silence"), ListSilence: t.Num("list-silence"), ProbeTimeout: t.Num("probe-timeout"),
		MostStreams: int(t.Num("streams")), MostProbes: int(t.Num("probes-at-once")),
	}
}

// start brings all on the stage, and puts the script's acts on the clock.
func (c *cast) start() {
	c.begin = c.stage.Now()
	c.up(c.all["list"])
	for _, s := range c.servers {
		c.up(s)
	}
	for _, a := range c.coords {
		c.up(a)
	}
	for _, f := range c.fronts {
		c.up(f)
	}
	for _, a := range c.day.Steps {
		c.stage.At(c.begin+a.At, func() { c.act(a) })
	}
}

func (c *cast) up(a *actor) {
	a.up = true
	if a.name[0] == 'c' {
		c.record(trace.Record{T: c.stage.Now(), Kind: trace.Boot, Who: a.name})
	}
	c.stage.Start(a.name)
}

// kill ends an actor's process; raise brings it back once nothing keeps it down. Troubles overlap.
func (c *cast) kill(a *actor) {
	if a.down++; a.down > 1 {
		return
	}
	a.up = false
	c.stage.Kill(a.name)
	r := trace.Record{T: c.stage.Now(), Kind: trace.Kill, Who: a.name}
	if a.ep > 0 {
		r = trace.Record{T: c.stage.Now(), Kind: trace.Gone, EP: a.ep}
	}
	c.record(r)
}

func (c *cast) raise(a *actor) {
	if a.down--; a.down > 0 {
		return
	}
	c.up(a)
	if a.ep > 0 {
		c.list("restart %d", a.ep)
	}
}

func (c *cast) list(format string, args ...any) { c.stage.Tell("list", fmt.Sprintf(format, args...)) }

func (c *cast) after(span statemachine.Seconds, do func()) { c.stage.At(c.stage.Now()+span, do) }

// then does something at the end of an act that has one.
func (c *cast) then(a Step, do func()) {
	if a.Duration > 0 {
		c.after(a.Duration, do)
	}
}

// pick chooses whom an act hits: at random by the day's seed, where only a number or a part is given.
func (c *cast) pick(from []*actor, p Selector) (hit []*actor) {
	for _, a := range from {
		if (p.Zone == "" || a.zone == p.Zone) && (p.Kind == "" || a.kind == p.Kind) && (len(p.Indexes) == 0 || slices.Contains(p.Indexes, a.at)) {
			hit = append(hit, a)
		}
	}
	n := len(hit)
	if p.Share > 0 {
		n = int(p.Share*float64(len(hit)) + 0.5)
	} else if p.Count > 0 {
		n = min(p.Count, n)
	}
	for i := range n {
		j := i + int(c.draw()*float64(len(hit)-i))
		hit[i], hit[j] = hit[j], hit[i]
	}
	return hit[:n]
}

func (c *cast) act(a Step) {
	c.count++
	id := strconv.Itoa(c.count)
	text := ""
	for i, w := range a.Source.Words[2:] {
		if i > 0 {
			text += " "
		}
		text += w
	}
	var hit []*actor
	switch a.Target {
	case "servers":
		hit = c.pick(c.servers, a.Selector)
	case "frontends", "streams":
		hit = c.pick(c.fronts, a.Selector)
	case "coordinators":
		hit = c.pick(c.coords, a.Selector)
	case "zone":
		hit = c.pick(c.servers, a.Selector)
	}
	c.record(trace.Record{T: c.stage.Now(), Kind: trace.Trouble, Text: text, X: c.lasts(a, len(hit))})
	in := map[string]bool{}
	for _, x := range hit {
		in[x.name] = true
	}
	by, _ := strconv.ParseFloat(a.Argument, 64)
	switch a.Verb {
	case "kill", "vanish", "lose":
		for _, x := range hit {
			c.fall(x, a.Verb != "vanish")
			c.then(a, func() { c.raise(x) })
		}
	case "stall":
		for _, x := range hit {
			c.stage.Stall(x.name, a.Duration)
			c.record(trace.Record{T: c.stage.Now(), Kind: trace.Stall, Who: x.name, X: a.Duration})
		}
	case "hang", "fast", "part", "method", "from", "dear", "shake", "conns":
		c.afflict(a, hit)
	case "pauses":
		for _, x := range hit {
			for t := 0.0; t < a.Duration; t++ {
				c.after(t+c.draw()*0.5, func() { c.stage.Tell(x.name, "hang") })
				c.after(t+0.5+min(by, 0.5), func() { c.stage.Tell(x.name, "heal hang") })
			}
		}
	case "silence":
		for i, x := range hit {
			up := c.hush(x, id+"."+strconv.Itoa(i))
			c.then(a, up)
		}
	case "flap":
		for i, x := range hit {
			for t := 0.0; t < a.Duration; t += 2 * max(by, 0.1) {
				c.after(t, func() {
					up := func() { c.raise(x) }
					switch a.FlapMode {
					case "silence":
						up = c.hush(x, id+"."+strconv.Itoa(i))
					case "hang", "fast":
						c.stage.Tell(x.name, a.FlapMode)
						up = func() { c.stage.Tell(x.name, "heal "+a.FlapMode) }
					default:
						c.fall(x, true)
					}
					c.after(max(by, 0.1), up)
				})
			}
		}
	case "deploy":
		c.deploy(a, hit)
	case "slow":
		if a.Target == "servers" {
			c.afflict(a, hit)
			break
		}
		usual := choice.Config{Settings: choice.DecodeSettings(c.day.Settings.Values)}.Settings.PushTime.Or(0.1)
		c.hinder(a, id, simnet.Hindrance{Delay: (by - 1) * usual}, c.streams(in))
	case "late":
		if a.Target == "list" {
			c.list("late %g", by)
			c.then(a, func() { c.list("late 0") })
			break
		}
		c.hinder(a, id, simnet.Hindrance{Delay: by}, c.streams(in))
	case "break":
		c.stage.Reset(c.streams(in))
	case "stale", "fail":
		c.list("%s on", a.Verb)
		c.then(a, func() { c.list("%s off", a.Verb) })
	case "empty", "one":
		if a.Verb == "one" {
			c.list("show %d", c.servers[int(c.draw()*float64(len(c.servers)))].ep)
		} else {
			c.list("show none")
		}
		c.then(a, func() { c.list("show all") })
	case "cut":
		c.hinder(a, id, simnet.Hindrance{Cut: true}, c.across(a, in))
		mark := func(n int) {
			switch a.Target {
			case "zone":
				c.zoneCut[a.Selector.Zone] += n
			case "servers":
				for _, x := range hit {
					x.cutOff += n
				}
			}
		}
		mark(1)
		c.then(a, func() { mark(-1) })
	case "load":
		for _, x := range hit {
			c.stage.Tell(x.name, fmt.Sprintf("rate %g", x.rate*by))
			c.then(a, func() { c.stage.Tell(x.name, fmt.Sprintf("rate %g", x.rate)) })
		}
	}
}

// lasts tells how long an act's trouble lasts, in seconds.
func (c *cast) lasts(a Step, hit int) statemachine.Seconds {
	rest := c.day.Duration - a.At
	switch {
	case a.Duration > 0:
		return min(a.Duration, rest)
	case a.Verb == "break":
		return 0
	case a.Verb == "deploy":
		drain, down, every := a.deploy()
		return min(float64(max(hit-1, 0))*every+drain+down, rest)
	}
	return rest
}

// deploy is how a deploy goes: how long servers drain, how long each is down, and when the next one's turn is.
func (a Step) deploy() (drain, down, every statemachine.Seconds) {
	value := func(name string, def float64) float64 {
		if v, ok := a.More[name]; ok {
			return v
		}
		return def
	}
	return value("drain", 3), value("down", 1), value("every", 1)
}

// hush has a server's machine lose its power: its process ends, and nobody hears of it, not even by a reset. What it
// gives brings it back.
func (c *cast) hush(x *actor, id string) func() {
	c.stage.Hinder(id, simnet.Hindrance{Cut: true}, func(a, b string) bool { return a == x.name || b == x.name })
	c.fall(x, true)
	return func() {
		c.stage.Clear(id)
		c.raise(x)
	}
}

// fall ends a process; where the list service is to know, it does after the day's notice.
func (c *cast) fall(x *actor, listed bool) {
	c.kill(x)
	if x.ep > 0 && listed {
		c.after(c.day.ExitDetectionDelay, func() {
			if !x.up {
				c.list("state %d gone", x.ep)
			}
		})
	}
}

func (c *cast) afflict(a Step, hit []*actor) {
	word := a.Verb
	by := a.Argument
	switch a.Verb {
	case "method":
		by = strconv.Itoa(slices.Index(c.day.Settings.Methods, a.Argument))
	case "from":
		by = "c" + a.Argument
	}
	if by != "" {
		word += " " + by
	}
	for _, x := range hit {
		c.stage.Tell(x.name, word)
		c.then(a, func() { c.stage.Tell(x.name, "heal "+a.Verb) })
	}
}

func (c *cast) hinder(a Step, id string, h simnet.Hindrance, match func(x, y string) bool) {
	c.stage.Hinder(id, h, match)
	mark := func(kind string) {
		for _, f := range c.fronts {
			for _, x := range c.coords {
				if h.Cut && (match(f.name, x.name) || match(x.name, f.name)) {
					c.record(trace.Record{T: c.stage.Now(), Kind: kind, Who: f.name, Of: x.name})
				}
			}
		}
		for _, x := range c.coords {
			if h.Cut && (match("list", x.name) || match(x.name, "list")) {
				c.record(trace.Record{T: c.stage.Now(), Kind: kind, Who: "list", Of: x.name})
			}
		}
	}
	mark(trace.Cut)
	c.then(a, func() {
		c.stage.Clear(id)
		mark(trace.Heal)
	})
}

// streams matches links between coordinators and the front ends that are hit.
func (c *cast) streams(hit map[string]bool) func(a, b string) bool {
	return func(a, b string) bool { return hit[a] && b[0] == 'c' || hit[b] && a[0] == 'c' }
}

func (c *cast) across(a Step, hit map[string]bool) func(x, y string) bool {
	switch a.Target {
	case "list":
		return func(x, y string) bool { return x == "list" || y == "list" }
	case "servers":
		return func(x, y string) bool { return hit[x] || hit[y] }
	}
	zone := func(n string) string {
		if x := c.all[n]; x != nil {
			return x.zone
		}
		return ""
	}
	return func(x, y string) bool { return (zone(x) == a.Selector.Zone) != (zone(y) == a.Selector.Zone) }
}

// deploy takes servers out one after another, with a drain announced, and brings them back cold.
func (c *cast) deploy(a Step, hit []*actor) {
	drain, down, every := a.deploy()
	for i, x := range hit {
		c.after(float64(i)*every, func() {
			if !x.up {
				return
			}
			c.list("state %d draining", x.ep)
			c.after(drain, func() {
				c.fall(x, true)
				c.after(down, func() { c.raise(x) })
			})
		})
	}
}

// finish sorts what was recorded and checks it.
func finish(d *Scenario, records []trace.Record, fails []string) (Result, error) {
	slices.SortStableFunc(records, func(a, b trace.Record) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
	report, err := invariant.Check(records, d.Limits())
	return Result{Scenario: d, Report: report, Records: records, Failures: fails}, err
}

// Options of a day in virtual time; the zero value is a plain day.
type Options struct {
	Log func(t statemachine.Seconds, node string, n statemachine.LogEntry)
	// Wrap may put another machine in a coordinator's place: one that is spoiled on purpose, to see that it is caught.
	Wrap func(name string, m statemachine.Machine) statemachine.Machine
	// Values are given to coordinators in place of the settings' own, to the same end.
	Overrides   map[string]any
	Tables      TableSource // how proxies get their tables
	SampleTruth bool        // the servers' true state is looked at, too
}

// Virtual plays a day in virtual time.
func PlayVirtual(d *Scenario, o Options) (Result, error) {
	var records []trace.Record
	c := newCast(d)
	c.spoil = o.Overrides
	const epoch = 1e6 // any time will do; one that is not 0 shows what takes 0 for "never"
	w := simnet.New(d.Seed, epoch, d.ZoneLatency, d.CrossZoneLatency)
	c.stage, c.record = w, func(r trace.Record) { records = append(records, r) }
	w.Trace, w.Log = c.record, o.Log
	self := func(a *actor) string { return a.name }
	store := c.store()
	frost := &fake.Frost{After: epoch + FreezeDelay}
	w.Add("list", c.all["list"].zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		return fake.NewList(c.listings(self))
	}, "list")
	for _, a := range c.servers {
		w.Add(a.name, a.zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return c.server(a, store) }, a.name)
	}
	coords := make([]string, 0, len(c.coords))
	for _, a := range c.coords {
		coords = append(coords, a.name)
		w.Add(a.name, a.zone, func(now statemachine.Seconds, _ map[string][]byte) statemachine.Machine {
			b := c.coordinator(a, now, "list")
			if o.Tables == AllBackends {
				return fake.NewPlain(a.name, "list", d.Settings.Methods, b.Module.Settings.ReportPeriod.Or(1))
			}
			kept, err := keptBy(w, a.name)
			if err != nil {
				w.Fails = append(w.Fails, fmt.Sprintf("%s: %v", a.name, err))
			}
			m := statemachine.Machine(coordinator.NewMachine(b, kept))
			if o.Tables == FrozenTables {
				m = frost.Wrap(m)
			}
			if o.Wrap != nil {
				m = o.Wrap(a.name, m)
			}
			return m
		}, a.name)
	}
	for _, a := range c.fronts {
		w.Add(a.name, a.zone, func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return c.front(a, coords) })
	}
	c.start()
	var truth *GroundTruth
	if o.SampleTruth {
		truth = &GroundTruth{}
		c.watch(w, truth)
	}
	w.Run(epoch + d.Duration)
	r, err := finish(d, records, w.Fails)
	r.Truth, r.DuplicateEffects = truth, c.ledger.Twice
	r.MachineSteps = w.Steps
	return r, err
}

// keptBy opens a node's store and reads what its last life left.
func keptBy(w *simnet.World, name string) (*checkpoint.Kept, error) {
	records, err := w.Records(name)
	if err != nil {
		return nil, err
	}
	return checkpoint.Read(records)
}
