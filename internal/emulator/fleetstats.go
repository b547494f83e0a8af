package emulator

import (
	"fmt"

	"gingerfork/internal/trace"
)

// FleetStats has the statistics of a fleet of emulated backends: what the backends did within about a second, and their state at
// the end. It is printed as JSON, whose keys are the names of the fields.
type FleetStats struct {
	Elapsed       Seconds // since the first step of this fleet of emulated backends
	Backends      int
	Running       int     // backends whose processes run
	WarmingUp     int     // running backends that are warming up
	Collapsed     int     // running backends that have collapsed
	Capacity      float64 // RPCs per second that the fleet can execute at present
	CoreUsage     float64 // share of the cores of running backends, without collapsed ones, that are busy
	Queued        int     // RPCs and overhead jobs that wait for a core
	Executed      int     // RPCs whose execution began since the previous statistics
	OverloadRatio float64 // largest ratio of the work that arrived at a warming backend to its overload bound; above 1 the backend collapses
	MaxDelay      Seconds // the longest time by which a timer was handled late
}

// String returns the statistics as a line of text for people.
func (s FleetStats) String() string {
	const percent, msPerSecond = 100, 1e3
	return fmt.Sprintf("%4.0f s: %d of %d backends up, %d warming up, %d collapsed; capacity %.0f RPCs/s, %d executed; cores %.0f%% busy, %d queued; timers up to %.1f ms late",
		s.Elapsed, s.Running, s.Backends, s.WarmingUp, s.Collapsed, s.Capacity, s.Executed, percent*s.CoreUsage, s.Queued, msPerSecond*s.MaxDelay)
}

// Add returns the sum with the statistics of another part of the fleet for the same second. CoreUsage becomes the mean
// weighted by the number of backends.
func (s FleetStats) Add(other FleetStats) FleetStats {
	if backends := s.Backends + other.Backends; backends > 0 {
		s.CoreUsage = (s.CoreUsage*float64(s.Backends) + other.CoreUsage*float64(other.Backends)) / float64(backends)
	}
	s.Elapsed = max(s.Elapsed, other.Elapsed)
	s.Backends += other.Backends
	s.Running += other.Running
	s.WarmingUp += other.WarmingUp
	s.Collapsed += other.Collapsed
	s.Capacity += other.Capacity
	s.Queued += other.Queued
	s.Executed += other.Executed
	s.OverloadRatio = max(s.OverloadRatio, other.OverloadRatio)
	s.MaxDelay = max(s.MaxDelay, other.MaxDelay)
	return s
}

// addTrace adds what the trace records of a step show.
func (s *FleetStats) addTrace(records []trace.Record) {
	for _, record := range records {
		switch record.Kind {
		case trace.EffectExecuted:
			s.Executed++
		case trace.LoadOffered:
			s.OverloadRatio = max(s.OverloadRatio, record.Value)
		}
	}
}

// addState adds the state of a running backend, and returns the number of its cores and how many of them are busy.
func (s *FleetStats) addState(model *Model, now Seconds) (cores, busyCores float64) {
	s.Running++
	if model.collapsed {
		s.Collapsed++
		return 0, 0
	}
	if model.WarmupFactor(now) < 1 {
		s.WarmingUp++
	}
	s.Capacity += model.Capacity(now, 0)
	_, queued, coreUsage := model.Load()
	s.Queued += queued
	cores = float64(model.config.Cores)
	return cores, coreUsage * cores
}
