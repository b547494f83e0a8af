package choice

import (
	"cmp"
	"math"
	"slices"
)

// unlimitedRate is the admission level, in requests a second, that admits all requests where levels are rates.
const unlimitedRate = 1e6

// tableEntry is an entry of a proxy's table.
type tableEntry struct {
	backend      int // index of the backend
	weight       float64
	warmupFactor float64 // the warm-up factor that weight was multiplied by
}

// proxyTable is the table of one proxy for some methods.
type proxyTable struct {
	id         TableID
	methods    uint64        // bit set of methods
	zoneLocal  bool          // the table is for methods whose requests must stay in the proxy's zone
	bound      bool          // the table was sent whole on the proxy's present stream
	desired    []tableEntry  // entries that the table should have
	sent       []tableEntry  // entries that the table has once all pushes have arrived
	sentLevels []float64     // admission levels last sent, by method; -1: none
	sentRetry  []RetryPolicy // retry policies last sent, by method
}

// proxyActor is the actor of one proxy. It owns the tables of the proxy and sends its pushes.
type proxyActor struct {
	mailbox
	planner            *Planner
	id                 ProxyID
	zone               int           // index of the proxy's zone
	joined             bool          // the proxy's stream is open
	joinedAt           Seconds       // when its last stream was opened
	leftAt             Seconds       // when it was first seen to have left; 0: it is joined
	exclusionsNotified bool          // it was notified of all exclusions on this stream
	arcStart           uint32        // hash at which its arcs start on the ring
	hasStart           bool          // arcStart was chosen
	arcSize            int           // number of backends in each of the proxy's arcs
	assignedRate       float64       // usage of the proxy when arcSize was set, in requests a second
	assignmentRound    int           // round of the ring in which its arcs were last assigned
	usage              []float64     // decaying average in requests a second, by method, as of usageReportedAt
	usageReportedAt    []Seconds     // time of the last usage report, by method
	tables             []*proxyTable // at most two, see addTables
	dirty              bool          // it is in dirtyProxies
	pushWaiting        bool          // it has unsent changes
	pushInFlight       bool          // a push is not acknowledged yet
	pushNonce          Nonce         // nonce of the push in flight
	leavesChannelAt    Seconds       // when the push in flight has presumably left the channel
	messagesSentAt     []Seconds     // times of the messages that still count for Settings.MessageLimit
	pendingLines       int           // lines that are queued for it in this step
	awaitsAck          bool          // this step's message to it is a push, whose acknowledgement is awaited
	admittedShares     []float64     // shares of the requests to admit, by method
	retryPolicies      []RetryPolicy // present ones, sent or not, by method
}

// proxy returns the actor of a proxy, and creates it if the proxy is not known yet.
func (planner *Planner) proxy(id ProxyID) *proxyActor {
	index, known := slices.BinarySearchFunc(planner.proxies, id, func(proxy *proxyActor, id ProxyID) int { return int(proxy.id - id) })
	if known {
		return planner.proxies[index]
	}
	methods := len(planner.settings.Methods)
	proxy := &proxyActor{
		planner: planner, id: id,
		admittedShares: planner.admission.admittedShares, retryPolicies: planner.admission.currentRetry(),
	}
	proxy.usage, proxy.usageReportedAt = make([]float64, methods), make([]Seconds, methods)
	proxy.addTables()
	planner.proxies = slices.Insert(planner.proxies, index, proxy)
	return proxy
}

// addTables adds a table for the methods whose requests may leave the proxy's zone, and one for those whose requests must not.
func (p *proxyActor) addTables() {
	var anyZone, ownZone uint64
	for method, settings := range p.planner.settings.Methods {
		if settings.OwnZone {
			ownZone |= 1 << method
		} else {
			anyZone |= 1 << method
		}
	}
	for k, methods := range []uint64{anyZone, ownZone} {
		if methods == 0 {
			continue
		}
		p.tables = append(p.tables, &proxyTable{
			id:         TableID(2*int(p.id) + k),
			methods:    methods,
			zoneLocal:  k == 1,
			sentLevels: slices.Repeat([]float64{-1}, len(p.usage)),
			sentRetry:  make([]RetryPolicy, len(p.usage)),
		})
	}
}

