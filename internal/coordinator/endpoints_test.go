package coordinator

import (
	"errors"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// invalidLists are frames that are invalid for a list of backends 1 to 3 at version 1, by their defect.
var invalidLists = map[string]proto.EndpointUpdate{
	"duplicate backend": {Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{
		listEntry(7, proto.BackendOpen), listEntry(7, proto.BackendOpen),
	}},
	"version gap": {
		Kind: proto.UpdateDelta, BaseVersion: 7, Version: 8, Endpoints: []proto.Endpoint{listEntry(7, proto.BackendOpen)},
	},
	"removed in a full list": {
		Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{listEntry(7, proto.BackendGone)},
	},
	"no address": {Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{{Backend: 7, State: proto.BackendOpen}}},
	"second entry invalid": {Kind: proto.UpdateDelta, BaseVersion: 1, Version: 2, Endpoints: []proto.Endpoint{
		listEntry(1, proto.BackendGone), {Backend: 8, State: proto.BackendOpen},
	}},
}

// An invalid frame is rejected as a whole: the list stays as it was, the session ends and the list is requested again.
func TestInvalidEndpointListsAreRejectedWhole(t *testing.T) {
	for name, list := range invalidLists {
		harness := newHarness(t, nil, nil)
		harness.serveEndpoints(3)
		conn := harness.endpointConn
		harness.endpointConn = 0
		harness.step(0.01, data(conn, list))
		endpoints := harness.machine.controller.endpoints
		if !harness.closed[conn] || len(endpoints.backends) != 3 || endpoints.version != 1 {
			t.Errorf("%s: connection closed: %v, %d backends at version %d, want a closed connection and 3 backends at version 1",
				name, harness.closed[conn], len(endpoints.backends), endpoints.version)
		}
		if harness.advance(3); harness.endpointConn == 0 {
			t.Errorf("%s: the endpoint list service was not dialed again", name)
		}
	}
}

// A frame with a version that was received before changes nothing.
func TestRepeatedEndpointListVersionIsIgnored(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(3)
	for range 3 {
		harness.step(0.01, data(harness.endpointConn, proto.EndpointUpdate{
			Kind: proto.UpdateDelta, BaseVersion: 0, Version: 1, Endpoints: []proto.Endpoint{listEntry(1, proto.BackendDraining)},
		}))
	}
	if harness.closed[harness.endpointConn] || harness.machine.controller.endpoints.backends[1].Entry.State != choice.BackendOpen {
		t.Error("a version that was received before was applied or rejected")
	}
}

// An invalid frame is rejected with an error that states its defect.
func TestEndpointListErrors(t *testing.T) {
	for name, want := range map[string]listDefect{
		"duplicate backend": duplicateBackend, "removed in a full list": removedInFullList, "no address": missingAddress,
		"second entry invalid": missingAddress,
	} {
		endpoints := restoreEndpointList(nil)
		if _, err := endpoints.apply(1000, fullList(1, 3)); err != nil {
			t.Fatal(err)
		}
		_, err := endpoints.apply(1000, invalidLists[name])
		var entryError *listEntryError
		if !errors.As(err, &entryError) || entryError.defect != want {
			t.Errorf("%s: got %v, want defect %d", name, err, want)
		}
	}
	endpoints := restoreEndpointList(nil)
	_, err := endpoints.apply(1000, invalidLists["version gap"])
	var gap *versionGapError
	if !errors.As(err, &gap) || gap.base != 7 {
		t.Errorf("got %v, want a version gap", err)
	}
}

// If the endpoint list service is down during a restart, proxies are served from the cached list at once, and the service is
// dialed again and again.
func TestRestartServesCachedListWhileListServiceFails(t *testing.T) {
	harness := newHarness(t, nil, &checkpoint.State{})
	harness.serveEndpoints(5)
	harness = newHarness(t, nil, harness.restartState())
	harness.join(1, "f0")
	harness.advance(0.1)
	if pushes := harness.pushes(1); len(pushes) != 1 || len(routableBackends(pushes)) < 3 {
		t.Fatalf("want one push with at least 3 backends of the cached list, got %+v", pushes)
	}
	dials := 0
	for range 6 {
		if conn := harness.endpointConn; conn != 0 {
			dials++
			harness.endpointConn = 0
			harness.step(0.01, statemachine.Input{Kind: statemachine.ConnClosed, Conn: conn, Text: "refused"})
		}
		harness.advance(3)
		harness.step(0, data(1, proto.Reports{Span: 1}))
	}
	if dials < 3 {
		t.Fatalf("dialed %d times in 18 s, want at least 3", dials)
	}
}
