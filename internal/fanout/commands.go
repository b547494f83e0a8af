package fanout

import (
	"cmp"
	"slices"

	"gingerfork/choice"
)

// Apply executes one command of the decision module and returns whether the command concerns tables at all.
func (d *Distributor) Apply(command choice.Command) bool {
	switch command := command.(type) {
	case choice.SetTableEntry:
		d.setEntry(command)
	case choice.ClearTable:
		d.clearTable(command)
	case choice.BindTable:
		d.bind(command)
	case choice.SetAdmission:
		d.setAdmission(command)
	case choice.SetExclusion:
		d.setExclusion(command)
	case choice.NotifyExclusions:
		if subscriber := d.subscriber(command.Proxy); subscriber != nil {
			subscriber.informed = true
			d.uninformed = append(d.uninformed, subscriber)
		}
	default:
		return false
	}
	return true
}

func (d *Distributor) setEntry(command choice.SetTableEntry) {
	t := d.table(command.Table)
	if command.Weight > 0 {
		t.weights[command.Backend] = command.Weight
	} else {
		delete(t.weights, command.Backend)
	}
	entry := TableEntry{Backend: command.Backend, Weight: command.Weight, Excluded: d.excluded[command.Backend]}
	for _, subscriber := range t.subscribers {
		if entry.Excluded {
			subscriber.excluded[command.Backend] = true
		}
		op := subscriber.op(OpSetEntry, command.Table)
		op.Entries = []TableEntry{entry}
		d.enqueue(subscriber, op, 1)
	}
}

func (d *Distributor) clearTable(command choice.ClearTable) {
	t := d.table(command.Table)
	clear(t.weights)
	t.admissions = nil
	for _, subscriber := range t.subscribers {
		d.enqueue(subscriber, subscriber.op(OpClear, command.Table), 1)
	}
	if len(t.subscribers) == 0 {
		delete(d.tables, command.Table)
	}
}

func (d *Distributor) setAdmission(command choice.SetAdmission) {
	t := d.table(command.Table)
	admission := Admission{Methods: command.Methods, Level: command.Level, Retry: command.Retry}
	at := slices.IndexFunc(t.admissions, func(a Admission) bool { return a.Methods == admission.Methods })
	if at >= 0 {
		t.admissions[at] = admission
	} else {
		t.admissions = append(t.admissions, admission)
	}
	for _, subscriber := range t.subscribers {
		op := subscriber.op(OpAdmission, command.Table)
		op.Admissions = []Admission{admission}
		d.enqueue(subscriber, op, 1)
	}
}

// bind subscribes a proxy to a table and sends the complete table.
func (d *Distributor) bind(command choice.BindTable) {
	subscriber := d.subscriber(command.Proxy)
	if subscriber == nil {
		return // the proxy left after the events on which the module decided
	}
	bound := subscription{table: command.Table, methods: command.Methods}
	d.subscribe(subscriber, bound)
	bindOp := d.completeTable(bound)
	for _, entry := range bindOp.Entries {
		if entry.Excluded {
			subscriber.excluded[entry.Backend] = true
		}
	}
	for backend := range subscriber.excluded {
		bindOp.Backends = append(bindOp.Backends, backend)
	}
	slices.Sort(bindOp.Backends)
	// The table carries all exclusions, so separate ones earlier in the same message are redundant.
	message := d.MarkDirty(subscriber)
	before := len(message.Ops)
	message.Ops = slices.DeleteFunc(message.Ops, func(op TableOp) bool { return op.Kind == OpExclude })
	message.EntryCount -= before - len(message.Ops)
	d.enqueue(subscriber, bindOp, 1+len(bindOp.Entries)+len(bindOp.Admissions))
}

func (d *Distributor) subscribe(subscriber *Subscriber, bound subscription) {
	at := slices.IndexFunc(subscriber.subscriptions, func(s subscription) bool { return s.table == bound.table })
	if at >= 0 {
		subscriber.subscriptions[at].methods = bound.methods
		return
	}
	t := d.table(bound.table)
	t.subscribers = append(t.subscribers, subscriber)
	subscriber.subscriptions = append(subscriber.subscriptions, bound)
}

// completeTable returns the present content of a table as an OpBind operation.
func (d *Distributor) completeTable(bound subscription) TableOp {
	t := d.table(bound.table)
	op := TableOp{Kind: OpBind, Table: bound.table, Methods: bound.methods, Admissions: slices.Clone(t.admissions)}
	for backend, weight := range t.weights {
		op.Entries = append(op.Entries, TableEntry{Backend: backend, Weight: weight, Excluded: d.excluded[backend]})
	}
	slices.SortFunc(op.Entries, func(a, b TableEntry) int { return cmp.Compare(a.Backend, b.Backend) })
	return op
}

// table returns a table, creating it if necessary.
func (d *Distributor) table(id choice.TableID) *table {
	t := d.tables[id]
	if t == nil {
		t = &table{weights: map[choice.BackendID]float64{}}
		d.tables[id] = t
	}
	return t
}

// enqueue appends an operation of the given size to the proxy's message of this step.
func (d *Distributor) enqueue(subscriber *Subscriber, op TableOp, entries int) {
	message := d.MarkDirty(subscriber)
	message.Ops = append(message.Ops, op)
	message.EntryCount += entries
	message.Urgent = message.Urgent || op.Kind == OpExclude
}

// op returns an operation on a table for the methods that the table is bound for at this proxy.
func (s *Subscriber) op(kind OpKind, id choice.TableID) TableOp {
	op := TableOp{Kind: kind, Table: id}
	at := slices.IndexFunc(s.subscriptions, func(bound subscription) bool { return bound.table == id })
	if at >= 0 {
		op.Methods = s.subscriptions[at].methods
	}
	return op
}
