package platform

import (
	"slices"

	"gingerfork/choice"
	"gingerfork/internal/fanout"
	"gingerfork/internal/platform/wire"
)

// tableChange collects what a push changes in one table.
type tableChange struct {
	table      choice.TableID
	methods    uint64 // bit mask of the methods that the table is bound for; 0 stands for all
	complete   bool   // entries replace the whole table
	entries    []fanout.TableEntry
	admissions []fanout.Admission
}

// setEntry adds an entry, replacing an earlier one of the same backend.
func (c *tableChange) setEntry(entry fanout.TableEntry) {
	index := slices.IndexFunc(c.entries, func(e fanout.TableEntry) bool { return e.Backend == entry.Backend })
	if index >= 0 {
		c.entries[index] = entry
		return
	}
	c.entries = append(c.entries, entry)
}

// setAdmission adds an admission, replacing an earlier one of the same set of methods.
func (c *tableChange) setAdmission(admission fanout.Admission) {
	c.admissions = slices.DeleteFunc(c.admissions, func(a fanout.Admission) bool { return a.Methods == admission.Methods })
	c.admissions = append(c.admissions, admission)
}

// pushBuilder merges the operations of one message into a push. All parts of a push take effect at the same time, so if an
// entry, admission level or exclusion changes several times, only the last change is sent.
type pushBuilder struct {
	machine    *Machine
	stream     *stream
	changes    []*tableChange     // in the order of their tables' first operations
	exclusions []choice.BackendID // backends that this push excludes or restores, in the order of their last change
}

// pushParts converts the operations of a message to the parts of a push, of which there is at least one. The last part has
// the nonce, unless that is nil.
func (m *Machine) pushParts(receiver *stream, ops []fanout.TableOp, nonce *choice.Nonce) []wire.Part {
	builder := &pushBuilder{machine: m, stream: receiver}
	for _, op := range ops {
		builder.add(op)
	}
	var parts []wire.Part
	for _, change := range builder.changes {
		parts = append(parts, builder.tableParts(change)...)
	}
	if len(parts) == 0 {
		parts = append(parts, wire.Part{})
	}
	last := &parts[len(parts)-1]
	builder.addExclusions(last)
	if nonce != nil {
		number := int(*nonce)
		last.Nonce = &number
	}
	return parts
}

// add merges one operation.
func (b *pushBuilder) add(operation fanout.TableOp) {
	switch operation.Kind {
	case fanout.OpSetEntry:
		change := b.changeFor(operation)
		for _, entry := range operation.Entries {
			change.setEntry(entry)
		}
	case fanout.OpClear:
		change := b.changeFor(operation)
		change.complete, change.entries, change.admissions = true, nil, nil
	case fanout.OpBind:
		change := b.changeFor(operation)
		change.complete, change.methods = true, operation.Methods
		change.entries, change.admissions = slices.Clone(operation.Entries), slices.Clone(operation.Admissions)
		// This includes backends that are not in this table, because methods without a table still use what the proxy held
		// before.
		b.setExclusions(operation.Backends, true)
	case fanout.OpAdmission:
		change := b.changeFor(operation)
		for _, admission := range operation.Admissions {
			change.setAdmission(admission)
		}
	case fanout.OpExclude:
		b.setExclusions(operation.Backends, true)
	case fanout.OpRestore:
		b.setExclusions(operation.Backends, false)
	}
}

// changeFor returns the change to the operation's table, creating it if necessary.
func (b *pushBuilder) changeFor(op fanout.TableOp) *tableChange {
	for _, change := range b.changes {
		if change.table == op.Table {
			return change
		}
	}
	change := &tableChange{table: op.Table, methods: op.Methods}
	b.changes = append(b.changes, change)
	return change
}

// setExclusions excludes or restores backends, as setExclusion does.
func (b *pushBuilder) setExclusions(backends []choice.BackendID, excluded bool) {
	for _, id := range backends {
		b.setExclusion(id, excluded)
	}
}

