package fake

import (
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// The names of the policies by which a backend is picked, as the settings have them. With any other name a backend is
// picked at random by weight.
const (
	policyRoundRobin        = "even"
	policyLeastRequest      = "pair"   // of two backends picked by weight, the one with fewer attempts in flight
	policyLeastReportedLoad = "report" // of two backends picked by weight, the one that reported less load
)

// pickBackend picks a table entry for the next attempt of an RPC; nil: there is no candidate.
func (f *FrontEnd) pickBackend(now statemachine.Seconds, call *rpc) *tableEntry {
	candidates := f.candidates(now, call)
	if len(candidates) == 0 {
		return nil
	}
	switch f.config.Policy {
	case policyLeastRequest:
		first, second := f.pickByWeight(candidates), f.pickByWeight(candidates)
		if f.inFlight(second.backend) < f.inFlight(first.backend) {
			return second
		}
		return first
	case policyLeastReportedLoad:
		first, second := f.pickByWeight(candidates), f.pickByWeight(candidates)
		if f.estimatedLoad(now, second.backend) < f.estimatedLoad(now, first.backend) {
			return second
		}
		return first
	case policyRoundRobin:
		return pickRoundRobin(candidates)
	}
	return f.pickByWeight(candidates)
}

// candidates are the entries that are not excluded and were not tried before; those that are avoided after failures only
// count if there are no others.
func (f *FrontEnd) candidates(now statemachine.Seconds, call *rpc) []*tableEntry {
	bound := f.methodTables[call.method]
	if bound == nil {
		return nil
	}
	var usable, preferred []*tableEntry
	for i := range bound.entries {
		entry := &bound.entries[i]
		if f.excluded[entry.backend] || entry.weight <= 0 || slices.Contains(call.triedBackends, entry.backend) {
			continue
		}
		usable = append(usable, entry)
		if f.failures[entry.backend].avoidUntil <= now {
			preferred = append(preferred, entry)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return usable
}

// pickByWeight picks at random, with a chance in proportion to the weight.
func (f *FrontEnd) pickByWeight(candidates []*tableEntry) *tableEntry {
	total := 0.0
	for _, entry := range candidates {
		total += entry.weight
	}
	remaining := f.random.Uniform() * total
	for _, entry := range candidates {
		remaining -= entry.weight
		if remaining < 0 {
			return entry
		}
	}
	return candidates[len(candidates)-1] // rounding left a remainder
}

// pickRoundRobin is smooth weighted round robin: each candidate gains its weight as credit, and the one with the most is
// picked and pays the sum.
func pickRoundRobin(candidates []*tableEntry) *tableEntry {
	total := 0.0
	best := candidates[0]
	for _, entry := range candidates {
		entry.credit += entry.weight
		total += entry.weight
		if entry.credit > best.credit {
			best = entry
		}
	}
	best.credit -= total
	return best
}

// inFlight counts the attempts at a backend that are not answered. One that waits for its connection counts twice.
func (f *FrontEnd) inFlight(backend proto.BackendID) int {
	if conn := f.pool.byBackend[backend]; conn != nil {
		return len(conn.attempts) + len(conn.queued)
	}
	return 0
}

// estimatedLoad is the load that a backend reported within the last report period, else the number of attempts in flight.
func (f *FrontEnd) estimatedLoad(now statemachine.Seconds, backend proto.BackendID) float64 {
	conn := f.pool.byBackend[backend]
	if conn != nil && conn.loadReportedAt > 0 && now < conn.loadReportedAt+f.config.ReportPeriod {
		return conn.reportedLoad
	}
	return float64(f.inFlight(backend))
}
