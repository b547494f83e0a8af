package checkpoint

import (
	"strconv"

	"gingerfork/choice"
)

const (
	firstNonce = 1
	// nonceReservationSize is how many nonces one record reserves. Half of them last for hours of pushes, so the next
	// reservation is durable long before it is needed. A crash skips at most this many numbers, which does no harm.
	nonceReservationSize = 1 << 20
)

// nonceReservation is a range of nonces whose end, the high-water mark, is recorded before any of them is used. After a
// crash the nonces continue from there, so that none is used twice.
type nonceReservation struct {
	next  uint64 // the nonce to use next
	limit uint64 // the high-water mark: the first nonce that is not reserved
	// firstBatch records the first reservation of this run; 0 until it is taken.
	firstBatch uint64
	// ready is set once the first reservation is durable, or has been waited for long enough.
	ready bool
}

// reserveNonces records a reservation that starts at a nonce.
func (c *Checkpointer) reserveNonces(from uint64) {
	c.nonces.limit = from + nonceReservationSize
	c.put(noncesKey, strconv.AppendUint(nil, c.nonces.limit, 10))
}

// NextNonce returns the nonce for the next push. None is used that may have been used before a crash, unless the store
// failed for longer than a reservation lasts.
func (c *Checkpointer) NextNonce() uint64 {
	nonce := c.nonces.next
	c.nonces.next++
	if c.nonces.next+nonceReservationSize/2 > c.nonces.limit && !c.disabled {
		c.reserveNonces(c.nonces.limit)
	}
	return nonce
}

// NoncesReady reports whether pushes may be sent. Until the first reservation is durable none may: after a crash the next
// run would use the same nonces. Once it has returned true it does not return false again.
func (c *Checkpointer) NoncesReady(now choice.Seconds) bool {
	if c.storeFailed || now >= c.startedAt+maxDurabilityWait {
		c.nonces.ready = true
	}
	return c.nonces.ready
}
