package scenario

import (
	"gingerfork/internal/simnet"
	"gingerfork/internal/trace"
)

// defaultPushTime is the usual time of a push in seconds, where the settings give none.
const defaultPushTime = 0.1

// runSlow slows backends down, or the streams of proxies by a multiple of the usual push time.
func (p *player) runSlow(step *runningStep) {
	if step.Target == TargetBackends {
		p.runBackendFault(step)
		return
	}
	pushTime := p.scenario.decodedSettings().MeanPushTime.Or(defaultPushTime)
	p.addLinkFault(step, simnet.LinkFault{ExtraLatency: (step.Value - 1) * pushTime}, step.streams())
}

// runDelay delays endpoint updates, or all that passes on the streams of proxies.
func (p *player) runDelay(step *runningStep) {
	if step.Target == TargetEndpointService {
		p.commandList("late %g", step.Value)
		p.atEnd(step, func() { p.commandList("late 0") })
		return
	}
	p.addLinkFault(step, simnet.LinkFault{ExtraLatency: step.Value}, step.streams())
}

// runBreak resets the streams of proxies.
func (p *player) runBreak(step *runningStep) { p.env.ResetConnections(step.streams()) }

// runListFault lets the endpoint list service fail, or stop its updates.
func (p *player) runListFault(step *runningStep) {
	p.commandList("%s on", step.Verb)
	p.atEnd(step, func() { p.commandList("%s off", step.Verb) })
}

// runListContent lets the endpoint list service show no backend, or one at random.
func (p *player) runListContent(step *runningStep) {
	if step.Verb == VerbListOne {
		p.commandList("show %d", p.backends[int(p.random.Uniform()*float64(len(p.backends)))].backend)
	} else {
		p.commandList("show none")
	}
	p.atEnd(step, func() { p.commandList("show all") })
}

// runPartition separates a zone, backends or the endpoint list service from all others.
func (p *player) runPartition(step *runningStep) {
	p.addLinkFault(step, simnet.LinkFault{Partitioned: true}, p.partitionedLinks(step))
	p.countPartition(step, 1)
	p.atEnd(step, func() { p.countPartition(step, -1) })
}

// countPartition keeps count of what is separated at present, for the samples of the backends' state.
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

// isolate lets a backend's machine lose its power: its process ends, and nobody learns of it, not even by a reset. What it
// returns brings the backend up again.
func (p *player) isolate(target *participant, faultID string) (restore func()) {
	p.env.AddLinkFault(faultID, simnet.LinkFault{Partitioned: true}, func(a, b string) bool { return a == target.name || b == target.name })
	p.crash(target)
	return func() {
		p.env.RemoveLinkFault(faultID)
		p.restartProcess(target)
	}
}

// addLinkFault adds a fault to links until the step's end, and records partitions.
func (p *player) addLinkFault(step *runningStep, fault simnet.LinkFault, match linkMatch) {
	p.env.AddLinkFault(step.id, fault, match)
	if fault.Partitioned {
		p.recordPartitions(trace.LinkCut, match)
	}
	p.atEnd(step, func() {
		p.env.RemoveLinkFault(step.id)
		if fault.Partitioned {
			p.recordPartitions(trace.LinkRestored, match)
		}
	})
}

// recordPartitions records the links of coordinators that match: to proxies and to the endpoint list service.
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

// targetNames is the set of the targets' names.
func (s *runningStep) targetNames() map[string]bool {
	set := make(map[string]bool, len(s.targets))
	for _, target := range s.targets {
		set[target.name] = true
	}
	return set
}

// streams matches the links between coordinators and the proxies that the step selected.
func (s *runningStep) streams() linkMatch {
	selected := s.targetNames()
	return func(a, b string) bool {
		return selected[a] && b[:1] == coordinatorPrefix || selected[b] && a[:1] == coordinatorPrefix
	}
}

// partitionedLinks matches the links that a partition interrupts.
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
