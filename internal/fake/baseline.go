package fake

import (
	"maps"
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

const (
	// baselineReconnectDelay is the wait before the baseline dials the endpoint service again.
	baselineReconnectDelay statemachine.Seconds = 0.5
	// baselineTable is the number of the one table that every proxy gets.
	baselineTable = 1
)

// BaselineCoordinator is a simple coordinator of the kind that many fleets run, to compare with. Every proxy has one table
// of all backends that are open by the endpoint list, at their listed weights, and each change goes to all proxies at
// once. It knows of no health, slow start or admission levels, and does not pace its pushes. It implements
// statemachine.Machine.
type BaselineCoordinator struct {
	name         string
	listAddr     string
	methods      []string
	reportPeriod float64 // seconds
	conns        statemachine.Conn
	list         baselineListClient
	open         map[proto.BackendID]proto.TableEntry
	proxies      map[statemachine.Conn]*baselineProxy
	out          *statemachine.Effects
}

// baselineListClient is the watch on the endpoint service.
type baselineListClient struct {
	stream  statemachine.Conn // 0: none
	reader  proto.Reader
	retryAt statemachine.Seconds
	version uint64
}

type baselineProxy struct {
	reader   proto.Reader
	joined   bool
	sequence uint64 // of the last push
}

// NewBaselineCoordinator makes a baseline that watches the endpoint service at listAddr. The report period, in seconds, is
// what it tells proxies.
func NewBaselineCoordinator(name, listAddr string, methods []string, reportPeriod float64) *BaselineCoordinator {
	return &BaselineCoordinator{
		name: name, listAddr: listAddr, methods: methods, reportPeriod: reportPeriod, conns: statemachine.DialedBit,
		open: map[proto.BackendID]proto.TableEntry{}, proxies: map[statemachine.Conn]*baselineProxy{},
	}
}

// Step implements statemachine.Machine.
func (b *BaselineCoordinator) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	b.out = out
	for _, input := range inputs {
		switch {
		case input.Conn == b.list.stream && b.list.stream != 0:
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
	if b.list.stream == 0 && now >= b.list.retryAt {
		b.conns++
		b.list.stream = b.conns
		b.list.reader = proto.Reader{}
		out.Dial(b.list.stream, b.listAddr)
	}
	if b.list.stream == 0 {
		out.WakeBy(b.list.retryAt)
	}
}

func (b *BaselineCoordinator) handleListInput(now statemachine.Seconds, input statemachine.Input) {
	switch input.Kind {
	case statemachine.ConnOpened:
		hello := proto.Append(nil, proto.Hello{Version: proto.Version, Role: proto.RoleWatcher, Name: b.name})
		b.out.Write(b.list.stream, proto.Append(hello, proto.WatchEndpoints{On: true, SinceVersion: b.list.version}))
	case statemachine.ConnClosed:
		b.listLost(now)
	case statemachine.ConnData:
		b.list.reader.Feed(input.Data)
		b.readListMessages(now)
	}
}

func (b *BaselineCoordinator) listLost(now statemachine.Seconds) {
	b.list.stream = 0
	b.list.retryAt = now + baselineReconnectDelay
}

func (b *BaselineCoordinator) readListMessages(now statemachine.Seconds) {
	for {
		message, err := b.list.reader.Next()
		if err != nil {
			b.out.Abort(b.list.stream)
			b.listLost(now)
			return
		}
		switch message := message.(type) {
		case nil:
			return
		case proto.Welcome:
			b.list.reader.HandshakeDone()
		case proto.EndpointUpdate:
			if message.Kind == proto.UpdateFailed {
				b.out.Close(b.list.stream)
				b.listLost(now)
				return
			}
			b.applyUpdate(message)
		}
	}
}

// applyUpdate takes an endpoint update over and pushes what changed to all proxies.
func (b *BaselineCoordinator) applyUpdate(update proto.EndpointUpdate) {
	var ops []proto.TableOp
	set := func(entry proto.TableEntry) {
		if b.setOpen(entry) {
			ops = append(ops, proto.TableOp{Kind: proto.OpSetEntry, Table: baselineTable, Entries: []proto.TableEntry{entry}})
		}
	}
	listed := map[proto.BackendID]bool{}
	for _, endpoint := range update.Endpoints {
		entry := proto.TableEntry{Backend: endpoint.Backend, Addr: endpoint.Addr}
		if endpoint.State == proto.BackendOpen {
			entry.Weight = endpoint.Weight
		}
		listed[endpoint.Backend] = true
		set(entry)
	}
	if update.Kind == proto.UpdateFull {
		for _, backend := range b.openBackends() {
			if !listed[backend] {
				set(proto.TableEntry{Backend: backend})
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

// setOpen adds, changes or, with a weight of 0, removes an entry, and tells whether that changed anything.
func (b *BaselineCoordinator) setOpen(entry proto.TableEntry) bool {
	previous, held := b.open[entry.Backend]
	if previous == entry || !held && entry.Weight == 0 {
		return false
	}
	if entry.Weight > 0 {
		b.open[entry.Backend] = entry
	} else {
		delete(b.open, entry.Backend)
	}
	return true
}

func (b *BaselineCoordinator) openBackends() []proto.BackendID {
	return slices.Sorted(maps.Keys(b.open))
}

func (b *BaselineCoordinator) push(conn statemachine.Conn, proxy *baselineProxy, ops []proto.TableOp) {
	proxy.sequence++
	b.out.Write(conn, proto.Append(nil, proto.Push{Sequence: proxy.sequence, Ops: ops}))
}

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

// welcome answers a proxy's hello and pushes it the whole table.
func (b *BaselineCoordinator) welcome(conn statemachine.Conn, proxy *baselineProxy) {
	proxy.reader.HandshakeDone()
	proxy.joined = true
	b.out.Write(conn, proto.Append(nil, proto.Welcome{
		Version: proto.Version, Name: b.name, ReportPeriod: b.reportPeriod, Methods: b.methods,
	}))
	bind := proto.TableOp{Kind: proto.OpBind, Table: baselineTable}
	for _, backend := range b.openBackends() {
		bind.Entries = append(bind.Entries, b.open[backend])
	}
	b.push(conn, proxy, []proto.TableOp{bind})
}
