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
type Kind uint8

const (
	Line     Kind = iota // set one line of a table; weight 0 removes it
	Clear                // remove all lines and levels of a table
	Bind                 // a whole table, as it is at this moment
	Level                // what a table lets in of some methods, and its tries
	Withdraw             // shut servers out
	Readmit              // let them in again
)

type (
	// Entry is a line of a table.
	Entry struct {
		EP     choice.EP
		Weight float64
		Shut   bool // its server is withdrawn
	}
	// Gate is a level.
	Gate struct {
		Methods uint64 // bits; 0: all
		Level   float64
		Tries   choice.Tries
	}
	// Op is one thing that a proxy is told. Methods are those that its table is bound for.
	Op struct {
		Kind    Kind
		Table   choice.Table
		Methods uint64
		Lines   []Entry
		Levels  []Gate
		EPs     []choice.EP // withdrawn or let in again; with Bind: all that it is to hold as withdrawn
	}
	// Message is what one step of the module orders of one proxy.
	Message struct {
		To     *Follower
		Ops    []Op
		Lines  int  // without its head and mark
		Urgent bool // it takes a server out of use
	}
	// Follower is a joined proxy.
	Follower struct {
		Proxy choice.Proxy
		shut  map[choice.EP]bool // what it was told is withdrawn
		binds []bound
		now   *Message
	}
	// Turn tells that a server was withdrawn, or let in again, at so many proxies.
	Turn struct {
		EP      choice.EP
		Out     bool
		Proxies int
	}
)

type bound struct {
	table   choice.Table
	methods uint64
}

// table is one of the module's tables, and who follows it.
type table struct {
	weight    map[choice.EP]float64
	levels    []Gate
	followers []*Follower
}

// Book is all tables of one instance of the module.
type Book struct {
	// Methods are the bits of all of them, for fronts where what a proxy brought along stays in force for a method that no table
	// of ours is bound for; 0: nothing stays beside our first table.
	Methods uint64
	tables  map[choice.Table]*table
	shut    map[choice.EP]bool
	joined  []*Follower // by number, nil where none is joined
	touched []*Follower
	behind  []*Follower // to be told in this step all that is withdrawn
	turns   []Turn
}

// New makes an empty book.
func New() *Book {
	return &Book{tables: map[choice.Table]*table{}, shut: map[choice.EP]bool{}}
}

// Join takes a proxy in; one of the same number that is joined must have left.
func (b *Book) Join(p choice.Proxy) *Follower {
	for int(p) >= len(b.joined) {
		b.joined = append(b.joined, nil)
	}
	f := &Follower{Proxy: p, shut: map[choice.EP]bool{}}
	b.joined[p] = f
	return f
}

// Leave forgets a proxy; it must not be in the middle of a step.
func (b *Book) Leave(f *Follower) {
	if b.joined[f.Proxy] != f {
		return
	}
	b.joined[f.Proxy] = nil
	for _, x := range f.binds {
		if t := b.tables[x.table]; t != nil {
			t.followers = slices.DeleteFunc(t.followers, func(x *Follower) bool { return x == f })
		}
	}
}

// Joined goes through the proxies, by their numbers.
func (b *Book) Joined() iter.Seq[*Follower] {
	return func(yield func(*Follower) bool) {
		for _, f := range b.joined {
			if f != nil && !yield(f) {
				return
			}
		}
	}
}

// Touch sees to it that a proxy gets a message in this step, if only for its mark.
func (b *Book) Touch(f *Follower) *Message {
	if f.now == nil {
		f.now = &Message{To: f}
		b.touched = append(b.touched, f)
	}
	return f.now
}

func (b *Book) add(f *Follower, op Op, lines int) {
	m := b.Touch(f)
	m.Ops, m.Lines = append(m.Ops, op), m.Lines+lines
	m.Urgent = m.Urgent || op.Kind == Withdraw
}

func (b *Book) table(t choice.Table) *table {
	x := b.tables[t]
	if x == nil {
		x = &table{weight: map[choice.EP]float64{}}
		b.tables[t] = x
	}
	return x
}

func (f *Follower) methods(t choice.Table) uint64 {
	for _, x := range f.binds {
		if x.table == t {
			return x.methods
		}
	}
	return 0
}

// Carry does one order; it tells whether the order is one of tables at all.
func (b *Book) Carry(o choice.Order) bool {
	switch o := o.(type) {
	case choice.SetLine:
		t := b.table(o.Table)
		if o.Weight > 0 {
			t.weight[o.EP] = o.Weight
		} else {
			delete(t.weight, o.EP)
		}
		for _, f := range t.followers {
			l := Entry{o.EP, o.Weight, b.shut[o.EP]}
			if l.Shut {
				f.shut[o.EP] = true
			}
			b.add(f, Op{Kind: Line, Table: o.Table, Methods: f.methods(o.Table), Lines: []Entry{l}}, 1)
		}
	case choice.ClearTable:
		t := b.table(o.Table)
		clear(t.weight)
		t.levels = nil
		for _, f := range t.followers {
			b.add(f, Op{Kind: Clear, Table: o.Table, Methods: f.methods(o.Table)}, 1)
		}
		if len(t.followers) == 0 {
			delete(b.tables, o.Table)
		}
	case choice.BindTable:
		b.bind(o)
	case choice.SetLevel:
		t := b.table(o.Table)
		l := Gate{o.Methods, o.Level, o.Tries}
		if at := slices.IndexFunc(t.levels, func(x Gate) bool { return x.Methods == l.Methods }); at >= 0 {
			t.levels[at] = l
		} else {
			t.levels = append(t.levels, l)
		}
		for _, f := range t.followers {
			b.add(f, Op{Kind: Level, Table: o.Table, Methods: f.methods(o.Table), Levels: []Gate{l}}, 1)
		}
	case choice.Withdraw:
		b.withdraw(o)
	case choice.NotifyExclusions:
		if int(o.Proxy) < len(b.joined) && b.joined[o.Proxy] != nil {
			b.behind = append(b.behind, b.joined[o.Proxy])
		}
	default:
		return false
	}
	return true
}

