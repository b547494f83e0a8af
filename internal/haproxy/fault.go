package haproxy

import (
	"errors"
	"fmt"
	"strings"
)

// The kinds of faults. errors.Is tells which of them a Fault is.
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

// ErrNoPool says that an import has no pool of the wanted name.
var ErrNoPool = errors.New("no such pool")

// ValueError is a word that does not have the form that its keyword expects. It is an ErrValue.
type ValueError struct {
	Value    string
	Expected string // the form, as "time, such as 500, 30s or 5m"
}

// Error names the value and the expected form.
func (e *ValueError) Error() string { return fmt.Sprintf("%q is no %s", e.Value, e.Expected) }

// Unwrap returns ErrValue.
func (e *ValueError) Unwrap() error { return ErrValue }

// classifiedError adds a kind to an error without changing its text, which reports print as it is.
type classifiedError struct{ kind, cause error }

func (e *classifiedError) Error() string   { return e.cause.Error() }
func (e *classifiedError) Unwrap() []error { return []error{e.kind, e.cause} }

// classify builds an error of a kind from a format of fmt.Errorf.
func classify(kind error, format string, args ...any) error {
	return &classifiedError{kind, fmt.Errorf(format, args...)}
}

// Fault is an error at a position. Files with a fault are not imported.
type Fault struct {
	Position
	Message string
	Cause   error // of one of the kinds above
}

func newFault(position Position, cause error) Fault { return Fault{position, cause.Error(), cause} }

// String is the position and the message.
func (f Fault) String() string { return f.Position.String() + ": " + f.Message }

// Error is String.
func (f Fault) Error() string { return f.String() }

// Unwrap returns the cause.
func (f Fault) Unwrap() error { return f.Cause }

// FaultsError is all faults of an import as one error.
type FaultsError []Fault

// Error joins the faults' texts.
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
