package scenario

import (
	"fmt"
	"slices"
	"strconv"

	"gingerfork/internal/trace"
)

const (
	// pauseInterval is the interval of VerbPauses in seconds, and maxPause the longest of its pauses. Each begins within
	// half of the interval and ends by the interval's own clock.
	pauseInterval = 1.0
	maxPause      = 0.5
	// minFlapTime is the shortest time, in seconds, for which a flapping backend is up or down.
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

// stopProcess ends a participant's process, unless another fault did so. Faults overlap: it stays down until each of them
// has called restartProcess.
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

// restartProcess starts a participant again once no fault keeps it down.
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

// crash ends a participant's process; the endpoint list service learns of a backend's end after the detection delay.
func (p *player) crash(target *participant) {
	p.stopProcess(target)
	if !target.isBackend() {
		return
	}
	p.after(p.scenario.ExitDetectionDelay, func() {
		if !target.up {
			p.commandList("state %d gone", target.backend)
		}
	})
}

// runKill ends processes, and starts them again at the step's end.
func (p *player) runKill(step *runningStep) {
	for _, target := range step.targets {
		if step.Verb == VerbVanish {
			p.stopProcess(target)
		} else {
			p.crash(target)
		}
		p.atEnd(step, func() { p.restartProcess(target) })
	}
}

// runPause keeps processes from running.
func (p *player) runPause(step *runningStep) {
	for _, target := range step.targets {
		p.env.Pause(target.name, step.Duration)
		p.emit(trace.Record{Kind: trace.ProcessPaused, Party: target.name, Value: step.Duration})
	}
}

// runIsolate lets backends' machines lose their power.
func (p *player) runIsolate(step *runningStep) {
	for i, target := range step.targets {
		restore := p.isolate(target, step.faultID(i))
		p.atEnd(step, restore)
	}
}

// faultID names the link fault that a step adds for one of its targets.
func (s *runningStep) faultID(index int) string { return s.id + "." + strconv.Itoa(index) }

// runBackendFault passes a fault to emulated backends, and ends it at the step's end.
func (p *player) runBackendFault(step *runningStep) {
	command := string(step.Verb)
	if argument := p.backendArgument(step); argument != "" {
		command += " " + argument
	}
	for _, target := range step.targets {
		p.env.SendCommand(target.name, command)
		p.atEnd(step, func() { p.endBackendFault(target, step.Verb) })
	}
}

func (p *player) endBackendFault(target *participant, verb Verb) {
	p.env.SendCommand(target.name, "heal "+string(verb))
}

// backendArgument is a step's argument as emulated backends take it: methods go by number, coordinators by name.
func (p *player) backendArgument(step *runningStep) string {
	switch step.Verb {
	case VerbFailMethod:
		return strconv.Itoa(slices.Index(p.scenario.Settings.Methods, step.Argument))
	case VerbFailFrom:
		return coordinatorPrefix + step.Argument
	}
	return step.Argument
}

// runPauses lets backends hang for a short time in each interval.
func (p *player) runPauses(step *runningStep) {
	for _, target := range step.targets {
		for t := 0.0; t < step.Duration; t += pauseInterval {
			p.after(t+p.random.Uniform()*maxPause, func() { p.env.SendCommand(target.name, string(VerbHang)) })
			p.after(t+maxPause+min(step.Value, maxPause), func() { p.endBackendFault(target, VerbHang) })
		}
	}
}

// runFlap lets backends go down and up again, for equal times.
func (p *player) runFlap(step *runningStep) {
	halfPeriod := max(step.Value, minFlapTime)
	for i, target := range step.targets {
		for t := 0.0; t < step.Duration; t += 2 * halfPeriod {
			p.after(t, func() {
				restore := p.flapDown(target, step, i)
				p.after(halfPeriod, restore)
			})
		}
	}
}

// flapDown takes a backend down in the way that the step says; what it returns brings the backend up again.
func (p *player) flapDown(target *participant, step *runningStep, index int) (restore func()) {
	switch step.FlapMode {
	case FlapPowerLoss:
		return p.isolate(target, step.faultID(index))
	case FlapHang, FlapFailFast:
		verb := Verb(step.FlapMode)
		p.env.SendCommand(target.name, string(verb))
		return func() { p.endBackendFault(target, verb) }
	}
	p.crash(target)
	return func() { p.restartProcess(target) }
}

// runDeploy drains backends one after another, ends them, and starts them again cold.
func (p *player) runDeploy(step *runningStep) {
	for i, target := range step.targets {
		p.after(float64(i)*step.Deploy.Interval, func() {
			if !target.up {
				return
			}
			p.commandList("state %d draining", target.backend)
			p.after(step.Deploy.Drain, func() {
				p.crash(target)
				p.after(step.Deploy.Down, func() { p.restartProcess(target) })
			})
		})
	}
}

// runLoad changes the request rate of proxies.
func (p *player) runLoad(step *runningStep) {
	setRate := func(target *participant, rate float64) { p.env.SendCommand(target.name, fmt.Sprintf("rate %g", rate)) }
	for _, target := range step.targets {
		setRate(target, target.rate*step.Value)
		p.atEnd(step, func() { setRate(target, target.rate) })
	}
}
