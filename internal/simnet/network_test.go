package simnet

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// recorder dials, writes and closes as it is commanded, and records what it receives.
type recorder struct {
	conn     statemachine.Conn
	received strings.Builder
	events   []string
	spins    bool
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
	if r.spins {
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
		r.spins = true
	}
}

func (r *recorder) lastEvent() string { return r.events[len(r.events)-1] }

// newPair makes a network of two nodes in different zones; a has a connection to b.
func newPair(t *testing.T) (network *Network, a, b *recorder) {
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

// What is in transit when a partition begins arrives before what is sent during it, and all of it when the partition ends.
func TestPartitionKeepsOrder(t *testing.T) {
	network, _, server := newPair(t)
	network.AddLinkFault("slow", LinkFault{ExtraLatency: 2}, allLinks)
	network.SendCommand("a", "write 1")
	network.RunUntil(102)
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.SendCommand("a", "write 2")
	network.RunUntil(110)
	if server.received.Len() != 0 {
		t.Fatal(server.received.String())
	}
	network.RemoveLinkFault("slow")
	network.RemoveLinkFault("partition")
	network.SendCommand("a", "write 3")
	network.RunUntil(111)
	if server.received.String() != "123" {
		t.Fatal(server.received.String())
	}
}

// A killed sender's data arrives in part, and its peer sees a reset.
func TestKillWhileSending(t *testing.T) {
	network, _, server := newPair(t)
	network.SendCommand("a", "write "+strings.Repeat("x", 1000))
	network.RunUntil(101.0001)
	network.Kill("a")
	network.RunUntil(102)
	if n := server.received.Len(); n == 0 && len(server.events) != 2 || n == 1000 || server.lastEvent() != "reset by the other side" {
		t.Fatal(n, server.events)
	}
}

func TestClose(t *testing.T) {
	network, client, server := newPair(t)
	network.SendCommand("a", "write bye")
	network.SendCommand("a", "close")
	network.RunUntil(102)
	if server.received.String() != "bye" || server.lastEvent() != "closed by the other side" || len(client.events) != 1 {
		t.Fatal(server.received.String(), server.events, client.events)
	}
}

func TestResetAndFailedDials(t *testing.T) {
	network, client, _ := newPair(t)
	network.ResetConnections(allLinks)
	network.RunUntil(102)
	if client.lastEvent() != "reset by the other side" {
		t.Fatal(client.events)
	}
	network.Kill("b")
	network.SendCommand("a", "dial server")
	network.RunUntil(103)
	if client.lastEvent() != "refused" {
		t.Fatal(client.events)
	}
	network.Start("b")
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.SendCommand("a", "dial server")
	network.RunUntil(110)
	if client.lastEvent() != "no answer" {
		t.Fatal(client.events)
	}
}

// The peer of a process that dies during a partition is not told; its first write after the partition meets a reset.
func TestKillDuringPartition(t *testing.T) {
	network, client, _ := newPair(t)
	network.AddLinkFault("partition", LinkFault{Partitioned: true}, allLinks)
	network.Kill("b")
	network.RunUntil(105)
	if len(client.events) != 1 {
		t.Fatal(client.events)
	}
	network.RemoveLinkFault("partition")
	network.SendCommand("a", "write x")
	network.RunUntil(106)
	if client.lastEvent() != "reset by the other side" {
		t.Fatal(client.events)
	}
}

func TestPause(t *testing.T) {
	network, _, server := newPair(t)
	network.Pause("b", 3)
	network.SendCommand("a", "write x")
	network.RunUntil(103.5)
	if server.received.Len() != 0 {
		t.Fatal("a paused process received data")
	}
	network.RunUntil(105)
	if server.received.String() != "x" {
		t.Fatal(server.received.String())
	}
}

// A node that asks for a step at the moment of each step is killed and reported.
func TestBusyLoop(t *testing.T) {
	network, _, _ := newPair(t)
	network.SendCommand("b", "spin")
	network.RunUntil(106)
	if len(network.Failures) != 1 || !strings.Contains(network.Failures[0], "b: busy loop") || network.Running("b") {
		t.Fatal(network.Failures)
	}
}
