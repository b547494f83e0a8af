package proto

// BackendID identifies a backend. The list service assigns it, and it is the same for all coordinators and proxies.
type BackendID = uint32

// MaxNonce is the largest nonce. A coordinator assigns nonces in rising order, also across its restarts: it reserves a million of
// them at a time in its store.
const MaxNonce = 1<<53 - 1

// Role is what the party that opens a stream is.
type Role uint8

// Roles of a stream's opener.
const (
	RoleProxy   Role = iota // a proxy that subscribes to its tables
	RoleWatcher             // a coordinator that watches the endpoint list
	RoleClient              // a client of a backend: it sends RPCs and probes
	RolePeer                // another coordinator
	roleCount
)

// Status is the outcome of an attempt, a probe or an RPC.
type Status uint8

// Outcomes of an attempt, a probe or an RPC.
const (
	StatusOK       Status = iota
	StatusRejected        // the backend did not run it, so that any RPC may be retried
	StatusAborted         // the backend may have run it
	statusCount
)

// String returns the outcome's name as traces hold it.
func (s Status) String() string {
	return [...]string{"ok", "pushed back", "aborted", "?"}[min(s, statusCount)]
}

// UpdateKind is what an EndpointUpdate holds.
type UpdateKind uint8

// Kinds of EndpointUpdate.
const (
	UpdateFull   UpdateKind = iota // the whole list
	UpdateDelta                    // the changes from BaseVersion to Version
	UpdateFailed                   // nothing: the call failed, or the watch ended
	updateKindCount
)

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

// States of a backend in the endpoint list.
const (
	BackendGone BackendState = iota
	BackendOpen
	BackendDraining
	backendStateCount
)

// OpKind is what a TableOp does.
type OpKind uint8

// Kinds of TableOp.
const (
	OpBind      OpKind = iota // binds some methods to a table, given whole, in place of the table that they had
	OpSetEntry                // sets one entry of a table; weight 0 removes it
	OpClear                   // removes all entries and admissions of a table
	OpAdmission               // sets the admission level and the retry policy of some methods
	OpExclude                 // excludes a backend, whatever the tables hold
	OpRestore                 // restores an excluded backend
	opKindCount
)

// maxRetryPolicy is the largest number of a retry policy on the wire.
const maxRetryPolicy = 3

type (
	// Hello opens every stream. Name and Zone are those of the opener; the other fields have a meaning for proxies only.
	Hello struct {
		Version     uint64
		Role        Role
		Name        string
		Zone        string
		Rate        float64 // RPCs a second that the proxy usually gets
		HasNoTables bool    // the proxy holds no table of any coordinator
		TablesOf    string  // name of the coordinator whose tables the proxy holds
		Nonce       uint64  // of the last push of that coordinator that the proxy applied
	}
	// Welcome accepts a Hello.
	Welcome struct {
		Version      uint64
		Name         string
		ReportPeriod float64 // seconds between two Reports
		Methods      []string
	}
	// Reject ends a stream with a reason; either side may send it.
	Reject struct{ Reason string }
	// Push holds what one step of the coordinator changes at one proxy.
	Push struct {
		Sequence      uint64 // 1 for the first push on a stream, then without a gap
		QueuedEntries uint64 // entries that were queued in the coordinator's push channel behind this push
		HasNonce      bool   // the proxy is to acknowledge the push
		Nonce         uint64
		Ops           []TableOp
	}
	// TableOp is one operation of a Push. Kind tells which of the other fields it uses.
	TableOp struct {
		Kind       OpKind
		Table      uint64
		Methods    uint64 // bit k stands for method k; 0 for all methods
		Entries    []TableEntry
		Admissions []Admission
		Backends   []BackendID // excluded or restored; of OpBind all that are excluded
	}
	// TableEntry is a weighted backend of a table.
	TableEntry struct {
		Backend  BackendID
		Weight   float64
		Excluded bool // at the time of the push
		Addr     string
	}
	// Admission is the admission level and the retry policy of some methods.
	Admission struct {
		Methods uint64 // bit k stands for method k; 0 for all methods
		Level   float64
		Retry   uint64 // number of the retry policy, up to 3
	}
	// Acknowledgement reports that the push with this nonce took effect, and all pushes before it.
	Acknowledgement struct{ Nonce uint64 }
	// Reports hold what a proxy measured in the last period.
	Reports struct {
		Span     float64 // seconds that the reports cover
		Usage    []UsageReport
		Attempts []AttemptReport
	}
	// UsageReport counts the RPCs of one method that a proxy received.
	UsageReport struct{ Method, RPCs, Failures uint64 }
	// AttemptReport counts the attempts of a proxy at one backend.
	AttemptReport struct {
		Backend            BackendID
		Attempts, Failures uint64
		MeanLatency        float64 // of the successful attempts, in seconds
	}
	// ReportsReceived answers each Reports. It tells the proxy that the stream is alive.
	ReportsReceived struct{}
	// WatchEndpoints asks the list service for all changes since a version, or ends the watch.
	WatchEndpoints struct {
		On           bool
		SinceVersion uint64 // 0: the watcher holds no version
	}
	// FetchEndpoints asks the list service for the whole list once.
	FetchEndpoints struct{}
	// EndpointUpdate is the endpoint list, changes of it, or the failure of a call.
	EndpointUpdate struct {
		Kind        UpdateKind
		BaseVersion uint64
		Version     uint64
		Reason      string
		Endpoints   []Endpoint
	}
	// Endpoint is the entry of a backend in the endpoint list.
	Endpoint struct {
		Backend        BackendID
		State          BackendState
		Kind           string
		Zone           string
		Cell           uint64
		Weight         float64
		StartedLongAgo bool    // the process has been running for long: Age has no meaning
		Incarnation    uint64  // another number for each start of the process
		Age            float64 // seconds since that start
		Addr           string
	}
	// RPC is one attempt of an RPC at a backend.
	RPC struct {
		ID             uint64
		Method         uint64
		IdempotencyKey uint64  // 0: none
		CacheKey       uint64  // of the data that the RPC needs; 0: nothing that a backend caches
		TimeLeft       float64 // seconds until the client's deadline
	}
	// Reply ends an attempt.
	Reply struct {
		ID      uint64
		Status  Status
		HasLoad bool
		Load    float64 // RPCs that the backend runs or has queued, for each of its cores
	}
	// Probe is a health check of a backend.
	Probe struct{ ID uint64 }
	// ProbeReply answers a Probe; StatusRejected says that the backend has no capacity for probes.
	ProbeReply struct {
		ID     uint64
		Status Status
	}
	// PeerMessage is a message between coordinators, with up to MaxString bytes of data.
	PeerMessage struct {
		From uint64 // number of the sender
		Data string
	}
)
