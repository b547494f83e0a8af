package platform

import (
	"slices"
	"strings"

	"gingerfork/internal/statemachine"
)

var strangerMessages = []string{
	"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "hb\r\nhb\r\natta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "attach proxy=1 zone=elsewhere weight=1 fresh=0\r\n",
	"attach proxy=1 zone=a weight=1 fresh=2\r\n", "attach proxy=1 zone=a fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n", "assign whole=1\r\n", "\x00\xff",
	"telemetry zone=nowhere\r\n", "telemetry\r\n", "hb\n", "\r\n", "client_stats proxy=1 class=read tries=1 failed=0 span_ms=1000\r\n", "",
	"attach proxy=1 zone=" + strings.Repeat("a", 600) + " weight=1 fresh=1\r\n", "attach " + strings.Repeat("x", 600),
}

// spoiltLines are dropped alone on a connection that has joined.
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

// brokenLines end the connection that carries them.
var malformedMessages = []string{
	"hb\n", "\r\n", "nonsense x=1\r\n", "\x00\r\n", "assign whole=1\r\n", "client_stats " + strings.Repeat("x", 20<<10) + "\r\n",
	"hb " + strings.Repeat("y=1 ", 5<<10),
}

var discoveryModes = []string{"unavailable", "unavailable and closed", "hang", "reset", "cut off", "cut chunk", "malformed list", "malformed HTTP", "too long", "old list"}

// accidents are what may happen in a step, each as likely as any other; some stand twice to come more often.
var scriptFaults = []struct {
	name string
	do   func(*script)
}{
	{"proxy's connection ends", (*script).dropProxy},
	{"later connection takes a proxy over", (*script).takeOver},
	{"earlier connection joins late", (*script).joinLate},
	{"stranger", func(s *script) { s.accept(scriptStranger, "").send("%s", oneOf(s.dice, strangerMessages)) }},
	{"storm of strangers", (*script).storm},
	{"spoilt line", func(s *script) { s.sayTo(scriptProxyRole, scriptCollector, oneOf(s.dice, invalidMessages)) }},
	{"broken line", func(s *script) { s.sayTo(scriptProxyRole, scriptCollector, oneOf(s.dice, malformedMessages)) }},
	{"heartbeat", func(s *script) { s.sayTo(scriptProxyRole, scriptCollector, "hb\r\n") }},
	{"stale or unknown mark", (*script).acknowledgeWrongNonce},
	{"proxy begins or ceases to be mute", (*script).toggleMute},
	{"proxy is cut off", (*script).cutOffProxy},
	{"collector's connection ends", (*script).dropCollector},
	{"collector connects again", func(s *script) { s.connectCollector(scriptZone(s.dice.IntN(2))) }},
	{"discovery begins to fail", func(s *script) { s.discovery.mode = oneOf(s.dice, discoveryModes) }},
	{"discovery recovers", func(s *script) { s.discovery.mode = "" }},
	{"discovery recovers", func(s *script) { s.discovery.mode = "" }},
	{"discovery says what nobody asked", func(s *script) { s.sayTo(scriptDiscoveryRole, scriptDiscoveryRole, emptyOK) }},
	{"discovery ends its connection", (*script).dropDiscovery},
	{"server changes", (*script).changeServer},
	{"server changes", (*script).changeServer},
	{"server has another address", (*script).moveServer},
	{"settings are read again", (*script).reload},
	{"operator's word", func(s *script) { s.input(statemachine.Input{Kind: statemachine.OperatorCommand, Text: "reload"}) }},
	{"input of an unknown connection", (*script).unknownConnection},
}

func (s *script) injectFault() {
	accident := oneOf(s.dice, scriptFaults)
	s.saw("accident: " + accident.name)
	accident.do(s)
}

// some draws a peer of one of two roles, nil if there is none.
func (s *script) some(one, other scriptRole) *scriptPeer {
	found := slices.DeleteFunc(slices.Clone(s.peers), func(p *scriptPeer) bool { return p.role != one && p.role != other })
	if len(found) == 0 {
		return nil
	}
	return oneOf(s.dice, found)
}

func (s *script) sayTo(one, other scriptRole, text string) {
	if peer := s.some(one, other); peer != nil {
		peer.send("%s", text)
	}
}

func (s *script) dropProxy() {
	if peer := s.some(scriptProxyRole, scriptProxyRole); peer != nil {
		s.end(peer, "connection reset by peer")
	}
}

// cutOffProxy leaves a proxy's stream standing without anything more coming on it. Later the proxy joins on another one.
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

// takeOver joins a proxy a second time while its first connection stands.
func (s *script) takeOver() {
	s.attach(oneOf(s.dice, s.proxies), s.dice.IntN(3) == 0)
}

// joinLate opens a connection whose joining comes after that of a later connection.
func (s *script) joinLate() {
	proxy := oneOf(s.dice, s.proxies)
	early := s.accept(scriptStranger, proxy.zone)
	s.attach(proxy, false)
	s.after(0.4, func() {
		if s.alive(early) {
			early.send("attach proxy=%d zone=%s weight=2 fresh=0\r\n", proxy.number, proxy.zone)
			s.saw("proxy joins late")
		}
	})
}

// storm opens more connections than may stand.
func (s *script) storm() {
	for range scriptMaxConns {
		s.accept(scriptStranger, "")
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

func (s *script) changeServer() {
	number := s.dice.IntN(scriptServers)
	server := s.discovery.servers[number]
	server.share = float64(s.dice.IntN(4)) / 2
	if server.health == "active" && s.dice.IntN(3) > 0 {
		s.discovery.set(s, number, oneOf(s.dice, []string{"leaving", "left"}), server.born)
		return
	}
	s.discovery.set(s, number, "active", s.now)
}

func (s *script) moveServer() {
	number := s.dice.IntN(scriptServers)
	server := s.discovery.servers[number]
	server.address = "moved-" + server.address
	s.discovery.set(s, number, server.health, server.born)
}

// reload puts settings in force that were read again: discovery may be elsewhere.
func (s *script) reload() {
	s.boot.Discovery = oneOf(s.dice, []string{"discovery-1:80", "discovery-2:80"})
	s.machine.Reload(s.boot)
}

func (s *script) unknownConnection() {
	kind := oneOf(s.dice, []statemachine.InputKind{statemachine.ConnData, statemachine.ConnClosed, statemachine.ConnOpened})
	s.input(statemachine.Input{Kind: kind, Conn: statemachine.Dialed | 1<<40, Data: []byte("hb\r\n"), Text: "unknown"})
}
