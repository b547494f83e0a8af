package platform

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/eventloop"
)

// loopTest is a coordinator on the real event loop, with TCP connections over loopback and a discovery service that the test
// scripts. It is for tests that need a certain order of events on real connections.
type loopTest struct {
	t         *testing.T
	loop      *eventloop.Loop
	machine   *Machine
	discovery *fakePeer
}

// fakePeer is a server, discovery or a backend, whose connections a test scripts.
type fakePeer struct {
	t        *testing.T
	listener *net.TCPListener
}

// rawConn is a TCP connection on which a test reads and writes the data itself.
type rawConn struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

// ioTimeout limits the time for each operation, so that a failing test ends. It is far longer than any of them takes.
const ioTimeout = 30 * time.Second

// newFakePeer starts a server on a free port of the loopback interface.
func newFakePeer(t *testing.T) *fakePeer {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &fakePeer{t, listener}
}

// addr returns the address on which the server listens.
func (p *fakePeer) addr() string { return p.listener.Addr().String() }

// newRawConn wraps a connection, which is closed at the end of the test.
func newRawConn(t *testing.T, conn *net.TCPConn) *rawConn {
	t.Helper()
	conn.SetDeadline(time.Now().Add(ioTimeout))
	t.Cleanup(func() { conn.Close() })
	return &rawConn{t, conn, bufio.NewReader(conn)}
}

// accept waits for the next connection.
func (p *fakePeer) accept() *rawConn {
	p.t.Helper()
	p.listener.SetDeadline(time.Now().Add(ioTimeout))
	conn, err := p.listener.AcceptTCP()
	if err != nil {
		p.t.Fatal(err)
	}
	return newRawConn(p.t, conn)
}

// readRequest reads an HTTP request and returns its path.
func (c *rawConn) readRequest() string {
	c.t.Helper()
	path := ""
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("while waiting for a request: %v", err)
		}
		if words := strings.Fields(line); path == "" && len(words) == 3 {
			path = words[1]
		}
		if line == "\r\n" {
			return path
		}
	}
}

// respond sends an HTTP response with status 200.
func (c *rawConn) respond(body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readUntil reads messages up to the first one that contains a text, and returns that one.
func (c *rawConn) readUntil(text string) string {
	c.t.Helper()
	for {
		message, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("while waiting for a message with %q: %v", text, err)
		}
		if strings.Contains(message, text) {
			return message
		}
	}
}

// readPush reads a push with all its parts, and returns them.
func (c *rawConn) readPush() (push string) {
	c.t.Helper()
	for {
		part := c.readUntil("assign ")
		push += part
		if !strings.Contains(part, " more=1") {
			return push
		}
	}
}

// acknowledge acknowledges a push as the given proxy.
func (c *rawConn) acknowledge(proxy int, push string) {
	c.t.Helper()
	_, nonce, found := strings.Cut(push, " ticket=")
	if !found {
		c.t.Fatalf("the push %q has no nonce", push)
	}
	fmt.Fprintf(c, "done proxy=%d mark=%s took_ms=1\r\n", proxy, strings.Fields(nonce)[0])
}

// reset closes the connection with a TCP reset.
func (c *rawConn) reset() {
	c.SetLinger(0)
	c.Close()
}

// endpointListJSON returns an endpoint list with the given number of backends, all at the same address. The first of them was
// started at bornMs, in milliseconds; the start times of the others are 0.
func endpointListJSON(version int, whole bool, backends int, addr string, bornMs float64) string {
	hosts := make([]string, 0, backends)
	for i := range backends {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%d","dial":%q,"site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":%f}`, i, addr, bornMs))
		bornMs = 0
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, whole, strings.Join(hosts, ","))
}

// newLoopTest starts a coordinator. change, unless nil, changes the settings first.
func newLoopTest(t *testing.T, change func(map[string]any)) *loopTest {
	t.Helper()
	test := &loopTest{t: t, discovery: newFakePeer(t)}
	values := testSettings(8, 1)
	if change != nil {
		change(values)
	}
	clock := eventloop.NewClock()
	var err error
	test.machine, err = New(Bootstrap{
		Name: "c0", Discovery: test.discovery.addr(), MaxConnections: 64, MaxProbes: 4, MaxResponseBytes: 1 << 20, HandshakeTimeout: 30,
		Module: choice.Config{Seed: 1, Now: clock.Now(), Settings: choice.DecodeSettings(values)},
	})
	if err != nil {
		t.Fatal(err)
	}
	test.loop, err = eventloop.Start(context.Background(), eventloop.Bootstrap{Machine: test.machine, Listen: []string{"127.0.0.1:0"}, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { test.loop.Stop(); _ = test.loop.Wait() })
	return test
}

// acceptDiscovery accepts the coordinator's connection to discovery and answers its first request with a full list of
// backends, which all refuse connections.
func (l *loopTest) acceptDiscovery(backends int) *rawConn {
	l.t.Helper()
	conn := l.discovery.accept()
	conn.readRequest()
	conn.respond(endpointListJSON(41, true, backends, "127.0.0.1:1", 0))
	return conn
}

// dial opens a connection to the coordinator.
func (l *loopTest) dial() *rawConn {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.loop.Addrs()[0])
	if err != nil {
		l.t.Fatal(err)
	}
	return newRawConn(l.t, conn.(*net.TCPConn))
}

// betweenSteps runs a function between two steps of the machine, so that it may use the machine's state.
func (l *loopTest) betweenSteps(run func()) {
	done := make(chan struct{})
	l.loop.RunBetweenSteps(func() { run(); close(done) })
	<-done
}

// eventually waits until a condition holds, which it checks between steps of the machine. what describes the condition.
func (l *loopTest) eventually(what string, condition func() bool) {
	l.t.Helper()
	for end, ok := time.Now().Add(ioTimeout), false; !ok; {
		l.betweenSteps(func() { ok = condition() })
		if time.Now().After(end) {
			l.t.Fatal("timed out before this condition held: " + what)
		}
	}
}
