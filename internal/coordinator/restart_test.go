package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gingerfork/internal/checkpoint"
	"gingerfork/internal/disk"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/store"
)

const (
	// restartProxies is the number of proxies in the restart scenario.
	restartProxies = 3
	// segmentHeaderBytes is the size of the shortest log that the store opens.
	segmentHeaderBytes = 40
)

// durableFact is a fact that must be known after a restart from a log of at least logSize bytes. It is one of: a proxy
// confirmed that a backend is excluded, a backend is open again, or a nonce was sent.
type durableFact struct {
	logSize  int             // size of the last segment in bytes
	proxy    int             // the proxy that confirmed; 0 for other facts
	backend  proto.BackendID // the backend that is excluded or open again; 0 for a nonce
	nonce    uint64          // 0 for a backend
	restored bool            // the backend is open again
}

// storeHarness is a harness with a store in memory. Each batch is committed to the store before it is reported as durable.
type storeHarness struct {
	*harness
	folder *disk.Memory
	store  *store.Store
	facts  []durableFact
}

// newStoreHarness returns a harness with a machine that continues from the store in a folder.
func newStoreHarness(t *testing.T, folder *disk.Memory) *storeHarness {
	t.Helper()
	opened, _, err := store.Open(store.Options{Folder: folder, ID: 1, MinCompactionBytes: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	saved, err := checkpoint.Decode(opened.Scan(""))
	if err != nil {
		t.Fatal(err)
	}
	harness := newHarness(t, map[string]any{"messages": 0.0}, saved)
	harness.storeHangs = true // the harness must not report batches as durable, as advanceDurably does so
	return &storeHarness{harness: harness, folder: folder, store: opened}
}

// segment returns the name and the size in bytes of the log's last segment.
func (h *storeHarness) segment() (name string, size int) {
	h.t.Helper()
	names, err := h.folder.Names()
	if err != nil {
		h.t.Fatal(err)
	}
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".seg") })
	name = slices.Max(names)
	return name, len(h.folder.Bytes(name))
}

// addFact adds a fact that holds from the current size of the log on.
func (h *storeHarness) addFact(fact durableFact) {
	h.t.Helper()
	_, fact.logSize = h.segment()
	h.facts = append(h.facts, fact)
}

// advanceDurably passes inputs to the machine and lets a time in seconds pass. It commits what each step persists and reports
// it as durable in the next step.
func (h *storeHarness) advanceDurably(span float64, inputs ...statemachine.Input) {
	h.t.Helper()
	for end := h.now + span; ; {
		h.step(0, inputs...)
		inputs = nil
		if h.unreportedBatch > 0 {
			h.commit()
			inputs = []statemachine.Input{{Kind: statemachine.Persisted, Batch: h.unreportedBatch}}
			h.unreportedBatch = 0
			h.now += 0.001
			continue
		}
		if h.now >= end {
			return
		}
		h.now += max(0.0001, min(h.effects.WakeAt, end)-h.now)
	}
}

// commit writes the mutations of the last step to the store.
func (h *storeHarness) commit() {
	h.t.Helper()
	var batch store.Batch
	for _, mutation := range h.effects.Mutations {
		if mutation.Value == nil {
			batch.Delete(mutation.Key)
		} else {
			batch.Put(mutation.Key, mutation.Value)
		}
	}
	if err := h.store.Commit(&batch); err != nil {
		h.t.Fatal(err)
	}
}

// acknowledgeAll lets the proxies acknowledge all pushes and adds the facts that follow from that. It does so three times,
// because acknowledgements may lead to further pushes.
func (h *storeHarness) acknowledgeAll() {
	h.t.Helper()
	for range 3 {
		for proxy := 1; proxy <= restartProxies; proxy++ {
			for _, push := range h.pushes(statemachine.Conn(proxy)) {
				h.acknowledge(proxy, push)
			}
		}
		h.advanceDurably(0.05)
	}
}

// acknowledge lets a proxy acknowledge a push. It adds the push's nonce and the exclusions in it as facts.
func (h *storeHarness) acknowledge(proxy int, push proto.Push) {
	h.t.Helper()
	h.addFact(durableFact{nonce: push.Nonce})
	h.advanceDurably(0.01, data(statemachine.Conn(proxy), proto.Acknowledgement{Nonce: push.Nonce}))
	for _, op := range push.Ops {
		if op.Kind == proto.OpExclude {
			h.addFact(durableFact{proxy: proxy, backend: op.Backends[0]})
		}
	}
}

// applyEndpoints sends changes of the endpoint list, adds the facts that follow, and lets the proxies acknowledge the pushes.
func (h *storeHarness) applyEndpoints(entries ...proto.Endpoint) {
	h.t.Helper()
	for _, entry := range entries {
		if entry.State == proto.BackendOpen {
			h.addFact(durableFact{backend: entry.Backend, restored: true})
		}
	}
	h.advanceDurably(0.05, h.endpointChanges(entries...))
	h.acknowledgeAll()
}

// compact moves the log to a snapshot, so that all facts so far hold whatever the size of the new log is.
func (h *storeHarness) compact() {
	h.t.Helper()
	for more := true; more; {
		var err error
		if more, err = h.store.Compact(true); err != nil {
			h.t.Fatal(err)
		}
	}
	for i := range h.facts {
		h.facts[i].logSize = 0
	}
}

