// Package queue is what is due, earliest first: events of the virtual world, timers of a stand-in. What is due at one moment
// comes in the order in which it was put in, so that a day is the same each time however many fall together.
package eventqueue

// Queue is a heap of four children a node: half as deep as one of two, and with items side by side, which is what counts
// with a hundred thousand timers. Its zero value is empty.
type Queue[T any] struct {
	all   []item[T]
	count uint64
}

type item[T any] struct {
	at float64
	n  uint64
	x  T
}

func (a *item[T]) before(b *item[T]) bool { return a.at < b.at || a.at == b.at && a.n < b.n }

// Len is how many are in it.
func (q *Queue[T]) Len() int { return len(q.all) }

// Put adds what is due at a time.
func (q *Queue[T]) Push(at float64, x T) {
	q.count++
	q.all = append(q.all, item[T]{at, q.count, x})
	i := len(q.all) - 1
	added := q.all[i]
	for i > 0 {
		up := (i - 1) / 4
		if !added.before(&q.all[up]) {
			break
		}
		q.all[i] = q.all[up]
		i = up
	}
	q.all[i] = added
}

// Next is when the first is due; false if there is none.
func (q *Queue[T]) NextTime() (at float64, ok bool) {
	if len(q.all) == 0 {
		return 0, false
	}
	return q.all[0].at, true
}

// Take takes the first out; there must be one.
func (q *Queue[T]) Pop() T {
	first := q.all[0].x
	end := len(q.all) - 1
	last := q.all[end]
	q.all[end] = item[T]{} // holds on to nothing
	q.all = q.all[:end]
	i := 0
	for end > 0 {
		down := 4*i + 1
		if down >= end {
			break
		}
		least := down
		for c := down + 1; c < min(down+4, end); c++ {
			if q.all[c].before(&q.all[least]) {
				least = c
			}
		}
		if !q.all[least].before(&last) {
			break
		}
		q.all[i] = q.all[least]
		i = least
	}
	if end > 0 {
		q.all[i] = last
	}
	return first
}
