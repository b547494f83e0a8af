package scenario

import (
	"slices"
	"testing"
	"time"
)

// TestScheduleOrder checks that functions run in the order of their times, those of equal times in the order in which they were
// added, and none before it is due.
func TestScheduleOrder(t *testing.T) {
	var pending schedule
	var ran []string
	add := func(at float64, name string) {
		pending.add(at, func() { ran = append(ran, name) })
	}
	add(2, "second")
	add(1, "first")
	add(2, "third")
	add(3, "not due")
	for pending.runDue(2) {
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(ran, want) {
		t.Errorf("ran %q, want %q", ran, want)
	}
	if got := pending.wait(2, 10); got != time.Second {
		t.Errorf("wait until the next function: got %v, want 1s", got)
	}
	if got := pending.wait(2, 2.5); got != 500*time.Millisecond {
		t.Errorf("wait until the end: got %v, want 500ms", got)
	}
}
