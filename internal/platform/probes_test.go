package platform

import (
	"testing"
	"time"

	"gingerfork/choice"
	"gingerfork/internal/statemachine"
)

// The endpoint list reports the restart of a backend while probes of it are in flight. Their connections end with the former
// process, which must not count as a failure of the new one.
func TestProbeOfFormerProcessIsIgnored(t *testing.T) {
	test := newLoopTest(t, func(values map[string]any) {
		values["method.0.soft_deadline"], values["method.1.soft_deadline"] = 100.0, 100.0
	})
	former := newFakePeer(t)
	conn := test.discovery.accept()
	conn.readRequest()
	conn.respond(endpointListJSON(41, true, 5, former.addr(), 0))
	conn.readRequest()
	machine := test.machine
	var backendID choice.BackendID
	test.eventually("the endpoint list is loaded", func() bool { backendID = machine.endpoints.ids["s-0"]; return backendID != 0 })
	probes := startTwoProbes(test, former, backendID)
	conn.respond(endpointListJSON(42, false, 1, former.addr(), float64(time.Now().UnixMilli())))
	conn.readRequest()
	test.eventually("the restart is loaded", func() bool {
		return machine.endpoints.backends[backendID].endpoint.StartedAt > 0 && len(machine.events) == 0
	})
	for _, probe := range probes {
		probe.Close()
	}
	test.eventually("the probes have ended", func() bool { return len(machine.probes.active) == 0 && len(machine.events) == 0 })
	test.betweenSteps(func() {
		for _, estimate := range machine.planner.Estimates() {
			if estimate.Backend == backendID && estimate.Unreachable {
				t.Error("the backend counts as unreachable after the restart")
			}
		}
		if machine.stats.OutdatedProbes != 2 {
			t.Errorf("%d probe results count as outdated, want 2", machine.stats.OutdatedProbes)
		}
	})
}

// startTwoProbes starts two probes of a backend and returns their connections once the requests have arrived.
func startTwoProbes(test *loopTest, peer *fakePeer, id choice.BackendID) []*rawConn {
	test.t.Helper()
	var conns []*rawConn
	for range 2 {
		test.betweenSteps(func() { test.machine.probes.enqueue(id) })
		conn := peer.accept()
		conn.readRequest()
		conns = append(conns, conn)
	}
	return conns
}

// A probe that could not be sent because the process has no free file descriptor must not count as a failure of the backend.
func TestProbeFailedLocallyIsIgnored(t *testing.T) {
	stepped := newSteppedMachine(t, nil)
	stepped.connect(100)
	stepped.respond(100.01, 200, endpointListJSON(41, true, 5, "x:1", 0))
	machine := stepped.machine
	id := machine.endpoints.ids["s-0"]
	for now := 101.0; now < 104; now += 0.5 {
		machine.probes.enqueue(id)
		if dials, _ := stepped.step(now); len(dials) == 1 {
			stepped.step(now+0.01, statemachine.Input{Kind: statemachine.ConnClosed, Conn: machine.lastDialed, LocalFailure: true})
		}
	}
	for _, estimate := range machine.planner.Estimates() {
		if estimate.Unreachable {
			t.Error("a backend to which no probe was sent counts as unreachable")
		}
	}
	if machine.problemCounts[problemProbeNotSent] < 2 || len(machine.probes.active) > 0 {
		t.Errorf("%d probes count as not sent, want at least 2; %d count as in flight, want 0", machine.problemCounts[problemProbeNotSent], len(machine.probes.active))
	}
}
