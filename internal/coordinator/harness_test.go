package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// endpointListAddr is the address of the endpoint list service.
const endpointListAddr = "list"

// testSettings returns the default settings of the tests, with some of them overridden.
func testSettings(overrides map[string]any) choice.Settings {
	settings := map[string]any{
		"listing": "asked", "ask_within": 10.0, "cold_share": 0.3, "warm_after": 10.0, "drain_grace": 2.0, "fall_multiple": 2.5,
		"channel_room": 20000.0, "channel_pace": 10000.0, "message_lines": 10.0, "messages": 30.0, "messages_span": 10.0,
		"push_time": 0.1, "push_time_worst": 0.3, "proxies": 4.0, "level_kind": "share", "report_period": 1.0, "probes": true,
		"try_wait": 0.8, "tick": 0.004, "zone": "a", "zones.n": 2.0, "zones.0": "a", "zones.1": "b", "method.n": 2.0,
		"method.0.name": "read", "method.0.effect": "idempotent", "method.0.soft_deadline": 1.0, "method.0.criticality": 1.0,
		"method.1.name": "submit", "method.1.effect": "non-idempotent", "method.1.soft_deadline": 1.0,
		"method.1.criticality": 2.0,
	}
	maps.Copy(settings, overrides)
	return choice.DecodeSettings(settings)
}

// harness drives a Machine step by step in virtual time. It acts as the endpoint list service, as the store and as any number
// of proxies.
type harness struct {
	t               *testing.T
	machine         *Machine
	now             float64
	effects         statemachine.Effects
	endpointConn    statemachine.Conn            // last connection that the machine dialed to the endpoint list service
	probes          map[statemachine.Conn]string // addresses that were dialed for probes
	readers         map[statemachine.Conn]*proto.Reader
	received        map[statemachine.Conn][]proto.Message // sent by the machine and not removed by pushes
	closed          map[statemachine.Conn]bool            // closed or aborted by the machine
	listVersion     uint64                                // version of the endpoint list that was sent last
	records         map[string][]byte                     // content of the store
	unreportedBatch uint64                                // last batch if it was not reported to the machine as durable yet; 0 if none
	storeHangs      bool                                  // batches are not reported as durable
	logs            []string                              // messages with their attributes
}

// newHarness returns a harness with a new machine that continues from saved state, which may be nil.
func newHarness(t *testing.T, overrides map[string]any, saved *checkpoint.State) *harness {
	t.Helper()
	created := &harness{
		t:        t,
		now:      1000,
		probes:   map[statemachine.Conn]string{},
		readers:  map[statemachine.Conn]*proto.Reader{},
		received: map[statemachine.Conn][]proto.Message{},
		closed:   map[statemachine.Conn]bool{},
		records:  map[string][]byte{},
	}
	created.machine = NewMachine(Bootstrap{
		Name:                    "c0",
		Zone:                    "a",
		EndpointListAddr:        endpointListAddr,
		ModuleConfig:            choice.Config{Seed: 1, Now: created.now, Settings: testSettings(overrides)},
		HandshakeTimeout:        5,
		ProxyIdleTimeout:        10,
		EndpointListIdleTimeout: 5,
		ProbeTimeout:            1,
		MaxStreams:              1000,
		MaxProbes:               4,
	}, saved)
	return created
}

// step lets time pass, in seconds, then passes inputs to the machine and records its effects.
func (h *harness) step(after float64, inputs ...statemachine.Input) {
	h.t.Helper()
	h.now += after
	h.effects.Reset()
	if h.unreportedBatch > 0 && !h.storeHangs {
		inputs = append([]statemachine.Input{{Kind: statemachine.Persisted, Batch: h.unreportedBatch}}, inputs...)
		h.unreportedBatch = 0
	}
	h.machine.Step(h.now, inputs, &h.effects)
	if h.effects.Failure != "" {
		h.t.Fatal(h.effects.Failure)
	}
	for _, entry := range h.effects.LogEntries {
		h.logs = append(h.logs, fmt.Sprint(entry.Message, entry.Attributes))
	}
	h.recordMutations()
	for _, action := range h.effects.Actions {
		h.recordAction(action)
	}
}

// recordMutations applies the mutations of a step to the store.
func (h *harness) recordMutations() {
	for _, mutation := range h.effects.Mutations {
		if mutation.Value == nil {
			delete(h.records, mutation.Key)
		} else {
			h.records[mutation.Key] = mutation.Value
		}
	}
	if h.effects.Batch > 0 {
		h.unreportedBatch = h.effects.Batch
		h.effects.WakeBy(h.now + 0.001)
	}
}

