// Package proto is what gingerfork's parties say to each other: frames, their encoding, an incremental parser and its
// limits. docs/protocol.md is its text. Nothing here does I/O or keeps state beyond a reader's unread bytes.
//
// A frame is a length (4 bytes, big-endian, of what follows), a type (1 byte) and its fields. Whole numbers are
// unsigned varints, seconds and weights 8 bytes IEEE 754 big-endian, words a varint length and UTF-8 bytes, lists a
// varint count and the items.
package proto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"unicode/utf8"
)

const (
	// Version is the one version of the protocol so far.
	Version = 1
	// MostHello bounds a frame before the handshake is done, against strangers.
	MaxHandshakeFrame = 1 << 10
	// MostFrame bounds any frame: a full list of some 10,000 servers fits.
	MaxFrame = 1 << 20
	// MostWord bounds a name, an address or a reason.
	MaxString = 255

	head = 4
)

// Type names a frame's message.
type MessageType uint8

// Message is any of the messages in messages.go.
type Message interface {
	kind() MessageType
	put(b []byte) []byte
}

// Append adds a message's frame to b.
func Append(b []byte, m Message) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, byte(m.kind()))
	b = m.put(b)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-head))
	return b
}

// Reader cuts a stream of bytes into messages. The zero Reader takes frames of up to MostHello; Open raises that.
type Reader struct {
	buf  []byte
	at   int
	most int
	err  error
}

// Open lets whole frames through once the handshake is done.
func (r *Reader) HandshakeDone() { r.most = MaxFrame }

// Feed adds bytes that came.
func (r *Reader) Feed(b []byte) {
	if r.at == len(r.buf) {
		r.buf, r.at = r.buf[:0], 0
	} else if r.at > 4096 && r.at > len(r.buf)/2 {
		r.buf, r.at = append(r.buf[:0], r.buf[r.at:]...), 0
	}
	r.buf = append(r.buf, b...)
}

// Next gives the next message, nil if it is not yet whole. After an error it gives that error for good: a stream that
// lost its place cannot find it again.
func (r *Reader) Next() (Message, error) {
	if r.err != nil {
		return nil, r.err
	}
	have := r.buf[r.at:]
	if len(have) < head {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(have))
	if most := max(r.most, MaxHandshakeFrame); n < 1 || n > most {
		r.err = fmt.Errorf("a frame of %d bytes, 1 to %d allowed", n, most)
		return nil, r.err
	}
	if len(have) < head+n {
		return nil, nil
	}
	r.at += head + n
	m, err := decode(MessageType(have[head]), have[head+1:head+n])
	if err != nil {
		r.err = err
		return nil, err
	}
	return m, nil
}

// Waiting tells how many bytes of a frame not yet whole are held.
func (r *Reader) Buffered() int { return len(r.buf) - r.at }

func decode(t MessageType, b []byte) (Message, error) {
	get, ok := decoders[t]
	if !ok {
		return nil, fmt.Errorf("a frame of unknown type %d", t)
	}
	d := &decoder{b: b}
	m := get(d)
	if d.err == nil && len(d.b) > 0 {
		d.err = fmt.Errorf("%d bytes too many", len(d.b))
	}
	if d.err != nil {
		return nil, fmt.Errorf("%s: %w", WireName(m), d.err)
	}
	return m, nil
}

// decoder reads the fields of one frame and keeps the first trouble met; after it all fields read as zero.
type decoder struct {
	b   []byte
	err error
}

var errShort = errors.New("it ends within a field")

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.b = nil
}

func (d *decoder) whole() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail(errShort)
		return 0
	}
	d.b = d.b[n:]
	return v
}

// upTo reads a whole number with a bound.
func (d *decoder) upTo(most uint64, what string) uint64 {
	v := d.whole()
	if v > most {
		d.fail(fmt.Errorf("%s %d, at most %d allowed", what, v, most))
		return 0
	}
	return v
}

func (d *decoder) flag() bool { return d.upTo(1, "flag") == 1 }

// num reads a number that is finite and not below 0: nothing we say of seconds, rates or weights is.
func (d *decoder) num() float64 {
	if len(d.b) < 8 {
		d.fail(errShort)
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(d.b))
	d.b = d.b[8:]
	if !(v >= 0) || math.IsInf(v, 1) {
		d.fail(fmt.Errorf("number %v, finite and 0 or above wanted", v))
		return 0
	}
	return v
}

// bytes reads up to MostWord bytes of any kind.
func (d *decoder) bytes() string {
	n := int(d.upTo(MaxString, "word length"))
	if len(d.b) < n {
		d.fail(errShort)
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

func (d *decoder) word() string {
	s := d.bytes()
	if !utf8.ValidString(s) {
		d.fail(errors.New("a word is not UTF-8"))
		return ""
	}
	return s
}

// count reads the length of a list whose items take at least so many bytes each, so that a forged count cannot make us
// set aside more memory than the frame has bytes.
func (d *decoder) count(least int) int {
	n := d.whole()
	if n > uint64(len(d.b)/least) {
		d.fail(errShort)
		return 0
	}
	return int(n)
}

func whole[T ~uint8 | ~uint16 | ~uint32 | ~uint64 | ~int](b []byte, v T) []byte {
	return binary.AppendUvarint(b, uint64(v))
}

func flag(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func num(b []byte, v float64) []byte { return binary.BigEndian.AppendUint64(b, math.Float64bits(v)) }

// word cuts what is too long: only reasons can be, names are checked where they come in.
func word(b []byte, s string) []byte {
	if len(s) > MaxString {
		s = s[:MaxString]
		for !utf8.ValidString(s) {
			s = s[:len(s)-1]
		}
	}
	return append(whole(b, len(s)), s...)
}

func list[T any](b []byte, items []T, put func([]byte, T) []byte) []byte {
	b = whole(b, len(items))
	for _, x := range items {
		b = put(b, x)
	}
	return b
}

func items[T any](d *decoder, least int, get func(*decoder) T) []T {
	n := d.count(least)
	if n == 0 {
		return nil
	}
	all := make([]T, 0, n)
	for range n {
		all = append(all, get(d))
	}
	return all
}
