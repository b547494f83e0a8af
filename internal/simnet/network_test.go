package simnet

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// recorder is a state machine that dials, writes and closes on command, and records the events and data that it receives.
type recorder struct {
	conn      statemachine.Conn
	received  strings.Builder
	events    []string
	busyLoops bool
}

// Step implements statemachine.Machine.
func (r *recorder) Step(now statemachine.Seconds, inputs []statemachine.Input, out *statemachine.Effects) {
	for _, input := range inputs {
		switch input.Kind {
		case statemachine.OperatorCommand:
			r.command(input.Text, out)
		case statemachine.ConnOpened:
			r.conn = input.Conn
			r.events = append(r.events, "opened")
		case statemachine.ConnClosed:
			r.events = append(r.events, input.Text)
		case statemachine.ConnData:
			r.received.Write(input.Data)
		}
	}
	if r.busyLoops {
		out.WakeBy(now)
	}
}

func (r *recorder) command(text string, out *statemachine.Effects) {
	verb, argument, _ := strings.Cut(text, " ")
	switch verb {
	case "dial":
		r.conn = statemachine.DialedBit + 1
		out.Dial(r.conn, argument)
	case "write":
		out.Write(r.conn, []byte(argument))
	case "close":
		out.Close(r.conn)
	case "spin":
		r.busyLoops = true
	}
}

func (r *recorder) lastEvent() string { return r.events[len(r.events)-1] }

// newTwoNodeNetwork returns a network of two nodes in different zones, where node a has an open connection to node b.
func newTwoNodeNetwork(t *testing.T) (network *Network, a, b *recorder) {
	t.Helper()
	network = New(1, 100, 0.001, 0.01)
	a, b = &recorder{}, &recorder{}
	network.AddNode("a", "x", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return a })
	network.AddNode("b", "y", func(statemachine.Seconds, map[string][]byte) statemachine.Machine {
		*b = recorder{}
		return b
	}, "server")
	network.Start("a")
	network.Start("b")
	network.SendCommand("a", "dial server")
	network.RunUntil(101)
	return network, a, b
}

func allLinks(string, string) bool { return true }

// Data in transit when a partition begins must arrive before data sent during the partition, and all of it when it ends.
func TestPartitionKeepsOrder(t *testing.T) {
	network, _, server := newTwoNodeNetwork(t)
	network.AddLinkFault("slow", LinkFault{ExtraLatency: 2}, allLinks)
	network.SendCommand("a", "write 1")
	network.RunUntil(102)
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.SendCommand("a", "write 2")
	network.RunUntil(110)
	if server.received.Len() != 0 {
		t.Fatalf("during the partition the server received %q", server.received.String())
	}
	network.RemoveLinkFault("slow")
	network.RemoveLinkFault("partition")
	network.SendCommand("a", "write 3")
	network.RunUntil(111)
	if server.received.String() != "123" {
		t.Fatalf("the server received %q, want \"123\"", server.received.String())
	}
}

// Data of a killed sender arrives only in part, and its peer gets a reset.
func TestKillWhileSending(t *testing.T) {
	network, _, server := newTwoNodeNetwork(t)
	network.SendCommand("a", "write "+strings.Repeat("x", 1000))
	network.RunUntil(101.0001)
	network.Kill("a")
	network.RunUntil(102)
	if n := server.received.Len(); n == 0 && len(server.events) != 2 || n == 1000 || server.lastEvent() != "reset by the other side" {
		t.Fatalf("the server received %d of 1000 bytes and the events %q", n, server.events)
	}
}

// Data that is written before a close arrives, and only the peer is told of the close.
func TestClose(t *testing.T) {
	network, client, server := newTwoNodeNetwork(t)
	network.SendCommand("a", "write bye")
	network.SendCommand("a", "close")
	network.RunUntil(102)
	if server.received.String() != "bye" || server.lastEvent() != "closed by the other side" || len(client.events) != 1 {
		t.Fatalf("the server received %q and the events %q, the client the events %q",
			server.received.String(), server.events, client.events)
	}
}

// The reason of a closed connection or a failed dial tells a reset, a killed peer and a partition apart.
func TestResetAndFailedDials(t *testing.T) {
	network, client, _ := newTwoNodeNetwork(t)
	network.ResetConnections(allLinks)
	network.RunUntil(102)
	if client.lastEvent() != "reset by the other side" {
		t.Fatalf("events of the client: %q", client.events)
	}
	network.Kill("b")
	network.SendCommand("a", "dial server")
	network.RunUntil(103)
	if client.lastEvent() != "refused" {
		t.Fatalf("events of the client: %q", client.events)
	}
	network.Start("b")
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.SendCommand("a", "dial server")
	network.RunUntil(110)
	if client.lastEvent() != "no answer" {
		t.Fatalf("events of the client: %q", client.events)
	}
}

// The peer of a process that is killed during a partition gets no reset until its first write after the partition.
func TestKillDuringPartition(t *testing.T) {
	network, client, _ := newTwoNodeNetwork(t)
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.Kill("b")
	network.RunUntil(105)
	if len(client.events) != 1 {
		t.Fatalf("events of the client: %q", client.events)
	}
	network.RemoveLinkFault("partition")
	network.SendCommand("a", "write x")
	network.RunUntil(106)
	if client.lastEvent() != "reset by the other side" {
		t.Fatalf("events of the client: %q", client.events)
	}
}

// A paused node handles its inputs when the pause is over.
func TestPause(t *testing.T) {
	network, _, server := newTwoNodeNetwork(t)
	network.Pause("b", 3)
	network.SendCommand("a", "write x")
	network.RunUntil(103.5)
	if server.received.Len() != 0 {
		t.Fatal("a paused process received data")
	}
	network.RunUntil(105)
	if server.received.String() != "x" {
		t.Fatalf("after the pause the server received %q, want \"x\"", server.received.String())
	}
}

// A node that asks in each step for another step at the same time is killed and reported as a failure.
func TestBusyLoop(t *testing.T) {
	network, _, _ := newTwoNodeNetwork(t)
	network.SendCommand("b", "spin")
	network.RunUntil(106)
	if len(network.Failures) != 1 || !strings.Contains(network.Failures[0], "b: busy loop") || network.Running("b") {
		t.Fatalf("failures: %q, node b runs: %v", network.Failures, network.Running("b"))
	}
}
