package wire

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

const (
	maxKindBytes = 32 // more than the length of any message kind's name
	maxFields    = 64 // fields of a message, far more than any kind has; a line may be made of thousands, which are costly to decode
)

// Decoder splits the bytes received on a connection into messages. They may be fed to it in pieces of any size.
type Decoder struct {
	// MaxBytes is the limit on the size of a message with its line end. 0 stands for MaxMessageBytes, which is also the
	// highest limit.
	MaxBytes int

	buffer []byte // received bytes that are not dropped yet
	start  int    // offset in buffer of the first byte that is not decoded yet
}

// Feed appends received bytes.
func (d *Decoder) Feed(data []byte) {
	if d.start > 0 {
		d.buffer = append(d.buffer[:0], d.buffer[d.start:]...)
		d.start = 0
	}
	d.buffer = append(d.buffer, data...)
}

// Retained returns the number of bytes of memory that the decoder holds.
func (d *Decoder) Retained() int { return cap(d.buffer) }

// Next returns the next message, or nil if more bytes are needed. After a *MessageError, decoding can continue with the next
// message. Any other error wraps ErrTooLong or ErrMalformed and is final.
func (d *Decoder) Next() (Message, error) {
	unread := d.buffer[d.start:]
	lineEnd := bytes.IndexByte(unread, '\n')
	if lineEnd < 0 {
		return nil, d.checkIncomplete(unread)
	}
	if lineEnd+1 > d.limit() {
		return nil, ErrTooLong
	}
	if lineEnd == 0 || unread[lineEnd-1] != '\r' {
		return nil, fmt.Errorf("%w: a line that does not end in CRLF", ErrMalformed)
	}
	d.start += lineEnd + 1
	return decodeMessage(unread[:lineEnd-1])
}

// limit returns the size limit of a message in bytes.
func (d *Decoder) limit() int {
	if d.MaxBytes <= 0 {
		return MaxMessageBytes
	}
	return min(d.MaxBytes, MaxMessageBytes)
}

// checkIncomplete returns an error if the bytes after the last complete message can't be the beginning of a message.
func (d *Decoder) checkIncomplete(unread []byte) error {
	if len(unread) == 0 {
		d.buffer, d.start = nil, 0 // frees the memory while the connection is idle
		return nil
	}
	if len(unread) > d.limit() {
		return ErrTooLong
	}
	return checkPrefix(unread)
}

// checkPrefix returns an error unless the bytes can be the beginning of a message. Without this check a connection that
// sends other data without a line end would stay open until the data exceeded the size limit.
func checkPrefix(unread []byte) error {
	if err := checkPrintable(bytes.TrimSuffix(unread, []byte{'\r'})); err != nil {
		return err
	}
	kind, _, complete := strings.Cut(string(unread[:min(len(unread), maxKindBytes)]), " ")
	kind = strings.TrimSuffix(kind, "\r")
	for _, known := range receivedKinds {
		if kind == known || !complete && strings.HasPrefix(known, kind) {
			return nil
		}
	}
	return fmt.Errorf("%w: it begins with %.32q", ErrMalformed, kind)
}

// checkPrintable returns an error if a byte is not printable ASCII.
func checkPrintable(data []byte) error {
	for _, c := range data {
		if c < ' ' || c > '~' {
			return fmt.Errorf("%w: a byte %#02x", ErrMalformed, c)
		}
	}
	return nil
}

// decodeMessage decodes a message, given without its line end.
func decodeMessage(data []byte) (Message, error) {
	if err := checkPrintable(data); err != nil {
		return nil, err
	}
	words := splitWords(data)
	if len(words) == 0 {
		return nil, fmt.Errorf("%w: an empty line", ErrMalformed)
	}
	kind := words[0]
	if !slices.Contains(receivedKinds[:], kind) {
		return nil, fmt.Errorf("%w: the kind %.32q", ErrMalformed, kind)
	}
	if len(words)-1 > maxFields {
		return nil, &MessageError{Kind: kind, Reason: fmt.Sprintf("more than %d fields", maxFields)}
	}
	parsed := &fields{kind: kind, values: make([]field, 0, len(words)-1)}
	for _, word := range words[1:] {
		name, value, ok := strings.Cut(word, "=")
		if !ok || name == "" {
			return nil, &MessageError{Kind: kind, Reason: fmt.Sprintf("the word %.32q has no value", word)}
		}
		parsed.values = append(parsed.values, field{name: name, value: value})
	}
	message := parsed.message()
	if parsed.err != nil {
		return nil, parsed.err
	}
	return message, nil
}

// splitWords splits a line into words, at most one more than a message may have: the last then contains the rest of the line.
func splitWords(line []byte) []string {
	var words []string
	rest := strings.TrimLeft(string(line), " ")
	for rest != "" && len(words) <= maxFields {
		word, after, _ := strings.Cut(rest, " ")
		words = append(words, word)
		rest = strings.TrimLeft(after, " ")
	}
	if rest != "" {
		words = append(words, rest)
	}
	return words
}
