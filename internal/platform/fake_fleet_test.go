package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// fakeFleet is all proxies, and two collectors at each coordinator, as the platform's pages describe them.
type fakeFleet struct {
	t          *testing.T
	addrs      []string // of the coordinators
	proxies    []*fakeProxy
	byConn     map[statemachine.Conn]*fakeProxy
	lastConn   statemachine.Conn
	collectors map[string][]statemachine.Conn // connections by the coordinator's address, in the order of zones
	known      func(backend string) bool
	healthy    map[string]bool // backends at which attempts succeed
	nextReport statemachine.Seconds
	dice       *rand.Rand

	unjoined        map[statemachine.Conn]statemachine.Seconds // connections of neither proxies nor collectors, and when they opened
	longestUnjoined statemachine.Seconds                       // the longest time that one stayed open
	refused         int
}

// fakeProxy is a proxy, and what it holds.
type fakeProxy struct {
	number      int
	zone        string
	conn        statemachine.Conn
	coordinator int
	joined      bool
	since       statemachine.Seconds
	redial      statemachine.Seconds
	unread      string
	weights     map[string]float64
	excluded    map[string]bool
	levels      map[string]string // by method: admission level and retry policy, as sent
	fresh       bool
	pushes      int
	// awaitsTable is true until the first complete table of a stream, before which no entries may come.
	awaitsTable bool
	mute        bool // it acknowledges nothing
}

func newFakeFleet(t *testing.T, proxies int, known func(string) bool, addrs ...string) *fakeFleet {
	fleet := &fakeFleet{
		t: t, addrs: addrs, known: known, byConn: map[statemachine.Conn]*fakeProxy{}, collectors: map[string][]statemachine.Conn{},
		unjoined: map[statemachine.Conn]statemachine.Seconds{}, healthy: map[string]bool{},
		dice: rand.New(rand.NewPCG(7, 7)), lastConn: statemachine.DialedBit,
	}
	for i := range proxies {
		fleet.proxies = append(fleet.proxies, &fakeProxy{
			number: i, zone: string(rune('a' + i%2)), coordinator: i % len(addrs), fresh: true,
			weights: map[string]float64{}, excluded: map[string]bool{}, levels: map[string]string{},
		})
	}
	return fleet
}

func (f *fakeFleet) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	f.lastConn++
	out.Dial(f.lastConn, addr)
	return f.lastConn
}

// usable returns the backends to which the proxy may send.
func (p *fakeProxy) usable() []string {
	var usable []string
	for backend := range p.weights {
		if !p.excluded[backend] {
			usable = append(usable, backend)
		}
	}
	return usable
}

// Step implements statemachine.Machine.
func (f *fakeFleet) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch input.Kind {
		case statemachine.OperatorCommand:
			f.command(now, strings.Fields(input.Text), out)
		case statemachine.ConnOpened:
			f.opened(now, input.Conn, out)
		case statemachine.ConnClosed:
			f.closed(now, input.Conn)
		case statemachine.ConnData:
			if proxy := f.byConn[input.Conn]; proxy != nil && proxy.conn == input.Conn {
				f.received(proxy, string(input.Data), out)
			}
		}
	}
	for _, proxy := range f.proxies {
		if proxy.conn == 0 && now >= proxy.redial {
			f.connect(proxy, out)
		}
	}
	if now >= f.nextReport {
		f.nextReport = now + 1
		f.report(out)
	}
	out.WakeBy(f.nextReport)
	out.WakeBy(now + 0.05)
}

func (f *fakeFleet) connect(proxy *fakeProxy, out *statemachine.Effects) {
	proxy.conn = f.dial(f.addrs[proxy.coordinator], out)
	f.byConn[proxy.conn] = proxy
}

func (f *fakeFleet) opened(now statemachine.Seconds, conn statemachine.Conn, out *statemachine.Effects) {
	if proxy := f.byConn[conn]; proxy != nil {
		fresh := 0
		if proxy.fresh {
			fresh = 1
		}
		proxy.joined, proxy.since, proxy.unread, proxy.awaitsTable = true, now, "", true
		out.Write(conn, fmt.Appendf(nil, "attach proxy=%d zone=%s weight=5.0 fresh=%d\r\n", proxy.number, proxy.zone, fresh))
	}
	for _, conns := range f.collectors {
		if zone := slices.Index(conns, conn); zone >= 0 {
			out.Write(conn, fmt.Appendf(nil, "telemetry zone=%c\r\n", 'a'+zone))
		}
	}
	if _, ok := f.unjoined[conn]; ok {
		f.unjoined[conn] = now
		messages := []string{
			"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "atta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n",
			"assign whole=1\r\n", "\x00\xff", "telemetry zone=nowhere\r\n",
		}
		out.Write(conn, []byte(messages[conn%8]))
	}
}

func (f *fakeFleet) closed(now statemachine.Seconds, conn statemachine.Conn) {
	if opened, ok := f.unjoined[conn]; ok {
		f.longestUnjoined = max(f.longestUnjoined, now-opened)
		f.refused++
		delete(f.unjoined, conn)
	}
	if proxy := f.byConn[conn]; proxy != nil && proxy.conn == conn {
		proxy.joined, proxy.conn, proxy.redial = false, 0, now+0.1
		proxy.coordinator = (proxy.coordinator + 1) % len(f.addrs)
	}
	delete(f.byConn, conn)
	for addr, conns := range f.collectors {
		if slices.Contains(conns, conn) {
			delete(f.collectors, addr)
		}
	}
}

