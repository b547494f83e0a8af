package checkpoint

import (
	"strconv"

	"gingerfork/choice"
)

const (
	firstNonce = 1
	// nonceReservationSize is the number of nonces that one record reserves. Half of them last for hours of pushes, so the
	// next reservation, which is made when half are left, is durable long before it is needed. A crash skips the nonces that
	// were reserved and not used, at most one and a half reservations, which does no harm.
	nonceReservationSize = 1 << 20
)

// nonceReservation is a range of nonces whose end, the high-water mark, is recorded before any of them is used. After a
// crash the nonces continue from there, so that none is used twice.
type nonceReservation struct {
	next  uint64 // the nonce to use next
	limit uint64 // the high-water mark: the first nonce that is not reserved
	// firstBatch is the number of the batch with the first reservation of this run; 0 until that batch is taken.
	firstBatch uint64
	// ready is set once the first reservation is durable, maxDurabilityWait has passed or the store does not work.
	ready bool
}

// reserveNonces records a reservation of nonceReservationSize nonces that starts at the given one.
func (c *Checkpointer) reserveNonces(from uint64) {
	c.nonces.limit = from + nonceReservationSize
	c.put(noncesKey, strconv.AppendUint(nil, c.nonces.limit, 10))
}

// NextNonce returns the nonce for the next push. It is one that was not used before a crash, unless the run before the crash
// did not wait for its first reservation to be durable (see NoncesReady) or the store failed for longer than a reservation
// lasts.
func (c *Checkpointer) NextNonce() uint64 {
	nonce := c.nonces.next
	c.nonces.next++
	if c.nonces.next+nonceReservationSize/2 > c.nonces.limit && !c.disabled {
		c.reserveNonces(c.nonces.limit)
	}
	return nonce
}

// NoncesReady returns whether pushes may be sent. They may once the first reservation is durable, since otherwise the next
// run would use the same nonces after a crash. It also returns true after maxDurabilityWait or if the store does not work.
// Once it has returned true, it does not return false again.
func (c *Checkpointer) NoncesReady(now choice.Seconds) bool {
	if c.storeFailed || now >= c.startedAt+maxDurabilityWait {
		c.nonces.ready = true
	}
	return c.nonces.ready
}
