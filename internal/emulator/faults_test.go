package emulator

import (
	"errors"
	"testing"
)

// mustRunCommands runs commands and fails the test if one is invalid.
func mustRunCommands(t *testing.T, model *Model, commands ...string) {
	t.Helper()
	for _, command := range commands {
		if err := model.command(command); err != nil {
			t.Fatal(err)
		}
	}
}

// Each fault affects replies until it is healed, and only the RPCs that it is meant for. RPCs are of method 0 and from a client
// of coordinator c1.
func TestFaults(t *testing.T) {
	for command, want := range map[string]Status{
		"fast": StatusAborted, "part 1": StatusAborted, "method 0": StatusAborted, "from c1": StatusAborted, "drain": StatusRejected,
		"method 1": StatusOK, "from c2": StatusOK, "dear 3": StatusOK, "slow 2": StatusOK,
	} {
		model := NewModel(testConfig(1, Work{Mean: 0.1, Family: Constant}), 0)
		model.Connect(1, "c1")
		mustRunCommands(t, model, command)
		model.Submit(1, RPC{ID: 1, TimeLeft: 9})
		if statuses, _ := advanceUntil(model, 1); statuses[1] != want || len(statuses) != 1 {
			t.Errorf("during %s: got the replies %v, want status %v", command, statuses, want)
		}
		mustRunCommands(t, model, "heal")
		model.Submit(1, RPC{ID: 2, TimeLeft: 9})
		if statuses, _ := advanceUntil(model, 1.11); statuses[2] != StatusOK || len(statuses) != 1 {
			t.Errorf("after %s was healed: got the replies %v, want one with status OK", command, statuses)
		}
	}
}

func TestInvalidCommands(t *testing.T) {
	model := NewModel(testConfig(1, Work{Mean: 0.1, Family: Constant}), 0)
	for command, want := range map[string]error{
		"": errUnknownFault, "hangs": errUnknownFault, "heal x": errUnknownFault,
		"slow": errFaultArgument, "slow 0": errFaultArgument, "slow x": errFaultArgument, "hang 3": errFaultArgument,
		"part -1": errFaultArgument, "conns NaN": errFaultArgument, "from": errFaultArgument,
	} {
		if err := model.command(command); !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", command, err, want)
		}
	}
}

// A backend with two overlapping hangs replies again once both are healed.
func TestHangsAddUp(t *testing.T) {
	model := connectedModel(testConfig(1, Work{Mean: 0.1, Family: Constant}))
	mustRunCommands(t, model, "hang", "hang")
	model.Submit(1, RPC{ID: 1, TimeLeft: 9})
	model.Probe(1, 5)
	mustRunCommands(t, model, "heal hang")
	if statuses, _ := advanceUntil(model, 5); len(statuses) != 0 {
		t.Error("replies during a hang:", statuses)
	}
	mustRunCommands(t, model, "heal hang")
	if statuses, _ := advanceUntil(model, 6); statuses[1] != StatusOK {
		t.Error("no reply after the hang:", statuses)
	}
}

// With a limit of two connections the third is rejected, and an RPC is executed only after the delayed handshake.
func TestConnectionFaults(t *testing.T) {
	model := connectedModel(testConfig(1, Work{Mean: 0.1, Family: Constant}))
	model.Advance(6)
	mustRunCommands(t, model, "conns 2", "shake 0.5")
	model.Connect(2, "")
	model.Connect(3, "")
	rejected := 0
	for _, effect := range model.Advance(6) {
		if rejection, ok := effect.(ConnRejected); ok && rejection.Conn == 3 {
			rejected++
		}
	}
	model.Submit(2, RPC{ID: 2, TimeLeft: 9})
	early, _ := advanceUntil(model, 6.55)
	late, _ := advanceUntil(model, 6.65)
	if rejected != 1 || len(early) != 0 || late[2] != StatusOK {
		t.Errorf("%d connections rejected, want 1; replies during the handshake %v, after it %v", rejected, early, late)
	}
}
