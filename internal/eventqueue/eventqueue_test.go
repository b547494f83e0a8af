package eventqueue

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Puts and takes at random, against a list that is sorted stably.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type due struct {
			at float64
			n  int
		}
		var q Queue[int]
		var model []due
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "take") == 0 && len(model) > 0 {
				at, ok := q.NextTime()
				if got := q.Pop(); !ok || got != model[0].n || at != model[0].at {
					t.Fatalf("%d at %g, %v wanted", got, at, model[0])
				}
				model = model[1:]
				continue
			}
			at := float64(rapid.IntRange(0, 5).Draw(t, "at")) // many at one moment
			q.Push(at, i)
			model = append(model, due{at, i})
			slices.SortStableFunc(model, func(a, b due) int { return cmp.Compare(a.at, b.at) })
		}
		for _, want := range model {
			if got := q.Pop(); got != want.n {
				t.Fatalf("%d, %v wanted", got, want)
			}
		}
		if _, ok := q.NextTime(); ok || q.Len() != 0 {
			t.Fatal("something is left")
		}
	})
}

// Ten thousand at one instant come in the order in which they were put in.
func TestOneInstant(t *testing.T) {
	var q Queue[int]
	for i := range 10000 {
		q.Push(1, i)
	}
	for i := range 10000 {
		if got := q.Pop(); got != i {
			t.Fatalf("%d came as the %dth", got, i)
		}
	}
}
