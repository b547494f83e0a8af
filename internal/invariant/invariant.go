// Package invariant reads the trace of a run and reports which of the five service rules were violated: when, by which
// party, at which record, and how close the others came to their limits. It depends on the trace format and on the limits
// only, and shares no code with the coordinator, the decision module or the protocol, so that a fault in those cannot hide
// itself here.
package invariant

import "slices"

// Rule numbers, as the operators' pages count them.
const (
	ruleBackendAvailable = 1 + iota // a proxy always has a usable backend
	ruleEffectOnce                  // no RPC takes effect twice
	ruleDrainRespected              // no attempt goes to a draining or removed backend
	ruleColdBackend                 // no cold backend collapses under load that the coordinator caused
	ruleQueueBounded                // queues of table entries and messages stay within their bounds
	ruleCount            = iota
)

// ruleNames are the names that reports print, by rule number less one.
var ruleNames = [ruleCount]string{
	"no proxy without a backend", "no effect twice", "drains are kept", "no cold backend pushed over",
	"the queue stays short",
}

// Method is what the checker needs to know of a method.
type Method struct {
	Name              string
	NonIdempotent     bool    // a repeat is permitted only after proof that the first attempt had no effect
	HasIdempotencyKey bool    // backends drop repeats that arrive within DedupWindow
	DedupWindow       float64 // seconds
	Criticality       float64 // weight of one RPC in the service figure
	SoftDeadline      float64 // seconds within which an answer counts as in time
}

// Limits are the figures that the rules hold a run to. Times are in seconds.
type Limits struct {
	NoBackendLimit        float64 // a proxy may lack a usable backend for so long
	DrainGrace            float64 // attempts to a draining or removed backend are permitted for so long
	WarmAfter             float64 // a backend counts as warm so long after its start
	CollapseWindow        float64 // span over which the load on a cold backend is counted
	MaxQueuedEntries      int     // table entries that may wait at a coordinator
	MaxMessages           int     // messages to a proxy within MessageWindow; 0: any number
	MessageWindow         float64
	OnlyDrainingBinds     bool    // a backend that is gone without a drain does not bind proxies
	EndpointStreamTimeout float64 // silence after which a coordinator gives up its stream to the endpoint list service
	PollInterval          float64 // a coordinator without a stream must poll within this
	Methods               []Method
}

// Verdict is the result for one rule. Times named First and Record refer to the first violation.
type Verdict struct {
	Rule         int
	Name         string
	Violations   int
	FirstTime    float64 // seconds, on the trace's clock
	Party        string
	Record       int // index in the trace, from 1
	Reason       string
	ClosestShare float64 // largest share of the limit that was reached; 1 and above: reached
	ClosestTime  float64 // seconds since the start of the run
	ClosestNote  string
}

// Service is what the clients received. Offered and InTime are sums of criticality, the others are numbers of RPCs.
type Service struct {
	Offered, InTime                               float64
	RPCs, OK, Late, Rejected, Aborted, Unfinished int
}

// Share is the criticality answered within the soft deadline over the criticality that was offered; 1 without any.
func (s Service) Share() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.InTime / s.Offered
}

// Report is the result of a check.
type Report struct {
	Rules     [ruleCount]Verdict
	Service   Service
	Pushes    int
	Entries   int // table entries in these pushes
	Attempts  int
	Collapses int // cold backends that collapsed under load
	Faults    int // steps of the scenario
	Duration  float64
}

// Violated tells whether any rule was violated.
func (r Report) Violated() bool {
	return slices.ContainsFunc(r.Rules[:], func(v Verdict) bool { return v.Violations > 0 })
}
