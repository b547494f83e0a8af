package coordinator

import (
	"container/heap"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

const (
	// minCredit is the credit at which a report may be passed on: 1, the credit that it takes, less an allowance for rounding
	// errors. Otherwise a step at exactly the time that nextAt returned could find slightly too little credit and request the
	// same time again.
	minCredit = 1 - 1e-6
	// burstDivisor limits bursts of reports to the decision module: credit is saved up for at most 1/burstDivisor seconds, or
	// for one report if that is more.
	burstDivisor = 20
	// attemptGatheringPeriods is how long the attempts at a backend are gathered before they are passed on, in report periods.
	// Within that time most of a zone's other proxies report, too.
	attemptGatheringPeriods = 0.5
	// maxReportCount limits the counts of one proxy's report, so that sums can't overflow. It is far above any real value; the
	// decision module limits counts to what is plausible.
	maxReportCount = 1e7
)

// reportAggregator aggregates the reports of proxies for the decision module: attempts are summed by backend and zone, usage
// by proxy and method. It passes on no more reports per second than the settings allow. What cannot be passed on yet is
// added to the sums that wait already, so memory is bounded by the number of pairs of backend and zone and of proxy and
// method, however late the module takes the reports.
type reportAggregator struct {
	reportsPerSecond float64        // limit of what is passed on; 0 means no limit
	period           choice.Seconds // the report period
	credit           float64        // number of reports that may be passed on at creditedAt
	creditedAt       choice.Seconds // when credit was last updated
	queue            reportHeap     // all sums that wait
	lastSequence     uint64         // sequence of the newest pendingReport
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

// pendingReport is a sum of reports that waits to be passed on.
type pendingReport struct {
	readyAt     choice.Seconds // when the sum may be passed on, if reportsPerSecond allows
	sequence    uint64         // order of creation, for reports that are ready at the same time
	heapIndex   int            // index in the reportHeap
	from, to    choice.Seconds // time that the summed reports cover
	isUsage     bool           // a sum of usage; otherwise of attempts
	attemptKey  attemptKey     // unless isUsage
	usageKey    usageKey       // if isUsage
	count       int            // number of attempts or RPCs
	failures    int            // number of these attempts or RPCs that failed
	meanLatency choice.Seconds // mean latency of the attempts that succeeded
}

func newReportAggregator(config choice.Config) *reportAggregator {
	return &reportAggregator{
		reportsPerSecond: config.Settings.MaxReportsPerSecond.Or(0),
		period:           config.Settings.ReportPeriod.Or(1),
		creditedAt:       config.Now,
		attempts:         map[attemptKey]*pendingReport{},
		usage:            map[usageKey]*pendingReport{},
	}
}

// add adds a proxy's report. It ignores attempts at backends for which isListed returns false, and usage of methods whose
// number is not below methodCount.
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
	oldSuccesses := float64(pending.count - pending.failures)
	newSuccesses := float64(attempts.Attempts - attempts.Failures)
	if newSuccesses > 0 {
		pending.meanLatency = (pending.meanLatency*oldSuccesses + attempts.MeanLatency*newSuccesses) / (oldSuccesses + newSuccesses)
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

// extend adds counts that cover a time to the sum.
func (r *pendingReport) extend(from, to choice.Seconds, count, failures uint64) {
	r.count += int(min(count, maxReportCount))
	r.failures += int(min(failures, maxReportCount))
	r.from = min(r.from, from)
	r.to = to
}

// takeDue removes and returns the reports that may be passed on now, as events for the decision module.
func (a *reportAggregator) takeDue(now choice.Seconds) []choice.Event {
	if a.reportsPerSecond > 0 {
		a.credit = min(a.credit+(now-a.creditedAt)*a.reportsPerSecond, max(1, a.reportsPerSecond/burstDivisor))
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

// event returns the report as an event for the decision module.
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

// enqueue adds a new report to the heap.
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

// forgetProxy drops the usage of a proxy whose number may be assigned to another proxy.
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
