package platform

import (
	"fmt"
	"math"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// maxHealthLogs limits the log messages of one call of logHealthChanges. A change beyond the limit is logged by a later
// call if it still holds then.
const maxHealthLogs = 8

// Reasons for which the decision module avoids a backend, as written to the log.
const (
	reasonUnreachable = "health checks fail"
	reasonEjected     = "ejected as an outlier"
)

// logHealthChanges logs which backends the decision module has begun or ceased to avoid. It logs the module's estimates as
// well, so that operators can compare them with what the backends report about themselves. A panic is logged and otherwise
// only loses log messages.
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

// unhealthyReason returns why the decision module avoids a backend, or "" if it does not.
func unhealthyReason(estimate *choice.BackendEstimate) string {
	switch {
	case estimate.Unreachable:
		return reasonUnreachable
	case estimate.Ejected:
		return reasonEjected
	}
	return ""
}

// logHealth logs that a backend has become unhealthy for the given reason, or healthy if the reason is empty.
func (m *Machine) logHealth(estimate *choice.BackendEstimate, reason string, out *statemachine.Effects) {
	text := "backend unhealthy"
	if reason == "" {
		text = "backend healthy again"
	}
	out.Log(levelInfo, text, "backend", m.endpoints.name(estimate.Backend), "reason", reason,
		"attempts_per_s", rounded(estimate.AttemptRate), "failure_share", rounded(estimate.FailureShare),
		"mean_latency_s", rounded(estimate.MeanLatency), "expected_per_s", rounded(estimate.ExpectedRate))
}

// rounded rounds a value to three decimals.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