// command executes a command of a test: its name, the number of a proxy, and options.
func (f *fakeFleet) command(now statemachine.Seconds, words []string, out *statemachine.Effects) {
	var proxy *fakeProxy
	if len(words) > 1 {
		number, err := strconv.Atoi(words[1])
		if err != nil {
			f.t.Fatal(err)
		}
		proxy = f.proxies[number]
	}
	switch words[0] {
	case "break": // the stream ends; with "late" the proxy connects again before that
		f.breakStream(now, proxy, words[2] == "late", out)
	case "partition": // the stream stays open without carrying anything, and the proxy joins at the other coordinator
		delete(f.byConn, proxy.conn)
		proxy.joined, proxy.conn, proxy.redial, proxy.coordinator = false, 0, now, 1-proxy.coordinator
	case "invalid":
		if proxy.joined {
			out.Write(proxy.conn, []byte("client_stats proxy=-3 class=read tries=1 failed=0 span_ms=1\r\n"+
				"done proxy=1 mark=zz took_ms=1\r\ndone proxy=400 mark=3 took_ms=1\r\n"))
		}
	case "unjoined":
		conn := f.dial(f.addrs[0], out)
		f.unjoined[conn] = now
	default:
		f.t.Fatalf("unknown command %q", words)
	}
}

func (f *fakeFleet) breakStream(now statemachine.Seconds, proxy *fakeProxy, late bool, out *statemachine.Effects) {
	if !proxy.joined || now-proxy.since < 0.001 {
		return
	}
	former := proxy.conn
	proxy.joined, proxy.conn, proxy.redial = false, 0, now
	delete(f.byConn, former)
	if late {
		f.connect(proxy, out)
	}
	out.Abort(former)
}

func (f *fakeFleet) received(proxy *fakeProxy, data string, out *statemachine.Effects) {
	proxy.unread += data
	for {
		part, rest, ok := strings.Cut(proxy.unread, "\r\n")
		if !ok {
			return
		}
		proxy.unread = rest
		f.applyPart(proxy, part, out)
	}
}

// applyPart applies a part of a push and fails the test if it is invalid.
func (f *fakeFleet) applyPart(proxy *fakeProxy, part string, out *statemachine.Effects) {
	words := strings.Fields(part)
	if words[0] != "assign" {
		f.t.Fatalf("proxy %d is sent %q", proxy.number, part)
	}
	proxy.pushes++
	methods, level := []string{"read", "submit"}, ""
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "whole":
			clear(proxy.weights)
			clear(proxy.levels)
			proxy.fresh, proxy.awaitsTable = false, false
		case "lines":
			f.applyEntries(proxy, part, value)
		case "out", "back":
			f.applyExclusions(proxy, part, value, name == "out")
		case "classes":
			methods = strings.Split(value, "+")
		case "level":
			level = value
		case "retry":
			for _, method := range methods {
				proxy.levels[method] = level + "/" + value
			}
		case "more":
		case "ticket":
			if !proxy.mute {
				out.Write(proxy.conn, fmt.Appendf(nil, "done proxy=%d mark=%s took_ms=40.5\r\n", proxy.number, value))
			}
		default:
			f.t.Fatalf("proxy %d can't use %q", proxy.number, part)
		}
	}
}

func (f *fakeFleet) applyEntries(proxy *fakeProxy, part, entries string) {
	if proxy.awaitsTable {
		f.t.Errorf("proxy %d gets a delta before a complete table: %q", proxy.number, part)
	}
	for _, entry := range strings.Split(entries, ",") {
		backend, text, _ := strings.Cut(entry, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || !f.known(backend) {
			f.t.Fatalf("proxy %d can't use %q", proxy.number, part)
		}
		if proxy.weights[backend] = weight; weight == 0 {
			delete(proxy.weights, backend)
		}
	}
}

func (f *fakeFleet) applyExclusions(proxy *fakeProxy, part, backends string, excluded bool) {
	for _, backend := range strings.Split(backends, ",") {
		if !f.known(backend) {
			f.t.Fatalf("proxy %d can't use %q", proxy.number, part)
		}
		if proxy.excluded[backend] = true; !excluded {
			delete(proxy.excluded, backend)
		}
	}
}

// report sends the usage of all proxies, and the attempts that result from it from the collectors.
func (f *fakeFleet) report(out *statemachine.Effects) {
	attempts := map[string]map[string]int{} // by coordinator and zone, and by backend
	for _, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		out.Write(proxy.conn, fmt.Appendf(nil, "client_stats proxy=%d class=read tries=5 failed=0 span_ms=1000\r\n", proxy.number))
		for _, backend := range proxy.usable() {
			key := fmt.Sprint(proxy.coordinator, proxy.zone)
			if attempts[key] == nil {
				attempts[key] = map[string]int{}
			}
			attempts[key][backend] += 5
		}
	}
	for coordinator, addr := range f.addrs {
		if f.collectors[addr] == nil {
			f.collectors[addr] = []statemachine.Conn{f.dial(addr, out), f.dial(addr, out)}
			continue
		}
		for number, conn := range f.collectors[addr] {
			zone := string(rune('a' + number))
			out.Write(conn, f.attemptReports(zone, attempts[fmt.Sprint(coordinator, zone)]))
		}
	}
}

// attemptReports returns the messages of a collector, the first two of which are invalid.
func (f *fakeFleet) attemptReports(zone string, attempts map[string]int) []byte {
	reports := []byte("upstream_stats zone=a server=never-listed tries=3 failed=0 mean_ms=1 span_ms=1000\r\nupstream_stats zone=a\r\n")
	backends := make([]string, 0, len(attempts))
	for backend := range attempts {
		backends = append(backends, backend)
	}
	slices.Sort(backends)
	for _, backend := range backends {
		failed := 0
		if !f.healthy[backend] {
			failed = attempts[backend]
		}
		reports = fmt.Appendf(reports, "upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=1000\r\n",
			zone, backend, attempts[backend], failed, 100.0)
	}
	return reports
}
