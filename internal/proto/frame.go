// Package proto is the wire protocol between coordinators, proxies, the endpoint list service and backends: its frames, the
// messages in them, an incremental reader and the limits that it enforces. docs/protocol.md describes the same for those who
// implement it elsewhere. The package does no I/O and keeps no state beside the unread bytes of a Reader.
//
// A frame is a length (4 bytes, big-endian, of what follows it), a message type (1 byte) and the fields of the message. Integers
// are unsigned varints, seconds and weights 8 bytes IEEE 754 big-endian, strings a varint length and UTF-8 bytes, lists a varint
// count and the items.
package proto

import "encoding/binary"

const (
	// Version is the only version of the protocol so far.
	Version = 1
	// MaxHandshakeFrame bounds a frame, in bytes, until the handshake is done, so that an unauthenticated party can't make a
	// receiver buffer more.
	MaxHandshakeFrame = 1 << 10
	// MaxFrame bounds any frame, in bytes: a full endpoint list of some 10,000 backends fits.
	MaxFrame = 1 << 20
	// MaxString bounds a name, an address, a reason or a peer's message, in bytes.
	MaxString = 255

	lengthSize = 4
	// compactAbove is how many bytes a Reader has handed out before it moves the rest to the start of its buffer.
	compactAbove = 4096
)

// MessageType is the byte that tells which message a frame holds.
type MessageType uint8

// Message is any of the messages of this package.
type Message interface {
	messageType() MessageType
	appendFields(buf []byte) []byte
}

// Append adds the frame of a message to buf.
func Append(buf []byte, m Message) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, byte(m.messageType()))
	buf = m.appendFields(buf)
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthSize))
	return buf
}

// Reader cuts a stream of bytes into messages. The zero Reader takes frames of up to MaxHandshakeFrame bytes.
type Reader struct {
	buffer   []byte
	consumed int // bytes at the start of buffer that Next has returned
	maxFrame int
	err      error
}

// HandshakeDone raises the limit to MaxFrame.
func (r *Reader) HandshakeDone() { r.maxFrame = MaxFrame }

// Feed adds received bytes.
func (r *Reader) Feed(received []byte) {
	if r.consumed == len(r.buffer) {
		r.buffer, r.consumed = r.buffer[:0], 0
	} else if r.consumed > compactAbove && r.consumed > len(r.buffer)/2 {
		r.buffer, r.consumed = append(r.buffer[:0], r.buffer[r.consumed:]...), 0
	}
	r.buffer = append(r.buffer, received...)
}

// Next returns the next message, or nil while it is incomplete. An error is final, and returned by all later calls: there is no
// way to find the next frame's start in a stream after a malformed one.
func (r *Reader) Next() (Message, error) {
	if r.err != nil {
		return nil, r.err
	}
	unread := r.buffer[r.consumed:]
	if len(unread) < lengthSize {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(unread))
	if limit := max(r.maxFrame, MaxHandshakeFrame); size < 1 || size > limit {
		r.err = &frameSizeError{size: size, limit: limit}
		return nil, r.err
	}
	end := lengthSize + size
	if len(unread) < end {
		return nil, nil
	}
	r.consumed += end
	m, err := decodeMessage(MessageType(unread[lengthSize]), unread[lengthSize+1:end])
	if err != nil {
		r.err = err
		return nil, err
	}
	return m, nil
}

// Buffered returns how many bytes of an incomplete frame are held.
func (r *Reader) Buffered() int { return len(r.buffer) - r.consumed }
