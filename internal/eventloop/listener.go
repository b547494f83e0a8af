package eventloop

import (
	"fmt"
	"net"
	"time"
)

const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
)

// listen opens a listener for each configured address, or none.
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
		_ = listener.Close() // the address is given back in any case, and nothing else is lost
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

// acceptConnections accepts on one listener until the loop ends. A shortage of descriptors must not end it, as it would
// end gnet's own acceptor and the whole engine: it backs off until some have come back.
func (l *Loop) acceptConnections(index int, listener net.Listener) {
	backoff := minAcceptBackoff
	for {
		accepted, err := listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				_ = accepted.Close() // nothing was written to it
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

// register hands an accepted connection to an event loop once the bound on connections allows it.
func (l *Loop) register(listenerIndex int, accepted net.Conn) {
	conn := l.reserveAccepted(listenerIndex)
	// EnrollContext takes a duplicate of the descriptor and closes accepted, whether it succeeds or not.
	if _, err := l.client.EnrollContext(accepted, conn); err != nil {
		l.releaseConnection()
		l.recordConnectionFailure("enroll", err)
	}
}

// reserveAccepted waits until the bound on connections allows one more, and counts and numbers it.
func (l *Loop) reserveAccepted(listenerIndex int) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.config.MaxConnections > 0 && l.connectionCount >= l.config.MaxConnections && !l.stopping {
		l.spaceFreed.Wait()
	}
	l.connectionCount++
	l.lastAccepted++
	return &connection{id: l.lastAccepted, listener: listenerIndex}
}

// releaseConnection counts down a connection that was closed, or that could not be opened.
func (l *Loop) releaseConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connectionCount--
	l.spaceFreed.Broadcast()
}
