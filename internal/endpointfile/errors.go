package endpointfile

import (
	"errors"
	"fmt"
)

// ErrNoBackends is the error for a file whose backends are all draining, or that has none.
var ErrNoBackends = errors.New("the file leaves no server in use")

// DuplicateError is the error for a file in which two backends have the same ID.
type DuplicateError struct {
	First, Second string // the names of the backends
	ID            uint32
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("servers %s and %s have the same ID %d", e.First, e.Second, e.ID)
}

// WeightError is the error for a backend whose weight is not above 0.
type WeightError struct {
	Name   string
	Weight float64
}

func (e *WeightError) Error() string {
	return fmt.Sprintf("server %s has a weight of %v, must be above 0", e.Name, e.Weight)
}

// LossError is the error for a file that would take a larger share of the open endpoints out of use than the settings allow. The
// same file is accepted if it is applied again.
type LossError struct {
	Lost, Open int     // Lost: open endpoints that the rejected file would take out of use; Open: all open endpoints
	MaxShare   float64 // largest share Lost/Open that the settings allow
}

func (e *LossError) Error() string {
	return fmt.Sprintf("the file takes %d of %d servers out of use, more than the allowed %.0f%%: reload the same file to apply it anyway", e.Lost, e.Open, 100*e.MaxShare)
}

// Errors of Decode.
var (
	// ErrFormat is the error for a stored list whose format is not supported.
	ErrFormat = errors.New("unknown format")
	// ErrCorrupt is the error for a stored list with an endpoint that Encode cannot have written.
	ErrCorrupt = errors.New("invalid endpoint")
)
