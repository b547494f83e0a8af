package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
	"gingerfork/internal/trace"
)

type rehearseCmd struct {
	Days    []string `arg:"" optional:"" help:"Days that come with the program (evening, deploy, cut, fleet, or incidents for all twelve), or files. None: evening."`
	Virtual bool     `help:"In virtual time, over a network in memory: seconds instead of minutes, the same each time."`
	JSON    bool     `help:"Print the result as JSON lines."`
	Trace   string   `help:"Write what passed to this file, one record a line." placeholder:"FILE"`
	Picture string   `help:"Draw the day to this PNG file: RPCs, service and orders by second, with the troubles shaded." placeholder:"FILE"`
	Keep    string   `help:"Keep the coordinators' settings and logs in this folder." placeholder:"DIR"`
	Beside  bool     `help:"Play each day in virtual time in three ways on the same seed, beside the most that was possible."`
	Scale   float64  `help:"Play with so many times the servers and front ends." default:"1" placeholder:"X"`
	Search  int      `help:"Play so many random scripts of two to four troubles in virtual time, and shrink what breaks a rule." placeholder:"N"`
	Kills   int      `help:"Beside the day's own troubles, kill a coordinator's process outright so many times, at moments drawn from the seed; each comes back after a second or so." placeholder:"N"`
	Seed    uint64   `help:"Another seed than the day's; for a search, the first." placeholder:"N"`
}

func (c rehearseCmd) Run(ctx context.Context, p *program) error {
	if c.Search > 0 {
		return c.search(ctx, p)
	}
	if len(c.Days) == 0 {
		c.Days = []string{"evening"}
	}
	if len(c.Days) == 1 && c.Days[0] == "incidents" {
		c.Days = scenario.Incidents()
	}
	if c.Beside {
		return c.beside(ctx, p)
	}
	broken := []string{}
	for _, name := range c.Days {
		d, err := readDay(name)
		if err != nil {
			return badError{err}
		}
		c.alter(d)
		r, err := c.play(ctx, p, d)
		if err != nil {
			return err
		}
		if c.Trace != "" {
			if err := writeTrace(c.Trace, r.Records); err != nil {
				return err
			}
		}
		figures, err := report.Build(r.Records, d.Limits().Methods)
		if err != nil {
			return fmt.Errorf("reckon the report: %w", err)
		}
		if r.Truth != nil {
			figures.Fleet = &report.Fleet{SampleInterval: scenario.SampleInterval, Capacity: r.Truth.Capacity, Utilization: r.Truth.Utilization, Queued: r.Truth.Queued}
			b, err := d.Bound(r.Truth, r.Records)
			if err != nil {
				return fmt.Errorf("reckon the bound: %w", err)
			}
			figures.Fleet.AchievableService = b.Share()
		}
		if c.Picture != "" {
			if err := draw(c.Picture, d.Name, figures); err != nil {
				return err
			}
		}
		if c.JSON {
			err = printJSON(p.out, r, figures)
		} else {
			printResult(p.out, r, c.Virtual)
			figures.WriteText(p.out)
		}
		if err != nil {
			return err
		}
		if r.Report.Violated() || len(r.Failures) > 0 {
			broken = append(broken, d.Name)
		}
		if ctx.Err() != nil {
			return errors.New("ended early")
		}
	}
	if len(broken) > 0 {
		return badError{fmt.Errorf("not good: %s", strings.Join(broken, ", "))}
	}
	return nil
}

// alter makes of a day what the flags say.
func (c rehearseCmd) alter(d *scenario.Scenario) {
	if c.Seed > 0 {
		d.Seed = c.Seed
	}
	if c.Scale != 1 && c.Scale > 0 {
		d.Scale(c.Scale)
	}
	if c.Kills > 0 {
		d.AddCoordinatorKills(c.Kills)
	}
}

