package coordinator

import (
	"strings"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/proto"
)

// A message up to the size limit is sent to a peer with a session. A message to a peer without one makes the coordinator dial
// the peer, and is lost without an error, like a message over the size limit.
func TestPeerMessages(t *testing.T) {
	const text = "\xff\x00!"
	harness := newHarness(t, map[string]any{"coordinators": 2.0, "self": 0.0}, nil)
	harness.machine.bootstrap.Peers = map[choice.PeerID]string{1: "peer"}
	harness.serveEndpoints(3)
	send := func(text string) {
		harness.effects.Reset()
		step := &stepContext{now: harness.now, effects: &harness.effects}
		harness.machine.execute(step, stepResult{peerMessages: []choice.SendToPeer{{To: -1, Data: []byte(text)}}})
	}
	send("lost")
	if len(harness.effects.Actions) != 1 || harness.effects.Actions[0].Addr != "peer" {
		t.Fatalf("want only a dial of the peer, got %+v", harness.effects.Actions)
	}
	dialed := harness.effects.Actions[0].Conn
	send("lost too")
	harness.step(0.01, opened(dialed), data(dialed, proto.Welcome{Version: 1, Name: "c1"}))
	send(strings.Repeat("x", 300))
	if len(harness.effects.Actions) != 0 {
		t.Fatalf("a message over the size limit was sent: %+v", harness.effects.Actions)
	}
	if send(text); len(harness.effects.Actions) != 1 {
		t.Fatalf("want only a message to the peer, got %+v", harness.effects.Actions)
	}
	peerHello := proto.Hello{Version: 1, Role: proto.RolePeer, Name: "c1", Zone: "b"}
	harness.step(0.01, opened(7), data(7, peerHello, proto.PeerMessage{From: 1, Data: text}))
	if harness.closed[7] || harness.machine.sessions[7].role != rolePeer {
		t.Fatal("the peer's connection was not accepted")
	}
	harness.step(0.01, closed(dialed))
	if len(harness.machine.peerSessions) != 0 {
		t.Fatal("the session of a peer that disconnected was not removed")
	}
}
