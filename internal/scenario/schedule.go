package scenario

import (
	"slices"
	"time"

	"gingerfork/internal/statemachine"
)

// scheduled is a function with the time at which it is to run.
type scheduled struct {
	time statemachine.Seconds
	run  func()
}

// schedule holds functions that are to run at given times. It is not safe for concurrent use.
type schedule struct {
	pending []scheduled
}

func (s *schedule) add(at statemachine.Seconds, run func()) {
	s.pending = append(s.pending, scheduled{at, run})
}

// next returns the index of the earliest function, the first added among those of equal times; false if no function is scheduled.
func (s *schedule) next() (int, bool) {
	earliest := -1
	for i, candidate := range s.pending {
		if earliest < 0 || candidate.time < s.pending[earliest].time {
			earliest = i
		}
	}
	return earliest, earliest >= 0
}

// runDue runs the earliest function if it is due, and reports whether it was.
func (s *schedule) runDue(now statemachine.Seconds) bool {
	i, ok := s.next()
	if !ok || s.pending[i].time > now {
		return false
	}
	run := s.pending[i].run
	s.pending = slices.Delete(s.pending, i, i+1)
	run()
	return true
}

// wait returns how long it takes until the next function is due or until is reached, whichever is first.
func (s *schedule) wait(now, until statemachine.Seconds) time.Duration {
	if i, ok := s.next(); ok {
		until = min(until, s.pending[i].time)
	}
	return time.Duration(max(0, until-now) * float64(time.Second))
}
