package choice

// The interface of the module: identifiers, settings, events and commands. No decision is taken here.

type (
	// BackendID identifies a backend, a process that serves requests. It is the same at every coordinator.
	BackendID uint32
	// ProxyID is the number of a proxy.
	ProxyID int
	// TableID is the number of a table.
	TableID int
	// MethodID is a method, by its place in the settings.
	MethodID int
	// SliceID is a range of keys.
	SliceID int
	// PeerID is another coordinator.
	PeerID int
	// Nonce is what a proxy acknowledges.
	Nonce int
	// TimerID identifies a timer.
	TimerID int64
	// Zone is the name of a data centre.
	Zone string
	// Seconds is a time or a duration. Times count from the same moment for all that is handed to an instance.
	Seconds = float64
)

// NonceSpace is the number of nonces; after the last one follows 0.
const NonceSpace = 65536

// Config is what an instance reads once, at its start.
type Config struct {
	Seed     uint64 // of its random numbers
	Now      Seconds
	Settings Settings
}

// BackendState is what the endpoint list says of a backend.
type BackendState int

// The states of a backend.
const (
	BackendGone     BackendState = iota // not listed, or listed as gone
	BackendOpen                         // it takes requests
	BackendDraining                     // it must get no new requests
)

// UpdateKind tells what an endpoint update holds.
type UpdateKind int

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = iota // what changed
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as it was last known before the start
	UpdateFailed                   // nothing: a poll failed
)

// RetryPolicy tells when a proxy retries a request, and how often.
type RetryPolicy int

// The retry policies.
const (
	RetryNever         RetryPolicy = iota
	RetryIfUnprocessed             // once, after proof that the first attempt was not processed
	RetryOnce                      // once, after any failure
	RetryTwice                     // twice, after any failure
)

// Endpoint is a backend's entry in the endpoint list.
type Endpoint struct {
	Backend   BackendID
	Kind      string // of machine
	State     BackendState
	StartedAt Seconds // 0: long ago
	Zone      Zone
	Weight    float64
	Cell      int // group of backends that may fail together
}

// Event is one of the types below.
type Event any

type (
	// EndpointUpdate is a change of the endpoint list, or the whole list.
	EndpointUpdate struct {
		Kind      UpdateKind
		Version   int64
		Endpoints []Endpoint
	}
	// ProxyJoined tells that a proxy opened its stream.
	ProxyJoined struct {
		Proxy ProxyID
		Zone  Zone
		Rate  float64 // requests a second that it usually gets
		Fresh bool    // it has no tables of an earlier stream
	}
	// ProxyLeft tells that the stream to a proxy ended.
	ProxyLeft struct{ Proxy ProxyID }
	// PushAcknowledged tells that a proxy applied the push with this nonce and all before it.
	PushAcknowledged struct {
		Proxy ProxyID
		Nonce Nonce
		Delay Seconds // from the push to its application
	}
	// AttemptReport sums up the attempts of a zone's proxies at a backend.
	AttemptReport struct {
		Backend     BackendID
		Zone        Zone
		Attempts    int
		Failures    int     // of them
		MeanLatency Seconds // of the successes
		Span        Seconds // that the report covers
		Load        []float64
	}
	// UsageReport is what arrived at a proxy of one method.
	UsageReport struct {
		Proxy    ProxyID
		Method   MethodID
		RPCs     int
		Failures int
		Span     Seconds
	}
	// SliceReport is what arrived for a slice of one method.
	SliceReport struct {
		Slice    SliceID
		Method   MethodID
		RPCs     int
		Failures int
		Span     Seconds
	}
	// SliceOwnership tells that this instance became, or ceased to be, the owner of a slice.
	SliceOwnership struct {
		Slice SliceID
		Owned bool
	}
	// StoredSliceEntry is an entry of a slice's table in the store.
	StoredSliceEntry struct {
		Slice   SliceID
		Backend BackendID
		Weight  float64
	}
	// TimerFired tells that the time of a timer has come.
	TimerFired struct{ Timer TimerID }
	// ProbeResult is the result of a health check.
	ProbeResult struct {
		Backend BackendID
		OK      bool
		Busy    bool // it answered that it has no room for health checks
		Latency Seconds
		Load    []float64
	}
	// PeerMessage is a message of another coordinator.
	PeerMessage struct {
		From PeerID
		Data []byte
	}
)

// Command is one of the types below. Commands take effect in the order in which Step returns them.
type Command any

type (
	// SetTableEntry sets an entry of a table; weight 0 removes it.
	SetTableEntry struct {
		Table   TableID
		Backend BackendID
		Weight  float64
	}
	// ClearTable removes all entries and admission levels of a table.
	ClearTable struct{ Table TableID }
	// BindTable sends a whole table to a proxy for some methods (bits; 0: all), which follows it from then on.
	BindTable struct {
		Proxy   ProxyID
		Table   TableID
		Methods uint64
	}
	// SetExclusion excludes a backend from all tables, or restores it.
	SetExclusion struct {
		Backend  BackendID
		Excluded bool
	}
	// NotifyExclusions notifies a proxy of all exclusions: it may use a table of an earlier stream.
	NotifyExclusions struct{ Proxy ProxyID }
	// SetAdmission sets what a table admits of some methods, and their retry policy.
	SetAdmission struct {
		Table   TableID
		Methods uint64
		Level   float64 // a share, or requests a second, as Settings.LevelKind says
		Retry   RetryPolicy
	}
	// SetNonce gives the messages of this step a nonce; with All it also goes to proxies that have none.
	SetNonce struct {
		Nonce Nonce
		All   bool
	}
	// WatchEndpoints asks for changes of the endpoint list.
	WatchEndpoints struct{ On bool }
	// FetchEndpoints asks for the whole endpoint list once.
	FetchEndpoints struct{}
	// ProbeBackend asks for a health check.
	ProbeBackend struct{ Backend BackendID }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		Timer TimerID
		At    Seconds
	}
	// SendToPeer sends a message to another coordinator, or to all (-1).
	SendToPeer struct {
		To   PeerID
		Data []byte
	}
	// LogMessage adds a line to the log.
	LogMessage struct{ Text string }
)
