package scenario

import (
	"fmt"
	"slices"

	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/simnet"
)

// unreachableAddress is an address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// linkFault is a fault of all links that match.
type linkFault struct {
	name  string
	fault simnet.LinkFault
	match linkMatch
}

// matches reports whether the fault affects the link between two participants, given in either order.
func (f linkFault) matches(a, b string) bool { return f.match(a, b) || f.match(b, a) }

// relay forwards the connections that one participant opens to others. It listens on an address for each of these targets.
type relay struct {
	loop              *eventloop.Loop
	targetNames       []string
	addresses         []string // address at which the relay listens, by index of the target in targetNames
	lastFaultCommands []string // by index of the target: the last command that set the fault of the target's link
}

// address returns the address at which the relay accepts connections to a target, or one that cannot be reached if the target
// is unknown.
func (r *relay) address(target string) string {
	if i := slices.Index(r.targetNames, target); i >= 0 {
		return r.addresses[i]
	}
	return unreachableAddress
}

// startRelay starts the relay of a participant to the given targets.
func (s *sockets) startRelay(name string, targets []string) (*relay, error) {
	started := &relay{targetNames: targets, lastFaultCommands: make([]string, len(targets))}
	targetAddresses, listenAddresses := make([]string, 0, len(targets)), make([]string, 0, len(targets))
	for _, target := range targets {
		targetAddresses = append(targetAddresses, s.nodes[target].addr)
		listenAddresses = append(listenAddresses, loopbackAddress(0))
	}
	loop, err := eventloop.Start(s.ctx, eventloop.Bootstrap{Machine: fake.NewRelay(targetAddresses...), Listen: listenAddresses, Clock: s.clock})
	if err != nil {
		return nil, fmt.Errorf("start the relay of %s: %w", name, err)
	}
	started.loop, started.addresses = loop, loop.Addrs()
	s.relays[name] = started
	return started, nil
}

// RemoveLinkFault removes the link faults with a name.
func (s *sockets) RemoveLinkFault(name string) {
	s.linkFaults = slices.DeleteFunc(s.linkFaults, func(f linkFault) bool { return f.name == name })
	s.applyLinkFaults()
}

// ResetConnections closes the connections on the links that match.
func (s *sockets) ResetConnections(match linkMatch) {
	selected := linkFault{match: match}
	for source, r := range s.relays {
		for i, target := range r.targetNames {
			if selected.matches(source, target) {
				r.loop.SendCommand(fmt.Sprintf("reset %d", i))
			}
		}
	}
}

// applyLinkFaults sends each relay the faults of its links that changed.
func (s *sockets) applyLinkFaults() {
	for source, r := range s.relays {
		for i, target := range r.targetNames {
			r.setFault(i, s.combinedFault(source, target))
		}
	}
}

// combinedFault combines all faults of a link: latencies are added, and the lowest bandwidth limit holds.
func (s *sockets) combinedFault(a, b string) simnet.LinkFault {
	var combined simnet.LinkFault
	for _, f := range s.linkFaults {
		if !f.matches(a, b) {
			continue
		}
		combined.Partitioned = combined.Partitioned || f.fault.Partitioned
		combined.Reset = combined.Reset || f.fault.Reset
		combined.ExtraLatency += f.fault.ExtraLatency
		if f.fault.Bandwidth > 0 && (combined.Bandwidth == 0 || f.fault.Bandwidth < combined.Bandwidth) {
			combined.Bandwidth = f.fault.Bandwidth
		}
	}
	return combined
}

// setFault sends the relay the fault of the link to a target, unless the relay has it already. A relay starts without faults.
func (r *relay) setFault(target int, fault simnet.LinkFault) {
	command := fmt.Sprintf("set %d %d %d %g %g", target, formatFlag(fault.Partitioned), formatFlag(fault.Reset), fault.ExtraLatency, fault.Bandwidth)
	isFirst := r.lastFaultCommands[target] == ""
	if r.lastFaultCommands[target] == command || isFirst && fault == (simnet.LinkFault{}) {
		return
	}
	r.lastFaultCommands[target] = command
	r.loop.SendCommand(command)
}

// formatFlag returns a flag in the form that relay commands have.
func formatFlag(flag bool) int {
	if flag {
		return 1
	}
	return 0
}
