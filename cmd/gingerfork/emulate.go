package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/load"
	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
	"gingerfork/internal/traffic"
)

type emulateCmd struct {
	Day   string  `arg:"" help:"A day: its servers and list service are emulated, with the troubles that befall them."`
	Port  int     `help:"Where the list service listens; servers have the ports behind it." default:"20000"`
	Part  string  `help:"Play only this part of the servers, so that several processes carry the fleet; the first has the list service." placeholder:"K/N"`
	Loops int     `help:"Loops that carry the servers." default:"1" placeholder:"N"`
	For   string  `help:"Play so long instead of the day's length." placeholder:"TIME"`
	Scale float64 `help:"So many times the servers." default:"1" placeholder:"X"`
	JSON  bool    `help:"Print a JSON line for each second."`
}

func (c emulateCmd) Run(ctx context.Context, p *program) error {
	d, err := readDay(c.Day)
	if err != nil {
		return badError{err}
	}
	if c.Scale != 1 && c.Scale > 0 {
		d.Scale(c.Scale)
	}
	e := scenario.Emulation{Scenario: d, Port: c.Port, EventLoops: c.Loops}
	if c.Part != "" {
		k, n, _ := strings.Cut(c.Part, "/")
		e.Part, err = strconv.Atoi(k)
		if err == nil {
			e.Parts, err = strconv.Atoi(n)
		}
		if err != nil {
			return fmt.Errorf("part %q is not K/N, such as 1/2", c.Part)
		}
	}
	if c.For != "" {
		if d.Duration, err = bootstrap.ParseDuration(c.For); err != nil {
			return fmt.Errorf("for %w", err)
		}
	}
	line := newLive(p.out)
	var mu sync.Mutex
	var late report.ScheduleLag
	e.OnTally = func(t emulator.FleetStats) {
		mu.Lock()
		defer mu.Unlock()
		late.Observe(t.MaxDelay)
		if c.JSON {
			_ = json.NewEncoder(p.out).Encode(t)
			return
		}
		line.show(t.String(), late.Samples%5 == 1)
	}
	e.OnStep = func(text string) {
		mu.Lock()
		defer mu.Unlock()
		if !c.JSON {
			line.print(text)
		}
	}
	if !c.JSON {
		fmt.Fprintf(p.out, "%s: list service at %s, servers from %s on, %.0f s\n", d.Name, e.ListAddr(), e.Addr(0), d.Duration)
	}
	if err := e.Run(ctx); err != nil {
		return badError{err}
	}
	line.end()
	mu.Lock()
	defer mu.Unlock()
	if !c.JSON {
		fmt.Fprintf(p.out, "at most %.1f ms late, more than %.0f ms in %d of %d seconds\n", 1e3*late.Max, 1e3*report.MaxLag, late.Late, late.Samples)
	}
	if late.Invalid() {
		return badError{fmt.Errorf("VOID: the emulation fell behind: its queues were longer than the servers' own")}
	}
	return nil
}

// live shows a line that is written over on a terminal, and now and then a plain line elsewhere.
type live struct {
	out      io.Writer
	terminal bool
	open     bool
}

func newLive(out io.Writer) *live {
	l := &live{out: out}
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		l.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	}
	return l
}

func (l *live) show(text string, plain bool) {
	if l.terminal {
		fmt.Fprintf(l.out, "\r\x1b[K%s", text)
		l.open = true
	} else if plain {
		fmt.Fprintln(l.out, text)
	}
}

func (l *live) print(text string) {
	l.end()
	fmt.Fprintln(l.out, "  "+text)
}

func (l *live) end() {
	if l.open {
		fmt.Fprintln(l.out)
		l.open = false
	}
}

type loadCmd struct {
	Settings    string   `required:"" help:"The fleet's settings: methods, how proxies pick." placeholder:"FILE"`
	Coordinator []string `help:"Coordinators whose tables the proxies follow." placeholder:"HOST:PORT"`
	Server      []string `help:"Instead: servers that all are sent to, by one fixed table." placeholder:"HOST:PORT"`
	Rate        float64  `help:"RPCs a second, of all proxies together." default:"100"`
	Proxies     int      `help:"Proxies that the load comes through." default:"10"`
	Uneven      float64  `help:"How uneven proxies are: coefficient of variation of their rates." default:"0"`
	For         string   `help:"How long." default:"30s" placeholder:"TIME"`
	Mix         []string `help:"The methods' shares. None: equal." placeholder:"SHARE"`
	Wave        string   `help:"The rate swings by this share" placeholder:"SHARE"`
	Over        string   `help:"over this time." default:"60s" placeholder:"TIME"`
	Bursts      string   `help:"Bursts of this share of the rate" placeholder:"PERCENT"`
	Every       string   `help:"every" default:"10s" placeholder:"TIME"`
	Lasting     string   `help:"for so long." default:"1s" placeholder:"TIME"`
	Keys        int      `help:"RPCs are about so many keys" placeholder:"N"`
	Zipf        float64  `help:"with this exponent." default:"1"`
	Again       string   `help:"Clients whose RPC failed come again with this chance" placeholder:"SHARE"`
	After       string   `help:"after about this time, doubled each time," default:"100ms" placeholder:"TIME"`
	AtMost      int      `help:"so many times at most." default:"2" placeholder:"N"`
	Seed        uint64   `help:"What chance is drawn from." default:"1"`
	JSON        bool     `help:"Print the result as JSON."`
	Picture     string   `help:"Draw it to this PNG file." placeholder:"FILE"`
}

