// Package eventqueue implements a priority queue of values by due time: the events of a simulation or the timers of a process.
// Values with the same due time leave the queue in the order in which they were added, so that runs are reproducible.
package eventqueue

// arity is the number of children of a heap node. A heap with four is half as deep as a binary one, and the children that are
// compared are adjacent in memory. This makes a difference with a hundred thousand timers.
const arity = 4

// Queue is a heap of values by due time. Its zero value is an empty queue.
type Queue[T any] struct {
	heap      []item[T]
	pushCount uint64 // number of values that were ever added
}

// item is a queued value.
type item[T any] struct {
	dueAt    float64
	sequence uint64 // position in the order of addition, which decides between equal due times
	value    T
}

func (i *item[T]) before(other *item[T]) bool {
	return i.dueAt < other.dueAt || i.dueAt == other.dueAt && i.sequence < other.sequence
}

// Len returns how many values are queued.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Push adds a value with a due time.
func (q *Queue[T]) Push(dueAt float64, value T) {
	q.pushCount++
	pushed := item[T]{dueAt: dueAt, sequence: q.pushCount, value: value}
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

// NextTime returns the earliest due time. ok is false if the queue is empty.
func (q *Queue[T]) NextTime() (dueAt float64, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// Pop removes the value with the earliest due time and returns it. The queue must not be empty.
func (q *Queue[T]) Pop() T {
	first := q.heap[0].value
	end := len(q.heap) - 1
	last := q.heap[end]
	q.heap[end] = item[T]{} // lets the garbage collector free what the value refers to
	q.heap = q.heap[:end]
	if end > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown puts an item into the vacant root and moves it down until no child is due before it.
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

// firstChild returns the position of the child that is due first. ok is false if the node has no child.
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
