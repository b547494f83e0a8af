package proto

import "fmt"

// EP is a server's number, as the list gives it: the same for all coordinators and proxies.
type BackendID = uint32

// Role tells what a party that opens a stream wants to be.
type Role uint8

// The roles.
const (
	RoleProxy   Role = iota // to follow tables
	RoleWatcher             // to follow the list
	RoleClient              // to send RPCs and probes
	RolePeer                // another coordinator
	roles
)

// Status is the end of a try, a probe or an RPC.
type Status uint8

// The ends.
const (
	StatusOK       Status = iota
	StatusRejected        // it never ran: proof that it may be sent again
	StatusAborted         // it may have run
	statuses
)

func (s Status) String() string {
	return [...]string{"ok", "pushed back", "aborted", "?"}[min(s, statuses)]
}

// ListKind tells what a List holds.
type UpdateKind uint8

// The kinds of List.
const (
	UpdateFull   UpdateKind = iota
	UpdateDelta             // from Base to Version
	UpdateFailed            // the call failed, or the watch ended
	listKinds
)

// ServerState is what the list says of a server.
type BackendState uint8

// The states on the list.
const (
	BackendGone BackendState = iota
	BackendOpen
	BackendDraining
	serverStates
)

// OpKind tells what an operation of a push does.
type OpKind uint8

// The kinds of operation.
const (
	OpBind      OpKind = iota // a whole table for some methods takes the place of what they had
	OpSetEntry                // one line; weight 0 removes it
	OpClear                   // all lines and levels of a table go
	OpAdmission               // what a table lets in of some methods, and when they are tried again
	OpExclude                 // nothing more to a server, whatever the tables hold
	OpRestore                 // it may be sent to again
	opKinds
)

type (
	// Hello opens every stream. Name and Zone are the opener's; the rest counts for proxies only.
	Hello struct {
		Version  uint64
		Role     Role
		Name     string
		Zone     string
		Rate     float64 // RPCs a second that it usually gets
		Fresh    bool    // it holds no table of any coordinator
		TablesOf string  // whose tables it holds
		Nonce    uint64  // the last push of them that it applied
	}
	// Welcome answers a Hello.
	Welcome struct {
		Version      uint64
		Name         string
		ReportPeriod float64 // seconds between sums
		Methods      []string
	}
	// Refuse ends a stream with a reason, from either side.
	Reject struct{ Reason string }
	// Push is what one step of the coordinator orders of one proxy.
	Push struct {
		Sequence      uint64 // 1 for the first on a stream, then without a gap
		QueuedEntries uint64 // lines that waited in the coordinator's channel as this one left
		HasNonce      bool
		Nonce         uint64
		Ops           []TableOp
	}
	// Op is one operation of a push.
	TableOp struct {
		Kind       OpKind
		Table      uint64
		Methods    uint64 // bits
		Entries    []TableEntry
		Admissions []Admission
		Backends   []BackendID
	}
	// Line is one line of a table.
	TableEntry struct {
		Backend  BackendID
		Weight   float64
		Excluded bool // withdrawn at present
		Addr     string
	}
	// Level is what is let in of some methods.
	Admission struct {
		Methods uint64
		Level   float64
		Retry   uint64
	}
	// Answer says that a push took effect, and all before it.
	Acknowledgement struct{ Nonce uint64 }
	// Sums are what a proxy met in the seconds before.
	Reports struct {
		Span     float64
		Usage    []UsageReport
		Attempts []AttemptReport
	}
	// Usage is what came to a proxy of one method.
	UsageReport struct{ Method, RPCs, Failures uint64 }
	// Tries are what a proxy met at one server; Delay is the mean of the good ones.
	AttemptReport struct {
		Backend            BackendID
		Attempts, Failures uint64
		MeanLatency        float64
	}
	// Heard answers each Sums, so that a proxy knows a live stream from one that is cut without a word.
	ReportsReceived struct{}
	// Watch asks the list service for changes after a version, or ends that.
	WatchEndpoints struct {
		On           bool
		SinceVersion uint64
	}
	// Fetch asks the list service for the whole list once.
	FetchEndpoints struct{}
	// List is the list, changes of it, or a failed call.
	EndpointUpdate struct {
		Kind        UpdateKind
		BaseVersion uint64
		Version     uint64
		Reason      string
		Endpoints   []Endpoint
	}
	// Entry is a server as listed.
	Endpoint struct {
		Backend        BackendID
		State          BackendState
		Kind           string
		Zone           string
		Cell           uint64
		Weight         float64
		StartedLongAgo bool    // its process runs since long ago
		Incarnation    uint64  // changes with each start of its process
		Age            float64 // seconds since that start
		Addr           string
	}
	// RPC is one try of an RPC.
	RPC struct {
		ID             uint64
		Method         uint64
		IdempotencyKey uint64  // 0: none
		CacheKey       uint64  // what it is about, 0: nothing that a server remembers
		TimeLeft       float64 // seconds until the client gives up
	}
	// Reply ends a try. Load is the server's report, if it makes any: RPCs under way and waiting there for each of its
	// cores, as it knows them.
	Reply struct {
		ID      uint64
		Status  Status
		HasLoad bool
		Load    float64
	}
	// Probe asks whether a server answers.
	Probe struct{ ID uint64 }
	// ProbeReply answers it; PushedBack says that there is no room for probes.
	ProbeReply struct {
		ID     uint64
		Status Status
	}
	// PeerNote is a message between coordinators, of up to MostWord bytes.
	PeerMessage struct {
		From uint64
		Data string
	}
)

