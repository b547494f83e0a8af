// Package proto implements the wire protocol between coordinators, proxies, the endpoint list service and backends: its frames,
// the messages in them, an incremental reader and the limits that it enforces. docs/protocol.md describes the protocol for
// other implementations. The package does no I/O; its only state is in a Reader, which holds unread bytes, its frame limit and
// its first error.
//
// A frame consists of a length (4 bytes, big-endian, counting the bytes that follow it), a message type (1 byte) and the fields
// of the message. Integers are unsigned varints. Floating-point numbers, such as times in seconds and weights, are 8 bytes in
// IEEE 754 format, big-endian. A string is a varint length and that many bytes, which are UTF-8 except in the data of a
// PeerMessage. A list is a varint count and its items. Flags and enum values are one byte.
package proto

import "encoding/binary"

const (
	// Version is the version of the protocol, the only one so far.
	Version = 1
	// MaxHandshakeFrame is the largest size of a frame, in bytes, until the handshake is done, so that an unauthenticated
	// party can't make a receiver buffer more.
	MaxHandshakeFrame = 1 << 10
	// MaxFrame is the largest size of a frame, in bytes. A full endpoint list of some 10,000 backends fits.
	MaxFrame = 1 << 20
	// MaxString is the largest size, in bytes, of a name, an address, a reason or the data of a PeerMessage.
	MaxString = 255

	lengthPrefixSize = 4 // bytes of a frame's length, which does not count itself
	// compactionThreshold is how many bytes a Reader must have consumed, in addition to more than half of its buffer, before
	// Feed moves the unread bytes to the start of the buffer.
	compactionThreshold = 4096
	maxIdleBuffer       = 16 << 10 // bytes of a buffer that a Reader keeps for the next frame
)

// MessageType identifies the type of the message in a frame.
type MessageType uint8

// Message is implemented by all messages of the protocol.
type Message interface {
	messageType() MessageType
	appendFields(buf []byte) []byte
}

// Append appends a message to buf as a frame, and returns the extended buffer.
func Append(buf []byte, m Message) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, byte(m.messageType()))
	buf = m.appendFields(buf)
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthPrefixSize))
	return buf
}

// Reader splits a byte stream into messages. The zero value is ready for use, and accepts frames of up to MaxHandshakeFrame
// bytes until HandshakeDone is called.
type Reader struct {
	buffer   []byte // bytes passed to Feed, without those already dropped
	consumed int    // bytes at the start of buffer that Next has decoded
	maxFrame int    // limit on a frame's size in bytes; 0, which stands for MaxHandshakeFrame, until HandshakeDone
	err      error  // the first error that Next returned; all later calls return it too
}

// HandshakeDone raises the size limit of frames to MaxFrame.
func (r *Reader) HandshakeDone() { r.maxFrame = MaxFrame }

// Feed appends received bytes to the buffer. It keeps no reference to them.
func (r *Reader) Feed(received []byte) {
	if r.consumed == len(r.buffer) {
		if r.buffer, r.consumed = r.buffer[:0], 0; cap(r.buffer) > maxIdleBuffer {
			r.buffer = nil
		}
	} else if r.consumed > compactionThreshold && r.consumed > len(r.buffer)/2 {
		r.buffer, r.consumed = append(r.buffer[:0], r.buffer[r.consumed:]...), 0
	}
	r.buffer = append(r.buffer, received...)
}

// Next returns the next message, or nil if its frame is not complete yet. After an error all later calls return the same error,
// because the start of the next frame can't be found in a stream after a malformed frame.
func (r *Reader) Next() (Message, error) {
	if r.err != nil {
		return nil, r.err
	}
	unread := r.buffer[r.consumed:]
	if len(unread) < lengthPrefixSize {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(unread))
	if limit := max(r.maxFrame, MaxHandshakeFrame); size < 1 || size > limit {
		r.err = &frameSizeError{size: size, limit: limit}
		return nil, r.err
	}
	end := lengthPrefixSize + size
	if len(unread) < end {
		return nil, nil
	}
	r.consumed += end
	m, err := decodeMessage(MessageType(unread[lengthPrefixSize]), unread[lengthPrefixSize+1:end])
	if err != nil {
		r.err = err
		return nil, err
	}
	return m, nil
}

// Buffered returns the number of bytes that were fed but not yet decoded. Once Next has returned nil without an error, these
// are the bytes of an incomplete frame.
func (r *Reader) Buffered() int { return len(r.buffer) - r.consumed }

// Retained returns the number of bytes of memory that the Reader holds for an incomplete frame.
func (r *Reader) Retained() int {
	if r.Buffered() == 0 {
		return 0
	}
	return cap(r.buffer)
}
