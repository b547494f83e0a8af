package invariant

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gingerfork/internal/trace"
)

// Errors of a trace that cannot be checked; the returned error wraps one of them and names the record.
var (
	ErrTimeOrder    = errors.New("time runs back")
	ErrUnknownKind  = errors.New("unknown kind")
	ErrBadOperation = errors.New("malformed table operation")
	ErrBadEndpoint  = errors.New("malformed endpoint")
)

// availabilityInterval is how often, in seconds, proxies are examined that write no records of their own.
const availabilityInterval = 0.05

// endpointService is the name of the endpoint list service in traces.
const endpointService = "list"

// checker holds the state that the rules need, rebuilt from the records.
type checker struct {
	limits       Limits
	report       Report
	coordinators map[string]*coordinator
	proxies      map[string]*proxy
	proxyNames   []string     // in the order of their first record
	endpoints    endpointView // as the endpoint list service publishes it

	begin            float64
	now              float64
	record           int // index of the present record, from 1
	availabilityTime float64

	unfinished   map[uint64]int // method of each RPC with an attempt and no end
	firstAttempt map[uint64]float64
	effects      map[uint64]effect
	startTimes   map[uint32]float64
	coldAttempts map[uint32][]coldAttempt
}

func newChecker(limits Limits) *checker {
	c := &checker{
		limits: limits, coordinators: map[string]*coordinator{}, proxies: map[string]*proxy{}, endpoints: endpointView{},
		unfinished: map[uint64]int{}, firstAttempt: map[uint64]float64{}, effects: map[uint64]effect{},
		startTimes: map[uint32]float64{}, coldAttempts: map[uint32][]coldAttempt{},
	}
	for i, name := range ruleNames {
		c.report.Rules[i].Rule, c.report.Rules[i].Name = i+1, name
	}
	return c
}

// Check examines a trace, whose records must be in the order of time. It fails with ErrTimeOrder, ErrUnknownKind,
// ErrBadOperation or ErrBadEndpoint where the trace cannot be read, together with the report up to there.
func Check(records []trace.Record, limits Limits) (Report, error) {
	checker := newChecker(limits)
	if len(records) > 0 {
		checker.begin = records[0].Time
	}
	for i, record := range records {
		if record.Time < checker.now {
			return checker.report, fmt.Errorf("record %d: %w from %.6f to %.6f", i+1, ErrTimeOrder, checker.now, record.Time)
		}
		checker.advance(record.Time)
		checker.now, checker.record = record.Time, i+1
		if err := checker.handle(record); err != nil {
			return checker.report, fmt.Errorf("record %d (%s): %w", i+1, record.Kind, err)
		}
	}
	if len(records) > 0 {
		checker.availabilityTime = 0 // the end of the run is always examined
		checker.advance(checker.now)
		checker.report.Duration = checker.now - records[0].Time
	}
	checker.report.Service.Unfinished = len(checker.unfinished)
	return checker.report, nil
}

// measure keeps the largest share of a rule's limit that was reached, with a note on what reached it.
func (c *checker) measure(rule int, share float64, note string, args ...any) {
	if v := &c.report.Rules[rule-1]; share > v.ClosestShare {
		v.ClosestShare, v.ClosestTime, v.ClosestNote = share, c.now-c.begin, fmt.Sprintf(note, args...)
	}
}

// violate counts a violation, and keeps the details of a rule's first one.
func (c *checker) violate(rule int, party, reason string, args ...any) {
	v := &c.report.Rules[rule-1]
	v.Violations++
	if v.Violations == 1 {
		v.FirstTime, v.Party, v.Record, v.Reason = c.now, party, c.record, fmt.Sprintf(reason, args...)
	}
}

// advance applies what time alone brings about up to a time: backends become warm, proxies remain without a backend.
func (c *checker) advance(until float64) {
	for _, coord := range c.coordinators {
		if coord.nextWarm <= until {
			coord.updateAvailability(coord.nextWarm, c.limits.WarmAfter)
		}
	}
	// A change that a proxy's own records bring is examined when it happens; this finds proxies without any.
	if until < c.availabilityTime+availabilityInterval && until >= c.availabilityTime {
		return
	}
	c.availabilityTime = until
	for _, name := range c.proxyNames {
		c.checkAvailability(name, c.proxies[name], until)
	}
}

