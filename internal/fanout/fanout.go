// Package fanout turns the module's orders into what each joined proxy is to be told. It keeps the tables that the module
// lays, who follows which, and what is withdrawn; it decides nothing and knows no protocol. Both fronts stand on it.
package fanout

import (
	"cmp"
	"iter"
	"slices"

	"gingerfork/choice"
)

// Kind tells what an Op does.
type OpKind uint8

const (
	OpSetEntry  OpKind = iota // set one line of a table; weight 0 removes it
	OpClear                   // remove all lines and levels of a table
	OpBind                    // a whole table, as it is at this moment
	OpAdmission               // what a table lets in of some methods, and its tries
	OpExclude                 // shut servers out
	OpRestore                 // let them in again
)

type (
	// Entry is a line of a table.
	TableEntry struct {
		Backend  choice.BackendID
		Weight   float64
		Excluded bool // its server is withdrawn
	}
	// Gate is a level.
	Admission struct {
		Methods uint64 // bits; 0: all
		Level   float64
		Retry   choice.RetryPolicy
	}
	// Op is one thing that a proxy is told. Methods are those that its table is bound for.
	TableOp struct {
		Kind       OpKind
		Table      choice.TableID
		Methods    uint64
		Entries    []TableEntry
		Admissions []Admission
		Backends   []choice.BackendID // withdrawn or let in again; with Bind: all that it is to hold as withdrawn
	}
	// Message is what one step of the module orders of one proxy.
	Message struct {
		To     *Subscriber
		Ops    []TableOp
		EntryCount  int  // without its head and mark
		Urgent bool // it takes a server out of use
	}
	// Follower is a joined proxy.
	Subscriber struct {
		Proxy         choice.ProxyID
		excluded      map[choice.BackendID]bool // what it was told is withdrawn
		subscriptions []subscription
		pending       *Message
	}
	// Turn tells that a server was withdrawn, or let in again, at so many proxies.
	ExclusionChange struct {
		Backend  choice.BackendID
		Excluded bool
		Proxies  int
	}
)

type subscription struct {
	table   choice.TableID
	methods uint64
}

// table is one of the module's tables, and who follows it.
type table struct {
	weight    map[choice.BackendID]float64
	levels    []Admission
	followers []*Subscriber
}

// Book is all tables of one instance of the module.
type Distributor struct {
	// Methods are the bits of all of them, for fronts where what a proxy brought along stays in force for a method that no table
	// of ours is bound for; 0: nothing stays beside our first table.
	AllMethods     uint64
	tables      map[choice.TableID]*table
	excluded    map[choice.BackendID]bool
	subscribers []*Subscriber // by number, nil where none is joined
	dirty       []*Subscriber
	uninformed  []*Subscriber // to be told in this step all that is withdrawn
	changes     []ExclusionChange
}

// New makes an empty book.
func New() *Distributor {
	return &Distributor{tables: map[choice.TableID]*table{}, excluded: map[choice.BackendID]bool{}}
}

// Join takes a proxy in; one of the same number that is joined must have left.
func (b *Distributor) Join(p choice.ProxyID) *Subscriber {
	for int(p) >= len(b.subscribers) {
		b.subscribers = append(b.subscribers, nil)
	}
	f := &Subscriber{Proxy: p, excluded: map[choice.BackendID]bool{}}
	b.subscribers[p] = f
	return f
}

// Leave forgets a proxy; it must not be in the middle of a step.
func (b *Distributor) Leave(f *Subscriber) {
	if b.subscribers[f.Proxy] != f {
		return
	}
	b.subscribers[f.Proxy] = nil
	for _, x := range f.subscriptions {
		if t := b.tables[x.table]; t != nil {
			t.followers = slices.DeleteFunc(t.followers, func(x *Subscriber) bool { return x == f })
		}
	}
}

// Joined goes through the proxies, by their numbers.
func (b *Distributor) Subscribers() iter.Seq[*Subscriber] {
	return func(yield func(*Subscriber) bool) {
		for _, f := range b.subscribers {
			if f != nil && !yield(f) {
				return
			}
		}
	}
}

