package eventloop

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"

	"gingerfork/internal/statemachine"
)

// countingMachine counts the bytes that it receives, by step and by connection. The step with a command pauses until resumeOnce
// is called.
type countingMachine struct {
	mu            sync.Mutex
	bytesByConn   map[statemachine.Conn]int
	closedReasons map[statemachine.Conn]string
	mostInStep    int // most bytes of one step

	paused     chan struct{}
	resume     chan struct{}
	resumeOnce func() // closes resume
}

func newCountingMachine() *countingMachine {
	m := &countingMachine{
		bytesByConn: map[statemachine.Conn]int{}, closedReasons: map[statemachine.Conn]string{},
		paused: make(chan struct{}, 1), resume: make(chan struct{}),
	}
	m.resumeOnce = sync.OnceFunc(func() { close(m.resume) })
	return m
}

func (m *countingMachine) Step(_ statemachine.Seconds, in []statemachine.Input, _ *statemachine.Effects) {
	inStep, pause := 0, false
	m.mu.Lock()
	for _, input := range in {
		switch input.Kind {
		case statemachine.ConnData:
			m.bytesByConn[input.Conn] += len(input.Data)
			inStep += len(input.Data)
		case statemachine.ConnClosed:
			m.closedReasons[input.Conn] = input.Text
		case statemachine.OperatorCommand:
			pause = true
		}
	}
	m.mostInStep = max(m.mostInStep, inStep)
	m.mu.Unlock()
	if pause {
		m.paused <- struct{}{}
		<-m.resume
	}
}

// received returns how many bytes of a connection the machine has got, and why the connection was closed, "" if it is open.
func (m *countingMachine) received(conn statemachine.Conn) (bytes int, closedReason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytesByConn[conn], m.closedReasons[conn]
}

// startPaused starts a loop whose machine is paused until the test calls resumeOnce.
func startPaused(t *testing.T) (*Loop, *countingMachine) {
	t.Helper()
	machine := newCountingMachine()
	loop := startLoop(t, Bootstrap{Machine: machine})
	t.Cleanup(machine.resumeOnce) // before startLoop's cleanup, which waits for the step
	loop.SendCommand("pause")
	<-machine.paused
	return loop, machine
}

// flood opens a connection and writes to it until the test closes it.
func flood(t *testing.T, loop *Loop) {
	t.Helper()
	conn := dial(t, loop.Addrs()[0])
	go conn.Write(make([]byte, 8<<20)) // far more than the kernel's buffers take
}

// waitingBytes returns how many received bytes wait for the machine.
func waitingBytes(loop *Loop) (total int) {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	for conn := range loop.open {
		total += conn.input.pendingBytes
	}
	return total
}

// While the machine is busy, a connection that sends at full speed fills its own buffer only. Afterwards no step handles much of it, and
// another connection's data is handled in the first step. Guards against the failure of issue 45 (b): one connection filled the
// queue, all others were read no more, and one step answered megabytes of requests.
func TestFloodDelaysNoOtherConnection(t *testing.T) {
	loop, machine := startPaused(t)
	flood(t, loop)
	eventually(t, "reading is paused", func() bool { return loop.Stats().ReadPauses > 0 })
	if waiting := waitingBytes(loop); waiting > maxConnectionBuffer {
		t.Errorf("%d bytes of one connection wait, at most %d wanted", waiting, maxConnectionBuffer)
	}
	other := dial(t, loop.Addrs()[0])
	other.Write([]byte("x"))
	eventually(t, "the other connection is read", func() bool { return waitingBytes(loop) > maxConnectionBuffer })
	machine.resumeOnce()
	eventually(t, "the other connection's data is handled", func() bool { n, _ := machine.received(2); return n == 1 })
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if limit := maxStepBytes + maxConnectionBuffer; machine.mostInStep > limit {
		t.Errorf("a step handled %d bytes, at most %d wanted", machine.mostInStep, limit)
	}
}

