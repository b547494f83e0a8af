// Package scenario plays days: a fleet, its traffic, and what happens when, from a script. The same script plays on
// sockets, with every coordinator a process of its own, and in virtual time. docs/days.md tells how to write one.
package scenario

import (
	"embed"
	"fmt"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"

	"gingerfork/choice"
	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/fake"
	"gingerfork/internal/invariant"
	"gingerfork/internal/traffic"
)

//go:embed days incidents
var shipped embed.FS

// Shipped gives the names of the days that come with the program.
func Builtin() (all []string) {
	return within("days")
}

// Incidents gives the names of the incidents that come with the program: larger days, each of a few troubles at once.
func Incidents() []string { return within("incidents") }

func within(dir string) (all []string) {
	entries, _ := shipped.ReadDir(dir)
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), ".day"); ok {
			all = append(all, name)
		}
	}
	return all
}

// File gives a shipped file's text; days name their settings so.
func File(name string) ([]byte, error) {
	data, err := shipped.ReadFile(path.Join("days", name))
	if err != nil {
		data, err = shipped.ReadFile(path.Join("incidents", name))
	}
	return data, err
}

// Scale changes the fleet's size, servers and front ends alike; each group keeps one at least. A deploy takes as long.
func (d *Scenario) Scale(by float64) {
	for i := range d.Backends {
		d.Backends[i].Count = max(1, int(float64(d.Backends[i].Count)*by+0.5))
	}
	for i := range d.Proxies {
		d.Proxies[i].Count = max(1, int(float64(d.Proxies[i].Count)*by+0.5))
	}
	for i := range d.Steps {
		d.Steps[i].Selector.Count = int(math.Ceil(float64(d.Steps[i].Selector.Count) * by))
		if every, has := d.Steps[i].More["every"]; has {
			d.Steps[i].More["every"] = every / by
		}
	}
}

// Day is a script that was read.
type Scenario struct {
	Name                          string
	SettingsFile                  string // the file, as the script names it
	Settings                      *bootstrap.Trade
	Duration                      float64
	Seed                          uint64
	Coordinators                  int
	Backends                      []BackendGroup
	Proxies                       []ProxyGroup
	EntryApplyTime                float64
	ConnectTimeout                float64
	EjectionTime                  float64
	ExitDetectionDelay            float64 // until the list service knows that a server's process ended
	ZoneLatency, CrossZoneLatency float64 // latencies within and between zones, in virtual time
	MethodMix                     []float64
	ClientRetryShare              float64 // chance that a client whose RPC failed comes again,
	ClientRetryDelay              float64 // after about this, doubled each time,
	ClientRetryMax                int     // and how often at most
	Shape                         traffic.Shape
	Keys                          *traffic.Zipf
	IdempotencyScope              emulator.Group // who shares what it knows of tokens
	Steps                         []Step
	lines                         []bootstrap.Line // of the settings
}

// ServerGroup is so many equal servers.
type BackendGroup struct {
	Count          int
	Zone           string
	Kind           string
	Capacity       float64
	Workers        int
	Queue          int
	Weight         float64
	Work           emulator.Work
	CancelMode     emulator.GiveUp
	Cell           int
	MaxConnections int
	Reports        bool
	ReportDelay    float64 // reports
	ReportNoise    float64
	CacheKeys      int // keys
	CacheSaving    float64
}

// FrontGroup is so many equal front ends.
type ProxyGroup struct {
	Count         int
	Zone          string
	Rate          float64
	RateVariation float64 // coefficient of variation of their rates
	BackendPolicy string  // "": as the settings say
}

// Act is a line of the script: what happens when, to whom, for how long.
type Step struct {
	Source   bootstrap.Line
	At       float64
	Verb     string
	Target   string // whom: servers, frontends, coordinators, list, zone, links, load
	Selector Selector
	Argument string
	Duration float64 // 0: for good
	FlapMode string  // how a flap goes down
	More     map[string]float64
}

