package coordinator

import (
	"container/heap"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

const (
	// minCredit is the credit that one report takes: one, less what rounding may lose of it. Otherwise a step at the very
	// time that was asked for could find slightly too little credit and ask for the same time again.
	minCredit = 1 - 1e-6
	// creditSpan bounds the credit that is saved up to the reports of 1/creditSpan seconds.
	creditSpan = 20
	// attemptGatheringPeriods is how long attempts are gathered, in report periods. Within that time most of a zone's other
	// proxies report, too.
	attemptGatheringPeriods = 0.5
)

// reportAggregator gathers what proxies report and passes it on to the decision module: attempts summed over a zone, usage by
// proxy, at no more reports a second than the settings allow. What cannot be passed on yet is added to what waits already, so
// that memory is bounded by the pairs of backend and zone and of proxy and method, however late the module takes them.
type reportAggregator struct {
	reportsPerSecond float64 // 0: without limit
	period           choice.Seconds
	credit           float64 // reports that may be passed on at creditedAt
	creditedAt       choice.Seconds
	queue            reportHeap
	lastSequence     uint64
	attempts         map[attemptKey]*pendingReport
	usage            map[usageKey]*pendingReport
}

type (
	attemptKey struct {
		backend choice.BackendID
		zone    choice.Zone
	}
	usageKey struct {
		proxy  choice.ProxyID
		method choice.MethodID
	}
)

// pendingReport is a sum that waits to be passed on. It covers the time from the oldest report in it to the newest.
type pendingReport struct {
	readyAt     choice.Seconds // when it has gathered long enough
	sequence    uint64         // orders reports that are ready at the same time
	heapIndex   int
	from, to    choice.Seconds
	isUsage     bool
	attemptKey  attemptKey // unless isUsage
	usageKey    usageKey   // if isUsage
	count       int        // attempts or RPCs
	failures    int
	meanLatency choice.Seconds // of the attempts that succeeded
}

func newReportAggregator(config choice.Config) *reportAggregator {
	return &reportAggregator{
		reportsPerSecond: config.Settings.Intake.Or(0),
		period:           config.Settings.ReportPeriod.Or(1),
		creditedAt:       config.Now,
		attempts:         map[attemptKey]*pendingReport{},
		usage:            map[usageKey]*pendingReport{},
	}
}

// add adds a proxy's report. Attempts at backends that isListed does not know, and usage of methods from methodCount on, are
// ignored.
func (a *reportAggregator) add(
	now choice.Seconds, stream *proxyStream, report proto.Reports, isListed func(choice.BackendID) bool, methodCount int,
) {
	from := now - report.Span
	for _, attempts := range report.Attempts {
		if attempts.Attempts != 0 && isListed(choice.BackendID(attempts.Backend)) {
			a.addAttempts(now, from, stream.zone, attempts)
		}
	}
	for _, usage := range report.Usage {
		if int(usage.Method) < methodCount && usage.RPCs != 0 {
			a.addUsage(now, from, stream.proxy, usage)
		}
	}
}

func (a *reportAggregator) addAttempts(now, from choice.Seconds, zone choice.Zone, attempts proto.AttemptReport) {
	key := attemptKey{choice.BackendID(attempts.Backend), zone}
	pending := a.attempts[key]
	if pending == nil {
		pending = &pendingReport{readyAt: now + a.period*attemptGatheringPeriods, from: from, attemptKey: key}
		a.attempts[key] = pending
		a.enqueue(pending)
	}
	succeeded := float64(pending.count - pending.failures)
	succeededMore := float64(attempts.Attempts - attempts.Failures)
	if succeededMore > 0 {
		pending.meanLatency = (pending.meanLatency*succeeded + attempts.MeanLatency*succeededMore) / (succeeded + succeededMore)
	}
	pending.extend(from, now, attempts.Attempts, attempts.Failures)
}

func (a *reportAggregator) addUsage(now, from choice.Seconds, proxy choice.ProxyID, usage proto.UsageReport) {
	key := usageKey{proxy, choice.MethodID(usage.Method)}
	pending := a.usage[key]
	if pending == nil {
		pending = &pendingReport{readyAt: now, from: from, usageKey: key, isUsage: true}
		a.usage[key] = pending
		a.enqueue(pending)
	}
	pending.extend(from, now, usage.RPCs, usage.Failures)
}

func (r *pendingReport) extend(from, to choice.Seconds, count, failures uint64) {
	r.count += int(count)
	r.failures += int(failures)
	r.from = min(r.from, from)
	r.to = to
}

// due removes and returns the reports that may be passed on now.
func (a *reportAggregator) due(now choice.Seconds) []choice.Event {
	if a.reportsPerSecond > 0 {
		a.credit = min(a.credit+(now-a.creditedAt)*a.reportsPerSecond, max(1, a.reportsPerSecond/creditSpan))
	}
	a.creditedAt = now
	var events []choice.Event
	for len(a.queue) > 0 && a.queue[0].readyAt <= now && (a.reportsPerSecond <= 0 || a.credit >= minCredit) {
		report := heap.Pop(&a.queue).(*pendingReport)
		a.credit--
		if report.isUsage {
			delete(a.usage, report.usageKey)
		} else {
			delete(a.attempts, report.attemptKey)
		}
		events = append(events, report.event())
	}
	return events
}

func (r *pendingReport) event() choice.Event {
	if r.isUsage {
		return choice.UsageReport{
			Proxy:    r.usageKey.proxy,
			Method:   r.usageKey.method,
			RPCs:     r.count,
			Failures: min(r.failures, r.count),
			Span:     r.to - r.from,
		}
	}
	return choice.AttemptReport{
		Backend:     r.attemptKey.backend,
		Zone:        r.attemptKey.zone,
		Attempts:    r.count,
		Failures:    r.failures,
		MeanLatency: r.meanLatency,
		Span:        r.to - r.from,
	}
}

func (a *reportAggregator) enqueue(report *pendingReport) {
	a.lastSequence++
	report.sequence = a.lastSequence
	heap.Push(&a.queue, report)
}

// nextAt returns when the next report may be passed on, and false if none waits.
func (a *reportAggregator) nextAt() (choice.Seconds, bool) {
	if len(a.queue) == 0 {
		return 0, false
	}
	at := a.queue[0].readyAt
	if a.reportsPerSecond > 0 && a.credit < minCredit {
		at = max(at, a.creditedAt+(1-a.credit)/a.reportsPerSecond)
	}
	return at, true
}

// forgetProxy drops the usage of a proxy whose number may be given to another proxy.
func (a *reportAggregator) forgetProxy(proxy choice.ProxyID) {
	var dropped []*pendingReport
	for _, report := range a.queue {
		if report.isUsage && report.usageKey.proxy == proxy {
			dropped = append(dropped, report)
		}
	}
	for _, report := range dropped {
		delete(a.usage, report.usageKey)
		heap.Remove(&a.queue, report.heapIndex)
	}
}
