package proto

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var goldenPush = Push{
	Sequence:      3,
	QueuedEntries: 400,
	HasNonce:      true,
	Nonce:         301,
	Ops: []TableOp{
		{
			Kind: OpBind, Table: 4, Methods: 6, Entries: []TableEntry{{Backend: 9, Weight: 1.5, Excluded: true, Addr: "h:1"}},
			Admissions: []Admission{{Methods: 2, Level: .25, Retry: 3}}, Backends: []BackendID{9, 500},
		},
		{Kind: OpSetEntry, Table: 4, Entries: []TableEntry{{Backend: 10, Weight: .5, Addr: "h:2"}}},
		{Kind: OpClear, Table: 5},
		{Kind: OpAdmission, Table: 4, Admissions: []Admission{{Methods: 1, Level: .75, Retry: 1}}},
		{Kind: OpExclude, Backends: []BackendID{11}},
		{Kind: OpRestore, Backends: []BackendID{12}},
	},
}

var goldenUpdate = EndpointUpdate{
	Kind:        UpdateDelta,
	BaseVersion: 76,
	Version:     77,
	Reason:      "why",
	Endpoints: []Endpoint{{
		Backend: 8, State: BackendDraining, Kind: "k", Zone: "dc b", Cell: 3, Weight: 2.5, StartedLongAgo: true, Incarnation: 99,
		Age: 12.5, Addr: "h:3",
	}},
}

// The bytes of each message are those that the first version of the protocol wrote.
func TestWireBytes(t *testing.T) {
	for _, test := range []struct {
		message Message
		frame   string
	}{
		{
			Hello{Version: 1, Role: RoleWatcher, Name: "f0", Zone: "dc a", Rate: 5.5, HasNoTables: true, TablesOf: "c1", Nonce: 300},
			"000000190101010266300464632061401600000000000001026331ac02",
		},
		{
			Welcome{Version: 1, Name: "c0", ReportPeriod: 2, Methods: []string{"read", "submit"}},
			"0000001a02010263304000000000000000020472656164067375626d6974",
		},
		{Reject{Reason: "no"}, "0000000403026e6f"},
		{
			goldenPush,
			"0000004b0403900301ad020600040601093ff80000000000000103683a3101023fd0000000000000030209f40301040a3fe00000000000000003683a32" +
				"02050304013fe800000000000001040b050c",
		},
		{Acknowledgement{Nonce: 302}, "0000000305ae02"},
		{
			Reports{
				Span: 1.25, Usage: []UsageReport{{Method: 1, RPCs: 200, Failures: 3}},
				Attempts: []AttemptReport{{Backend: 7, Attempts: 40, Failures: 5, MeanLatency: .125}},
			},
			"0000001a063ff40000000000000101c80103010728053fc0000000000000",
		},
		{WatchEndpoints{On: true, SinceVersion: 77}, "0000000307014d"},
		{FetchEndpoints{}, "0000000108"},
		{goldenUpdate, "0000002909014c4d03776879010802016b04646320620340040000000000000163402900000000000003683a33"},
		{RPC{ID: 1000, Method: 2, IdempotencyKey: 3000, CacheKey: 4000, TimeLeft: .5}, "000000100ae80702b817a01f3fe0000000000000"},
		{Reply{ID: 1000, Status: StatusRejected, HasLoad: true, Load: 3.5}, "0000000d0be8070101400c000000000000"},
		{Probe{ID: 1001}, "000000030ce907"},
		{ProbeReply{ID: 1001, Status: StatusAborted}, "000000040de90702"},
		{PeerMessage{From: 2, Data: "\x00\xff"}, "000000050e020200ff"},
		{ReportsReceived{}, "000000010f"},
	} {
		encoded := Append(nil, test.message)
		if got := hex.EncodeToString(encoded); got != test.frame {
			t.Errorf("%T is encoded as\n%s, want\n%s", test.message, got, test.frame)
		}
		var reader Reader
		reader.Feed(encoded)
		decoded, err := reader.Next()
		if diff := cmp.Diff(test.message, decoded); err != nil || diff != "" {
			t.Errorf("%T is decoded otherwise: %v %s", test.message, err, diff)
		}
	}
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
	var reader Reader
	reader.Feed(frame(typeReports))
	if _, err := reader.Next(); err == nil || err.Error() != "proto.Sums: it ends within a field" {
		t.Errorf("a short frame gives %v", err)
	}
}
