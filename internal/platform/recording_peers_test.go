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
	scriptStranger
	scriptDiscoveryRole
	scriptProbe
)

// scriptPeer is the other end of one of the machine's connections.
type scriptPeer struct {
	conn   statemachine.Conn
	role   scriptRole
	zone   string
	proxy  *scriptProxy
	server *scriptServer // that is probed, nil if none is at the address
	unsent []byte        // what it has yet to send
	ends   bool          // it ends the connection once all is sent
	cutOff bool          // nothing comes from it any more, not even the connection's end
	unread string        // what came and was not whole yet
}

// scriptProxy is a proxy across its connections.
type scriptProxy struct {
	number int
	zone   string
	peer   *scriptPeer // nil: it is not connected
	mute   bool        // it answers no marks
}

// scriptServer is a server as discovery lists it.
type scriptServer struct {
	name, address, health string
	born                  statemachine.Seconds
	share                 float64
	version               int
}

// scriptDiscovery is the list service.
type scriptDiscovery struct {
	version int
	servers []*scriptServer
	mode    string // how it fails; "": it does not
	poll    int    // the version that the call that waits knows
	waiting *scriptPeer
}

func newScriptDiscovery() *scriptDiscovery {
	d := &scriptDiscovery{version: scriptServers}
	for number := range scriptServers {
		d.servers = append(d.servers, &scriptServer{
			name: fmt.Sprintf("s-%04d", number), address: fmt.Sprintf("server-%d:80", number), health: "active",
			share: float64(1 + number%3), version: number + 1,
		})
	}
	return d
}

// set changes a server and tells the call that waits.
func (d *scriptDiscovery) set(s *script, number int, health string, born statemachine.Seconds) {
	d.version++
	server := d.servers[number]
	server.health, server.born, server.version = health, born, d.version
	s.saw("server is " + health)
	if peer := d.waiting; peer != nil {
		d.waiting = nil
		s.answerList(peer, false, d.poll)
	}
}

// body is the list, or what changed of it since a version.
func (d *scriptDiscovery) body(whole bool, since int) []byte {
	hosts := []map[string]any{}
	for number, server := range d.servers {
		if whole && server.health == "left" || !whole && server.version <= since {
			continue
		}
		hosts = append(hosts, map[string]any{
			"host": server.name, "dial": server.address, "site": scriptZone(number), "class": "m2", "block": number % 4,
			"health": server.health, "share": server.share, "born_ms": server.born * 1000,
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

// attach joins a proxy on a new connection; a former one of its stands until it is ended.
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

// alive tells whether a peer's connection stands.
func (s *script) alive(peer *scriptPeer) bool {
	return slices.Contains(s.peers, peer)
}

// deliver hands over bytes that peers have sent, in pieces of any size, and the ends of their connections.
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

// end has a connection end from the peer's side.
func (s *script) end(peer *scriptPeer, why string) {
	s.input(statemachine.Input{Kind: statemachine.ConnClosed, Conn: peer.conn, Text: why})
	s.remove(peer)
	s.saw("peer ends a connection")
}

// remove forgets a connection. Its proxy, if it has no other, comes back.
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

// react has the other side take one action of the machine.
func (s *script) react(act statemachine.Action) {
	switch act.Kind {
	case statemachine.ActionDial:
		s.dialled(act)
	case statemachine.ActionWrite:
		if peer := s.find(act.Conn); peer != nil {
			s.received(peer, string(act.Data))
		} else {
			s.saw("write on an ended connection")
		}
	case statemachine.ActionClose, statemachine.ActionAbort:
		s.saw("machine ends a connection")
		if peer := s.find(act.Conn); peer != nil {
			if peer.cutOff && peer.proxy.peer == peer {
				s.saw("machine ends a stream that was cut off")
			}
			s.remove(peer)
		}
	}
}

// dialled decides what becomes of a connection that the machine opens.
func (s *script) dialled(act statemachine.Action) {
	peer := &scriptPeer{conn: act.Conn, role: scriptProbe}
	if strings.HasPrefix(act.Addr, "discovery") {
		peer.role = scriptDiscoveryRole
		s.saw("dial to discovery")
	} else {
		s.saw("dial to a server")
	}
	for _, server := range s.discovery.servers {
		if server.address == act.Addr {
			peer.server = server
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

// received takes bytes that the machine wrote.
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
			s.listCall(peer, message)
		case scriptProbe:
			s.probeCall(peer, message)
		default:
			s.pushReceived(peer, message)
		}
	}
}

// order takes a line that the machine wrote to a proxy, a collector or a stranger.
func (s *script) pushReceived(peer *scriptPeer, message string) {
	words := strings.Fields(message)
	s.saw("line of the kind " + words[0])
	partial := !strings.Contains(message, " whole=1")
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		s.saw("order with " + name)
		switch {
		case name == "lines" && partial:
			s.saw("order with changed lines")
		case name == "classes":
			s.saw("order for some methods")
		case name == "level" && value != "1":
			s.saw("order with an admission level below 1")
		case name == "retry" && value == "0":
			s.saw("order that forbids second tries")
		case name == "ticket":
			s.acknowledge(peer, value)
		}
	}
}

// acknowledge answers a mark after a while.
func (s *script) acknowledge(peer *scriptPeer, mark string) {
	if peer.proxy == nil || peer.proxy.mute {
		s.saw("mark without an answer")
		return
	}
	took := 5 + s.dice.IntN(200)
	s.after(float64(took)/1000, func() {
		if s.alive(peer) {
			peer.send("done proxy=%d mark=%s took_ms=%d\r\n", peer.proxy.number, mark, took)
			s.saw("mark answered")
		}
	})
}
