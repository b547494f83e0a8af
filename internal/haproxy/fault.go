package haproxy

import (
	"errors"
	"fmt"
	"strings"
)

// The kinds of faults. errors.Is reports whether a Fault is of a kind.
var (
	ErrSyntax      = errors.New("syntax error")
	ErrValue       = errors.New("invalid value")
	ErrName        = errors.New("invalid name")
	ErrDuplicate   = errors.New("duplicate definition")
	ErrUndefined   = errors.New("undefined reference")
	ErrCycle       = errors.New("circular reference")
	ErrMisplaced   = errors.New("keyword outside its section")
	ErrNoServer    = errors.New("no usable server")
	ErrAlert       = errors.New("alert of the configuration")
	ErrUnsupported = errors.New("not supported by the import")
)

// ErrNoPool is the error for the name of a pool that is not among the pools of an import.
var ErrNoPool = errors.New("no such pool")

// ValueError is the error for a word that does not have the form that its keyword expects. It wraps ErrValue.
type ValueError struct {
	Value    string
	Expected string // the expected form, for example "time, such as 500, 30s or 5m"
}

// Error returns the message, with the value and the expected form.
func (e *ValueError) Error() string { return fmt.Sprintf("%q is no %s", e.Value, e.Expected) }

// Unwrap returns ErrValue.
func (e *ValueError) Unwrap() error { return ErrValue }

// classifiedError adds a kind to an error. The text of the error is unchanged, because reports print it.
type classifiedError struct{ kind, cause error }

func (e *classifiedError) Error() string   { return e.cause.Error() }
func (e *classifiedError) Unwrap() []error { return []error{e.kind, e.cause} }

// classify returns an error of a kind. The format and the arguments are those of fmt.Errorf.
func classify(kind error, format string, args ...any) error {
	return &classifiedError{kind, fmt.Errorf(format, args...)}
}

// Fault is an error at a position in a file. An import with faults must not be used.
type Fault struct {
	Position
	Message string
	Cause   error // error that wraps one of the kinds above, such as ErrUnsupported
}

// newFault returns a fault with the text of its cause as the message.
func newFault(position Position, cause error) Fault { return Fault{position, cause.Error(), cause} }

// String returns the position and the message.
func (f Fault) String() string { return f.Position.String() + ": " + f.Message }

// Error returns the same text as String.
func (f Fault) Error() string { return f.String() }

// Unwrap returns the cause.
func (f Fault) Unwrap() error { return f.Cause }

// FaultsError is an error that consists of all faults of an import.
type FaultsError []Fault

// Error returns the texts of the faults, separated by semicolons.
func (e FaultsError) Error() string {
	texts := make([]string, 0, len(e))
	for _, fault := range e {
		texts = append(texts, fault.String())
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the faults.
func (e FaultsError) Unwrap() []error {
	causes := make([]error, 0, len(e))
	for _, fault := range e {
		causes = append(causes, fault)
	}
	return causes
}