// Touch sees to it that a proxy gets a message in this step, if only for its mark.
func (b *Distributor) MarkDirty(f *Subscriber) *Message {
	if f.pending == nil {
		f.pending = &Message{To: f}
		b.dirty = append(b.dirty, f)
	}
	return f.pending
}

func (b *Distributor) add(f *Subscriber, op TableOp, lines int) {
	m := b.MarkDirty(f)
	m.Ops, m.EntryCount = append(m.Ops, op), m.EntryCount+lines
	m.Urgent = m.Urgent || op.Kind == OpExclude
}

func (b *Distributor) table(t choice.TableID) *table {
	x := b.tables[t]
	if x == nil {
		x = &table{weight: map[choice.BackendID]float64{}}
		b.tables[t] = x
	}
	return x
}

func (f *Subscriber) methods(t choice.TableID) uint64 {
	for _, x := range f.subscriptions {
		if x.table == t {
			return x.methods
		}
	}
	return 0
}

// Carry does one order; it tells whether the order is one of tables at all.
func (b *Distributor) Apply(o choice.Command) bool {
	switch o := o.(type) {
	case choice.SetTableEntry:
		t := b.table(o.Table)
		if o.Weight > 0 {
			t.weight[o.Backend] = o.Weight
		} else {
			delete(t.weight, o.Backend)
		}
		for _, f := range t.followers {
			l := TableEntry{o.Backend, o.Weight, b.excluded[o.Backend]}
			if l.Excluded {
				f.excluded[o.Backend] = true
			}
			b.add(f, TableOp{Kind: OpSetEntry, Table: o.Table, Methods: f.methods(o.Table), Entries: []TableEntry{l}}, 1)
		}
	case choice.ClearTable:
		t := b.table(o.Table)
		clear(t.weight)
		t.levels = nil
		for _, f := range t.followers {
			b.add(f, TableOp{Kind: OpClear, Table: o.Table, Methods: f.methods(o.Table)}, 1)
		}
		if len(t.followers) == 0 {
			delete(b.tables, o.Table)
		}
	case choice.BindTable:
		b.bind(o)
	case choice.SetAdmission:
		t := b.table(o.Table)
		l := Admission{o.Methods, o.Level, o.Retry}
		if at := slices.IndexFunc(t.levels, func(x Admission) bool { return x.Methods == l.Methods }); at >= 0 {
			t.levels[at] = l
		} else {
			t.levels = append(t.levels, l)
		}
		for _, f := range t.followers {
			b.add(f, TableOp{Kind: OpAdmission, Table: o.Table, Methods: f.methods(o.Table), Admissions: []Admission{l}}, 1)
		}
	case choice.SetExclusion:
		b.withdraw(o)
	case choice.NotifyExclusions:
		if int(o.Proxy) < len(b.subscribers) && b.subscribers[o.Proxy] != nil {
			b.uninformed = append(b.uninformed, b.subscribers[o.Proxy])
		}
	default:
		return false
	}
	return true
}

// bind sends a whole table, as it is at this moment.
func (b *Distributor) bind(o choice.BindTable) {
	if int(o.Proxy) >= len(b.subscribers) || b.subscribers[o.Proxy] == nil {
		return // it left while the module decided on older news
	}
	f := b.subscribers[o.Proxy]
	t := b.table(o.Table)
	if at := slices.IndexFunc(f.subscriptions, func(x subscription) bool { return x.table == o.Table }); at >= 0 {
		f.subscriptions[at].methods = o.Methods
	} else {
		t.followers = append(t.followers, f)
		f.subscriptions = append(f.subscriptions, subscription{o.Table, o.Methods})
	}
	op := b.whole(subscription{o.Table, o.Methods})
	for _, l := range op.Entries {
		if l.Excluded {
			f.excluded[l.Backend] = true
		}
	}
	for ep := range f.excluded {
		op.Backends = append(op.Backends, ep)
	}
	slices.Sort(op.Backends)
	// What this message orders to be withdrawn before the table, the table says itself.
	m := b.MarkDirty(f)
	before := len(m.Ops)
	m.Ops = slices.DeleteFunc(m.Ops, func(o TableOp) bool { return o.Kind == OpExclude })
	m.EntryCount -= before - len(m.Ops)
	b.add(f, op, 1+len(op.Entries)+len(op.Admissions))
}

