package endpointfile

import (
	"errors"
	"fmt"
)

// ErrNoBackends is the error of a file that leaves no backend in use.
var ErrNoBackends = errors.New("no server would be in use")

// DuplicateError is the error of a file in which two backends have the same ID.
type DuplicateError struct {
	First, Second string // their names
	ID            uint32
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("servers %s and %s have the number %d", e.First, e.Second, e.ID)
}

// WeightError is the error of a backend whose weight is not above zero.
type WeightError struct {
	Name   string
	Weight float64
}

func (e *WeightError) Error() string {
	return fmt.Sprintf("server %s has a weight of %v", e.Name, e.Weight)
}

// LossError is the error of a file that would take more of the open endpoints out of use than the settings allow. Applying the
// same file again overrides it.
type LossError struct {
	Lost, Open int     // the endpoints that the file takes out of use, of those that are open
	MaxShare   float64 // the share that the settings allow
}

func (e *LossError) Error() string {
	return fmt.Sprintf("it takes %d of %d servers out of use, more than %.0f%%: reload the same file once more if it is meant", e.Lost, e.Open, 100*e.MaxShare)
}

// Errors of Decode.
var (
	// ErrFormat is the error of a stored list whose format is not known.
	ErrFormat = errors.New("unknown format")
	// ErrCorrupt is the error of a stored list with an endpoint that Encode does not write.
	ErrCorrupt = errors.New("invalid endpoint")
)
