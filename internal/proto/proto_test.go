package proto

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var (
	words = rapid.StringMatching(`[a-z0-9.:é-]{0,30}`)
	nums  = rapid.Float64Range(0, 1e12)
	eps   = rapid.Uint32()
	lines = rapid.Custom(func(t *rapid.T) TableEntry {
		return TableEntry{eps.Draw(t, "ep"), nums.Draw(t, "w"), rapid.Bool().Draw(t, "shut"), words.Draw(t, "addr")}
	})
	levels = rapid.Custom(func(t *rapid.T) Admission {
		return Admission{rapid.Uint64().Draw(t, "m"), nums.Draw(t, "level"), rapid.Uint64Range(0, 3).Draw(t, "tries")}
	})
	ops = rapid.Custom(func(t *rapid.T) TableOp {
		o := TableOp{Kind: OpKind(rapid.IntRange(0, int(opKinds)-1).Draw(t, "op"))}
		table := rapid.Uint64().Draw(t, "table")
		switch o.Kind {
		case OpBind:
			o.Table, o.Methods = table, rapid.Uint64().Draw(t, "methods")
			o.Entries, o.Admissions = some(t, lines), some(t, levels)
			o.Backends = some(t, eps)
		case OpSetEntry:
			o.Table, o.Entries = table, []TableEntry{lines.Draw(t, "line")}
		case OpClear:
			o.Table = table
		case OpAdmission:
			o.Table, o.Admissions = table, []Admission{levels.Draw(t, "level")}
		default:
			o.Backends = []BackendID{eps.Draw(t, "ep")}
		}
		return o
	})
	messages = rapid.Custom(func(t *rapid.T) Message {
		w, n, u := func() string { return words.Draw(t, "word") }, func() float64 { return nums.Draw(t, "num") }, func() uint64 { return rapid.Uint64().Draw(t, "whole") }
		flag, mark := rapid.Bool().Draw(t, "flag"), rapid.Uint64Range(0, MaxNonce).Draw(t, "mark")
		status := Status(rapid.IntRange(0, int(statuses)-1).Draw(t, "status"))
		switch rapid.IntRange(1, int(tHeard)).Draw(t, "type") {
		case int(tHello):
			return Hello{u(), Role(rapid.IntRange(0, int(roles)-1).Draw(t, "role")), w(), w(), n(), flag, w(), mark}
		case int(tWelcome):
			return Welcome{u(), w(), n(), some(t, words)}
		case int(tRefuse):
			return Reject{w()}
		case int(tPush):
			return Push{u(), u(), flag, mark, some(t, ops)}
		case int(tAnswer):
			return Acknowledgement{mark}
		case int(tSums):
			return Reports{
				n(), some(t, rapid.Custom(func(t *rapid.T) UsageReport { return UsageReport{rapid.Uint64().Draw(t, "m"), 5, 2} })),
				some(t, rapid.Custom(func(t *rapid.T) AttemptReport {
					return AttemptReport{eps.Draw(t, "ep"), 7, rapid.Uint64Range(0, 7).Draw(t, "bad"), nums.Draw(t, "d")}
				})),
			}
		case int(tWatch):
			return WatchEndpoints{flag, u()}
		case int(tFetch):
			return FetchEndpoints{}
		case int(tList):
			return EndpointUpdate{UpdateKind(rapid.IntRange(0, int(listKinds)-1).Draw(t, "kind")), u(), u(), w(), some(t, rapid.Custom(func(t *rapid.T) Endpoint {
				return Endpoint{
					eps.Draw(t, "ep"), BackendState(rapid.IntRange(0, int(serverStates)-1).Draw(t, "state")), words.Draw(t, "kind"),
					words.Draw(t, "zone"), 3, nums.Draw(t, "w"), rapid.Bool().Draw(t, "old"), rapid.Uint64().Draw(t, "stamp"), nums.Draw(t, "age"), words.Draw(t, "addr"),
				}
			}))}
		case int(tRPC):
			return RPC{u(), u(), u(), u(), n()}
		case int(tReply):
			return Reply{u(), status, flag, n()}
		case int(tProbe):
			return Probe{u()}
		case int(tProbeReply):
			return ProbeReply{u(), status}
		case int(tPeerNote):
			return PeerMessage{u(), string(rapid.SliceOfN(rapid.Byte(), 0, MaxString).Draw(t, "data"))}
		}
		return ReportsReceived{}
	})
)

func some[T any](t *rapid.T, of *rapid.Generator[T]) []T {
	all := rapid.SliceOfN(of, 0, 5).Draw(t, "some")
	if len(all) == 0 {
		return nil
	}
	return all
}

// What is written is read back the same, however the stream is cut.
func TestMessagesComeBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(messages, 1, 6).Draw(t, "messages")
		var stream []byte
		for _, m := range sent {
			stream = Append(stream, m)
		}
		var r Reader
		r.HandshakeDone()
		var got []Message
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			if rapid.Bool().Draw(t, "byte") {
				n = 1
			}
			r.Feed(stream[:n])
			stream = stream[n:]
			for {
				m, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				if m == nil {
					break
				}
				got = append(got, m)
			}
		}
		if d := cmp.Diff(sent, got); d != "" || r.Buffered() != 0 {
			t.Fatalf("read back otherwise, %d bytes left over: %s", r.Buffered(), d)
		}
	})
}