func (c loadCmd) Run(ctx context.Context, p *program) error {
	s, err := bootstrap.Read(c.Settings)
	if err != nil {
		return badError{err}
	}
	m := s.CoordinatorConfig(0)
	b := load.Config{Proxies: c.Proxies, Rate: c.Rate, RateVariation: c.Uneven, Coordinators: c.Coordinator, Backends: c.Server, Seed: c.Seed}
	t := fake.FrontEndConfig{
		Methods: fake.MethodConfigs(m.Settings.Methods), Policy: m.Settings.Pick, FailureLimit: int(m.Settings.Strikes.Or(0)), AvoidFor: 5,
		AttemptTimeout: m.Settings.TryWait.Or(0.8), ApplyTimePerEntry: 0.0002, AdmissionIsRate: m.Settings.LevelKind == "rate", ReportPeriod: m.Settings.ReportPeriod.Or(1),
		ConnectTimeout: 0.25, ClientRetryLimit: c.AtMost,
	}
	for i, x := range t.Methods {
		b.Methods = append(b.Methods, invariant.Method{Name: x.Name, Criticality: x.Criticality, SoftDeadline: x.SoftDeadline})
		if len(c.Mix) > 0 && len(c.Mix) != len(t.Methods) {
			return fmt.Errorf("mix has %d shares, the settings have %d methods", len(c.Mix), len(t.Methods))
		}
		if len(c.Mix) > 0 {
			if t.Methods[i].Share, err = bootstrap.ParseShare(c.Mix[i]); err != nil {
				return fmt.Errorf("mix: %w", err)
			}
		}
	}
	b.Zones = append(b.Zones, m.Settings.Zones...)
	span := func(name, text string, into *float64) {
		if err == nil && text != "" {
			if *into, err = bootstrap.ParseDuration(text); err != nil {
				err = fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	share := func(name, text string, into *float64) {
		if err == nil && text != "" {
			if *into, err = scenario.ParsePercent(text); err != nil {
				err = fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	var length float64
	span("for", c.For, &length)
	share("wave", c.Wave, &t.Shape.DailySwing)
	span("over", c.Over, &t.Shape.DayLength)
	share("again", c.Again, &t.ClientRetryChance)
	span("after", c.After, &t.ClientRetryBackoff)
	if c.Bursts != "" {
		share("bursts", c.Bursts, &t.Shape.BurstFactor)
		span("every", c.Every, &t.Shape.BurstInterval)
		span("lasting", c.Lasting, &t.Shape.BurstLength)
	}
	if err == nil && c.Keys > 0 {
		t.Keys, err = traffic.NewZipf(c.Keys, c.Zipf)
	}
	if err != nil {
		return err
	}
	b.FrontEnd, b.Duration = t, time.Duration(length*1e9)
	line := newLive(p.out)
	if !c.JSON {
		b.OnSecond = func(second int, s report.Second) {
			line.show(fmt.Sprintf("%4d s: %d in time, %d late, %d pushed back, %d aborted; service %.3f", second+1, s.InTime, s.Late, s.Rejected, s.Aborted, s.Service()), second%5 == 0)
		}
	}
	r, err := load.Run(ctx, b)
	line.end()
	if err != nil {
		return err
	}
	if c.Picture != "" {
		if err := draw(c.Picture, "load", r); err != nil {
			return err
		}
	}
	if c.JSON {
		err = json.NewEncoder(p.out).Encode(r)
	} else {
		fmt.Fprintf(p.out, "service %.3f\n", r.Service)
		r.WriteText(p.out)
	}
	if err == nil && r.ScheduleLag.Invalid() {
		return badError{fmt.Errorf("VOID: the load fell behind itself")}
	}
	return err
}
