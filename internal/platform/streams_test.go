package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Two join messages of one proxy come in the wrong order: that of the connection which the proxy gave up is late. The later
// connection stays its stream.
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
		t.Errorf("the older connection is sent %q", got)
	}
	fmt.Fprint(later, "hb\r\n")
	later.readUntil("hb_ok")
	test.betweenSteps(func() {
		if m := test.machine; m.stats.Joins != 1 || m.streams[2] == nil {
			t.Errorf("%d joins, stream %v", m.stats.Joins, m.streams[2])
		}
	})
	// In the right order the newer one takes over.
	third := test.dial()
	fmt.Fprint(third, "attach proxy=2 zone=a weight=5 fresh=0\r\n")
	third.readUntil("whole=1")
}

// A proxy's connection is reset after each byte of its messages: nothing of it stays, and other proxies are served.
func TestStreamResetAtEveryByte(t *testing.T) {
	test := newLoopTest(t, nil)
	test.acceptDiscovery(3)
	other := test.dial()
	fmt.Fprint(other, "attach proxy=1 zone=a weight=5 fresh=1\r\n")
	other.readUntil("whole=1")
	const messages = "attach proxy=2 zone=a weight=5 fresh=1\r\ndone proxy=2 mark=1 took_ms=5\r\n" +
		"client_stats proxy=2 class=read tries=1 failed=0 span_ms=1000\r\n"
	joins := 1
	for n := range len(messages) + 1 {
		conn := test.dial()
		fmt.Fprint(conn, messages[:n])
		if n > strings.Index(messages, "\n") {
			conn.readUntil("whole=1") // it has joined
			joins++
		}
		conn.reset()
	}
	m := test.machine
	test.eventually("only the other proxy is left", func() bool {
		return len(m.sessions) == 2 && m.streams[2] == nil && m.stats.Joins == m.stats.Leaves+1
	})
	fmt.Fprint(other, "hb\r\n")
	other.readUntil("hb_ok")
	test.betweenSteps(func() {
		if s := m.stats; s.InputPanics+s.PlannerRestarts+s.InvalidMessages+s.BrokenConnections > 0 || s.Joins != joins {
			t.Errorf("stats %+v", s)
		}
	})
}

// A proxy's new stream comes before the end of its former one, with an acknowledgement of the former one's nonce. That is
// ignored, and the complete table goes to the new stream only.
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
		t.Errorf("the new stream is sent %q", push)
	}
	if _, err := io.ReadAll(former); err == nil {
		t.Error("the former stream is not reset")
	}
	m := test.machine
	test.eventually("the acknowledgement is counted", func() bool { return m.stats.StaleAcknowledgements == 1 })
	test.betweenSteps(func() {
		if s := m.streams[2]; s == nil || len(s.inFlight) == 0 || m.stats.Joins != 2 || m.stats.Leaves != 1 {
			t.Errorf("the stream is %v, stats %+v", s, m.stats)
		}
	})
}

// A proxy comes back with tables of another coordinator while a method that is bound to its zone has no backend there. What
// the proxy held before stays in force for that method. So it is sent the excluded backends, although the table for the
// other methods does not have them.
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
	test.eventually("both are excluded", func() bool { return test.machine.distributor.ExcludedCount() == 2 })
	proxy := test.dial()
	fmt.Fprint(proxy, "attach proxy=2 zone=b weight=5 fresh=0\r\n")
	got := proxy.readUntil("ticket=")
	if !strings.Contains(got, "classes=read whole=1") || !strings.Contains(got, "out=s-") || !strings.Contains(got, "s-0") || !strings.Contains(got, "s-3") {
		t.Errorf("the proxy is sent %q", got)
	}
}
