package eventloop

import (
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gingerfork/internal/statemachine"
)

// A connection whose peer does not read is reset when MaxWriteBuffer is exceeded. Other connections are not affected.
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
		t.Fatalf("SlowReadersClosed is %d after 1 slow reader was reset", n)
	}
}

// pausingMachine pauses inside the step that receives the first command until the test resumes it, and then emits effects.
// A test uses it to make events happen between the machine's decision and the execution of its actions.
type pausingMachine struct {
	conns  []statemachine.Conn
	paused chan struct{} // the step has paused
	resume chan struct{}
	decide func(out *statemachine.Effects, conns []statemachine.Conn) // called once, after the pause
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

// queuedConnections returns the connections of the inputs of the given kind that are queued for the machine.
func queuedConnections(loop *Loop, kind statemachine.InputKind) (queued []*connection) {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	for _, conn := range loop.ready {
		if kind == statemachine.ConnOpened && conn.input.opened || kind == statemachine.ConnClosed && conn.input.closed {
			queued = append(queued, conn)
		}
	}
	return queued
}

// descriptor returns the file descriptor of a connection.
func descriptor(t *testing.T, conn *connection) (number int) {
	t.Helper()
	if err := conn.raw.Control(func(descriptor uintptr) { number = int(descriptor) }); err != nil {
		t.Fatal(err)
	}
	return number
}

// Connections are closed after the machine has decided to write to them or abort them, and before that is carried out, and
// new connections reuse their descriptors. The new connections must receive no byte of theirs, and must be closed in an
// orderly way, not by a reset meant for a closed connection.
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
			// Runs before startLoop's cleanup, which would otherwise wait for the paused step if the test fails.
			t.Cleanup(func() { close(machine.resume) })
			old, descriptors := openConnections(t, loop, 24)
			loop.SendCommand("pause")
			<-machine.paused
			for _, conn := range old {
				conn.Close()
			}
			eventually(t, "the closes of all connections are queued", func() bool {
				return len(queuedConnections(loop, statemachine.ConnClosed)) == len(old)
			})
			fresh := openUntilReused(t, loop, descriptors)
			opened := queuedConnections(loop, statemachine.ConnOpened)
			machine.resume <- struct{}{}
			// The effects of the paused step are submitted before the next step, so they are carried out before these closes.
			loop.RunBetweenSteps(func() {
				for _, c := range opened {
					loop.closeConnection(c)
				}
			})
			for i, conn := range fresh {
				conn.SetReadDeadline(time.Now().Add(testTimeout))
				got, err := io.ReadAll(conn)
				if len(got) > 0 || err != nil {
					t.Errorf("connection %d received %q and read error %v, want no data and an orderly close", i, got, err)
				}
			}
		})
	}
}

// openConnections opens connections to a loop, waits until the loop has accepted all of them, and returns them with the
// loop's descriptors.
func openConnections(t *testing.T, loop *Loop, count int) (conns []net.Conn, descriptors map[int]bool) {
	t.Helper()
	for range count {
		conns = append(conns, dial(t, loop.Addrs()[0]))
	}
	descriptors = map[int]bool{}
	eventually(t, "all connections are accepted", func() bool {
		accepted := 0
		runAndWait(loop, func() {
			accepted = len(loop.connections)
			clear(descriptors)
			for _, c := range loop.connections {
				descriptors[descriptor(t, c)] = true
			}
		})
		return accepted == count
	})
	return conns, descriptors
}

// openUntilReused opens connections until two of them reuse descriptors of closed connections. It is called while the
// machine is paused.
func openUntilReused(t *testing.T, loop *Loop, descriptors map[int]bool) (fresh []net.Conn) {
	t.Helper()
	reused := func() (n int) {
		for _, c := range queuedConnections(loop, statemachine.ConnOpened) {
			if descriptors[descriptor(t, c)] {
				n++
			}
		}
		return n
	}
	for len(fresh) < 64 && reused() < 2 {
		if len(fresh)%2 == 1 { // the client sides take descriptors, too: shift which side gets which of the free ones
			file, err := os.Open(os.DevNull)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { file.Close() })
		}
		fresh = append(fresh, dial(t, loop.Addrs()[0]))
		eventually(t, "the new connection is accepted", func() bool {
			return len(queuedConnections(loop, statemachine.ConnOpened)) == len(fresh)
		})
	}
	if reused() < 2 {
		t.Fatalf("of %d new connections %d reuse a descriptor, want 2", len(fresh), reused())
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

// The writes of a connection must keep their order when its peer reads slowly, so that a part of them is sent by a goroutine of its own:
// each push builds on the previous one.
func TestWritesKeepTheirOrderWhenThePeerReadsSlowly(t *testing.T) {
	loop := startLoop(t, Bootstrap{Machine: &broadcastMachine{}, MaxWriteBuffer: 64 << 20, MaxUnsent: 128 << 20})
	conn := dial(t, loop.Addrs()[0])
	eventually(t, "the connection is accepted", func() bool {
		accepted := false
		runAndWait(loop, func() { accepted = len(loop.connections) == 1 })
		return accepted
	})
	const writes, size = 400, 100_000 // far more than the kernel's buffers take
	for number := range writes {
		loop.SendCommand(strings.Repeat(string(rune('a'+number%26)), size))
	}
	runAndWait(loop, func() {})
	got := make([]byte, size)
	for number := range writes {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadFull(conn, got); err != nil {
			t.Fatal(err)
		}
		if want := string(rune('a' + number%26)); strings.Count(string(got), want) != size {
			t.Fatalf("write %d is not %q alone", number, want)
		}
	}
}