// handle applies one record.
func (c *checker) handle(record trace.Record) error {
	switch record.Kind {
	case trace.CoordinatorStarted, trace.EndpointsRequested, trace.EndpointsDelivered:
		return c.handleCoordinator(record)
	case trace.ProcessKilled, trace.ProxyJoined, trace.ProxyLeft, trace.PushApplied:
		return c.handleProxy(record)
	case trace.ProcessPaused:
		c.handlePause(record)
	case trace.LinkCut, trace.LinkRestored:
		if record.Party == endpointService {
			return c.handleEndpointLink(record)
		}
		c.handleProxyLink(record)
	case trace.PushSent:
		c.checkPush(record)
	case trace.AttemptSent:
		c.handleAttempt(record)
	case trace.EffectExecuted:
		c.checkEffect(record)
	case trace.BackendStarted:
		c.startTimes[record.Backend] = record.Time
		delete(c.coldAttempts, record.Backend)
	case trace.LoadOffered:
		c.measure(ruleColdBackend, record.Value, "server %d, cold, was sent %d RPCs in the window", record.Backend, record.Count)
	case trace.BackendCollapsed:
		c.checkCollapse(record)
	case trace.RPCFinished:
		c.countService(record)
	case trace.FaultInjected:
		c.report.Faults++
	case trace.BackendStopped, trace.BackendSampled, trace.ScheduleDelay:
	default:
		return ErrUnknownKind
	}
	return nil
}

func (c *checker) handleCoordinator(record trace.Record) error {
	switch record.Kind {
	case trace.CoordinatorStarted:
		c.restartCoordinator(c.coordinator(record.Party), record.Time)
	case trace.EndpointsRequested:
		c.coordinator(record.Coordinator).polled(record.Time)
	case trace.EndpointsDelivered:
		return c.handleEndpoints(record)
	}
	return nil
}

func (c *checker) handleProxy(record trace.Record) error {
	switch record.Kind {
	case trace.ProcessKilled:
		c.killProxy(record.Party)
	case trace.ProxyJoined:
		p := c.proxy(record.Party)
		p.coordinator, p.joinTime, p.pushTimes = record.Coordinator, record.Time, nil
		p.updateCoverage(c.now)
	case trace.ProxyLeft:
		if p := c.proxies[record.Party]; p != nil {
			c.checkAvailability(record.Party, p, record.Time)
			p.coordinator = ""
		}
	case trace.PushApplied:
		return c.applyPush(record)
	}
	return nil
}

// killProxy forgets all that a killed process knew; faults of its links are not the process's and remain.
func (c *checker) killProxy(name string) {
	p := c.proxies[name]
	if p == nil {
		return
	}
	delete(c.proxies, name)
	c.proxyNames = slices.DeleteFunc(c.proxyNames, func(n string) bool { return n == name })
	c.proxy(name).partitions = p.partitions
}

// handlePause notes until when a process does not run.
func (c *checker) handlePause(record trace.Record) {
	if p := c.proxies[record.Party]; p != nil {
		p.pausedUntil = max(p.pausedUntil, record.Time+record.Value)
		return
	}
	coord := c.coordinator(record.Party)
	coord.pausedUntil = max(coord.pausedUntil, record.Time+record.Value)
}

// handleProxyLink follows partitions between a proxy and a coordinator.
func (c *checker) handleProxyLink(record trace.Record) {
	linked := c.proxy(record.Party)
	c.checkAvailability(record.Party, linked, record.Time)
	if record.Kind == trace.LinkCut {
		linked.partitions[record.Coordinator]++
		return
	}
	linked.partitions[record.Coordinator]--
	if linked.partitions[record.Coordinator] > 0 {
		return
	}
	delete(linked.partitions, record.Coordinator)
	if linked.coordinator == record.Coordinator {
		linked.joinTime = record.Time // what was held back arrives now
	}
}

// handleAttempt applies the rules for attempts to one that a proxy sent.
func (c *checker) handleAttempt(record trace.Record) {
	c.report.Attempts++
	c.unfinished[record.RPCID] = record.Method
	p := c.proxy(record.Party)
	c.checkDrain(record, p)
	c.checkRetry(record)
	c.recordColdAttempt(record, p)
}

// coordinator returns the state of a coordinator, made at its first record.
func (c *checker) coordinator(name string) *coordinator {
	coord := c.coordinators[name]
	if coord == nil {
		coord = &coordinator{endpoints: endpointView{}, availableSince: math.Inf(1), nextWarm: math.Inf(1)}
		c.coordinators[name] = coord
	}
	return coord
}

// proxy returns the state of a proxy, made at its first record.
func (c *checker) proxy(name string) *proxy {
	p := c.proxies[name]
	if p == nil {
		p = newProxy(len(c.limits.Methods))
		c.proxies[name] = p
		c.proxyNames = append(c.proxyNames, name)
	}
	return p
}
