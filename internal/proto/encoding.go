package proto

import (
	"encoding/binary"
	"math"
	"unicode/utf8"
)

const float64Size = 8 // bytes of an encoded floating-point number

// decoder reads the fields of one frame. It keeps the first error, after which every field is read as zero or empty.
type decoder struct {
	unread []byte // the bytes of the frame that follow the last field read
	err    error  // the first error
}

// fail records the first error and drops the unread bytes.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.unread = nil
}

// integer reads an unsigned varint.
func (d *decoder) integer() uint64 {
	value, size := binary.Uvarint(d.unread)
	if size <= 0 {
		d.fail(errTruncated)
		return 0
	}
	d.unread = d.unread[size:]
	return value
}

// boundedInteger reads an integer of at most limit. field is the field's name in the error, whose text goes out on the wire: it
// is the name in the first version of the protocol, such as "mark" for a nonce and "server" for a backend.
func (d *decoder) boundedInteger(limit uint64, field string) uint64 {
	value := d.integer()
	if value > limit {
		d.fail(&rangeError{field: field, value: value, limit: limit})
		return 0
	}
	return value
}

func (d *decoder) flag() bool { return d.boundedInteger(1, "flag") == 1 }

func (d *decoder) nonce() uint64 { return d.boundedInteger(MaxNonce, "mark") }

func (d *decoder) backend() BackendID { return BackendID(d.boundedInteger(math.MaxUint32, "server")) }

// number reads a finite floating-point number of 0 or above. All times, rates and weights of the protocol are such numbers.
func (d *decoder) number() float64 {
	if len(d.unread) < float64Size {
		d.fail(errTruncated)
		return 0
	}
	value := math.Float64frombits(binary.BigEndian.Uint64(d.unread))
	d.unread = d.unread[float64Size:]
	if !(value >= 0) || math.IsInf(value, 1) {
		d.fail(&numberError{value: value})
		return 0
	}
	return value
}

// bytes reads a length of up to MaxString and that many bytes of any content.
func (d *decoder) bytes() string {
	size := int(d.boundedInteger(MaxString, "word length"))
	if len(d.unread) < size {
		d.fail(errTruncated)
		return ""
	}
	value := string(d.unread[:size])
	d.unread = d.unread[size:]
	return value
}

// text reads a string and checks that it is UTF-8.
func (d *decoder) text() string {
	value := d.bytes()
	if !utf8.ValidString(value) {
		d.fail(errNotUTF8)
		return ""
	}
	return value
}

// count reads the number of items of a list. Each item takes at least minSize bytes, and a count for which the unread bytes do
// not suffice is an error, so that a forged count can't make the receiver allocate memory out of proportion to the frame.
func (d *decoder) count(minSize int) int {
	count := d.integer()
	if count > uint64(len(d.unread)/minSize) {
		d.fail(errTruncated)
		return 0
	}
	return int(count)
}

// decodeEnum reads one of count constants that are numbered from 0. field is the field's name in the error.
func decodeEnum[T ~uint8](d *decoder, count T, field string) T {
	return T(d.boundedInteger(uint64(count-1), field))
}

// decodeList reads a list whose items take at least minSize bytes each. It returns nil for an empty list.
func decodeList[T any](d *decoder, minSize int, decodeItem func(*decoder) T) []T {
	count := d.count(minSize)
	if count == 0 {
		return nil
	}
	items := make([]T, 0, count)
	for range count {
		items = append(items, decodeItem(d))
	}
	return items
}

func appendInteger[T ~uint8 | ~uint32 | ~uint64 | ~int](buf []byte, value T) []byte {
	return binary.AppendUvarint(buf, uint64(value))
}

func appendFlag(buf []byte, value bool) []byte {
	if value {
		return append(buf, 1)
	}
	return append(buf, 0)
}

func appendNumber(buf []byte, value float64) []byte {
	return binary.BigEndian.AppendUint64(buf, math.Float64bits(value))
}

// appendText appends a string, truncated to MaxString bytes at a character boundary. Only reasons can be longer, since the length
// of names is checked where they are configured.
func appendText(buf []byte, value string) []byte {
	if len(value) > MaxString {
		value = value[:MaxString]
		for !utf8.ValidString(value) {
			value = value[:len(value)-1]
		}
	}
	buf = appendInteger(buf, len(value))
	return append(buf, value...)
}

func appendList[T any](buf []byte, items []T, appendItem func([]byte, T) []byte) []byte {
	buf = appendInteger(buf, len(items))
	for _, item := range items {
		buf = appendItem(buf, item)
	}
	return buf
}
