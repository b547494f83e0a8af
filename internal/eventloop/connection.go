package eventloop

import (
	"context"
	"fmt"

	"github.com/panjf2000/gnet/v2"

	"gingerfork/internal/statemachine"
)

// connection is one connection, from accept or dial until it is closed. Each group of fields is owned by one goroutine.
type connection struct {
	// Set at creation and never changed.
	id         statemachine.Conn
	listener   int                // index into Bootstrap.Listen; 0 if the connection was dialed
	cancelDial context.CancelFunc // cancels the dial; nil if the connection was accepted

	// Set by OnOpen before ConnOpened is enqueued, and never changed afterwards.
	gnetConn gnet.Conn

	// Owned by the machine's goroutine.
	opened   bool // ConnOpened was passed to the machine
	released bool // the machine closed or aborted the connection, and gets no further input for it

	// Owned by the connection's event loop.
	slowReader bool // the connection was reset because its peer did not read
	closed     bool // gnet has closed the connection, so another one may already use its file descriptor
}

// connectionTask is an action on a connection that the connection's event loop carries out.
type connectionTask struct {
	connection *connection
	kind       statemachine.ActionKind // ActionWrite, ActionClose or ActionAbort
	data       []byte                  // bytes to send; set for ActionWrite
}

// applyAction carries out one action requested by the machine. It runs on the machine's goroutine.
func (l *Loop) applyAction(action statemachine.Action) error {
	if action.Kind == statemachine.ActionDial {
		l.startDial(action.Conn, action.Addr)
		return nil
	}
	conn := l.connections[action.Conn]
	if conn == nil || conn.released {
		return nil
	}
	if action.Kind != statemachine.ActionWrite {
		conn.released = true
		delete(l.connections, action.Conn)
	}
	if !conn.opened {
		if conn.released {
			// Canceling releases the descriptor of the dial immediately. If the connection has just been opened,
			// trackConnection closes it.
			conn.cancelDial()
		}
		return nil
	}
	err := l.submit(connectionTask{connection: conn, kind: action.Kind, data: action.Data})
	if err != nil && l.ctx.Err() == nil {
		return fmt.Errorf("submit a task to an event loop: %w", err)
	}
	return nil
}

// submit queues a task for its connection's event loop. Tasks of one event loop run in the order of submission. gnet alone
// does not guarantee that: it defers tasks that are submitted while many are queued, and may run later ones first.
func (l *Loop) submit(task connectionTask) error {
	eventLoop := task.connection.gnetConn.EventLoop()
	l.tasksMu.Lock()
	waiting := len(l.tasks[eventLoop])
	l.tasks[eventLoop] = append(l.tasks[eventLoop], task)
	l.tasksMu.Unlock()
	if waiting > 0 {
		return nil // the run requested for the first queued task also runs this one
	}
	return eventLoop.Execute(l.ctx, gnet.RunnableFunc(func(context.Context) error {
		l.tasksMu.Lock()
		tasks := l.tasks[eventLoop]
		l.tasks[eventLoop] = nil
		l.tasksMu.Unlock()
		for _, task := range tasks {
			l.runTask(task)
		}
		return nil
	}))
}

// runTask carries out one task, on the event loop of its connection.
func (l *Loop) runTask(task connectionTask) {
	conn := task.connection
	// The connection may have been closed since the task was submitted. gnet writes to the descriptor number regardless of
	// which connection uses it now.
	if conn.closed {
		return
	}
	switch task.kind {
	case statemachine.ActionWrite:
		l.write(conn, task.data)
	case statemachine.ActionAbort:
		resetConnection(conn.gnetConn)
	default:
		_ = conn.gnetConn.Close() // the machine gets no more input for it, and the error has no diagnostic value
	}
}

// write sends data. It resets the connection if its peer reads so slowly that more than MaxWriteBuffer would be buffered.
func (l *Loop) write(conn *connection, data []byte) {
	if conn.slowReader {
		return
	}
	if conn.gnetConn.OutboundBuffered()+len(data) > l.config.MaxWriteBuffer {
		conn.slowReader = true
		l.recordSlowReader()
		resetConnection(conn.gnetConn)
		return
	}
	_, _ = conn.gnetConn.Write(data) // gnet closes the connection after a failed write, which OnClose reports
}

// resetConnection closes a connection and discards unsent data.
func resetConnection(gnetConn gnet.Conn) {
	_ = gnetConn.SetLinger(0) // if this fails, the close is orderly instead of a reset, which is acceptable
	_ = gnetConn.Close()      // OnClose reports the close
}
