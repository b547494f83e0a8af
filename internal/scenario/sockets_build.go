package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"gingerfork/internal/fake"
	"gingerfork/internal/statemachine"
)

// Range of the ports of participants. It lies below the ports that systems use for outgoing connections, so that none of these
// can take a participant's port between the end of a process and its restart.
const (
	firstPort = 12000
	lastPort  = 32000
)

// The search for free ports starts at an offset from firstPort, below maxStartOffset, that is portsPerProcessID times the process
// ID modulo maxStartOffset, so that concurrent processes start at different ports.
const (
	portsPerProcessID = 37
	maxStartOffset    = 16000
)

var errNoFreePorts = errors.New("no free ports on the loopback address")

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freeAddresses returns loopback addresses whose ports are free. It holds all ports until it has found enough.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close() // it only held the port, and accepted no connection
		}
	}()
	first := firstPort + os.Getpid()*portsPerProcessID%maxStartOffset
	for port := first; len(addresses) < count; port++ {
		if port > lastPort {
			port = firstPort
		}
		if len(listeners) > 0 && port == first {
			return nil, errNoFreePorts
		}
		listener, err := net.Listen("tcp", loopbackAddress(port))
		if err != nil {
			continue
		}
		listeners, addresses = append(listeners, listener), append(addresses, loopbackAddress(port))
	}
	return addresses, nil
}

// topologyBuilder creates the nodes and relays of an environment.
type topologyBuilder struct {
	*sockets
	unusedAddresses  []string          // addresses that no node has yet
	nameByAddress    map[string]string // participant that each address of a node, or of a coordinator's relay, leads to
	backendNames     []string
	coordinatorNames []string
}

// build creates all nodes and the relays between them.
func (s *sockets) build(addresses []string) error {
	builder := &topologyBuilder{
		sockets: s, unusedAddresses: addresses, nameByAddress: map[string]string{},
		backendNames: participantNames(s.player.backends), coordinatorNames: participantNames(s.player.coordinators),
	}
	store := s.player.newIdempotencyStore()
	for _, backend := range s.player.backends {
		builder.addListeningNode(backend, func() statemachine.Machine { return s.player.newBackend(backend, store) })
	}
	for _, target := range s.player.coordinators {
		builder.addListeningNode(target, nil)
	}
	builder.addListeningNode(s.player.byName[endpointService], builder.newEndpointService)
	for _, target := range s.player.coordinators {
		if err := builder.connectCoordinator(target); err != nil {
			return err
		}
	}
	for _, proxy := range s.player.proxies {
		if err := builder.connectProxy(proxy); err != nil {
			return err
		}
	}
	return nil
}

// addListeningNode adds the node of a participant, with an address of its own.
func (t *topologyBuilder) addListeningNode(added *participant, newMachine func() statemachine.Machine) {
	address := t.unusedAddresses[0]
	t.unusedAddresses = t.unusedAddresses[1:]
	t.nodes[added.name] = &node{participant: added, addr: address, newMachine: newMachine}
	t.nameByAddress[address] = added.name
}

// newEndpointService makes the endpoint list service. It gives each coordinator the addresses of backends at the coordinator's
// own relay.
func (t *topologyBuilder) newEndpointService() statemachine.Machine {
	list := fake.NewEndpointService(t.player.initialEndpoints(func(backend *participant) string { return t.nodes[backend.name].addr }))
	list.RewriteAddr = func(watcher, address string) string {
		if r := t.relays[watcher]; r != nil {
			return r.address(t.nameByAddress[address])
		}
		return address
	}
	return list
}

// connectCoordinator starts the relay of a coordinator, to the endpoint list service and all backends.
func (t *topologyBuilder) connectCoordinator(target *participant) error {
	started, err := t.startRelay(target.name, append([]string{endpointService}, t.backendNames...))
	if err != nil {
		return err
	}
	for i, name := range started.targetNames {
		t.nameByAddress[started.addresses[i]] = name
	}
	return nil
}

// connectProxy adds the node of a proxy, which does not listen, and starts its relay. Coordinators tell the proxy the addresses of
// backends at their own relays, so the node replaces these by the addresses at the proxy's relay.
func (t *topologyBuilder) connectProxy(proxy *participant) error {
	started, err := t.startRelay(proxy.name, slices.Concat(t.coordinatorNames, t.backendNames))
	if err != nil {
		return err
	}
	coordinatorAddresses := make([]string, 0, len(t.coordinatorNames))
	for _, name := range t.coordinatorNames {
		coordinatorAddresses = append(coordinatorAddresses, started.address(name))
	}
	t.nodes[proxy.name] = &node{
		participant: proxy,
		newMachine:  func() statemachine.Machine { return t.player.newProxy(proxy, coordinatorAddresses) },
		rewriteAddr: func(address string) string {
			if name, known := t.nameByAddress[address]; known {
				return started.address(name)
			}
			return address
		},
	}
	return nil
}
