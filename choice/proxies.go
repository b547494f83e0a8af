package choice

import (
	"cmp"
	"math"
	"slices"
)

// unlimitedRate is the admission level that stands for all requests where levels are rates.
const unlimitedRate = 1e6

// tableEntry is an entry of a proxy's table: a backend, by its index, the weight, and the warmth that is in the weight.
type tableEntry struct {
	backend      int
	weight       float64
	warmupFactor float64
}

// proxyTable is the table of one proxy for some methods.
type proxyTable struct {
	id         TableID
	methods    uint64       // bits
	zoneLocal  bool         // for methods whose requests must stay in the proxy's zone
	desired    []tableEntry // what it should hold
	sent       []tableEntry // what it holds once all pushes have arrived
	sentLevels []float64    // admission levels as sent, by method
	sentRetry  []RetryPolicy
}

// proxyActor is the actor of one proxy: its tables and its pushes.
type proxyActor struct {
	mailbox
	plan               *Planner
	id                 ProxyID
	zone               int
	joined             bool
	joinedAt           Seconds
	leftAt             Seconds // 0: it is joined
	tableBound         bool    // on this stream it was sent a whole table
	exclusionsNotified bool    // on this stream it was notified of all exclusions
	arcStart           uint32  // place of its arc on the ring
	hasStart           bool
	arcSize            int
	assignedRate       float64   // its usage when the size of its arc was set
	assignmentRound    int       // the assignment of all arcs after which its own were last set
	usage              []float64 // requests a second, by method
	usageReportedAt    []Seconds // when each was last reported
	tables             []*proxyTable
	dirty              bool // it is among those that may need a push in this step
	pushWaiting        bool // something could not be sent yet
	pushInFlight       bool // a push is not acknowledged
	pushNonce          Nonce
	leavesChannelAt    Seconds   // when that push has left the channel
	messagesSentAt     []Seconds // of the messages within the time that is limited
	pendingLines       int       // for it in this step
	awaitsAck          bool      // this step's message to it is a push
	admittedShares     []float64 // shares, by method
	retryPolicies      []RetryPolicy
}

// proxy returns the actor of a proxy, a new one if it is not known yet.
func (plan *Planner) proxy(id ProxyID) *proxyActor {
	at, known := slices.BinarySearchFunc(plan.proxies, id, func(proxy *proxyActor, id ProxyID) int { return int(proxy.id - id) })
	if known {
		return plan.proxies[at]
	}
	methods := len(plan.settings.Methods)
	proxy := &proxyActor{plan: plan, id: id, admittedShares: plan.admission.admittedShares, retryPolicies: plan.admission.currentRetry()}
	proxy.usage, proxy.usageReportedAt = make([]float64, methods), make([]Seconds, methods)
	proxy.addTables()
	plan.proxies = slices.Insert(plan.proxies, at, proxy)
	return proxy
}

