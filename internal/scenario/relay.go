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

// linkFault is a fault of the links that match.
type linkFault struct {
	name  string
	fault simnet.LinkFault
	match linkMatch
}

// matches tells whether the fault is one of a link, in either direction.
func (f linkFault) matches(a, b string) bool { return f.match(a, b) || f.match(b, a) }

// relay takes the connections of one participant to all others, on an address for each.
type relay struct {
	loop              *eventloop.Loop
	targetNames       []string // names
	addresses         []string // by target
	lastFaultCommands []string // by target
}

// address is where the relay takes connections to a target.
func (r *relay) address(target string) string {
	if i := slices.Index(r.targetNames, target); i >= 0 {
		return r.addresses[i]
	}
	return unreachableAddress
}

// startRelay starts the relay of a participant.
func (s *sockets) startRelay(name string, targets []string) (*relay, error) {
	started := &relay{targetNames: targets, lastFaultCommands: make([]string, len(targets))}
	to, listen := make([]string, 0, len(targets)), make([]string, 0, len(targets))
	for _, target := range targets {
		to = append(to, s.nodes[target].addr)
		listen = append(listen, loopbackAddress(0))
	}
	loop, err := eventloop.Start(s.ctx, eventloop.Bootstrap{Machine: fake.NewRelay(to...), Listen: listen, Clock: s.clock})
	if err != nil {
		return nil, fmt.Errorf("start the relay of %s: %w", name, err)
	}
	started.loop, started.addresses = loop, loop.Addrs()
	s.relays[name] = started
	return started, nil
}

// RemoveLinkFault removes the link faults of a name.
func (s *sockets) RemoveLinkFault(name string) {
	s.linkFaults = slices.DeleteFunc(s.linkFaults, func(f linkFault) bool { return f.name == name })
	s.applyLinkFaults()
}

// ResetConnections closes the connections on the links that match.
func (s *sockets) ResetConnections(match linkMatch) {
	all := linkFault{match: match}
	for of, r := range s.relays {
		for i, to := range r.targetNames {
			if all.matches(of, to) {
				r.loop.SendCommand(fmt.Sprintf("reset %d", i))
			}
		}
	}
}

// applyLinkFaults tells each relay the faults of its links, where they changed.
func (s *sockets) applyLinkFaults() {
	for of, r := range s.relays {
		for i, to := range r.targetNames {
			r.setFault(i, s.combinedFault(of, to))
		}
	}
}

// combinedFault is the sum of all faults of a link.
func (s *sockets) combinedFault(a, b string) simnet.LinkFault {
	var sum simnet.LinkFault
	for _, f := range s.linkFaults {
		if !f.matches(a, b) {
			continue
		}
		sum.Partitioned = sum.Partitioned || f.fault.Partitioned
		sum.Reset = sum.Reset || f.fault.Reset
		sum.ExtraLatency += f.fault.ExtraLatency
		if f.fault.Bandwidth > 0 && (sum.Bandwidth == 0 || f.fault.Bandwidth < sum.Bandwidth) {
			sum.Bandwidth = f.fault.Bandwidth
		}
	}
	return sum
}

// setFault tells the relay the fault of a link, unless it stands already. A relay starts without faults.
func (r *relay) setFault(target int, fault simnet.LinkFault) {
	command := fmt.Sprintf("set %d %d %d %g %g", target, formatFlag(fault.Partitioned), formatFlag(fault.Reset), fault.ExtraLatency, fault.Bandwidth)
	isFirst := r.lastFaultCommands[target] == ""
	if r.lastFaultCommands[target] == command || isFirst && fault == (simnet.LinkFault{}) {
		return
	}
	r.lastFaultCommands[target] = command
	r.loop.SendCommand(command)
}

// formatFlag writes a flag as relays read it.
func formatFlag(flag bool) int {
	if flag {
		return 1
	}
	return 0
}
