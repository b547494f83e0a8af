package eventloop

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reasons for the close of an open connection, as reported to the machine in Input.Text. The simulated network in
// internal/simnet reports the first two with the same texts.
const (
	reasonClosedByPeer = "closed by the other side"
	reasonResetByPeer  = "reset by the other side"
	reasonSlowReader   = "it did not read what was sent"
)

// readBufferBytes is the size of the largest single read.
const readBufferBytes = 16 << 10

// readBuffers holds buffers for reads. A connection uses one only while it reads, not while it waits for data.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// errLeft is the end of a connection whose peer has closed it while more of its data waited than the limit allows.
var errLeft = errors.New("the peer left with its data unread")

// readConnection reads from a connection until it is closed, and then reports the close. It runs on a goroutine of its own.
func (l *Loop) readConnection(conn *connection) {
	err := l.readUntilClosed(conn)
	_ = conn.tcp.Close() // it may be closed already
	reason := reasonClosedByPeer
	switch {
	case conn.slowReader.Load():
		reason = reasonSlowReader
	case errors.Is(err, syscall.ECONNRESET):
		reason = reasonResetByPeer
	}
	l.mu.Lock()
	delete(l.open, conn)
	if !errors.Is(err, io.EOF) {
		conn.input.drop() // the peer is gone, and waits for no answer to what it sent
	}
	conn.input.closed, conn.input.closeReason = true, reason
	l.markReady(conn)
	l.mu.Unlock()
	l.releaseConnection()
	l.wakeMachine()
}

// readUntilClosed queues what is received on a connection, and returns why no more can be received: io.EOF after an orderly close.
// Once more waits than the limit allows, what is still unread is dropped if the peer has closed the connection meanwhile: it
// waits for no answer any more.
func (l *Loop) readUntilClosed(conn *connection) error {
	backlogged := false
	for {
		room, paused := l.awaitRoom(conn)
		if room == 0 {
			return net.ErrClosed
		}
		backlogged = backlogged || paused
		if backlogged && conn.accepted() && conn.peerHasClosed() {
			return errLeft
		}
		data, err := conn.read(room)
		backlogged = backlogged && len(data) == min(room, readBufferBytes)
		if len(data) > 0 {
			l.queueData(conn, data)
		}
		if err != nil {
			return err
		}
	}
}

// read waits for data and returns at most limit bytes of it.
func (c *connection) read(limit int) (data []byte, err error) {
	var readErr error
	err = c.raw.Read(func(descriptor uintptr) (done bool) {
		buffer := readBuffers.Get().(*[readBufferBytes]byte)
		defer readBuffers.Put(buffer)
		n, cause := syscall.Read(int(descriptor), buffer[:min(limit, readBufferBytes)])
		switch {
		case errors.Is(cause, syscall.EAGAIN):
			return false
		case errors.Is(cause, syscall.EINTR):
			return true
		case cause != nil:
			readErr = cause
		case n == 0:
			readErr = io.EOF
		default:
			data = append([]byte(nil), buffer[:n]...)
		}
		return true
	})
	if err == nil {
		err = readErr
	}
	return data, err
}

// States of a TCP connection in the kernel's numbering.
const (
	tcpStateClosed    = 7 // reset
	tcpStateCloseWait = 8 // closed by the peer, while data may still be unread
)

// peerHasClosed reports whether the peer has closed or reset the connection, whatever data is still unread.
func (c *connection) peerHasClosed() (closed bool) {
	// An error leaves closed false: the next read then reports the state of the connection.
	_ = c.raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpStateClosed || info.State == tcpStateCloseWait)
	})
	return closed
}
