package proto

import (
	"errors"
	"fmt"
)

// The texts of all errors of this package go out on the wire, as the reason of a Reject. They are those of the first version of
// the protocol and do not change when an identifier is renamed. In them a word is a string, and tries are attempts.
var (
	errTruncated = errors.New("it ends within a field")
	errNotUTF8   = errors.New("a word is not UTF-8")
)

// frameSizeError reports a frame whose length field is 0 or above the limit; both are in bytes.
type frameSizeError struct{ size, limit int }

func (e *frameSizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, 1 to %d allowed", e.size, e.limit)
}

// unknownTypeError reports a frame with a message type that the protocol does not have.
type unknownTypeError struct{ messageType MessageType }

func (e *unknownTypeError) Error() string {
	return fmt.Sprintf("a frame of unknown type %d", e.messageType)
}

// trailingBytesError reports bytes after the last field of a message; count is their number.
type trailingBytesError struct{ count int }

func (e *trailingBytesError) Error() string { return fmt.Sprintf("%d bytes too many", e.count) }

// rangeError reports an integer above the limit of its field.
type rangeError struct {
	field        string
	value, limit uint64
}

func (e *rangeError) Error() string {
	return fmt.Sprintf("%s %d, at most %d allowed", e.field, e.value, e.limit)
}

// numberError reports a floating-point number that is negative, infinite or not a number.
type numberError struct{ value float64 }

func (e *numberError) Error() string {
	return fmt.Sprintf("number %v, finite and 0 or above wanted", e.value)
}

// failureCountError reports more failures than attempts.
type failureCountError struct{ failures, attempts uint64 }

func (e *failureCountError) Error() string {
	return fmt.Sprintf("%d bad of %d tries", e.failures, e.attempts)
}