// Pick says which of a kind are meant.
type Selector struct {
	All     bool
	Count   int
	Share   float64
	Zone    string
	Kind    string
	Indexes []int
}

// verbs say whom each may happen to, and whether it takes a `by`.
var verbs = map[string]struct {
	of []string
	by string // "": none, else what it is
}{
	"kill":    {[]string{"servers", "frontends", "coordinators"}, ""},
	"vanish":  {[]string{"servers"}, ""},
	"silence": {[]string{"servers"}, ""},
	"stall":   {[]string{"frontends", "coordinators"}, ""},
	"hang":    {[]string{"servers"}, ""},
	"fast":    {[]string{"servers"}, ""},
	"part":    {[]string{"servers"}, "share"},
	"method":  {[]string{"servers"}, "method"},
	"from":    {[]string{"servers"}, "coordinator"},
	"slow":    {[]string{"servers", "streams"}, "factor"},
	"dear":    {[]string{"servers"}, "factor"},
	"shake":   {[]string{"servers"}, "time"},
	"conns":   {[]string{"servers"}, "whole"},
	"pauses":  {[]string{"servers"}, "time"},
	"flap":    {[]string{"servers"}, "time"},
	"deploy":  {[]string{"servers"}, ""},
	"break":   {[]string{"streams"}, ""},
	"late":    {[]string{"list", "streams"}, "time"},
	"stale":   {[]string{"list"}, ""},
	"empty":   {[]string{"list"}, ""},
	"one":     {[]string{"list"}, ""},
	"fail":    {[]string{"list"}, ""},
	"cut":     {[]string{"zone", "servers", "list"}, ""},
	"lose":    {[]string{"zone"}, ""},
	"load":    {[]string{"frontends"}, "share"},
}

// Words gives the verbs, for messages and documentation.
func Verbs() (all []string) {
	for v := range verbs {
		all = append(all, v)
	}
	slices.Sort(all)
	return all
}

// single are the words that take one value.
var single = []string{"day", "settings", "length", "seed", "coordinators", "line-still", "connect-timeout", "keep-away", "notice", "tokens"}

// Settings gives the text of the settings file that a day names.
type SettingsLoader func(name string) ([]byte, error)

