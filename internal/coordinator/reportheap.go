package coordinator

import "container/heap"

// reportHeap is a heap whose first report is the one that is ready first. In a plain queue, usage, which is ready at once,
// would wait behind attempts that are still being gathered.
type reportHeap []*pendingReport

var _ heap.Interface = (*reportHeap)(nil)

// Len implements heap.Interface.
func (h reportHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h reportHeap) Less(i, j int) bool {
	if h[i].readyAt != h[j].readyAt {
		return h[i].readyAt < h[j].readyAt
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h reportHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *reportHeap) Push(x any) {
	report := x.(*pendingReport)
	report.heapIndex = len(*h)
	*h = append(*h, report)
}

// Pop implements heap.Interface.
func (h *reportHeap) Pop() any {
	last := len(*h) - 1
	report := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return report
}
