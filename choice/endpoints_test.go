package choice

import "testing"

// An empty endpoint list excludes all backends. If it was wrong and the backends are listed again, one command for each backend
// withdraws the exclusions, and hardly any table entry is sent again.
func TestEmptyListRecoversCheaply(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	fleet.acknowledgeAll()
	if commands := fleet.step(0.1, EndpointUpdate{Kind: UpdateFull}); countCommands[SetExclusion](commands) != 8 {
		t.Fatalf("commands for an empty list: %v, 8 exclusions wanted", commands)
	}
	commands := fleet.step(1, fullUpdate(8, 0))
	if countCommands[SetExclusion](commands) != 8 || countCommands[SetTableEntry](commands) > 4 {
		t.Fatalf("commands for the return of the backends: %v, 8 ends of exclusions and at most 4 table entries wanted", commands)
	}
}
