package eventloop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

func TestMain(m *testing.M) {
	// gnet keeps a pool of workers for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"), goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

// echo is a machine that sends back what it gets, and does as it is told.
type echo struct {
	mu    sync.Mutex
	seen  []statemachine.Input
	conns []statemachine.Conn
	wakes int
	due   float64
	big   int // bytes written on a connection's opening
}

func (e *echo) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.due > 0 && now >= e.due {
		e.wakes++
		e.due = 0
	}
	for _, i := range in {
		e.seen = append(e.seen, statemachine.Input{Kind: i.Kind, Conn: i.Conn, Listener: i.Listener, Text: i.Text, LocalFailure: i.LocalFailure})
		switch i.Kind {
		case statemachine.ConnOpened:
			e.conns = append(e.conns, i.Conn)
			for n := 0; n < e.big; n += 1 << 16 {
				out.Write(i.Conn, make([]byte, 1<<16))
			}
		case statemachine.ConnData:
			out.Write(i.Conn, i.Data)
		case statemachine.OperatorCommand:
			word, arg, _ := strings.Cut(i.Text, " ")
			switch word {
			case "wake":
				e.due = now + 0.01
			case "dial":
				out.Dial(statemachine.Dialed+1, arg)
			case "close":
				out.Close(e.conns[len(e.conns)-1])
			case "save":
				out.SaveFile("x", []byte(arg))
			case "fail":
				out.Failure = arg
			case "stop":
				out.Stop = true
			case "trace":
				out.Record(trace.Record{Time: now, Kind: arg})
			}
		}
	}
	if e.due > 0 {
		out.WakeBy(e.due)
	}
}

func (e *echo) count(is func(statemachine.Input) bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range e.seen {
		if is(i) {
			n++
		}
	}
	return n
}

// eventually waits for a condition, for as long as a slow machine may take.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

func start(t *testing.T, b Bootstrap) (*Loop, *echo) {
	t.Helper()
	e, _ := b.Machine.(*echo)
	if e == nil {
		e = &echo{}
		b.Machine = e
	}
	if b.Listen == nil {
		b.Listen = []string{"127.0.0.1:0"}
	}
	l, err := Start(context.Background(), b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(); _ = l.Wait() })
	return l, e
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(time.Minute)) // what never comes fails the test by its name, not the whole run by its time-out
	t.Cleanup(func() { c.Close() })
	return c
}

func TestBytesTimersFilesAndEnds(t *testing.T) {
	dir := t.TempDir()
	var records []trace.Record
	l, e := start(t, Bootstrap{Listen: []string{"127.0.0.1:0", "127.0.0.1:0"}, Dir: dir, Trace: func(all []trace.Record) { records = append(records, all...) }})
	var both [2]net.Conn
	for i := range both { // one after the other: each door has its own accepting, so that two at once may be taken in either order
		both[i] = dial(t, l.Addrs()[i])
		fmt.Fprint(both[i], "hello")
		got := make([]byte, 5)
		if _, err := io.ReadFull(both[i], got); err != nil || string(got) != "hello" {
			t.Fatal(string(got), err)
		}
	}
	a, b := both[0], both[1]
	if e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnOpened && i.Listener == 1 }) != 1 {
		t.Fatal("no connection at the second door")
	}
	l.Tell("wake")
	eventually(t, "the wake-up", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.wakes == 1 })
	l.Tell("save kept")
	eventually(t, "the file", func() bool { data, _ := os.ReadFile(filepath.Join(dir, "x")); return string(data) == "kept" })
	a.Close()
	eventually(t, "the end of a connection", func() bool {
		return e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnClosed }) == 1
	})
	l.Tell("close")
	if _, err := b.Read(make([]byte, 1)); err != io.EOF {
		t.Fatal(err)
	}
	l.Tell("trace mark")
	done := make(chan bool)
	l.Between(func() { close(done) })
	<-done
	l.Tell("stop")
	if err := l.Wait(); err != nil {
		t.Fatal(err)
	}
	if e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnClosed }) != 1 {
		t.Fatal("a Closed came for a connection that the machine itself closed")
	}
	if len(records) != 1 || records[0].Kind != "mark" {
		t.Fatal(records)
	}
}

func TestDials(t *testing.T) {
	other, _ := start(t, Bootstrap{})
	l, e := start(t, Bootstrap{Via: func(a string) string { return strings.Replace(a, "other", other.Addrs()[0], 1) }})
	l.Tell("dial other")
	eventually(t, "the dialled connection", func() bool {
		return e.count(func(i statemachine.Input) bool {
			return i.Kind == statemachine.ConnOpened && i.Conn == statemachine.Dialed+1
		}) == 1
	})
	other.Stop()
	eventually(t, "its end", func() bool {
		return e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnClosed }) == 1
	})
	_ = other.Wait()
	l.Tell("dial other")
	eventually(t, "the refusal", func() bool {
		return e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnClosed && i.Text == "refused" }) == 1
	})
}

