package eventloop

import (
	"context"
	"fmt"

	"github.com/panjf2000/gnet/v2"

	"gingerfork/internal/statemachine"
)

// connection is one connection, from its accept or dial until its end. Each group of fields belongs to one goroutine.
type connection struct {
	// Set when it is made, and never changed.
	id         statemachine.Conn
	listener   int                // index into Bootstrap.Listen; 0 when it was dialed
	cancelDial context.CancelFunc // ends its dial; nil when it was accepted

	// Set by OnOpen before ConnOpened is enqueued, and never changed after.
	gnetConn gnet.Conn

	// Owned by the machine's goroutine.
	opened   bool // the machine was handed its ConnOpened
	released bool // the machine closed or aborted it: nothing more about it is handed to the machine

	// Owned by its event loop.
	slowReader bool // it was reset because its peer did not read
	closed     bool // gnet closed it, and its descriptor may belong to another connection by now
}

// connectionTask is one action on a connection, to be done by the connection's event loop.
type connectionTask struct {
	connection *connection
	kind       statemachine.ActionKind
	data       []byte
}

// applyAction carries out one action that the machine decided on. It runs on the machine's goroutine.
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
			// The descriptor of the dial is given back at once. If the connection has just been opened, receiveOpened
			// closes it.
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

// submit queues a task for its connection's event loop. Tasks of one event loop run in the order of their submission: gnet
// alone does not keep it, because it defers what is submitted while many tasks wait and may run later ones before.
func (l *Loop) submit(task connectionTask) error {
	eventLoop := task.connection.gnetConn.EventLoop()
	l.tasksMu.Lock()
	waiting := len(l.tasks[eventLoop])
	l.tasks[eventLoop] = append(l.tasks[eventLoop], task)
	l.tasksMu.Unlock()
	if waiting > 0 {
		return nil // the run that was requested for the first waiting task does this one, too
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

// runTask does one task, on the event loop of its connection.
func (l *Loop) runTask(task connectionTask) {
	conn := task.connection
	// The connection may have been closed since the task was submitted, and gnet writes to a descriptor number without
	// regard to which connection has it now.
	if conn.closed {
		return
	}
	switch task.kind {
	case statemachine.ActionWrite:
		l.write(conn, task.data)
	case statemachine.ActionAbort:
		reset(conn.gnetConn)
	default:
		_ = conn.gnetConn.Close() // the machine no longer follows it, and gnet logs nothing that would help
	}
}

// write sends data, or resets a connection whose peer reads so slowly that more than MaxWriteBuffer would wait for it.
func (l *Loop) write(conn *connection, data []byte) {
	if conn.slowReader {
		return
	}
	if conn.gnetConn.OutboundBuffered()+len(data) > l.config.MaxWriteBuffer {
		conn.slowReader = true
		l.recordSlowReader()
		reset(conn.gnetConn)
		return
	}
	_, _ = conn.gnetConn.Write(data) // after a failed write gnet closes the connection, and OnClose reports that
}

// reset closes a connection without sending what waits for its peer.
func reset(gnetConn gnet.Conn) {
	_ = gnetConn.SetLinger(0) // without it the close is an orderly one, which is still an end
	_ = gnetConn.Close()      // OnClose reports the end, where anybody waits for it
}
