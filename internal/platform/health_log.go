package platform

import (
	"fmt"
	"math"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// maxHealthLogs limits the log messages of one check. A change that is left out is logged by the next check if it still
// holds.
const maxHealthLogs = 8

// Reasons for which the module avoids a backend, as logged.
const (
	reasonUnreachable = "health checks fail"
	reasonEjected     = "ejected as an outlier"
)

// logHealthChanges logs which backends the decision module has begun or ceased to avoid, with its estimates, so that they
// can be compared with what the backends report of themselves. A panic costs the log messages only.
func (m *Machine) logHealthChanges(out *statemachine.Effects) {
	defer func() {
		if cause := recover(); cause != nil {
			m.logThrottled(out, problemHealthLog, levelError, "backend health could not be logged", "cause", fmt.Sprint(cause))
		}
	}()
	logged := m.loggedUnhealthy
	m.loggedUnhealthy = map[choice.BackendID]string{}
	messages := 0
	for _, estimate := range m.planner.Estimates() {
		reason := unhealthyReason(&estimate)
		if reason != logged[estimate.Backend] && messages < maxHealthLogs {
			messages++
			m.logHealth(&estimate, reason, out)
			logged[estimate.Backend] = reason
		}
		if last := logged[estimate.Backend]; last != "" {
			m.loggedUnhealthy[estimate.Backend] = last
		}
	}
}

// unhealthyReason returns why the module avoids a backend, or "".
func unhealthyReason(estimate *choice.BackendEstimate) string {
	switch {
	case estimate.Unreachable:
		return reasonUnreachable
	case estimate.Ejected:
		return reasonEjected
	}
	return ""
}

func (m *Machine) logHealth(estimate *choice.BackendEstimate, reason string, out *statemachine.Effects) {
	text := "backend unhealthy"
	if reason == "" {
		text = "backend healthy again"
	}
	out.Log(levelInfo, text, "backend", m.endpoints.name(estimate.Backend), "reason", reason,
		"attempts_per_s", rounded(estimate.AttemptRate), "failure_share", rounded(estimate.FailureShare),
		"mean_latency_s", rounded(estimate.MeanLatency), "expected_per_s", rounded(estimate.ExpectedRate))
}

// rounded returns the value with three decimals.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
