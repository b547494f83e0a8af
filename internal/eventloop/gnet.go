package eventloop

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"gingerfork/internal/statemachine"
)

// The reasons that the machine is given for the end of an open connection. The simulated network of internal/simnet gives
// the first two in the same words.
const (
	reasonClosedByPeer = "closed by the other side"
	reasonResetByPeer  = "reset by the other side"
	reasonSlowReader   = "it did not read what was sent"
)

// startEventLoops starts the gnet event loops that read and write.
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

// eventHandler receives gnet's events, on gnet's event loops, and turns them into inputs of the machine.
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
	h.loop.enqueue(message{
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
		data := append([]byte(nil), buffer...) // gnet reuses the buffer when this returns
		h.loop.enqueue(message{
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
	h.loop.enqueue(message{
		input:      statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn.id, Text: reason},
		connection: conn,
	})
	return gnet.None
}

// discardLogger drops gnet's own log: what matters of it is returned as errors, too.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
