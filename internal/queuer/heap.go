package queuer

import "container/heap"

// indexed is a heap element that knows its position, so that it can be removed in O(log n).
type indexed[T any] interface {
	comparable
	before(T) bool
	setIndex(int)
}

// heapOf adapts a slice of indexed elements to container/heap.
type heapOf[T indexed[T]] []T

func (h heapOf[T]) Len() int           { return len(h) }
func (h heapOf[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h heapOf[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push implements heap.Interface.
func (h *heapOf[T]) Push(x any) {
	v := x.(T)
	v.setIndex(len(*h))
	*h = append(*h, v)
}

// Pop implements heap.Interface.
func (h *heapOf[T]) Pop() any {
	old := *h
	n := len(old) - 1
	v := old[n]
	var zero T
	old[n] = zero
	*h = old[:n]
	v.setIndex(-1)
	return v
}

func (h *heapOf[T]) add(v T)          { heap.Push(h, v) }
func (h *heapOf[T]) fix(i int)        { heap.Fix(h, i) }
func (h *heapOf[T]) removeAt(i int) T { return heap.Remove(h, i).(T) }
