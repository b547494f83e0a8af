package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

type scriptRole int

const (
	scriptProxyRole scriptRole = iota
	scriptCollector
	scriptUnjoined
	scriptDiscoveryRole
	scriptProbe
)

// scriptPeer is the other end of one of the machine's connections.
type scriptPeer struct {
	conn    statemachine.Conn
	role    scriptRole
	zone    string
	proxy   *scriptProxy
	backend *scriptBackend // the probed backend, nil if none has the address
	unsent  []byte         // data that was not delivered yet
	ends    bool           // it closes the connection once everything is sent
	cutOff  bool           // the network between it and the machine is lost
	unread  string         // the beginning of an incomplete message
}

// scriptProxy is a proxy across its connections.
type scriptProxy struct {
	number int
	zone   string
	peer   *scriptPeer // nil if it is not connected
	mute   bool        // it acknowledges nothing
}

// scriptBackend is a backend as discovery lists it.
type scriptBackend struct {
	name, address, health string
	born                  statemachine.Seconds
	share                 float64
	version               int
}

// scriptDiscovery is discovery.
type scriptDiscovery struct {
	version  int
	backends []*scriptBackend
	mode     string // how it fails, "" if it does not
	poll     int    // the version in the waiting long poll
	waiting  *scriptPeer
}

func newScriptDiscovery() *scriptDiscovery {
	d := &scriptDiscovery{version: scriptBackendCount}
	for number := range scriptBackendCount {
		d.backends = append(d.backends, &scriptBackend{
			name: fmt.Sprintf("s-%04d", number), address: fmt.Sprintf("server-%d:80", number), health: "active",
			share: float64(1 + number%3), version: number + 1,
		})
	}
	return d
}

// set changes a backend and responds to the waiting long poll.
func (d *scriptDiscovery) set(s *script, number int, health string, born statemachine.Seconds) {
	d.version++
	backend := d.backends[number]
	backend.health, backend.born, backend.version = health, born, d.version
	s.saw("backend is " + health)
	if peer := d.waiting; peer != nil {
		d.waiting = nil
		s.respondWithList(peer, false, d.poll)
	}
}

