package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// A proxy abandons a connection and joins on another one, but the join message on the abandoned connection arrives last. It must
// be rejected, and the newer connection stays the proxy's stream.
func TestLateJoinOnOlderConnectionIsRejected(t *testing.T) {
	test := newLoopTest(t, nil)
	test.acceptDiscovery(3)
	older := test.dial()
	fmt.Fprint(older, "attach proxy=2 zone=a wei")
	later := test.dial()
	fmt.Fprint(later, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
	later.readUntil("whole=1")
	fmt.Fprint(older, "ght=5 fresh=1\r\n")
	if got, _ := io.ReadAll(older); !strings.HasPrefix(string(got), "reject") {
		t.Errorf("the older connection received %q, want a rejection", got)
	}
	fmt.Fprint(later, "hb\r\n")
	later.readUntil("hb_ok")
	test.betweenSteps(func() {
		if m := test.machine; m.stats.Joins != 1 || m.streams[2] == nil {
			t.Errorf("%d joins, want 1; the proxy's stream is %v", m.stats.Joins, m.streams[2])
		}
	})
	// The same after the newer connection has ended.
	oldest := test.dial()
	fmt.Fprint(oldest, "attach proxy=3 zone=a wei")
	newest := test.dial()
	fmt.Fprint(newest, "attach proxy=3 zone=a weight=5 fresh=1\r\n")
	newest.readUntil("whole=1")
	newest.reset()
	test.eventually("the newer stream has ended", func() bool { return test.machine.streams[3] == nil })
	fmt.Fprint(oldest, "ght=5 fresh=1\r\n")
	if got, _ := io.ReadAll(oldest); !strings.HasPrefix(string(got), "reject") {
		t.Errorf("after the newer connection has ended the older one received %q, want a rejection", got)
	}
	// A join message on a newer connection replaces the stream.
	third := test.dial()
	fmt.Fprint(third, "attach proxy=2 zone=a weight=5 fresh=0\r\n")
	third.readUntil("whole=1")
}

// A proxy's connection is reset after each possible number of bytes of its messages. No state of the proxy must stay, and
// another proxy's stream must continue to work.
func TestStreamResetAtEveryByte(t *testing.T) {
	test := newLoopTest(t, nil)
	test.acceptDiscovery(3)
	other := test.dial()
	fmt.Fprint(other, "attach proxy=1 zone=a weight=5 fresh=1\r\n")
	other.readUntil("whole=1")
	const messages = "attach proxy=2 zone=a weight=5 fresh=1\r\ndone proxy=2 mark=1 took_ms=5\r\n" +
		"client_stats proxy=2 class=read tries=1 failed=0 span_ms=1000\r\n"
	joins := 1
	for sent := range len(messages) + 1 {
		conn := test.dial()
		fmt.Fprint(conn, messages[:sent])
		if sent > strings.Index(messages, "\n") {
			conn.readUntil("whole=1") // the proxy has joined
			joins++
		}
		conn.reset()
	}
	m := test.machine
	test.eventually("only the other proxy is joined", func() bool {
		return len(m.sessions) == 2 && m.streams[2] == nil && m.stats.Joins == m.stats.Leaves+1
	})
	fmt.Fprint(other, "hb\r\n")
	other.readUntil("hb_ok")
	test.betweenSteps(func() {
		if s := m.stats; s.InputPanics+s.PlannerRestarts+s.InvalidMessages+s.BrokenConnections > 0 || s.Joins != joins {
			t.Errorf("stats %+v, want %d joins and no errors", s, joins)
		}
	})
}

// A proxy joins on a new connection before its former one has ended, and acknowledges there a nonce that it got on the former
// one. The acknowledgement must be ignored, and the complete table must go to the new stream.
func TestAcknowledgementOfFormerStreamIsStale(t *testing.T) {
	test := newLoopTest(t, nil)
	test.acceptDiscovery(3)
	former := test.dial()
	fmt.Fprint(former, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
	push := former.readUntil("ticket=")
	_, nonce, _ := strings.Cut(push, "ticket=")
	current := test.dial()
	fmt.Fprintf(current, "attach proxy=2 zone=a weight=5 fresh=0\r\ndone proxy=2 mark=%s took_ms=5\r\n", strings.Fields(nonce)[0])
	push = current.readUntil("whole=1")
	if !strings.Contains(push, "s-0:") || !strings.Contains(push, "level=") || !strings.Contains(push, "retry=") {
		t.Errorf("the new stream received %q, want a complete table", push)
	}
	if _, err := io.ReadAll(former); err == nil {
		t.Error("the former stream is not reset")
	}
	m := test.machine
	test.eventually("the acknowledgement is counted", func() bool { return m.stats.StaleAcknowledgements == 1 })
	test.betweenSteps(func() {
		if s := m.streams[2]; s == nil || len(s.inFlight) == 0 || m.stats.Joins != 2 || m.stats.Leaves != 1 {
			t.Errorf("the proxy's stream is %v, stats %+v", s, m.stats)
		}
	})
}

// A proxy joins that holds tables of another coordinator, while a method that may use only backends of the proxy's own zone has
// none there. No table is sent for that method, so that the former one stays in force for it. The proxy must therefore also be
// sent the exclusions of backends that are not in the table for the other methods.
func TestExclusionsForMethodWithoutTable(t *testing.T) {
	test := newLoopTest(t, func(values map[string]any) { values["method.1.own_zone"] = true })
	discovery := test.discovery.accept()
	discovery.readRequest()
	host := func(name, zone, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":%q,"class":"m","block":1,"health":%q,"share":1,"born_ms":0}`, name, zone, health)
	}
	discovery.respond(`{"seq":41,"whole":true,"hosts":[` + host("s-0", "b", "active") + "," + host("s-1", "a", "active") + "," +
		host("s-2", "a", "active") + "," + host("s-3", "b", "active") + `]}`)
	discovery.readRequest()
	discovery.respond(`{"seq":42,"whole":false,"hosts":[` + host("s-0", "b", "leaving") + `]}`)
	discovery.readRequest()
	discovery.respond(`{"seq":43,"whole":false,"hosts":[` + host("s-3", "b", "left") + `]}`)
	discovery.readRequest()
	test.eventually("both backends are excluded", func() bool { return test.machine.distributor.ExcludedCount() == 2 })
	proxy := test.dial()
	fmt.Fprint(proxy, "attach proxy=2 zone=b weight=5 fresh=0\r\n")
	got := proxy.readUntil("ticket=")
	if !strings.Contains(got, "classes=read whole=1") || !strings.Contains(got, "out=s-") || !strings.Contains(got, "s-0") || !strings.Contains(got, "s-3") {
		t.Errorf("the proxy received %q", got)
	}
}

// While a proxy's zone has no backend, the proxy has no table for a method that may use only backends of its zone. Once the zone
// has backends again, the proxy is sent that table whole, in the push that also changes its other table. Guards against the
// failure of review case 1: the proxy never got that table and refused all requests of the method.
func TestLateTableForMethodOfOwnZone(t *testing.T) {
	test := newLoopTest(t, func(values map[string]any) { values["method.1.own_zone"] = true })
	discovery := test.discovery.accept()
	host := func(name, zone string) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":%q,"class":"m","block":1,"health":"active","share":1,"born_ms":0}`, name, zone)
	}
	discovery.readRequest()
	discovery.respond(`{"seq":41,"whole":true,"hosts":[` + host("s-0", "a") + "," + host("s-1", "a") + `]}`)
	discovery.readRequest()
	proxy := test.dial()
	fmt.Fprint(proxy, "attach proxy=2 zone=b weight=5 fresh=1\r\n")
	first := proxy.readPush()
	if !strings.Contains(first, "classes=read whole=1") || strings.Contains(first, "submit") {
		t.Fatalf("the first push is %q, want a table for the method read only", first)
	}
	proxy.acknowledge(2, first)
	discovery.respond(`{"seq":42,"whole":false,"hosts":[` + host("s-2", "b") + "," + host("s-3", "b") + `]}`)
	if second := proxy.readPush(); !strings.Contains(second, "classes=submit whole=1 lines=s-") {
		t.Errorf("the push after the zone's return is %q, want a whole table for the method submit", second)
	}
}

// A proxy without tables may still exclude backends, as another coordinator or an earlier stream told it to. The first table must
// restore them. Guards against the failure of review case 7: a proxy that was told of exclusions before its first table joined again
// with fresh=1, got a table of just the backends that it excluded, and rejected all requests from then on.
func TestProxyWithoutTablesIsSentRestores(t *testing.T) {
	for _, sameCoordinator := range []bool{true, false} {
		t.Run(fmt.Sprintf("same coordinator %v", sameCoordinator), func(t *testing.T) {
			test := newLoopTest(t, nil)
			discovery := test.acceptDiscovery(3)
			if sameCoordinator {
				excludeAllAtFreshProxy(test, discovery)
				discovery.respond(endpointListJSON(43, false, 3, "127.0.0.1:1", 0))
				test.eventually("the backends are back", func() bool { return test.machine.distributor.ExcludedCount() == 0 })
			}
			proxy := test.dial()
			fmt.Fprint(proxy, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
			push := proxy.readUntil("whole=1")
			_, restored, _ := strings.Cut(push, " back=")
			for _, backend := range []string{"s-0", "s-1", "s-2"} {
				if !strings.Contains(restored, backend) {
					t.Errorf("the first table is %q, and doesn't restore %s", push, backend)
				}
			}
		})
	}
}

// excludeAllAtFreshProxy has all backends leave the endpoint list, so that a proxy without tables joins and is told to exclude three backends. Then
// its stream ends.
func excludeAllAtFreshProxy(test *loopTest, discovery *rawConn) {
	test.t.Helper()
	discovery.readRequest()
	discovery.respond(strings.ReplaceAll(endpointListJSON(42, false, 3, "127.0.0.1:1", 0), "active", "left"))
	discovery.readRequest()
	test.eventually("all backends are excluded", func() bool { return test.machine.distributor.ExcludedCount() == 3 })
	proxy := test.dial()
	fmt.Fprint(proxy, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
	proxy.readUntil("out=")
	proxy.reset()
	test.eventually("the stream has ended", func() bool { return test.machine.streams[2] == nil })
}
