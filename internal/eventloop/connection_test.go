package eventloop

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"gingerfork/internal/statemachine"
)

// A peer that does not read is cut off at a bound, and no other connection suffers.
func TestSlowReaderIsReset(t *testing.T) {
	machine := newEchoMachine()
	machine.writeOnOpen = 64 << 20
	loop := startLoop(t, Bootstrap{Machine: machine, MaxWriteBuffer: 1 << 20})
	dial(t, loop.Addrs()[0])
	machine.awaitCount(t, "the reset", 1, func(input statemachine.Input) bool {
		return isClosed(input) && input.Text == reasonSlowReader
	})
	machine.mu.Lock()
	machine.writeOnOpen = 0
	machine.mu.Unlock()
	mustEcho(t, dial(t, loop.Addrs()[0]), "x")
	if n := loop.Stats().SlowReadersClosed; n != 1 {
		t.Fatalf("%d slow readers are counted, 1 was closed", n)
	}
}

// pausingMachine pauses inside a step at a command, until the test resumes it, and then emits effects. So a test can have
// events happen between the machine's decision and its execution.
type pausingMachine struct {
	conns  []statemachine.Conn
	paused chan struct{} // the step has paused
	resume chan struct{}
	decide func(out *statemachine.Effects, conns []statemachine.Conn) // runs after the pause, once
}

func newPausingMachine(decide func(out *statemachine.Effects, conns []statemachine.Conn)) *pausingMachine {
	return &pausingMachine{paused: make(chan struct{}), resume: make(chan struct{}), decide: decide}
}

func (m *pausingMachine) Step(_ statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch {
		case input.Kind == statemachine.ConnOpened:
			m.conns = append(m.conns, input.Conn)
		case input.Kind == statemachine.OperatorCommand && m.decide != nil:
			conns, decide := slices.Clone(m.conns), m.decide
			m.decide = nil
			m.paused <- struct{}{}
			<-m.resume
			decide(out, conns)
		}
	}
}

// queuedConnections returns the connections of the inputs of a kind that wait for the machine.
func queuedConnections(loop *Loop, kind statemachine.InputKind) (queued []*connection) {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	for _, m := range loop.queue {
		if m.input.Kind == kind && m.connection != nil {
			queued = append(queued, m.connection)
		}
	}
	return queued
}

// Connections close after the machine decided to write to them and before that is done, and others get their descriptors.
// No byte may reach those, and their close must be the one that was asked for, not a reset meant for a closed connection.
func TestTasksOfClosedConnectionsReachNoOtherConnection(t *testing.T) {
	for name, act := range map[string]func(out *statemachine.Effects, conn statemachine.Conn){
		"write": func(out *statemachine.Effects, conn statemachine.Conn) { out.Write(conn, []byte("not for you")) },
		"abort": func(out *statemachine.Effects, conn statemachine.Conn) { out.Abort(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			machine := newPausingMachine(func(out *statemachine.Effects, conns []statemachine.Conn) {
				for _, conn := range conns {
					act(out, conn)
				}
			})
			loop := startLoop(t, Bootstrap{Machine: machine})
			t.Cleanup(func() { close(machine.resume) }) // runs before the loop's end: a test that fails must not wait for the step
			old, descriptors := openConnections(t, loop, 24)
			loop.SendCommand("pause")
			<-machine.paused
			for _, conn := range old {
				conn.Close()
			}
			eventually(t, "all their ends are queued", func() bool {
				return len(queuedConnections(loop, statemachine.ConnClosed)) == len(old)
			})
			fresh := openUntilReused(t, loop, descriptors)
			opened := queuedConnections(loop, statemachine.ConnOpened)
			machine.resume <- struct{}{}
			// The effects of the paused step are submitted before the next step, and so are done before these closes.
			loop.RunBetweenSteps(func() {
				for _, c := range opened {
					loop.closeUnwanted(c)
				}
			})
			for i, conn := range fresh {
				conn.SetReadDeadline(time.Now().Add(patience))
				got, err := io.ReadAll(conn)
				if len(got) > 0 || err != nil {
					t.Errorf("connection %d got %q of another's, and its end was %v", i, got, err)
				}
			}
		})
	}
}

