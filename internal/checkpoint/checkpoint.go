// Package checkpoint decides which coordinator state is persisted for the next start, and what must be durable before
// what. It is a pure state machine: the coordinator reports what it decided and sent and what the store has made durable,
// and takes batches of records to write. The package has no file, clock or goroutine. docs/store.md explains its rules.
package checkpoint

import (
	"maps"
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

const (
	// maxDurabilityWait is how long anything waits for the disk, in seconds: a disk that hangs must not stop the pushes to
	// proxies. If the machine fails within this time, acknowledgements that were counted may be lost, as without a store.
	maxDurabilityWait = 0.5
	// proxyFlushInterval is the time between two writes of the proxies' nonces, in seconds. Nothing waits for them.
	proxyFlushInterval = 1.0
	// maxDeadlineDelay bounds the search for the next deadline, in seconds.
	maxDeadlineDelay = 3600
)

// Mutation is a record to be written, or removed if it has no value.
type Mutation = statemachine.Mutation

// Checkpointer collects the records to persist and tracks which of them are durable. It is not safe for concurrent use.
type Checkpointer struct {
	disabled  bool // nothing is persisted
	mutations []Mutation
	// mutationIndex is the place of each key in mutations, so that a batch writes a key once.
	mutationIndex map[string]int

	lastBatch    uint64 // the last batch that was taken
	durableBatch uint64 // the last batch that is durable
	storeFailed  bool   // nothing waits for the store

	drains        map[choice.BackendID]Drain
	pendingDrains []pendingDrain // not durable yet, oldest first
	batchHasDrain bool           // the batch being collected records a drain

	nonces nonceReservation

	proxies          map[string]Proxy
	unseenProxies    map[string]bool // recovered, and not seen since the start
	dirtyProxies     map[string]bool // changed since the last flush
	lastProxyFlushAt choice.Seconds

	startedAt choice.Seconds
	settings  string
}

// New returns a Checkpointer that continues from the recovered state. A nil state disables it: nothing is persisted.
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

// UpdateSettings records the settings in force and reports whether they differ from those that were persisted.
func (c *Checkpointer) UpdateSettings(text string) (changed bool) {
	if c.disabled || text == c.settings {
		return false
	}
	changed = c.settings != ""
	c.settings = text
	c.put(settingsKey, []byte(text))
	return changed
}

// TakeBatch returns the mutations that were collected, under a new batch number, or no mutations and 0. The proxies'
// nonces are added once in each flush interval.
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

// NextDeadline returns when a wait for the disk ends or something is to be written; ok is false if there is nothing.
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
