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

// Ports are taken below those that systems give to outgoing connections, so that none of these can take one between a
// process's end and its restart. Processes start their search at different ones.
const (
	firstPort    = 12000
	lastPort     = 32000
	portStride   = 37
	portStartMod = 16000
)

var errNoFreePorts = errors.New("no free ports on the loopback address")

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freeAddresses finds loopback addresses whose ports are free.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close() // it served to hold the port, and took no connection
		}
	}()
	first := firstPort + os.Getpid()*portStride%portStartMod
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

// topologyBuilder is what connects the nodes while they are built.
type topologyBuilder struct {
	*sockets
	unusedAddresses []string          // addresses that no node has yet
	nameOf          map[string]string // by any address at which a node can be reached
	backendNames    []string
	coordinators    []string
}

// build makes all nodes and the relays between them.
func (s *sockets) build(free []string) error {
	built := &topologyBuilder{
		sockets: s, unusedAddresses: free, nameOf: map[string]string{},
		backendNames: participantNames(s.player.backends), coordinators: participantNames(s.player.coordinators),
	}
	store := s.player.newIdempotencyStore()
	for _, backend := range s.player.backends {
		built.addListening(backend, func() statemachine.Machine { return s.player.newBackend(backend, store) })
	}
	for _, target := range s.player.coordinators {
		built.addListening(target, nil)
	}
	built.addListening(s.player.byName[endpointService], built.newEndpointService)
	for _, target := range s.player.coordinators {
		if err := built.connectCoordinator(target); err != nil {
			return err
		}
	}
	for _, proxy := range s.player.proxies {
		if err := built.connectProxy(proxy); err != nil {
			return err
		}
	}
	return nil
}

// addListening adds a node with an address of its own.
func (t *topologyBuilder) addListening(of *participant, newMachine func() statemachine.Machine) {
	address := t.unusedAddresses[0]
	t.unusedAddresses = t.unusedAddresses[1:]
	t.nodes[of.name] = &node{participant: of, addr: address, newMachine: newMachine}
	t.nameOf[address] = of.name
}

// newEndpointService makes the endpoint list service; each coordinator learns the addresses of its own relay.
func (t *topologyBuilder) newEndpointService() statemachine.Machine {
	list := fake.NewEndpointService(t.player.initialEndpoints(func(backend *participant) string { return t.nodes[backend.name].addr }))
	list.RewriteAddr = func(watcher, address string) string {
		if r := t.relays[watcher]; r != nil {
			return r.address(t.nameOf[address])
		}
		return address
	}
	return list
}

func (t *topologyBuilder) connectCoordinator(target *participant) error {
	started, err := t.startRelay(target.name, append([]string{endpointService}, t.backendNames...))
	if err != nil {
		return err
	}
	for i, name := range started.targetNames {
		t.nameOf[started.addresses[i]] = name
	}
	return nil
}

// connectProxy adds a proxy, which listens nowhere. It knows backends by the addresses of its coordinator's relay, and these
// are translated to those of its own.
func (t *topologyBuilder) connectProxy(proxy *participant) error {
	started, err := t.startRelay(proxy.name, slices.Concat(t.coordinators, t.backendNames))
	if err != nil {
		return err
	}
	coordinatorAddresses := make([]string, 0, len(t.coordinators))
	for _, name := range t.coordinators {
		coordinatorAddresses = append(coordinatorAddresses, started.address(name))
	}
	t.nodes[proxy.name] = &node{
		participant: proxy,
		newMachine:  func() statemachine.Machine { return t.player.newProxy(proxy, coordinatorAddresses) },
		translate: func(address string) string {
			if name, known := t.nameOf[address]; known {
				return started.address(name)
			}
			return address
		},
	}
	return nil
}
