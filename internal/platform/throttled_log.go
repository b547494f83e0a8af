package platform

import "gingerfork/internal/statemachine"

// Levels of statemachine.LogEntry.
const (
	levelInfo    = 1
	levelWarning = 2
	levelError   = 3
)

// problem is a kind of problem whose log messages are throttled together.
type problem string

const (
	problemDiscovery         problem = "discovery"
	problemEvicted           problem = "evicted"
	problemHealthLog         problem = "health log"
	problemIdleStream        problem = "idle stream"
	problemInputPanic        problem = "input panic"
	problemMalformedData     problem = "malformed data"
	problemPlannerRestart    problem = "planner restart"
	problemProbeNotSent      problem = "probe not sent"
	problemRejected          problem = "rejected"
	problemReplacedCollector problem = "replaced collector"
	problemUndelivered       problem = "undelivered change"
	problemUnknownCommand    problem = "unknown command"
)

// problemInvalidMessage returns the problem for invalid messages of one kind.
func problemInvalidMessage(kind string) problem { return problem("invalid message " + kind) }

// logThrottled counts a problem and logs it, with the count, if the count is a power of two. So many problems of one kind
// cause few log entries.
func (m *Machine) logThrottled(out *statemachine.Effects, kind problem, level int, message string, attributes ...any) {
	m.problemCounts[kind]++
	if count := m.problemCounts[kind]; count&(count-1) == 0 {
		out.Log(level, message, append(attributes, "times", count)...)
	}
}
