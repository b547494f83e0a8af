// Package invariant checks the trace of a run against the five service rules. For a violated rule it reports when, by which
// participant and at which record that happened first; for every rule it reports how close the run came to violating it. It
// depends only on the trace format and on Limits, and shares no code with the coordinator, the decision module or the
// protocol, so that a defect in one of those cannot hide its effect here.
package invariant

import "slices"

// Numbers of the rules, as in the documentation for operators. The comment on each is the condition that must hold. A backend
// is usable for a method if the method's table at the proxy has it with a weight above 0 and the proxy does not exclude it.
const (
	ruleBackendAvailable = 1 + iota // a proxy has no usable backend for a method for at most Limits.NoBackendLimit, while its coordinator lists an open, warm one
	ruleEffectOnce                  // an RPC is executed at most once, and no retry risks a second time, unless its method is idempotent without a key
	ruleDrainRespected              // a proxy sends attempts to a draining or removed backend for at most Limits.DrainGrace after the proxy joined and its coordinator was notified
	ruleColdBackend                 // no backend that started cold less than Limits.WarmAfter ago collapses under load that the coordinators caused
	ruleQueueBounded                // at most Limits.MaxQueuedEntries table entries are queued at a coordinator, and a proxy gets at most Limits.MaxMessages pushes within Limits.MessageWindow
	ruleCount            = iota
)

// ruleNames are the names that reports print, indexed by rule number minus one.
var ruleNames = [ruleCount]string{
	"no proxy without a backend", "no effect twice", "drains are kept", "no cold backend pushed over",
	"the queue stays short",
}

// Method holds the properties of a method that the rules and the service figures depend on.
type Method struct {
	Name              string
	NonIdempotent     bool    // a retry is permitted only after proof that the earlier attempt had no effect
	HasIdempotencyKey bool    // backends drop repeats that arrive within DedupWindow
	DedupWindow       float64 // seconds
	Criticality       float64 // weight of one RPC in the service figures
	SoftDeadline      float64 // an answer within this many seconds counts as in time
}

// Limits are the limits that the rules hold a run to. Times are in seconds.
type Limits struct {
	NoBackendLimit        float64 // longest time that a proxy may have no usable backend for a method
	DrainGrace            float64 // time in which a proxy may still send attempts to a draining or removed backend, from its coordinator's notification or its join
	WarmAfter             float64 // time from its start after which a backend counts as warm
	CollapseWindow        float64 // time before a collapse whose attempts decide whether the coordinators caused it
	MaxQueuedEntries      int     // table entries that may wait at a coordinator to be pushed
	MaxMessages           int     // pushes to one proxy within MessageWindow; 0: unlimited
	MessageWindow         float64 // time within which pushes to a proxy count towards MaxMessages
	OnlyDrainingBinds     bool    // rule 3 does not apply to a backend that was removed without draining
	EndpointStreamTimeout float64 // silence after which a coordinator gives up its stream to the endpoint list service
	PollInterval          float64 // longest time within which a coordinator without that stream must poll
	Methods               []Method
}

// Verdict is the result for one rule. FirstTime, Party, Record and Reason describe the first violation, the last three fields the
// moment at which the run came closest to violating the rule.
type Verdict struct {
	Rule         int
	Name         string
	Violations   int
	FirstTime    float64 // time of the first violation in seconds, on the clock of the trace
	Party        string  // name of the participant that violated the rule
	Record       int     // number of the trace record that showed the violation, from 1
	Reason       string
	ClosestShare float64 // largest measured value divided by that which Limits allows; for rule 4 the load that a cold backend was sent, divided by the load at which it collapses
	ClosestTime  float64 // seconds since the start of the run
	ClosestNote  string
}

// Service sums up what the clients received. Offered and InTime are sums of criticality, the other fields are numbers of RPCs.
type Service struct {
	Offered, InTime                               float64
	RPCs, OK, Late, Rejected, Aborted, Unfinished int
}

// Share returns the criticality that was answered within the soft deadline as a share of the criticality that was offered; it is
// 1 if none was offered.
func (s Service) Share() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.InTime / s.Offered
}

// Report is the result of checking a trace.
type Report struct {
	Rules     [ruleCount]Verdict
	Service   Service
	Pushes    int
	Entries   int // total size of these pushes: operations, table entries and admission levels
	Attempts  int
	Collapses int     // cold backends that collapsed under load
	Faults    int     // steps of the scenario
	Duration  float64 // of the run, in seconds
}

// Violated reports whether any rule was violated.
func (r Report) Violated() bool {
	return slices.ContainsFunc(r.Rules[:], func(v Verdict) bool { return v.Violations > 0 })
}