// A machine that fails ends its loop with its text.
func TestFailureEndsTheLoop(t *testing.T) {
	l, _ := start(t, Bootstrap{})
	l.Tell("fail badly")
	if err := l.Wait(); !errors.Is(err, ErrFailed) || !strings.Contains(err.Error(), "badly") {
		t.Fatal(err)
	}
	if _, err := Start(context.Background(), Bootstrap{Machine: &echo{}, Listen: []string{"127.0.0.1:0", "nowhere:x"}}); err == nil {
		t.Fatal("it listens nowhere")
	}
}

// One who does not read holds up only itself, and is cut off at a bound.
func TestSlowReaderIsCutOff(t *testing.T) {
	l, e := start(t, Bootstrap{Machine: &echo{big: 64 << 20}, MostOut: 1 << 20})
	dial(t, l.Addrs()[0])
	eventually(t, "the cut", func() bool {
		return e.count(func(i statemachine.Input) bool {
			return i.Kind == statemachine.ConnClosed && i.Text == "it did not read what was sent"
		}) == 1
	})
	e.mu.Lock()
	e.big = 0
	e.mu.Unlock()
	c := dial(t, l.Addrs()[0])
	fmt.Fprint(c, "x")
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil || l.Figures().Slow != 1 {
		t.Fatal(err, l.Figures())
	}
}

// Descriptors that run out stop new connections for a while, not the old ones, and not for good.
func TestDescriptorsRunOut(t *testing.T) {
	l, e := start(t, Bootstrap{})
	old := dial(t, l.Addrs()[0])
	fmt.Fprint(old, "x")
	if _, err := io.ReadFull(old, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here:", err)
	}
	less := limit
	less.Cur = uint64(len(open) + 8)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &less); err != nil {
		t.Fatal(err)
	}
	restored := false
	restore := func() {
		if !restored {
			restored = true
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
				t.Error(err)
			}
		}
	}
	defer restore()
	var held []*os.File
	for {
		f, err := os.Open("/dev/null")
		if err != nil {
			break
		}
		held = append(held, f)
	}
	held[len(held)-1].Close() // one is left, for this side of a connection
	held = held[:len(held)-1]
	c, err := net.Dial("tcp", l.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	eventually(t, "the shortage", func() bool { return l.Figures().Refused > 0 })
	// Who is dialled meanwhile is not to blame: the end of that says that the want was ours.
	l.Tell("dial " + l.Addrs()[0])
	eventually(t, "the dial that had no descriptor", func() bool {
		return e.count(func(i statemachine.Input) bool {
			return i.Kind == statemachine.ConnClosed && i.Conn == statemachine.Dialed+1 && i.LocalFailure
		}) == 1
	})
	fmt.Fprint(old, "y")
	if _, err := io.ReadFull(old, make([]byte, 1)); err != nil {
		t.Fatal("a standing connection suffered:", err)
	}
	for _, f := range held {
		f.Close()
	}
	restore()
	eventually(t, "a new connection is served again", func() bool {
		n, err := net.Dial("tcp", l.Addrs()[0])
		if err != nil {
			return false
		}
		defer n.Close()
		_ = n.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(n, "z")
		_, err = io.ReadFull(n, make([]byte, 1))
		return err == nil
	})
}

func TestReplaceIsWholeOrNothing(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for _, text := range []string{"one", "two"} {
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	files, _ := os.ReadDir(dir)
	if string(data) != "two" || err != nil || len(files) != 1 {
		t.Fatal(string(data), err, files)
	}
	if err := Replace(filepath.Join(dir, "no", "f"), nil); err == nil || !strings.Contains(err.Error(), "replace") {
		t.Fatal(err)
	}
}

// Past the bound nobody is accepted, and the next one is as soon as one has ended; dialled ones count.
func TestConnectionsAreBounded(t *testing.T) {
	l, e := start(t, Bootstrap{MostConns: 3})
	opened := func() int {
		return e.count(func(i statemachine.Input) bool { return i.Kind == statemachine.ConnOpened })
	}
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	l.Tell("dial " + far.Addr().String())
	eventually(t, "the dialled one stands", func() bool { return opened() == 1 })
	var all []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addrs()[0])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
	}
	eventually(t, "two are accepted beside it", func() bool { return opened() == 3 })
	l.Tell("wake") // what is past the bound has had every chance by the time that this has come round
	eventually(t, "it woke", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.wakes == 1 })
	if n := opened(); n != 3 {
		t.Fatalf("%d stand, 3 may", n)
	}
	for i := range 3 {
		all[i].Close()
		eventually(t, "the next is accepted", func() bool { return opened() == min(4+i, 6) })
	}
}
