package proto

import "fmt"

// EP is a server's number, as the list gives it: the same for all coordinators and proxies.
type EP = uint32

// Role tells what a party that opens a stream wants to be.
type Role uint8

// The roles.
const (
	RoleProxy   Role = iota // to follow tables
	RoleWatcher             // to follow the list
	RoleCaller              // to send RPCs and probes
	RolePeer                // another coordinator
	roles
)

// Status is the end of a try, a probe or an RPC.
type Status uint8

// The ends.
const (
	OK         Status = iota
	PushedBack        // it never ran: proof that it may be sent again
	Aborted           // it may have run
	statuses
)

func (s Status) String() string {
	return [...]string{"ok", "pushed back", "aborted", "?"}[min(s, statuses)]
}

// ListKind tells what a List holds.
type ListKind uint8

// The kinds of List.
const (
	ListFull    ListKind = iota
	ListChanges          // from Base to Version
	ListError            // the call failed, or the watch ended
	listKinds
)

// ServerState is what the list says of a server.
type ServerState uint8

// The states on the list.
const (
	ServerGone ServerState = iota
	ServerOpen
	ServerDraining
	serverStates
)

// OpKind tells what an operation of a push does.
type OpKind uint8

// The kinds of operation.
const (
	OpBind     OpKind = iota // a whole table for some methods takes the place of what they had
	OpLine                   // one line; weight 0 removes it
	OpClear                  // all lines and levels of a table go
	OpLevel                  // what a table lets in of some methods, and when they are tried again
	OpWithdraw               // nothing more to a server, whatever the tables hold
	OpReadmit                // it may be sent to again
	opKinds
)

