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

// plainProgressSeconds is the number of seconds between two progress lines of an emulation when the output is not a terminal.
const plainProgressSeconds = 5

var (
	errPartFormat       = errors.New("is not K/N, such as 1/2")
	errEmulationTooSlow = errors.New("VOID: the emulation fell behind its schedule, so its results contain delays of the emulator itself")
)

type emulateCmd struct {
	Scenario   string  `arg:"" name:"day" help:"Scenario whose backends and endpoint service are emulated, including their faults."`
	Port       int     `help:"Port of the endpoint service; the backends use the ports after it." default:"20000"`
	Part       string  `help:"Emulate only the K-th of N parts of the backends, to split the fleet over several processes; part 1 also runs the endpoint service." placeholder:"K/N"`
	EventLoops int     `aliases:"loops" help:"Number of event loops that the backends are spread over." default:"1" placeholder:"N"`
	Duration   string  `aliases:"for" help:"Run for this long instead of the scenario's duration." placeholder:"TIME"`
	Scale      float64 `help:"Factor that multiplies the number of backends." default:"1" placeholder:"X"`
	JSON       bool    `help:"Print one line of JSON for each second."`
}

// Run emulates the backends until the scenario or ctx ends.
func (c emulateCmd) Run(ctx context.Context, cli *program) error {
	emulation, err := c.emulation()
	if err != nil {
		return err
	}
	progress := &emulationProgress{cli: cli, json: c.JSON, line: newProgressLine(cli.out)}
	emulation.OnTally, emulation.OnStep = progress.printSecond, progress.printStep
	if !c.JSON {
		fmt.Fprintf(cli.out, "%s: endpoint service at %s, backends from %s on, %.0f s\n", emulation.Scenario.Name, emulation.ListAddr(), emulation.Addr(0),
			emulation.Scenario.Duration)
	}
	if err := emulation.Run(ctx); err != nil {
		return err
	}
	return progress.finish()
}

// emulation returns the emulation that the flags describe.
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

// parsePart parses K/N, the number of a part and the number of parts.
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

// emulationProgress prints the statistics and scenario steps that the event loops of an emulation report. It is safe for
// concurrent use.
type emulationProgress struct {
	cli  *program
	json bool // statistics are printed as JSON, without steps and progress lines

	mu          sync.Mutex // guards line and scheduleLag
	line        *progressLine
	scheduleLag report.ScheduleLag // how far the emulation ran behind its schedule
}

// printSecond prints the statistics of one second.
func (p *emulationProgress) printSecond(stats emulator.FleetStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduleLag.Observe(stats.MaxDelay)
	if p.json {
		_ = json.NewEncoder(p.cli.out).Encode(stats) // ignored as for fmt.Fprint: if the reader closed the pipe, it would not see the error either
		return
	}
	p.line.show(stats.String(), p.scheduleLag.Samples%plainProgressSeconds == 1)
}

// printStep prints a step of the scenario.
func (p *emulationProgress) printStep(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.json {
		p.line.print(text)
	}
}

// finish prints how far the emulation ran behind its schedule, and returns errEmulationTooSlow if it was too far for its
// results to be valid.
func (p *emulationProgress) finish() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line.end()
	if !p.json {
		fmt.Fprintf(p.cli.out, "behind schedule: at most %.1f ms, more than %.0f ms in %d of %d seconds\n", 1e3*p.scheduleLag.Max, 1e3*report.MaxLag, p.scheduleLag.Late, p.scheduleLag.Samples)
	}
	if p.scheduleLag.Invalid() {
		return errEmulationTooSlow
	}
	return nil
}
