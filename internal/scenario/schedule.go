package scenario

import (
	"slices"
	"time"

	"gingerfork/internal/statemachine"
)

// scheduled is a function that runs at a time.
type scheduled struct {
	time statemachine.Seconds
	run  func()
}

// schedule holds the functions that are to run in real time. It belongs to one goroutine.
type schedule struct {
	pending []scheduled
}

func (s *schedule) add(at statemachine.Seconds, do func()) {
	s.pending = append(s.pending, scheduled{at, do})
}

// next returns the index of the earliest function, of equal ones the first that was added; false if there is none.
func (s *schedule) next() (int, bool) {
	earliest := -1
	for i, candidate := range s.pending {
		if earliest < 0 || candidate.time < s.pending[earliest].time {
			earliest = i
		}
	}
	return earliest, earliest >= 0
}

// runDue runs the earliest function if it is due, and tells whether it was.
func (s *schedule) runDue(now statemachine.Seconds) bool {
	i, ok := s.next()
	if !ok || s.pending[i].time > now {
		return false
	}
	do := s.pending[i].run
	s.pending = slices.Delete(s.pending, i, i+1)
	do()
	return true
}

// wait is how long nothing is due, until a time at most.
func (s *schedule) wait(now, until statemachine.Seconds) time.Duration {
	if i, ok := s.next(); ok {
		until = min(until, s.pending[i].time)
	}
	return time.Duration(max(0, until-now) * float64(time.Second))
}
