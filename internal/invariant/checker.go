package invariant

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gingerfork/internal/trace"
)

// Errors for a trace that cannot be checked. Check wraps one of them in an error that names the record.
var (
	ErrTimeOrder    = errors.New("time decreases")
	ErrUnknownKind  = errors.New("unknown record kind")
	ErrBadOperation = errors.New("malformed table operation")
	ErrBadEndpoint  = errors.New("malformed endpoint")
)

// availabilityCheckInterval is the interval, in seconds, at which rule 1 is checked for all proxies, as some proxies may write no
// record for a long time.
const availabilityCheckInterval = 0.05

// endpointService is the name of the endpoint list service in traces.
const endpointService = "list"

// checker holds the state that the rules need, as the records show it.
type checker struct {
	limits       Limits
	report       Report
	coordinators map[string]*coordinator
	proxies      map[string]*proxy
	proxyNames   []string     // in the order of their first records
	endpoints    endpointView // as the endpoint list service publishes them

	startTime             float64
	now                   float64
	recordNumber          int // of the present record, from 1
	lastAvailabilityCheck float64

	unfinishedRPCs map[uint64]int           // by RPC ID: method index of an RPC that was attempted and has not finished
	firstAttempt   map[uint64]float64       // by RPC ID: when the first attempt was sent
	effects        map[uint64]effect        // by RPC ID
	startTimes     map[uint32]float64       // by backend: time of the backend's latest cold start
	coldAttempts   map[uint32][]coldAttempt // by backend: attempts of the last Limits.CollapseWindow plus coldAttemptSlack seconds
}

func newChecker(limits Limits) *checker {
	c := &checker{
		limits: limits, coordinators: map[string]*coordinator{}, proxies: map[string]*proxy{}, endpoints: endpointView{},
		unfinishedRPCs: map[uint64]int{}, firstAttempt: map[uint64]float64{}, effects: map[uint64]effect{},
		startTimes: map[uint32]float64{}, coldAttempts: map[uint32][]coldAttempt{},
	}
	for i, name := range ruleNames {
		c.report.Rules[i].Rule, c.report.Rules[i].Name = i+1, name
	}
	return c
}

// Check checks a trace against the rules. The records must be sorted by time. If a record cannot be interpreted, Check returns
// the report up to that record and an error that wraps ErrTimeOrder, ErrUnknownKind, ErrBadOperation or ErrBadEndpoint.
func Check(records []trace.Record, limits Limits) (Report, error) {
	checker := newChecker(limits)
	if len(records) > 0 {
		checker.startTime = records[0].Time
	}
	for i, record := range records {
		if record.Time < checker.now {
			return checker.report, fmt.Errorf("record %d: %w from %.6f to %.6f", i+1, ErrTimeOrder, checker.now, record.Time)
		}
		checker.advance(record.Time)
		checker.now, checker.recordNumber = record.Time, i+1
		if err := checker.handle(record); err != nil {
			return checker.report, fmt.Errorf("record %d (%s): %w", i+1, record.Kind, err)
		}
	}
	if len(records) > 0 {
		checker.lastAvailabilityCheck = 0 // so that the end of the run is checked in any case
		checker.advance(checker.now)
		checker.report.Duration = checker.now - records[0].Time
	}
	checker.report.Service.Unfinished = len(checker.unfinishedRPCs)
	return checker.report, nil
}

// recordClosest keeps the largest share of a rule's limit that the run used, with its time and a description.
func (c *checker) recordClosest(rule int, share float64, note string, args ...any) {
	if verdict := &c.report.Rules[rule-1]; share > verdict.ClosestShare {
		verdict.ClosestShare, verdict.ClosestTime, verdict.ClosestNote = share, c.now-c.startTime, fmt.Sprintf(note, args...)
	}
}

// recordViolation counts a violation of a rule, and keeps the details of the first one.
func (c *checker) recordViolation(rule int, party, reason string, args ...any) {
	verdict := &c.report.Rules[rule-1]
	verdict.Violations++
	if verdict.Violations == 1 {
		verdict.FirstTime, verdict.Party, verdict.Record, verdict.Reason = c.now, party, c.recordNumber, fmt.Sprintf(reason, args...)
	}
}

// advance moves to a time without a new record: listed backends become warm, and rule 1 is checked for all proxies if the check
// interval has passed.
func (c *checker) advance(until float64) {
	for _, coord := range c.coordinators {
		if coord.nextWarmTime <= until {
			coord.updateAvailability(coord.nextWarmTime, c.limits.WarmAfter)
		}
	}
	// Changes by a proxy's own records are checked when they are applied. This check finds proxies that write no records.
	if until < c.lastAvailabilityCheck+availabilityCheckInterval && until >= c.lastAvailabilityCheck {
		return
	}
	c.lastAvailabilityCheck = until
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
		c.recordClosest(ruleColdBackend, record.Value, "cold backend %d was sent %d RPCs in the collapse window", record.Backend, record.Count)
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
		c.coordinator(record.Coordinator).recordPoll(record.Time)
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
		p.updateNoBackendSince(c.now)
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

// killProxy resets the state of a proxy whose process was killed. Partitions outlast the process, so they are kept.
func (c *checker) killProxy(name string) {
	p := c.proxies[name]
	if p == nil {
		return
	}
	delete(c.proxies, name)
	c.proxyNames = slices.DeleteFunc(c.proxyNames, func(n string) bool { return n == name })
	c.proxy(name).partitions = p.partitions
}

// handlePause records until when a process is paused.
func (c *checker) handlePause(record trace.Record) {
	if p := c.proxies[record.Party]; p != nil {
		p.pausedUntil = max(p.pausedUntil, record.Time+record.Value)
		return
	}
	coord := c.coordinator(record.Party)
	coord.pausedUntil = max(coord.pausedUntil, record.Time+record.Value)
}

// handleProxyLink applies the beginning or end of a partition between a proxy and a coordinator.
func (c *checker) handleProxyLink(record trace.Record) {
	state := c.proxy(record.Party)
	c.checkAvailability(record.Party, state, record.Time)
	if record.Kind == trace.LinkCut {
		state.partitions[record.Coordinator]++
		return
	}
	state.partitions[record.Coordinator]--
	if state.partitions[record.Coordinator] > 0 {
		return
	}
	delete(state.partitions, record.Coordinator)
	if state.coordinator == record.Coordinator {
		state.joinTime = record.Time // messages that the partition held back arrive only now
	}
}

// handleAttempt applies the rules about attempts to an attempt that a proxy sent.
func (c *checker) handleAttempt(record trace.Record) {
	c.report.Attempts++
	c.unfinishedRPCs[record.RPCID] = record.Method
	p := c.proxy(record.Party)
	c.checkDrain(record, p)
	c.checkRetry(record)
	c.recordColdAttempt(record, p)
}

// coordinator returns the state of a coordinator, which is created when first asked for.
func (c *checker) coordinator(name string) *coordinator {
	coord := c.coordinators[name]
	if coord == nil {
		coord = &coordinator{endpoints: endpointView{}, availableSince: math.Inf(1), nextWarmTime: math.Inf(1)}
		c.coordinators[name] = coord
	}
	return coord
}

// proxy returns the state of a proxy, which is created when first asked for.
func (c *checker) proxy(name string) *proxy {
	p := c.proxies[name]
	if p == nil {
		p = newProxy(len(c.limits.Methods))
		c.proxies[name] = p
		c.proxyNames = append(c.proxyNames, name)
	}
	return p
}
