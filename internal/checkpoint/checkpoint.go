// Package checkpoint selects the coordinator state that is persisted for the next start, and decides what must be durable
// before pushes are sent and acknowledgements are counted. It is a pure state machine: the coordinator reports what it
// decided and sent and which batches the store has made durable, and takes batches of records to write. A batch is
// a set of records that the store writes together; batches are numbered from 1. A drain is the record that the endpoint
// list took a backend out of service. The package has no file, clock or goroutine. docs/store.md explains its rules.
package checkpoint

import (
	"maps"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

const (
	// maxDurabilityWait is the longest time that anything waits for the disk, in seconds: a disk that hangs must not stop the
	// pushes to proxies. If the host fails while the disk hangs for longer, acknowledgements that were counted may be lost,
	// as without a store.
	maxDurabilityWait = 0.5
	// proxyFlushInterval is the least time between two writes of the proxies' nonces, in seconds. Nothing waits for these
	// writes.
	proxyFlushInterval = 1.0
	// maxDeadlineDelay is the most that NextDeadline looks ahead, in seconds.
	maxDeadlineDelay = 3600
)

// Mutation is a record to be written, or to be removed if its value is nil.
type Mutation = statemachine.Mutation

// Checkpointer collects the records to persist and tracks which of them are durable. It is not safe for concurrent use.
type Checkpointer struct {
	disabled  bool       // nothing is persisted
	mutations []Mutation // content of the batch being collected
	// mutationIndex is the index of each key in mutations, so that a batch has each key only once.
	mutationIndex map[string]int

	lastBatch    uint64 // number of the last batch that was taken
	durableBatch uint64 // number of the last batch that is durable
	storeFailed  bool   // the store does not work, so nothing waits for it

	drains        map[choice.BackendID]Drain // the recorded drains
	pendingDrains []pendingDrain             // batches with drains; these batches are not durable yet, oldest first
	batchHasDrain bool                       // the batch being collected records a drain

	nonces nonceReservation

	proxies          map[string]Proxy // records by the proxy's name
	unseenProxies    map[string]bool  // names of proxies that were recovered and were sent no push since the start
	dirtyProxies     map[string]bool  // names of proxies whose record changed since the last flush, see flushProxies
	lastProxyFlushAt choice.Seconds   // time of the last flush of the proxies' records

	startedAt choice.Seconds // when this run of the coordinator started
	settings  string         // text of the settings as last persisted
}

// New returns a Checkpointer that continues from the recovered state. If that is nil, nothing is persisted.
func New(now choice.Seconds, recovered *State) *Checkpointer {
	checkpointer := &Checkpointer{
		mutationIndex:    map[string]int{},
		drains:           map[choice.BackendID]Drain{},
		proxies:          map[string]Proxy{},
		unseenProxies:    map[string]bool{},
		dirtyProxies:     map[string]bool{},
		lastProxyFlushAt: now,
		startedAt:        now,
	}
	if recovered == nil {
		checkpointer.disabled = true
		checkpointer.nonces = nonceReservation{next: 1, ready: true}
		return checkpointer
	}
	maps.Copy(checkpointer.drains, recovered.Drains)
	maps.Copy(checkpointer.proxies, recovered.Proxies)
	for name := range recovered.Proxies {
		checkpointer.unseenProxies[name] = true
	}
	checkpointer.settings = recovered.Settings
	checkpointer.nonces.next = max(recovered.NonceLimit, firstNonce)
	checkpointer.reserveNonces(checkpointer.nonces.next)
	return checkpointer
}

// put adds a mutation to the batch being collected; a nil value removes the key.
func (c *Checkpointer) put(key string, value []byte) {
	if c.disabled {
		return
	}
	if i, ok := c.mutationIndex[key]; ok {
		c.mutations[i].Value = value
		return
	}
	c.mutationIndex[key] = len(c.mutations)
	c.mutations = append(c.mutations, Mutation{Key: key, Value: value})
}

// UpdateSettings records the text of the settings in force, and reports whether it differs from a text that was persisted
// before.
func (c *Checkpointer) UpdateSettings(text string) (changed bool) {
	if c.disabled || text == c.settings {
		return false
	}
	changed = c.settings != ""
	c.settings = text
	c.put(settingsKey, []byte(text))
	return changed
}

// TakeBatch returns the mutations collected since the last call and a new batch number, or nil and 0 if there are none. The
// proxies' nonces are added at most once in each flush interval.
func (c *Checkpointer) TakeBatch(now choice.Seconds) (mutations []Mutation, batch uint64) {
	if c.disabled {
		return nil, 0
	}
	c.removeUnseenProxies(now)
	c.flushProxies(now)
	if len(c.mutations) == 0 {
		return nil, 0
	}
	c.lastBatch++
	if c.nonces.firstBatch == 0 {
		c.nonces.firstBatch = c.lastBatch
	}
	if c.batchHasDrain {
		c.pendingDrains = append(c.pendingDrains, pendingDrain{batch: c.lastBatch, takenAt: now})
		c.batchHasDrain = false
	}
	mutations, c.mutations = c.mutations, nil
	clear(c.mutationIndex)
	return mutations, c.lastBatch
}

// NextDeadline returns the time when the next wait for the disk ends or the proxies' nonces are to be written. It returns
// false if there is no such time.
func (c *Checkpointer) NextDeadline(now choice.Seconds) (at choice.Seconds, ok bool) {
	if c.disabled {
		return 0, false
	}
	at = now + maxDeadlineDelay
	consider := func(deadline choice.Seconds) {
		at = min(at, deadline)
		ok = true
	}
	if len(c.dirtyProxies) > 0 {
		consider(c.lastProxyFlushAt + proxyFlushInterval)
	}
	if !c.nonces.ready {
		consider(c.startedAt + maxDurabilityWait)
	}
	if c.storeFailed {
		return at, ok
	}
	next := slices.IndexFunc(c.pendingDrains, func(p pendingDrain) bool { return p.waitsUntil() > now })
	if next >= 0 {
		consider(c.pendingDrains[next].waitsUntil())
	}
	return at, ok
}
