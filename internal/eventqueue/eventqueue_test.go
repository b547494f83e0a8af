package eventqueue

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Random pushes and pops return the same values as a list that is sorted stably by due time.
func TestOrder(t *testing.T) {
	type entry struct {
		at    float64
		value int
	}
	rapid.Check(t, func(trial *rapid.T) {
		var queue Queue[int]
		var model []entry
		for value := range rapid.IntRange(1, 200).Draw(trial, "steps") {
			if rapid.IntRange(0, 2).Draw(trial, "pop") == 0 && len(model) > 0 {
				at, ok := queue.NextTime()
				if got := queue.Pop(); !ok || got != model[0].value || at != model[0].at {
					trial.Fatalf("popped value %d due at %g, want %v", got, at, model[0])
				}
				model = model[1:]
				continue
			}
			at := float64(rapid.IntRange(0, 5).Draw(trial, "at")) // few distinct times, so that many values are due at the same time
			queue.Push(at, value)
			model = append(model, entry{at, value})
			slices.SortStableFunc(model, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
		}
		for _, want := range model {
			if got := queue.Pop(); got != want.value {
				trial.Fatalf("popped value %d, want %v", got, want)
			}
		}
		if _, ok := queue.NextTime(); ok || queue.Len() != 0 {
			trial.Fatal("the queue is not empty after the last value was popped")
		}
	})
}

// Ten thousand values with the same due time leave the queue in the order in which they were added.
func TestSameTime(t *testing.T) {
	const count = 10000
	var queue Queue[int]
	for value := range count {
		queue.Push(1, value)
	}
	for want := range count {
		if got := queue.Pop(); got != want {
			t.Fatalf("popped value %d, want %d", got, want)
		}
	}
}
