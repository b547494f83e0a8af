package invariant

import (
	"fmt"

	"gingerfork/internal/trace"
)

// retryAfterProof is the reason that the trace gives for a retry whose earlier attempt is known to have had no effect.
const retryAfterProof = "after proof"

// effect is the last execution of an RPC.
type effect struct {
	time    float64
	backend uint32
}

// checkRetry applies rule 2 to attempts. Without proof that the earlier attempt had no effect, a non-idempotent RPC may not be
// retried, and one with an idempotency key only within the window in which backends drop repeats.
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
		c.recordViolation(ruleEffectOnce, record.Party, "%s retried without proof that it had no effect (%s): RPC %d", method.Name, record.Text, record.RPCID)
	case method.HasIdempotencyKey:
		c.recordClosest(ruleEffectOnce, (record.Time-first)/method.DedupWindow, "%s was retried %.2f s after its first attempt", method.Name, record.Time-first)
		if record.Time-first > method.DedupWindow {
			c.recordViolation(ruleEffectOnce, record.Party, "%s retried %.2f s after its first attempt, outside its deduplication window: RPC %d", method.Name, record.Time-first, record.RPCID)
		}
	}
}

// checkEffect applies rule 2 to executions: an RPC whose method is not idempotent by itself may be executed only once.
func (c *checker) checkEffect(record trace.Record) {
	if record.Method >= len(c.limits.Methods) {
		return
	}
	method := c.limits.Methods[record.Method]
	earlier, repeated := c.effects[record.RPCID]
	if repeated && (method.NonIdempotent || method.HasIdempotencyKey) {
		c.recordViolation(ruleEffectOnce, fmt.Sprintf("server %d", record.Backend), "%s executed twice: RPC %d, before at %.3f on backend %d",
			method.Name, record.RPCID, earlier.time, earlier.backend)
	}
	c.effects[record.RPCID] = effect{record.Time, record.Backend}
}
