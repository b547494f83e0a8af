package checkpoint

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"gingerfork/choice"
)

// TestCrashes runs random endpoint updates, pushes and acknowledgements. Batches become durable late, and a crash keeps only
// some of the first batches that were not durable. The next run starts from the records that are left. The test checks that
// these decode, that no nonce is used twice, and that no acknowledgement of a push that follows a drain was counted if that
// drain is lost. Only if nothing reached the disk within maxDurabilityWait may a later run use the nonces of a run again,
// because the wait is bounded.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &crashTest{T: t, records: map[string][]byte{}, now: 100}
		for range rapid.IntRange(1, 4).Draw(t, "runs") {
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

// crashTest is a sequence of runs of a Checkpointer over the same records.
type crashTest struct {
	*rapid.T
	records   map[string][]byte // content of the disk when the run started
	now       choice.Seconds
	lastNonce uint64 // the last nonce that was used in any run

	// State of the current run.
	checkpointer     *Checkpointer
	startedAt        choice.Seconds
	lastNonceAtStart uint64
	batches          [][]Mutation
	durableBatches   int // number of batches that were reported as durable
	listVersion      uint64
	pushes           []sentPush
}

// sentPush is a push with the batch that its acknowledgement waits for and the backends that were drained when it was sent.
type sentPush struct {
	barrier uint64
	drained []choice.BackendID
}

func (c *crashTest) startRun() {
	c.Helper()
	state := c.decode(c.records)
	c.checkpointer = New(c.now, state)
	c.startedAt, c.lastNonceAtStart = c.now, c.lastNonce
	c.batches, c.durableBatches, c.pushes = nil, 0, nil
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
	switch rapid.SampledFrom([]string{"list", "push", "proxy", "durable"}).Draw(c.T, "action") {
	case "list":
		c.updateEndpoint()
	case "push":
		c.push()
	case "proxy":
		c.checkpointer.PushSent("f", c.lastNonce)
		c.checkpointer.PushAcknowledged("f", c.lastNonce)
	case "durable":
		if c.durableBatches < len(c.batches) {
			c.durableBatches += rapid.IntRange(1, len(c.batches)-c.durableBatches).Draw(c.T, "batches")
			c.checkpointer.Persisted(uint64(c.durableBatches))
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
		c.Fatalf("nonce %d follows nonce %d, which is not lower", nonce, c.lastNonce)
	}
	c.lastNonce = nonce
	push := sentPush{c.checkpointer.DurabilityBarrier(), c.checkpointer.DrainedBackends()}
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
		c.Fatalf("batch number %d, want %d", batch, len(c.batches))
	}
}

// crash ends the run. The batches that were reported as durable are left, and a random number of those that follow them.
func (c *crashTest) crash() {
	c.Helper()
	left := rapid.IntRange(c.durableBatches, len(c.batches)).Draw(c.T, "left")
	if left == 0 {
		c.checkNothingPersisted()
	}
	durableRecords := maps.Clone(c.records)
	for i, mutations := range c.batches[:left] {
		apply(c.records, mutations)
		if i < c.durableBatches {
			durableRecords = maps.Clone(c.records)
		}
	}
	c.checkCountedPushes(c.decode(durableRecords))
}

// checkNothingPersisted checks a run of which no batch is left. The next run uses its nonces again, so it must not have used
// any before maxDurabilityWait had passed.
func (c *crashTest) checkNothingPersisted() {
	c.Helper()
	if c.lastNonce != c.lastNonceAtStart && c.now < c.startedAt+maxDurabilityWait {
		c.Fatalf("nonces up to %d were used, but no record of them is left after %v s", c.lastNonce, c.now-c.startedAt)
	}
	c.lastNonce = c.lastNonceAtStart
}

// apply applies mutations to the records of a store.
func apply(records map[string][]byte, mutations []Mutation) {
	for _, mutation := range mutations {
		if mutation.Value == nil {
			delete(records, mutation.Key)
		} else {
			records[mutation.Key] = mutation.Value
		}
	}
}

// checkCountedPushes checks that every drain that a counted acknowledgement relies on is in the state that is recovered at
// least. It asks for the barriers as of time 0, so that an acknowledgement which was counted because it had waited too long
// is not checked.
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
				c.Fatalf("the drain of backend %d is lost, but an acknowledgement that waits for batch %d was counted; "+
					"%d batches are durable", backend, push.barrier, c.durableBatches)
			}
		}
	}
}