// Many connections at full speed share what may wait, and take turns: a step handles a part of each.
func TestManyFloodsTakeTurns(t *testing.T) {
	const floods = 40
	loop, machine := startPaused(t)
	for range floods {
		flood(t, loop)
	}
	eventually(t, "all connections are paused", func() bool { return loop.Stats().ReadPauses >= floods })
	if waiting := waitingBytes(loop); waiting > defaultMaxPendingInput {
		t.Errorf("%d bytes wait, at most %d wanted", waiting, defaultMaxPendingInput)
	}
	machine.resumeOnce()
	eventually(t, "each connection has had a turn", func() bool {
		for conn := range statemachine.Conn(floods) {
			if n, _ := machine.received(conn + 1); n == 0 {
				return false
			}
		}
		return true
	})
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if limit := maxStepBytes + maxConnectionBuffer; machine.mostInStep > limit {
		t.Errorf("a step handled %d bytes, at most %d wanted", machine.mostInStep, limit)
	}
}

// A connection whose peer doesn't read the answers is not read either, so that few answers wait for it. When its peer reads, all
// come. Guards against the failure of issue 45 (b): answers that nobody read took over 500 MB.
func TestUnreadAnswersPauseReading(t *testing.T) {
	loop, _ := startEcho(t, Bootstrap{MaxWriteBuffer: 1 << 20})
	conn := dial(t, loop.Addrs()[0])
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // far more than the kernel's buffers take
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(sent)
		written <- err
	}()
	eventually(t, "answers wait", func() bool { return loop.unsentBytes.Load() > maxConnectionBuffer })
	other := dial(t, loop.Addrs()[0])
	for range 500 { // far more steps than it takes to exceed the limits
		mustEcho(t, other, "x")
	}
	if unsent, limit := loop.unsentBytes.Load(), int64(2*maxConnectionBuffer+maxStepBytes); unsent > limit {
		t.Errorf("%d bytes wait for the peer, at most %d wanted", unsent, limit)
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("reading the answers ends with %v; all %d bytes wanted", err, len(sent))
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
	if closed := loop.Stats().SlowReadersClosed; closed > 0 {
		t.Errorf("%d connections were reset for slow reading", closed)
	}
}

// If a peer is gone while its data waits, what the kernel still holds of it is not read, and the close is reported at once. Guards
// against the failure of issue 45 (c): requests of a client that had left were handled afterwards.
func TestInputOfPeerThatLeftIsDropped(t *testing.T) {
	for name, leave := range map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"close": func(conn *net.TCPConn) { conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			loop, machine := startPaused(t)
			conn := dial(t, loop.Addrs()[0]).(*net.TCPConn)
			const sent = maxConnectionBuffer + 32<<10 // what the loop doesn't read fits into the kernel's buffers
			conn.Write(make([]byte, sent))
			eventually(t, "reading is paused", func() bool { return loop.Stats().ReadPauses > 0 })
			leave(conn)
			eventually(t, "the close has arrived", func() bool {
				loop.mu.Lock()
				defer loop.mu.Unlock()
				for open := range loop.open {
					if !open.peerHasClosed() {
						return false
					}
				}
				return true
			})
			machine.resumeOnce()
			eventually(t, "the close is reported", func() bool { _, reason := machine.received(1); return reason != "" })
			if n, _ := machine.received(1); n > maxConnectionBuffer {
				t.Errorf("the machine got %d of %d bytes after the peer had left, at most %d wanted", n, sent, maxConnectionBuffer)
			}
		})
	}
}

// What a peer sent before it closed its connection in an orderly way is handled, if it wasn't too much to wait.
func TestLastInputBeforeCloseIsHandled(t *testing.T) {
	loop, machine := startPaused(t)
	conn := dial(t, loop.Addrs()[0])
	conn.Write(make([]byte, 1000))
	conn.Close()
	machine.resumeOnce()
	eventually(t, "the close is reported", func() bool { _, reason := machine.received(1); return reason == reasonClosedByPeer })
	if n, _ := machine.received(1); n != 1000 {
		t.Errorf("the machine got %d bytes, 1000 wanted", n)
	}
}
