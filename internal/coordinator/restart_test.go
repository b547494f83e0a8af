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
	// restartProxies is how many proxies are joined in the restart scenario.
	restartProxies = 3
	// segmentHeaderBytes is the length of the shortest log that the store opens.
	segmentHeaderBytes = 40
)

// durableFact is something that a restart must know if the log reaches this size: a backend that a proxy confirmed as
// excluded, a backend that is back in use, or a nonce that was sent.
type durableFact struct {
	logSize  int // bytes of the segment
	proxy    int
	backend  proto.BackendID
	nonce    uint64
	restored bool
}

// storeHarness is a harness over a store in memory, which commits each batch before it reports it as durable.
type storeHarness struct {
	*harness
	folder *disk.Memory
	store  *store.Store
	facts  []durableFact
}

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
	harness.storeHangs = true // advanceDurably reports batches as durable instead
	return &storeHarness{harness: harness, folder: folder, store: opened}
}

// segment returns the name and the size of the log's last segment.
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

func (h *storeHarness) addFact(fact durableFact) {
	h.t.Helper()
	_, fact.logSize = h.segment()
	h.facts = append(h.facts, fact)
}

// advanceDurably steps until a time has passed and commits what each step persists.
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

// acknowledgeAll lets the proxies acknowledge all pushes, and adds the facts that follow from that.
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

// applyEndpoints sends changes of the endpoint list, adds the facts that follow, and lets the proxies acknowledge.
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

// compact moves the log into a snapshot, so that all facts so far hold whatever the size of the log.
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

// playRestartScenario plays drains and backends that leave and come back, with the acknowledgements of the proxies.
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

// durableState is what the facts up to a size of the log amount to.
type durableState struct {
	// excluded has the backends that are out of use, each with the proxies that confirmed so.
	excluded  map[proto.BackendID]map[int]bool
	lastNonce uint64
	logSize   int // size of the log in bytes, for messages
}

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

// check checks a proxy's pushes after the restart and returns how many confirmed exclusions they were checked against.
func (s durableState) check(t *testing.T, proxy int, pushes []proto.Push) int {
	t.Helper()
	checked := 0
	routable := routableBackends(pushes)
	for backend, confirmedBy := range s.excluded {
		if routable[backend] {
			t.Fatalf("cut at %d: proxy %d may send to backend %d, which is excluded", s.logSize, proxy, backend)
		}
		if !confirmedBy[proxy] {
			continue
		}
		checked++
		if hasOp(pushes, proto.OpExclude, backend) {
			t.Fatalf("cut at %d: proxy %d gets the exclusion of backend %d again", s.logSize, proxy, backend)
		}
	}
	for _, push := range pushes {
		if push.HasNonce && push.Nonce <= s.lastNonce {
			t.Fatalf("cut at %d: nonce %d, though %d was used before", s.logSize, push.Nonce, s.lastNonce)
		}
	}
	return checked
}

// The operators' own proof: the store's log is cut at every byte, and a coordinator is started on what is left, without an
// endpoint list service. No command that was acknowledged is lost: no proxy may send to a backend that it had confirmed as
// excluded. None is repeated: no exclusion that a proxy had confirmed is sent to it again, and no nonce is used twice.
func TestRestartFromStoreCutAtEveryByte(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprintf("compact=%v", compact), func(t *testing.T) {
			folder := disk.NewMemory()
			harness := playRestartScenario(t, folder, compact)
			if n := len(harness.facts); n < 20 {
				t.Fatalf("%d facts", n)
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
				t.Error("hardly any exclusion was checked")
			}
		})
	}
}

// checkRestart starts a coordinator on a store, lets the proxies join again and checks their pushes.
func checkRestart(t *testing.T, folder *disk.Memory, want durableState) int {
	t.Helper()
	harness := newStoreHarness(t, folder)
	for proxy := 1; proxy <= restartProxies; proxy++ {
		again := hello(fmt.Sprint("f", proxy))
		again.Fresh, again.TablesOf, again.Nonce = false, "c0", want.lastNonce
		conn := statemachine.Conn(proxy)
		harness.advanceDurably(0.01, opened(conn), data(conn, again))
	}
	harness.advanceDurably(0.3)
	checked := 0
	for proxy := 1; proxy <= restartProxies; proxy++ {
		checked += want.check(t, proxy, harness.pushes(statemachine.Conn(proxy)))
	}
	return checked
}
