package eventloop

import (
	"time"

	"gingerfork/internal/statemachine"
)

// Clock returns the time in seconds since the Unix epoch. It reads the wall clock only when it is created and follows the
// monotonic clock afterwards, so it never jumps. Machines that share a Clock agree on the time.
type Clock struct {
	startSeconds statemachine.Seconds // wall-clock time when the clock was created
	start        time.Time            // the same moment, with its monotonic reading
}

// NewClock returns a clock that starts at the current wall-clock time.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{startSeconds: float64(now.UnixNano()) / 1e9, start: now}
}

// Now returns the current time in seconds since the Unix epoch.
func (c *Clock) Now() statemachine.Seconds { return c.startSeconds + time.Since(c.start).Seconds() }