// addTables adds a table for the methods that may leave the zone, and one for those that must not.
func (p *proxyActor) addTables() {
	var anyZone, ownZone uint64
	for method, settings := range p.plan.settings.Methods {
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

// handle takes what concerns one proxy.
func (p *proxyActor) handle(msg message) {
	switch msg := msg.(type) {
	case ProxyJoined:
		p.join(msg)
	case ProxyLeft:
		p.joined, p.tableBound, p.pushInFlight = false, false, false
		p.plan.admission.lastDisconnectAt = p.plan.now
		p.plan.send(p.plan.ring, membershipChanged{p})
	case PushAcknowledged:
		if p.pushInFlight && msg.Nonce == p.pushNonce {
			p.pushInFlight = false
			p.plan.markDirty(p)
		}
	case UsageReport:
		p.recordUsage(msg)
	case admissionChanged:
		p.admittedShares, p.retryPolicies = msg.shares, msg.retry
		if slices.ContainsFunc(p.tables, p.tableOutdated) {
			p.plan.markDirty(p)
		}
	case pushPending:
		if p.joined {
			p.push()
			p.notifyExclusions()
			p.plan.channel.queuedLines += p.plan.channel.messageLines(p)
		}
	}
}

// join begins a stream: a push on the last one is void, and no table of ours is bound.
func (p *proxyActor) join(msg ProxyJoined) {
	plan := p.plan
	p.joined, p.tableBound, p.pushInFlight, p.pendingLines, p.messagesSentAt = true, false, false, 0, nil
	p.exclusionsNotified, p.joinedAt = false, plan.now
	if zone := plan.zoneOf(msg.Zone); p.zone != zone {
		p.zone, p.assignmentRound = zone, 0
	}
	if p.usageRate() == 0 {
		for method := range p.usage {
			p.usage[method], p.usageReportedAt[method] = msg.Rate/float64(len(p.usage)), plan.now
		}
	}
	plan.send(plan.ring, membershipChanged{p})
	plan.markDirty(p)
}

// recordUsage averages the usage of a method. A proxy with no requests sends no report, so the average decays
// with the time since the last one.
func (p *proxyActor) recordUsage(report UsageReport) {
	method, now := report.Method, p.plan.now
	decayed := p.usage[method] * math.Exp(-(now-p.usageReportedAt[method])/usageWindow)
	p.usage[method] = decayed + float64(report.RPCs)/usageWindow
	p.usageReportedAt[method] = now
}

// releaseIfExpired clears the tables of a proxy that left long ago. It reports whether the proxy may be forgotten.
func (p *proxyActor) releaseIfExpired() bool {
	if p.joined {
		p.leftAt = 0
		return false
	}
	p.leftAt = cmp.Or(p.leftAt, p.plan.now)
	if p.plan.now < p.leftAt+BackendRetention {
		return false
	}
	for _, table := range p.tables {
		p.plan.commands = append(p.plan.commands, ClearTable{table.id})
	}
	return true
}

// usageRate is the proxy's usage in requests a second.
func (p *proxyActor) usageRate() float64 { return sum(p.usage) }

// references tells whether a table of the proxy holds, or is to hold, a backend.
func (p *proxyActor) references(i int) bool {
	same := func(entry tableEntry) bool { return entry.backend == i }
	return slices.ContainsFunc(p.tables, func(table *proxyTable) bool {
		return slices.ContainsFunc(table.sent, same) || slices.ContainsFunc(table.desired, same)
	})
}

// maxSentWeight is the largest weight that a table of the proxy gives a backend.
func (p *proxyActor) maxSentWeight(i int) (heaviest float64) {
	for _, table := range p.tables {
		for _, entry := range table.sent {
			if entry.backend == i {
				heaviest = max(heaviest, entry.weight)
			}
		}
	}
	return heaviest
}

// mayUse tells whether a proxy may send requests to a backend, as far as it was notified: its table holds the backend, or it uses
// a table of an earlier stream and knows of all exclusions so far. A proxy that waits for its first table, or for the list of
// exclusions, learns of a new exclusion by that.
func (p *proxyActor) mayUse(i int) bool {
	if p.tableBound && p.maxSentWeight(i) > 0 {
		return true
	}
	return p.exclusionsNotified && (!p.tableBound || p.lacksTable())
}

// lacksTable tells whether some methods have no table of ours yet, so that one of an earlier stream may be in use.
func (p *proxyActor) lacksTable() bool {
	return slices.ContainsFunc(p.tables, func(table *proxyTable) bool { return len(table.sent) == 0 })
}

// maxPushLines is the most lines that a push of the proxy's tables has.
func (p *proxyActor) maxPushLines() (lines int) {
	for _, table := range p.tables {
		lines += len(table.desired) + len(table.sent) + len(p.usage) + 1
	}
	return lines
}

// covers tells whether a table is for a method.
func (t *proxyTable) covers(method int) bool { return t.methods>>method&1 == 1 }

// tableOutdated tells whether a table is not as it should be. One without a backend to use stays as it is.
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

// admissionOutdated tells whether what a table was sent of a method's admission is outdated.
func (p *proxyActor) admissionOutdated(table *proxyTable, method int) bool {
	if !table.covers(method) {
		return false
	}
	return table.sentLevels[method] != p.admissionLevel(method) || table.sentRetry[method] != p.retryPolicies[method]
}

// sendDelta commands what brings a table to what it should hold.
func (p *proxyActor) sendDelta(table *proxyTable) {
	if len(table.desired) == 0 {
		return
	}
	plan := p.plan
	for _, entry := range tableDelta(table.sent, table.desired) {
		plan.commands = append(plan.commands, SetTableEntry{table.id, plan.id[entry.backend], entry.weight})
		p.pendingLines++
	}
	table.sent = slices.Clone(table.desired)
	for method := range p.admittedShares {
		if !p.admissionOutdated(table, method) {
			continue
		}
		level := p.admissionLevel(method)
		table.sentLevels[method], table.sentRetry[method] = level, p.retryPolicies[method]
		if plan.settings.LevelKind == "rate" && level == 1 {
			level = unlimitedRate
		}
		plan.commands = append(plan.commands, SetAdmission{table.id, 1 << method, level, p.retryPolicies[method]})
		p.pendingLines++
	}
}

// tableDelta returns the entries that turn one table into another; weight 0 removes an entry.
func tableDelta(from, to []tableEntry) (delta []tableEntry) {
	old := map[int]float64{}
	for _, entry := range from {
		old[entry.backend] = entry.weight
	}
	for _, entry := range to {
		if old[entry.backend] != entry.weight {
			delta = append(delta, entry)
		}
		delete(old, entry.backend)
	}
	for _, entry := range from {
		if _, removed := old[entry.backend]; removed {
			delta = append(delta, tableEntry{backend: entry.backend})
		}
	}
	return delta
}
