package fake

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
	"gingerfork/internal/trace"
)

// table is a weighted set of backends with the admission levels of the methods that use it.
type table struct {
	entries   []tableEntry           // sorted by backend
	admission map[int]admissionState // by method
}

// tableEntry is one backend of a table.
type tableEntry struct {
	backend proto.BackendID
	weight  float64
	addr    string
	credit  float64 // for smooth weighted round robin, see pickRoundRobin
}

func newTable() *table {
	return &table{admission: map[int]admissionState{}}
}

// applyPush acknowledges a push and applies its operations. It does nothing if the session has ended.
func (f *FrontEnd) applyPush(now statemachine.Seconds, push proto.Push) {
	if f.session.conn == 0 {
		return
	}
	if push.HasNonce {
		f.out.Write(f.session.conn, proto.Append(nil, proto.Acknowledgement{Nonce: push.Nonce}))
		f.session.lastAckedNonce = push.Nonce
	}
	var description strings.Builder
	for _, operation := range push.Ops {
		if description.Len() > 0 {
			description.WriteByte(';')
		}
		f.applyOp(operation, &description)
	}
	f.out.Record(trace.Record{
		Time: now, Kind: trace.PushApplied, Party: f.config.Name, Coordinator: f.session.coordinator, Nonce: int(push.Nonce),
		Text: description.String(),
	})
	f.closeUnusedConns()
}

// applyOp applies a table operation and appends its description in the trace's format.
func (f *FrontEnd) applyOp(operation proto.TableOp, description *strings.Builder) {
	switch operation.Kind {
	case proto.OpBind:
		f.bindTable(operation, description)
	case proto.OpSetEntry:
		fmt.Fprintf(description, "line %d", operation.Table)
		if target := f.tables[operation.Table]; target != nil {
			f.setEntry(target, operation.Entries[0], description)
		}
	case proto.OpClear:
		fmt.Fprintf(description, "clear %d", operation.Table)
		if target := f.tables[operation.Table]; target != nil {
			*target = *newTable()
		}
	case proto.OpAdmission:
		level := operation.Admissions[0]
		fmt.Fprintf(description, "level %d %d %g %d", operation.Table, level.Methods, level.Level, level.Retry)
		if target := f.tables[operation.Table]; target != nil {
			f.setAdmission(target, level)
		}
	case proto.OpExclude:
		f.excluded[operation.Backends[0]] = true
		fmt.Fprintf(description, "withdraw %d", operation.Backends[0])
	case proto.OpRestore:
		delete(f.excluded, operation.Backends[0])
		fmt.Fprintf(description, "readmit %d", operation.Backends[0])
	}
}

// bindTable replaces the table of a number, has the operation's methods use it, and replaces the set of excluded backends.
func (f *FrontEnd) bindTable(operation proto.TableOp, description *strings.Builder) {
	if f.session.tablesFrom != f.session.coordinator {
		// Table numbers are valid for one coordinator only, so the tables of the previous coordinator can't be changed any more.
		f.session.tablesFrom = f.session.coordinator
		clear(f.tables)
		clear(f.methodTables)
	}
	boundTable := newTable()
	f.tables[operation.Table] = boundTable
	clear(f.excluded)
	fmt.Fprintf(description, "bind %d %d", operation.Table, operation.Methods)
	for _, entry := range operation.Entries {
		f.setEntry(boundTable, entry, description)
	}
	for _, level := range operation.Admissions {
		f.setAdmission(boundTable, level)
	}
	for _, backend := range operation.Backends {
		f.excluded[backend] = true
		fmt.Fprintf(description, " -%d", backend)
	}
	for method := range f.methodTables {
		if inMethodSet(operation.Methods, method) {
			f.methodTables[method] = boundTable
		}
	}
}

// inMethodSet reports whether a bit set of methods contains a method. The empty set stands for all methods.
func inMethodSet(methods uint64, method int) bool {
	return methods == 0 || methods>>method&1 == 1
}

// setEntry adds, changes or, with a weight of 0, removes an entry of a table, and excludes or restores the entry's backend.
func (f *FrontEnd) setEntry(target *table, entry proto.TableEntry, description *strings.Builder) {
	fmt.Fprintf(description, " %d:%.6g", entry.Backend, entry.Weight)
	target.set(entry)
	if entry.Excluded {
		f.excluded[entry.Backend] = true
		description.WriteByte('!')
	} else {
		delete(f.excluded, entry.Backend)
	}
}

// set adds, changes or, with a weight of 0, removes an entry. A changed entry keeps its credit.
func (t *table) set(entry proto.TableEntry) {
	index, found := slices.BinarySearchFunc(t.entries, entry.Backend, func(candidate tableEntry, backend proto.BackendID) int {
		return cmp.Compare(candidate.backend, backend)
	})
	switch {
	case entry.Weight == 0 && found:
		t.entries = slices.Delete(t.entries, index, index+1)
	case entry.Weight == 0:
	case found:
		t.entries[index].weight = entry.Weight
		t.entries[index].addr = entry.Addr
	default:
		t.entries = slices.Insert(t.entries, index, tableEntry{backend: entry.Backend, weight: entry.Weight, addr: entry.Addr})
	}
}

// usableAddresses returns the addresses of the backends that at least one method may use.
func (f *FrontEnd) usableAddresses() map[proto.BackendID]string {
	addresses := map[proto.BackendID]string{}
	for _, methodTable := range f.methodTables {
		if methodTable == nil {
			continue
		}
		for _, entry := range methodTable.entries {
			if !f.excluded[entry.backend] {
				addresses[entry.backend] = entry.addr
			}
		}
	}
	return addresses
}

// retryPolicyOf returns the retry policy that the method's table has for it, or retryNever if there is none.
func (f *FrontEnd) retryPolicyOf(method int) retryPolicy {
	methodTable := f.methodTables[method]
	if methodTable == nil {
		return retryNever
	}
	return methodTable.admission[method].retryPolicy
}