// openConnections opens connections to a loop, waits until all are open there, and returns the loop's descriptors of them.
func openConnections(t *testing.T, loop *Loop, count int) (conns []net.Conn, descriptors map[int]bool) {
	t.Helper()
	for range count {
		conns = append(conns, dial(t, loop.Addrs()[0]))
	}
	descriptors = map[int]bool{}
	eventually(t, "all are accepted", func() bool {
		accepted := 0
		runAndWait(loop, func() {
			accepted = len(loop.connections)
			clear(descriptors)
			for _, c := range loop.connections {
				descriptors[c.gnetConn.Fd()] = true
			}
		})
		return accepted == count
	})
	return conns, descriptors
}

// openUntilReused opens connections until two of them have got descriptors of closed ones. It runs while the machine pauses.
func openUntilReused(t *testing.T, loop *Loop, descriptors map[int]bool) (fresh []net.Conn) {
	t.Helper()
	reused := func() (n int) {
		for _, c := range queuedConnections(loop, statemachine.ConnOpened) {
			if descriptors[c.gnetConn.Fd()] {
				n++
			}
		}
		return n
	}
	for len(fresh) < 64 && reused() < 2 {
		if len(fresh)%2 == 1 { // the test's ends take descriptors, too: not always those that the loop's ends would get
			file, err := os.Open(os.DevNull)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { file.Close() })
		}
		fresh = append(fresh, dial(t, loop.Addrs()[0]))
		eventually(t, "it is accepted", func() bool {
			return len(queuedConnections(loop, statemachine.ConnOpened)) == len(fresh)
		})
	}
	if reused() < 2 {
		t.Fatalf("of %d new connections %d got the descriptor of a closed one", len(fresh), reused())
	}
	return fresh
}

// broadcastMachine writes the text of each command to every connection.
type broadcastMachine struct{ conns []statemachine.Conn }

func (m *broadcastMachine) Step(_ statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, input := range in {
		switch input.Kind {
		case statemachine.ConnOpened:
			m.conns = append(m.conns, input.Conn)
		case statemachine.OperatorCommand:
			for _, conn := range m.conns {
				out.Write(conn, []byte(input.Text))
			}
		}
	}
}

// gnetTaskLimit is how many tasks gnet runs before it defers those that arrive meanwhile.
const gnetTaskLimit = 1024

// An event loop with many tasks defers those that arrive, and may run later ones before them. The writes of a connection must
// keep their order even then: a push builds on the one before it.
func TestWritesKeepTheirOrderWhenManyTasksWait(t *testing.T) {
	loop := startLoop(t, Bootstrap{Machine: &broadcastMachine{}})
	conn := dial(t, loop.Addrs()[0])
	var eventLoop gnet.EventLoop
	eventually(t, "it is accepted", func() bool {
		runAndWait(loop, func() {
			for _, c := range loop.connections {
				eventLoop = c.gnetConn.EventLoop()
			}
		})
		return eventLoop != nil
	})
	paused, resume := make(chan struct{}), make(chan struct{})
	execute := func(task func()) {
		t.Helper()
		runnable := gnet.RunnableFunc(func(context.Context) error { task(); return nil })
		if err := eventLoop.Execute(context.Background(), runnable); err != nil {
			t.Fatal(err)
		}
	}
	pause := func() { paused <- struct{}{}; <-resume }
	sendAndStep := func(text string) {
		loop.SendCommand(text)
		runAndWait(loop, func() {}) // may come before the step with the command
		runAndWait(loop, func() {}) // comes after it, and so the write was submitted
	}
	execute(pause)
	<-paused
	for range gnetTaskLimit - 1 { // with the pause that follows, as many as gnet takes before it defers
		execute(func() {})
	}
	execute(pause)
	sendAndStep("first ")
	resume <- struct{}{}
	<-paused // the tasks that do nothing are done: what arrives now is run before what was deferred
	sendAndStep("second")
	resume <- struct{}{}
	conn.SetReadDeadline(time.Now().Add(patience))
	got := make([]byte, len("first second"))
	if n, err := io.ReadFull(conn, got); err != nil || string(got) != "first second" {
		t.Errorf("%q and %v", got[:n], err)
	}
}