// playRestartScenario runs a coordinator while backends drain, leave and come back and the proxies acknowledge all pushes. If
// compact is true, the store is compacted halfway.
func playRestartScenario(t *testing.T, folder *disk.Memory, compact bool) *storeHarness {
	t.Helper()
	harness := newStoreHarness(t, folder)
	harness.advanceDurably(0.5)
	harness.listVersion++
	harness.advanceDurably(0.1, opened(harness.endpointConn),
		data(harness.endpointConn, proto.Welcome{Version: 1, Name: "list"}, fullList(harness.listVersion, 8)))
	for proxy := 1; proxy <= restartProxies; proxy++ {
		conn := statemachine.Conn(proxy)
		harness.advanceDurably(0.01, opened(conn), data(conn, hello(fmt.Sprint("f", proxy))))
	}
	harness.advanceDurably(0.2)
	harness.acknowledgeAll()
	harness.applyEndpoints(listEntry(1, proto.BackendDraining))
	harness.applyEndpoints(listEntry(2, proto.BackendDraining), listEntry(3, proto.BackendGone))
	if compact {
		harness.compact()
	}
	restarted := listEntry(1, proto.BackendOpen)
	restarted.Incarnation = 2
	harness.applyEndpoints(restarted)
	harness.applyEndpoints(listEntry(4, proto.BackendGone), listEntry(5, proto.BackendDraining))
	harness.advanceDurably(1.5)
	return harness
}

// durableState is the sum of all facts that hold at a size of the log.
type durableState struct {
	// excluded has the excluded backends, each with the proxies that confirmed the exclusion.
	excluded  map[proto.BackendID]map[int]bool
	lastNonce uint64
	logSize   int // size of the log in bytes, for failure messages
}

// durableStateAt returns the state that must be known after a restart from a log of the given size.
func durableStateAt(facts []durableFact, logSize int) durableState {
	state := durableState{excluded: map[proto.BackendID]map[int]bool{}, logSize: logSize}
	for _, fact := range facts {
		switch {
		case fact.logSize > logSize:
		case fact.nonce > 0:
			state.lastNonce = max(state.lastNonce, fact.nonce)
		case fact.restored:
			delete(state.excluded, fact.backend)
		case fact.backend > 0:
			if state.excluded[fact.backend] == nil {
				state.excluded[fact.backend] = map[int]bool{}
			}
			state.excluded[fact.backend][fact.proxy] = true
		}
	}
	return state
}

// check checks a proxy's pushes after the restart against the state: no excluded backend is routable, no exclusion that the
// proxy confirmed is sent again, and no nonce is reused. It returns the number of confirmed exclusions that it checked.
func (s durableState) check(t *testing.T, proxy int, pushes []proto.Push) int {
	t.Helper()
	checked := 0
	routable := routableBackends(pushes)
	for backend, confirmedBy := range s.excluded {
		if routable[backend] {
			t.Fatalf("log of %d bytes: proxy %d may send to backend %d, which is excluded", s.logSize, proxy, backend)
		}
		if !confirmedBy[proxy] {
			continue
		}
		checked++
		if hasOp(pushes, proto.OpExclude, backend) {
			t.Fatalf("log of %d bytes: proxy %d is sent the exclusion of backend %d again", s.logSize, proxy, backend)
		}
	}
	for _, push := range pushes {
		if push.HasNonce && push.Nonce <= s.lastNonce {
			t.Fatalf("log of %d bytes: nonce %d was sent, but nonces up to %d were used before", s.logSize, push.Nonce, s.lastNonce)
		}
	}
	return checked
}

// The operators require that no acknowledged command is lost or repeated after a crash. The test truncates the store's log at
// every byte and starts a coordinator on what is left, without an endpoint list service. No proxy may then send to a backend
// whose exclusion was confirmed, no exclusion that a proxy confirmed is sent to it again, and no nonce is used twice.
func TestRestartFromStoreCutAtEveryByte(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprintf("compact=%v", compact), func(t *testing.T) {
			folder := disk.NewMemory()
			harness := playRestartScenario(t, folder, compact)
			if n := len(harness.facts); n < 20 {
				t.Fatalf("the scenario has %d facts, want at least 20", n)
			}
			name, size := harness.segment()
			log := slices.Clone(folder.Bytes(name))
			checked := 0
			for cut := segmentHeaderBytes; cut <= size; cut++ {
				remaining := folder.Copy()
				remaining.Put(name, slices.Clone(log[:cut]))
				checked += checkRestart(t, remaining, durableStateAt(harness.facts, cut))
			}
			t.Logf("%d bytes, %d facts, %d exclusions checked", size, len(harness.facts), checked)
			if checked < 1000 {
				t.Error("fewer than 1000 exclusions were checked")
			}
		})
	}
}

// checkRestart starts a coordinator on a store, lets the proxies join again and checks their pushes against the state. It
// returns the number of confirmed exclusions that it checked.
func checkRestart(t *testing.T, folder *disk.Memory, want durableState) int {
	t.Helper()
	harness := newStoreHarness(t, folder)
	for proxy := 1; proxy <= restartProxies; proxy++ {
		rejoining := hello(fmt.Sprint("f", proxy))
		rejoining.HasNoTables, rejoining.TablesOf, rejoining.Nonce = false, "c0", want.lastNonce
		conn := statemachine.Conn(proxy)
		harness.advanceDurably(0.01, opened(conn), data(conn, rejoining))
	}
	harness.advanceDurably(0.3)
	checked := 0
	for proxy := 1; proxy <= restartProxies; proxy++ {
		checked += want.check(t, proxy, harness.pushes(statemachine.Conn(proxy)))
	}
	return checked
}
