package platform

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// Discovery closes the idle connection just as the next request is written on it, right after its last response or by a
// reset once the request has come. The same request is sent at once on a new connection: the watch goes on, and no failure
// is reported.
func TestDiscoveryClosesIdleConnection(t *testing.T) {
	for name, end := range map[string]func(conn *rawConn){
		"closed after the response": func(conn *rawConn) {
			conn.respond(listBody(42, false, 1, "127.0.0.1:1", 0))
			conn.Close()
		},
		"reset after the request": func(conn *rawConn) {
			conn.respond(listBody(42, false, 1, "127.0.0.1:1", 0))
			conn.readRequest()
			conn.reset()
		},
	} {
		t.Run(name, func(t *testing.T) {
			test := newLoopTest(t, nil)
			conn := test.acceptDiscovery(3)
			conn.readRequest() // a long poll
			end(conn)
			conn = test.discovery.accept()
			if path := conn.readRequest(); path != "/api/targets?since=42&timeout_ms=5000" {
				t.Errorf("then the request is %s", path)
			}
			test.betweenSteps(func() {
				if n := test.machine.problemCounts[problemDiscovery]; n > 0 {
					t.Errorf("%d failures were reported", n)
				}
			})
			// A second end is a failure: a server that closes connections for overload must not be asked again at once.
			conn.reset()
			conn = test.discovery.accept()
			if path := conn.readRequest(); path != "/api/targets?since=42&timeout_ms=0" {
				t.Errorf("after a second end the request is %s", path)
			}
		})
	}
}

// A new address of discovery is used at once, whatever is left of the backoff after failures at the former address. After a
// change back, so is the former one again. What the former address still sends is ignored.
func TestAddressChangeDuringBackoff(t *testing.T) {
	stepped := newSteppedMachine(t, nil)
	stepped.connect(100)
	stepped.respond(100.01, 200, listBody(41, true, 3, "x:1", 0))
	now := 100.02
	for range 4 { // the backoff grows
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
		t.Fatal("there is no backoff")
	}
	boot := stepped.machine.boot
	for k, addr := range []string{"there:1", "here:1", "there:1"} {
		boot.Discovery = addr
		stepped.machine.Reload(boot)
		former := stepped.machine.lastDialed
		dials, actions := stepped.step(now + 0.001*float64(k))
		if len(dials) != 1 || dials[0] != addr {
			t.Errorf("with the address %s the actions are %q", addr, actions)
		}
		stepped.step(now, statemachine.Input{
			Kind: statemachine.ConnData, Conn: former, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"),
		})
	}
	if actions := stepped.connect(now + 0.01); !strings.Contains(actions, "GET /api/targets?since=41&timeout_ms=0") {
		t.Errorf("at the new address the actions are %q", actions)
	}
}

// Whatever the maximum poll interval is, a change counts as known 2 s after the end of a long poll. So a missing response
// times out before that, with time left for a retry.
func TestDiscoveryResponseTimeout(t *testing.T) {
	for _, interval := range []float64{0, 1, 10, 60, 600} {
		stepped := newSteppedMachine(t, func(values map[string]any) {
			if values["ask_within"] = interval; interval == 0 {
				delete(values, "ask_within")
			}
		})
		if actions := stepped.connect(100); !strings.Contains(actions, "GET /api/targets H") {
			t.Fatalf("%v: at first the actions are %q", interval, actions)
		}
		actions := stepped.respond(100.01, 200, listBody(41, true, 3, "x:1", 0))
		_, query, _ := strings.Cut(actions, "&timeout_ms=")
		var wait int
		if _, err := fmt.Sscanf(query, "%d", &wait); err != nil || wait < 500 || wait > 6000 {
			t.Fatalf("%v: then the actions are %q", interval, actions)
		}
		began, now := 100.01, 100.01
		for stepped.machine.problemCounts[problemDiscovery] == 0 && now < 1000 {
			now += 0.01
			stepped.step(now)
		}
		if late := now - began - float64(wait)/1000; late < 0.9 || late > 1.6 {
			t.Errorf("%v: the request times out %.2f s after the end of the poll", interval, late)
		}
	}
}
