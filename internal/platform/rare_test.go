package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/statemachine"
)

// The rare moments of this file are made to happen every time, on loopback connections between the real loop and machine and
// peers that do exactly what they are told.

// scene is a coordinator with one scripted discovery.
type scene struct {
	t     *testing.T
	l     *eventloop.Loop
	m     *Machine
	disco *fakePeer
}

// door is a peer that is dialled.
type fakePeer struct {
	t  *testing.T
	in net.Listener
}

// wire is one connection.
type rawConn struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func newFakePeer(t *testing.T) *fakePeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &fakePeer{t, l}
}

func (d *fakePeer) addr() string { return d.in.Addr().String() }

func newRawConn(t *testing.T, c net.Conn) *rawConn {
	c.SetDeadline(time.Now().Add(30 * time.Second))
	t.Cleanup(func() { c.Close() })
	return &rawConn{t, c, bufio.NewReader(c)}
}

func (d *fakePeer) accept() *rawConn {
	d.t.Helper()
	d.in.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	c, err := d.in.Accept()
	if err != nil {
		d.t.Fatal(err)
	}
	return newRawConn(d.t, c)
}

// asked reads a request and gives its path.
func (w *rawConn) asked() string {
	w.t.Helper()
	path := ""
	for {
		l, err := w.r.ReadString('\n')
		if err != nil {
			w.t.Fatalf("waiting for a request: %v", err)
		}
		if f := strings.Fields(l); path == "" && len(f) == 3 {
			path = f[1]
		}
		if l == "\r\n" {
			return path
		}
	}
}

