package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

// peerRole is what a peer of the machine is.
type peerRole int

const (
	peerProxy peerRole = iota
	peerCollector
	peerUnjoined // it opens a connection without joining, or joins late
	peerDiscovery
	peerProbedBackend // a backend, or nothing, at the address that the machine dials for a probe
)

// scriptPeer is the peer on one of the machine's connections.
type scriptPeer struct {
	conn           statemachine.Conn
	role           peerRole
	zone           string
	proxy          *scriptProxy
	backend        *scriptBackend // the probed backend, nil if none has the address
	unsent         []byte         // data from the peer that was not delivered to the machine yet
	closeAfterSend bool           // the peer closes the connection once unsent is delivered
	partitioned    bool           // nothing more is delivered from the peer
	unread         string         // the beginning of a message from the machine that is incomplete
}

// scriptProxy is a proxy, which has one connection after another.
type scriptProxy struct {
	number        int
	zone          string
	peer          *scriptPeer // its current connection, nil if there is none
	withholdsAcks bool        // the proxy acknowledges no pushes
}

// scriptBackend is a backend as discovery lists it.
type scriptBackend struct {
	name, address, health string
	startedAt             statemachine.Seconds
	share                 float64
	version               int
}

// scriptDiscovery is the discovery service.
type scriptDiscovery struct {
	version         int
	backends        []*scriptBackend
	failureMode     string      // one of discoveryFailureModes, "" if requests succeed
	longPollVersion int         // version in the request of the long poll that is held
	longPollPeer    *scriptPeer // on the connection of that long poll, nil if none is held
}

// newScriptDiscovery returns a discovery service that lists all backends as active.
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

// setBackend changes a backend and answers the long poll that is held, if there is one.
func (d *scriptDiscovery) setBackend(s *script, number int, health string, startedAt statemachine.Seconds) {
	d.version++
	backend := d.backends[number]
	backend.health, backend.startedAt, backend.version = health, startedAt, d.version
	s.count("backend is " + health)
	if peer := d.longPollPeer; peer != nil {
		d.longPollPeer = nil
		s.respondWithList(peer, false, d.longPollVersion)
	}
}

