package scenario

import (
	"gingerfork/internal/simnet"
	"gingerfork/internal/trace"
)

// defaultPushTime is the usual time in seconds from the sending of a push until its arrival, if the settings give no mean push
// time.
const defaultPushTime = 0.1

// runSlow slows backends down, or delays the streams of proxies so that a push takes a multiple of its usual time.
func (p *player) runSlow(step *runningStep) {
	if step.Target == TargetBackends {
		p.runBackendFault(step)
		return
	}
	pushTime := p.scenario.decodedSettings().MeanPushTime.Or(defaultPushTime)
	p.addLinkFault(step, simnet.LinkFault{ExtraLatency: (step.Value - 1) * pushTime}, step.streams())
}

// runDelay delays endpoint updates, or all traffic on the streams of proxies.
func (p *player) runDelay(step *runningStep) {
	if step.Target == TargetEndpointService {
		p.commandList("late %g", step.Value)
		p.scheduleStepEnd(step, func() { p.commandList("late 0") })
		return
	}
	p.addLinkFault(step, simnet.LinkFault{ExtraLatency: step.Value}, step.streams())
}

// runBreak resets the streams of proxies.
func (p *player) runBreak(step *runningStep) { p.env.ResetConnections(step.streams()) }

// runListFault makes the endpoint list service answer with errors, or stop sending updates.
func (p *player) runListFault(step *runningStep) {
	p.commandList("%s on", step.Verb)
	p.scheduleStepEnd(step, func() { p.commandList("%s off", step.Verb) })
}

// runListContent makes the endpoint list service show no backend, or a single one that is chosen at random.
func (p *player) runListContent(step *runningStep) {
	if step.Verb == VerbListOne {
		p.commandList("show %d", p.backends[int(p.random.Uniform()*float64(len(p.backends)))].backend)
	} else {
		p.commandList("show none")
	}
	p.scheduleStepEnd(step, func() { p.commandList("show all") })
}

// runPartition separates a zone, backends or the endpoint list service from all other participants.
func (p *player) runPartition(step *runningStep) {
	p.addLinkFault(step, simnet.LinkFault{Partitioned: true}, p.partitionedLinks(step))
	p.countPartition(step, 1)
	p.scheduleStepEnd(step, func() { p.countPartition(step, -1) })
}

// countPartition changes the number of present partitions of the step's targets, which the samples of the backends' state use.
func (p *player) countPartition(step *runningStep, change int) {
	switch step.Target {
	case TargetZone:
		p.zonePartitions[step.Selector.Zone] += change
	case TargetBackends:
		for _, target := range step.targets {
			target.partitions += change
		}
	}
}

// startPowerLoss simulates a loss of power of a backend's machine: its process ends and its links are cut, so that its
// connections are not reset. It returns a function that brings the backend up again.
func (p *player) startPowerLoss(target *participant, faultName string) (restore func()) {
	p.env.AddLinkFault(faultName, simnet.LinkFault{Partitioned: true}, func(a, b string) bool { return a == target.name || b == target.name })
	p.crash(target)
	return func() {
		p.env.RemoveLinkFault(faultName)
		p.restartProcess(target)
	}
}

// addLinkFault adds a fault to the links that match until the end of the step, and writes partitions to the trace.
func (p *player) addLinkFault(step *runningStep, fault simnet.LinkFault, match linkMatch) {
	p.env.AddLinkFault(step.faultName, fault, match)
	if fault.Partitioned {
		p.recordPartitions(trace.LinkCut, match)
	}
	p.scheduleStepEnd(step, func() {
		p.env.RemoveLinkFault(step.faultName)
		if fault.Partitioned {
			p.recordPartitions(trace.LinkRestored, match)
		}
	})
}

// recordPartitions writes a record for each matching link between a coordinator and a proxy or the endpoint list service.
func (p *player) recordPartitions(kind string, match linkMatch) {
	matches := func(a, b string) bool { return match(a, b) || match(b, a) }
	for _, proxy := range p.proxies {
		for _, coordinator := range p.coordinators {
			if matches(proxy.name, coordinator.name) {
				p.emit(trace.Record{Kind: kind, Party: proxy.name, Coordinator: coordinator.name})
			}
		}
	}
	for _, coordinator := range p.coordinators {
		if matches(endpointService, coordinator.name) {
			p.emit(trace.Record{Kind: kind, Party: endpointService, Coordinator: coordinator.name})
		}
	}
}

// targetNames returns the names of the step's targets as a set.
func (s *runningStep) targetNames() map[string]bool {
	set := make(map[string]bool, len(s.targets))
	for _, target := range s.targets {
		set[target.name] = true
	}
	return set
}

// streams returns a match for the links between coordinators and the proxies that the step selected.
func (s *runningStep) streams() linkMatch {
	selected := s.targetNames()
	return func(a, b string) bool {
		return selected[a] && b[:1] == coordinatorPrefix || selected[b] && a[:1] == coordinatorPrefix
	}
}

// partitionedLinks returns a match for the links that a partition step interrupts.
func (p *player) partitionedLinks(step *runningStep) linkMatch {
	switch step.Target {
	case TargetEndpointService:
		return func(a, b string) bool { return a == endpointService || b == endpointService }
	case TargetBackends:
		selected := step.targetNames()
		return func(a, b string) bool { return selected[a] || selected[b] }
	}
	inZone := func(name string) bool {
		target := p.byName[name]
		return target != nil && target.zone == step.Selector.Zone
	}
	return func(a, b string) bool { return inZone(a) != inZone(b) }
}