func frame(t MessageType, fields ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(fields)+1))
	return append(append(b, byte(t)), fields...)
}

func TestBadFramesAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		bytes []byte
		want  string
	}{
		"empty":        {[]byte{0, 0, 0, 0}, "a frame of 0 bytes"},
		"huge":         {[]byte{0xff, 0xff, 0xff, 0xff}, "a frame of 4294967295 bytes"},
		"unknown":      {frame(99), "unknown type 99"},
		"short":        {frame(tAnswer), "ends within a field"},
		"long":         {frame(tAnswer, 1, 1), "1 bytes too many"},
		"mark":         {frame(tAnswer, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10), "mark 9007199254740992, at most 9007199254740991"},
		"nan":          {frame(tSums, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0), "finite and 0 or above"},
		"below zero":   {frame(tSums, 0xbf, 0xf0, 0, 0, 0, 0, 0, 0), "finite and 0 or above"},
		"forged count": {frame(tWelcome, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f), "ends within a field"},
		"not utf-8":    {frame(tRefuse, 1, 0xff), "not UTF-8"},
	} {
		var r Reader
		r.Feed(c.bytes)
		_, err := r.Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
		r.Feed(Append(nil, Acknowledgement{1}))
		if _, again := r.Next(); again == nil || again != err { //nolint:errorlint // the very same error is meant
			t.Errorf("%s: the stream went on after it lost its place: %v", name, again)
		}
	}
}

// A stranger can't make us hold more than a hello.
func TestStrangersGetLittleRoom(t *testing.T) {
	big := Append(nil, EndpointUpdate{Reason: strings.Repeat("x", 200), Endpoints: make([]Endpoint, 100)})
	var r Reader
	r.Feed(big)
	if _, err := r.Next(); err == nil {
		t.Fatalf("a frame of %d bytes passed before the handshake", len(big))
	}
	var open Reader
	open.HandshakeDone()
	open.Feed(big)
	if m, err := open.Next(); err != nil || len(m.(EndpointUpdate).Endpoints) != 100 {
		t.Fatal(m, err)
	}
}

// No bytes may make a decoder panic, or read a message that would not be written back the same.
func FuzzReader(f *testing.F) {
	f.Add(Append(nil, Hello{Version: 1, Name: "f0", Zone: "a", Rate: 5}))
	f.Add(Append(nil, Push{Sequence: 1, Ops: []TableOp{{Kind: OpBind, Entries: []TableEntry{{Backend: 1, Weight: 1, Addr: "x:1"}}}, {Kind: OpExclude, Backends: []BackendID{7}}}}))
	f.Add(Append(nil, Reports{Span: 1, Attempts: []AttemptReport{{Backend: 3, Attempts: 4, Failures: 1, MeanLatency: .1}}}))
	f.Add(Append(nil, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Backend: 3, Zone: "a", Addr: "h:1"}}}))
	f.Add(append(Append(nil, Acknowledgement{7}), 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Reader
		r.HandshakeDone()
		r.Feed(data)
		for {
			m, err := r.Next()
			if m == nil || err != nil {
				return
			}
			again := Append(nil, m)
			var back Reader
			back.HandshakeDone()
			back.Feed(again)
			got, err := back.Next()
			if err != nil || !bytes.Equal(Append(nil, got), again) {
				t.Fatalf("%#v came back as %#v, %v", m, got, err)
			}
		}
	})
}

func BenchmarkLine(b *testing.B) {
	push := Push{Sequence: 7, HasNonce: true, Nonce: 9}
	for i := range 1000 {
		push.Ops = append(push.Ops, TableOp{Kind: OpSetEntry, Table: 4, Entries: []TableEntry{{Backend: BackendID(i), Weight: 1.5, Addr: "127.0.0.1:7501"}}})
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		var buf []byte
		for range b.N {
			buf = Append(buf[:0], push)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/line")
		b.ReportMetric(float64(len(buf))/1000, "bytes/line")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		buf := Append(nil, push)
		for range b.N {
			var r Reader
			r.HandshakeDone()
			r.Feed(buf)
			if _, err := r.Next(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/line")
	})
}

// The names of messages in the reasons of a Reject are part of the wire: they don't change with the names of the types.
func TestWireNames(t *testing.T) {
	for want, m := range map[string]Message{
		"proto.Hello": Hello{}, "proto.Welcome": Welcome{}, "proto.Refuse": Reject{}, "proto.Push": Push{}, "proto.Answer": Acknowledgement{},
		"proto.Sums": Reports{}, "proto.Watch": WatchEndpoints{}, "proto.Fetch": FetchEndpoints{}, "proto.List": EndpointUpdate{},
		"proto.RPC": RPC{}, "proto.Reply": Reply{}, "proto.Probe": Probe{}, "proto.ProbeReply": ProbeReply{}, "proto.PeerNote": PeerMessage{},
		"proto.Heard": ReportsReceived{},
	} {
		if got := WireName(m); got != want {
			t.Errorf("%T is named %q in a reason, want %q", m, got, want)
		}
	}
	var r Reader
	r.Feed(frame(tSums))
	if _, err := r.Next(); err == nil || err.Error() != "proto.Sums: it ends within a field" {
		t.Errorf("a short frame gives %v", err)
	}
}
