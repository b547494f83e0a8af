package endpointfile

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drainCheck tracks the changes of a list and fails the test if an endpoint is removed without having drained for the whole
// DrainPeriod.
type drainCheck struct {
	t             *rapid.T
	drainingSince map[uint32]Seconds
	states        map[uint32]State
}

// observe checks and records endpoints that changed at a time.
func (c *drainCheck) observe(now Seconds, changed []Endpoint) {
	for _, endpoint := range changed {
		previous, known := c.states[endpoint.ID]
		wasDraining := known && previous == Draining
		drainStarts := endpoint.RemovalTime > 0 && endpoint.RemovalTime == now+testSettings.DrainPeriod
		switch {
		case endpoint.State == Gone && (!wasDraining || now < c.drainingSince[endpoint.ID]+testSettings.DrainPeriod):
			c.t.Fatalf("backend %d was removed after a drain of %v s", endpoint.ID, now-c.drainingSince[endpoint.ID])
		case endpoint.State == Draining && (!wasDraining || drainStarts):
			c.drainingSince[endpoint.ID] = now
		}
		c.states[endpoint.ID] = endpoint.State
	}
}

// restart returns a copy of the list that was encoded and decoded. It fails the test if the copy differs.
func restart(t *rapid.T, list *List) *List {
	data, err := list.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(testSettings, data)
	if err != nil || !reflect.DeepEqual(decoded.Endpoints(), list.Endpoints()) || decoded.Version() != list.Version() {
		t.Fatalf("decoded: %v, error %v, wanted %v", decoded, err, list.Endpoints())
	}
	return decoded
}

// drawFile draws a file with some of six backends, with random weights, and some of them draining.
func drawFile(t *rapid.T) (file []Backend) {
	for _, backend := range makeBackends(6, 1) {
		if rapid.IntRange(0, 3).Draw(t, "in") > 0 {
			backend.Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
			backend.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
			file = append(file, backend)
		}
	}
	return file
}

// requireListFollowsFile fails the test unless the list matches an accepted file and all endpoints that are not in the file
// drain.
func requireListFollowsFile(t *rapid.T, list *List, file []Backend) {
	byID := map[uint32]Backend{}
	for _, backend := range file {
		byID[backend.ID] = backend
	}
	for _, endpoint := range list.Endpoints() {
		backend, listed := byID[endpoint.ID]
		asInFile := endpoint.Backend == backend && (endpoint.State == Draining) == backend.Draining && endpoint.RemovalTime == 0
		if listed && !asInFile || !listed && endpoint.State != Draining {
			t.Fatalf("the file says %v (%v), the list %v", backend, listed, endpoint)
		}
	}
}

// For any sequence of files, drains and restarts: no endpoint is removed before the end of its drain, the list follows an
// accepted file, a rejected file changes nothing, and a restart does not change the list.
func TestListInvariants(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		list, now := New(testSettings), 100.0
		drains := &drainCheck{t: rapidT, drainingSince: map[uint32]Seconds{}, states: map[uint32]State{}}
		for range rapid.IntRange(1, 40).Draw(rapidT, "steps") {
			now += rapid.Float64Range(0, 8).Draw(rapidT, "wait")
			drains.observe(now, list.RemoveDrained(now))
			if rapid.IntRange(0, 5).Draw(rapidT, "restart") == 0 {
				list = restart(rapidT, list)
			}
			file := drawFile(rapidT)
			before, version := list.Endpoints(), list.Version()
			changed, err := list.Apply(now, file)
			if err != nil {
				if !reflect.DeepEqual(before, list.Endpoints()) || list.Version() != version {
					rapidT.Fatal("a rejected file changed the list")
				}
				continue
			}
			if (len(changed) > 0) != (list.Version() == version+1) {
				rapidT.Fatalf("%d changes took the version from %d to %d", len(changed), version, list.Version())
			}
			drains.observe(now, changed)
			requireListFollowsFile(rapidT, list, file)
		}
	})
}