// listJSON returns the full list, or the changes since a version.
func (d *scriptDiscovery) listJSON(whole bool, since int) []byte {
	hosts := []map[string]any{}
	for number, backend := range d.backends {
		if whole && backend.health == "left" || !whole && backend.version <= since {
			continue
		}
		hosts = append(hosts, map[string]any{
			"host": backend.name, "dial": backend.address, "site": scriptZone(number), "class": "m2", "block": number % 4,
			"health": backend.health, "share": backend.share, "born_ms": backend.startedAt * 1000,
		})
	}
	body, err := json.Marshal(map[string]any{"seq": d.version, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return body
}

// send queues data for deliverData.
func (p *scriptPeer) send(format string, args ...any) {
	p.unsent = fmt.Appendf(p.unsent, format, args...)
}

// addInput queues an input for the next step of the machine.
func (s *script) addInput(input statemachine.Input) { s.inputs = append(s.inputs, input) }

// openConnection opens a connection to the machine and returns its peer.
func (s *script) openConnection(role peerRole, zone string) *scriptPeer {
	s.lastAccepted++
	peer := &scriptPeer{conn: s.lastAccepted, role: role, zone: zone}
	s.peers = append(s.peers, peer)
	s.addInput(statemachine.Input{Kind: statemachine.ConnOpened, Conn: peer.conn})
	return peer
}

// connectCollector joins a collector on a new connection.
func (s *script) connectCollector(zone string) *scriptPeer {
	peer := s.openConnection(peerCollector, zone)
	peer.send("telemetry zone=%s\r\n", zone)
	s.count("collector joins")
	return peer
}

// joinProxy joins a proxy on a new connection. The former connection stays open until the machine closes it.
func (s *script) joinProxy(proxy *scriptProxy, fresh bool) {
	proxy.peer = s.openConnection(peerProxy, proxy.zone)
	proxy.peer.proxy = proxy
	s.sendJoin(proxy.peer, fresh)
}

// sendJoin sends the join message of a proxy.
func (s *script) sendJoin(peer *scriptPeer, fresh bool) {
	flag := 0
	if fresh {
		flag = 1
	}
	peer.send("attach proxy=%d zone=%s weight=%.1f fresh=%d\r\n", peer.proxy.number, peer.zone, 1+9*s.random.Float64(), flag)
	s.count(fmt.Sprintf("proxy joins with fresh=%d", flag))
}

// reconnect joins a proxy again after a random delay, unless it has joined by then.
func (s *script) reconnect(proxy *scriptProxy) {
	s.after(0.05+0.5*s.random.Float64(), func() {
		if proxy.peer == nil {
			s.joinProxy(proxy, s.random.IntN(6) == 0)
		}
	})
}

// isOpen returns whether the connection of a peer is open or being opened.
func (s *script) isOpen(peer *scriptPeer) bool {
	return slices.Contains(s.peers, peer)
}

// deliverData passes data that peers have sent to the machine, in pieces of random sizes, and closes the connections of peers
// that have nothing more to send.
func (s *script) deliverData() {
	for _, peer := range slices.Clone(s.peers) {
		if peer.partitioned {
			continue
		}
		for len(peer.unsent) > 0 {
			size := len(peer.unsent)
			if s.random.IntN(4) == 0 {
				size = 1 + s.random.IntN(size)
				s.count("data in pieces")
			}
			s.addInput(statemachine.Input{Kind: statemachine.ConnData, Conn: peer.conn, Data: slices.Clone(peer.unsent[:size])})
			peer.unsent = peer.unsent[size:]
			if s.random.IntN(2) == 0 {
				break
			}
		}
		if peer.closeAfterSend && len(peer.unsent) == 0 {
			s.closeByPeer(peer, "end of stream")
		}
	}
}

// closeByPeer closes a connection by its peer, or lets a dial fail, for the given reason.
func (s *script) closeByPeer(peer *scriptPeer, reason string) {
	s.addInput(statemachine.Input{Kind: statemachine.ConnClosed, Conn: peer.conn, Text: reason})
	s.removePeer(peer)
	s.count("peer closes a connection")
}

// removePeer removes the peer of a closed connection. A proxy connects again unless it has another connection.
func (s *script) removePeer(peer *scriptPeer) {
	s.peers = slices.DeleteFunc(s.peers, func(p *scriptPeer) bool { return p == peer })
	if s.discovery.longPollPeer == peer {
		s.discovery.longPollPeer = nil
	}
	if proxy := peer.proxy; proxy != nil && proxy.peer == peer {
		proxy.peer = nil
		s.reconnect(proxy)
	}
}

// peerByConn returns the peer on a connection, or nil if the connection is closed.
func (s *script) peerByConn(conn statemachine.Conn) *scriptPeer {
	for _, peer := range s.peers {
		if peer.conn == conn {
			return peer
		}
	}
	return nil
}

// executeAction carries out one action of the machine.
func (s *script) executeAction(action statemachine.Action) {
	switch action.Kind {
	case statemachine.ActionDial:
		s.startDial(action)
	case statemachine.ActionWrite:
		if peer := s.peerByConn(action.Conn); peer != nil {
			s.dataReceived(peer, string(action.Data))
		} else {
			s.count("write on an ended connection")
		}
	case statemachine.ActionClose, statemachine.ActionAbort:
		s.count("machine closes a connection")
		if peer := s.peerByConn(action.Conn); peer != nil {
			if peer.partitioned && peer.proxy.peer == peer {
				s.count("machine closes an idle stream")
			}
			s.removePeer(peer)
		}
	}
}

// startDial creates the peer of a connection that the machine dials. The dial succeeds or fails after a random delay.
func (s *script) startDial(action statemachine.Action) {
	peer := &scriptPeer{conn: action.Conn, role: peerProbedBackend}
	if strings.HasPrefix(action.Addr, "discovery") {
		peer.role = peerDiscovery
		s.count("dial to discovery")
	} else {
		s.count("dial to a backend")
	}
	for _, backend := range s.discovery.backends {
		if backend.address == action.Addr {
			peer.backend = backend
		}
	}
	s.peers = append(s.peers, peer)
	s.after(0.001+0.01*s.random.Float64(), func() { s.finishDial(peer) })
}

// finishDial draws the outcome of a dial: it fails at the peer or locally, or succeeds.
func (s *script) finishDial(peer *scriptPeer) {
	if !s.isOpen(peer) {
		return
	}
	switch s.random.IntN(12) {
	case 0:
		s.count("dial that is refused")
		s.closeByPeer(peer, "connection refused")
	case 1:
		s.count("dial that fails for lack of local resources")
		s.addInput(statemachine.Input{Kind: statemachine.ConnClosed, Conn: peer.conn, Text: "too many open files", LocalFailure: true})
		s.removePeer(peer)
	default:
		s.addInput(statemachine.Input{Kind: statemachine.ConnOpened, Conn: peer.conn})
	}
}

// dataReceived handles data that the machine has written to a peer.
func (s *script) dataReceived(peer *scriptPeer, data string) {
	messageEnd := "\r\n"
	if peer.role == peerDiscovery || peer.role == peerProbedBackend {
		messageEnd = "\r\n\r\n"
	}
	peer.unread += data
	for {
		message, rest, complete := strings.Cut(peer.unread, messageEnd)
		if !complete {
			return
		}
		peer.unread = rest
		switch peer.role {
		case peerDiscovery:
			s.handleListRequest(peer, message)
		case peerProbedBackend:
			s.handleProbeRequest(peer, message)
		default:
			s.handleMessage(peer, message)
		}
	}
}

// handleMessage counts the features of a message that the machine has written to a proxy, a collector or an unjoined peer. A
// nonce is acknowledged.
func (s *script) handleMessage(peer *scriptPeer, message string) {
	words := strings.Fields(message)
	s.count("message of kind " + words[0])
	delta := !strings.Contains(message, " whole=1")
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		s.count("push with " + name)
		switch {
		case name == "lines" && delta:
			s.count("push with changed entries")
		case name == "classes":
			s.count("push for some methods")
		case name == "level" && value != "1":
			s.count("push with an admission level below 1")
		case name == "retry" && value == "0":
			s.count("push that forbids retries")
		case name == "ticket":
			s.acknowledgeLater(peer, value)
		}
	}
}

// acknowledgeLater acknowledges a nonce after 5 ms to 204 ms, unless the peer acknowledges nothing.
func (s *script) acknowledgeLater(peer *scriptPeer, nonce string) {
	if peer.proxy == nil || peer.proxy.withholdsAcks {
		s.count("nonce not acknowledged")
		return
	}
	delayMs := 5 + s.random.IntN(200)
	s.after(float64(delayMs)/1000, func() {
		if s.isOpen(peer) {
			peer.send("done proxy=%d mark=%s took_ms=%d\r\n", peer.proxy.number, nonce, delayMs)
			s.count("nonce acknowledged")
		}
	})
}