// beside prints a line for each day: its service in each way, the bound, and what broke.
func (c rehearseCmd) beside(ctx context.Context, p *program) error {
	var days []*scenario.Scenario
	for _, name := range c.Days {
		d, err := readDay(name)
		if err != nil {
			return badError{err}
		}
		c.alter(d)
		days = append(days, d)
	}
	bad := 0
	if !c.JSON {
		fmt.Fprintf(p.out, "%-28s %11s %11s %11s %11s  %s\n", "day", "coordinator", "all servers", "frozen", "bound", "rules broken (coordinator; all servers; frozen)")
	}
	err := scenario.Compare(ctx, days, func(v scenario.Comparison) error {
		broke := make([]string, 0, len(v.Results))
		for w, r := range v.Results {
			var rules []string
			for _, x := range r.Report.Rules {
				if x.Violations > 0 {
					rules = append(rules, fmt.Sprint(x.Rule))
				}
			}
			if len(rules) == 0 {
				rules = []string{"none"}
			} else if w == 0 {
				bad++
			}
			bad += len(r.Failures)
			broke = append(broke, strings.Join(rules, ","))
		}
		if c.JSON {
			return json.NewEncoder(p.out).Encode(map[string]any{
				"day": v.Scenario.Name, "seed": v.Scenario.Seed, "coordinator": v.Results[0].Report.Service.Share(),
				"all_servers": v.Results[1].Report.Service.Share(), "frozen": v.Results[2].Report.Service.Share(), "bound": v.Bound.Share(),
				"rules_broken": broke, "rpcs": v.Results[0].Report.Service.RPCs, "messages": v.Results[0].Report.Pushes, "lines": v.Results[0].Report.Entries,
			})
		}
		fmt.Fprintf(p.out, "%-28s %11.3f %11.3f %11.3f %11.3f  %s\n", v.Scenario.Name, v.Results[0].Report.Service.Share(), v.Results[1].Report.Service.Share(),
			v.Results[2].Report.Service.Share(), v.Bound.Share(), strings.Join(broke, "; "))
		return nil
	})
	if err != nil {
		return err
	}
	if bad > 0 {
		return badError{errors.New("the coordinator broke a rule, or a machine failed")}
	}
	return nil
}

func (c rehearseCmd) search(ctx context.Context, p *program) error {
	n := 0
	err := scenario.Search(ctx, max(c.Seed, 1), c.Search, func(f scenario.Finding) {
		n++
		fmt.Fprintf(p.out, "seed %d: %s\n", f.Seed, f.Violation)
		for _, v := range f.Result.Report.Rules {
			if v.Violations > 0 {
				fmt.Fprintf(p.out, "  at %.3f, %s: %s\n", v.FirstTime, v.Party, v.Reason)
			}
		}
		for _, x := range f.Result.Failures {
			fmt.Fprintf(p.out, "  %s\n", x)
		}
		fmt.Fprintf(p.out, "%s\n", f.Script)
	}, func(i int) {
		if i%1000 == 0 {
			fmt.Fprintf(p.err, "%d of %d scripts played\n", i, c.Search)
		}
	})
	if err != nil {
		return fmt.Errorf("search: %w", err)
	}
	fmt.Fprintf(p.out, "%d scripts played, %d broke something\n", c.Search, n)
	if n > 0 {
		return badError{errors.New("a rule broke")}
	}
	return nil
}

func (c rehearseCmd) play(ctx context.Context, p *program, d *scenario.Scenario) (scenario.Result, error) {
	if c.Virtual {
		return scenario.PlayVirtual(d, scenario.Options{SampleTruth: true})
	}
	dir := c.Keep
	if dir == "" {
		made, err := os.MkdirTemp("", "gingerfork-rehearse-")
		if err != nil {
			return scenario.Result{}, fmt.Errorf("make a folder for the coordinators: %w", err)
		}
		defer func() { _ = os.RemoveAll(made) }() // what stays of it is the system's to clean up
		dir = made
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return scenario.Result{}, fmt.Errorf("make the folder to keep: %w", err)
	}
	exe, err := os.Executable()
	if err != nil {
		return scenario.Result{}, fmt.Errorf("find this program, to start coordinators with it: %w", err)
	}
	if !c.JSON {
		fmt.Fprintf(p.out, "%s: %d coordinators, %d servers, %d front ends on loopback sockets, %.0f s\n", d.Name, d.Coordinators,
			count(d.Backends, func(g scenario.BackendGroup) int { return g.Count }), count(d.Proxies, func(g scenario.ProxyGroup) int { return g.Count }), d.Duration)
	}
	return scenario.PlaySockets(ctx, d, scenario.CoordinatorCommand{Command: []string{exe, "--log-format", "json", "serve"}, Env: serveEnv, Dir: dir})
}

