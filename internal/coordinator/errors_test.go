package coordinator

import (
	"errors"
	"testing"

	"gingerfork/internal/proto"
)

// The texts of rejections are sent on the wire. Neither they nor the message names in them may change, even if identifiers in
// the code are renamed.
func TestRejectionTexts(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{errInvalidName, "a name or zone that is empty, over 64 bytes or not printable"},
		{unexpectedMessage(proto.Push{}), "a frame out of order: proto.Push"},
		{&peerRejectionError{reason: "full"}, "the other side refused: full"},
		{&protocolVersionError{version: 9}, "version 9 of the protocol, 1 wanted"},
		{&unknownZoneError{zone: "mars"}, `zone "mars" is not among those set here`},
		{&unsupportedRoleError{role: proto.RoleWatcher}, "role 1 is not served here"},
		{&listEntryError{version: 9, backend: 7, defect: duplicateBackend}, "list version 9 names server 7 twice"},
		{&listEntryError{version: 9, backend: 7, defect: missingAddress}, "list version 9 gives no address for server 7"},
		{
			&listEntryError{version: 9, backend: 7, defect: removedInFullList},
			"list version 9 is whole, and names server 7 as gone",
		},
		{&versionGapError{base: 7, current: 1}, "list changes from version 7, but version 1 is held"},
	} {
		if got := test.err.Error(); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
	if !errors.Is(unexpectedMessage(proto.Push{}), errUnexpectedMessage) {
		t.Error("the error for an unexpected message does not wrap errUnexpectedMessage")
	}
}

// The names of messages on the wire must not change, even if their types are renamed.
func TestMessageNames(t *testing.T) {
	for want, message := range map[string]proto.Message{
		"proto.Hello": proto.Hello{}, "proto.Welcome": proto.Welcome{}, "proto.Refuse": proto.Reject{},
		"proto.Push": proto.Push{}, "proto.Answer": proto.Acknowledgement{}, "proto.Sums": proto.Reports{},
		"proto.Heard": proto.ReportsReceived{}, "proto.Watch": proto.WatchEndpoints{},
		"proto.Fetch": proto.FetchEndpoints{}, "proto.List": proto.EndpointUpdate{}, "proto.RPC": proto.RPC{},
		"proto.Reply": proto.Reply{}, "proto.Probe": proto.Probe{}, "proto.ProbeReply": proto.ProbeReply{},
		"proto.PeerNote": proto.PeerMessage{},
	} {
		if got := proto.WireName(message); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