// Read reads a script. Every fault is reported.
func Read(file, text string, settings SettingsLoader) (*Scenario, error) {
	lines, faults := bootstrap.Lex(file, text)
	d := &Scenario{Seed: 1, Coordinators: 1, EntryApplyTime: 0.0002, ConnectTimeout: 0.25, EjectionTime: 5, ExitDetectionDelay: 1, ZoneLatency: 0.0003, CrossZoneLatency: 0.0006}
	fault := func(l bootstrap.Line, format string, args ...any) { faults = append(faults, l.Fault(format, args...)) }
	for _, l := range lines {
		w := l.Words
		var err error
		if slices.Contains(single, w[0]) && len(w) != 2 {
			fault(l, "%s takes one value, has %d", w[0], len(w)-1)
			continue
		}
		time := func(into *float64) {
			*into, err = bootstrap.Duration(w[1])
		}
		switch w[0] {
		case "day":
			d.Name = w[1]
		case "settings":
			d.SettingsFile = w[1]
			var data []byte
			if data, err = settings(w[1]); err == nil {
				own, bad := bootstrap.Lex(w[1], string(data))
				trade, more := bootstrap.Parse(w[1], own)
				faults = append(append(faults, bad...), more...)
				d.Settings, d.lines = trade, own
			}
		case "length":
			time(&d.Duration)
		case "seed":
			d.Seed, err = strconv.ParseUint(w[1], 10, 63)
		case "coordinators":
			d.Coordinators, err = bootstrap.Whole(w[1], 1, 100)
		case "line-still":
			time(&d.EntryApplyTime)
		case "connect-timeout":
			time(&d.ConnectTimeout)
		case "keep-away":
			time(&d.EjectionTime)
		case "notice":
			time(&d.ExitDetectionDelay)
		case "latency":
			if len(w) != 3 {
				err = fmt.Errorf("latency takes two times, within and between zones")
				break
			}
			if d.ZoneLatency, err = bootstrap.Duration(w[1]); err == nil {
				d.CrossZoneLatency, err = bootstrap.Duration(w[2])
			}
		case "traffic":
			err = d.readTraffic(w[1:])
		case "tokens":
			how, known := map[string]emulator.Group{"all": emulator.All, "zone": emulator.ByZone, "cell": emulator.ByCell, "server": emulator.Each}[w[1]]
			if d.IdempotencyScope = how; !known {
				err = fmt.Errorf("%q is none of all, zone, cell, server", w[1])
			}
		case "clients":
			err = d.readClients(w[1:])
		case "mix":
			for _, x := range w[1:] {
				var v float64
				if v, err = bootstrap.Share(x); err != nil {
					break
				}
				d.MethodMix = append(d.MethodMix, v)
			}
		case "servers":
			var g BackendGroup
			if g, err = readServers(w); err == nil {
				d.Backends = append(d.Backends, g)
			}
		case "frontends":
			var g ProxyGroup
			if g, err = readFronts(w); err == nil {
				d.Proxies = append(d.Proxies, g)
			}
		case "at":
			var a Step
			if a, err = readAct(l); err == nil {
				d.Steps = append(d.Steps, a)
			}
		default:
			known := []string{
				"day", "settings", "length", "seed", "coordinators", "line-still", "connect-timeout", "keep-away",
				"notice", "latency", "traffic", "tokens", "clients", "mix", "servers", "frontends", "at",
			}
			err = fmt.Errorf("%s is no word of a day%s", w[0], like(w[0], known))
		}
		if err != nil {
			fault(l, "%v", err)
		}
	}
	whole := bootstrap.Fault{File: file, Line: 1}
	lack := func(what string) { whole.What = what; faults = append(faults, whole) }
	if d.Settings == nil {
		lack("it names no settings (such as: settings perth.conf)")
	}
	if d.Duration <= 0 || d.Duration > 86400 {
		lack("it has no length of up to 24h (such as: length 60s)")
	}
	has := func(word string) bool { // also where the line is at fault, which was said
		return slices.ContainsFunc(lines, func(l bootstrap.Line) bool { return l.Words[0] == word })
	}
	if !has("servers") || !has("frontends") {
		lack("it has no servers, or no frontends")
	}
	if d.Settings != nil {
		d.together(fault, lines)
	}
	faults.Sort()
	return d, faults.Err()
}

func like(w string, known []string) string {
	if n := bootstrap.Nearest(w, known); n != "" {
		return " (did you mean " + n + "?)"
	}
	return ""
}

// together checks what only shows when the script and its settings stand side by side.
func (d *Scenario) together(fault func(bootstrap.Line, string, ...any), lines []bootstrap.Line) {
	zones := d.Zones()
	for _, l := range lines {
		for i, w := range l.Words[:len(l.Words)-1] {
			if w == "zone" && l.Words[0] != "settings" && !slices.Contains(zones, l.Words[i+1]) {
				fault(l, "zone %s is not in the settings%s", l.Words[i+1], like(l.Words[i+1], zones))
			}
		}
		if l.Words[0] == "mix" && len(l.Words)-1 != len(d.Settings.Methods) {
			fault(l, "mix has %d shares, the settings have %d methods", len(l.Words)-1, len(d.Settings.Methods))
		}
	}
	for _, a := range d.Steps {
		if a.Verb == "method" && !slices.Contains(d.Settings.Methods, a.Argument) {
			fault(a.Source, "the settings have no method %s%s", a.Argument, like(a.Argument, d.Settings.Methods))
		}
	}
	for len(d.MethodMix) < len(d.Settings.Methods) {
		d.MethodMix = append(d.MethodMix, 1/float64(len(d.Settings.Methods)))
	}
}

// Zones are the zones of the settings.
func (d *Scenario) Zones() []string {
	return choice.DecodeSettings(d.Settings.Values).Zones
}

