package scenario

import (
	"fmt"
	"slices"
	"strconv"

	"gingerfork/internal/trace"
)

const (
	// pauseInterval is the interval at which a pauses step makes backends hang, in seconds. In each interval the hang begins
	// at a random time within the first maxPause seconds, and ends maxPause seconds plus the step's pause time after the
	// start of the interval. A pause time above maxPause counts as maxPause.
	pauseInterval = 1.0
	maxPause      = 0.5
	// minFlapTime is the shortest time for which a flapping backend is up or down, in seconds.
	minFlapTime = 0.1
)

// startProcess starts a participant's process.
func (p *player) startProcess(target *participant) {
	target.up = true
	if target.name[:1] == coordinatorPrefix {
		p.emit(trace.Record{Kind: trace.CoordinatorStarted, Party: target.name})
	}
	p.env.Start(target.name)
}

// stopProcess kills a participant's process, unless an earlier fault did. As faults may overlap, the process stays down until
// restartProcess was called for each of them.
func (p *player) stopProcess(target *participant) {
	target.downCount++
	if target.downCount > 1 {
		return
	}
	target.up = false
	p.env.Kill(target.name)
	if target.isBackend() {
		p.emit(trace.Record{Kind: trace.BackendStopped, Backend: target.backend})
		return
	}
	p.emit(trace.Record{Kind: trace.ProcessKilled, Party: target.name})
}

// restartProcess ends one fault that keeps a participant down, and starts the participant's process again if that fault was the
// last one.
func (p *player) restartProcess(target *participant) {
	target.downCount--
	if target.downCount > 0 {
		return
	}
	p.startProcess(target)
	if target.isBackend() {
		p.commandList("restart %d", target.backend)
	}
}

// crash kills a participant's process. The endpoint list service learns of the end of a backend after the detection delay.
func (p *player) crash(target *participant) {
	p.stopProcess(target)
	if !target.isBackend() {
		return
	}
	p.scheduleAfter(p.scenario.ExitDetectionDelay, func() {
		if !target.up {
			p.commandList("state %d gone", target.backend)
		}
	})
}

// runKill kills processes, and starts them again at the end of the step.
func (p *player) runKill(step *runningStep) {
	for _, target := range step.targets {
		if step.Verb == VerbVanish {
			p.stopProcess(target)
		} else {
			p.crash(target)
		}
		p.scheduleStepEnd(step, func() { p.restartProcess(target) })
	}
}

// runPause keeps processes from running for the duration of the step.
func (p *player) runPause(step *runningStep) {
	for _, target := range step.targets {
		p.env.Pause(target.name, step.Duration)
		p.emit(trace.Record{Kind: trace.ProcessPaused, Party: target.name, Value: step.Duration})
	}
}

// runPowerLoss simulates a loss of power of the machines of backends.
func (p *player) runPowerLoss(step *runningStep) {
	for i, target := range step.targets {
		restore := p.startPowerLoss(target, step.targetFaultName(i))
		p.scheduleStepEnd(step, restore)
	}
}

// targetFaultName returns the name of the link fault that a step adds for one of its targets.
func (s *runningStep) targetFaultName(index int) string {
	return s.faultName + "." + strconv.Itoa(index)
}

// runBackendFault starts a fault in emulated backends, and ends it at the end of the step.
func (p *player) runBackendFault(step *runningStep) {
	command := string(step.Verb)
	if argument := p.backendArgument(step); argument != "" {
		command += " " + argument
	}
	for _, target := range step.targets {
		p.env.SendCommand(target.name, command)
		p.scheduleStepEnd(step, func() { p.endBackendFault(target, step.Verb) })
	}
}

func (p *player) endBackendFault(target *participant, verb Verb) {
	p.env.SendCommand(target.name, "heal "+string(verb))
}

// backendArgument returns the argument of a step in the form that emulated backends take: methods by number, coordinators by
// name.
func (p *player) backendArgument(step *runningStep) string {
	switch step.Verb {
	case VerbFailMethod:
		return strconv.Itoa(slices.Index(p.scenario.Settings.Methods, step.Argument))
	case VerbFailFrom:
		return coordinatorPrefix + step.Argument
	}
	return step.Argument
}

// runPauses makes backends hang for a short time in each pause interval.
func (p *player) runPauses(step *runningStep) {
	for _, target := range step.targets {
		for start := 0.0; start < step.Duration; start += pauseInterval {
			p.scheduleAfter(start+p.random.Uniform()*maxPause, func() { p.env.SendCommand(target.name, string(VerbHang)) })
			p.scheduleAfter(start+maxPause+min(step.Value, maxPause), func() { p.endBackendFault(target, VerbHang) })
		}
	}
}

// runFlap takes backends down and up again, for equal times, until the end of the step.
func (p *player) runFlap(step *runningStep) {
	halfPeriod := max(step.Value, minFlapTime)
	for i, target := range step.targets {
		for start := 0.0; start < step.Duration; start += 2 * halfPeriod {
			p.scheduleAfter(start, func() {
				restore := p.flapDown(target, step, i)
				p.scheduleAfter(halfPeriod, restore)
			})
		}
	}
}

// flapDown takes a backend down in the step's flap mode, and returns a function that brings it up again.
func (p *player) flapDown(target *participant, step *runningStep, index int) (restore func()) {
	switch step.FlapMode {
	case FlapPowerLoss:
		return p.startPowerLoss(target, step.targetFaultName(index))
	case FlapHang, FlapFailFast:
		verb := Verb(step.FlapMode)
		p.env.SendCommand(target.name, string(verb))
		return func() { p.endBackendFault(target, verb) }
	}
	p.crash(target)
	return func() { p.restartProcess(target) }
}

// runDeploy drains backends one after another, kills them, and starts them again cold. It skips backends that are down already.
func (p *player) runDeploy(step *runningStep) {
	for i, target := range step.targets {
		p.scheduleAfter(float64(i)*step.Deploy.Interval, func() {
			if !target.up {
				return
			}
			p.commandList("state %d draining", target.backend)
			p.scheduleAfter(step.Deploy.Drain, func() {
				p.crash(target)
				p.scheduleAfter(step.Deploy.Down, func() { p.restartProcess(target) })
			})
		})
	}
}

// runLoad multiplies the request rate of proxies by a factor, until the end of the step.
func (p *player) runLoad(step *runningStep) {
	setRate := func(target *participant, rate float64) { p.env.SendCommand(target.name, fmt.Sprintf("rate %g", rate)) }
	for _, target := range step.targets {
		setRate(target, target.rate*step.Value)
		p.scheduleStepEnd(step, func() { setRate(target, target.rate) })
	}
}
