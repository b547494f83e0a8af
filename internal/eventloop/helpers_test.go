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

// testTimeout limits the wait for a condition; it is long because the host may be slow.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// observable lets a test wait for a change of a machine's state. The machine changes its state under mu in each step and
// broadcasts changed afterwards.
type observable struct {
	mu      sync.Mutex
	changed sync.Cond
}

func (o *observable) init() { o.changed.L = &o.mu }

// await waits until condition holds, and fails the test after testTimeout. condition is called with mu held.
func (o *observable) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	expired := false
	timer := time.AfterFunc(testTimeout, func() {
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
			t.Fatal("timed out waiting for: " + what)
		}
		o.changed.Wait()
	}
}

// eventually polls until condition holds, for conditions whose changes are not signaled. It fails the test after
// testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// echoMachine sends received data back, records its inputs and carries out commands.
type echoMachine struct {
	observable
	inputs      []statemachine.Input // with Data removed
	conns       []statemachine.Conn
	wakeUps     int
	wakeAt      statemachine.Seconds // 0: no timer
	writeOnOpen int                  // number of bytes written to each new connection
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
			m.runCommand(now, input.Text, out)
		}
	}
	if m.wakeAt > 0 {
		out.WakeBy(m.wakeAt)
	}
}

// runCommand carries out one command: a verb and its argument, separated by a space.
func (m *echoMachine) runCommand(now statemachine.Seconds, command string, out *statemachine.Effects) {
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

// countLocked returns the number of recorded inputs that match; the caller holds mu.
func (m *echoMachine) countLocked(matches func(statemachine.Input) bool) (n int) {
	for _, input := range m.inputs {
		if matches(input) {
			n++
		}
	}
	return n
}

// count returns the number of recorded inputs that match.
func (m *echoMachine) count(matches func(statemachine.Input) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countLocked(matches)
}

// awaitCount waits until exactly n recorded inputs match.
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

// startLoop starts a loop that is stopped at the end of the test. By default it listens on one loopback port.
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

// runAndWait runs a function between two steps of the machine and waits for it.
func runAndWait(loop *Loop, run func()) {
	done := make(chan struct{})
	loop.RunBetweenSteps(func() { run(); close(done) })
	<-done
}

// dial connects to a loop. The connection has a deadline, so that data that never arrives fails this test by name instead
// of running into the timeout of the whole test binary.
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

// mustEcho sends a text and fails the test unless it comes back.
func mustEcho(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	fmt.Fprint(conn, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != text {
		t.Fatalf("sent %q, received %q and error %v", text, got, err)
	}
}
