package platform

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/platform/wire"
	"gingerfork/internal/statemachine"
)

// stream is a joined proxy's.
type stream struct {
	session             *session
	subscriber          *fanout.Subscriber
	proxy               choice.ProxyID
	zone                choice.Zone
	rate                float64              // RPCs a second that it usually gets, as it said
	inFlight            []choice.Nonce       // sent on this stream and not answered, oldest first
	unacknowledgedSince statemachine.Seconds // since when marks have been unanswered; its time while there are none is of no use
	lastReceived        statemachine.Seconds // when bytes last came
	// told has what the proxy was told on this stream of servers shut out (true) and let in (false). Withdrawals stay with
	// a proxy across streams, and other coordinators order them too: of what is not here nothing is known, unless it came
	// with nothing (pristine).
	sentExclusions map[choice.BackendID]bool
	joinedEmpty    bool
}

// mostMarks bounds what is kept of marks that a proxy does not answer.
const maxNoncesInFlight = 256

// sheet is what a message does to one table.
type sheet struct {
	table   choice.TableID
	methods uint64
	whole   bool
	lines   []fanout.TableEntry
	levels  []fanout.Admission
}

func (s *sheet) set(e fanout.TableEntry) {
	if at := slices.IndexFunc(s.lines, func(x fanout.TableEntry) bool { return x.Backend == e.Backend }); at >= 0 {
		s.lines[at] = e
		return
	}
	s.lines = append(s.lines, e)
}

func (s *sheet) gate(g fanout.Admission) {
	s.levels = slices.DeleteFunc(s.levels, func(x fanout.Admission) bool { return x.Methods == g.Methods })
	s.levels = append(s.levels, g)
}

// parts makes the platform's message of what a step orders of a proxy: of each line, level and server the last word
// only, as all of it takes effect at once.
func (m *Machine) pushParts(s *stream, ops []fanout.TableOp, mark *choice.Nonce) []wire.Part {
	var sheets []*sheet
	var turned []choice.BackendID // in the order of their last word
	turn := func(ep choice.BackendID, out bool) {
		was, known := s.sentExclusions[ep]
		if known && was == out || !known && !out && s.joinedEmpty {
			return
		}
		s.sentExclusions[ep] = out
		turned = append(slices.DeleteFunc(turned, func(x choice.BackendID) bool { return x == ep }), ep)
	}
	at := func(op fanout.TableOp) *sheet {
		for _, x := range sheets {
			if x.table == op.Table {
				return x
			}
		}
		x := &sheet{table: op.Table, methods: op.Methods}
		sheets = append(sheets, x)
		return x
	}
	for _, op := range ops {
		switch op.Kind {
		case fanout.OpSetEntry:
			x := at(op)
			for _, e := range op.Entries {
				x.set(e)
			}
		case fanout.OpClear:
			x := at(op)
			x.whole, x.lines, x.levels = true, nil, nil
		case fanout.OpBind:
			x := at(op)
			x.whole, x.methods = true, op.Methods
			x.lines, x.levels = slices.Clone(op.Entries), slices.Clone(op.Admissions)
			for _, ep := range op.Backends { // also what is not in this table: a method without one goes by what the proxy brought along
				turn(ep, true)
			}
		case fanout.OpAdmission:
			x := at(op)
			for _, g := range op.Admissions {
				x.gate(g)
			}
		case fanout.OpExclude:
			for _, ep := range op.Backends {
				turn(ep, true)
			}
		case fanout.OpRestore:
			for _, ep := range op.Backends {
				turn(ep, false)
			}
		}
	}
	var parts []wire.Part
	for _, x := range sheets {
		p := wire.Part{Methods: m.methodNames(x.methods), Complete: x.whole}
		for _, e := range x.lines {
			if e.Weight > 0 {
				turn(e.Backend, e.Excluded)
			}
			if srv := m.endpoints.backends[e.Backend]; srv != nil && !(x.whole && e.Weight <= 0) {
				p.Entries = append(p.Entries, wire.TableEntry{Backend: srv.name, Weight: e.Weight})
			}
		}
		gates := m.groupAdmissions(x.levels)
		if len(gates) > 0 && m.methodSet(gates[0].Methods) == m.methodSet(x.methods) {
			p.Admission = &wire.Admission{Level: gates[0].Level, RetryPolicy: int(gates[0].Retry)}
			gates = gates[1:]
		}
		if p.Complete || len(p.Entries) > 0 || p.Admission != nil {
			parts = append(parts, p)
		}
		for _, g := range gates {
			parts = append(parts, wire.Part{Methods: m.methodNames(g.Methods), Admission: &wire.Admission{Level: g.Level, RetryPolicy: int(g.Retry)}})
		}
	}
	if len(turned) > 0 || len(parts) == 0 {
		if len(parts) == 0 {
			parts = append(parts, wire.Part{})
		}
		last := &parts[len(parts)-1]
		for _, ep := range turned {
			srv := m.endpoints.backends[ep]
			switch {
			case srv == nil:
			case s.sentExclusions[ep]:
				last.Exclude = append(last.Exclude, srv.name)
			default:
				last.Restore = append(last.Restore, srv.name)
			}
		}
	}
	if mark != nil {
		last := &parts[len(parts)-1]
		nonce := int(*mark)
		last.Nonce = &nonce
	}
	return parts
}

// gather joins levels that say the same of different methods.
func (m *Machine) groupAdmissions(levels []fanout.Admission) (all []fanout.Admission) {
	for _, g := range levels {
		at := slices.IndexFunc(all, func(x fanout.Admission) bool { return x.Level == g.Level && x.Retry == g.Retry })
		if at < 0 {
			all = append(all, fanout.Admission{Methods: m.methodSet(g.Methods), Level: g.Level, Retry: g.Retry})
		} else {
			all[at].Methods |= m.methodSet(g.Methods)
		}
	}
	return all
}

// all gives the bits of every method for 0, which means that.
func (m *Machine) methodSet(methods uint64) uint64 {
	every := uint64(1)<<len(m.methods) - 1
	if methods == 0 {
		return every
	}
	return methods & every
}

// named gives the methods' names, none if all are meant.
func (m *Machine) methodNames(methods uint64) (names []string) {
	if every := uint64(1)<<len(m.methods) - 1; m.methodSet(methods) == every {
		return nil
	}
	for i, name := range m.methods {
		if methods>>i&1 == 1 {
			names = append(names, name)
		}
	}
	return names
}
