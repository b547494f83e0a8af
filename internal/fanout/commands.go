package fanout

import (
	"cmp"
	"slices"

	"gingerfork/choice"
)

// Apply executes a command of the decision module that concerns tables or exclusions. It returns false for all others.
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
			subscriber.exclusionsNotified = true
			d.pendingNotifications = append(d.pendingNotifications, subscriber)
		}
	default:
		return false
	}
	return true
}

// setEntry sets or removes one entry of a table and sends the change to the table's subscribers.
func (d *Distributor) setEntry(command choice.SetTableEntry) {
	t := d.getOrCreateTable(command.Table)
	if command.Weight > 0 {
		t.weights[command.Backend] = command.Weight
	} else {
		delete(t.weights, command.Backend)
	}
	d.noteChange(command.Table, t)
	entry := TableEntry{Backend: command.Backend, Weight: command.Weight, Excluded: d.excluded[command.Backend]}
	for _, subscriber := range t.subscribers {
		subscriber.noteExclusion(entry)
		op := subscriber.newOp(OpSetEntry, command.Table)
		op.Entries = []TableEntry{entry}
		d.enqueue(subscriber, op, 1)
	}
}

// noteChange records that a table changed if no proxy is subscribed to it.
func (d *Distributor) noteChange(id choice.TableID, changed *table) {
	if len(changed.subscribers) == 0 {
		d.undelivered[id] = true
	}
}

// clearTable empties a table, also at its subscribers, and deletes the table if it has no subscribers.
func (d *Distributor) clearTable(command choice.ClearTable) {
	t := d.getOrCreateTable(command.Table)
	clear(t.weights)
	t.admissions = nil
	delete(d.undelivered, command.Table)
	for _, subscriber := range t.subscribers {
		d.enqueue(subscriber, subscriber.newOp(OpClear, command.Table), 1)
	}
	if len(t.subscribers) == 0 {
		delete(d.tables, command.Table)
	}
}

// setAdmission sets the admission of some methods in a table and sends it to the table's subscribers.
func (d *Distributor) setAdmission(command choice.SetAdmission) {
	t := d.getOrCreateTable(command.Table)
	d.noteChange(command.Table, t)
	admission := Admission{Methods: command.Methods, Level: command.Level, Retry: command.Retry}
	index := slices.IndexFunc(t.admissions, func(a Admission) bool { return a.Methods == admission.Methods })
	if index >= 0 {
		t.admissions[index] = admission
	} else {
		t.admissions = append(t.admissions, admission)
	}
	for _, subscriber := range t.subscribers {
		op := subscriber.newOp(OpAdmission, command.Table)
		op.Admissions = []Admission{admission}
		d.enqueue(subscriber, op, 1)
	}
}

// bind subscribes a proxy to a table and sends the complete table.
func (d *Distributor) bind(command choice.BindTable) {
	delete(d.undelivered, command.Table)
	subscriber := d.subscriber(command.Proxy)
	if subscriber == nil {
		return // the proxy left after the events that led to this command
	}
	bound := subscription{table: command.Table, methods: command.Methods}
	d.subscribe(subscriber, bound)
	bindOp := d.completeTable(bound)
	for _, entry := range bindOp.Entries {
		subscriber.noteExclusion(entry)
	}
	for backend := range subscriber.sentExclusions {
		bindOp.Backends = append(bindOp.Backends, backend)
	}
	slices.Sort(bindOp.Backends)
	// The operation contains all exclusions, so separate ones earlier in the same message are redundant.
	message := d.MarkDirty(subscriber)
	before := len(message.Ops)
	message.Ops = slices.DeleteFunc(message.Ops, func(op TableOp) bool { return op.Kind == OpExclude })
	message.EntryCount -= before - len(message.Ops)
	d.enqueue(subscriber, bindOp, 1+len(bindOp.Entries)+len(bindOp.Admissions))
}

// subscribe adds a subscription, or replaces the proxy's subscription to the same table.
func (d *Distributor) subscribe(subscriber *Subscriber, bound subscription) {
	index := slices.IndexFunc(subscriber.subscriptions, func(s subscription) bool { return s.table == bound.table })
	if index >= 0 {
		subscriber.subscriptions[index].methods = bound.methods
		return
	}
	t := d.getOrCreateTable(bound.table)
	t.subscribers = append(t.subscribers, subscriber)
	subscriber.subscriptions = append(subscriber.subscriptions, bound)
}

// completeTable returns the current content of a table as an OpBind operation.
func (d *Distributor) completeTable(bound subscription) TableOp {
	t := d.getOrCreateTable(bound.table)
	op := TableOp{Kind: OpBind, Table: bound.table, Methods: bound.methods, Admissions: slices.Clone(t.admissions)}
	for backend, weight := range t.weights {
		op.Entries = append(op.Entries, TableEntry{Backend: backend, Weight: weight, Excluded: d.excluded[backend]})
	}
	slices.SortFunc(op.Entries, func(a, b TableEntry) int { return cmp.Compare(a.Backend, b.Backend) })
	return op
}

// getOrCreateTable returns the table with the given number, and creates it if necessary.
func (d *Distributor) getOrCreateTable(id choice.TableID) *table {
	t := d.tables[id]
	if t == nil {
		t = &table{weights: map[choice.BackendID]float64{}}
		d.tables[id] = t
	}
	return t
}

// enqueue appends an operation to the proxy's message of this step. The operation's size is entryCount table entries.
func (d *Distributor) enqueue(subscriber *Subscriber, op TableOp, entryCount int) {
	message := d.MarkDirty(subscriber)
	message.Ops = append(message.Ops, op)
	message.EntryCount += entryCount
	message.Urgent = message.Urgent || op.Kind == OpExclude
}

// noteExclusion records what a table entry that is sent tells the proxy about the exclusion of its backend. A usable entry ends also
// an exclusion from before this instance of the module, which the module does not restore.
func (s *Subscriber) noteExclusion(entry TableEntry) {
	switch {
	case entry.Excluded:
		s.sentExclusions[entry.Backend] = true
	case entry.Weight > 0:
		delete(s.sentExclusions, entry.Backend)
	}
}

// newOp returns an operation on a table, for the methods that the table is bound for at this proxy.
func (s *Subscriber) newOp(kind OpKind, id choice.TableID) TableOp {
	op := TableOp{Kind: kind, Table: id}
	index := slices.IndexFunc(s.subscriptions, func(bound subscription) bool { return bound.table == id })
	if index >= 0 {
		op.Methods = s.subscriptions[index].methods
	}
	return op
}
