package fake

import (
	"fmt"
	"strings"
	"testing"

	"gingerfork/internal/emulator"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// Members receive only the inputs of their own connections and the commands that name them.
func TestMultiplexer(t *testing.T) {
	multiplexer := NewMultiplexer()
	for i := range 3 {
		multiplexer.Add(fmt.Sprint("s", i), emulator.NewBackend(fastBackend(proto.BackendID(i+1))), 1)
	}
	var out statemachine.Effects
	out.Reset()
	hello := proto.Append(nil, proto.Hello{Version: 1, Role: proto.RoleClient, Name: "x"})
	multiplexer.Step(1, []statemachine.Input{
		{Kind: statemachine.ConnOpened, Conn: 5, Listener: 2},
		{Kind: statemachine.ConnOpened, Conn: 6, Listener: 0},
		{Kind: statemachine.ConnData, Conn: 5, Data: hello},
		{Kind: statemachine.OperatorCommand, Text: "s0 drain"},
		{Kind: statemachine.ConnData, Conn: 6, Data: proto.Append(hello, proto.RPC{ID: 1, TimeLeft: 1})},
	}, &out)
	var messages []string
	for _, action := range out.Actions {
		var reader proto.Reader
		reader.HandshakeDone()
		reader.Feed(action.Data)
		for message, _ := reader.Next(); message != nil; message, _ = reader.Next() {
			messages = append(messages, fmt.Sprint(action.Conn, message))
		}
	}
	got := strings.Join(messages, "; ")
	for _, want := range []string{"5 {1 server-3 0 []}", "6 {1 server-1 0 []}", "6 {1 pushed back false 0}"} {
		if !strings.Contains(got, want) {
			t.Fatalf("no %q in %q", want, got)
		}
	}
	if idle := multiplexer.members[1]; idle.lastAccepted != 0 {
		t.Fatal("a member without an input accepted a connection")
	}
}
