package choice

// Ids, events, orders and plain state types: the interface of the module. No decision is taken here.

type (
	EP      uint32 // a backend
	Proxy   int    // a proxy
	Table   int    // a table of lines
	Method  int    // a method, by its place in the bootstrap values
	Slice   int    // a range of keys
	Peer    int    // another coordinator
	Mark    int    // what a proxy answers to
	Token   int64  // what an alarm brings back
	Zone    string // a data centre
	Seconds = float64
)

// MarkSpan is the size of the space of marks; marks wrap round in it.
const MarkSpan = 65536

// Bootstrap is what an instance reads once, at its start.
type Bootstrap struct {
	Seed   uint64
	Now    Seconds
	Values map[string]any // flat: names to numbers (seconds), flags and words
}

// Num reads a number, or def where there is none.
func (b Bootstrap) Num(name string, def float64) float64 {
	if v, ok := b.Values[name].(float64); ok {
		return v
	}
	return def
}

// Word reads a word, or "" where there is none.
func (b Bootstrap) Word(name string) string {
	v, _ := b.Values[name].(string)
	return v
}

// Flag reads a flag, false where there is none.
func (b Bootstrap) Flag(name string) bool {
	v, _ := b.Values[name].(bool)
	return v
}

// State is what the list says of a backend.
type State int

const (
	Gone State = iota
	Open
	Draining
)

// ListKind tells what sort of news a list is.
type ListKind int

const (
	ListDelta ListKind = iota
	ListFull
	ListKept // as last held before the start
	ListFailed
)

// Tries tells when a proxy tries again, and how often.
type Tries int

const (
	TryOnce       Tries = iota // never again
	TryProven                  // once more, after proof that the first never ran
	TryAgain                   // once more, after any failure
	TryAgainTwice              // twice more, after any failure
)

// Entry is a backend as listed.
type Entry struct {
	EP     EP
	Kind   string
	State  State
	Start  Seconds // 0: long ago
	Zone   Zone
	Weight float64
	Cell   int
}

// Event is one of the types below.
type Event any

type (
	// Listed is news of the list of backends.
	Listed struct {
		Kind    ListKind
		Version int64
		Entries []Entry
	}
	// Joined: a stream to a proxy stands.
	Joined struct {
		Proxy Proxy
		Zone  Zone
		Rate  float64 // RPCs a second that it usually gets
		Fresh bool    // it holds only its standing tables
	}
	// Left: the stream to a proxy broke.
	Left struct{ Proxy Proxy }
	// Answered: a proxy applied the push with this mark and all before it.
	Answered struct {
		Proxy Proxy
		Mark  Mark
		Delay Seconds
	}
	// TrySum is what the proxies of a zone met at a backend.
	TrySum struct {
		EP          EP
		Zone        Zone
		Tries, Bad  int
		Delay, Over Seconds
		Load        []float64
	}
	// UsageSum is what came to a proxy of one method.
	UsageSum struct {
		Proxy     Proxy
		Method    Method
		RPCs, Bad int
		Over      Seconds
	}
	// SliceSum is what came for a slice of one method.
	SliceSum struct {
		Slice     Slice
		Method    Method
		RPCs, Bad int
		Over      Seconds
	}
	// Charged: a slice comes into, or goes out of, this instance's charge.
	Charged struct {
		Slice Slice
		Mine  bool
	}
	// Held is a line of a slice's table in the store.
	Held struct {
		Slice  Slice
		EP     EP
		Weight float64
	}
	// Due: an alarm rang.
	Due struct{ Token Token }
	// Probed is the result of a probe.
	Probed struct {
		EP    EP
		OK    bool
		Busy  bool // it answered that it has no room for probes
		Delay Seconds
		Load  []float64
	}
	// PeerNote is a message of another instance.
	PeerNote struct {
		From Peer
		Data []byte
	}
)

// Order is one of the types below.
type Order any

type (
	// SetLine sets a line of a table; weight 0 removes it.
	SetLine struct {
		Table  Table
		EP     EP
		Weight float64
	}
	// ClearTable removes all lines and levels of a table.
	ClearTable struct{ Table Table }
	// BindTable sends a whole table to a proxy for some methods (bits; 0: all).
	BindTable struct {
		Proxy   Proxy
		Table   Table
		Methods uint64
	}
	// Withdraw shuts a backend out of all tables, or lets it in again.
	Withdraw struct {
		EP EP
		On bool
	}
	// NotifyExclusions tells a proxy all that is withdrawn: it may go by a table of an earlier stream.
	NotifyExclusions struct{ Proxy Proxy }
	// SetLevel sets what a table lets in of some methods, and its tries.
	SetLevel struct {
		Table   Table
		Methods uint64
		Level   float64
		Tries   Tries
	}
	// SetMark marks this step's messages; All also reaches proxies with none.
	SetMark struct {
		Mark Mark
		All  bool
	}
	// Watch asks for changes of the list.
	Watch struct{ On bool }
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Probe checks a backend.
	Probe struct{ EP EP }
	// Alarm asks for a Due.
	Alarm struct {
		Token Token
		At    Seconds
	}
	// Tell sends a message to a peer, or to all (-1).
	Tell struct {
		To   Peer
		Data []byte
	}
	// Say adds a line to the log.
	Say struct{ Text string }
)

// note is what parts put into each other's inboxes; box is such an inbox; part is whoever owns one.
type (
	note any
	box  struct{ notes []note }
	part interface {
		inbox() *box
		take(n note)
	}
)

func (b *box) inbox() *box { return b }

// The notes that the parts send each other, beside the events themselves.
type (
	redo   struct{}           // deal the arcs anew
	moved  struct{ p *proxy } // it joined or left
	clock  struct{}           // time has passed
	levels struct {           // what tables should let in, by method
		share []float64
		tries []Tries
	}
	flush struct{} // send what waits, if the clock allows
	heard struct {
		mark  Mark
		delay Seconds
	}
)

// line is one line of a table: a backend, by its dense index, a weight, and the ease that is in it.
type line struct {
	ep   int
	w    float64
	ease float64
}

// sheet is a table of one proxy for some methods: what it should hold, and what was sent.
type sheet struct {
	table      Table
	methods    uint64
	near       bool // for methods that must stay in the proxy's zone
	want, told []line
	level      []float64 // as sent, by method
	tries      []Tries
}

// load is a step's messages that no answer has yet shown to have left the channel.
type load struct {
	mark  Mark
	at    Seconds
	lines int
}

// figures of the backends, as parallel arrays under a dense index; those by pair have a place for each
// zone.
type figures struct {
	id                []EP
	zone              []int
	weight            []float64
	state             []State
	start             []Seconds // of its process
	hash              []uint32
	ease              []float64 // share of its full weight
	carry             []float64 // usage that the arcs dealt so far bring it
	brought           []float64 // usage that the arcs bring it, or would if it were let in
	part              []float64 // weight, as far as the server is warm and trusted
	good, back, dealt []Seconds // last good answer; return from deafness; when it was first listed
	deaf              []int     // probes in a row without an answer
	trust             []float64 // of its part of the usage, what arcs may bring it
	leant             []Seconds // when that was last looked at
	cover             []int     // arcs over it
	shut              []bool    // withdrawn by our order
	owed              []Seconds // since when a withdrawal is owed; 0: none is
	tries, bad        [][]float64
	delay             [][]float64 // mean time of good answers
	last              [][]Seconds // of the sums
	bench             [][]Seconds // kept out of that zone's arcs until then
	fouls             [][]int     // times in a row that it was benched
	probe             []Seconds   // next probe
}