// setExclusion excludes or restores a backend, unless the proxy is known to be in that state already.
func (b *pushBuilder) setExclusion(id choice.BackendID, excluded bool) {
	sent, known := b.stream.sentExclusions[id]
	if known && sent == excluded {
		return
	}
	b.stream.sentExclusions[id] = excluded
	b.exclusions = append(slices.DeleteFunc(b.exclusions, func(other choice.BackendID) bool { return other == id }), id)
}

// tableParts returns the parts of the push for the change to one table: one for its entries together with an admission level
// for all of the table's methods, and one for each other admission level.
func (b *pushBuilder) tableParts(change *tableChange) []wire.Part {
	machine := b.machine
	table := wire.Part{Methods: machine.methodNames(change.methods), Complete: change.complete, Entries: b.entries(change)}
	admissions := machine.groupAdmissions(change.admissions)
	if len(admissions) > 0 && machine.methodSet(admissions[0].Methods) == machine.methodSet(change.methods) {
		table.Admission = wireAdmission(admissions[0])
		admissions = admissions[1:]
	}
	var parts []wire.Part
	if table.Complete || len(table.Entries) > 0 || table.Admission != nil {
		parts = append(parts, table)
	}
	for _, admission := range admissions {
		parts = append(parts, wire.Part{Methods: machine.methodNames(admission.Methods), Admission: wireAdmission(admission)})
	}
	return parts
}

// entries returns the entries to send for a change, and sets the exclusion of each backend with a positive weight. Entries
// of backends that are no longer known are left out.
func (b *pushBuilder) entries(change *tableChange) []wire.TableEntry {
	var entries []wire.TableEntry
	for _, entry := range change.entries {
		if entry.Weight > 0 {
			b.setExclusion(entry.Backend, entry.Excluded)
		}
		// A complete table removes an entry by omitting it; otherwise weight 0 removes it.
		listed := b.machine.endpoints.backends[entry.Backend]
		if listed != nil && !(change.complete && entry.Weight <= 0) {
			entries = append(entries, wire.TableEntry{Backend: listed.name, Weight: entry.Weight})
		}
	}
	return entries
}

// addExclusions adds the exclusions that this push changes to one of its parts.
func (b *pushBuilder) addExclusions(part *wire.Part) {
	for _, id := range b.exclusions {
		listed := b.machine.endpoints.backends[id]
		switch {
		case listed == nil:
		case b.stream.sentExclusions[id]:
			part.Exclude = append(part.Exclude, listed.name)
		default:
			part.Restore = append(part.Restore, listed.name)
		}
	}
}

// wireAdmission converts an admission to its form on the wire.
func wireAdmission(admission fanout.Admission) *wire.Admission {
	return &wire.Admission{Level: admission.Level, RetryPolicy: int(admission.Retry)}
}

// groupAdmissions merges admissions that have the same level and retry policy into one for all of their methods.
func (m *Machine) groupAdmissions(admissions []fanout.Admission) []fanout.Admission {
	var groups []fanout.Admission
	for _, admission := range admissions {
		methods := m.methodSet(admission.Methods)
		index := slices.IndexFunc(groups, func(g fanout.Admission) bool { return g.Level == admission.Level && g.Retry == admission.Retry })
		if index < 0 {
			groups = append(groups, fanout.Admission{Methods: methods, Level: admission.Level, Retry: admission.Retry})
		} else {
			groups[index].Methods |= methods
		}
	}
	return groups
}

// methodSet returns a bit mask of methods with 0, which stands for all methods, replaced by the mask of all methods.
func (m *Machine) methodSet(methods uint64) uint64 {
	all := uint64(1)<<len(m.methods) - 1
	if methods == 0 {
		return all
	}
	return methods & all
}

// methodNames returns the names of the methods in a bit mask, or nil if it has all methods.
func (m *Machine) methodNames(methods uint64) []string {
	if m.methodSet(methods) == m.methodSet(0) {
		return nil
	}
	var names []string
	for i, name := range m.methods {
		if methods>>i&1 == 1 {
			names = append(names, name)
		}
	}
	return names
}
