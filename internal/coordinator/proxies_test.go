package coordinator

import (
	"fmt"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// A proxy that joins on two streams at the same time is served only on the newer one.
func TestSecondStreamOfAProxyReplacesTheFirst(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.step(0.01, opened(1), opened(2), data(1, hello("f0")), data(2, hello("f0")))
	harness.advance(0.2)
	mustContain(t, harness.rejectionReason(1), "joined again")
	if pushes := harness.pushes(2); len(pushes) != 1 || harness.closed[2] {
		t.Fatalf("want one push on the newer stream, which stays open, got %+v", pushes)
	}
	harness.step(0.1, closed(1)) // a late close of the older stream must not end the newer one
	harness.updateEndpoints(listEntry(1, proto.BackendDraining), listEntry(2, proto.BackendDraining))
	harness.advance(0.2)
	if !hasOp(harness.pushes(2), proto.OpExclude, 0) {
		t.Fatal("the newer stream was not sent an exclusion")
	}
}

// The number of a proxy that left long ago is assigned to another proxy. Otherwise the numbers, tables and names of proxies
// that join and leave one after another would accumulate.
func TestProxyNumbersAreReused(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(3)
	for i := range 200 {
		conn := statemachine.Conn(i + 1)
		harness.join(conn, fmt.Sprint("f", i))
		harness.advance(0.02)
		harness.step(100, closed(conn), harness.endpointKeepalive())
	}
	c := harness.machine.controller
	numbers, tables, names := len(c.streamsByNumber), c.distributor.TableCount(), len(c.proxies)
	if numbers > 20 || tables > 20 || names > 20 {
		t.Fatalf("%d numbers, %d tables and %d names after 200 proxies joined and left one by one, want at most 20 of each",
			numbers, tables, names)
	}
}

// Proxies that join under ever new names, or again and again under one, must not take memory without bound. Guards against the failure
// of issue 45 (b): each name was kept for 20 minutes, each leave too.
func TestDepartedProxiesAreBounded(t *testing.T) {
	for name, proxyName := range map[string]func(number int) string{
		"new names": func(number int) string { return fmt.Sprint("f", number) },
		"one name":  func(int) string { return "f" },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, nil, nil)
			const joins = maxDepartedProxies + 200
			c := harness.machine.controller
			for number := range joins {
				stream := streamID(number + 1)
				mustHandle(t, c, harness.now, proxyJoined{stream, hello(proxyName(number))}, streamClosed{stream})
			}
			if len(c.proxies) > maxDepartedProxies || len(c.departed) > maxDepartedProxies || len(c.streamsByNumber) > maxDepartedProxies+1 {
				t.Errorf("%d names, %d departed proxies and %d numbers are kept, at most %d wanted",
					len(c.proxies), len(c.departed), len(c.streamsByNumber), maxDepartedProxies)
			}
			if name == "one name" && len(c.departed) != 1 {
				t.Errorf("one proxy is kept %d times", len(c.departed))
			}
		})
	}
}

// A hello that arrives late, on a connection that was opened before the proxy's last stream, must not replace that stream, nor join the
// proxy again after it has left: the proxy no longer uses the older connection. Guards against the failure of issue 45 (c).
func TestLateHelloOnOlderConnectionIsRejected(t *testing.T) {
	for _, newerLeft := range []bool{false, true} {
		t.Run(fmt.Sprintf("newer stream has left: %v", newerLeft), func(t *testing.T) {
			harness := newHarness(t, nil, nil)
			harness.serveEndpoints(4)
			harness.step(0.01, opened(1), opened(2), data(2, hello("f0")))
			harness.advance(0.2)
			if newerLeft {
				harness.step(0.1, closed(2))
			}
			harness.step(0.1, data(1, hello("f0")))
			harness.advance(0.2)
			mustContain(t, harness.rejectionReason(1), "newer stream")
			if harness.closed[2] {
				t.Error("the newer stream was closed")
			}
			if joins := harness.machine.Stats().Joins; joins != 1 {
				t.Errorf("%d joins, 1 wanted", joins)
			}
		})
	}
}