// pairs reads the rest of a line as pairs of name and value.
func pairs(w []string, take func(name, value string) error) error {
	if len(w)%2 != 0 {
		return fmt.Errorf("%s has no value", w[len(w)-1])
	}
	for i := 0; i < len(w); i += 2 {
		if err := take(w[i], w[i+1]); err != nil {
			return fmt.Errorf("%s: %w", w[i], err)
		}
	}
	return nil
}

// readClients reads: clients again SHARE after TIME at-most N.
func (d *Scenario) readClients(w []string) error {
	d.ClientRetryDelay, d.ClientRetryMax = 0.1, 2
	return pairs(w, func(name, v string) (err error) {
		switch name {
		case "again":
			d.ClientRetryShare, err = bootstrap.Share(v)
		case "after":
			d.ClientRetryDelay, err = bootstrap.Duration(v)
		case "at-most":
			d.ClientRetryMax, err = bootstrap.Whole(v, 1, 100)
		default:
			err = fmt.Errorf("unknown%s", like(name, []string{"again", "after", "at-most"}))
		}
		return err
	})
}

// readTraffic reads: traffic wave SHARE over TIME bursts SHARE every TIME lasting TIME keys N zipf X.
func (d *Scenario) readTraffic(w []string) error {
	keys, exponent := 0, 1.0
	err := pairs(w, func(name, v string) (err error) {
		switch name {
		case "wave":
			d.Shape.Swing, err = bootstrap.Share(v)
		case "over":
			d.Shape.Day, err = bootstrap.Duration(v)
		case "bursts":
			d.Shape.Height, err = ParsePercent(v)
		case "every":
			d.Shape.Every, err = bootstrap.Duration(v)
		case "lasting":
			d.Shape.Lasts, err = bootstrap.Duration(v)
		case "keys":
			keys, err = bootstrap.Whole(v, 1, 1e6)
		case "zipf":
			exponent, err = bootstrap.Number(v)
		default:
			err = fmt.Errorf("unknown%s", like(name, []string{"wave", "over", "bursts", "every", "lasting", "keys", "zipf"}))
		}
		return err
	})
	if err == nil && keys > 0 {
		d.Keys, err = traffic.NewZipf(keys, exponent)
	}
	if err == nil && d.Shape.Height > 0 && d.Shape.Every == 0 {
		err = fmt.Errorf("bursts need every and a time")
	}
	if err == nil {
		err = d.Shape.Check()
	}
	return err
}

func readServers(w []string) (g BackendGroup, err error) {
	g = BackendGroup{Kind: "std", Workers: 2, Queue: 30, Weight: 1, Capacity: 20, CancelMode: emulator.SkipsWait}
	if len(w) < 2 {
		return g, fmt.Errorf("servers takes their number")
	}
	if g.Count, err = bootstrap.Whole(w[1], 1, 100000); err != nil {
		return g, err
	}
	err = pairs(w[2:], func(name, v string) (err error) {
		switch name {
		case "zone":
			g.Zone = v
		case "kind":
			g.Kind = v
		case "capacity":
			g.Capacity, err = bootstrap.Number(v)
		case "workers":
			g.Workers, err = bootstrap.Whole(v, 1, 10000)
		case "queue":
			g.Queue, err = bootstrap.Whole(v, 0, 1e6)
		case "weight":
			g.Weight, err = bootstrap.Number(v)
		case "work":
			g.Work, err = emulator.ParseWork(v, 1)
		case "give-up":
			how, known := map[string]emulator.GiveUp{"runs-on": emulator.RunsOn, "skips-wait": emulator.SkipsWait, "stops": emulator.Stops}[v]
			if g.CancelMode = how; !known {
				err = fmt.Errorf("%q is none of runs-on, skips-wait, stops", v)
			}
		case "cell":
			g.Cell, err = bootstrap.Whole(v, 0, 1e6)
		case "connections":
			g.MaxConnections, err = bootstrap.Whole(v, 0, 1e6)
		case "reports":
			g.Reports = true
			g.ReportDelay, err = bootstrap.Duration(v)
		case "noise":
			g.ReportNoise, err = bootstrap.Share(v)
		case "memory":
			g.CacheKeys, err = bootstrap.Whole(v, 0, 1e6)
		case "saves":
			g.CacheSaving, err = bootstrap.Share(v)
		default:
			err = fmt.Errorf("unknown%s", like(name, []string{
				"zone", "kind", "capacity", "workers", "queue", "weight", "work", "give-up", "cell",
				"connections", "reports", "noise", "memory", "saves",
			}))
		}
		return err
	})
	return g, err
}

