package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gingerfork/internal/emulator"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// player carries out a scenario's steps on its participants, in an environment.
type player struct {
	participants
	scenario  *Scenario
	env       Environment
	record    func(trace.Record)
	random    emulator.Random
	startTime statemachine.Seconds
	stepCount int
	overrides map[string]any // values given to coordinators in place of the settings'
	ledger    *emulator.ExecutionLog
	// sampleInterval is how often backends and proxies record their own state, in seconds; 0: they do not.
	sampleInterval float64
	zonePartitions map[string]int // partitions that separate a zone from the others
}

// runningStep is a step that is being carried out.
type runningStep struct {
	Step
	id      string // for the link faults that it adds
	targets []*participant
}

func newPlayer(scenario *Scenario) *player {
	return &player{
		participants: newParticipants(scenario), scenario: scenario, random: emulator.NewRandom(scenario.Seed),
		ledger: &emulator.ExecutionLog{}, zonePartitions: map[string]int{},
	}
}

// start starts all participants and schedules the steps.
func (p *player) start() {
	p.startTime = p.env.Now()
	p.startProcess(p.byName[endpointService])
	for _, kind := range [][]*participant{p.backends, p.coordinators, p.proxies} {
		for _, target := range kind {
			p.startProcess(target)
		}
	}
	p.scheduleSteps()
}

func (p *player) scheduleSteps() {
	for _, step := range p.scenario.Steps {
		p.env.Schedule(p.startTime+step.At, func() { p.runStep(step) })
	}
}

// runStep records a step and carries it out.
func (p *player) runStep(step Step) {
	p.stepCount++
	running := &runningStep{Step: step, id: strconv.Itoa(p.stepCount), targets: p.selectTargets(step.Target, step.Selector)}
	p.emit(trace.Record{Kind: trace.FaultInjected, Text: strings.Join(step.Source.Words[2:], " "), Value: p.faultDuration(running)})
	verbSpecs[step.Verb].run(p, running)
}

// emit records something that happens now.
func (p *player) emit(record trace.Record) {
	record.Time = p.env.Now()
	p.record(record)
}

// selectTargets chooses the participants that a step happens to: at random by the scenario's seed where the selector gives a
// share or a count only.
func (p *player) selectTargets(target Target, selector Selector) []*participant {
	var matching []*participant
	for _, candidate := range p.candidates(target) {
		if selector.matches(candidate) {
			matching = append(matching, candidate)
		}
	}
	count := len(matching)
	switch {
	case selector.Share > 0:
		count = int(selector.Share*float64(count) + 0.5)
	case selector.Count > 0:
		count = min(selector.Count, count)
	}
	for i := range count {
		j := i + int(p.random.Uniform()*float64(len(matching)-i))
		matching[i], matching[j] = matching[j], matching[i]
	}
	return matching[:count]
}

func (p *player) candidates(target Target) []*participant {
	switch target {
	case TargetBackends, TargetZone:
		return p.backends
	case TargetProxies, TargetStreams:
		return p.proxies
	case TargetCoordinators:
		return p.coordinators
	case TargetEndpointService:
	}
	return nil
}

func (s Selector) matches(candidate *participant) bool {
	if s.Zone != "" && candidate.zone != s.Zone || s.Kind != "" && candidate.kind != s.Kind {
		return false
	}
	return len(s.Indexes) == 0 || slices.Contains(s.Indexes, candidate.index)
}

// faultDuration is how long a step's effects last, in seconds.
func (p *player) faultDuration(step *runningStep) statemachine.Seconds {
	remaining := p.scenario.Duration - step.At
	switch {
	case step.Duration > 0:
		return min(step.Duration, remaining)
	case step.Verb == VerbResetStreams:
		return 0
	case step.Verb == VerbDeploy:
		restarts := float64(max(len(step.targets)-1, 0))
		return min(restarts*step.Deploy.Interval+step.Deploy.Drain+step.Deploy.Down, remaining)
	}
	return remaining
}

// after schedules a function.
func (p *player) after(delay statemachine.Seconds, do func()) { p.env.Schedule(p.env.Now()+delay, do) }

// atEnd schedules a function for the end of a step that has one.
func (p *player) atEnd(step *runningStep, do func()) {
	if step.Duration > 0 {
		p.after(step.Duration, do)
	}
}

// commandList passes a command to the endpoint list service.
func (p *player) commandList(format string, args ...any) {
	p.env.SendCommand(endpointService, fmt.Sprintf(format, args...))
}
