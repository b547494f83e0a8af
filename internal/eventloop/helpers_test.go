package eventloop

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// patience bounds the wait for a condition; a slow machine may take long.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	// gnet keeps a pool of workers for the life of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"), goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

// observable is the state of a machine that a test waits on. The machine changes it under mu in each step and broadcasts
// changed afterwards.
type observable struct {
	mu      sync.Mutex
	changed sync.Cond
}

func (o *observable) init() { o.changed.L = &o.mu }

// await waits until condition holds; condition runs under mu.
func (o *observable) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	expired := false
	timer := time.AfterFunc(patience, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		expired = true
		o.changed.Broadcast()
	})
	defer timer.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for !condition() {
		if expired {
			t.Fatal("never: " + what)
		}
		o.changed.Wait()
	}
}

// eventually polls a condition that nothing announces.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// echoMachine sends back what it receives, and obeys commands.
type echoMachine struct {
	observable
	inputs      []statemachine.Input // without data
	conns       []statemachine.Conn
	wakeUps     int
	wakeAt      statemachine.Seconds // 0: no timer
	writeOnOpen int                  // bytes written when a connection opens
}

func newEchoMachine() *echoMachine {
	m := &echoMachine{}
	m.init()
	return m
}

func (m *echoMachine) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.Broadcast()
	if m.wakeAt > 0 && now >= m.wakeAt {
		m.wakeUps++
		m.wakeAt = 0
	}
	for _, input := range in {
		data := input.Data
		input.Data = nil
		m.inputs = append(m.inputs, input)
		switch input.Kind {
		case statemachine.ConnOpened:
			m.conns = append(m.conns, input.Conn)
			for n := 0; n < m.writeOnOpen; n += 1 << 16 {
				out.Write(input.Conn, make([]byte, 1<<16))
			}
		case statemachine.ConnData:
			out.Write(input.Conn, data)
		case statemachine.OperatorCommand:
			m.obey(now, input.Text, out)
		}
	}
	if m.wakeAt > 0 {
		out.WakeBy(m.wakeAt)
	}
}

func (m *echoMachine) obey(now statemachine.Seconds, command string, out *statemachine.Effects) {
	verb, argument, _ := strings.Cut(command, " ")
	switch verb {
	case "wake":
		m.wakeAt = now + 0.01
	case "dial":
		out.Dial(statemachine.DialedBit+1, argument)
	case "close":
		out.Close(m.conns[len(m.conns)-1])
	case "save":
		out.SaveFile("x", []byte(argument))
	case "fail":
		out.Failure = argument
	case "stop":
		out.Stop = true
	case "trace":
		out.Record(trace.Record{Time: now, Kind: argument})
	}
}

// countLocked counts the inputs that match; the caller holds mu.
func (m *echoMachine) countLocked(matches func(statemachine.Input) bool) (n int) {
	for _, input := range m.inputs {
		if matches(input) {
			n++
		}
	}
	return n
}

// count counts the inputs that match.
func (m *echoMachine) count(matches func(statemachine.Input) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countLocked(matches)
}

// awaitCount waits until exactly n inputs match.
func (m *echoMachine) awaitCount(t *testing.T, what string, n int, matches func(statemachine.Input) bool) {
	t.Helper()
	m.await(t, what, func() bool { return m.countLocked(matches) == n })
}

// awaitWakeUp waits for the machine's first timer.
func (m *echoMachine) awaitWakeUp(t *testing.T) {
	t.Helper()
	m.await(t, "the wake-up", func() bool { return m.wakeUps == 1 })
}

func isOpened(input statemachine.Input) bool { return input.Kind == statemachine.ConnOpened }

func isClosed(input statemachine.Input) bool { return input.Kind == statemachine.ConnClosed }

// startLoop starts a loop, which ends with the test. By default it listens on one loopback port.
func startLoop(t *testing.T, config Bootstrap) *Loop {
	t.Helper()
	if config.Listen == nil {
		config.Listen = []string{"127.0.0.1:0"}
	}
	loop, err := Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Stop(); _ = loop.Wait() })
	return loop
}

// startEcho starts a loop that drives an echoMachine.
func startEcho(t *testing.T, config Bootstrap) (*Loop, *echoMachine) {
	t.Helper()
	machine := newEchoMachine()
	config.Machine = machine
	return startLoop(t, config), machine
}

// runAndWait runs a function between two steps and waits for it.
func runAndWait(loop *Loop, run func()) {
	done := make(chan struct{})
	loop.RunBetweenSteps(func() { run(); close(done) })
	<-done
}

// dial connects to a loop. The connection has a deadline: what never arrives fails the test by its name, not the whole run
// by its time-out.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(time.Minute))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// mustEcho sends a text and expects it back.
func mustEcho(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	fmt.Fprint(conn, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != text {
		t.Fatalf("sent %q, got %q back and %v", text, got, err)
	}
}