// bind sends a whole table, as it is at this moment.
func (b *Book) bind(o choice.BindTable) {
	if int(o.Proxy) >= len(b.joined) || b.joined[o.Proxy] == nil {
		return // it left while the module decided on older news
	}
	f := b.joined[o.Proxy]
	t := b.table(o.Table)
	if at := slices.IndexFunc(f.binds, func(x bound) bool { return x.table == o.Table }); at >= 0 {
		f.binds[at].methods = o.Methods
	} else {
		t.followers = append(t.followers, f)
		f.binds = append(f.binds, bound{o.Table, o.Methods})
	}
	op := b.whole(bound{o.Table, o.Methods})
	for _, l := range op.Lines {
		if l.Shut {
			f.shut[l.EP] = true
		}
	}
	for ep := range f.shut {
		op.EPs = append(op.EPs, ep)
	}
	slices.Sort(op.EPs)
	// What this message orders to be withdrawn before the table, the table says itself.
	m := b.Touch(f)
	before := len(m.Ops)
	m.Ops = slices.DeleteFunc(m.Ops, func(o Op) bool { return o.Kind == Withdraw })
	m.Lines -= before - len(m.Ops)
	b.add(f, op, 1+len(op.Lines)+len(op.Levels))
}

// partial tells whether a proxy may still go by a table that it brought along.
func (b *Book) partial(f *Follower) bool {
	bound := uint64(0)
	for _, x := range f.binds {
		if x.methods == 0 {
			return false
		}
		bound |= x.methods
	}
	return bound&b.Methods != b.Methods || len(f.binds) == 0
}

// whole is a table as it is at this moment.
func (b *Book) whole(x bound) Op {
	t := b.table(x.table)
	op := Op{Kind: Bind, Table: x.table, Methods: x.methods, Levels: slices.Clone(t.levels)}
	for ep, w := range t.weight {
		op.Lines = append(op.Lines, Entry{ep, w, b.shut[ep]})
	}
	slices.SortFunc(op.Lines, func(a, b Entry) int { return cmp.Compare(a.EP, b.EP) })
	return op
}

// Holds gives the tables that a proxy follows, whole: what it holds once all that it was told has reached it.
func (b *Book) Holds(f *Follower) (all []Op) {
	for _, x := range f.binds {
		all = append(all, b.whole(x))
	}
	return all
}

// Withdrawn is how many servers are.
func (b *Book) Withdrawn() int { return len(b.shut) }

// Tables is how many tables there are.
func (b *Book) Tables() int { return len(b.tables) }

// withdraw shuts a server out, at every proxy that holds a line of it or may hold one of an earlier stream; or lets it
// in again, at those that hold one. Others need no word: a line says itself whether its server is withdrawn.
func (b *Book) withdraw(o choice.Withdraw) {
	if o.On {
		b.shut[o.EP] = true
	} else {
		delete(b.shut, o.EP)
	}
	turn := Turn{EP: o.EP, Out: o.On}
	for f := range b.Joined() {
		holds := slices.ContainsFunc(f.binds, func(x bound) bool { return b.tables[x.table].weight[o.EP] > 0 })
		switch {
		case o.On && (holds || b.partial(f)):
			f.shut[o.EP] = true
			b.add(f, Op{Kind: Withdraw, EPs: []choice.EP{o.EP}}, 1)
			turn.Proxies++
		case !o.On && f.shut[o.EP]:
			delete(f.shut, o.EP)
			if holds {
				b.add(f, Op{Kind: Readmit, EPs: []choice.EP{o.EP}}, 1)
				turn.Proxies++
			}
		}
	}
	b.turns = append(b.turns, turn)
}

// Close ends a step: it gives the step's messages, by when each proxy was first touched, and what was withdrawn or let in.
//
// Proxies that the module says so of, and that have no table of ours, or none for some methods, are told what is withdrawn:
// as what they hold of an earlier stream stays in force, they would go on sending there. A table carries its own. Beside
// what the module withdrew, earlier says what else was taken out of use before this instance began; it is asked only
// if anybody needs it.
func (b *Book) Close(earlier func() []choice.EP) ([]*Message, []Turn) {
	var all []choice.EP
	gathered := false // once for all, and only if any has no table
	for _, f := range b.behind {
		if b.joined[f.Proxy] != f || !b.partial(f) {
			continue
		}
		if !gathered {
			gathered = true
			if earlier != nil {
				all = earlier()
			}
			for ep := range b.shut {
				all = append(all, ep)
			}
			slices.Sort(all)
			all = slices.Compact(all)
		}
		for _, ep := range all {
			if !f.shut[ep] {
				f.shut[ep] = true
				b.add(f, Op{Kind: Withdraw, EPs: []choice.EP{ep}}, 1)
			}
		}
	}
	b.behind = b.behind[:0]
	messages := make([]*Message, 0, len(b.touched))
	for _, f := range b.touched {
		messages = append(messages, f.now)
		f.now = nil
	}
	clear(b.touched)
	turns := b.turns
	b.touched, b.turns = b.touched[:0], nil
	return messages, turns
}
