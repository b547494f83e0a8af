package fake

import (
	"slices"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// The names of the policies for picking a backend, as in the settings. With any other name a backend is picked at random by
// weight.
const (
	policyRoundRobin        = "even"   // smooth weighted round robin
	policyLeastRequest      = "pair"   // of two backends picked by weight, the one with fewer attempts in flight
	policyLeastReportedLoad = "report" // of two backends picked by weight, the one that reported less load
)

// pickBackend picks a table entry for the next attempt of an RPC. It returns nil if there is no candidate.
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

// candidates returns the table entries that an RPC may be sent to: those that are not excluded and were not tried before. Entries
// that are avoided after failures are only returned if there are no others.
func (f *FrontEnd) candidates(now statemachine.Seconds, call *rpc) []*tableEntry {
	methodTable := f.methodTables[call.method]
	if methodTable == nil {
		return nil
	}
	var usable, preferred []*tableEntry
	for i := range methodTable.entries {
		entry := &methodTable.entries[i]
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

// pickByWeight picks at random, with a probability proportional to the weight.
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
	return candidates[len(candidates)-1] // a rounding error left a remainder above 0
}

// pickRoundRobin implements smooth weighted round robin: each candidate's credit grows by its weight, the candidate with the most
// credit is picked, and the sum of the weights is subtracted from its credit.
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

// inFlight returns the number of attempts at a backend that are not answered yet. An attempt that waits for the connection to be
// established counts twice.
func (f *FrontEnd) inFlight(backend proto.BackendID) int {
	if conn := f.pool.byBackend[backend]; conn != nil {
		return len(conn.attempts) + len(conn.queued)
	}
	return 0
}

// estimatedLoad returns the load that a backend reported within the last report period. Without such a report it returns the number
// of attempts in flight.
func (f *FrontEnd) estimatedLoad(now statemachine.Seconds, backend proto.BackendID) float64 {
	conn := f.pool.byBackend[backend]
	if conn != nil && conn.loadReportedAt > 0 && now < conn.loadReportedAt+f.config.ReportPeriod {
		return conn.reportedLoad
	}
	return float64(f.inFlight(backend))
}
