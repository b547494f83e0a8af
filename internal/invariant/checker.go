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
		checker.begin = records[0].T
	}
	for i, record := range records {
		if record.T < checker.now {
			return checker.report, fmt.Errorf("record %d: %w from %.6f to %.6f", i+1, ErrTimeOrder, checker.now, record.T)
		}
		checker.advance(record.T)
		checker.now, checker.record = record.T, i+1
		if err := checker.handle(record); err != nil {
			return checker.report, fmt.Errorf("record %d (%s): %w", i+1, record.Kind, err)
		}
	}
	if len(records) > 0 {
		checker.availabilityTime = 0 // the end of the run is always examined
		checker.advance(checker.now)
		checker.report.Duration = checker.now - records[0].T
	}
	checker.report.Service.Unfinished = len(checker.unfinished)
	return checker.report, nil
}

// measure keeps the largest share of a rule's limit that was reached, with a note on what reached it.
func (c *checker) measure(rule int, share float64, note string, args ...any) {
	if v := &c.report.Rules[rule-1]; share > v.Closest {
		v.Closest, v.ClosestTime, v.ClosestNote = share, c.now-c.begin, fmt.Sprintf(note, args...)
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
	case trace.Boot, trace.Ask, trace.List:
		return c.handleCoordinator(record)
	case trace.Kill, trace.Join, trace.Leave, trace.Apply:
		return c.handleProxy(record)
	case trace.Stall:
		c.handlePause(record)
	case trace.Cut, trace.Heal:
		if record.Who == endpointService {
			return c.handleEndpointLink(record)
		}
		c.handleProxyLink(record)
	case trace.Push:
		c.checkPush(record)
	case trace.Try:
		c.handleAttempt(record)
	case trace.Run:
		c.checkEffect(record)
	case trace.Start:
		c.startTimes[record.EP] = record.T
		delete(c.coldAttempts, record.EP)
	case trace.Offer:
		c.measure(ruleColdBackend, record.X, "server %d, cold, was sent %d RPCs in the window", record.EP, record.N)
	case trace.Fall:
		c.checkCollapse(record)
	case trace.End:
		c.countService(record)
	case trace.Trouble:
		c.report.Faults++
	case trace.Gone, trace.Glance, trace.Late:
	default:
		return ErrUnknownKind
	}
	return nil
}

func (c *checker) handleCoordinator(record trace.Record) error {
	switch record.Kind {
	case trace.Boot:
		c.restartCoordinator(c.coordinator(record.Who), record.T)
	case trace.Ask:
		c.coordinator(record.Of).polled(record.T)
	case trace.List:
		return c.handleEndpoints(record)
	}
	return nil
}

func (c *checker) handleProxy(record trace.Record) error {
	switch record.Kind {
	case trace.Kill:
		c.killProxy(record.Who)
	case trace.Join:
		p := c.proxy(record.Who)
		p.coordinator, p.joinTime, p.pushTimes = record.Of, record.T, nil
		p.updateCoverage(c.now)
	case trace.Leave:
		if p := c.proxies[record.Who]; p != nil {
			c.checkAvailability(record.Who, p, record.T)
			p.coordinator = ""
		}
	case trace.Apply:
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
	if p := c.proxies[record.Who]; p != nil {
		p.pausedUntil = max(p.pausedUntil, record.T+record.X)
		return
	}
	coord := c.coordinator(record.Who)
	coord.pausedUntil = max(coord.pausedUntil, record.T+record.X)
}

// handleProxyLink follows partitions between a proxy and a coordinator.
func (c *checker) handleProxyLink(record trace.Record) {
	linked := c.proxy(record.Who)
	c.checkAvailability(record.Who, linked, record.T)
	if record.Kind == trace.Cut {
		linked.partitions[record.Of]++
		return
	}
	linked.partitions[record.Of]--
	if linked.partitions[record.Of] > 0 {
		return
	}
	delete(linked.partitions, record.Of)
	if linked.coordinator == record.Of {
		linked.joinTime = record.T // what was held back arrives now
	}
}

// handleAttempt applies the rules for attempts to one that a proxy sent.
func (c *checker) handleAttempt(record trace.Record) {
	c.report.Attempts++
	c.unfinished[record.RPC] = record.Method
	p := c.proxy(record.Who)
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