// serveEnv is added to a coordinator's environment; the tests, whose program is another, need it.
var serveEnv []string

func count[T any](of []T, n func(T) int) (sum int) {
	for _, x := range of {
		sum += n(x)
	}
	return sum
}

func draw(file, title string, figures *report.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("draw the day: %w", err)
	}
	err = figures.WritePNG(f, title)
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("draw the day: %w", err)
	}
	return nil
}

func writeTrace(file string, records []trace.Record) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	var b []byte
	for _, r := range records {
		if b = r.Append(b); len(b) > 1<<16 {
			if _, err = f.Write(b); err != nil {
				break
			}
			b = b[:0]
		}
	}
	if err == nil {
		_, err = f.Write(b)
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}

func printResult(out io.Writer, r scenario.Result, virtual bool) {
	where := "on sockets"
	if virtual {
		where = "in virtual time"
	}
	fmt.Fprintf(out, "\nday %s, seed %d, %s: %.1f s, %d troubles\n\n", r.Scenario.Name, r.Scenario.Seed, where, r.Report.Duration, r.Report.Faults)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "rule\t\tresult\tnearest to its limit\t")
	for _, v := range r.Report.Rules {
		result := "kept"
		if v.Violations > 0 {
			result = fmt.Sprintf("BROKEN %d times", v.Violations)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%.0f%% at %.1f s  %s\n", v.Rule, v.Name, result, 100*v.Closest, v.ClosestTime, v.ClosestNote)
	}
	_ = t.Flush() // as with all that is printed: who closed the pipe does not read the error either
	for _, v := range r.Report.Rules {
		if v.Violations > 0 {
			fmt.Fprintf(out, "\nrule %d first broke at %.3f (record %d of the trace), %s: %s\n", v.Rule, v.FirstTime, v.Record, v.Party, v.Reason)
		}
	}
	s := r.Report.Service
	fmt.Fprintf(out, "\nservice %.3f (criticality answered within the soft deadline over criticality asked for)\n", s.Share())
	fmt.Fprintf(out, "RPCs %d: ok %d (%d of them late), pushed back %d, aborted %d, open at the end %d\n", s.RPCs, s.OK, s.Late, s.Rejected, s.Aborted, s.Unfinished)
	fmt.Fprintf(out, "tries %d, messages to proxies %d with %d lines, cold servers fallen %d\n", r.Report.Attempts, r.Report.Pushes, r.Report.Entries, r.Report.Collapses)
	for _, f := range r.Failures {
		fmt.Fprintf(out, "DEFECT: %s\n", f)
	}
}

func printJSON(out io.Writer, r scenario.Result, figures *report.Report) error {
	type rule struct {
		Rule    int     `json:"rule"`
		Name    string  `json:"name"`
		Broken  int     `json:"broken"`
		At      float64 `json:"at,omitempty"`
		Who     string  `json:"who,omitempty"`
		Record  int     `json:"record,omitempty"`
		Why     string  `json:"why,omitempty"`
		Nearest float64 `json:"nearest"`
		Moment  float64 `json:"nearest_at"`
		Note    string  `json:"note,omitempty"`
	}
	rules := make([]rule, 0, len(r.Report.Rules))
	for _, v := range r.Report.Rules {
		rules = append(rules, rule{v.Rule, v.Name, v.Violations, v.FirstTime, v.Party, v.Record, v.Reason, v.Closest, v.ClosestTime, v.ClosestNote})
	}
	s := r.Report.Service
	return json.NewEncoder(out).Encode(map[string]any{
		"day": r.Scenario.Name, "seed": r.Scenario.Seed, "length": r.Report.Duration, "rules": rules,
		"service": s.Share(), "rpcs": s.RPCs, "ok": s.OK, "late": s.Late, "pushed_back": s.Rejected, "aborted": s.Aborted,
		"tries": r.Report.Attempts, "messages": r.Report.Pushes, "lines": r.Report.Entries, "falls": r.Report.Collapses, "defects": r.Failures, "figures": figures,
	})
}