// recordAction records one action of a step on a connection.
func (h *harness) recordAction(action statemachine.Action) {
	h.t.Helper()
	switch action.Kind {
	case statemachine.ActionDial:
		if action.Addr == endpointListAddr {
			h.endpointConn = action.Conn
		} else {
			h.probes[action.Conn] = action.Addr
		}
	case statemachine.ActionWrite:
		h.recordWrite(action.Conn, action.Data)
	default:
		h.closed[action.Conn] = true
	}
}

// recordWrite decodes and records the messages that the machine sent.
func (h *harness) recordWrite(conn statemachine.Conn, data []byte) {
	h.t.Helper()
	reader := h.readers[conn]
	if reader == nil {
		reader = &proto.Reader{}
		reader.HandshakeDone()
		h.readers[conn] = reader
	}
	reader.Feed(data)
	for {
		message, err := reader.Next()
		if err != nil {
			h.t.Fatal(err)
		}
		if message == nil {
			return
		}
		h.received[conn] = append(h.received[conn], message)
	}
}

// advance lets a time in seconds pass, and takes a step whenever the machine requests one.
func (h *harness) advance(span float64) {
	h.t.Helper()
	for end := h.now + span; h.now < end; {
		h.step(max(0.0001, min(h.effects.WakeAt, end)-h.now))
	}
}

// restartState returns the state that a restart decodes from the store.
func (h *harness) restartState() *checkpoint.State {
	h.t.Helper()
	saved, err := checkpoint.Decode(maps.All(h.records))
	if err != nil {
		h.t.Fatal(err)
	}
	return saved
}

// serveEndpoints accepts the connection to the endpoint list service and sends a full list with count backends.
func (h *harness) serveEndpoints(count int) {
	h.t.Helper()
	h.advance(0.5)
	if h.endpointConn == 0 {
		h.t.Fatal("the endpoint list service was not dialed")
	}
	h.listVersion++
	h.step(0.01, opened(h.endpointConn),
		data(h.endpointConn, proto.Welcome{Version: 1, Name: "list"}, fullList(h.listVersion, count)))
	h.advance(0.1)
}

// updateEndpoints sends changes of the endpoint list.
func (h *harness) updateEndpoints(entries ...proto.Endpoint) {
	h.t.Helper()
	h.step(0.01, h.endpointChanges(entries...))
}

// endpointChanges returns the frame with the next version of the endpoint list, as an input.
func (h *harness) endpointChanges(entries ...proto.Endpoint) statemachine.Input {
	h.listVersion++
	return data(h.endpointConn, proto.EndpointUpdate{
		Kind: proto.UpdateDelta, BaseVersion: h.listVersion - 1, Version: h.listVersion, Endpoints: entries,
	})
}

// endpointKeepalive returns the frame that confirms the current version of the endpoint list, as an input.
func (h *harness) endpointKeepalive() statemachine.Input {
	return data(h.endpointConn, proto.EndpointUpdate{
		Kind: proto.UpdateDelta, BaseVersion: h.listVersion, Version: h.listVersion,
	})
}

// join opens a connection on which a proxy joins.
func (h *harness) join(conn statemachine.Conn, name string) {
	h.t.Helper()
	h.step(0.01, opened(conn), data(conn, hello(name)))
}

// joinMany lets proxies join on the connections 1 to count, all in one step.
func (h *harness) joinMany(count int) {
	h.t.Helper()
	var inputs []statemachine.Input
	for i := range count {
		conn := statemachine.Conn(i + 1)
		inputs = append(inputs, opened(conn), data(conn, hello(fmt.Sprint("f", i))))
	}
	h.step(0.01, inputs...)
}

// pushes returns the pushes that were received on a connection, and removes all messages that were received on it.
func (h *harness) pushes(conn statemachine.Conn) []proto.Push {
	var pushes []proto.Push
	for _, message := range h.received[conn] {
		if push, ok := message.(proto.Push); ok {
			pushes = append(pushes, push)
		}
	}
	h.received[conn] = nil
	return pushes
}

