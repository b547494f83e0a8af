package eventloop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"gingerfork/internal/statemachine"
)

// held is a machine that, when told, stops in the middle of a step until it is let go, and then does what it had decided.
// What comes in meanwhile comes between the machine's decision and its being carried out.
type held struct {
	conns []statemachine.Conn
	in    chan struct{} // a step is held
	goOn  chan struct{}
	then  func(out *statemachine.Effects, conns []statemachine.Conn)
}

func (h *held) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch {
		case i.Kind == statemachine.ConnOpened:
			h.conns = append(h.conns, i.Conn)
		case i.Kind == statemachine.OperatorCommand && h.then != nil:
			conns, then := slices.Clone(h.conns), h.then
			h.then = nil
			h.in <- struct{}{}
			<-h.goOn
			then(out, conns)
		}
	}
}

// driven starts a loop for a machine that may be held; a test that fails meanwhile must not wait for it for ever.
func driven(t *testing.T, h *held) *Loop {
	t.Helper()
	l, err := Start(context.Background(), Bootstrap{Machine: h, Listen: []string{"127.0.0.1:0"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(h.goOn); l.Stop(); _ = l.Wait() })
	return l
}

// boxed looks at what waits for the owner.
func (l *Loop) boxed(kind statemachine.InputKind) (all []*peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.box {
		if m.input.Kind == kind && m.peer != nil {
			all = append(all, m.peer)
		}
	}
	return all
}

// Connections close after the machine decided to write to them and before that is done, and others get their descriptors:
// not a byte may reach those, and their closing must be as they are told, not as the dead ones were.
func TestOrdersOfClosedConnectionsReachNobodyElse(t *testing.T) {
	for name, then := range map[string]func(out *statemachine.Effects, c statemachine.Conn){
		"write": func(out *statemachine.Effects, c statemachine.Conn) { out.Write(c, []byte("not for you")) },
		"reset": func(out *statemachine.Effects, c statemachine.Conn) { out.Abort(c) },
	} {
		t.Run(name, func(t *testing.T) {
			h := &held{in: make(chan struct{}), goOn: make(chan struct{})}
			h.then = func(out *statemachine.Effects, conns []statemachine.Conn) {
				for _, c := range conns {
					then(out, c)
				}
			}
			l := driven(t, h)
			var old []net.Conn
			for range 24 {
				old = append(old, dial(t, l.Addrs()[0]))
			}
			fds := map[int]bool{}
			step := make(chan struct{})
			eventually(t, "all are taken in", func() bool {
				n := 0
				l.RunBetweenSteps(func() {
					n = len(l.peers)
					clear(fds)
					for _, p := range l.peers {
						fds[p.conn.Fd()] = true
					}
					step <- struct{}{}
				})
				<-step
				return n == len(old)
			})
			l.SendCommand("hold")
			<-h.in
			for _, c := range old {
				c.Close()
			}
			eventually(t, "their ends are in the box", func() bool { return len(l.boxed(statemachine.ConnClosed)) == len(old) })
			var fresh []net.Conn
			reused := func() (n int) {
				for _, p := range l.boxed(statemachine.ConnOpened) {
					if fds[p.conn.Fd()] {
						n++
					}
				}
				return n
			}
			for len(fresh) < 64 && reused() < 2 {
				if len(fresh)%2 == 1 { // the ends on this side take descriptors too: not always those that the others would get
					f, err := os.Open(os.DevNull)
					if err != nil {
						t.Fatal(err)
					}
					defer f.Close()
				}
				c := dial(t, l.Addrs()[0])
				fresh = append(fresh, c)
				eventually(t, "it is taken in", func() bool { return len(l.boxed(statemachine.ConnOpened)) == len(fresh) })
			}
			if reused() < 2 {
				t.Fatalf("of %d new connections %d got a descriptor of those that ended", len(fresh), reused())
			}
			opened := l.boxed(statemachine.ConnOpened)
			h.goOn <- struct{}{}
			// What was decided is carried out before a step that comes after it, and that before this is done on the event loop.
			l.RunBetweenSteps(func() {
				for _, p := range opened {
					l.shut(p, false)
				}
			})
			for i, c := range fresh {
				c.SetReadDeadline(time.Now().Add(20 * time.Second))
				got, err := io.ReadAll(c)
				if len(got) > 0 || err != nil {
					t.Errorf("connection %d got %q of another's, and its end was %v", i, got, err)
				}
			}
		})
	}
}

// teller writes what it is told to every connection.
type teller struct{ conns []statemachine.Conn }

func (m *teller) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch i.Kind {
		case statemachine.ConnOpened:
			m.conns = append(m.conns, i.Conn)
		case statemachine.OperatorCommand:
			for _, c := range m.conns {
				out.Write(c, []byte(i.Text))
			}
		}
	}
}

// An event loop that has very much to do puts off what comes then, and may do later things before it: not the writes of a
// connection, of which a later push would else be read before the one that it builds on.
func TestWritesKeepTheirOrderWhenMuchWaits(t *testing.T) {
	l, err := Start(context.Background(), Bootstrap{Machine: &teller{}, Listen: []string{"127.0.0.1:0"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(); _ = l.Wait() })
	c := dial(t, l.Addrs()[0])
	var on gnet.EventLoop
	now := func(do func()) {
		step := make(chan struct{})
		l.RunBetweenSteps(func() { do(); close(step) })
		<-step
	}
	eventually(t, "it is taken in", func() bool {
		now(func() {
			for _, p := range l.peers {
				on = p.conn.EventLoop()
			}
		})
		return on != nil
	})
	at, goOn := make(chan struct{}), make(chan struct{})
	hold := gnet.RunnableFunc(func(context.Context) error { at <- struct{}{}; <-goOn; return nil })
	do := func(r gnet.Runnable) {
		if err := on.Execute(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	do(hold)
	<-at
	for range 1023 { // with the next one, as many as gnet takes before it puts off what comes
		do(gnet.RunnableFunc(func(context.Context) error { return nil }))
	}
	do(hold)
	l.SendCommand("first ")
	now(func() {}) // the step with what was told is over, and what it wrote is put off
	now(func() {})
	goOn <- struct{}{}
	<-at // the idle thousand are done: what comes now is taken before what was put off
	l.SendCommand("second")
	now(func() {})
	now(func() {})
	goOn <- struct{}{}
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	got := make([]byte, len("first second"))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != "first second" {
		t.Errorf("%q and %v", got[:n], err)
	}
}

// dialler dials where it is told, and gives that up when it is told nothing.
type dialler struct{}

func (dialler) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch {
		case i.Kind == statemachine.OperatorCommand && i.Text != "":
			out.Dial(statemachine.Dialed+1, i.Text)
		case i.Kind == statemachine.OperatorCommand:
			out.Abort(statemachine.Dialed + 1)
		}
	}
}

// A machine that gives up a connection before it stands has its descriptor back at once. Else probes of a zone that is silent
// would hold many times the descriptors that probes may have, for as long as a dial lasts.
func TestDialsThatAreGivenUpHoldNothing(t *testing.T) {
	// One who listens and takes nobody in: what comes beyond the first is left without an answer.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	silent := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	dial(t, silent)
	l, err := Start(context.Background(), Bootstrap{Machine: dialler{}, Listen: []string{"127.0.0.1:0"}, DialTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(); _ = l.Wait() })
	standing := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conns
	}
	l.SendCommand(silent)
	eventually(t, "it is being dialled", func() bool { return standing() == 1 })
	l.SendCommand("")
	eventually(t, "it is given up", func() bool { return standing() == 0 })
}
