package simnet

import (
	"strings"
	"testing"

	"gingerfork/internal/statemachine"
)

// party dials whom it is told to, writes what it is told, and keeps what it hears.
type party struct {
	conn   statemachine.Conn
	heard  strings.Builder
	events []string
	spins  bool
}

func (p *party) Step(now statemachine.Seconds, in []statemachine.Input, out *statemachine.Effects) {
	for _, i := range in {
		switch i.Kind {
		case statemachine.OperatorCommand:
			word, rest, _ := strings.Cut(i.Text, " ")
			switch word {
			case "dial":
				p.conn = statemachine.Dialed + 1
				out.Dial(p.conn, rest)
			case "say":
				out.Write(p.conn, []byte(rest))
			case "close":
				out.Close(p.conn)
			case "spin":
				p.spins = true
			}
		case statemachine.ConnOpened:
			p.conn = i.Conn
			p.events = append(p.events, "opened")
		case statemachine.ConnClosed:
			p.events = append(p.events, i.Text)
		case statemachine.ConnData:
			p.heard.Write(i.Data)
		}
	}
	if p.spins {
		out.WakeBy(now)
	}
}

func pair(t *testing.T) (w *Network, a, b *party) {
	t.Helper()
	w = New(1, 100, 0.001, 0.01)
	a, b = &party{}, &party{}
	w.AddNode("a", "x", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { return a })
	w.AddNode("b", "y", func(statemachine.Seconds, map[string][]byte) statemachine.Machine { *b = party{}; return b }, "door")
	w.Start("a")
	w.Start("b")
	w.SendCommand("a", "dial door")
	w.RunUntil(101)
	return w, a, b
}

func both(string, string) bool { return true }

// What was under way when a cut began comes before what was sent during it, and all comes when it heals.
func TestCutsKeepTheOrder(t *testing.T) {
	w, _, b := pair(t)
	w.AddLinkFault("late", LinkFault{ExtraLatency: 2}, both)
	w.SendCommand("a", "say 1")
	w.RunUntil(102)
	w.AddLinkFault("cut", LinkFault{Partitioned: true}, both)
	w.SendCommand("a", "say 2")
	w.RunUntil(110)
	if b.heard.Len() != 0 {
		t.Fatal(b.heard.String())
	}
	w.RemoveLinkFault("late")
	w.RemoveLinkFault("cut")
	w.SendCommand("a", "say 3")
	w.RunUntil(111)
	if b.heard.String() != "123" {
		t.Fatal(b.heard.String())
	}
}

func TestEnds(t *testing.T) {
	w, _, b := pair(t)
	w.SendCommand("a", "say "+strings.Repeat("x", 1000))
	w.RunUntil(101.0001)
	w.Kill("a") // in the middle of what it sent
	w.RunUntil(102)
	if n := b.heard.Len(); n == 0 && len(b.events) != 2 || n == 1000 || b.events[len(b.events)-1] != "reset by the other side" {
		t.Fatal(n, b.events)
	}
	w, a, b := pair(t)
	w.SendCommand("a", "say bye")
	w.SendCommand("a", "close")
	w.RunUntil(102)
	if b.heard.String() != "bye" || b.events[len(b.events)-1] != "closed by the other side" || len(a.events) != 1 {
		t.Fatal(b.heard.String(), b.events, a.events)
	}
	w, a, _ = pair(t)
	w.ResetConnections(both)
	w.RunUntil(102)
	if a.events[len(a.events)-1] != "reset by the other side" {
		t.Fatal(a.events)
	}
	w.Kill("b")
	w.SendCommand("a", "dial door")
	w.RunUntil(103)
	if a.events[len(a.events)-1] != "refused" {
		t.Fatal(a.events)
	}
	w.Start("b")
	w.AddLinkFault("cut", LinkFault{Partitioned: true}, both)
	w.SendCommand("a", "dial door")
	w.RunUntil(110)
	if a.events[len(a.events)-1] != "no answer" {
		t.Fatal(a.events)
	}
	// A process that dies behind a cut is not heard of; who writes to it after the cut is told.
	w, a, _ = pair(t)
	w.AddLinkFault("cut", LinkFault{Partitioned: true}, both)
	w.Kill("b")
	w.RunUntil(105)
	if len(a.events) != 1 {
		t.Fatal(a.events)
	}
	w.RemoveLinkFault("cut")
	w.SendCommand("a", "say x")
	w.RunUntil(106)
	if a.events[len(a.events)-1] != "reset by the other side" {
		t.Fatal(a.events)
	}
}

func TestStallsAndSpins(t *testing.T) {
	w, _, b := pair(t)
	w.Pause("b", 3)
	w.SendCommand("a", "say x")
	w.RunUntil(103.5)
	if b.heard.Len() != 0 {
		t.Fatal("a process that does not run heard something")
	}
	w.RunUntil(105)
	if b.heard.String() != "x" {
		t.Fatal(b.heard.String())
	}
	w.SendCommand("b", "spin")
	w.RunUntil(106)
	if len(w.Failures) != 1 || !strings.Contains(w.Failures[0], "b: it spins") || w.Running("b") {
		t.Fatal(w.Failures)
	}
}
