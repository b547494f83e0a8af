package platform

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// Discovery closes an idle connection at the moment at which the coordinator writes the next request to it: either right after
// the last response, or with a reset once the request has arrived. The coordinator must repeat the request at once on a new
// connection, so that the watch continues and no failure is reported.
func TestDiscoveryClosesIdleConnection(t *testing.T) {
	for name, closeConn := range map[string]func(conn *rawConn){
		"closed after the response": func(conn *rawConn) {
			conn.respond(endpointListJSON(42, false, 1, "127.0.0.1:1", 0))
			conn.Close()
		},
		"reset after the request": func(conn *rawConn) {
			conn.respond(endpointListJSON(42, false, 1, "127.0.0.1:1", 0))
			conn.readRequest()
			conn.reset()
		},
	} {
		t.Run(name, func(t *testing.T) {
			test := newLoopTest(t, nil)
			conn := test.acceptDiscovery(3)
			conn.readRequest() // a long poll
			closeConn(conn)
			conn = test.discovery.accept()
			if path := conn.readRequest(); path != "/api/targets?since=42&timeout_ms=5000" {
				t.Errorf("the request on the second connection is %s, want a long poll since version 42", path)
			}
			test.betweenSteps(func() {
				if n := test.machine.problemCounts[problemDiscovery]; n > 0 {
					t.Errorf("%d failures of discovery were reported, want 0", n)
				}
			})
			// The second close is a failure: a server that closes connections because of overload must not be sent a request at once.
			conn.reset()
			conn = test.discovery.accept()
			if path := conn.readRequest(); path != "/api/targets?since=42&timeout_ms=0" {
				t.Errorf("the request after the second close is %s, want one since version 42 with timeout 0", path)
			}
		})
	}
}

// A new address of discovery is used at once, even during the backoff after failures at the former address, and so is the
// former address after a change back. Data that still arrives from the previous address is ignored.
func TestAddressChangeDuringBackoff(t *testing.T) {
	stepped := newSteppedMachine(t, nil)
	stepped.connect(100)
	stepped.respond(100.01, 200, endpointListJSON(41, true, 3, "x:1", 0))
	now := 100.02
	for range 4 { // each failure makes the backoff longer
		stepped.respond(now, 503, "")
		for dialed := stepped.machine.lastDialed; !stepped.machine.discovery.active; now += 0.05 {
			stepped.step(now)
			if stepped.machine.lastDialed != dialed {
				stepped.connect(now)
			}
		}
	}
	stepped.respond(now, 503, "")
	if stepped.machine.discovery.active {
		t.Fatal("discovery gets another request right after a failure; want a backoff")
	}
	boot := stepped.machine.boot
	for i, addr := range []string{"there:1", "here:1", "there:1"} {
		boot.Discovery = addr
		stepped.machine.Reload(boot)
		former := stepped.machine.lastDialed
		dials, actions := stepped.step(now + 0.001*float64(i))
		if len(dials) != 1 || dials[0] != addr {
			t.Errorf("after the change to address %s the actions are %q", addr, actions)
		}
		stepped.step(now, statemachine.Input{
			Kind: statemachine.ConnData, Conn: former, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"),
		})
	}
	if actions := stepped.connect(now + 0.01); !strings.Contains(actions, "GET /api/targets?since=41&timeout_ms=0") {
		t.Errorf("once connected to the new address the actions are %q", actions)
	}
}

// Whatever the maximum poll interval is, the platform assumes that the coordinator knows of a change 2 s after the end of a
// long poll. So a request without a response must time out earlier, with time left for a retry.
func TestDiscoveryResponseTimeout(t *testing.T) {
	for _, interval := range []float64{0, 1, 10, 60, 600} {
		stepped := newSteppedMachine(t, func(values map[string]any) {
			if values["ask_within"] = interval; interval == 0 {
				delete(values, "ask_within")
			}
		})
		if actions := stepped.connect(100); !strings.Contains(actions, "GET /api/targets H") {
			t.Fatalf("poll interval %v: the actions after the connect are %q", interval, actions)
		}
		actions := stepped.respond(100.01, 200, endpointListJSON(41, true, 3, "x:1", 0))
		_, query, _ := strings.Cut(actions, "&timeout_ms=")
		var pollTimeoutMs int
		if _, err := fmt.Sscanf(query, "%d", &pollTimeoutMs); err != nil || pollTimeoutMs < 500 || pollTimeoutMs > 6000 {
			t.Fatalf("poll interval %v: the actions after the first response are %q", interval, actions)
		}
		requestedAt, now := 100.01, 100.01
		for stepped.machine.problemCounts[problemDiscovery] == 0 && now < 1000 {
			now += 0.01
			stepped.step(now)
		}
		if delay := now - requestedAt - float64(pollTimeoutMs)/1000; delay < 0.9 || delay > 1.6 {
			t.Errorf("poll interval %v: the request times out %.2f s after the end of the long poll, want 0.9 s to 1.6 s", interval, delay)
		}
	}
}
