package choice

// Ids, events, orders and plain state types: the interface of the module. No decision is taken here.

type (
	BackendID uint32 // a backend
	ProxyID   int    // a proxy
	TableID   int    // a table of lines
	MethodID  int    // a method, by its place in the bootstrap values
	SliceID   int    // a range of keys
	PeerID    int    // another coordinator
	Nonce     int    // what a proxy answers to
	TimerID   int64  // what an alarm brings back
	Zone      string // a data centre
	Seconds   = float64
)

// MarkSpan is the size of the space of marks; marks wrap round in it.
const NonceSpace = 65536

// Config is what an instance reads once, at its start.
type Config struct {
	Seed     uint64
	Now      Seconds
	Settings Settings
}

// State is what the list says of a backend.
type BackendState int

const (
	BackendGone BackendState = iota
	BackendOpen
	BackendDraining
)

// ListKind tells what sort of news a list is.
type UpdateKind int

const (
	UpdateDelta UpdateKind = iota
	UpdateFull
	UpdateCached // as last held before the start
	UpdateFailed
)

// Tries tells when a proxy tries again, and how often.
type RetryPolicy int

const (
	RetryNever         RetryPolicy = iota // never again
	RetryIfUnprocessed                    // once more, after proof that the first never ran
	RetryOnce                             // once more, after any failure
	RetryTwice                            // twice more, after any failure
)

// Entry is a backend as listed.
type Endpoint struct {
	Backend   BackendID
	Kind      string
	State     BackendState
	StartedAt Seconds // 0: long ago
	Zone      Zone
	Weight    float64
	Cell      int
}

// Event is one of the types below.
type Event any

type (
	// Listed is news of the list of backends.
	EndpointUpdate struct {
		Kind      UpdateKind
		Version   int64
		Endpoints []Endpoint
	}
	// Joined: a stream to a proxy stands.
	ProxyJoined struct {
		Proxy ProxyID
		Zone  Zone
		Rate  float64 // RPCs a second that it usually gets
		Fresh bool    // it holds only its standing tables
	}
	// Left: the stream to a proxy broke.
	ProxyLeft struct{ Proxy ProxyID }
	// Answered: a proxy applied the push with this mark and all before it.
	PushAcknowledged struct {
		Proxy ProxyID
		Nonce Nonce
		Delay Seconds
	}
	// TrySum is what the proxies of a zone met at a backend.
	AttemptReport struct {
		Backend            BackendID
		Zone               Zone
		Attempts, Failures int
		MeanLatency, Span  Seconds
		Load               []float64
	}
	// UsageSum is what came to a proxy of one method.
	UsageReport struct {
		Proxy          ProxyID
		Method         MethodID
		RPCs, Failures int
		Span           Seconds
	}
	// SliceSum is what came for a slice of one method.
	SliceReport struct {
		Slice          SliceID
		Method         MethodID
		RPCs, Failures int
		Span           Seconds
	}
	// Charged: a slice comes into, or goes out of, this instance's charge.
	SliceOwnership struct {
		Slice SliceID
		Owned bool
	}
	// Held is a line of a slice's table in the store.
	StoredSliceEntry struct {
		Slice   SliceID
		Backend BackendID
		Weight  float64
	}
	// Due: an alarm rang.
	TimerFired struct{ Timer TimerID }
	// Probed is the result of a probe.
	ProbeResult struct {
		Backend BackendID
		OK      bool
		Busy    bool // it answered that it has no room for probes
		Latency Seconds
		Load    []float64
	}
	// PeerNote is a message of another instance.
	PeerMessage struct {
		From PeerID
		Data []byte
	}
)

// Order is one of the types below.
type Command any

type (
	// SetLine sets a line of a table; weight 0 removes it.
	SetTableEntry struct {
		Table   TableID
		Backend BackendID
		Weight  float64
	}
	// ClearTable removes all lines and levels of a table.
	ClearTable struct{ Table TableID }
	// BindTable sends a whole table to a proxy for some methods (bits; 0: all).
	BindTable struct {
		Proxy   ProxyID
		Table   TableID
		Methods uint64
	}
	// Withdraw shuts a backend out of all tables, or lets it in again.
	SetExclusion struct {
		Backend  BackendID
		Excluded bool
	}
	// NotifyExclusions tells a proxy all that is withdrawn: it may go by a table of an earlier stream.
	NotifyExclusions struct{ Proxy ProxyID }
	// SetLevel sets what a table lets in of some methods, and its tries.
	SetAdmission struct {
		Table   TableID
		Methods uint64
		Level   float64
		Retry   RetryPolicy
	}
	// SetMark marks this step's messages; All also reaches proxies with none.
	SetNonce struct {
		Nonce Nonce
		All   bool
	}
	// Watch asks for changes of the list.
	WatchEndpoints struct{ On bool }
	// Fetch asks for the whole list once.
	FetchEndpoints struct{}
	// Probe checks a backend.
	ProbeBackend struct{ Backend BackendID }
	// Alarm asks for a Due.
	SetTimer struct {
		Timer TimerID
		At    Seconds
	}
	// Tell sends a message to a peer, or to all (-1).
	SendToPeer struct {
		To   PeerID
		Data []byte
	}
	// Say adds a line to the log.
	LogMessage struct{ Text string }
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
		tries []RetryPolicy
	}
	flush struct{} // send what waits, if the clock allows
	heard struct {
		mark  Nonce
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
	table      TableID
	methods    uint64
	near       bool // for methods that must stay in the proxy's zone
	want, told []line
	level      []float64 // as sent, by method
	tries      []RetryPolicy
}

// load is a step's messages that no answer has yet shown to have left the channel.
type load struct {
	mark  Nonce
	at    Seconds
	lines int
}

// figures of the backends, as parallel arrays under a dense index; those by pair have a place for each
// zone.
type figures struct {
	id                []BackendID
	zone              []int
	weight            []float64
	state             []BackendState
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
