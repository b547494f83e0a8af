// Package wakeup implements a priority queue of members by the time of their next wake-up, for state machines that run many other
// state machines.
package wakeup

import "container/heap"

// Queue orders members by wake-up time. Its zero value is an empty queue.
type Queue[T any] struct {
	entries entryHeap[T]
}

// Entry is a member with its wake-up time and its position in a queue.
type Entry[T any] struct {
	Member T
	wakeAt float64 // seconds
	index  int     // position in the heap
}

// Add adds a member with the wake-up time 0, so that it is due at once.
func (q *Queue[T]) Add(member T) *Entry[T] {
	entry := &Entry[T]{Member: member}
	heap.Push(&q.entries, entry)
	return entry
}

// Reschedule changes the wake-up time of a queue's entry.
func (q *Queue[T]) Reschedule(entry *Entry[T], wakeAt float64) {
	entry.wakeAt = wakeAt
	heap.Fix(&q.entries, entry.index)
}

// Next returns the member with the earliest wake-up time and leaves it in the queue. ok is false if the queue is empty.
func (q *Queue[T]) Next() (member T, wakeAt float64, ok bool) {
	if len(q.entries) == 0 {
		return member, 0, false
	}
	first := q.entries[0]
	return first.Member, first.wakeAt, true
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []*Entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	*h = (*h)[:last]
	return removed
}
