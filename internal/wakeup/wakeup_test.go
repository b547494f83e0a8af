package wakeup

import "testing"

// Next returns the earliest member after each change of a wake-up time, to an earlier or a later one.
func TestQueueOrder(t *testing.T) {
	var queue Queue[string]
	if member, _, ok := queue.Next(); ok {
		t.Errorf("an empty queue gave %q", member)
	}
	entries := map[string]*Entry[string]{}
	for i, member := range []string{"a", "b", "c"} {
		entries[member] = queue.Add(member)
		queue.Reschedule(entries[member], float64(10*(i+1)))
	}
	for _, step := range []struct {
		reschedule string
		wakeAt     float64
		want       string
		wantAt     float64
	}{
		{"a", 10, "a", 10}, {"a", 25, "b", 20}, {"b", 40, "a", 25}, {"c", 5, "c", 5}, {"c", 50, "a", 25},
	} {
		queue.Reschedule(entries[step.reschedule], step.wakeAt)
		if member, wakeAt, ok := queue.Next(); !ok || member != step.want || wakeAt != step.wantAt {
			t.Errorf("after %s was rescheduled to %v: got %s at %v, want %s at %v",
				step.reschedule, step.wakeAt, member, wakeAt, step.want, step.wantAt)
		}
	}
}
