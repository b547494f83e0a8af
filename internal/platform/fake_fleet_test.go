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

// fakeFleet is a node of the simulated network that implements all proxies and, at each coordinator, one collector of each of
// the two zones.
type fakeFleet struct {
	t               *testing.T
	addrs           []string // addresses of the coordinators
	proxies         []*fakeProxy
	proxyByConn     map[statemachine.Conn]*fakeProxy
	lastDialed      statemachine.Conn
	collectors      map[string][]statemachine.Conn // connections of the collectors, by address of the coordinator, in the order of the zones
	isKnownBackend  func(backend string) bool      // whether the backend was ever listed
	healthyBackends map[string]bool                // backends whose attempts succeed
	nextReportAt    statemachine.Seconds
	random          *rand.Rand

	unjoinedSince   map[statemachine.Conn]statemachine.Seconds // when the connections were opened that join neither as a proxy nor as a collector
	longestUnjoined statemachine.Seconds                       // the longest time for which such a connection was open
	unjoinedClosed  int                                        // number of such connections that were closed
}

// fakeProxy is a proxy with the state that its coordinators have pushed to it.
type fakeProxy struct {
	number        int
	zone          string
	conn          statemachine.Conn // 0: none
	coordinator   int               // index in fakeFleet.addrs of the one that the proxy uses
	joined        bool
	joinedAt      statemachine.Seconds
	redialAt      statemachine.Seconds // when to dial next, if conn is 0
	unread        string               // the beginning of an incomplete part of a push
	weights       map[string]float64
	excluded      map[string]bool
	admissions    map[string]string // by method: admission level and retry policy as received, separated by a slash
	fresh         bool              // no table was received yet
	pushPartCount int               // number of parts of pushes received
	// awaitsCompleteTable is set until the first complete table of a stream arrives. No deltas may come before it.
	awaitsCompleteTable bool
	withholdsAcks       bool // the proxy acknowledges no pushes
}

// newFakeFleet returns a fleet of the given number of proxies, which connect to the given addresses of coordinators.
// isKnownBackend returns whether a backend was ever listed.
func newFakeFleet(t *testing.T, proxies int, isKnownBackend func(string) bool, addrs ...string) *fakeFleet {
	fleet := &fakeFleet{
		t: t, addrs: addrs, isKnownBackend: isKnownBackend, proxyByConn: map[statemachine.Conn]*fakeProxy{}, collectors: map[string][]statemachine.Conn{},
		unjoinedSince: map[statemachine.Conn]statemachine.Seconds{}, healthyBackends: map[string]bool{},
		random: rand.New(rand.NewPCG(7, 7)), lastDialed: statemachine.DialedBit,
	}
	for i := range proxies {
		fleet.proxies = append(fleet.proxies, &fakeProxy{
			number: i, zone: string(rune('a' + i%2)), coordinator: i % len(addrs), fresh: true,
			weights: map[string]float64{}, excluded: map[string]bool{}, admissions: map[string]string{},
		})
	}
	return fleet
}

// dial opens a connection to addr and returns its number.
func (f *fakeFleet) dial(addr string, out *statemachine.Effects) statemachine.Conn {
	f.lastDialed++
	out.Dial(f.lastDialed, addr)
	return f.lastDialed
}

// usableBackends returns the backends to which the proxy may send requests.
func (p *fakeProxy) usableBackends() []string {
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
			f.runCommand(now, strings.Fields(input.Text), out)
		case statemachine.ConnOpened:
			f.connectionOpened(now, input.Conn, out)
		case statemachine.ConnClosed:
			f.connectionClosed(now, input.Conn)
		case statemachine.ConnData:
			if proxy := f.proxyByConn[input.Conn]; proxy != nil && proxy.conn == input.Conn {
				f.dataReceived(proxy, string(input.Data), out)
			}
		}
	}
	for _, proxy := range f.proxies {
		if proxy.conn == 0 && now >= proxy.redialAt {
			f.connect(proxy, out)
		}
	}
	if now >= f.nextReportAt {
		f.nextReportAt = now + 1
		f.sendReports(out)
	}
	out.WakeBy(f.nextReportAt)
	out.WakeBy(now + 0.05)
}

