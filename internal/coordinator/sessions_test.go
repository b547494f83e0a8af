package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// A frame that is malformed or unexpected, or a hello that is not accepted, closes its own stream with a reason, and no other
// stream.
func TestRejectedStreamsLeaveOthersAlone(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "good")
	harness.advance(0.1)
	harness.pushes(1)
	for i, test := range []struct {
		sent []byte
		want string
	}{
		{[]byte{0xff, 0, 0, 0, 1}, "a frame of"},
		{frames(proto.Acknowledgement{Nonce: 1}), "a frame out of order: proto.Answer before the hello"},
		{frames(proto.Hello{Version: 9, Name: "x", Zone: "a"}), "version 9"},
		{frames(proto.Hello{Version: 1, Name: "x y", Zone: "a"}), "name"},
		{frames(proto.Hello{Version: 1, Name: "x", Zone: "mars"}), "zone \"mars\""},
		{frames(proto.Hello{Version: 1, Role: proto.RoleWatcher, Name: "x", Zone: "a"}), "not served here"},
		{frames(hello("x"), hello("x")), "a frame out of order: proto.Hello"},
		{frames(hello("x"), proto.Push{}), "a frame out of order: proto.Push"},
		{frames(hello("x"), proto.RPC{}), "a frame out of order: proto.RPC"},
	} {
		conn := statemachine.Conn(10 + i)
		harness.step(0.01, opened(conn))
		for _, b := range test.sent { // one byte at a time
			harness.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: []byte{b}})
		}
		if reason := harness.rejectionReason(conn); !strings.Contains(reason, test.want) {
			t.Errorf("case %d: rejected with %q, want %q in it", i, reason, test.want)
		}
		if n := len(harness.machine.sessions); n != 2 {
			t.Fatalf("case %d: %d sessions, want 2: those of the endpoint list service and the good proxy", i, n)
		}
	}
	harness.updateEndpoints(listEntry(1, proto.BackendDraining))
	harness.advance(1)
	if harness.closed[1] || !hasOp(harness.pushes(1), proto.OpExclude, 1) {
		t.Fatal("the good proxy was not sent an exclusion")
	}
}

// A stream without a hello and a proxy that sends nothing for too long are rejected; a proxy that sends reports is not.
func TestSilentStreamsAreRejected(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "good")
	harness.step(0, opened(50))
	for range 24 {
		harness.advance(0.5)
		harness.step(0, data(1, proto.Reports{Span: 0.5}))
		harness.step(0, harness.endpointKeepalive())
	}
	if reason := harness.rejectionReason(50); !strings.Contains(reason, "no hello") || harness.closed[1] {
		t.Fatalf("a stream without a hello was rejected with %q, the good proxy was closed: %v", reason, harness.closed[1])
	}
	harness.advance(11)
	if reason := harness.rejectionReason(1); !strings.Contains(reason, "silent") {
		t.Fatalf("a silent proxy was rejected with %q, want \"silent\" in it", reason)
	}
}

// Connections beyond the limit are rejected. Once another connection was closed, a new one is accepted.
func TestStreamLimit(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.step(0.01) // dials the endpoint list service, whose session counts
	harness.machine.bootstrap.MaxStreams = len(harness.machine.sessions) + 2
	harness.step(0.01, opened(1), opened(2), opened(3))
	if reason := harness.rejectionReason(3); reason != reasonTooManyStreams || harness.closed[1] || harness.closed[2] {
		t.Fatalf("the third stream was rejected with %q, want %q and the other streams open", reason, reasonTooManyStreams)
	}
	harness.step(0.01, closed(1), opened(4))
	if harness.closed[4] {
		t.Fatalf("the fourth stream was rejected with %q", harness.rejectionReason(4))
	}
}

// Of the rejections for one reason, the first is logged, and then each one that doubles their number. The number of reasons
// that are counted is bounded.
func TestRejectionLogIsRateLimited(t *testing.T) {
	log := rejectionLog{}
	var logged []int
	for range 10 {
		if times, shouldLog := log.count("a"); shouldLog {
			logged = append(logged, times)
		}
	}
	if got := fmt.Sprint(logged); got != "[1 2 4 8]" {
		t.Errorf("logged at %s, want [1 2 4 8]", got)
	}
	for i := range 3 * maxRejectionReasons {
		log.count(fmt.Sprint(i))
	}
	if len(log) > maxRejectionReasons+1 {
		t.Errorf("%d reasons are held, want at most %d", len(log), maxRejectionReasons+1)
	}
}

// Streams that stop within large frames must not take memory without bound: above a total those that hold the most are rejected, and a
// sound proxy, which holds little, stays. Guards against the failure of issue 45 (a): 900 such streams took 712 MB.
func TestIncompleteFramesAreBounded(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(4)
	harness.join(1, "good")
	report := frames(proto.Reports{Span: 1})
	harness.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: report[:3]})
	unfinished := make([]byte, 600<<10)
	unfinished[1] = proto.MaxFrame >> 16 // the length of a frame that does not end
	const streams = 150
	for number := range streams {
		conn := statemachine.Conn(10 + number)
		harness.join(conn, fmt.Sprint("p", number))
		for sent := 0; sent < len(unfinished); sent += 1 << 14 {
			harness.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: conn, Data: unfinished[sent:min(len(unfinished), sent+1<<14)]})
		}
	}
	retained, counted := 0, harness.machine.retainedBytes
	for _, session := range harness.machine.sessions {
		retained += session.reader.Retained()
	}
	if retained > maxRetainedBytes || retained != counted {
		t.Errorf("%d bytes are held, %d by the machine's count; at most %d wanted", retained, counted, maxRetainedBytes)
	}
	if joined := len(harness.machine.controller.streams); joined < 10 || joined == streams+1 {
		t.Errorf("%d streams are left of %d, some but not all wanted", joined, streams+1)
	}
	harness.step(0, statemachine.Input{Kind: statemachine.ConnData, Conn: 1, Data: report[3:]})
	if harness.closed[1] {
		t.Error("the stream of the sound proxy was closed")
	}
	for number := range streams {
		harness.step(0, closed(statemachine.Conn(10+number)))
	}
	if left := harness.machine.retainedBytes; left != 0 {
		t.Errorf("%d bytes are counted after all streams have ended", left)
	}
}
