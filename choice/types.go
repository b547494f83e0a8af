package choice

// This file has the interface of the module: identifiers, configuration, events and commands.

type (
	// BackendID identifies a backend, a process that serves requests. All coordinators use the same ids.
	BackendID uint32
	// ProxyID identifies a proxy.
	ProxyID int
	// TableID identifies a table of a proxy.
	TableID int
	// MethodID is the index of a method in the settings.
	MethodID int
	// SliceID identifies a slice, a range of keys.
	SliceID int
	// PeerID identifies another coordinator.
	PeerID int
	// Nonce identifies the messages of a step. A proxy acknowledges a push with it.
	Nonce int
	// TimerID identifies a timer.
	TimerID int64
	// Zone is the name of a data centre.
	Zone string
	// Seconds is a time or a duration. All times that an instance is given count from the same moment.
	Seconds = float64
)

// NonceSpace is the number of nonces. After the highest, NonceSpace-1, they start again at 0.
const NonceSpace = 65536

// Config is the configuration of an instance.
type Config struct {
	Seed     uint64  // seed of the random numbers
	Now      Seconds // time at which the instance starts
	Settings Settings
}

// BackendState is the state of a backend according to the endpoint list.
type BackendState int

// The states of a backend.
const (
	BackendGone     BackendState = iota // not listed, or listed as gone
	BackendOpen                         // takes requests
	BackendDraining                     // must get no new requests
)

// UpdateKind is the kind of an endpoint update.
type UpdateKind int

// The kinds of endpoint updates.
const (
	UpdateDelta  UpdateKind = iota // the changed endpoints
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as stored before the start, possibly outdated
	UpdateFailed                   // no endpoints: a poll failed
)

// RetryPolicy says when and how often a proxy retries a request.
type RetryPolicy int

// The retry policies.
const (
	RetryNever         RetryPolicy = iota
	RetryIfUnprocessed             // one retry, after proof that the first attempt was not processed
	RetryOnce                      // one retry, after any failure
	RetryTwice                     // two retries, after any failure
)

// Endpoint is a backend's entry in the endpoint list.
type Endpoint struct {
	Backend   BackendID
	Kind      string // kind of machine that it runs on
	State     BackendState
	StartedAt Seconds // start of the backend's process; 0: long ago
	Zone      Zone
	Weight    float64 // relative capacity
	Cell      int     // group of backends that may fail together
}

// Event is one of the types below.
type Event any

type (
	// EndpointUpdate is a change of the endpoint list, the whole list or the failure of a poll.
	EndpointUpdate struct {
		Kind      UpdateKind
		Version   int64
		Endpoints []Endpoint
	}
	// ProxyJoined reports that a proxy opened its stream.
	ProxyJoined struct {
		Proxy ProxyID
		Zone  Zone
		Rate  float64 // requests a second that the proxy usually gets
		Fresh bool    // the proxy has no tables of an earlier stream
	}
	// ProxyLeft reports that the stream of a proxy ended.
	ProxyLeft struct{ Proxy ProxyID }
	// PushAcknowledged reports that a proxy applied the push with this nonce and all earlier ones.
	PushAcknowledged struct {
		Proxy ProxyID
		Nonce Nonce
		Delay Seconds // from the push until the proxy applied it or, in package coordinator, until the acknowledgement came
	}
	// AttemptReport sums up the attempts of a zone's proxies at a backend.
	AttemptReport struct {
		Backend     BackendID
		Zone        Zone // zone of the proxies
		Attempts    int
		Failures    int       // failed ones of the attempts
		MeanLatency Seconds   // mean latency of the successful attempts
		Span        Seconds   // duration that the report covers
		Load        []float64 // as reported by the backend, in the order of Settings.FeedbackColumns
	}
	// UsageReport counts the RPCs of one method that arrived at a proxy.
	UsageReport struct {
		Proxy    ProxyID
		Method   MethodID
		RPCs     int
		Failures int     // failed ones of the RPCs
		Span     Seconds // duration that the report covers
	}
	// SliceReport counts the RPCs of one method that arrived for a slice.
	SliceReport struct {
		Slice    SliceID
		Method   MethodID
		RPCs     int
		Failures int     // failed ones of the RPCs
		Span     Seconds // duration that the report covers
	}
	// SliceOwnership reports that this instance became the owner of a slice, or no longer is.
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
	// TimerFired reports that the time of a timer, set by SetTimer, has come.
	TimerFired struct{ Timer TimerID }
	// ProbeResult is the result of a health check.
	ProbeResult struct {
		Backend BackendID
		OK      bool
		Busy    bool // the backend answered that it has no capacity for health checks
		Latency Seconds
		Load    []float64 // as in AttemptReport
	}
	// PeerMessage is a message from another coordinator.
	PeerMessage struct {
		From PeerID
		Data []byte
	}
)

// Command is one of the types below. Commands take effect in the order in which Step returns them.
type Command any

type (
	// SetTableEntry sets the weight of a backend in a table. Weight 0 removes the backend.
	SetTableEntry struct {
		Table   TableID
		Backend BackendID
		Weight  float64
	}
	// ClearTable removes all entries and admission levels of a table.
	ClearTable struct{ Table TableID }
	// BindTable sends a whole table to a proxy for some methods. From then on the proxy is sent the changes of that table.
	BindTable struct {
		Proxy   ProxyID
		Table   TableID
		Methods uint64 // bit set; 0: all methods
	}
	// SetExclusion excludes a backend from all tables, or withdraws the exclusion.
	SetExclusion struct {
		Backend  BackendID
		Excluded bool
	}
	// NotifyExclusions sends all present exclusions to a proxy that may use a table of an earlier stream.
	NotifyExclusions struct{ Proxy ProxyID }
	// SetAdmission sets the admission level and the retry policy of some methods in a table.
	SetAdmission struct {
		Table   TableID
		Methods uint64  // bit set
		Level   float64 // a share of the requests, or requests a second, depending on Settings.LevelKind
		Retry   RetryPolicy
	}
	// SetNonce gives the messages of this step a nonce. With All it is also sent to proxies that get no other message.
	SetNonce struct {
		Nonce Nonce
		All   bool
	}
	// WatchEndpoints starts or stops watching the endpoint list for changes.
	WatchEndpoints struct{ On bool }
	// FetchEndpoints requests the whole endpoint list once.
	FetchEndpoints struct{}
	// ProbeBackend requests a health check of a backend.
	ProbeBackend struct{ Backend BackendID }
	// SetTimer requests a TimerFired event.
	SetTimer struct {
		Timer TimerID
		At    Seconds
	}
	// SendToPeer sends a message to another coordinator.
	SendToPeer struct {
		To   PeerID // -1: all other coordinators
		Data []byte
	}
	// LogMessage adds a line to the log.
	LogMessage struct{ Text string }
)