type (
	// Hello opens every stream. Name and Zone are the opener's; the rest counts for proxies only.
	Hello struct {
		Version uint64
		Role    Role
		Name    string
		Zone    string
		Rate    float64 // RPCs a second that it usually gets
		Fresh   bool    // it holds no table of any coordinator
		Holds   string  // whose tables it holds
		Mark    uint64  // the last push of them that it applied
	}
	// Welcome answers a Hello.
	Welcome struct {
		Version uint64
		Name    string
		Period  float64 // seconds between sums
		Methods []string
	}
	// Refuse ends a stream with a reason, from either side.
	Refuse struct{ Reason string }
	// Push is what one step of the coordinator orders of one proxy.
	Push struct {
		Seq     uint64 // 1 for the first on a stream, then without a gap
		Waiting uint64 // lines that waited in the coordinator's channel as this one left
		Marked  bool
		Mark    uint64
		Ops     []Op
	}
	// Op is one operation of a push.
	Op struct {
		Kind      OpKind
		Table     uint64
		Methods   uint64 // bits
		Lines     []Line
		Levels    []Level
		Withdrawn []EP
	}
	// Line is one line of a table.
	Line struct {
		EP     EP
		Weight float64
		Shut   bool // withdrawn at present
		Addr   string
	}
	// Level is what is let in of some methods.
	Level struct {
		Methods uint64
		Level   float64
		Tries   uint64
	}
	// Answer says that a push took effect, and all before it.
	Answer struct{ Mark uint64 }
	// Sums are what a proxy met in the seconds before.
	Sums struct {
		Over  float64
		Usage []Usage
		Tries []Tries
	}
	// Usage is what came to a proxy of one method.
	Usage struct{ Method, RPCs, Bad uint64 }
	// Tries are what a proxy met at one server; Delay is the mean of the good ones.
	Tries struct {
		EP         EP
		Tries, Bad uint64
		Delay      float64
	}
	// Heard answers each Sums, so that a proxy knows a live stream from one that is cut without a word.
	Heard struct{}
	// Watch asks the list service for changes after a version, or ends that.
	Watch struct {
		On    bool
		Since uint64
	}
	// Fetch asks the list service for the whole list once.
	Fetch struct{}
	// List is the list, changes of it, or a failed call.
	List struct {
		Kind    ListKind
		Base    uint64
		Version uint64
		Reason  string
		Entries []Entry
	}
	// Entry is a server as listed.
	Entry struct {
		EP     EP
		State  ServerState
		Kind   string
		Zone   string
		Cell   uint64
		Weight float64
		Old    bool    // its process runs since long ago
		Stamp  uint64  // changes with each start of its process
		Age    float64 // seconds since that start
		Addr   string
	}
	// RPC is one try of an RPC.
	RPC struct {
		ID     uint64
		Method uint64
		Token  uint64  // 0: none
		Key    uint64  // what it is about, 0: nothing that a server remembers
		Left   float64 // seconds until the client gives up
	}
	// Reply ends a try. Load is the server's report, if it makes any: RPCs under way and waiting there for each of its
	// cores, as it knows them.
	Reply struct {
		ID      uint64
		Status  Status
		Reports bool
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
	PeerNote struct {
		From uint64
		Data string
	}
)

const (
	tHello Type = iota + 1
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

// MostMark is the largest mark. A coordinator gives them in rising order, over its restarts too: it sets them aside a
// million at a time.
const MostMark = 1<<53 - 1

func (Hello) kind() Type      { return tHello }
func (Welcome) kind() Type    { return tWelcome }
func (Refuse) kind() Type     { return tRefuse }
func (Push) kind() Type       { return tPush }
func (Answer) kind() Type     { return tAnswer }
func (Sums) kind() Type       { return tSums }
func (Watch) kind() Type      { return tWatch }
func (Fetch) kind() Type      { return tFetch }
func (List) kind() Type       { return tList }
func (RPC) kind() Type        { return tRPC }
func (Reply) kind() Type      { return tReply }
func (Probe) kind() Type      { return tProbe }
func (ProbeReply) kind() Type { return tProbeReply }
func (PeerNote) kind() Type   { return tPeerNote }
func (Heard) kind() Type      { return tHeard }

var decoders = map[Type]func(*decoder) Message{
	tHello: func(d *decoder) Message {
		return Hello{
			d.whole(), Role(d.upTo(uint64(roles-1), "role")), d.word(), d.word(), d.num(), d.flag(), d.word(),
			d.upTo(MostMark, "mark"),
		}
	},
	tWelcome: func(d *decoder) Message {
		return Welcome{d.whole(), d.word(), d.num(), items(d, 1, (*decoder).word)}
	},
	tRefuse: func(d *decoder) Message { return Refuse{d.word()} },
	tPush: func(d *decoder) Message {
		return Push{d.whole(), d.whole(), d.flag(), d.upTo(MostMark, "mark"), items(d, 2, getOp)}
	},
	tAnswer: func(d *decoder) Message { return Answer{d.upTo(MostMark, "mark")} },
	tSums: func(d *decoder) Message {
		return Sums{
			d.num(), items(d, 3, func(d *decoder) Usage { return Usage{d.whole(), d.whole(), d.whole()} }),
			items(d, 11, getTries),
		}
	},
	tWatch: func(d *decoder) Message { return Watch{d.flag(), d.whole()} },
	tFetch: func(*decoder) Message { return Fetch{} },
	tList: func(d *decoder) Message {
		return List{ListKind(d.upTo(uint64(listKinds-1), "kind")), d.whole(), d.whole(), d.word(), items(d, 21, getEntry)}
	},
	tRPC: func(d *decoder) Message { return RPC{d.whole(), d.whole(), d.whole(), d.whole(), d.num()} },
	tReply: func(d *decoder) Message {
		return Reply{d.whole(), Status(d.upTo(uint64(statuses-1), "status")), d.flag(), d.num()}
	},
	tProbe: func(d *decoder) Message { return Probe{d.whole()} },
	tProbeReply: func(d *decoder) Message {
		return ProbeReply{d.whole(), Status(d.upTo(uint64(statuses-1), "status"))}
	},
	tHeard:    func(*decoder) Message { return Heard{} },
	tPeerNote: func(d *decoder) Message { return PeerNote{d.whole(), d.bytes()} },
}

func (m Hello) put(b []byte) []byte {
	b = word(word(whole(whole(b, m.Version), m.Role), m.Name), m.Zone)
	return whole(word(flag(num(b, m.Rate), m.Fresh), m.Holds), m.Mark)
}

func (m Welcome) put(b []byte) []byte {
	return list(num(word(whole(b, m.Version), m.Name), m.Period), m.Methods, word)
}

func (m Refuse) put(b []byte) []byte { return word(b, m.Reason) }

func (m Push) put(b []byte) []byte {
	return list(whole(flag(whole(whole(b, m.Seq), m.Waiting), m.Marked), m.Mark), m.Ops, putOp)
}

func putOp(b []byte, o Op) []byte {
	b = append(b, byte(o.Kind))
	switch o.Kind {
	case OpBind:
		b = list(whole(whole(b, o.Table), o.Methods), o.Lines, putLine)
		b = list(list(b, o.Levels, putLevel), o.Withdrawn, whole[EP])
	case OpLine:
		b = putLine(whole(b, o.Table), o.Lines[0])
	case OpClear:
		b = whole(b, o.Table)
	case OpLevel:
		b = putLevel(whole(b, o.Table), o.Levels[0])
	default:
		b = whole(b, o.Withdrawn[0])
	}
	return b
}

func getOp(d *decoder) (o Op) {
	o.Kind = OpKind(d.upTo(uint64(opKinds-1), "operation"))
	switch o.Kind {
	case OpBind:
		o.Table, o.Methods, o.Lines = d.whole(), d.whole(), items(d, 11, getLine)
		o.Levels, o.Withdrawn = items(d, 10, getLevel), items(d, 1, getEP)
	case OpLine:
		o.Table, o.Lines = d.whole(), []Line{getLine(d)}
	case OpClear:
		o.Table = d.whole()
	case OpLevel:
		o.Table, o.Levels = d.whole(), []Level{getLevel(d)}
	default:
		o.Withdrawn = []EP{getEP(d)}
	}
	return o
}

func putLine(b []byte, l Line) []byte {
	return word(flag(num(whole(b, l.EP), l.Weight), l.Shut), l.Addr)
}

func getLine(d *decoder) Line { return Line{getEP(d), d.num(), d.flag(), d.word()} }

func putLevel(b []byte, l Level) []byte { return whole(num(whole(b, l.Methods), l.Level), l.Tries) }

func getLevel(d *decoder) Level { return Level{d.whole(), d.num(), d.upTo(3, "tries")} }

func getEP(d *decoder) EP { return EP(d.upTo(1<<32-1, "server")) }

func (m Answer) put(b []byte) []byte { return whole(b, m.Mark) }

func (m Sums) put(b []byte) []byte {
	b = list(num(b, m.Over), m.Usage, func(b []byte, u Usage) []byte {
		return whole(whole(whole(b, u.Method), u.RPCs), u.Bad)
	})
	return list(b, m.Tries, func(b []byte, t Tries) []byte {
		return num(whole(whole(whole(b, t.EP), t.Tries), t.Bad), t.Delay)
	})
}

func getTries(d *decoder) Tries {
	t := Tries{getEP(d), d.whole(), d.whole(), d.num()}
	if t.Bad > t.Tries {
		d.fail(fmt.Errorf("%d bad of %d tries", t.Bad, t.Tries))
	}
	return t
}

func (m Watch) put(b []byte) []byte { return whole(flag(b, m.On), m.Since) }
func (m Fetch) put(b []byte) []byte { return b }
func (m Heard) put(b []byte) []byte { return b }

func (m List) put(b []byte) []byte {
	b = word(whole(whole(append(b, byte(m.Kind)), m.Base), m.Version), m.Reason)
	return list(b, m.Entries, func(b []byte, e Entry) []byte {
		b = word(word(append(whole(b, e.EP), byte(e.State)), e.Kind), e.Zone)
		return word(num(whole(flag(num(whole(b, e.Cell), e.Weight), e.Old), e.Stamp), e.Age), e.Addr)
	})
}

func getEntry(d *decoder) Entry {
	return Entry{
		getEP(d), ServerState(d.upTo(uint64(serverStates-1), "state")), d.word(), d.word(), d.whole(), d.num(),
		d.flag(), d.whole(), d.num(), d.word(),
	}
}

func (m RPC) put(b []byte) []byte {
	return num(whole(whole(whole(whole(b, m.ID), m.Method), m.Token), m.Key), m.Left)
}

func (m Reply) put(b []byte) []byte {
	return num(flag(append(whole(b, m.ID), byte(m.Status)), m.Reports), m.Load)
}
func (m Probe) put(b []byte) []byte      { return whole(b, m.ID) }
func (m ProbeReply) put(b []byte) []byte { return append(whole(b, m.ID), byte(m.Status)) }
func (m PeerNote) put(b []byte) []byte {
	return append(whole(whole(b, m.From), len(m.Data)), m.Data...)
}
