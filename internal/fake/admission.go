package fake

import (
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// admissionState is the admission level and the retry policy of a method. If admission levels are rates, it also has the token
// bucket that enforces them.
type admissionState struct {
	level       float64 // share of the RPCs that are admitted, or RPCs per second
	retryPolicy retryPolicy
	tokens      float64 // tokens in the bucket; an admitted RPC takes 1
	lastRefill  statemachine.Seconds
}

// setAdmission sets the admission level and the retry policy of a set of methods. Their token buckets keep their tokens.
func (f *FrontEnd) setAdmission(target *table, admission proto.Admission) {
	for method := range f.config.Methods {
		if !inMethodSet(admission.Methods, method) {
			continue
		}
		state := target.admission[method]
		state.level = admission.Level
		state.retryPolicy = retryPolicy(admission.Retry)
		target.admission[method] = state
	}
}

// admit decides whether an RPC of a method is admitted. Without an admission level every RPC is.
func (f *FrontEnd) admit(now statemachine.Seconds, method int) bool {
	methodTable := f.methodTables[method]
	if methodTable == nil {
		return true
	}
	state, limited := methodTable.admission[method]
	if !limited {
		return true
	}
	if !f.config.AdmissionIsRate {
		return state.level >= 1 || f.random.Uniform() < state.level
	}
	admitted := state.takeToken(now)
	methodTable.admission[method] = state
	return admitted
}

// takeToken refills the token bucket and takes a token, if there is a whole one. The bucket's capacity is the number of tokens that
// are added in one second, but at least one.
func (a *admissionState) takeToken(now statemachine.Seconds) bool {
	a.tokens = min(a.tokens+(now-a.lastRefill)*a.level, max(1, a.level))
	a.lastRefill = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