// connect dials the coordinator that the proxy uses.
func (f *fakeFleet) connect(proxy *fakeProxy, out *statemachine.Effects) {
	proxy.conn = f.dial(f.addrs[proxy.coordinator], out)
	f.proxyByConn[proxy.conn] = proxy
}

// connectionOpened sends the first message on a connection: the join of a proxy or a collector or, on a connection of neither,
// data that is not a valid join.
func (f *fakeFleet) connectionOpened(now statemachine.Seconds, conn statemachine.Conn, out *statemachine.Effects) {
	if proxy := f.proxyByConn[conn]; proxy != nil {
		fresh := 0
		if proxy.fresh {
			fresh = 1
		}
		proxy.joined, proxy.joinedAt, proxy.unread, proxy.awaitsCompleteTable = true, now, "", true
		out.Write(conn, fmt.Appendf(nil, "attach proxy=%d zone=%s weight=5.0 fresh=%d\r\n", proxy.number, proxy.zone, fresh))
	}
	for _, conns := range f.collectors {
		if zone := slices.Index(conns, conn); zone >= 0 {
			out.Write(conn, fmt.Appendf(nil, "telemetry zone=%c\r\n", 'a'+zone))
		}
	}
	if _, ok := f.unjoinedSince[conn]; ok {
		f.unjoinedSince[conn] = now
		messages := []string{
			"GET / HTTP/1.1\r\n\r\n", "hb\r\n", "atta", "attach proxy=9999 zone=a weight=1 fresh=1\r\n", "done proxy=1 mark=1 took_ms=1\r\n",
			"assign whole=1\r\n", "\x00\xff", "telemetry zone=nowhere\r\n",
		}
		out.Write(conn, []byte(messages[conn%8]))
	}
}

// connectionClosed has a proxy connect to the next coordinator, and counts the end of a connection that has not joined.
func (f *fakeFleet) connectionClosed(now statemachine.Seconds, conn statemachine.Conn) {
	if opened, ok := f.unjoinedSince[conn]; ok {
		f.longestUnjoined = max(f.longestUnjoined, now-opened)
		f.unjoinedClosed++
		delete(f.unjoinedSince, conn)
	}
	if proxy := f.proxyByConn[conn]; proxy != nil && proxy.conn == conn {
		proxy.joined, proxy.conn, proxy.redialAt = false, 0, now+0.1
		proxy.coordinator = (proxy.coordinator + 1) % len(f.addrs)
	}
	delete(f.proxyByConn, conn)
	for addr, conns := range f.collectors {
		if slices.Contains(conns, conn) {
			delete(f.collectors, addr)
		}
	}
}

// runCommand executes a command of a test, which consists of a name, the number of a proxy if it needs one, and options.
func (f *fakeFleet) runCommand(now statemachine.Seconds, words []string, out *statemachine.Effects) {
	var proxy *fakeProxy
	if len(words) > 1 {
		number, err := strconv.Atoi(words[1])
		if err != nil {
			f.t.Fatal(err)
		}
		proxy = f.proxies[number]
	}
	switch words[0] {
	case "break": // the stream is reset; with "late" the proxy connects again before the reset
		f.breakStream(now, proxy, words[2] == "late", out)
	case "partition": // the stream stays open but no longer carries data, and the proxy joins at the other coordinator
		delete(f.proxyByConn, proxy.conn)
		proxy.joined, proxy.conn, proxy.redialAt, proxy.coordinator = false, 0, now, 1-proxy.coordinator
	case "invalid": // the proxy sends invalid messages
		if proxy.joined {
			out.Write(proxy.conn, []byte("client_stats proxy=-3 class=read tries=1 failed=0 span_ms=1\r\n"+
				"done proxy=1 mark=zz took_ms=1\r\ndone proxy=400 mark=3 took_ms=1\r\n"))
		}
	case "unjoined": // a connection is opened on which no peer joins
		conn := f.dial(f.addrs[0], out)
		f.unjoinedSince[conn] = now
	default:
		f.t.Fatalf("unknown command %q", words)
	}
}

