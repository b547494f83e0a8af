package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// TableFreezer freezes the tables that coordinators push, for comparison: from FreezeAt on, every proxy keeps the tables that it
// had then. A coordinator process that starts later pushes the same tables to the proxies that join again.
type TableFreezer struct {
	FreezeAt statemachine.Seconds
	byProxy  map[string]map[uint64]*frozenTable // last pushed tables by the proxy's name and the table's number
	welcome  []byte                             // the encoded welcome of the last coordinator that sent one
}

// frozenTable is a table as a coordinator last pushed it.
type frozenTable struct {
	methods uint64 // bit set of the methods that use the table; 0: all
	entries map[proto.BackendID]proto.TableEntry
}

// Wrap returns a machine that behaves like the coordinator until FreezeAt. From then on it only welcomes proxies, pushes their frozen
// tables to them and acknowledges their reports.
func (t *TableFreezer) Wrap(coordinator statemachine.Machine) statemachine.Machine {
	if t.byProxy == nil {
		t.byProxy = map[string]map[uint64]*frozenTable{}
	}
	return &frozenCoordinator{freezer: t, inner: coordinator, streams: map[statemachine.Conn]*observedStream{}}
}

// frozenCoordinator runs a coordinator until the freezer's FreezeAt, and records the tables that the coordinator pushes.
type frozenCoordinator struct {
	freezer *TableFreezer
	inner   statemachine.Machine
	streams map[statemachine.Conn]*observedStream
}

// observedStream decodes both directions of a connection that the coordinator accepted.
type observedStream struct {
	received, sent proto.Reader
	proxy          string // name of the proxy; empty before its hello, or if the peer is not a proxy
}

// Step implements statemachine.Machine.
func (c *frozenCoordinator) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	frozen := now >= c.freezer.FreezeAt
	for _, input := range inputs {
		switch {
		case input.Kind == statemachine.ConnOpened && input.Conn&statemachine.DialedBit == 0:
			stream := &observedStream{}
			stream.received.HandshakeDone()
			stream.sent.HandshakeDone()
			c.streams[input.Conn] = stream
		case input.Kind == statemachine.ConnClosed:
			delete(c.streams, input.Conn)
		case input.Kind == statemachine.ConnData && c.streams[input.Conn] != nil:
			stream := c.streams[input.Conn]
			stream.received.Feed(input.Data)
			c.readReceived(input.Conn, stream, frozen, out)
		}
	}
	if frozen {
		return
	}
	c.inner.Step(now, inputs, out)
	for _, action := range out.Actions {
		if stream := c.streams[action.Conn]; stream != nil && action.Kind == statemachine.ActionWrite {
			stream.sent.Feed(action.Data)
			c.recordSent(stream)
		}
	}
	out.WakeBy(c.freezer.FreezeAt)
}

// readReceived notes the names of proxies. From FreezeAt on it answers the proxies in place of the coordinator.
func (c *frozenCoordinator) readReceived(conn statemachine.Conn, stream *observedStream, frozen bool, out *statemachine.Effects) {
	for {
		message, err := stream.received.Next()
		if err != nil || message == nil {
			return
		}
		switch message := message.(type) {
		case proto.Hello:
			if message.Role != proto.RoleProxy {
				continue
			}
			stream.proxy = message.Name
			if frozen && c.freezer.welcome != nil {
				out.Write(conn, slices.Clone(c.freezer.welcome))
				out.Write(conn, proto.Append(nil, proto.Push{Sequence: 1, Ops: c.freezer.bindOps(message.Name)}))
			}
		case proto.Reports:
			if frozen {
				out.Write(conn, proto.Append(nil, proto.ReportsReceived{}))
			}
		}
	}
}

// recordSent records the welcome and the table operations that the coordinator sends on a connection.
func (c *frozenCoordinator) recordSent(stream *observedStream) {
	for {
		message, err := stream.sent.Next()
		if err != nil || message == nil {
			return
		}
		switch message := message.(type) {
		case proto.Welcome:
			c.freezer.welcome = proto.Append(nil, message)
		case proto.Push:
			for _, operation := range message.Ops {
				c.freezer.applyOp(stream.proxy, operation)
			}
		}
	}
}

// applyOp applies a table operation to the recorded tables of a proxy. Operations on exclusions and admission levels are ignored.
func (t *TableFreezer) applyOp(proxy string, operation proto.TableOp) {
	tables := t.byProxy[proxy]
	if tables == nil {
		tables = map[uint64]*frozenTable{}
		t.byProxy[proxy] = tables
	}
	target := tables[operation.Table]
	switch operation.Kind {
	case proto.OpBind:
		target = &frozenTable{methods: operation.Methods, entries: map[proto.BackendID]proto.TableEntry{}}
		tables[operation.Table] = target
		for _, entry := range operation.Entries {
			target.set(entry)
		}
	case proto.OpSetEntry:
		if target != nil {
			target.set(operation.Entries[0])
		}
	case proto.OpClear:
		if target != nil {
			clear(target.entries)
		}
	}
}

// set adds, replaces or, with a weight of 0, removes an entry.
func (t *frozenTable) set(entry proto.TableEntry) {
	if entry.Weight == 0 {
		delete(t.entries, entry.Backend)
		return
	}
	t.entries[entry.Backend] = entry
}

// bindOps returns the operations that set a proxy's frozen tables. Exclusions and admission levels are left out, because nothing
// would ever lift them again.
func (t *TableFreezer) bindOps(proxy string) []proto.TableOp {
	tables := t.byProxy[proxy]
	ops := make([]proto.TableOp, 0, len(tables))
	for _, number := range slices.Sorted(maps.Keys(tables)) {
		table := tables[number]
		bind := proto.TableOp{Kind: proto.OpBind, Table: number, Methods: table.methods}
		for _, backend := range slices.Sorted(maps.Keys(table.entries)) {
			entry := table.entries[backend]
			entry.Excluded = false
			bind.Entries = append(bind.Entries, entry)
		}
		ops = append(ops, bind)
	}
	return ops
}
