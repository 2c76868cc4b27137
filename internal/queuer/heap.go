package queuer

import "container/heap"

// heapItem is a heap element that stores its own index, so that it can be removed or reordered in O(log n).
type heapItem[T any] interface {
	comparable
	before(T) bool
	setIndex(int)
}

// indexedHeap implements heap.Interface for elements that store their index.
type indexedHeap[T heapItem[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	v := x.(T)
	v.setIndex(len(*h))
	*h = append(*h, v)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	v := old[n]
	var zero T
	old[n] = zero
	*h = old[:n]
	v.setIndex(-1)
	return v
}

func (h *indexedHeap[T]) add(v T)          { heap.Push(h, v) }
func (h *indexedHeap[T]) fix(i int)        { heap.Fix(h, i) }
func (h *indexedHeap[T]) removeAt(i int) T { return heap.Remove(h, i).(T) }
