package checkpoint

import (
	"cmp"
	"slices"

	"gingerfork/choice"
)

// pendingDrain is a batch that records a drain and is not durable yet. Acknowledgements of later pushes are counted only once
// it is durable: otherwise a crash could lose a drain that was already reported as complete.
type pendingDrain struct {
	batch   uint64         // number of the batch
	takenAt choice.Seconds // when TakeBatch returned the batch
}

// waitsUntil returns the time from which acknowledgements no longer wait for this batch.
func (p pendingDrain) waitsUntil() choice.Seconds { return p.takenAt + maxDurabilityWait }

// Persisted tells the Checkpointer that all batches up to the given one are durable, and so that the store works.
func (c *Checkpointer) Persisted(batch uint64) {
	c.durableBatch = max(c.durableBatch, batch)
	c.storeFailed = false
	if c.nonces.firstBatch > 0 && c.durableBatch >= c.nonces.firstBatch {
		c.nonces.ready = true
	}
	firstPending := slices.IndexFunc(c.pendingDrains, func(p pendingDrain) bool { return p.batch > c.durableBatch })
	if firstPending < 0 {
		firstPending = len(c.pendingDrains)
	}
	c.pendingDrains = c.pendingDrains[firstPending:]
}

// PersistFailed tells the Checkpointer that the store does not work. Nothing waits for it until the next call of Persisted.
func (c *Checkpointer) PersistFailed() { c.storeFailed = true }

// DurabilityBarrier returns the number of the batch that must be durable before the acknowledgement of a push that is created
// now may be counted: the batch of the last drain, or 0 if all drains are durable. BarrierReached takes the number.
func (c *Checkpointer) DurabilityBarrier() uint64 {
	if c.batchHasDrain {
		return c.lastBatch + 1
	}
	if n := len(c.pendingDrains); n > 0 {
		return c.pendingDrains[n-1].batch
	}
	return 0
}

// BarrierReached returns whether acknowledgements no longer wait for a batch that DurabilityBarrier returned, because it is
// durable, maxDurabilityWait has passed since it was taken, or the store does not work.
func (c *Checkpointer) BarrierReached(now choice.Seconds, batch uint64) bool {
	if c.disabled || c.storeFailed || batch <= c.durableBatch {
		return true
	}
	byBatch := func(p pendingDrain, batch uint64) int { return cmp.Compare(p.batch, batch) }
	i, found := slices.BinarySearchFunc(c.pendingDrains, batch, byBatch)
	return found && now >= c.pendingDrains[i].waitsUntil()
}
