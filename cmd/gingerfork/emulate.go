package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/emulator"
	"gingerfork/internal/report"
	"gingerfork/internal/scenario"
)

// plainProgressInterval is the number of seconds after which a progress line is printed where there is no terminal.
const plainProgressInterval = 5

var (
	errPartFormat       = errors.New("is not K/N, such as 1/2")
	errEmulationTooSlow = errors.New("VOID: the emulation fell behind: its queues were longer than the servers' own")
)

type emulateCmd struct {
	Scenario   string  `arg:"" name:"day" help:"A scenario: its backends and endpoint service are emulated, with their faults."`
	Port       int     `help:"The port of the endpoint service; backends have those behind it." default:"20000"`
	Part       string  `help:"Emulate only this part of the backends, so that several processes carry the fleet; the first has the endpoint service." placeholder:"K/N"`
	EventLoops int     `aliases:"loops" help:"Event loops that carry the backends." default:"1" placeholder:"N"`
	Duration   string  `aliases:"for" help:"Run for this long instead of the scenario's length." placeholder:"TIME"`
	Scale      float64 `help:"Multiply the number of backends by this." default:"1" placeholder:"X"`
	JSON       bool    `help:"Print a JSON line for each second."`
}

// Run emulates the backends until the scenario or ctx ends.
func (c emulateCmd) Run(ctx context.Context, cli *program) error {
	emulation, err := c.emulation()
	if err != nil {
		return err
	}
	progress := &emulationProgress{cli: cli, json: c.JSON, line: newProgressLine(cli.out)}
	emulation.OnTally, emulation.OnStep = progress.tally, progress.step
	if !c.JSON {
		fmt.Fprintf(cli.out, "%s: list service at %s, servers from %s on, %.0f s\n", emulation.Scenario.Name, emulation.ListAddr(), emulation.Addr(0),
			emulation.Scenario.Duration)
	}
	if err := emulation.Run(ctx); err != nil {
		return err
	}
	return progress.finish()
}

// emulation returns what the flags describe.
func (c emulateCmd) emulation() (*scenario.Emulation, error) {
	emulated, err := readScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.Scale != 1 && c.Scale > 0 {
		emulated.Scale(c.Scale)
	}
	emulation := &scenario.Emulation{Scenario: emulated, Port: c.Port, EventLoops: c.EventLoops}
	if c.Part != "" {
		if emulation.Part, emulation.Parts, err = parsePart(c.Part); err != nil {
			return nil, err
		}
	}
	if c.Duration != "" {
		if emulated.Duration, err = bootstrap.ParseDuration(c.Duration); err != nil {
			return nil, fmt.Errorf("duration: %w", err)
		}
	}
	return emulation, nil
}

// parsePart reads K/N.
func parsePart(text string) (part, parts int, err error) {
	before, after, _ := strings.Cut(text, "/")
	part, err = strconv.Atoi(before)
	if err == nil {
		parts, err = strconv.Atoi(after)
	}
	if err != nil {
		return 0, 0, fmt.Errorf("part %q %w", text, errPartFormat)
	}
	return part, parts, nil
}

// emulationProgress prints what the event loops of an emulation report. It is safe for concurrent use.
type emulationProgress struct {
	cli  *program
	json bool

	mu     sync.Mutex
	line   *progressLine
	behind report.ScheduleLag
}

// tally prints the figures of a second.
func (p *emulationProgress) tally(stats emulator.FleetStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind.Observe(stats.MaxDelay)
	if p.json {
		_ = json.NewEncoder(p.cli.out).Encode(stats) // as with fmt.Fprint: who closed the pipe does not read the error either
		return
	}
	p.line.show(stats.String(), p.behind.Samples%plainProgressInterval == 1)
}

// step prints a step of the scenario.
func (p *emulationProgress) step(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.json {
		p.line.print(text)
	}
}

// finish prints how late the emulation ran, and returns errEmulationTooSlow if its figures mean nothing.
func (p *emulationProgress) finish() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line.end()
	if !p.json {
		fmt.Fprintf(p.cli.out, "at most %.1f ms late, more than %.0f ms in %d of %d seconds\n", 1e3*p.behind.Max, 1e3*report.MaxLag, p.behind.Late, p.behind.Samples)
	}
	if p.behind.Invalid() {
		return errEmulationTooSlow
	}
	return nil
}
