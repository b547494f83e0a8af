package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

const (
	// baselineReconnectDelay is the time before the baseline coordinator dials the endpoint service again after it lost the connection.
	baselineReconnectDelay statemachine.Seconds = 0.5
	// baselineTableNumber is the table number of the only table that every proxy gets.
	baselineTableNumber = 1
)

// BaselineCoordinator is a simple coordinator of the kind that many fleets run, for comparison. Every proxy has one table with
// all backends that the endpoint list has as open, at their listed weights, and every change is pushed to all proxies at once.
// It has no health checks, slow start or admission levels, and does not pace its pushes. It implements statemachine.Machine.
type BaselineCoordinator struct {
	name         string
	listAddr     string // address of the endpoint service
	methods      []string
	reportPeriod float64 // seconds
	lastDialed   statemachine.Conn
	list         baselineListClient
	openEntries  map[proto.BackendID]proto.TableEntry
	proxies      map[statemachine.Conn]*baselineProxy
	out          *statemachine.Effects
}

// baselineListClient is the connection to the endpoint service and the state of the watch on it.
type baselineListClient struct {
	conn    statemachine.Conn // 0: none
	reader  proto.Reader
	retryAt statemachine.Seconds // when to dial again
	version uint64               // last received version of the endpoint list
}

// baselineProxy is a proxy that is connected to the baseline coordinator.
type baselineProxy struct {
	reader           proto.Reader
	joined           bool   // the coordinator has sent the proxy its welcome
	lastPushSequence uint64 // sequence number of the last push; 0: none
}

// NewBaselineCoordinator returns a baseline coordinator that watches the endpoint service at listAddr. It sends the method names and
// the report period, in seconds, to the proxies.
func NewBaselineCoordinator(name, listAddr string, methods []string, reportPeriod float64) *BaselineCoordinator {
	return &BaselineCoordinator{
		name: name, listAddr: listAddr, methods: methods, reportPeriod: reportPeriod, lastDialed: statemachine.DialedBit,
		openEntries: map[proto.BackendID]proto.TableEntry{}, proxies: map[statemachine.Conn]*baselineProxy{},
	}
}

// Step implements statemachine.Machine.
func (b *BaselineCoordinator) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	b.out = out
	for _, input := range inputs {
		switch {
		case input.Conn == b.list.conn && b.list.conn != 0:
			b.handleListInput(now, input)
		case input.Kind == statemachine.ConnOpened && input.Conn&statemachine.DialedBit == 0:
			b.proxies[input.Conn] = &baselineProxy{}
		case input.Kind == statemachine.ConnClosed:
			delete(b.proxies, input.Conn)
		case input.Kind == statemachine.ConnData:
			if proxy := b.proxies[input.Conn]; proxy != nil {
				proxy.reader.Feed(input.Data)
				b.readProxyMessages(input.Conn, proxy)
			}
		}
	}
	if b.list.conn == 0 && now >= b.list.retryAt {
		b.lastDialed++
		b.list.conn = b.lastDialed
		b.list.reader = proto.Reader{}
		out.Dial(b.list.conn, b.listAddr)
	}
	if b.list.conn == 0 {
		out.WakeBy(b.list.retryAt)
	}
}

// handleListInput handles an input on the connection to the endpoint service.
func (b *BaselineCoordinator) handleListInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		hello := proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleWatcher, Name: b.name})
		b.out.Write(b.list.conn, proto.Append(hello, proto.WatchEndpoints{On: true, SinceVersion: b.list.version}))
	case statemachine.ConnClosed:
		b.handleListLost(now)
	case statemachine.ConnData:
		b.list.reader.Feed(input.Data)
		b.readListMessages(now)
	}
}

// handleListLost forgets the connection to the endpoint service and sets the time of the next dial.
func (b *BaselineCoordinator) handleListLost(now statemachine.Seconds) {
	b.list.conn = 0
	b.list.retryAt = now + baselineReconnectDelay
}

