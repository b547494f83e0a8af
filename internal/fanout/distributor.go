// Package fanout turns the commands of the decision module into at most one message per proxy and step. It holds the
// tables, the subscriptions of each proxy and the excluded backends. It makes no decisions and knows no wire protocol;
// the coordinator and the platform front end encode its messages.
package fanout

import (
	"iter"
	"slices"

	"gingerfork/choice"
)

// OpKind is the kind of a TableOp.
type OpKind uint8

// The kinds of operations that a proxy can be sent.
const (
	OpSetEntry  OpKind = iota // set one entry of a table; weight 0 removes it
	OpClear                   // remove all entries and admission levels of a table
	OpBind                    // replace a table with the complete one in the operation
	OpAdmission               // set admission level and retry policy of some methods
	OpExclude                 // exclude backends
	OpRestore                 // restore excluded backends
)

// TableEntry is the weight of one backend in a table.
type TableEntry struct {
	Backend  choice.BackendID
	Weight   float64
	Excluded bool // the backend is currently excluded
}

// Admission is the admission level and the retry policy of a set of methods.
type Admission struct {
	Methods uint64  // bit set of method numbers; 0 means all methods
	Level   float64 // as in choice.SetAdmission
	Retry   choice.RetryPolicy
}

// TableOp is one operation of a message.
type TableOp struct {
	Kind       OpKind
	Table      choice.TableID
	Methods    uint64 // bit set of the methods that the table is bound for at the proxy; 0 means all methods
	Entries    []TableEntry
	Admissions []Admission
	Backends   []choice.BackendID // excluded or restored; with OpBind all backends that are excluded at the proxy
}

// Message is everything that one step of the decision module sends to one proxy.
type Message struct {
	To         *Subscriber
	Ops        []TableOp
	EntryCount int  // size in table entries, without the message's header and nonce
	Urgent     bool // the step excludes a backend at the proxy
}

// Subscriber is a joined proxy.
type Subscriber struct {
	Proxy              choice.ProxyID
	exclusionsNotified bool                      // the module sent NotifyExclusions for the proxy
	sentExclusions     map[choice.BackendID]bool // the backends that the proxy was told are excluded
	subscriptions      []subscription            // the tables that are bound for the proxy
	pending            *Message                  // the message of the current step; nil if there is none yet
}

// subscription binds a proxy to a table for a set of methods.
type subscription struct {
	table   choice.TableID
	methods uint64 // bit set; 0 means all methods
}

// ExclusionChange reports that a backend was excluded or restored.
type ExclusionChange struct {
	Backend  choice.BackendID
	Excluded bool // false if the backend was restored
	Proxies  int  // the number of proxies that are sent the change
}

// table is one table of the decision module with its subscribers.
type table struct {
	weights     map[choice.BackendID]float64
	admissions  []Admission
	subscribers []*Subscriber
}

// Distributor holds the tables and subscribers of one instance of the decision module.
type Distributor struct {
	// AllMethods is the bit set of all methods. It is set by front ends whose proxies keep using a table of an earlier stream
	// for methods that no table is bound for. If it is 0, the first bound table replaces whatever the proxy held before.
	AllMethods uint64

	tables               map[choice.TableID]*table
	excluded             map[choice.BackendID]bool // backends that are excluded now
	subscribers          []*Subscriber             // indexed by proxy number; nil where no proxy is joined
	dirty                []*Subscriber             // subscribers with a pending message, by the creation of that message
	pendingNotifications []*Subscriber             // proxies of this step's NotifyExclusions commands
	changes              []ExclusionChange         // exclusions and restorations of this step
	undelivered          map[choice.TableID]bool   // tables that changed although no proxy is subscribed to them, see TakeUndelivered
}

// New returns a Distributor without tables or subscribers.
func New() *Distributor {
	return &Distributor{
		tables: map[choice.TableID]*table{}, excluded: map[choice.BackendID]bool{}, undelivered: map[choice.TableID]bool{},
	}
}

