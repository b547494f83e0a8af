package choice

import "testing"

// An empty endpoint list is obeyed, and costs one restoration a backend when it proves wrong, not new tables.
func TestEmptyListRecoversCheaply(t *testing.T) {
	fleet := startedFleet(t, nil, 8, 4)
	fleet.acknowledgeAll()
	if commands := fleet.step(0.1, EndpointUpdate{Kind: UpdateFull}); countCommands[SetExclusion](commands) != 8 {
		t.Fatalf("an empty list gave %v", commands)
	}
	commands := fleet.step(1, fullUpdate(8, 0))
	if countCommands[SetExclusion](commands) != 8 || countCommands[SetTableEntry](commands) > 4 {
		t.Fatalf("the return of the backends gave %v", commands)
	}
}