// readListMessages handles the complete messages that the endpoint service sent.
func (b *BaselineCoordinator) readListMessages(now statemachine.Seconds) {
	for {
		message, err := b.list.reader.Next()
		if err != nil {
			b.out.Abort(b.list.conn)
			b.handleListLost(now)
			return
		}
		switch message := message.(type) {
		case nil:
			return
		case proto.Welcome:
			b.list.reader.HandshakeDone()
		case proto.EndpointUpdate:
			if message.Kind == proto.UpdateFailed {
				b.out.Close(b.list.conn)
				b.handleListLost(now)
				return
			}
			b.applyUpdate(message)
		}
	}
}

// applyUpdate applies an endpoint update and pushes the resulting table changes to all proxies. A backend that is not open gets the
// weight 0, which removes it.
func (b *BaselineCoordinator) applyUpdate(update proto.EndpointUpdate) {
	var ops []proto.TableOp
	setEntry := func(entry proto.TableEntry) {
		if b.updateOpenEntry(entry) {
			ops = append(ops, proto.TableOp{Kind: proto.OpSetEntry, Table: baselineTableNumber, Entries: []proto.TableEntry{entry}})
		}
	}
	listed := map[proto.BackendID]bool{}
	for _, endpoint := range update.Endpoints {
		entry := proto.TableEntry{Backend: endpoint.Backend, Addr: endpoint.Addr}
		if endpoint.State == proto.BackendOpen {
			entry.Weight = endpoint.Weight
		}
		listed[endpoint.Backend] = true
		setEntry(entry)
	}
	if update.Kind == proto.UpdateFull {
		for _, backend := range b.openBackends() {
			if !listed[backend] {
				setEntry(proto.TableEntry{Backend: backend})
			}
		}
	}
	b.list.version = update.Version
	if len(ops) == 0 {
		return
	}
	for _, conn := range sortedConns(b.proxies) {
		if proxy := b.proxies[conn]; proxy.joined {
			b.push(conn, proxy, ops)
		}
	}
}

// updateOpenEntry adds, changes or, with a weight of 0, removes an entry. It reports whether anything changed.
func (b *BaselineCoordinator) updateOpenEntry(entry proto.TableEntry) bool {
	previous, present := b.openEntries[entry.Backend]
	if previous == entry || !present && entry.Weight == 0 {
		return false
	}
	if entry.Weight > 0 {
		b.openEntries[entry.Backend] = entry
	} else {
		delete(b.openEntries, entry.Backend)
	}
	return true
}

// openBackends returns the open backends, sorted by ID.
func (b *BaselineCoordinator) openBackends() []proto.BackendID {
	return slices.Sorted(maps.Keys(b.openEntries))
}

// push sends table operations to a proxy, under the next sequence number.
func (b *BaselineCoordinator) push(conn statemachine.Conn, proxy *baselineProxy, ops []proto.TableOp) {
	proxy.lastPushSequence++
	b.out.Write(conn, proto.Append(nil, proto.Push{Sequence: proxy.lastPushSequence, Ops: ops}))
}

// readProxyMessages handles the complete messages that a proxy sent. An invalid one ends the connection.
func (b *BaselineCoordinator) readProxyMessages(conn statemachine.Conn, proxy *baselineProxy) {
	for {
		message, err := proxy.reader.Next()
		if err != nil {
			b.out.Abort(conn)
			delete(b.proxies, conn)
			return
		}
		switch message.(type) {
		case nil:
			return
		case proto.Hello:
			b.welcome(conn, proxy)
		case proto.Reports:
			b.out.Write(conn, proto.Append(nil, proto.ReportsReceived{}))
		}
	}
}

// welcome answers a proxy's hello and pushes the whole table to it.
func (b *BaselineCoordinator) welcome(conn statemachine.Conn, proxy *baselineProxy) {
	proxy.reader.HandshakeDone()
	proxy.joined = true
	b.out.Write(conn, proto.Append(nil, proto.Welcome{
		Version: proto.Version, Name: b.name, ReportPeriod: b.reportPeriod, Methods: b.methods,
	}))
	bind := proto.TableOp{Kind: proto.OpBind, Table: baselineTableNumber}
	for _, backend := range b.openBackends() {
		bind.Entries = append(bind.Entries, b.openEntries[backend])
	}
	b.push(conn, proxy, []proto.TableOp{bind})
}