func readFronts(w []string) (g ProxyGroup, err error) {
	g = ProxyGroup{Rate: 10}
	if len(w) < 2 {
		return g, fmt.Errorf("frontends takes their number")
	}
	if g.Count, err = bootstrap.Whole(w[1], 1, 100000); err != nil {
		return g, err
	}
	err = pairs(w[2:], func(name, v string) (err error) {
		switch name {
		case "zone":
			g.Zone = v
		case "rate":
			g.Rate, err = bootstrap.Number(v)
		case "uneven":
			if g.RateVariation, err = bootstrap.Number(v); err == nil && g.RateVariation > 10 {
				err = fmt.Errorf("%v is more than 10", g.RateVariation)
			}
		case "pick":
			if g.BackendPolicy = v; !slices.Contains([]string{"even", "lottery", "pair", "report"}, v) {
				err = fmt.Errorf("%q is none of even, lottery, pair, report", v)
			}
		default:
			err = fmt.Errorf("unknown%s", like(name, []string{"zone", "rate", "uneven", "pick"}))
		}
		return err
	})
	return g, err
}

// readAct reads: at TIME VERB OF [PICK] [by X] [for TIME] [drain TIME] [down TIME] [every TIME].
func readAct(l bootstrap.Line) (a Step, err error) {
	w := l.Words
	a = Step{Source: l, More: map[string]float64{}}
	if len(w) < 4 {
		return a, fmt.Errorf("at takes a time, what happens and to whom (such as: at 10s kill servers 2 for 5s)")
	}
	if a.At, err = bootstrap.Duration(w[1]); err != nil {
		return a, err
	}
	a.Verb, a.Target = w[2], w[3]
	v, known := verbs[a.Verb]
	if !known {
		return a, fmt.Errorf("%s is nothing that can happen%s", a.Verb, like(a.Verb, Verbs()))
	}
	if !slices.Contains(v.of, a.Target) {
		return a, fmt.Errorf("%s happens to %s, not to %s", a.Verb, strings.Join(v.of, " or "), a.Target)
	}
	rest := w[4:]
	picked := false
	for len(rest) > 0 {
		word := rest[0]
		if slices.Contains([]string{"by", "for", "drain", "down", "every", "zone", "kind", "number", "with"}, word) && len(rest) < 2 {
			return a, fmt.Errorf("%s has no value", word)
		}
		switch word {
		case "by":
			a.Argument = rest[1]
			rest = rest[2:]
		case "with":
			a.FlapMode = rest[1]
			if a.Verb != "flap" || !slices.Contains([]string{"crash", "silence", "hang", "fast"}, a.FlapMode) {
				return a, fmt.Errorf("with %s: only a flap takes with, and one of crash, silence, hang, fast", a.FlapMode)
			}
			rest = rest[2:]
		case "for":
			if a.Duration, err = bootstrap.Duration(rest[1]); err != nil {
				return a, err
			}
			rest = rest[2:]
		case "drain", "down", "every":
			var t float64
			if t, err = bootstrap.Duration(rest[1]); err != nil {
				return a, err
			}
			a.More[word] = t
			rest = rest[2:]
		case "zone":
			a.Selector.Zone, picked = rest[1], true
			rest = rest[2:]
		case "kind":
			a.Selector.Kind, picked = rest[1], true
			rest = rest[2:]
		case "number":
			for _, x := range strings.Split(rest[1], ",") {
				var n int
				if n, err = bootstrap.Whole(x, 0, 1e6); err != nil {
					return a, err
				}
				a.Selector.Indexes = append(a.Selector.Indexes, n)
			}
			picked = true
			rest = rest[2:]
		case "all":
			a.Selector.All, picked = true, true
			rest = rest[1:]
		default:
			switch {
			case strings.HasSuffix(word, "%"):
				a.Selector.Share, err = bootstrap.Share(word)
			case a.Target == "zone":
				a.Selector.Zone = word
			default:
				a.Selector.Count, err = bootstrap.Whole(word, 1, 1e6)
			}
			if err != nil {
				return a, err
			}
			picked = true
			rest = rest[1:]
		}
	}
	if !picked {
		a.Selector.All = true
	}
	if v.by != "" && a.Argument == "" {
		return a, fmt.Errorf("%s needs by and a %s", a.Verb, v.by)
	}
	switch v.by {
	case "":
		if a.Argument != "" {
			err = fmt.Errorf("%s takes no by", a.Verb)
		}
	case "share":
		var x float64
		if a.Verb == "load" {
			x, err = ParsePercent(a.Argument)
		} else {
			x, err = bootstrap.Share(a.Argument)
		}
		a.Argument = strconv.FormatFloat(x, 'g', -1, 64)
	case "time":
		var x float64
		x, err = bootstrap.Duration(a.Argument)
		a.Argument = strconv.FormatFloat(x, 'g', -1, 64)
	case "factor":
		var x float64
		if x, err = bootstrap.Number(a.Argument); err == nil && x <= 0 {
			err = fmt.Errorf("by %s is no factor above 0", a.Argument)
		}
	case "whole":
		_, err = bootstrap.Whole(a.Argument, 0, 1e6)
	}
	if a.Duration == 0 && slices.Contains([]string{"stall", "flap", "pauses", "stale", "empty", "one"}, a.Verb) {
		err = fmt.Errorf("%s needs for and a time", a.Verb)
	}
	return a, err
}

