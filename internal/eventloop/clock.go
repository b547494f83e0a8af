package eventloop

import (
	"time"

	"gingerfork/internal/statemachine"
)

// Clock tells the seconds since 1970. It reads the wall clock only when it is made and follows the monotonic clock from
// then on, so that it never jumps. Machines that share a Clock agree on the time.
type Clock struct {
	startSeconds statemachine.Seconds // wall-clock time at start, since 1970
	start        time.Time
}

// NewClock returns a clock that starts at the present wall-clock time.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{startSeconds: float64(now.UnixNano()) / 1e9, start: now}
}

// Now returns the time in seconds since 1970.
func (c *Clock) Now() statemachine.Seconds { return c.startSeconds + time.Since(c.start).Seconds() }
