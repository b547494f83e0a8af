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

// player starts a scenario's participants in an environment and carries out the scenario's steps on them.
type player struct {
	participants
	scenario     *Scenario
	env          Environment
	record       func(trace.Record)
	random       emulator.Random
	startTime    statemachine.Seconds
	stepCount    int
	overrides    map[string]any         // values that coordinators get in place of those in the settings
	executionLog *emulator.ExecutionLog // shared by all backends; nil: executions are not logged
	// sampleInterval is the interval at which backends and proxies write their own state to the trace, in seconds; 0: never.
	sampleInterval float64
	zonePartitions map[string]int // by zone: number of present partitions that separate the zone from the others
}

// runningStep is a step that is being carried out.
type runningStep struct {
	Step
	faultName string // name of the link faults that the step adds
	targets   []*participant
}

func newPlayer(scenario *Scenario) *player {
	return &player{
		participants: newParticipants(scenario), scenario: scenario, random: emulator.NewRandom(scenario.Seed),
		executionLog: &emulator.ExecutionLog{}, zonePartitions: map[string]int{},
	}
}

// start starts the processes of all participants and schedules the steps.
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

// runStep writes a step to the trace and carries it out.
func (p *player) runStep(step Step) {
	p.stepCount++
	running := &runningStep{Step: step, faultName: strconv.Itoa(p.stepCount), targets: p.selectTargets(step.Target, step.Selector)}
	p.emit(trace.Record{Kind: trace.FaultInjected, Text: strings.Join(step.Source.Words[2:], " "), Value: p.faultDuration(running)})
	verbSpecs[step.Verb].run(p, running)
}

// emit writes a record to the trace with the present time.
func (p *player) emit(record trace.Record) {
	record.Time = p.env.Now()
	p.record(record)
}

// selectTargets returns the participants that a step affects. If the selector gives a share or a count, selectTargets chooses
// among those that match the other conditions at random, by the scenario's seed.
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

// faultDuration returns how long the effects of a step last, in seconds.
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

// scheduleAfter schedules a function to run after a delay.
func (p *player) scheduleAfter(delay statemachine.Seconds, run func()) {
	p.env.Schedule(p.env.Now()+delay, run)
}

// scheduleStepEnd schedules a function to run at the end of a step, if the step has a duration.
func (p *player) scheduleStepEnd(step *runningStep, run func()) {
	if step.Duration > 0 {
		p.scheduleAfter(step.Duration, run)
	}
}

// commandList sends a command to the endpoint list service.
func (p *player) commandList(format string, args ...any) {
	p.env.SendCommand(endpointService, fmt.Sprintf(format, args...))
}
