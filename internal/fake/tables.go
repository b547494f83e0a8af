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

// table is one weighted set of backends, and the admission levels of the methods that use it.
type table struct {
	entries   []tableEntry // sorted by backend
	admission map[int]admissionState
}

// tableEntry is one backend of a table.
type tableEntry struct {
	backend proto.BackendID
	weight  float64
	addr    string
	credit  float64 // of the smooth weighted round robin
}

func newTable() *table {
	return &table{admission: map[int]admissionState{}}
}

// applyPush acknowledges a push and applies its operations.
func (f *FrontEnd) applyPush(now statemachine.Seconds, push proto.Push) {
	if f.session.stream == 0 {
		return
	}
	if push.HasNonce {
		f.out.Write(f.session.stream, proto.Append(nil, proto.Acknowledgement{Nonce: push.Nonce}))
		f.session.nonce = push.Nonce
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

// applyOp applies one table operation and adds its description, in the trace's format.
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

// bindTable replaces a table and lets its methods use it.
func (f *FrontEnd) bindTable(operation proto.TableOp, description *strings.Builder) {
	if f.session.tablesOf != f.session.coordinator {
		// The numbers of tables are those of one coordinator: what another one pushed can't be changed any more.
		f.session.tablesOf = f.session.coordinator
		clear(f.tables)
		clear(f.methodTables)
	}
	bound := newTable()
	f.tables[operation.Table] = bound
	clear(f.excluded)
	fmt.Fprintf(description, "bind %d %d", operation.Table, operation.Methods)
	for _, entry := range operation.Entries {
		f.setEntry(bound, entry, description)
	}
	for _, level := range operation.Admissions {
		f.setAdmission(bound, level)
	}
	for _, backend := range operation.Backends {
		f.excluded[backend] = true
		fmt.Fprintf(description, " -%d", backend)
	}
	for method := range f.methodTables {
		if inMethodSet(operation.Methods, method) {
			f.methodTables[method] = bound
		}
	}
}

// inMethodSet tells whether a bit set of methods contains one; the empty set stands for all methods.
func inMethodSet(methods uint64, method int) bool {
	return methods == 0 || methods>>method&1 == 1
}

// setEntry adds, changes or, with a weight of 0, removes a table's entry, and excludes or restores its backend.
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

// usableAddresses maps the backends that some method may use to their addresses.
func (f *FrontEnd) usableAddresses() map[proto.BackendID]string {
	addresses := map[proto.BackendID]string{}
	for _, bound := range f.methodTables {
		if bound == nil {
			continue
		}
		for _, entry := range bound.entries {
			if !f.excluded[entry.backend] {
				addresses[entry.backend] = entry.addr
			}
		}
	}
	return addresses
}

// retryPolicyOf is what the table orders for an RPC's method.
func (f *FrontEnd) retryPolicyOf(method int) retryPolicy {
	bound := f.methodTables[method]
	if bound == nil {
		return retryNever
	}
	return bound.admission[method].retry
}
