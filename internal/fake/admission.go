package fake

import (
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// admissionState is the admission level of a method, and the token bucket if levels are rates.
type admissionState struct {
	level      float64 // share of the RPCs, or RPCs a second
	retry      retryPolicy
	tokens     float64
	lastRefill statemachine.Seconds
}

// setAdmission sets the admission level and the retry policy of methods; their token buckets keep what they hold.
func (f *FrontEnd) setAdmission(target *table, ordered proto.Admission) {
	for method := range f.config.Methods {
		if !inMethodSet(ordered.Methods, method) {
			continue
		}
		state := target.admission[method]
		state.level = ordered.Level
		state.retry = retryPolicy(ordered.Retry)
		target.admission[method] = state
	}
}

// admit tells whether an RPC of a method is let in. Without an admission level every RPC is.
func (f *FrontEnd) admit(now statemachine.Seconds, method int) bool {
	bound := f.methodTables[method]
	if bound == nil {
		return true
	}
	state, limited := bound.admission[method]
	if !limited {
		return true
	}
	if !f.config.AdmissionIsRate {
		return state.level >= 1 || f.random.Uniform() < state.level
	}
	admitted := state.takeToken(now)
	bound.admission[method] = state
	return admitted
}

// takeToken refills the token bucket, which holds the tokens of a second but at least one, and takes a token out.
func (a *admissionState) takeToken(now statemachine.Seconds) bool {
	a.tokens = min(a.tokens+(now-a.lastRefill)*a.level, max(1, a.level))
	a.lastRefill = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