// breakStream resets the stream of a proxy. If late is set, the proxy connects again first.
func (f *fakeFleet) breakStream(now statemachine.Seconds, proxy *fakeProxy, late bool, out *statemachine.Effects) {
	if !proxy.joined || now-proxy.joinedAt < 0.001 {
		return
	}
	former := proxy.conn
	proxy.joined, proxy.conn, proxy.redialAt = false, 0, now
	delete(f.proxyByConn, former)
	if late {
		f.connect(proxy, out)
	}
	out.Abort(former)
}

// dataReceived applies the complete parts of pushes that a proxy has received.
func (f *fakeFleet) dataReceived(proxy *fakeProxy, data string, out *statemachine.Effects) {
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

// applyPart applies one part of a push and acknowledges its nonce. It fails the test if the part is invalid.
func (f *fakeFleet) applyPart(proxy *fakeProxy, part string, out *statemachine.Effects) {
	words := strings.Fields(part)
	if words[0] != "assign" {
		f.t.Fatalf("proxy %d received %q, which is not a push", proxy.number, part)
	}
	proxy.pushPartCount++
	methods, level := []string{"read", "submit"}, ""
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "whole":
			clear(proxy.weights)
			clear(proxy.admissions)
			proxy.fresh, proxy.awaitsCompleteTable = false, false
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
				proxy.admissions[method] = level + "/" + value
			}
		case "more":
		case "ticket":
			if !proxy.withholdsAcks {
				out.Write(proxy.conn, fmt.Appendf(nil, "done proxy=%d mark=%s took_ms=40.5\r\n", proxy.number, value))
			}
		default:
			f.t.Fatalf("proxy %d received the invalid part %q", proxy.number, part)
		}
	}
}

// applyEntries applies the table entries of a part. Weight 0 removes a backend.
func (f *fakeFleet) applyEntries(proxy *fakeProxy, part, entries string) {
	if proxy.awaitsCompleteTable {
		f.t.Errorf("proxy %d received a delta before a complete table: %q", proxy.number, part)
	}
	for _, entry := range strings.Split(entries, ",") {
		backend, text, _ := strings.Cut(entry, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || !f.isKnownBackend(backend) {
			f.t.Fatalf("proxy %d received the invalid part %q", proxy.number, part)
		}
		if proxy.weights[backend] = weight; weight == 0 {
			delete(proxy.weights, backend)
		}
	}
}

// applyExclusions excludes or restores the backends that a part lists.
func (f *fakeFleet) applyExclusions(proxy *fakeProxy, part, backends string, excluded bool) {
	for _, backend := range strings.Split(backends, ",") {
		if !f.isKnownBackend(backend) {
			f.t.Fatalf("proxy %d received the invalid part %q", proxy.number, part)
		}
		if proxy.excluded[backend] = true; !excluded {
			delete(proxy.excluded, backend)
		}
	}
}

// sendReports sends the usage reports of all proxies, and the collectors' reports of the attempts that these proxies make: five
// at each usable backend.
func (f *fakeFleet) sendReports(out *statemachine.Effects) {
	attempts := map[string]map[string]int{} // by coordinator and zone, then by backend
	for _, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		out.Write(proxy.conn, fmt.Appendf(nil, "client_stats proxy=%d class=read tries=5 failed=0 span_ms=1000\r\n", proxy.number))
		for _, backend := range proxy.usableBackends() {
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
		for zoneIndex, conn := range f.collectors[addr] {
			zone := string(rune('a' + zoneIndex))
			out.Write(conn, f.attemptReports(zone, attempts[fmt.Sprint(coordinator, zone)]))
		}
	}
}

// attemptReports returns the messages of a zone's collector. The first two of them are invalid.
func (f *fakeFleet) attemptReports(zone string, attempts map[string]int) []byte {
	reports := []byte("upstream_stats zone=a server=never-listed tries=3 failed=0 mean_ms=1 span_ms=1000\r\nupstream_stats zone=a\r\n")
	backends := make([]string, 0, len(attempts))
	for backend := range attempts {
		backends = append(backends, backend)
	}
	slices.Sort(backends)
	for _, backend := range backends {
		failed := 0
		if !f.healthyBackends[backend] {
			failed = attempts[backend]
		}
		reports = fmt.Appendf(reports, "upstream_stats zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=1000\r\n",
			zone, backend, attempts[backend], failed, 100.0)
	}
	return reports
}
