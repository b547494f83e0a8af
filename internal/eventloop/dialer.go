package eventloop

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"gingerfork/internal/statemachine"
)

// Reasons of a failed dial, as reported to the machine in Input.Text. The simulated network in internal/simnet reports the
// same texts.
const (
	reasonUnreachable = "can't be reached"
	reasonRefused     = "refused"
	reasonTimeout     = "no answer"
)

// localResourceErrors are dial errors caused by an exhausted resource of this process or host. They say nothing about the
// dialed address.
var localResourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// startDial starts dialing a connection and returns without waiting. It runs on the machine's goroutine.
func (l *Loop) startDial(id statemachine.Conn, addr string) {
	ctx, cancel := context.WithCancel(l.ctx)
	conn := newConnection(id, l)
	conn.cancelDial = cancel
	l.connections[id] = conn
	l.mu.Lock()
	l.connectionCount++
	l.mu.Unlock()
	l.background.Go(func() { l.dial(ctx, conn, addr) })
}

// dial opens a connection, or reports to the machine why that failed.
func (l *Loop) dial(ctx context.Context, conn *connection, addr string) {
	defer conn.cancelDial()
	if l.config.RewriteDialAddress != nil {
		addr = l.config.RewriteDialAddress(addr)
	}
	dialer := net.Dialer{Timeout: l.config.DialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		if err = l.startConnection(conn, dialed.(*net.TCPConn)); err == nil {
			return
		}
		_ = dialed.Close() // nothing was sent on it
	}
	l.releaseConnection()
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.input.closed, conn.input.closeReason, conn.input.localFailure = true, dialFailureReason(err), isLocalResourceError(err)
	l.markReady(conn)
	l.wakeMachine()
}

// dialFailureReason returns the reason for a dial error that is reported to the machine.
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

// isLocalResourceError reports whether a dial failed because a local resource is exhausted.
func isLocalResourceError(err error) bool {
	for _, resourceError := range localResourceErrors {
		if errors.Is(err, resourceError) {
			return true
		}
	}
	return false
}