// handle processes a message about the proxy.
func (p *proxyActor) handle(msg message) {
	switch msg := msg.(type) {
	case ProxyJoined:
		p.join(msg)
	case ProxyLeft:
		p.joined, p.pushInFlight = false, false
		p.unbindTables()
		p.planner.admission.lastDisconnectAt = p.planner.now
		p.planner.send(p.planner.ring, membershipChanged{p})
	case PushAcknowledged:
		if p.pushInFlight && msg.Nonce == p.pushNonce {
			p.pushInFlight = false
			p.planner.markDirty(p)
		}
	case UsageReport:
		p.recordUsage(msg)
	case admissionChanged:
		p.admittedShares, p.retryPolicies = msg.shares, msg.retry
		if slices.ContainsFunc(p.tables, p.tableOutdated) {
			p.planner.markDirty(p)
		}
	case pushPending:
		if p.joined {
			p.push()
			p.notifyExclusions()
			p.planner.channel.queuedLines += p.planner.channel.messageLines(p)
		}
	}
}

// join begins a stream. A push on the last stream no longer counts, and no table of this coordinator is bound yet.
func (p *proxyActor) join(msg ProxyJoined) {
	planner := p.planner
	p.joined, p.pushInFlight, p.pendingLines, p.messagesSentAt = true, false, 0, nil
	p.unbindTables()
	p.exclusionsNotified, p.joinedAt = false, planner.now
	if zone := planner.zoneOf(msg.Zone); p.zone != zone {
		p.zone, p.assignmentRound = zone, 0
	}
	if p.usageRate() == 0 {
		for method := range p.usage {
			p.usage[method], p.usageReportedAt[method] = msg.Rate/float64(len(p.usage)), planner.now
		}
	}
	planner.send(planner.ring, membershipChanged{p})
	planner.markDirty(p)
}

// recordUsage adds a report to the decaying average of a method's usage. A proxy without requests sends no reports, so the
// average decays with the time since the last one.
func (p *proxyActor) recordUsage(report UsageReport) {
	method, now := report.Method, p.planner.now
	decayed := p.usage[method] * math.Exp(-(now-p.usageReportedAt[method])/usageWindow)
	p.usage[method] = decayed + float64(report.RPCs)/usageWindow
	p.usageReportedAt[method] = now
}

// releaseIfExpired clears the tables of a proxy that left more than BackendRetention ago. It reports whether the proxy's state
// may be deleted.
func (p *proxyActor) releaseIfExpired() bool {
	if p.joined {
		p.leftAt = 0
		return false
	}
	p.leftAt = cmp.Or(p.leftAt, p.planner.now)
	if p.planner.now < p.leftAt+BackendRetention {
		return false
	}
	for _, table := range p.tables {
		p.planner.commands = append(p.planner.commands, ClearTable{table.id})
	}
	return true
}

// usageRate returns the proxy's usage of all methods in requests a second, as of their last reports.
func (p *proxyActor) usageRate() float64 { return sum(p.usage) }

// tableRate returns the part of assignedRate for which a table is used.
func (p *proxyActor) tableRate(table *proxyTable) float64 {
	if len(p.tables) == 1 {
		return p.assignedRate
	}
	usage := 0.0
	for method, rate := range p.usage {
		if table.covers(method) {
			usage += rate
		}
	}
	return p.assignedRate * usage / max(p.usageRate(), 1e-9) // 1e-9 prevents a division by 0
}

// references reports whether a table of the proxy has, or should have, an entry for a backend.
func (p *proxyActor) references(i int) bool {
	isBackend := func(entry tableEntry) bool { return entry.backend == i }
	return slices.ContainsFunc(p.tables, func(table *proxyTable) bool {
		return slices.ContainsFunc(table.sent, isBackend) || slices.ContainsFunc(table.desired, isBackend)
	})
}

