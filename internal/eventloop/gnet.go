package eventloop

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"gingerfork/internal/statemachine"
)

// Reasons for the close of an open connection, as reported to the machine in Input.Text. The simulated network in
// internal/simnet reports the first two with the same texts.
const (
	reasonClosedByPeer = "closed by the other side"
	reasonResetByPeer  = "reset by the other side"
	reasonSlowReader   = "it did not read what was sent"
)

// startEventLoops starts the gnet event loops, which read from and write to the connections.
func (l *Loop) startEventLoops() error {
	client, err := gnet.NewClient(&eventHandler{loop: l},
		gnet.WithNumEventLoop(l.config.EventLoops),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogLevel(logging.FatalLevel),
		gnet.WithLogger(discardLogger{}))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return fmt.Errorf("start the event loops: %w", err)
	}
	l.client = client
	return nil
}

// eventHandler receives gnet's events on the event loops and enqueues them as inputs for the machine.
type eventHandler struct {
	gnet.BuiltinEventEngine
	loop *Loop
}

// OnOpen implements gnet.EventHandler.
func (h *eventHandler) OnOpen(gnetConn gnet.Conn) ([]byte, gnet.Action) {
	conn, ok := gnetConn.Context().(*connection)
	if !ok {
		return nil, gnet.Close
	}
	conn.gnetConn = gnetConn
	h.loop.enqueue(queueEntry{
		input:      statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn.id, Listener: conn.listener},
		connection: conn,
	})
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (h *eventHandler) OnTraffic(gnetConn gnet.Conn) gnet.Action {
	conn, ok := gnetConn.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	buffer, err := gnetConn.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if len(buffer) > 0 {
		data := append([]byte(nil), buffer...) // gnet reuses the buffer after OnTraffic returns
		h.loop.enqueue(queueEntry{
			input:      statemachine.Input{Kind: statemachine.ConnData, Conn: conn.id, Data: data},
			connection: conn,
		})
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (h *eventHandler) OnClose(gnetConn gnet.Conn, err error) gnet.Action {
	conn, ok := gnetConn.Context().(*connection)
	if !ok {
		return gnet.None
	}
	conn.closed = true
	h.loop.releaseConnection()
	reason := reasonClosedByPeer
	if conn.slowReader {
		reason = reasonSlowReader
	} else if errors.Is(err, syscall.ECONNRESET) {
		reason = reasonResetByPeer
	}
	h.loop.enqueue(queueEntry{
		input:      statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn.id, Text: reason},
		connection: conn,
	})
	return gnet.None
}

// discardLogger discards gnet's own log: relevant failures are also returned as errors.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