// body is the full list, or its changes since a version.
func (d *scriptDiscovery) body(whole bool, since int) []byte {
	hosts := []map[string]any{}
	for number, backend := range d.backends {
		if whole && backend.health == "left" || !whole && backend.version <= since {
			continue
		}
		hosts = append(hosts, map[string]any{
			"host": backend.name, "dial": backend.address, "site": scriptZone(number), "class": "m2", "block": number % 4,
			"health": backend.health, "share": backend.share, "born_ms": backend.born * 1000,
		})
	}
	body, err := json.Marshal(map[string]any{"seq": d.version, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return body
}

func (p *scriptPeer) send(format string, args ...any) {
	p.unsent = fmt.Appendf(p.unsent, format, args...)
}

func (s *script) input(input statemachine.Input) { s.inputs = append(s.inputs, input) }

// accept opens a connection to the machine.
func (s *script) accept(role scriptRole, zone string) *scriptPeer {
	s.accepted++
	peer := &scriptPeer{conn: s.accepted, role: role, zone: zone}
	s.peers = append(s.peers, peer)
	s.input(statemachine.Input{Kind: statemachine.ConnOpened, Conn: peer.conn})
	return peer
}

func (s *script) connectCollector(zone string) *scriptPeer {
	peer := s.accept(scriptCollector, zone)
	peer.send("telemetry zone=%s\r\n", zone)
	s.saw("collector joins")
	return peer
}

// attach joins a proxy on a new connection; a former one stays open until the machine closes it.
func (s *script) attach(proxy *scriptProxy, fresh bool) {
	proxy.peer = s.accept(scriptProxyRole, proxy.zone)
	proxy.peer.proxy = proxy
	s.attachOn(proxy.peer, fresh)
}

func (s *script) attachOn(peer *scriptPeer, fresh bool) {
	flag := 0
	if fresh {
		flag = 1
	}
	peer.send("attach proxy=%d zone=%s weight=%.1f fresh=%d\r\n", peer.proxy.number, peer.zone, 1+9*s.dice.Float64(), flag)
	s.saw(fmt.Sprintf("proxy joins with fresh=%d", flag))
}

func (s *script) reconnect(proxy *scriptProxy) {
	s.after(0.05+0.5*s.dice.Float64(), func() {
		if proxy.peer == nil {
			s.attach(proxy, s.dice.IntN(6) == 0)
		}
	})
}

// alive returns whether a peer's connection is open.
func (s *script) alive(peer *scriptPeer) bool {
	return slices.Contains(s.peers, peer)
}

// deliver passes the data that peers have sent, in pieces of any size, and the ends of their connections to the machine.
func (s *script) deliver() {
	for _, peer := range slices.Clone(s.peers) {
		if peer.cutOff {
			continue
		}
		for len(peer.unsent) > 0 {
			size := len(peer.unsent)
			if s.dice.IntN(4) == 0 {
				size = 1 + s.dice.IntN(size)
				s.saw("split bytes")
			}
			s.input(statemachine.Input{Kind: statemachine.ConnData, Conn: peer.conn, Data: slices.Clone(peer.unsent[:size])})
			peer.unsent = peer.unsent[size:]
			if s.dice.IntN(2) == 0 {
				break
			}
		}
		if peer.ends && len(peer.unsent) == 0 {
			s.end(peer, "end of stream")
		}
	}
}

// end closes a connection from the peer's side.
func (s *script) end(peer *scriptPeer, why string) {
	s.input(statemachine.Input{Kind: statemachine.ConnClosed, Conn: peer.conn, Text: why})
	s.remove(peer)
	s.saw("peer closes a connection")
}

// remove removes a connection. Its proxy connects again unless it has another one.
func (s *script) remove(peer *scriptPeer) {
	s.peers = slices.DeleteFunc(s.peers, func(p *scriptPeer) bool { return p == peer })
	if s.discovery.waiting == peer {
		s.discovery.waiting = nil
	}
	if proxy := peer.proxy; proxy != nil && proxy.peer == peer {
		proxy.peer = nil
		s.reconnect(proxy)
	}
}

func (s *script) find(conn statemachine.Conn) *scriptPeer {
	for _, peer := range s.peers {
		if peer.conn == conn {
			return peer
		}
	}
	return nil
}

// react executes one action of the machine at its peer.
func (s *script) react(act statemachine.Action) {
	switch act.Kind {
	case statemachine.ActionDial:
		s.dialed(act)
	case statemachine.ActionWrite:
		if peer := s.find(act.Conn); peer != nil {
			s.received(peer, string(act.Data))
		} else {
			s.saw("write on an ended connection")
		}
	case statemachine.ActionClose, statemachine.ActionAbort:
		s.saw("machine closes a connection")
		if peer := s.find(act.Conn); peer != nil {
			if peer.cutOff && peer.proxy.peer == peer {
				s.saw("machine closes an idle stream")
			}
			s.remove(peer)
		}
	}
}

// dialed decides the outcome of a connection that the machine dials.
func (s *script) dialed(act statemachine.Action) {
	peer := &scriptPeer{conn: act.Conn, role: scriptProbe}
	if strings.HasPrefix(act.Addr, "discovery") {
		peer.role = scriptDiscoveryRole
		s.saw("dial to discovery")
	} else {
		s.saw("dial to a backend")
	}
	for _, backend := range s.discovery.backends {
		if backend.address == act.Addr {
			peer.backend = backend
		}
	}
	s.peers = append(s.peers, peer)
	s.after(0.001+0.01*s.dice.Float64(), func() { s.connected(peer) })
}

func (s *script) connected(peer *scriptPeer) {
	if !s.alive(peer) {
		return
	}
	switch s.dice.IntN(12) {
	case 0:
		s.saw("dial that is refused")
		s.end(peer, "connection refused")
	case 1:
		s.saw("dial that fails for want of local resources")
		s.input(statemachine.Input{Kind: statemachine.ConnClosed, Conn: peer.conn, Text: "too many open files", LocalFailure: true})
		s.remove(peer)
	default:
		s.input(statemachine.Input{Kind: statemachine.ConnOpened, Conn: peer.conn})
	}
}

// received handles data that the machine wrote.
func (s *script) received(peer *scriptPeer, data string) {
	end := "\r\n"
	if peer.role == scriptDiscoveryRole || peer.role == scriptProbe {
		end = "\r\n\r\n"
	}
	peer.unread += data
	for {
		message, rest, whole := strings.Cut(peer.unread, end)
		if !whole {
			return
		}
		peer.unread = rest
		switch peer.role {
		case scriptDiscoveryRole:
			s.listRequest(peer, message)
		case scriptProbe:
			s.probeRequest(peer, message)
		default:
			s.pushReceived(peer, message)
		}
	}
}

// pushReceived handles a message that the machine wrote to a proxy, a collector or an unjoined connection.
func (s *script) pushReceived(peer *scriptPeer, message string) {
	words := strings.Fields(message)
	s.saw("message of the kind " + words[0])
	partial := !strings.Contains(message, " whole=1")
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		s.saw("push with " + name)
		switch {
		case name == "lines" && partial:
			s.saw("push with changed entries")
		case name == "classes":
			s.saw("push for some methods")
		case name == "level" && value != "1":
			s.saw("push with an admission level below 1")
		case name == "retry" && value == "0":
			s.saw("push that forbids retries")
		case name == "ticket":
			s.acknowledge(peer, value)
		}
	}
}

// acknowledge acknowledges a nonce after a while.
func (s *script) acknowledge(peer *scriptPeer, mark string) {
	if peer.proxy == nil || peer.proxy.mute {
		s.saw("nonce not acknowledged")
		return
	}
	took := 5 + s.dice.IntN(200)
	s.after(float64(took)/1000, func() {
		if s.alive(peer) {
			peer.send("done proxy=%d mark=%s took_ms=%d\r\n", peer.proxy.number, mark, took)
			s.saw("nonce acknowledged")
		}
	})
}
