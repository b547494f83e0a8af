package choice

import (
	"math"
	"slices"
	"testing"
)

// joinAll has proxies first to last-1 join in one step.
func (w *world) joinAll(after Seconds, first, last int, beside ...Event) {
	events := slices.Clone(beside)
	for p := first; p < last; p++ {
		events = append(events, ProxyJoined{Proxy: ProxyID(p), Zone: home(p), Rate: 2})
	}
	w.step(after, events...)
}

// drain lists a backend as draining.
func drain(i int) EndpointUpdate {
	e := full(i+1, 0).Endpoints[i]
	e.State = BackendDraining
	return EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{e}}
}

// Proxies that join in the step in which a backend begins to drain get tables without it, and the exclusion goes out at once.
func TestJoinsAndADrainInOneStep(t *testing.T) {
	w := started(t, map[string]any{"proxies": 60.0}, 8, 40)
	w.settle()
	w.joinAll(0.1, 40, 43, drain(3))
	drained := BackendID(1000 + 77*3)
	if !w.shut[drained] {
		t.Error("the drain waits")
	}
	for p := ProxyID(40); p < 43; p++ {
		if len(w.bound[p]) == 0 {
			t.Fatalf("proxy %d has no table", p)
		}
		for _, table := range w.bound[p] {
			if w.tables[table][drained] > 0 {
				t.Errorf("proxy %d is given the backend that drains", p)
			}
		}
	}
}

// A backend drains while hundreds wait for room for their first table: the exclusion reaches them first, the channel keeps its
// limit, and all have tables in the end.
func TestExclusionWhileProxiesWaitForTables(t *testing.T) {
	const proxies = 900
	w := newWorld(t, map[string]any{"proxies": float64(proxies), "channel_room": 21600.0, "channel_pace": 21600.0, "messages": 0.0})
	w.step(0, full(40, 0))
	w.joinAll(0.01, 0, proxies)
	waiting := 0
	for p := range ProxyID(proxies) {
		if len(w.bound[p]) == 0 {
			waiting++
		}
	}
	if waiting < 100 || waiting > 500 {
		t.Fatalf("%d proxies wait for their table", waiting)
	}
	w.step(0.01, drain(3))
	if !w.shut[BackendID(1000+77*3)] {
		t.Error("the exclusion waits")
	}
	w.settle()
	for p := range ProxyID(proxies) {
		if len(w.bound[p]) == 0 {
			t.Fatalf("proxy %d has no table", p)
		}
	}
}

// A proxy that joins, breaks and joins again between two assignments of all arcs has its table on the last stream, and its usage is
// counted once.
func TestJoinBreakJoinWithinOneRound(t *testing.T) {
	w := started(t, map[string]any{"proxies": 60.0}, 8, 40)
	w.settle()
	w.step(0.3)
	rounds, before := w.c.ring.round, sum(w.c.assignedLoad)
	again := ProxyJoined{Proxy: 50, Zone: "a", Rate: 2}
	w.step(0.01, again)
	w.step(0.01, ProxyLeft{50})
	w.step(0.01, again)
	if w.c.ring.round != rounds {
		t.Fatal("all arcs were assigned anew within the round")
	}
	if len(w.bound[50]) == 0 {
		t.Error("it has no table on its last stream")
	}
	if grown := sum(w.c.assignedLoad) - before; math.Abs(grown-2) > 0.2 {
		t.Errorf("its usage of 2 counts as %.2f", grown)
	}
}

// A proxy that joins while all backends are ejected, or all are cold, still gets a table.
func TestJoinWhileAllAreUnfit(t *testing.T) {
	for name, spoil := range map[string]func(w *world){
		"ejected": func(w *world) {
			for i := range w.c.id {
				for zone := range w.c.ejectedUntil[i] {
					w.c.ejectedUntil[i][zone] = w.now + 60
				}
			}
		},
		"cold": func(w *world) { w.step(0.1, full(8, w.now)) },
	} {
		t.Run(name, func(t *testing.T) {
			w := started(t, map[string]any{"proxies": 60.0}, 8, 40)
			w.settle()
			w.step(0.3)
			spoil(w)
			w.step(0.01, ProxyJoined{Proxy: 50, Zone: "a", Rate: 2})
			if len(w.bound[50]) == 0 || !w.usable(w.bound[50][0]) {
				t.Error("it has no table")
			}
		})
	}
}

// Without room in the channel nobody is told anything, neither tables nor lists of exclusions; once there is room, all are.
func TestJoinsWithoutRoomInTheChannel(t *testing.T) {
	w := newWorld(t, map[string]any{"proxies": 60.0, "channel_room": 400.0, "messages": 0.0})
	w.step(0, full(40, 0))
	w.step(0.01, drain(0))
	w.c.channel.unacked = append(w.c.channel.unacked, unackedStep{nonce: 1, sentAt: w.now, lines: 390})
	w.joinAll(0.01, 0, 10)
	w.step(0.6)
	if len(w.messages) > 0 || len(w.informed) > 0 && slices.Contains([]bool{w.informed[0], w.informed[9]}, true) {
		t.Errorf("%d messages though there is no room", len(w.messages))
	}
	w.c.channel.unacked = nil
	w.settle()
	for p := range ProxyID(10) {
		if len(w.bound[p]) == 0 {
			t.Errorf("proxy %d has no table", p)
		}
	}
}

// A proxy that waits for its first table for longer than a part of the grace is told what is withdrawn, within the channel's room.
func TestExclusionsAheadOfALateTable(t *testing.T) {
	w := newWorld(t, map[string]any{"proxies": 60.0, "channel_room": 1000.0, "messages": 0.0})
	w.step(0, full(40, 0))
	for i := range 12 {
		w.step(0.01, drain(i))
	}
	w.c.channel.unacked = append(w.c.channel.unacked, unackedStep{nonce: 1, sentAt: w.now, lines: 700})
	w.joinAll(0.01, 0, 10)
	if len(w.messages) > 0 {
		t.Fatal("a table that may come soon is not waited for")
	}
	w.step(0.7)
	told := 0
	for p := range ProxyID(10) {
		if w.informed[p] && len(w.bound[p]) == 0 {
			told++
		}
	}
	if told < 5 {
		t.Errorf("%d of 10 are told what is withdrawn", told)
	}
}