const (
	tHello MessageType = iota + 1
	tWelcome
	tRefuse
	tPush
	tAnswer
	tSums
	tWatch
	tFetch
	tList
	tRPC
	tReply
	tProbe
	tProbeReply
	tPeerNote
	tHeard
)

// wireNames are the names of the messages in the reasons that are sent in a Reject. They are those of the first version of
// the protocol and stay as they are, whatever the types are called.
var wireNames = map[MessageType]string{
	tHello: "proto.Hello", tWelcome: "proto.Welcome", tRefuse: "proto.Refuse", tPush: "proto.Push", tAnswer: "proto.Answer",
	tSums: "proto.Sums", tWatch: "proto.Watch", tFetch: "proto.Fetch", tList: "proto.List", tRPC: "proto.RPC",
	tReply: "proto.Reply", tProbe: "proto.Probe", tProbeReply: "proto.ProbeReply", tPeerNote: "proto.PeerNote", tHeard: "proto.Heard",
}

// WireName gives a message's name for the reason of a Reject.
func WireName(m Message) string { return wireNames[m.kind()] }

// MaxNonce is the largest mark. A coordinator gives them in rising order, over its restarts too: it sets them aside a
// million at a time.
const MaxNonce = 1<<53 - 1

func (Hello) kind() MessageType           { return tHello }
func (Welcome) kind() MessageType         { return tWelcome }
func (Reject) kind() MessageType          { return tRefuse }
func (Push) kind() MessageType            { return tPush }
func (Acknowledgement) kind() MessageType { return tAnswer }
func (Reports) kind() MessageType         { return tSums }
func (WatchEndpoints) kind() MessageType  { return tWatch }
func (FetchEndpoints) kind() MessageType  { return tFetch }
func (EndpointUpdate) kind() MessageType  { return tList }
func (RPC) kind() MessageType             { return tRPC }
func (Reply) kind() MessageType           { return tReply }
func (Probe) kind() MessageType           { return tProbe }
func (ProbeReply) kind() MessageType      { return tProbeReply }
func (PeerMessage) kind() MessageType     { return tPeerNote }
func (ReportsReceived) kind() MessageType { return tHeard }

var decoders = map[MessageType]func(*decoder) Message{
	tHello: func(d *decoder) Message {
		return Hello{
			d.whole(), Role(d.upTo(uint64(roles-1), "role")), d.word(), d.word(), d.num(), d.flag(), d.word(),
			d.upTo(MaxNonce, "mark"),
		}
	},
	tWelcome: func(d *decoder) Message {
		return Welcome{d.whole(), d.word(), d.num(), items(d, 1, (*decoder).word)}
	},
	tRefuse: func(d *decoder) Message { return Reject{d.word()} },
	tPush: func(d *decoder) Message {
		return Push{d.whole(), d.whole(), d.flag(), d.upTo(MaxNonce, "mark"), items(d, 2, getOp)}
	},
	tAnswer: func(d *decoder) Message { return Acknowledgement{d.upTo(MaxNonce, "mark")} },
	tSums: func(d *decoder) Message {
		return Reports{
			d.num(), items(d, 3, func(d *decoder) UsageReport { return UsageReport{d.whole(), d.whole(), d.whole()} }),
			items(d, 11, getTries),
		}
	},
	tWatch: func(d *decoder) Message { return WatchEndpoints{d.flag(), d.whole()} },
	tFetch: func(*decoder) Message { return FetchEndpoints{} },
	tList: func(d *decoder) Message {
		return EndpointUpdate{UpdateKind(d.upTo(uint64(listKinds-1), "kind")), d.whole(), d.whole(), d.word(), items(d, 21, getEntry)}
	},
	tRPC: func(d *decoder) Message { return RPC{d.whole(), d.whole(), d.whole(), d.whole(), d.num()} },
	tReply: func(d *decoder) Message {
		return Reply{d.whole(), Status(d.upTo(uint64(statuses-1), "status")), d.flag(), d.num()}
	},
	tProbe: func(d *decoder) Message { return Probe{d.whole()} },
	tProbeReply: func(d *decoder) Message {
		return ProbeReply{d.whole(), Status(d.upTo(uint64(statuses-1), "status"))}
	},
	tHeard:    func(*decoder) Message { return ReportsReceived{} },
	tPeerNote: func(d *decoder) Message { return PeerMessage{d.whole(), d.bytes()} },
}

func (m Hello) put(b []byte) []byte {
	b = word(word(whole(whole(b, m.Version), m.Role), m.Name), m.Zone)
	return whole(word(flag(num(b, m.Rate), m.Fresh), m.TablesOf), m.Nonce)
}