// Join adds a proxy. An earlier subscriber with the same number must have left.
func (d *Distributor) Join(proxy choice.ProxyID) *Subscriber {
	for int(proxy) >= len(d.subscribers) {
		d.subscribers = append(d.subscribers, nil)
	}
	subscriber := &Subscriber{Proxy: proxy, sentExclusions: map[choice.BackendID]bool{}}
	d.subscribers[proxy] = subscriber
	return subscriber
}

// Leave removes a proxy; if it has left already, nothing happens. It must not be called between Apply and Flush of one step.
func (d *Distributor) Leave(subscriber *Subscriber) {
	if d.subscribers[subscriber.Proxy] != subscriber {
		return
	}
	d.subscribers[subscriber.Proxy] = nil
	for _, bound := range subscriber.subscriptions {
		if t := d.tables[bound.table]; t != nil {
			t.subscribers = slices.DeleteFunc(t.subscribers, func(s *Subscriber) bool { return s == subscriber })
		}
	}
}

// Subscribers iterates over the joined proxies in the order of their numbers.
func (d *Distributor) Subscribers() iter.Seq[*Subscriber] {
	return func(yield func(*Subscriber) bool) {
		for _, subscriber := range d.subscribers {
			if subscriber != nil && !yield(subscriber) {
				return
			}
		}
	}
}

// subscriber returns the joined proxy with the given number, or nil if there is none.
func (d *Distributor) subscriber(proxy choice.ProxyID) *Subscriber {
	if int(proxy) >= len(d.subscribers) {
		return nil
	}
	return d.subscribers[proxy]
}

// MarkDirty makes Flush return a message for the proxy, possibly without operations, and returns that message.
func (d *Distributor) MarkDirty(subscriber *Subscriber) *Message {
	if subscriber.pending == nil {
		subscriber.pending = &Message{To: subscriber}
		d.dirty = append(d.dirty, subscriber)
	}
	return subscriber.pending
}

// BoundTables returns the complete tables that are bound for a proxy: what the proxy holds once it has received all
// messages so far.
func (d *Distributor) BoundTables(subscriber *Subscriber) []TableOp {
	ops := make([]TableOp, 0, len(subscriber.subscriptions))
	for _, bound := range subscriber.subscriptions {
		ops = append(ops, d.completeTable(bound))
	}
	return ops
}

// ExcludedCount returns the number of excluded backends.
func (d *Distributor) ExcludedCount() int { return len(d.excluded) }

// TableCount returns the number of tables.
func (d *Distributor) TableCount() int { return len(d.tables) }

// TakeUndelivered returns the number of tables that commands changed since its last call without a subscriber or a later
// binding, so that the changes reached no proxy. The module changes only tables that it binds in the same step or has bound.
func (d *Distributor) TakeUndelivered() int {
	count := len(d.undelivered)
	clear(d.undelivered)
	return count
}

// Flush ends a step. It returns the step's messages, in the order in which they were created, and the exclusion changes.
//
// A proxy that NotifyExclusions names and that has no bound table for some methods is sent all excluded backends, since it
// keeps using whatever it held before for those methods. A proxy with tables for all methods needs nothing, since a bound
// table contains its exclusions. previouslyExcluded returns the backends that were excluded before this instance was
// created. It may be nil and is called only if a proxy needs them.
func (d *Distributor) Flush(previouslyExcluded func() []choice.BackendID) ([]*Message, []ExclusionChange) {
	d.notifyExclusions(previouslyExcluded)
	messages := make([]*Message, 0, len(d.dirty))
	for _, subscriber := range d.dirty {
		messages = append(messages, subscriber.pending)
		subscriber.pending = nil
	}
	clear(d.dirty)
	changes := d.changes
	d.dirty, d.changes = d.dirty[:0], nil
	return messages, changes
}