// Percent reads a percentage that may be above 100%.
func ParsePercent(w string) (float64, error) {
	num, ok := strings.CutSuffix(w, "%")
	v, err := bootstrap.Number(num)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is no percentage", w)
	}
	return v / 100, nil
}

// Limits are the figures of the rules, from the settings.
func (d *Scenario) Limits() invariant.Limits {
	b := choice.Config{Settings: choice.DecodeSettings(d.Settings.Values)}
	l := invariant.Limits{
		NoBackendLimit: b.Settings.BareLimit.Or(1), DrainGrace: b.Settings.DrainGrace.Or(1), WarmAfter: b.Settings.WarmAfter.Or(1),
		CollapseWindow: b.Settings.FallWindow.Or(1), MaxQueuedEntries: int(b.Settings.ChannelRoom.Or(0)), MaxMessages: int(b.Settings.Messages.Or(0)),
		MessageWindow: b.Settings.MessagesSpan.Or(10), EndpointStreamTimeout: d.Settings.Num("list-silence"), PollInterval: b.Settings.AskWithin.Or(10), OnlyDraining: b.Settings.OnlyDrainingBinds,
	}
	for i, name := range d.Settings.Methods {
		method := b.Settings.Methods[i]
		l.Methods = append(l.Methods, invariant.Method{
			Name: name, NonIdempotent: method.Effect == "non-idempotent",
			HasIdempotencyKey: method.Effect == "tokened", DedupWindow: method.Window.Or(0), Criticality: method.Criticality.Or(1),
			SoftDeadline: method.SoftDeadline.Or(1),
		})
	}
	return l
}

// methods are the methods as the front ends know them.
func (d *Scenario) methods() []fake.MethodTrade {
	all := fake.Methods(choice.DecodeSettings(d.Settings.Values).Methods)
	for i := range all {
		all[i].Share = d.MethodMix[i]
	}
	return all
}
