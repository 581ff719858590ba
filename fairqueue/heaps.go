package fairqueue

// activeHeap is a heap of the flows that have calls, by start tag.
type activeHeap[T any] []*flow[T]

func (h activeHeap[T]) Len() int { return len(h) }

func (h activeHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].workspace < h[j].workspace
}

func (h activeHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].activeIndex, h[j].activeIndex = i, j
}

// Push implements heap.Interface.
func (h *activeHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.activeIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *activeHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.activeIndex = idle
	return f
}

// deadlineHeap is a heap of the waiting calls by deadline. Calls without a deadline
// are last.
type deadlineHeap[T any] []*Item[T]

func (h deadlineHeap[T]) Len() int { return len(h) }

func (h deadlineHeap[T]) Less(i, j int) bool {
	a, b := h[i].Deadline, h[j].Deadline
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
