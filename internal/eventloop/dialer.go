package eventloop

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"gingerfork/internal/statemachine"
)

// The reasons that the machine is given for a failed dial. The simulated network of internal/simnet gives the same.
const (
	reasonUnreachable = "can't be reached"
	reasonRefused     = "refused"
	reasonTimeout     = "no answer"
)

// localShortages are the errors of a dial that failed for want of a resource of this process or machine. They say nothing
// about the address that was dialed.
var localShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// startDial begins to open a connection. It runs on the machine's goroutine and does not wait for the dial.
func (l *Loop) startDial(id statemachine.Conn, addr string) {
	ctx, cancel := context.WithCancel(l.ctx)
	conn := &connection{id: id, cancelDial: cancel}
	l.connections[id] = conn
	l.mu.Lock()
	l.connectionCount++
	l.mu.Unlock()
	l.background.Go(func() { l.dial(ctx, conn, addr) })
}

// dial opens a connection and hands it to an event loop, or reports why that failed.
func (l *Loop) dial(ctx context.Context, conn *connection, addr string) {
	defer conn.cancelDial()
	if l.config.RewriteDialAddress != nil {
		addr = l.config.RewriteDialAddress(addr)
	}
	dialer := net.Dialer{Timeout: l.config.DialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_, err = l.client.EnrollContext(dialed, conn) // it closes dialed
	}
	if err == nil {
		return // OnOpen reports the connection
	}
	l.releaseConnection()
	l.enqueue(message{
		input: statemachine.Input{
			Kind:         statemachine.ConnClosed,
			Conn:         conn.id,
			Text:         dialFailureReason(err),
			LocalFailure: isLocalShortage(err),
		},
		connection: conn,
	})
}

func dialFailureReason(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reasonRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	default:
		return reasonUnreachable
	}
}

func isLocalShortage(err error) bool {
	for _, shortage := range localShortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
