// Package eventqueue is a priority queue of what is due at a time: the events of a simulation, or the timers of a process. What is
// due at the same time leaves the queue in the order in which it was added, so that runs are reproducible.
package eventqueue

// arity is the number of children of a heap's node. With four, the heap is half as deep as with two, and the children that are
// compared lie side by side in memory, which counts with a hundred thousand timers.
const arity = 4

// Queue is a heap of values by the times at which they are due. Its zero value is empty.
type Queue[T any] struct {
	heap  []item[T]
	added uint64 // how many values were ever added
}

type item[T any] struct {
	at     float64
	number uint64 // orders items that are due at the same time
	value  T
}

func (i *item[T]) before(other *item[T]) bool {
	return i.at < other.at || i.at == other.at && i.number < other.number
}

// Len returns how many values are queued.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Push adds a value that is due at a time.
func (q *Queue[T]) Push(at float64, value T) {
	q.added++
	pushed := item[T]{at: at, number: q.added, value: value}
	q.heap = append(q.heap, pushed)
	position := len(q.heap) - 1
	for position > 0 {
		parent := (position - 1) / arity
		if !pushed.before(&q.heap[parent]) {
			break
		}
		q.heap[position] = q.heap[parent]
		position = parent
	}
	q.heap[position] = pushed
}

// NextTime returns when the first value is due; false if the queue is empty.
func (q *Queue[T]) NextTime() (at float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Pop removes the first value and returns it. The queue must not be empty.
func (q *Queue[T]) Pop() T {
	first := q.heap[0].value
	end := len(q.heap) - 1
	last := q.heap[end]
	q.heap[end] = item[T]{} // so that the garbage collector can free what the value refers to
	q.heap = q.heap[:end]
	if end > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown puts an item into the vacant root and moves it down to its place.
func (q *Queue[T]) siftDown(moved item[T]) {
	position := 0
	for {
		child, ok := q.firstChild(position)
		if !ok || !q.heap[child].before(&moved) {
			break
		}
		q.heap[position] = q.heap[child]
		position = child
	}
	q.heap[position] = moved
}

// firstChild returns the position of the child that is due first; false if there is no child.
func (q *Queue[T]) firstChild(parent int) (position int, ok bool) {
	start := arity*parent + 1
	if start >= len(q.heap) {
		return 0, false
	}
	position = start
	for sibling := start + 1; sibling < min(start+arity, len(q.heap)); sibling++ {
		if q.heap[sibling].before(&q.heap[position]) {
			position = sibling
		}
	}
	return position, true
}
