package eventloop

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"gingerfork/internal/statemachine"
)

// connection is one connection, from accept or dial until it is closed. Each group of fields has one owner.
type connection struct {
	// Set at creation and never changed.
	id         statemachine.Conn
	listener   int                // index into Bootstrap.Listen; 0 if the connection was dialed
	cancelDial context.CancelFunc // cancels the dial; nil if the connection was accepted

	// Set by startConnection before ConnOpened is queued, and never changed afterwards.
	tcp *net.TCPConn
	raw syscall.RawConn // of tcp

	// Owned by the machine's goroutine.
	opened   bool // ConnOpened was passed to the machine
	released bool // the machine closed or aborted the connection, and gets no further input for it

	// Guarded by Loop.mu.
	input connectionInput

	output outputBuffer

	slowReader atomic.Bool // the connection was reset because its peer did not read
}

// newConnection returns a connection that is not open yet.
func newConnection(id statemachine.Conn, loop *Loop) *connection {
	conn := &connection{id: id}
	conn.input.room = sync.NewCond(&loop.mu)
	return conn
}

// accepted reports whether the connection was accepted, not dialed.
func (c *connection) accepted() bool { return c.id&statemachine.DialedBit == 0 }

// errStopping is returned for a connection that is opened while the loop ends.
var errStopping = errors.New("the loop is stopping")

// startConnection begins to read from a connection that was accepted or dialed. After an error the caller closes the connection.
func (l *Loop) startConnection(conn *connection, tcp *net.TCPConn) error {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	conn.tcp, conn.raw = tcp, raw
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return errStopping
	}
	l.open[conn] = true
	conn.input.opened = true
	l.markReady(conn)
	l.background.Go(func() { l.readConnection(conn) })
	l.wakeMachine()
	return nil
}

// applyAction carries out one action requested by the machine. It runs on the machine's goroutine.
func (l *Loop) applyAction(action statemachine.Action) {
	if action.Kind == statemachine.ActionDial {
		l.startDial(action.Conn, action.Addr)
		return
	}
	conn := l.connections[action.Conn]
	if conn == nil || conn.released {
		return
	}
	if action.Kind == statemachine.ActionWrite {
		if conn.opened {
			l.write(conn, action.Data)
		}
		return
	}
	conn.released = true
	delete(l.connections, action.Conn)
	l.discardInput(conn)
	switch {
	case !conn.opened:
		// Canceling releases the descriptor of the dial immediately. If the connection has just been opened, takeInputs closes
		// it.
		conn.cancelDial()
	case action.Kind == statemachine.ActionAbort:
		l.resetConnection(conn)
	default:
		l.closeWhenSent(conn)
	}
}

// resetConnection closes a connection and discards unsent data.
func (l *Loop) resetConnection(conn *connection) {
	_ = conn.tcp.SetLinger(0) // if this fails, the close is orderly instead of a reset, which is acceptable
	l.closeConnection(conn)
}

// closeConnection closes the socket of a connection, and ends a wait of its reader, which reports the close.
func (l *Loop) closeConnection(conn *connection) {
	_ = conn.tcp.Close() // the error has no diagnostic value
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.input.ended = true
	conn.input.room.Signal()
}

// closeConnections closes all open connections, and ends all waits of readers.
func (l *Loop) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.tcp.Close() // nothing more is read or sent
		conn.input.ended = true
		conn.input.room.Signal()
	}
}
