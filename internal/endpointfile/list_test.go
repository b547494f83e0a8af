package endpointfile

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

var testSettings = Settings{DrainPeriod: 10, MaxLossShare: 0.5}

func makeBackends(count int, weight float64) (backends []Backend) {
	for i := range count {
		backends = append(backends, Backend{ID: uint32(i + 1), Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("h:%d", i), Weight: weight})
	}
	return backends
}

// mustApply applies a file and fails the test if the file is rejected.
func mustApply(t *testing.T, list *List, now Seconds, backends []Backend) []Endpoint {
	t.Helper()
	changed, err := list.Apply(now, backends)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// Only the endpoints of backends that differ between two files change. A changed weight keeps the incarnation and the start
// time; a changed address means a new process that has to warm up.
func TestApplyChangesOnlyWhatDiffers(t *testing.T) {
	list := New(testSettings)
	if changed := mustApply(t, list, 0, makeBackends(4, 1)); len(changed) != 4 || changed[0].StartTime != 0 {
		t.Fatalf("the first file changed %v", changed)
	}
	if changed := mustApply(t, list, 1, makeBackends(4, 1)); len(changed) != 0 || list.Version() != 1 {
		t.Fatalf("the same file again changed %v", changed)
	}
	backends := makeBackends(4, 1)
	backends[2].Weight = 7
	if changed := mustApply(t, list, 2, backends); len(changed) != 1 || changed[0].Weight != 7 || changed[0].Incarnation != 1 || changed[0].StartTime != 0 {
		t.Fatalf("a weight changed %v", changed)
	}
	backends[1].Addr = "other:1"
	if changed := mustApply(t, list, 3, backends); len(changed) != 1 || changed[0].Incarnation != 2 || changed[0].StartTime != 3 {
		t.Fatalf("another address changed %v", changed)
	}
}

// A backend that is no longer in the file drains before its endpoint is removed. If it returns to the file while it drains, it
// is the same process; if it returns later, it has to warm up.
func TestMissingBackendDrains(t *testing.T) {
	list := New(testSettings)
	backends := makeBackends(4, 1)
	mustApply(t, list, 3, backends)
	changed := mustApply(t, list, 4, backends[:3])
	if len(changed) != 1 || changed[0].State != Draining || changed[0].RemovalTime != 14 {
		t.Fatalf("a backend that left the file changed %v", changed)
	}
	if at, ok := list.NextRemoval(); !ok || at != 14 || len(list.RemoveDrained(13.9)) != 0 {
		t.Fatal("the endpoint was removed before its drain was over")
	}
	if changed := mustApply(t, list, 6, backends); len(changed) != 1 || changed[0].State != Open || changed[0].Incarnation != 1 || changed[0].StartTime != 0 {
		t.Fatalf("a backend that returned to the file changed %v", changed)
	}
	mustApply(t, list, 7, backends[:3])
	if removed := list.RemoveDrained(17); len(removed) != 1 || removed[0].State != Gone || len(list.Endpoints()) != 3 {
		t.Fatalf("after its drain: %v", removed)
	}
	if changed := mustApply(t, list, 18, backends); len(changed) != 1 || changed[0].StartTime != 18 {
		t.Fatalf("a backend that was added to other backends must warm up: %v", changed)
	}
}

// A file that lacks most backends, for example because it was truncated, is rejected and changes nothing. It is accepted when it
// is applied a second time, unless another file was applied in between.
func TestFileThatLosesMostBackendsIsRejectedOnce(t *testing.T) {
	list := New(testSettings)
	mustApply(t, list, 0, makeBackends(10, 1))
	for _, count := range []int{0, 4} {
		if _, err := list.Apply(1, makeBackends(count, 1)); err == nil {
			t.Fatalf("a file of %d of 10 backends was accepted", count)
		}
	}
	if len(list.RemoveDrained(1e9)) > 0 || list.Version() != 1 {
		t.Fatal("a rejected file changed the list")
	}
	mustApply(t, list, 2, makeBackends(10, 2))
	_, err := list.Apply(3, makeBackends(4, 1))
	if err == nil || !strings.Contains(err.Error(), "6 of 10") {
		t.Fatalf("after another file: %v", err)
	}
	var loss *LossError
	if !errors.As(err, &loss) || *loss != (LossError{Lost: 6, Open: 10, MaxShare: 0.5}) {
		t.Errorf("got error %#v, want a LossError for 6 of 10 endpoints", err)
	}
	if changed := mustApply(t, list, 4, makeBackends(4, 1)); len(changed) != 10 {
		t.Fatalf("applied again it changed %v", changed)
	}
}

// Files with a duplicate ID, a weight of 0 or no backends are rejected however often they are applied. The error texts are shown
// to operators.
func TestInvalidFileIsRejected(t *testing.T) {
	list := New(testSettings)
	mustApply(t, list, 0, makeBackends(4, 1))
	for range 2 {
		_, err := list.Apply(5, append(makeBackends(4, 1), Backend{ID: 2, Name: "x", Addr: "h", Weight: 1}))
		var duplicate *DuplicateError
		if !errors.As(err, &duplicate) || err.Error() != "servers s1 and x have the same ID 2" {
			t.Errorf("a duplicate ID: %v", err)
		}
		_, err = list.Apply(5, makeBackends(4, 0))
		var weight *WeightError
		if !errors.As(err, &weight) || err.Error() != "server s0 has a weight of 0, must be above 0" {
			t.Errorf("a weight of 0: %v", err)
		}
		if _, err = list.Apply(5, nil); !errors.Is(err, ErrNoBackends) || err.Error() != "the file leaves no server in use" {
			t.Errorf("an empty file: %v", err)
		}
	}
}
