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
	first, isRetry := c.firstAttempt[record.RPCID]
	if !isRetry {
		c.firstAttempt[record.RPCID] = record.Time
		return
	}
	if record.Text == retryAfterProof {
		return
	}
	switch {
	case method.NonIdempotent:
		c.violate(ruleEffectOnce, record.Party, "%s sent again (%s): RPC %d", method.Name, record.Text, record.RPCID)
	case method.HasIdempotencyKey:
		c.measure(ruleEffectOnce, (record.Time-first)/method.DedupWindow, "%s was sent again after %.2f s, within its window", method.Name, record.Time-first)
		if record.Time-first > method.DedupWindow {
			c.violate(ruleEffectOnce, record.Party, "%s sent again %.2f s after the first, outside its window: RPC %d", method.Name, record.Time-first, record.RPCID)
		}
	}
}

// checkEffect applies rule 2 to effects: an RPC that is not idempotent by itself may run once.
func (c *checker) checkEffect(record trace.Record) {
	if record.Method >= len(c.limits.Methods) {
		return
	}
	method := c.limits.Methods[record.Method]
	earlier, repeated := c.effects[record.RPCID]
	if repeated && (method.NonIdempotent || method.HasIdempotencyKey) {
		c.violate(ruleEffectOnce, fmt.Sprintf("server %d", record.Backend), "%s ran twice: RPC %d, first at %.3f on server %d",
			method.Name, record.RPCID, earlier.time, earlier.backend)
	}
	c.effects[record.RPCID] = effect{record.Time, record.Backend}
}
