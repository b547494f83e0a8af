package platform

import (
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

var unjoinedMessages = []string{
	"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "hb\r\nhb\r\natta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "attach proxy=1 zone=elsewhere weight=1 fresh=0\r\n",
	"attach proxy=1 zone=a weight=1 fresh=2\r\n", "attach proxy=1 zone=a fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n", "assign whole=1\r\n", "\x00\xff",
	"telemetry zone=nowhere\r\n", "telemetry\r\n", "hb\n", "\r\n", "client_stats proxy=1 class=read tries=1 failed=0 span_ms=1000\r\n", "",
	"attach proxy=1 zone=" + strings.Repeat("a", 600) + " weight=1 fresh=1\r\n", "attach " + strings.Repeat("x", 600),
}

// invalidMessages are dropped one by one on a connection that has joined.
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

// malformedMessages end the connection that carries them.
var malformedMessages = []string{
	"hb\n", "\r\n", "nonsense x=1\r\n", "\x00\r\n", "assign whole=1\r\n", "client_stats " + strings.Repeat("x", 20<<10) + "\r\n",
	"hb " + strings.Repeat("y=1 ", 5<<10),
}

var discoveryModes = []string{"unavailable", "unavailable and closed", "hang", "reset", "cut off", "cut chunk", "malformed list", "malformed HTTP", "too long", "old list"}

// scriptFaults are what may happen in a step, all with the same probability; some are listed twice to come more often.
var scriptFaults = []struct {
	name string
	do   func(*script)
}{
	{"proxy's connection ends", (*script).dropProxy},
	{"later connection takes a proxy over", (*script).takeOver},
	{"earlier connection joins late", (*script).joinLate},
	{"unjoined connection", func(s *script) { s.accept(scriptUnjoined, "").send("%s", oneOf(s.dice, unjoinedMessages)) }},
	{"flood of unjoined connections", (*script).connectionFlood},
	{"invalid message", func(s *script) { s.sendTo(scriptProxyRole, scriptCollector, oneOf(s.dice, invalidMessages)) }},
	{"malformed data", func(s *script) { s.sendTo(scriptProxyRole, scriptCollector, oneOf(s.dice, malformedMessages)) }},
	{"heartbeat", func(s *script) { s.sendTo(scriptProxyRole, scriptCollector, "hb\r\n") }},
	{"acknowledgement of a wrong nonce", (*script).acknowledgeWrongNonce},
	{"proxy begins or ceases to acknowledge", (*script).toggleMute},
	{"proxy is cut off", (*script).cutOffProxy},
	{"collector's connection ends", (*script).dropCollector},
	{"collector connects again", func(s *script) { s.connectCollector(scriptZone(s.dice.IntN(2))) }},
	{"discovery begins to fail", func(s *script) { s.discovery.mode = oneOf(s.dice, discoveryModes) }},
	{"discovery recovers", func(s *script) { s.discovery.mode = "" }},
	{"discovery recovers", func(s *script) { s.discovery.mode = "" }},
	{"discovery sends an unexpected response", func(s *script) { s.sendTo(scriptDiscoveryRole, scriptDiscoveryRole, emptyOK) }},
	{"discovery ends its connection", (*script).dropDiscovery},
	{"backend changes", (*script).changeBackend},
	{"backend changes", (*script).changeBackend},
	{"backend has another address", (*script).moveBackend},
	{"settings are read again", (*script).reload},
	{"operator command", func(s *script) { s.input(statemachine.Input{Kind: statemachine.OperatorCommand, Text: "reload"}) }},
	{"input of an unknown connection", (*script).unknownConnection},
}

func (s *script) injectFault() {
	accident := oneOf(s.dice, scriptFaults)
	s.saw("fault: " + accident.name)
	accident.do(s)
}

// some draws a peer with one of two roles, nil if there is none.
func (s *script) some(one, other scriptRole) *scriptPeer {
	found := slices.DeleteFunc(slices.Clone(s.peers), func(p *scriptPeer) bool { return p.role != one && p.role != other })
	if len(found) == 0 {
		return nil
	}
	return oneOf(s.dice, found)
}

func (s *script) sendTo(one, other scriptRole, text string) {
	if peer := s.some(one, other); peer != nil {
		peer.send("%s", text)
	}
}

func (s *script) dropProxy() {
	if peer := s.some(scriptProxyRole, scriptProxyRole); peer != nil {
		s.end(peer, "connection reset by peer")
	}
}

// cutOffProxy leaves a proxy's connection open without any further data on it. Later the proxy joins on another one.
func (s *script) cutOffProxy() {
	peer := s.some(scriptProxyRole, scriptProxyRole)
	if peer == nil {
		return
	}
	peer.cutOff = true
	s.after(15, func() {
		if s.alive(peer) && peer.proxy.peer == peer {
			s.attach(peer.proxy, false)
		}
	})
}

func (s *script) dropCollector() {
	if peer := s.some(scriptCollector, scriptCollector); peer != nil {
		s.end(peer, "end of stream")
	}
}

func (s *script) dropDiscovery() {
	if peer := s.some(scriptDiscoveryRole, scriptDiscoveryRole); peer != nil {
		s.end(peer, "end of stream")
	}
}

// takeOver joins a proxy a second time while its first connection is open.
func (s *script) takeOver() {
	s.attach(oneOf(s.dice, s.proxies), s.dice.IntN(3) == 0)
}

// joinLate opens a connection whose join message comes after that of a later connection.
func (s *script) joinLate() {
	proxy := oneOf(s.dice, s.proxies)
	early := s.accept(scriptUnjoined, proxy.zone)
	s.attach(proxy, false)
	s.after(0.4, func() {
		if s.alive(early) {
			early.send("attach proxy=%d zone=%s weight=2 fresh=0\r\n", proxy.number, proxy.zone)
			s.saw("proxy joins late")
		}
	})
}

// connectionFlood opens more connections than the limit.
func (s *script) connectionFlood() {
	for range scriptMaxConns {
		s.accept(scriptUnjoined, "")
	}
}

func (s *script) acknowledgeWrongNonce() {
	if peer := s.some(scriptProxyRole, scriptProxyRole); peer != nil {
		peer.send("done proxy=%d mark=%d took_ms=3\r\n", peer.proxy.number, s.dice.IntN(1<<16))
	}
}

func (s *script) toggleMute() {
	proxy := oneOf(s.dice, s.proxies)
	proxy.mute = !proxy.mute
}

func (s *script) changeBackend() {
	number := s.dice.IntN(scriptBackendCount)
	backend := s.discovery.backends[number]
	backend.share = float64(s.dice.IntN(4)) / 2
	if backend.health == "active" && s.dice.IntN(3) > 0 {
		s.discovery.set(s, number, oneOf(s.dice, []string{"leaving", "left"}), backend.born)
		return
	}
	s.discovery.set(s, number, "active", s.now)
}

func (s *script) moveBackend() {
	number := s.dice.IntN(scriptBackendCount)
	backend := s.discovery.backends[number]
	backend.address = "moved-" + backend.address
	s.discovery.set(s, number, backend.health, backend.born)
}

// reload applies a configuration that was read again, possibly with another address of discovery.
func (s *script) reload() {
	s.boot.Discovery = oneOf(s.dice, []string{"discovery-1:80", "discovery-2:80"})
	s.machine.Reload(s.boot)
}

func (s *script) unknownConnection() {
	kind := oneOf(s.dice, []statemachine.InputKind{statemachine.ConnData, statemachine.ConnClosed, statemachine.ConnOpened})
	s.input(statemachine.Input{Kind: kind, Conn: statemachine.DialedBit | 1<<40, Data: []byte("hb\r\n"), Text: "unknown"})
}
