package eventloop

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Bounds on the delay before a listener accepts again after an error; the delay doubles with each error in a row.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
)

// listen opens a listener for each configured address. If one fails, it closes the others and returns the error.
func (l *Loop) listen() error {
	for _, addr := range l.config.Listen {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			l.closeListeners()
			return fmt.Errorf("listen on %s: %w", addr, err)
		}
		l.listeners = append(l.listeners, listener)
	}
	return nil
}

func (l *Loop) closeListeners() {
	for _, listener := range l.listeners {
		_ = listener.Close() // the address is released in any case, and no data can be lost
	}
}

// Addrs returns the addresses listened on, in the order of Bootstrap.Listen.
func (l *Loop) Addrs() []string {
	addrs := make([]string, 0, len(l.listeners))
	for _, listener := range l.listeners {
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs
}

// acceptConnections accepts connections on one listener until the loop ends. After an error it backs off and tries again: a
// shortage of descriptors must not end it.
func (l *Loop) acceptConnections(index int, listener net.Listener) {
	backoff := minAcceptBackoff
	for {
		accepted, err := listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				_ = accepted.Close() // unused: nothing was written to it
			}
			return
		}
		if err != nil {
			l.recordConnectionFailure("accept", err)
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		l.register(index, accepted)
	}
}

// register begins to read from an accepted connection, as soon as MaxConnections allows one more.
func (l *Loop) register(listenerIndex int, accepted net.Conn) {
	conn := l.reserveAccepted(listenerIndex)
	if err := l.startConnection(conn, accepted.(*net.TCPConn)); err != nil {
		_ = accepted.Close() // nothing was sent on it
		l.releaseConnection()
		if !errors.Is(err, errStopping) {
			l.recordConnectionFailure("start", err)
		}
	}
}

// reserveAccepted waits until MaxConnections allows one more connection, then counts it and assigns its number.
func (l *Loop) reserveAccepted(listenerIndex int) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.config.MaxConnections > 0 && l.connectionCount >= l.config.MaxConnections && !l.stopping {
		l.connectionFreed.Wait()
	}
	l.connectionCount++
	l.lastAccepted++
	conn := newConnection(l.lastAccepted, l)
	conn.listener = listenerIndex
	return conn
}

// releaseConnection removes from the count a connection that was closed or could not be opened.
func (l *Loop) releaseConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectionCount--
	l.connectionFreed.Broadcast()
}