func (w *rawConn) answer(body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// until reads lines until one has a text.
func (w *rawConn) until(what string) string {
	w.t.Helper()
	for {
		l, err := w.r.ReadString('\n')
		if err != nil {
			w.t.Fatalf("waiting for %q: %v", what, err)
		}
		if strings.Contains(l, what) {
			return l
		}
	}
}

// listed is a list of servers at an address, the first of which began at a time.
func listed(seq int, whole bool, n int, addr string, born float64) string {
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","class":"m","block":1,"health":"active","share":1,"born_ms":%f}`, i, addr, born))
		born = 0
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

func newScene(t *testing.T, change func(map[string]any)) *scene {
	t.Helper()
	x := &scene{t: t, disco: newFakePeer(t)}
	values := settings(8, 1)
	if change != nil {
		change(values)
	}
	clock := eventloop.NewClock()
	m, err := New(Bootstrap{Name: "c0", Discovery: x.disco.addr(), Module: choice.Config{Seed: 1, Now: clock.Now(), Settings: choice.DecodeSettings(values)},
		MostConns: 64, MostProbes: 4, MostAnswer: 1 << 20, Handshake: 30})
	if err != nil {
		t.Fatal(err)
	}
	x.m = m
	x.l, err = eventloop.Start(context.Background(), eventloop.Bootstrap{Machine: m, Listen: []string{"127.0.0.1:0"}, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { x.l.Stop(); _ = x.l.Wait() })
	return x
}

func (x *scene) dial() *rawConn {
	x.t.Helper()
	c, err := net.Dial("tcp", x.l.Addrs()[0])
	if err != nil {
		x.t.Fatal(err)
	}
	return newRawConn(x.t, c)
}

// now has something looked at between two steps.
func (x *scene) now(do func()) {
	done := make(chan struct{})
	x.l.Between(func() { do(); close(done) })
	<-done
}

// eventually waits for a condition between two steps.
func (x *scene) eventually(what string, is func() bool) {
	x.t.Helper()
	for end, ok := time.Now().Add(30*time.Second), false; !ok; {
		x.now(func() { ok = is() })
		if time.Now().After(end) {
			x.t.Fatal("never: " + what)
		}
	}
}

// Discovery ends the connection that it kept, just as the next call is written on it: with its last answer, or by a reset once
// the call has come. The very same call comes at once on a new connection: the watch goes on, and no failure is told.
func TestCallThatCrossesTheConnectionsEnd(t *testing.T) {
	for name, end := range map[string]func(w *rawConn){
		"ended with the answer": func(w *rawConn) {
			w.answer(listed(42, false, 1, "127.0.0.1:1", 0))
			w.Close()
		},
		"reset under the call": func(w *rawConn) {
			w.answer(listed(42, false, 1, "127.0.0.1:1", 0))
			w.asked()
			w.Conn.(*net.TCPConn).SetLinger(0)
			w.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newScene(t, nil)
			w := x.disco.accept()
			w.asked()
			w.answer(listed(41, true, 3, "127.0.0.1:1", 0))
			w.asked() // a watch
			end(w)
			w = x.disco.accept()
			if path := w.asked(); path != "/api/targets?since=42&timeout_ms=5000" {
				t.Errorf("then it asks %s", path)
			}
			x.now(func() {
				if n := x.m.lost["discovery"]; n > 0 {
					t.Errorf("%d failures were told", n)
				}
			})
			// A second end is a failure: who ends calls because too many come must not be asked at once.
			w.Conn.(*net.TCPConn).SetLinger(0)
			w.Close()
			w = x.disco.accept()
			if path := w.asked(); path != "/api/targets?since=42&timeout_ms=0" {
				t.Errorf("after a second end it asks %s", path)
			}
		})
	}
}

// Two joinings of one proxy come in the wrong order: that of the connection which it gave up is late. The later connection is
// its stream and stays so.
func TestLateJoiningOfAnOlderConnection(t *testing.T) {
	x := newScene(t, nil)
	w := x.disco.accept()
	w.asked()
	w.answer(listed(41, true, 3, "127.0.0.1:1", 0))
	older := x.dial()
	fmt.Fprint(older, "attach proxy=2 zone=a wei")
	later := x.dial()
	fmt.Fprint(later, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
	later.until("whole=1")
	fmt.Fprint(older, "ght=5 fresh=1\r\n")
	if got, _ := io.ReadAll(older); !strings.HasPrefix(string(got), "reject") {
		t.Errorf("the older connection is told %q", got)
	}
	fmt.Fprint(later, "hb\r\n")
	later.until("hb_ok")
	x.now(func() {
		if x.m.figures.Joins != 1 || x.m.streams[2] == nil {
			t.Errorf("%d joinings, stream %v", x.m.figures.Joins, x.m.streams[2])
		}
	})
	// The other way round the newer one takes over.
	third := x.dial()
	fmt.Fprint(third, "attach proxy=2 zone=a weight=5 fresh=0\r\n")
	third.until("whole=1")
}

// Probes are under way while the list tells that their server has started anew: the end of the former process must not be
// held against the new one.
func TestProbeOfTheFormerProcess(t *testing.T) {
	x := newScene(t, func(v map[string]any) { v["method.0.soft_deadline"], v["method.1.soft_deadline"] = 100.0, 100.0 })
	old := newFakePeer(t)
	w := x.disco.accept()
	w.asked()
	w.answer(listed(41, true, 5, old.addr(), 0))
	w.asked()
	var ep choice.BackendID
	x.eventually("the list is held", func() bool { ep = x.m.roll.numbers["s-0"]; return ep != 0 })
	var probes []*rawConn
	for range 2 {
		x.now(func() { x.m.probes.order(ep) })
		p := old.accept()
		p.asked()
		probes = append(probes, p)
	}
	w.answer(listed(42, false, 1, old.addr(), float64(time.Now().UnixMilli())))
	w.asked()
	x.eventually("the restart is told", func() bool { return x.m.roll.servers[ep].entry.StartedAt > 0 && len(x.m.events) == 0 })
	for _, p := range probes {
		p.Close()
	}
	x.eventually("the probes have ended", func() bool { return len(x.m.probes.active) == 0 && len(x.m.events) == 0 })
	x.now(func() {
		for _, b := range x.m.planner.Estimates() {
			if b.Backend == ep && b.Unreachable {
				t.Error("the new process is taken to be dead")
			}
		}
		if x.m.figures.Outdated != 2 {
			t.Errorf("%d results were taken to be outdated", x.m.figures.Outdated)
		}
	})
}

// What follows is a matter of moments in time, so the machine is stepped by hand.

// hand steps a machine and tells what it dials, writes and kills.
type hand struct {
	t *testing.T
	m *Machine
}

func (h *hand) step(now statemachine.Seconds, in ...statemachine.Input) (dials []string, did string) {
	out := &statemachine.Effects{}
	out.Reset()
	h.m.Step(now, in, out)
	for _, a := range out.Actions {
		switch a.Kind {
		case statemachine.ActionDial:
			dials = append(dials, a.Addr)
			did += fmt.Sprintf("dial %s;", a.Addr)
		case statemachine.ActionWrite:
			did += fmt.Sprintf("write %d %s;", a.Conn&^statemachine.Dialed, strings.SplitN(string(a.Data), "\r\n", 2)[0])
		case statemachine.ActionAbort:
			did += fmt.Sprintf("kill %d;", a.Conn&^statemachine.Dialed)
		}
	}
	return dials, did
}

// up has the connection last dialled stand.
func (h *hand) up(now statemachine.Seconds) string {
	_, did := h.step(now, statemachine.Input{Kind: statemachine.ConnOpened, Conn: h.m.dialled})
	return did
}

// says has discovery answer on it.
func (h *hand) says(now statemachine.Seconds, status int, body string) string {
	_, did := h.step(now, statemachine.Input{Kind: statemachine.ConnData, Conn: h.m.dialled, Data: fmt.Appendf(nil, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)})
	return did
}

func byHand(t *testing.T, change func(map[string]any)) *hand {
	t.Helper()
	values := settings(8, 1)
	if change != nil {
		change(values)
	}
	m, err := New(Bootstrap{Name: "c0", Discovery: "here:1", Module: choice.Config{Seed: 1, Now: 100, Settings: choice.DecodeSettings(values)},
		MostConns: 64, MostProbes: 4, MostAnswer: 1 << 20, Handshake: 1})
	if err != nil {
		t.Fatal(err)
	}
	h := &hand{t, m}
	if dials, _ := h.step(100); len(dials) != 1 {
		t.Fatalf("at its start it dials %v", dials)
	}
	return h
}

// A new address of discovery, while calls to the old one pause after failures: it is asked at once, whatever is left of the
// pause; moved back, so is the old one again; and what the old address still answers is nobody's.
func TestMoveDuringThePauseAfterFailures(t *testing.T) {
	h := byHand(t, nil)
	h.up(100)
	h.says(100.01, 200, listed(41, true, 3, "x:1", 0))
	now := 100.02
	for range 4 { // the pauses grow
		h.says(now, 503, "")
		for dialled := h.m.dialled; !h.m.list.calling; now += 0.05 {
			h.step(now)
			if h.m.dialled != dialled {
				h.up(now)
			}
		}
	}
	h.says(now, 503, "")
	if h.m.list.calling {
		t.Fatal("it does not pause")
	}
	boot := h.m.boot
	for k, addr := range []string{"there:1", "here:1", "there:1"} {
		boot.Discovery = addr
		h.m.Renew(boot)
		former := h.m.dialled
		dials, did := h.step(now + 0.001*float64(k))
		if len(dials) != 1 || dials[0] != addr {
			t.Errorf("moved to %s, it does %q", addr, did)
		}
		h.step(now, statemachine.Input{Kind: statemachine.ConnData, Conn: former, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]")})
	}
	if did := h.up(now + 0.01); !strings.Contains(did, "GET /api/targets?since=41&timeout_ms=0") {
		t.Errorf("the new address is asked %q", did)
	}
}

// However long the settings let us go without asking, we count as told 2 s after a waiting call's end. So an answer that does
// not come is given up before, and asked for again.
func TestLostAnswersAreGivenUpInTime(t *testing.T) {
	for _, within := range []float64{0, 1, 10, 60, 600} {
		h := byHand(t, func(v map[string]any) {
			if v["ask_within"] = within; within == 0 {
				delete(v, "ask_within")
			}
		})
		if did := h.up(100); !strings.Contains(did, "GET /api/targets H") {
			t.Fatalf("%v: first it asks %q", within, did)
		}
		did := h.says(100.01, 200, listed(41, true, 3, "x:1", 0))
		var wait int
		if _, err := fmt.Sscanf(did[strings.Index(did, "&timeout_ms="):], "&timeout_ms=%d", &wait); err != nil || wait < 500 || wait > 6000 {
			t.Fatalf("%v: then it does %q", within, did)
		}
		began, now := 100.01, 100.01
		for h.m.lost["discovery"] == 0 && now < 1000 {
			now += 0.01
			h.step(now)
		}
		if late := now - began - float64(wait)/1000; late < 0.9 || late > 1.6 {
			t.Errorf("%v: a lost answer is given up %.2f s after the wait's end", within, late)
		}
	}
}

// A collector that was cut off without a word and is back costs one descriptor, not one for each cut; while no other speaks
// for its zone, or the other is no later, it stays.
func TestCollectorsThatAreBack(t *testing.T) {
	h := byHand(t, nil)
	join := func(now statemachine.Seconds, c statemachine.Conn, zone string) {
		h.step(now, statemachine.Input{Kind: statemachine.ConnOpened, Conn: c}, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: []byte("telemetry zone=" + zone + "\r\n")})
	}
	sum := func(now statemachine.Seconds, c statemachine.Conn) string {
		_, did := h.step(now, statemachine.Input{Kind: statemachine.ConnData, Conn: c, Data: []byte("upstream_stats zone=a server=s tries=1 failed=0 mean_ms=1 span_ms=1\r\n")})
		return did
	}
	join(101, 11, "a")
	join(101, 12, "b")
	for now := 101.0; now < 130; now++ {
		if did := sum(now, 12); strings.Contains(did, "kill 11;") {
			t.Fatalf("the only collector of its zone is ended at %v", now)
		}
	}
	join(130, 13, "a")
	ended := 0.0
	for now := 130.0; now < 160; now++ {
		did := sum(now, 13) + sum(now+0.1, 12)
		if strings.Contains(did, "kill 11;") {
			ended = now
		}
		if strings.Contains(did, "kill 12;") || strings.Contains(did, "kill 13;") {
			t.Errorf("one that speaks is ended at %v", now)
		}
	}
	if ended == 0 || len(h.m.collectors) != 2 {
		t.Errorf("the silent one was ended at %v, %d are kept", ended, len(h.m.collectors))
	}
}

// What fails outside of any one connection's input, here what a step makes of the module's orders, costs the module's instance
// and not the process.
func TestStepThatFailsIsSurvived(t *testing.T) {
	x := newTown(t, 8, 8, 8)
	x.run(5)
	x.nodes[0].book = nil
	x.run(10)
	x.believed()
	x.served()
	if n := x.nodes[0].figures.Failures; n != 1 {
		t.Errorf("%d failures were seen", n)
	}
}

// A probe that we could not send for want of a descriptor is not held against its server.
func TestProbeThatWasNotSent(t *testing.T) {
	h := byHand(t, nil)
	h.up(100)
	h.says(100.01, 200, listed(41, true, 5, "x:1", 0))
	ep := h.m.roll.numbers["s-0"]
	for now := 101.0; now < 104; now += 0.5 {
		h.m.probes.order(ep)
		if dials, _ := h.step(now); len(dials) == 1 {
			h.step(now+0.01, statemachine.Input{Kind: statemachine.ConnClosed, Conn: h.m.dialled, LocalFailure: true})
		}
	}
	for _, b := range h.m.planner.Estimates() {
		if b.Unreachable {
			t.Error("a server is taken to be dead that was never asked")
		}
	}
	if h.m.lost["unasked"] < 2 || len(h.m.probes.active) > 0 {
		t.Errorf("%d probes were not sent, %d are taken to be under way", h.m.lost["unasked"], len(h.m.probes.active))
	}
}

// FuzzAnswer holds an HTTP answer in pieces against the same in one: status, body and whether it can be read at all.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n\r\n\r\n\r\n3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n{\"seq\":1}",
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "noise\r\n\r\n", "",
	} {
		f.Add([]byte(s), uint64(1))
		f.Add([]byte(s), uint64(7))
	}
	type result struct {
		status      int
		body        string
		whole, good bool
	}
	read := func(b []byte, size func(left int) int) result {
		a := answer{most: 1 << 16}
		for len(b) > 0 {
			n := size(len(b))
			status, body, _, whole, err := a.feed(b[:n], false)
			if b = b[n:]; whole || err != nil {
				return result{status, string(body), whole, err == nil}
			}
		}
		status, body, _, whole, err := a.feed(nil, true)
		return result{status, string(body), whole, err == nil}
	}
	f.Fuzz(func(t *testing.T, b []byte, seed uint64) {
		if len(b) > 1<<14 {
			return
		}
		once := read(b, func(left int) int { return left })
		single := read(b, func(int) int { return 1 })
		pieces := read(b, func(left int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return 1 + int(seed>>33)%left
		})
		if once != single || once != pieces {
			t.Errorf("in one piece %+v, in single bytes %+v, in pieces %+v", once, single, pieces)
		}
	})
}

// A list that comes in chunks and in single bytes is read about once, not once a byte.
func TestAnswerInSingleBytesIsReadOnce(t *testing.T) {
	body := listed(41, true, 400, "127.0.0.1:1", 0)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	a := answer{most: 1 << 20}
	tries := 0
	for i := range text {
		before := a.reads
		_, got, _, whole, err := a.feed([]byte{text[i]}, false)
		tries += a.reads - before
		if err != nil || whole != (i == len(text)-1) || whole && string(got) != body {
			t.Fatalf("after %d of %d bytes: whole %v, %v", i+1, len(text), whole, err)
		}
	}
	if tries > 3 {
		t.Errorf("it was read %d times", tries)
	}
}

// A proxy's connection is reset after each byte of its joining and answer: nothing of it stays, and others are served.
func TestStreamsThatEndAnywhere(t *testing.T) {
	x := newScene(t, nil)
	w := x.disco.accept()
	w.asked()
	w.answer(listed(41, true, 3, "127.0.0.1:1", 0))
	stays := x.dial()
	fmt.Fprint(stays, "attach proxy=1 zone=a weight=5 fresh=1\r\n")
	stays.until("whole=1")
	all := "attach proxy=2 zone=a weight=5 fresh=1\r\ndone proxy=2 mark=1 took_ms=5\r\nclient_stats proxy=2 class=read tries=1 failed=0 span_ms=1000\r\n"
	joins := 1
	for n := range len(all) + 1 {
		c := x.dial()
		fmt.Fprint(c, all[:n])
		if n > strings.Index(all, "\n") {
			c.until("whole=1") // it has joined
			joins++
		}
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	x.eventually("only who stays is left", func() bool {
		return len(x.m.sessions) == 2 && x.m.streams[2] == nil && x.m.figures.Joins == x.m.figures.Leaves+1
	})
	fmt.Fprint(stays, "hb\r\n")
	stays.until("hb_ok")
	x.now(func() {
		if f := x.m.figures; f.Panics+f.Failures+f.Spoilt+f.Broken > 0 || f.Joins != joins {
			t.Errorf("figures %+v", f)
		}
	})
}

// A proxy's new stream comes before the end of its old one, and an answer on it to a mark of the old one's: such an answer is
// nobody's, and the whole table goes to the new stream only.
func TestAnswerToTheFormerStreamsMark(t *testing.T) {
	x := newScene(t, nil)
	w := x.disco.accept()
	w.asked()
	w.answer(listed(41, true, 3, "127.0.0.1:1", 0))
	old := x.dial()
	fmt.Fprint(old, "attach proxy=2 zone=a weight=5 fresh=1\r\n")
	push := old.until("ticket=")
	mark := strings.Fields(push[strings.Index(push, "ticket=")+7:])[0]
	fresh := x.dial()
	fmt.Fprintf(fresh, "attach proxy=2 zone=a weight=5 fresh=0\r\ndone proxy=2 mark=%s took_ms=5\r\n", mark)
	push = fresh.until("whole=1")
	if !strings.Contains(push, "s-0:") || !strings.Contains(push, "level=") || !strings.Contains(push, "retry=") {
		t.Errorf("the new stream is told %q", push)
	}
	if _, err := io.ReadAll(old); err == nil {
		t.Error("the old stream is not reset")
	}
	x.eventually("the answer is seen", func() bool { return x.m.figures.Stale == 1 })
	x.now(func() {
		if s := x.m.streams[2]; s == nil || len(s.marks) == 0 || x.m.figures.Joins != 2 || x.m.figures.Leaves != 1 {
			t.Errorf("the stream is %v, figures %+v", s, x.m.figures)
		}
	})
}

// A proxy comes back with tables of another coordinator while a method that keeps to its zone has no server there. What it brought along
// for that method stays in force, so it is told which servers are withdrawn, though the table that it gets for the others has none.
func TestWithdrawnServersOfAMethodWithoutATable(t *testing.T) {
	x := newScene(t, func(v map[string]any) { v["method.1.own_zone"] = true })
	w := x.disco.accept()
	w.asked()
	host := func(name, zone, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":%q,"class":"m","block":1,"health":%q,"share":1,"born_ms":0}`, name, zone, health)
	}
	w.answer(`{"seq":41,"whole":true,"hosts":[` + host("s-0", "b", "active") + "," + host("s-1", "a", "active") + "," + host("s-2", "a", "active") + "," + host("s-3", "b", "active") + `]}`)
	w.asked()
	w.answer(`{"seq":42,"whole":false,"hosts":[` + host("s-0", "b", "leaving") + `]}`)
	w.asked()
	w.answer(`{"seq":43,"whole":false,"hosts":[` + host("s-3", "b", "left") + `]}`)
	w.asked()
	x.eventually("they are withdrawn", func() bool { return x.m.book.ExcludedCount() == 2 })
	c := x.dial()
	fmt.Fprint(c, "attach proxy=2 zone=b weight=5 fresh=0\r\n")
	got := c.until("ticket=")
	if !strings.Contains(got, "classes=read whole=1") || !strings.Contains(got, "out=s-") || !strings.Contains(got, "s-0") || !strings.Contains(got, "s-3") {
		t.Errorf("the proxy is told %q", got)
	}
}

// Numbers of a list may be written with a point; what is no whole number is refused, and says so.
func TestNumbersOfAList(t *testing.T) {
	text := `{"seq":%s,"whole":true,"hosts":[{"host":"s-9","dial":"x:1","site":"","class":null,"block":%s,"health":"active","share":1,"born_ms":0}]}`
	for _, c := range []struct {
		seq, block string
		good       bool
	}{{"41", "3", true}, {"41.0", "3.0", true}, {"9007199254740993", "null", true}, {"4.1e1", "0", true}, {"41.5", "3", false}, {"41", `"3"`, false}, {"1e300", "3", false}} {
		l, err := parseList(fmt.Appendf(nil, text, c.seq, c.block))
		if (err == nil) != c.good {
			t.Errorf("seq %s, block %s: %v", c.seq, c.block, err)
		}
		if c.seq == "9007199254740993" && (err != nil || *l.Seq != 9007199254740993) {
			t.Errorf("a large version is read as %v", l)
		}
	}
}
