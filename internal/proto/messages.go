package proto

// BackendID identifies a backend. The endpoint list service assigns it, and it is the same for all coordinators and proxies.
type BackendID = uint32

// MaxNonce is the largest nonce. A coordinator assigns nonces in ascending order, also across its restarts: it reserves about a
// million of them (2^20) at a time in its store.
const MaxNonce = 1<<53 - 1

// Role is the role of the party that opens a stream.
type Role uint8

// Roles of the party that opens a stream.
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
	StatusRejected        // the backend did not run the attempt, so that the RPC may be retried whatever its effect
	StatusAborted         // the backend may have run the attempt
	statusCount
)

// String returns the name of the status in traces.
func (s Status) String() string {
	return [...]string{"ok", "pushed back", "aborted", "?"}[min(s, statusCount)]
}

// UpdateKind is the kind of content of an EndpointUpdate.
type UpdateKind uint8

// Kinds of an EndpointUpdate.
const (
	UpdateFull   UpdateKind = iota // the whole endpoint list
	UpdateDelta                    // the endpoints that changed between the list's versions BaseVersion and Version
	UpdateFailed                   // no endpoints: the request for them failed, or the watch ended
	updateKindCount
)

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

// States of a backend in the endpoint list.
const (
	BackendGone     BackendState = iota // removed from the list
	BackendOpen                         // accepts RPCs
	BackendDraining                     // about to leave: proxies must stop sending to it within the drain grace time
	backendStateCount
)

// OpKind is the kind of operation of a TableOp.
type OpKind uint8

// Kinds of a TableOp.
const (
	OpBind      OpKind = iota // replaces a whole table and all exclusions of the proxy, and assigns the table to some methods
	OpSetEntry                // sets one entry of a table; weight 0 removes it
	OpClear                   // removes all entries and admissions of a table
	OpAdmission               // sets the admission level and the retry policy of some methods
	OpExclude                 // excludes a backend: the proxy sends it nothing, even if tables contain it
	OpRestore                 // ends the exclusion of a backend
	opKindCount
)

// maxRetryPolicy is the largest number of a retry policy (Admission.Retry) on the wire.
const maxRetryPolicy = 3

type (
	// Hello is the first message on every stream. Name and Zone are those of the party that opens it. The fields from Rate on
	// are for proxies only, except that a backend's client sends in TablesOf the coordinator whose tables it uses.
	Hello struct {
		Version     uint64
		Role        Role
		Name        string
		Zone        string
		Rate        float64 // RPCs per second that the proxy usually receives
		HasNoTables bool    // the proxy holds no table of any coordinator
		TablesOf    string  // name of the coordinator whose tables the proxy holds
		Nonce       uint64  // of the last push from the coordinator TablesOf that the proxy applied
	}
	// Welcome accepts a Hello.
	Welcome struct {
		Version      uint64
		Name         string
		ReportPeriod float64  // seconds between two Reports that the proxy sends
		Methods      []string // names of the methods, in the order of their numbers
	}
	// Reject ends a stream and says why. Either side may send it.
	Reject struct{ Reason string }
	// Push contains the table operations that one step of the coordinator causes for one proxy.
	Push struct {
		Sequence      uint64 // number of the push on its stream, from 1 without gaps
		QueuedEntries uint64 // table entries, with each push's overhead, left in the coordinator's push queue when it sent this one
		HasNonce      bool   // whether the proxy must acknowledge the push, with Nonce
		Nonce         uint64 // unused without HasNonce
		Ops           []TableOp
	}
	// TableOp is one operation of a Push. Which of the other fields it uses depends on Kind.
	TableOp struct {
		Kind       OpKind
		Table      uint64
		Methods    uint64 // bit k stands for method k; 0 for all methods
		Entries    []TableEntry
		Admissions []Admission
		Backends   []BackendID // the one to exclude or restore; for OpBind all excluded backends
	}
	// TableEntry is a backend in a table, with its weight.
	TableEntry struct {
		Backend  BackendID
		Weight   float64
		Excluded bool // whether the backend is excluded at the time of the push, so that the proxy sends it nothing
		Addr     string
	}
	// Admission is the admission level and the retry policy of some methods.
	Admission struct {
		Methods uint64  // bit k stands for method k; 0 for all methods
		Level   float64 // share of RPCs admitted, or RPCs per second; the level-kind setting says which
		Retry   uint64  // number of the retry policy, as in choice.RetryPolicy; up to 3
	}
	// Acknowledgement reports that the push with this nonce, and all pushes before it, took effect.
	Acknowledgement struct{ Nonce uint64 }
	// Reports contains what a proxy measured in the last report period (Welcome.ReportPeriod).
	Reports struct {
		Span     float64 // seconds that the reports cover
		Usage    []UsageReport
		Attempts []AttemptReport
	}
	// UsageReport counts the RPCs of one method, given by its number, that a proxy received, and those of them that failed.
	UsageReport struct{ Method, RPCs, Failures uint64 }
	// AttemptReport counts the attempts of a proxy at one backend.
	AttemptReport struct {
		Backend            BackendID
		Attempts, Failures uint64
		MeanLatency        float64 // of the successful attempts, in seconds
	}
	// ReportsReceived acknowledges each Reports, so that the proxy knows that the stream is alive.
	ReportsReceived struct{}
	// WatchEndpoints asks the endpoint list service to send all changes since a version, or ends the watch.
	WatchEndpoints struct {
		On           bool   // false ends the watch
		SinceVersion uint64 // version of the list that the watcher holds; 0: none
	}
	// FetchEndpoints asks the endpoint list service for the whole list once.
	FetchEndpoints struct{}
	// EndpointUpdate contains the endpoint list, the changes in it, or the reason of a failure.
	EndpointUpdate struct {
		Kind        UpdateKind
		BaseVersion uint64     // version of the list that an UpdateDelta changes
		Version     uint64     // version of the list after the update
		Reason      string     // of the failure, in an UpdateFailed
		Endpoints   []Endpoint // of all backends, or of those that an UpdateDelta changes
	}
	// Endpoint is the entry of a backend in the endpoint list.
	Endpoint struct {
		Backend        BackendID
		State          BackendState
		Kind           string // kind of machine that the backend runs on
		Zone           string
		Cell           uint64 // number of the group of backends that may fail together
		Weight         float64
		StartedLongAgo bool    // the backend's process has been running for a long time, and Age has no meaning
		Incarnation    uint64  // differs for each start of the backend's process
		Age            float64 // seconds since the start of the backend's process
		Addr           string
	}
	// RPC sends one attempt of an RPC to a backend.
	RPC struct {
		ID             uint64  // chosen by the sender; the Reply repeats it
		Method         uint64  // number of the method
		IdempotencyKey uint64  // 0: none
		CacheKey       uint64  // of the data that the RPC needs; 0: none that a backend caches
		TimeLeft       float64 // seconds until the client's deadline
	}
	// Reply is a backend's answer to an RPC, and ends the attempt.
	Reply struct {
		ID      uint64
		Status  Status
		HasLoad bool    // whether Load is set
		Load    float64 // RPCs that the backend runs or has queued, per core of the backend
	}
	// Probe is a health check of a backend.
	Probe struct{ ID uint64 }
	// ProbeReply answers a Probe. StatusRejected means that the backend has no capacity for probes.
	ProbeReply struct {
		ID     uint64
		Status Status
	}
	// PeerMessage is a message between coordinators, with up to MaxString bytes of arbitrary data.
	PeerMessage struct {
		From uint64 // number of the sending coordinator
		Data string
	}
)
