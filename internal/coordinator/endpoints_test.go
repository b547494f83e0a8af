package coordinator

import (
	"errors"
	"testing"

	"gingerfork/choice"
	"gingerfork/internal/checkpoint"
	"gingerfork/internal/proto"
	"gingerfork/internal/statemachine"
)

// invalidLists are frames that do not fit a list of three backends at version 1, by what is wrong with them.
var invalidLists = map[string]proto.EndpointUpdate{
	"duplicate backend": {Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{
		listEntry(7, proto.BackendOpen), listEntry(7, proto.BackendOpen),
	}},
	"version gap": {Kind: proto.UpdateDelta, BaseVersion: 7, Version: 8, Endpoints: []proto.Endpoint{listEntry(7, proto.BackendOpen)}},
	"removed in a full list": {
		Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{listEntry(7, proto.BackendGone)},
	},
	"no address": {Kind: proto.UpdateFull, Version: 9, Endpoints: []proto.Endpoint{{Backend: 7, State: proto.BackendOpen}}},
	"second entry invalid": {Kind: proto.UpdateDelta, BaseVersion: 1, Version: 2, Endpoints: []proto.Endpoint{
		listEntry(1, proto.BackendGone), {Backend: 8, State: proto.BackendOpen},
	}},
}

// An invalid frame is rejected whole; the list stays as it was and is requested again.
func TestInvalidEndpointListsAreRejectedWhole(t *testing.T) {
	for name, list := range invalidLists {
		harness := newHarness(t, nil, nil)
		harness.serveEndpoints(3)
		conn := harness.endpointConn
		harness.endpointConn = 0
		harness.step(0.01, data(conn, list))
		endpoints := harness.machine.controller.endpoints
		if !harness.closed[conn] || len(endpoints.backends) != 3 || endpoints.version != 1 {
			t.Errorf("%s: applied in part", name)
		}
		if harness.advance(3); harness.endpointConn == 0 {
			t.Errorf("%s: the endpoint list service is not dialed again", name)
		}
	}
}

// A version that is delivered again changes nothing.
func TestRepeatedEndpointListVersionIsIgnored(t *testing.T) {
	harness := newHarness(t, nil, nil)
	harness.serveEndpoints(3)
	for range 3 {
		harness.step(0.01, data(harness.endpointConn, proto.EndpointUpdate{
			Kind: proto.UpdateDelta, BaseVersion: 0, Version: 1, Endpoints: []proto.Endpoint{listEntry(1, proto.BackendDraining)},
		}))
	}
	if harness.closed[harness.endpointConn] || harness.machine.controller.endpoints.backends[1].Entry.State != choice.BackendOpen {
		t.Error("a version that was delivered twice was applied twice")
	}
}

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

// The endpoint list service fails during a restart: the cached list serves at once, and the service is dialed until it answers.
func TestRestartServesCachedListWhileListServiceFails(t *testing.T) {
	harness := newHarness(t, nil, &checkpoint.State{})
	harness.serveEndpoints(5)
	harness = newHarness(t, nil, harness.restartState())
	harness.join(1, "f0")
	harness.advance(0.1)
	if pushes := harness.pushes(1); len(pushes) != 1 || len(routableBackends(pushes)) < 3 {
		t.Fatalf("a proxy is not served from the cached list: %+v", pushes)
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
		t.Fatalf("dialed %d times in 18 s", dials)
	}
}