// maxSentWeight returns the largest weight of a backend in the tables as sent, 0 if none has it.
func (p *proxyActor) maxSentWeight(i int) (maxWeight float64) {
	for _, table := range p.tables {
		for _, entry := range table.sent {
			if entry.backend == i {
				maxWeight = max(maxWeight, entry.weight)
			}
		}
	}
	return maxWeight
}

// mayUse reports whether a proxy must be told if a backend is excluded or restored: its table has the backend, or it was
// notified of all exclusions and may use a table of an earlier stream. A proxy that still waits for its first table, or for the
// list of exclusions, learns of a new exclusion from these.
func (p *proxyActor) mayUse(i int) bool {
	if p.anyTableBound() && p.maxSentWeight(i) > 0 {
		return true
	}
	return p.exclusionsNotified && !p.allTablesBound()
}

// anyTableBound reports whether the proxy was sent a whole table on its present stream.
func (p *proxyActor) anyTableBound() bool {
	return slices.ContainsFunc(p.tables, func(table *proxyTable) bool { return table.bound })
}

// allTablesBound reports whether the proxy was sent all of its tables on its present stream. Until then, a table of an earlier
// stream may be in use for some methods.
func (p *proxyActor) allTablesBound() bool {
	return !slices.ContainsFunc(p.tables, func(table *proxyTable) bool { return !table.bound })
}

// unbindTables records that no table was sent on the proxy's present stream, or that it has none.
func (p *proxyActor) unbindTables() {
	for _, table := range p.tables {
		table.bound = false
	}
}

// maxPushLines returns an upper bound on the lines of a push of the proxy's tables.
func (p *proxyActor) maxPushLines() (lines int) {
	for _, table := range p.tables {
		lines += len(table.desired) + len(table.sent) + len(p.usage) + 1
	}
	return lines
}

// covers reports whether a table is for a method.
func (t *proxyTable) covers(method int) bool { return t.methods>>method&1 == 1 }

// tableOutdated reports whether a table has to be changed. A table that would become empty is left as it is.
func (p *proxyActor) tableOutdated(table *proxyTable) bool {
	if len(table.desired) == 0 {
		return false
	}
	for method := range p.admittedShares {
		if p.admissionOutdated(table, method) {
			return true
		}
	}
	return !slices.Equal(table.desired, table.sent)
}

// admissionOutdated reports whether the admission level or retry policy last sent for a method of a table is outdated.
func (p *proxyActor) admissionOutdated(table *proxyTable, method int) bool {
	if !table.covers(method) {
		return false
	}
	return table.sentLevels[method] != p.admissionLevel(method) || table.sentRetry[method] != p.retryPolicies[method]
}

// sendDelta adds the commands that change a table to its desired entries, admission levels and retry policies.
func (p *proxyActor) sendDelta(table *proxyTable) {
	if len(table.desired) == 0 {
		return
	}
	planner := p.planner
	for _, entry := range tableDelta(table.sent, table.desired) {
		planner.commands = append(planner.commands, SetTableEntry{table.id, planner.id[entry.backend], entry.weight})
		p.pendingLines++
	}
	table.sent = slices.Clone(table.desired)
	for method := range p.admittedShares {
		if !p.admissionOutdated(table, method) {
			continue
		}
		level := p.admissionLevel(method)
		table.sentLevels[method], table.sentRetry[method] = level, p.retryPolicies[method]
		if planner.settings.LevelKind == "rate" && level == 1 {
			level = unlimitedRate
		}
		planner.commands = append(planner.commands, SetAdmission{table.id, 1 << method, level, p.retryPolicies[method]})
		p.pendingLines++
	}
}

// tableDelta returns the entries to set for the change from one table to another. An entry of weight 0 removes a backend.
func tableDelta(from, to []tableEntry) (delta []tableEntry) {
	oldWeights := map[int]float64{}
	for _, entry := range from {
		oldWeights[entry.backend] = entry.weight
	}
	for _, entry := range to {
		if oldWeights[entry.backend] != entry.weight {
			delta = append(delta, entry)
		}
		delete(oldWeights, entry.backend)
	}
	for _, entry := range from {
		if _, removed := oldWeights[entry.backend]; removed {
			delta = append(delta, tableEntry{backend: entry.backend})
		}
	}
	return delta
}
