package invariant

import (
	"fmt"

	"gingerfork/internal/trace"
)

// retryAfterProof is the trace's reason of a retry whose first attempt is known to have had no effect.
const retryAfterProof = "after proof"

// effect is when and where an RPC took effect.
type effect struct {
	time    float64
	backend uint32
}

// checkRetry applies rule 2 to attempts: a non-idempotent RPC may not be retried without proof, and one with an idempotency
// key only within the window in which backends drop repeats.
func (c *checker) checkRetry(record trace.Record) {
	if record.Method >= len(c.limits.Methods) {
		return
	}
	method := c.limits.Methods[record.Method]
	first, isRetry := c.firstAttempt[record.RPC]
	if !isRetry {
		c.firstAttempt[record.RPC] = record.T
		return
	}
	if record.Text == retryAfterProof {
		return
	}
	switch {
	case method.NonIdempotent:
		c.violate(ruleEffectOnce, record.Who, "%s sent again (%s): RPC %d", method.Name, record.Text, record.RPC)
	case method.HasIdempotencyKey:
		c.measure(ruleEffectOnce, (record.T-first)/method.DedupWindow, "%s was sent again after %.2f s, within its window", method.Name, record.T-first)
		if record.T-first > method.DedupWindow {
			c.violate(ruleEffectOnce, record.Who, "%s sent again %.2f s after the first, outside its window: RPC %d", method.Name, record.T-first, record.RPC)
		}
	}
}

// checkEffect applies rule 2 to effects: an RPC that is not idempotent by itself may run once.
func (c *checker) checkEffect(record trace.Record) {
	if record.Method >= len(c.limits.Methods) {
		return
	}
	method := c.limits.Methods[record.Method]
	earlier, repeated := c.effects[record.RPC]
	if repeated && (method.NonIdempotent || method.HasIdempotencyKey) {
		c.violate(ruleEffectOnce, fmt.Sprintf("server %d", record.EP), "%s ran twice: RPC %d, first at %.3f on server %d",
			method.Name, record.RPC, earlier.time, earlier.backend)
	}
	c.effects[record.RPC] = effect{record.T, record.EP}
}