func (m Welcome) put(b []byte) []byte {
	return list(num(word(whole(b, m.Version), m.Name), m.ReportPeriod), m.Methods, word)
}

func (m Reject) put(b []byte) []byte { return word(b, m.Reason) }

func (m Push) put(b []byte) []byte {
	return list(whole(flag(whole(whole(b, m.Sequence), m.QueuedEntries), m.HasNonce), m.Nonce), m.Ops, putOp)
}

func putOp(b []byte, o TableOp) []byte {
	b = append(b, byte(o.Kind))
	switch o.Kind {
	case OpBind:
		b = list(whole(whole(b, o.Table), o.Methods), o.Entries, putLine)
		b = list(list(b, o.Admissions, putLevel), o.Backends, whole[BackendID])
	case OpSetEntry:
		b = putLine(whole(b, o.Table), o.Entries[0])
	case OpClear:
		b = whole(b, o.Table)
	case OpAdmission:
		b = putLevel(whole(b, o.Table), o.Admissions[0])
	default:
		b = whole(b, o.Backends[0])
	}
	return b
}

func getOp(d *decoder) (o TableOp) {
	o.Kind = OpKind(d.upTo(uint64(opKinds-1), "operation"))
	switch o.Kind {
	case OpBind:
		o.Table, o.Methods, o.Entries = d.whole(), d.whole(), items(d, 11, getLine)
		o.Admissions, o.Backends = items(d, 10, getLevel), items(d, 1, getEP)
	case OpSetEntry:
		o.Table, o.Entries = d.whole(), []TableEntry{getLine(d)}
	case OpClear:
		o.Table = d.whole()
	case OpAdmission:
		o.Table, o.Admissions = d.whole(), []Admission{getLevel(d)}
	default:
		o.Backends = []BackendID{getEP(d)}
	}
	return o
}

func putLine(b []byte, l TableEntry) []byte {
	return word(flag(num(whole(b, l.Backend), l.Weight), l.Excluded), l.Addr)
}

func getLine(d *decoder) TableEntry { return TableEntry{getEP(d), d.num(), d.flag(), d.word()} }

func putLevel(b []byte, l Admission) []byte { return whole(num(whole(b, l.Methods), l.Level), l.Retry) }

func getLevel(d *decoder) Admission { return Admission{d.whole(), d.num(), d.upTo(3, "tries")} }

func getEP(d *decoder) BackendID { return BackendID(d.upTo(1<<32-1, "server")) }

func (m Acknowledgement) put(b []byte) []byte { return whole(b, m.Nonce) }

func (m Reports) put(b []byte) []byte {
	b = list(num(b, m.Span), m.Usage, func(b []byte, u UsageReport) []byte {
		return whole(whole(whole(b, u.Method), u.RPCs), u.Failures)
	})
	return list(b, m.Attempts, func(b []byte, t AttemptReport) []byte {
		return num(whole(whole(whole(b, t.Backend), t.Attempts), t.Failures), t.MeanLatency)
	})
}

func getTries(d *decoder) AttemptReport {
	t := AttemptReport{getEP(d), d.whole(), d.whole(), d.num()}
	if t.Failures > t.Attempts {
		d.fail(fmt.Errorf("%d bad of %d tries", t.Failures, t.Attempts))
	}
	return t
}

func (m WatchEndpoints) put(b []byte) []byte  { return whole(flag(b, m.On), m.SinceVersion) }
func (m FetchEndpoints) put(b []byte) []byte  { return b }
func (m ReportsReceived) put(b []byte) []byte { return b }

func (m EndpointUpdate) put(b []byte) []byte {
	b = word(whole(whole(append(b, byte(m.Kind)), m.BaseVersion), m.Version), m.Reason)
	return list(b, m.Endpoints, func(b []byte, e Endpoint) []byte {
		b = word(word(append(whole(b, e.Backend), byte(e.State)), e.Kind), e.Zone)
		return word(num(whole(flag(num(whole(b, e.Cell), e.Weight), e.StartedLongAgo), e.Incarnation), e.Age), e.Addr)
	})
}

func getEntry(d *decoder) Endpoint {
	return Endpoint{
		getEP(d), BackendState(d.upTo(uint64(serverStates-1), "state")), d.word(), d.word(), d.whole(), d.num(),
		d.flag(), d.whole(), d.num(), d.word(),
	}
}

func (m RPC) put(b []byte) []byte {
	return num(whole(whole(whole(whole(b, m.ID), m.Method), m.IdempotencyKey), m.CacheKey), m.TimeLeft)
}

func (m Reply) put(b []byte) []byte {
	return num(flag(append(whole(b, m.ID), byte(m.Status)), m.HasLoad), m.Load)
}
func (m Probe) put(b []byte) []byte      { return whole(b, m.ID) }
func (m ProbeReply) put(b []byte) []byte { return append(whole(b, m.ID), byte(m.Status)) }
func (m PeerMessage) put(b []byte) []byte {
	return append(whole(whole(b, m.From), len(m.Data)), m.Data...)
}