// acknowledgeFirst acknowledges, after a time in seconds, the first push that was received on each of the connections.
func (h *harness) acknowledgeFirst(after float64, conns ...statemachine.Conn) {
	h.t.Helper()
	var inputs []statemachine.Input
	for _, conn := range conns {
		pushes := h.pushes(conn)
		if len(pushes) == 0 {
			h.t.Fatalf("no push on connection %d", conn)
		}
		inputs = append(inputs, data(conn, proto.Acknowledgement{Nonce: pushes[0].Nonce}))
	}
	h.step(after, inputs...)
}

// rejectionReason returns the reason for which a connection was rejected, or an empty text if it was not.
func (h *harness) rejectionReason(conn statemachine.Conn) string {
	for _, message := range h.received[conn] {
		if rejected, ok := message.(proto.Reject); ok && h.closed[conn] {
			return rejected.Reason
		}
	}
	return ""
}

// logged returns whether any log line matches a text, as compared by a function such as strings.Contains.
func (h *harness) logged(match func(string, string) bool, text string) bool {
	return slices.ContainsFunc(h.logs, func(line string) bool { return match(line, text) })
}

// data returns the input for messages that are received on a connection.
func data(conn statemachine.Conn, messages ...proto.Message) statemachine.Input {
	return statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: frames(messages...)}
}

// frames returns the encoded messages.
func frames(messages ...proto.Message) []byte {
	var encoded []byte
	for _, message := range messages {
		encoded = proto.Append(encoded, message)
	}
	return encoded
}

// opened returns the input for a connection that was opened.
func opened(conn statemachine.Conn) statemachine.Input {
	return statemachine.Input{Kind: statemachine.ConnOpened, Conn: conn}
}

// closed returns the input for a connection that the other side closed.
func closed(conn statemachine.Conn) statemachine.Input {
	return statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn}
}

// hello returns the hello of a proxy.
func hello(name string) proto.Hello {
	return proto.Hello{Version: proto.Version, Role: proto.RoleProxy, Name: name, Zone: "a", Rate: 10, HasNoTables: true}
}

// listEntry returns an entry of the endpoint list.
func listEntry(backend int, state proto.BackendState) proto.Endpoint {
	return proto.Endpoint{
		Backend: proto.BackendID(backend), State: state, Zone: "a", Weight: 1, StartedLongAgo: true, Incarnation: 1,
		Addr: fmt.Sprintf("s%d", backend),
	}
}

// fullList returns a full list of the backends 1 to count.
func fullList(version uint64, count int) proto.EndpointUpdate {
	list := proto.EndpointUpdate{Kind: proto.UpdateFull, Version: version}
	for i := range count {
		list.Endpoints = append(list.Endpoints, listEntry(i+1, proto.BackendOpen))
	}
	return list
}

// hasOp returns whether pushes have an operation of a kind for a backend. Backend 0 matches any operation of the kind.
func hasOp(pushes []proto.Push, kind proto.OpKind, backend proto.BackendID) bool {
	matches := func(op proto.TableOp) bool {
		if op.Kind != kind {
			return false
		}
		return backend == 0 || slices.Contains(op.Backends, backend) || len(op.Entries) == 1 && op.Entries[0].Backend == backend
	}
	return slices.ContainsFunc(pushes, func(push proto.Push) bool { return slices.ContainsFunc(push.Ops, matches) })
}

// routableBackends returns the backends to which a proxy may send requests after it has applied the pushes. The value is true
// for these, and may be false for others.
func routableBackends(pushes []proto.Push) map[proto.BackendID]bool {
	weighted, excluded := map[proto.BackendID]bool{}, map[proto.BackendID]bool{}
	for _, push := range pushes {
		for _, op := range push.Ops {
			if op.Kind == proto.OpBind {
				clear(weighted)
				clear(excluded)
			}
			for _, entry := range op.Entries {
				weighted[entry.Backend], excluded[entry.Backend] = entry.Weight > 0, entry.Excluded
			}
			for _, backend := range op.Backends {
				excluded[backend] = op.Kind != proto.OpRestore
			}
		}
	}
	for backend := range excluded {
		weighted[backend] = weighted[backend] && !excluded[backend]
	}
	return weighted
}

// mustHandle lets a controller handle events and fails the test if that returns an error.
func mustHandle(tb testing.TB, c *controller, now float64, events ...event) stepResult {
	tb.Helper()
	result, err := c.handle(now, events)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

// mustContain fails the test if got does not contain want.
func mustContain(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Fatalf("got %q, want it to contain %q", got, want)
	}
}