// partial tells whether a proxy may still go by a table that it brought along.
func (b *Distributor) partial(f *Subscriber) bool {
	bound := uint64(0)
	for _, x := range f.subscriptions {
		if x.methods == 0 {
			return false
		}
		bound |= x.methods
	}
	return bound&b.AllMethods != b.AllMethods || len(f.subscriptions) == 0
}

// whole is a table as it is at this moment.
func (b *Distributor) whole(x subscription) TableOp {
	t := b.table(x.table)
	op := TableOp{Kind: OpBind, Table: x.table, Methods: x.methods, Admissions: slices.Clone(t.levels)}
	for ep, w := range t.weight {
		op.Entries = append(op.Entries, TableEntry{ep, w, b.excluded[ep]})
	}
	slices.SortFunc(op.Entries, func(a, b TableEntry) int { return cmp.Compare(a.Backend, b.Backend) })
	return op
}

// Holds gives the tables that a proxy follows, whole: what it holds once all that it was told has reached it.
func (b *Distributor) BoundTables(f *Subscriber) (all []TableOp) {
	for _, x := range f.subscriptions {
		all = append(all, b.whole(x))
	}
	return all
}

// Withdrawn is how many servers are.
func (b *Distributor) ExcludedCount() int { return len(b.excluded) }

// Tables is how many tables there are.
func (b *Distributor) TableCount() int { return len(b.tables) }

// withdraw shuts a server out, at every proxy that holds a line of it or may hold one of an earlier stream; or lets it
// in again, at those that hold one. Others need no word: a line says itself whether its server is withdrawn.
func (b *Distributor) withdraw(o choice.SetExclusion) {
	if o.Excluded {
		b.excluded[o.Backend] = true
	} else {
		delete(b.excluded, o.Backend)
	}
	turn := ExclusionChange{Backend: o.Backend, Excluded: o.Excluded}
	for f := range b.Subscribers() {
		holds := slices.ContainsFunc(f.subscriptions, func(x subscription) bool { return b.tables[x.table].weight[o.Backend] > 0 })
		switch {
		case o.Excluded && (holds || b.partial(f)):
			f.excluded[o.Backend] = true
			b.add(f, TableOp{Kind: OpExclude, Backends: []choice.BackendID{o.Backend}}, 1)
			turn.Proxies++
		case !o.Excluded && f.excluded[o.Backend]:
			delete(f.excluded, o.Backend)
			if holds {
				b.add(f, TableOp{Kind: OpRestore, Backends: []choice.BackendID{o.Backend}}, 1)
				turn.Proxies++
			}
		}
	}
	b.changes = append(b.changes, turn)
}

// Close ends a step: it gives the step's messages, by when each proxy was first touched, and what was withdrawn or let in.
//
// Proxies that the module says so of, and that have no table of ours, or none for some methods, are told what is withdrawn:
// as what they hold of an earlier stream stays in force, they would go on sending there. A table carries its own. Beside
// what the module withdrew, earlier says what else was taken out of use before this instance began; it is asked only
// if anybody needs it.
func (b *Distributor) Flush(earlier func() []choice.BackendID) ([]*Message, []ExclusionChange) {
	var all []choice.BackendID
	gathered := false // once for all, and only if any has no table
	for _, f := range b.uninformed {
		if b.subscribers[f.Proxy] != f || !b.partial(f) {
			continue
		}
		if !gathered {
			gathered = true
			if earlier != nil {
				all = earlier()
			}
			for ep := range b.excluded {
				all = append(all, ep)
			}
			slices.Sort(all)
			all = slices.Compact(all)
		}
		for _, ep := range all {
			if !f.excluded[ep] {
				f.excluded[ep] = true
				b.add(f, TableOp{Kind: OpExclude, Backends: []choice.BackendID{ep}}, 1)
			}
		}
	}
	b.uninformed = b.uninformed[:0]
	messages := make([]*Message, 0, len(b.dirty))
	for _, f := range b.dirty {
		messages = append(messages, f.pending)
		f.pending = nil
	}
	clear(b.dirty)
	turns := b.changes
	b.dirty, b.changes = b.dirty[:0], nil
	return messages, turns
}
