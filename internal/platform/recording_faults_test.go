package platform

import (
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

// unjoinedMessages are what connections send that do not join. Some of them are incomplete.
var unjoinedMessages = []string{
	"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "hb\r\nhb\r\natta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "attach proxy=1 zone=elsewhere weight=1 fresh=0\r\n",
	"attach proxy=1 zone=a weight=1 fresh=2\r\n", "attach proxy=1 zone=a fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n", "assign whole=1\r\n", "\x00\xff",
	"telemetry zone=nowhere\r\n", "telemetry\r\n", "hb\n", "\r\n", "client_stats proxy=1 class=read tries=1 failed=0 span_ms=1000\r\n", "",
	"attach proxy=1 zone=" + strings.Repeat("a", 600) + " weight=1 fresh=1\r\n", "attach " + strings.Repeat("x", 600),
}

// invalidMessages are dropped on a joined connection, which stays open.
var invalidMessages = []string{
	"client_stats proxy=-3 class=read tries=1 failed=0 span_ms=1\r\n", "client_stats proxy=400 class=read tries=1 failed=0 span_ms=1\r\n",
	"client_stats proxy=1 class=other tries=1 failed=0 span_ms=1\r\n", "client_stats proxy=1 class=read tries=1.5 failed=0 span_ms=1\r\n",
	"client_stats proxy=1 class=read tries=NaN failed=0 span_ms=0\r\n", "client_stats proxy=1 proxy=2 class=read tries=1 failed=0 span_ms=1\r\n",
	"done proxy=1 mark=zz took_ms=1\r\n", "done proxy=400 mark=3 took_ms=1\r\n", "done proxy mark=3\r\n", "attach proxy=2 zone=a weight=1 fresh=1\r\n",
	"telemetry zone=a\r\n", "upstream_stats zone=a server=never-listed tries=3 failed=0 mean_ms=1 span_ms=1000\r\n", "upstream_stats zone=a\r\n",
	"upstream_stats zone=nowhere server=s-0001 tries=3 failed=0 mean_ms=1 span_ms=1000\r\n",
	"upstream_stats zone=a server=s-0001 tries=3 failed=4 mean_ms=1 span_ms=1000\r\n",
	"upstream_stats zone=a server=s-0001 tries=3 failed=0 mean_ms=1 span_ms=1000 load=cpu:x\r\n",
}

// malformedMessages make the machine close the connection on which they arrive.
var malformedMessages = []string{
	"hb\n", "\r\n", "nonsense x=1\r\n", "\x00\r\n", "assign whole=1\r\n", "client_stats " + strings.Repeat("x", 20<<10) + "\r\n",
	"hb " + strings.Repeat("y=1 ", 5<<10),
}

// discoveryFailureModes are the ways in which requests to discovery fail, as respondWithList implements them.
var discoveryFailureModes = []string{"unavailable", "unavailable and closed", "hang", "reset", "cut off", "cut chunk", "malformed list", "malformed HTTP", "too long", "old list"}

// scriptFaults are the faults and other events that may happen in a step, each entry with the same probability. Some are listed
// twice, so that they occur twice as often.
var scriptFaults = []struct {
	name   string
	inject func(*script)
}{
	{"proxy's connection ends", (*script).dropProxy},
	{"proxy joins again on a later connection", (*script).joinProxyAgain},
	{"proxy joins late on an earlier connection", (*script).joinLate},
	{"unjoined connection", func(s *script) {
		s.openConnection(peerUnjoined, "").send("%s", randomElement(s.random, unjoinedMessages))
	}},
	{"flood of unjoined connections", (*script).connectionFlood},
	{"invalid message", func(s *script) { s.sendTo(peerProxy, peerCollector, randomElement(s.random, invalidMessages)) }},
	{"malformed data", func(s *script) { s.sendTo(peerProxy, peerCollector, randomElement(s.random, malformedMessages)) }},
	{"heartbeat", func(s *script) { s.sendTo(peerProxy, peerCollector, "hb\r\n") }},
	{"acknowledgement of a wrong nonce", (*script).acknowledgeWrongNonce},
	{"proxy begins or ceases to acknowledge", (*script).toggleAcknowledgements},
	{"proxy is partitioned", (*script).partitionProxy},
	{"collector's connection ends", (*script).dropCollector},
	{"collector connects again", func(s *script) { s.connectCollector(scriptZone(s.random.IntN(2))) }},
	{"discovery begins to fail", func(s *script) { s.discovery.failureMode = randomElement(s.random, discoveryFailureModes) }},
	{"discovery recovers", func(s *script) { s.discovery.failureMode = "" }},
	{"discovery recovers", func(s *script) { s.discovery.failureMode = "" }},
	{"discovery sends an unexpected response", func(s *script) { s.sendTo(peerDiscovery, peerDiscovery, emptyOK) }},
	{"discovery ends its connection", (*script).dropDiscovery},
	{"backend changes", (*script).changeBackend},
	{"backend changes", (*script).changeBackend},
	{"backend has another address", (*script).moveBackend},
	{"configuration is reloaded", (*script).reload},
	{"operator command", func(s *script) { s.addInput(statemachine.Input{Kind: statemachine.OperatorCommand, Text: "reload"}) }},
	{"input of an unknown connection", (*script).inputOfUnknownConnection},
}

// injectFault injects a random entry of scriptFaults.
func (s *script) injectFault() {
	fault := randomElement(s.random, scriptFaults)
	s.count("fault: " + fault.name)
	fault.inject(s)
}

// randomPeer draws a peer that has one of two roles. It returns nil if there is none.
func (s *script) randomPeer(role, otherRole peerRole) *scriptPeer {
	candidates := slices.DeleteFunc(slices.Clone(s.peers), func(p *scriptPeer) bool { return p.role != role && p.role != otherRole })
	if len(candidates) == 0 {
		return nil
	}
	return randomElement(s.random, candidates)
}

// sendTo sends a text from a random peer that has one of two roles.
func (s *script) sendTo(role, otherRole peerRole, text string) {
	if peer := s.randomPeer(role, otherRole); peer != nil {
		peer.send("%s", text)
	}
}

// dropProxy has a random proxy reset its connection.
func (s *script) dropProxy() {
	if peer := s.randomPeer(peerProxy, peerProxy); peer != nil {
		s.closeByPeer(peer, "connection reset by peer")
	}
}

// partitionProxy leaves a proxy's connection open, but no further data arrives on it. 15 s later the proxy joins on another
// connection.
func (s *script) partitionProxy() {
	peer := s.randomPeer(peerProxy, peerProxy)
	if peer == nil {
		return
	}
	peer.partitioned = true
	s.after(15, func() {
		if s.isOpen(peer) && peer.proxy.peer == peer {
			s.joinProxy(peer.proxy, false)
		}
	})
}

// dropCollector has a random collector close its connection.
func (s *script) dropCollector() {
	if peer := s.randomPeer(peerCollector, peerCollector); peer != nil {
		s.closeByPeer(peer, "end of stream")
	}
}

// dropDiscovery has discovery close the machine's connection, if there is one.
func (s *script) dropDiscovery() {
	if peer := s.randomPeer(peerDiscovery, peerDiscovery); peer != nil {
		s.closeByPeer(peer, "end of stream")
	}
}

// joinProxyAgain joins a proxy on a new connection, usually while its former one is open.
func (s *script) joinProxyAgain() {
	s.joinProxy(randomElement(s.random, s.proxies), s.random.IntN(3) == 0)
}

// joinLate opens a connection whose join message arrives after that of a later connection of the same proxy.
func (s *script) joinLate() {
	proxy := randomElement(s.random, s.proxies)
	early := s.openConnection(peerUnjoined, proxy.zone)
	s.joinProxy(proxy, false)
	s.after(0.4, func() {
		if s.isOpen(early) {
			early.send("attach proxy=%d zone=%s weight=2 fresh=0\r\n", proxy.number, proxy.zone)
			s.count("proxy joins late")
		}
	})
}

// connectionFlood opens as many connections as the machine's limit allows in total, so that the limit is exceeded.
func (s *script) connectionFlood() {
	for range scriptMaxConnections {
		s.openConnection(peerUnjoined, "")
	}
}

// acknowledgeWrongNonce has a random proxy acknowledge a random nonce.
func (s *script) acknowledgeWrongNonce() {
	if peer := s.randomPeer(peerProxy, peerProxy); peer != nil {
		peer.send("done proxy=%d mark=%d took_ms=3\r\n", peer.proxy.number, s.random.IntN(1<<16))
	}
}

// toggleAcknowledgements makes a proxy cease to acknowledge pushes, or begin again.
func (s *script) toggleAcknowledgements() {
	proxy := randomElement(s.random, s.proxies)
	proxy.withholdsAcks = !proxy.withholdsAcks
}

// changeBackend changes the share of a backend, and its health or start time.
func (s *script) changeBackend() {
	number := s.random.IntN(scriptBackendCount)
	backend := s.discovery.backends[number]
	backend.share = float64(s.random.IntN(4)) / 2
	if backend.health == "active" && s.random.IntN(3) > 0 {
		s.discovery.setBackend(s, number, randomElement(s.random, []string{"leaving", "left"}), backend.startedAt)
		return
	}
	s.discovery.setBackend(s, number, "active", s.now)
}

// moveBackend changes the address of a backend.
func (s *script) moveBackend() {
	number := s.random.IntN(scriptBackendCount)
	backend := s.discovery.backends[number]
	backend.address = "moved-" + backend.address
	s.discovery.setBackend(s, number, backend.health, backend.startedAt)
}

// reload has the machine reload its configuration, possibly with another address of discovery.
func (s *script) reload() {
	s.boot.Discovery = randomElement(s.random, []string{"discovery-1:80", "discovery-2:80"})
	s.machine.Reload(s.boot)
}

// inputOfUnknownConnection adds an input about a connection that the machine does not know.
func (s *script) inputOfUnknownConnection() {
	kind := randomElement(s.random, []statemachine.InputKind{statemachine.ConnData, statemachine.ConnClosed, statemachine.ConnOpened})
	s.addInput(statemachine.Input{Kind: kind, Conn: statemachine.DialedBit | 1<<40, Data: []byte("hb\r\n"), Text: "unknown"})
}
