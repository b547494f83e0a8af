package checkpoint

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/choice"
)

// TestCrashes plays random endpoint updates, pushes and acknowledgements. Batches become durable late, and a crash leaves a
// prefix of those that were not. What is decoded then is the state after some batch that is no earlier than the last one
// known to be durable; no nonce is used twice; no acknowledgement of a push that follows a drain was counted if that drain
// is lost. Only a run in which nothing reached the disk within maxDurabilityWait may use nonces that a later one uses
// again: that is the price of the bounded wait.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &crashTest{T: t, records: map[string][]byte{}, now: 100}
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			test.startRun()
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				test.now += rapid.Float64Range(0, 0.2).Draw(t, "time")
				test.step()
				test.takeBatch()
			}
			test.crash()
		}
	})
}

// crashTest is a sequence of runs over the same records.
type crashTest struct {
	*rapid.T
	records   map[string][]byte // as on the disk when the run started
	now       choice.Seconds
	lastNonce uint64

	// Of the current run.
	checkpointer     *Checkpointer
	startedAt        choice.Seconds
	lastNonceAtStart uint64
	batches          [][]Mutation
	durable          int // batches
	listVersion      uint64
	pushes           []drainedPush
}

// drainedPush is a push, what its acknowledgement waits for, and the backends that were drained when it was sent.
type drainedPush struct {
	barrier uint64
	drained []choice.BackendID
}

func (c *crashTest) startRun() {
	c.Helper()
	state := c.decode(c.records)
	c.checkpointer = New(c.now, state)
	c.startedAt, c.lastNonceAtStart = c.now, c.lastNonce
	c.batches, c.durable, c.pushes = nil, 0, nil
	c.listVersion = state.ListVersion
}

func (c *crashTest) decode(records map[string][]byte) *State {
	c.Helper()
	state, err := Decode(maps.All(records))
	if err != nil {
		c.Fatal(err)
	}
	return state
}

func (c *crashTest) step() {
	c.Helper()
	switch rapid.SampledFrom([]string{"list", "push", "proxy", "durable"}).Draw(c.T, "what") {
	case "list":
		c.updateEndpoint()
	case "push":
		c.push()
	case "proxy":
		c.checkpointer.PushSent("f", c.lastNonce)
		c.checkpointer.PushAcknowledged("f", c.lastNonce)
	case "durable":
		if c.durable < len(c.batches) {
			c.durable += rapid.IntRange(1, len(c.batches)-c.durable).Draw(c.T, "batches")
			c.checkpointer.Persisted(uint64(c.durable))
		}
	}
}

func (c *crashTest) updateEndpoint() {
	c.listVersion++
	backend := choice.BackendID(rapid.IntRange(1, 4).Draw(c.T, "backend"))
	if rapid.IntRange(0, 3).Draw(c.T, "removed") == 0 {
		c.checkpointer.UpdateEndpoints(c.now, c.listVersion, nil, []choice.BackendID{backend})
		return
	}
	entry := choice.Endpoint{Backend: backend, Kind: "a b", Zone: "z\"", Weight: 1.5, StartedAt: c.now}
	entry.State = choice.BackendState(rapid.IntRange(0, 1).Draw(c.T, "state"))
	endpoint := Endpoint{Entry: entry, Incarnation: c.listVersion, Addr: "h:1"}
	c.checkpointer.UpdateEndpoints(c.now, c.listVersion, []Endpoint{endpoint}, nil)
}

func (c *crashTest) push() {
	c.Helper()
	if !c.checkpointer.NoncesReady(c.now) {
		return
	}
	nonce := c.checkpointer.NextNonce()
	if nonce <= c.lastNonce {
		c.Fatalf("nonce %d after %d", nonce, c.lastNonce)
	}
	c.lastNonce = nonce
	push := drainedPush{c.checkpointer.DurabilityBarrier(), c.checkpointer.DrainedBackends()}
	c.pushes = append(c.pushes, push)
}

func (c *crashTest) takeBatch() {
	c.Helper()
	mutations, batch := c.checkpointer.TakeBatch(c.now)
	if batch == 0 {
		return
	}
	c.batches = append(c.batches, mutations)
	if int(batch) != len(c.batches) {
		c.Fatalf("batch %d is the %dth", batch, len(c.batches))
	}
}

// crash ends the run: the durable batches are left, and perhaps some of those after them.
func (c *crashTest) crash() {
	c.Helper()
	left := rapid.IntRange(c.durable, len(c.batches)).Draw(c.T, "left")
	if left == 0 {
		c.checkNothingPersisted()
	}
	durableRecords := maps.Clone(c.records)
	for i, mutations := range c.batches[:left] {
		apply(c.records, mutations)
		if i < c.durable {
			durableRecords = maps.Clone(c.records)
		}
	}
	c.checkCountedPushes(c.decode(durableRecords))
}

// checkNothingPersisted allows for nonces that the next run uses again only after maxDurabilityWait.
func (c *crashTest) checkNothingPersisted() {
	c.Helper()
	if c.lastNonce != c.lastNonceAtStart && c.now < c.startedAt+maxDurabilityWait {
		c.Fatalf("nonces up to %d were used after %v s, and no record says so", c.lastNonce, c.now-c.startedAt)
	}
	c.lastNonce = c.lastNonceAtStart
}

func apply(records map[string][]byte, mutations []Mutation) {
	for _, mutation := range mutations {
		if mutation.Value == nil {
			delete(records, mutation.Key)
		} else {
			records[mutation.Key] = mutation.Value
		}
	}
}

// checkCountedPushes holds the counted acknowledgements against the state that is surely recovered. At time 0 none was
// counted because it waited for too long.
func (c *crashTest) checkCountedPushes(recovered *State) {
	c.Helper()
	for _, push := range c.pushes {
		if !c.checkpointer.BarrierReached(0, push.barrier) {
			continue
		}
		for _, backend := range push.drained {
			endpoint, listed := recovered.Endpoints[backend]
			reopened := listed && endpoint.Entry.State == choice.BackendOpen
			if _, known := recovered.Drains[backend]; !known && !reopened {
				c.Fatalf("an acknowledgement counted that needs batch %d of %d, and the drain of %d is lost",
					push.barrier, c.durable, backend)
			}
		}
	}
}
