package eventloop

import (
	"sync"
	"syscall"
	"time"
)

const (
	maxWritePiece     = 64 << 10        // bytes of the largest single write
	closeFlushTimeout = 5 * time.Second // time for a peer to take what was written before the connection was closed
)

// outputBuffer holds the data that was written to a connection and that the kernel has not taken yet.
type outputBuffer struct {
	mu        sync.Mutex
	unsent    []byte
	sending   bool // a goroutine sends unsent
	closeSoon bool // the connection is to be closed once unsent is empty

	dirty bool // the connection is in Loop.dirtyOutputs; owned by the machine's goroutine
}

// write adds data to the output of a connection, which flushOutputs sends. It resets the connection if its peer reads so slowly
// that more than MaxWriteBuffer would be buffered, or more than its share if all connections together have too much. It runs on the
// machine's goroutine.
func (l *Loop) write(conn *connection, data []byte) {
	if conn.slowReader.Load() {
		return
	}
	output := &conn.output
	output.mu.Lock()
	before := len(output.unsent)
	total := l.unsentBytes.Add(int64(len(data)))
	if len(output.unsent) == 0 {
		output.unsent = data
	} else {
		output.unsent = append(output.unsent, data...)
	}
	tooMuch := len(output.unsent) > l.config.MaxWriteBuffer ||
		output.sending && before > minConnectionBuffer && total > int64(l.config.MaxUnsent)
	output.mu.Unlock()
	if tooMuch {
		conn.slowReader.Store(true)
		l.recordSlowReader()
		l.dropOutput(conn)
		l.resetConnection(conn)
		return
	}
	if !output.dirty {
		output.dirty = true
		l.dirtyOutputs = append(l.dirtyOutputs, conn)
	}
}

// flushOutputs sends what was written to connections since its last call, as far as the kernel takes it at once. The rest is sent by a
// goroutine for each connection.
func (l *Loop) flushOutputs() {
	for _, conn := range l.dirtyOutputs {
		conn.output.dirty = false
		l.flush(conn)
	}
	clear(l.dirtyOutputs)
	l.dirtyOutputs = l.dirtyOutputs[:0]
}

// flush makes one attempt to send the output of a connection, and starts a goroutine for what is left.
func (l *Loop) flush(conn *connection) {
	output := &conn.output
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.sending || len(output.unsent) == 0 {
		return
	}
	sent := 0
	// Errors show again in the goroutine that sends the rest.
	_ = conn.raw.Write(func(descriptor uintptr) (done bool) {
		n, err := syscall.Write(int(descriptor), output.unsent)
		if err == nil {
			sent = n
		}
		return true
	})
	l.discardSent(output, sent)
	if len(output.unsent) > 0 {
		output.sending = true
		l.background.Go(func() { l.sendRest(conn) })
	}
}

// discardSent removes sent bytes from a buffer, whose lock is held.
func (l *Loop) discardSent(output *outputBuffer, sent int) {
	sent = min(sent, len(output.unsent))
	l.unsentBytes.Add(-int64(sent))
	if output.unsent = output.unsent[sent:]; len(output.unsent) == 0 {
		output.unsent = nil
	}
}

// sendRest sends the output of a connection as its peer reads it, and closes the connection afterwards if closeSoon is set.
func (l *Loop) sendRest(conn *connection) {
	for {
		piece := conn.output.nextPiece()
		if piece == nil {
			l.signalRoom(conn)
			return
		}
		n, err := conn.tcp.Write(piece)
		if err != nil {
			l.dropOutput(conn)
			l.closeConnection(conn)
			continue
		}
		conn.output.mu.Lock()
		l.discardSent(&conn.output, n)
		closeNow := len(conn.output.unsent) == 0 && conn.output.closeSoon
		conn.output.mu.Unlock()
		if closeNow {
			l.closeConnection(conn)
		}
		l.signalRoom(conn)
	}
}

// nextPiece returns the next data to send, or nil if there is none; then nobody sends any more.
func (o *outputBuffer) nextPiece() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.unsent) == 0 {
		o.sending = false
		return nil
	}
	return o.unsent[:min(len(o.unsent), maxWritePiece)]
}

// dropOutput discards the unsent output of a connection.
func (l *Loop) dropOutput(conn *connection) {
	conn.output.mu.Lock()
	defer conn.output.mu.Unlock()
	l.discardSent(&conn.output, len(conn.output.unsent))
}

// unsentLength returns the number of bytes that the kernel has not taken yet.
func (o *outputBuffer) unsentLength() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unsent)
}

// closeWhenSent closes a connection after its output was sent, or after closeFlushTimeout. It runs on the machine's goroutine.
func (l *Loop) closeWhenSent(conn *connection) {
	l.flush(conn)
	conn.output.mu.Lock()
	conn.output.closeSoon = true
	empty := len(conn.output.unsent) == 0
	conn.output.mu.Unlock()
	// Without the deadline the close could wait for ever. Setting it fails only on a connection that is closed already.
	if empty || conn.tcp.SetWriteDeadline(time.Now().Add(closeFlushTimeout)) != nil {
		l.closeConnection(conn)
	}
}
